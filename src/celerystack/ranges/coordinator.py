"""Coordinates the entry VMs: planner election, heartbeats, reports, distribution of range maps."""

from __future__ import annotations

import dataclasses
import functools
import logging
import random
from collections.abc import Callable, Iterable, Sequence
from typing import Any

from twisted.internet import defer
from twisted.python import failure as failures

from celerystack import errors, ids, supervision
from celerystack.fleet import (
    config_distribution,
    directory_sync,
    evacuations,
    messages,
    nodes,
    rows,
    servers,
)
from celerystack.forwarding import owners
from celerystack.limits import admission, crash_suspects, rate_limits
from celerystack.ranges import (
    datagram_port,
    leadership,
    leases,
    lessor,
    map_datagrams,
    map_distribution,
    model,
    orders,
    paced_sender,
    planner,
    range_maps,
    registration,
    request_counts,
    resignation,
)

_log = logging.getLogger(__name__)

TICK_S = 0.1
"""Interval in seconds of the periodic work."""
PLANNER_HEARTBEAT_S = 0.3
"""Heartbeat interval in seconds with fewer than `MANY_VMS` entry VMs."""
MANY_VMS = 30
"""Number of registered entry VMs from which heartbeats are sent less often."""
PLANNER_HEARTBEAT_MANY_VMS_S = 0.45
"""Heartbeat interval in seconds with at least `MANY_VMS` entry VMs; bounds the planner's CPU and
link load."""
PLAN_S = 0.25
"""Shortest interval in seconds between plans."""
SILENCE_S = 1.1
"""Time without a planner heartbeat after which the planner is looked up in the store."""
SMALL_VM_DELAY_S = 1.8
"""Extra time that small VMs wait for a lost planner. It is longer than a larger VM needs to become
planner, so that only the few larger VMs read the store in search of one."""
UNCONFIRMED_S = 1.8
"""A planner that the store has not confirmed for this time is replaced by a VM that can reach the
store; longer than `planner.CONFIRM_S` plus the age of a report."""
LEADER_WATCH_S = 1.0
"""A leader whose row does not change for this time may be replaced; longer than
`planner.CONFIRM_S`."""
OWNERS_KEPT_S = 2.0
"""Time in seconds after the start of a term in which the owners of queues stay the same."""
NODES_READ_S = 2.0
"""Interval in seconds at which the planner reads the registered entry VMs."""
RETRY_S = 0.4
"""Pause in seconds after a failed call to the store."""
UNREADABLE_RETRY_S = 1.0
"""Pause in seconds after a row that cannot be decoded."""
TICK_TASK = "the coordination"
WORK_TASK = "the calls of the coordination to the store"
ANNOUNCE_TASK = "the planner's heartbeats"
ENTRY_VMS_ASSUMED = 50
"""Number of entry VMs assumed before the first heartbeat; high, to stay within shared limits."""


class Coordinator:
    """One entry VM's part in the ownership of keys, as planner or as follower.

    Parameters
    ----------
    node : nodes.Node
        This VM.
    updates : directory_sync.DirectorySync
        Passes on what the planner read about the servers: from this VM to the others while it is
        the planner, otherwise from the planner to this VM.
    evacuated : evacuations.Evacuations
        Evacuated zones, which the planner tells the other entry VMs.
    queue_owners : owners.QueueOwners
        Entry VMs that own the queues of the servers, whom the planner chooses.
    queue_weight : float
        Share of the queues that this VM should own, in proportion to those of other VMs.
    sharded_services : callable
        Returns the services whose keys are divided among servers.
    avoids_cold : callable
        Returns whether no keys of a service are given to cold servers.
    link_mbps : float
        Bandwidth of this VM's link in Mbit/s.
    is_small : bool
        Whether this VM leaves the leadership to larger VMs.
    heartbeat_s : float
        Interval in seconds at which servers renew their entries.
    now : callable
        Clock in seconds that also advances while the VM is suspended.
    """

    def __init__(
        self,
        reactor: Any,
        *,
        node: nodes.Node,
        vm_incarnation: int,
        store: rows.RowStore,
        port: orders.OrderPort,
        directory: servers.Directory,
        updates: directory_sync.DirectorySync,
        evacuated: evacuations.Evacuations,
        queue_owners: owners.QueueOwners,
        queue_weight: float,
        sharded_services: Callable[[], Iterable[ids.ServiceName]],
        avoids_cold: Callable[[ids.ServiceName], bool],
        link_mbps: float,
        is_small: bool,
        heartbeat_s: float,
        now: Callable[[], float],
    ) -> None:
        self._reactor = reactor
        self._node = node
        self._vm_incarnation = vm_incarnation
        self._store = store
        self._directory = directory
        self._updates = updates
        self._evacuations = evacuated
        evacuated.on_change(self._apply_evacuations)
        self._queue_owners = queue_owners
        self._queue_weight = queue_weight
        self._term_began_at = float("-inf")
        self._now = now
        self.range_maps = range_maps.RangeMaps()
        self.range_maps.on_change(lambda _: self.lessor.tick())
        self.lessor = lessor.Lessor(
            vm=node.vm,
            zone=node.zone,
            maps=self.range_maps,
            directory=directory,
            port=port,
            heartbeat_s=heartbeat_s,
            now=now,
        )
        self.leadership = leadership.Leadership(
            vm=node.vm, vm_incarnation=vm_incarnation, store=store, now=now
        )
        self.planner = planner.Planner(
            leadership=self.leadership,
            store=store,
            maps=self.range_maps,
            directory=directory,
            port=port,
            sharded_services=sharded_services,
            on_commit=lambda service: self._map_distributor.push(service),
            rate_limit=lambda incarnation: self._rate_limits.limit(incarnation),
            avoids_cold=avoids_cold,
            owns_queue=self._owns_queue,
            now=now,
        )
        self._datagrams = datagram_port.DatagramPort(self._on_datagram)
        sender = paced_sender.PacedSender(reactor, send=self._datagrams.send, link_mbps=link_mbps)
        self._map_distributor = map_distribution.MapDistributor(
            own=node,
            maps=self.range_maps,
            sender=sender,
            term=lambda: self.leadership.term,
            now=now,
        )
        self._config_distributor = config_distribution.ConfigDistributor(
            updates=updates,
            addresses=lambda: (peer.node.address for peer in self._map_distributor.others()),
            send=functools.partial(_send_config, sender),
            is_sending=lambda address: sender.is_waiting(address, paced_sender.CONFIG_TOPIC),
            now=now,
        )
        updates.on_read(self._announce)
        self._unreachable_incarnations: Callable[[], Iterable[model.ServerIncarnation]] = tuple
        self._queue_waits: Callable[[], dict[ids.ServiceName, float]] = dict
        self._rate_limits = rate_limits.RateLimits(now=now)
        self.admission = admission.FractionalAdmission()
        self.quarantine = crash_suspects.Quarantine()
        self._assembler = map_datagrams.Assembler()
        self._planner_heard_at = now()
        self._is_planner_unconfirmed = False
        self._heard_term = 0
        self._confirmed_at = float("-inf")
        self._planner_address: tuple[str, int] | None = None
        self._pending_incarnations: tuple[model.ServerIncarnation, ...] = ()
        self._request_counts = request_counts.RequestCounts()
        self._registration = registration.Registration(
            node,
            store,
            known_era=lambda: max(rows.era_of(updates.position), self.leadership.era),
            now=now,
        )
        self._entry_vm_count = ENTRY_VMS_ASSUMED
        self._busy = False
        self._resignation = resignation.Resignation(
            is_planner=lambda: self.leadership.held, release=self._release_leadership, now=now
        )
        self._next_plan_at = 0.0
        self._next_heartbeat_at = 0.0
        self._nodes_read_at = float("-inf")
        self._is_small = is_small
        self._silence_limit_s = SILENCE_S + random.uniform(0.0, 0.4)
        if is_small:
            self._silence_limit_s += SMALL_VM_DELAY_S
        self._stopping = False

    @property
    def entry_vms(self) -> int:
        """Number of registered entry VMs, among which shared limits are divided."""
        return self._entry_vm_count

    def start(self) -> None:
        """Open the datagram port and start the periodic work."""
        host, port = self._node.address
        self._reactor.listenUDP(port, self._datagrams, interface=host, maxPacketSize=65_000)
        self._tick()

    def stop(self) -> defer.Deferred[None]:
        """Release the leadership; leases are still renewed until the process ends."""
        self._stopping = True
        if not self.leadership.held:
            return defer.succeed(None)
        return self._release_leadership()

    def _release_leadership(self) -> defer.Deferred[None]:
        done = defer.Deferred.fromCoroutine(self.leadership.release())
        return done.addErrback(
            lambda failure: _log.warning("failed to release the leadership: %s", failure.value)
        )

    def count_request(self, service: ids.ServiceName, key: int) -> None:
        """Count a request to a key, for load balancing."""
        self._request_counts.add_request(service, key)

    def set_unreachable_source(
        self, incarnations: Callable[[], Iterable[model.ServerIncarnation]]
    ) -> None:
        """Set the source of incarnations that refuse connections for requests, for the reports."""
        self._unreachable_incarnations = incarnations

    def set_queue_waits_source(self, waits: Callable[[], dict[ids.ServiceName, float]]) -> None:
        """Set the source of the expected waits in the queues that this VM owns."""
        self._queue_waits = waits

    def set_rate_limits(self, limits: rate_limits.RateLimits) -> None:
        """Set the rate limits that servers state, which the entry VMs tell each other."""
        self._rate_limits = limits

    def record_service_time(self, server: ids.ServerId, service_s: float) -> None:
        """Record the latency of an answer as this VM sees it, to estimate the service time."""
        self._request_counts.add_latency(server, service_s)

    def _tick(self) -> None:
        now = self._now()
        self._reactor.callLater(TICK_S, self._tick)
        for step in (
            lambda: self._directory.expire(now),
            self._apply_evacuations,
            self.lessor.tick,
            lambda: self._updates.set_leader(self.leadership.held),
        ):
            supervision.run_step(TICK_TASK, step)
        if now >= self._next_heartbeat_at:
            self._announce()
        if not self._busy:
            self._busy = True
            running = defer.Deferred.fromCoroutine(self._work())
            running.addCallbacks(
                lambda _: self._resignation.note(WORK_TASK, succeeded=True), self._note_work_error
            )
            running.addBoth(self._on_work_done)

    def _note_work_error(self, failure: failures.Failure) -> defer.Deferred[None]:
        supervision.record_error(WORK_TASK, failure)
        self._resignation.note(WORK_TASK, succeeded=False)
        return self._pause(supervision.RESTART_PAUSE_S)

    def _apply_evacuations(self) -> None:
        """Apply evacuations that have begun or ended, or have become binding."""
        self._directory.set_evacuations(
            evacuated=self._evacuations.zones, closed=self._evacuations.closed_zones()
        )

    def _announce(self) -> None:
        """Send planner heartbeats if this VM is the planner.

        Called periodically and after each read of the servers from the store.
        """
        if not self.leadership.held:
            return
        succeeded = supervision.run_step(ANNOUNCE_TASK, self._announce_now)
        self._resignation.note(ANNOUNCE_TASK, succeeded=succeeded)

    def _announce_now(self) -> None:
        now = self._now()
        self._next_heartbeat_at = now + (
            PLANNER_HEARTBEAT_S
            if len(self._map_distributor) < MANY_VMS
            else PLANNER_HEARTBEAT_MANY_VMS_S
        )
        self._send_heartbeats(now)

    def _on_work_done(self, _: object) -> None:
        self._busy = False

    async def _work(self) -> None:
        try:
            if self._registration.is_first:
                registered_at = self._now()
                await self._registration.register()
                await self._reacquire_own_leadership()
                await self._begin_following(registered_at)
            elif self._registration.may_be_lost():
                await self._registration.register()
            elif self.leadership.held:
                await self._lead()
            else:
                await self._follow()
        except errors.TransactionConflictError as error:
            _log.info("another entry VM changed the row first: %s", error, extra={"step": "fleet"})
        except errors.PlatformError as error:
            _log.warning("a call to the store failed: %s", error, extra={"step": "fleet"})
            await self._pause(RETRY_S)
        except errors.CorruptRowError as error:
            _log.error("%s", error, extra={"step": "fleet"})
            await self._pause(UNREADABLE_RETRY_S)

    def _pause(self, seconds: float) -> defer.Deferred[None]:
        done: defer.Deferred[None] = defer.Deferred()
        self._reactor.callLater(seconds, done.callback, None)
        return done

    async def _reacquire_own_leadership(self) -> None:
        """Become planner at start if an earlier process of this VM was, or if there is none.

        A small VM leaves both to larger VMs, and does not read the leader's row. After a return of
        the store from an earlier copy, a VM that knows newer maps should become planner.
        """
        if self._is_small:
            return
        leader = await self.leadership.read()
        if leader.is_of_earlier_era:
            return
        if leader.vm in ("", self._node.vm) and await self.leadership.acquire(leader):
            await self._begin_term()

    async def _begin_following(self, registered_at: float) -> None:
        """Read the stored maps at the start, unless this VM is the planner.

        After a restart of many entry VMs the planner's maps reach the last of them seconds later.
        The registered entry VMs are read before the maps are used, because otherwise this VM would
        take itself for the only lessor of its zone.
        """
        if self.leadership.held:
            return
        stored = await self._registration.read_maps(registered_at)
        if not stored:
            return
        by_vm = await nodes.read_all(self._store)
        if not self._heard_term:
            zone_vms = tuple(vm for vm, node in by_vm.items() if node.zone == self._node.zone)
            self._update_vms(zone_vms, max(1, len(by_vm)))
        self._adopt_all(stored)

    async def _begin_term(self) -> None:
        self.planner.begin_term()
        self._map_distributor.begin_term()
        self._heard_term = self.leadership.term
        self._term_began_at = self._now()
        await self._read_nodes()

    async def _lead(self) -> None:
        now = self._now()
        if now < self._next_plan_at:
            return
        self._next_plan_at = now + PLAN_S
        if now - self._nodes_read_at >= NODES_READ_S:
            await self._read_nodes()
        await self.planner.tick()
        versions = self.range_maps.versions_in(self.leadership.era)
        self.range_maps.confirm(versions, self.leadership.confirmed_at)

    async def _read_nodes(self) -> None:
        started = self._now()
        by_vm = await nodes.read_all(self._store)
        self._nodes_read_at = self._now()
        if self._node.vm not in by_vm:
            await self._registration.register()
            by_vm[self._node.vm] = self._node
        self._map_distributor.update_nodes(by_vm)
        self.planner.update_vms(by_vm, started)
        await self.planner.remove_lost_vms(by_vm)

    async def _follow(self) -> None:
        now = self._now()
        if self._stopping or now - self._planner_heard_at < self._silence_limit_s:
            return
        if self._resignation.is_in_force():
            await self._read_ranges()
            await self._pause(LEADER_WATCH_S)
            return
        await self._read_ranges()
        before = await self.leadership.read()
        if before.vm not in ("", self._node.vm) and not self._is_planner_unconfirmed:
            await self._pause(LEADER_WATCH_S)
            if self._now() - self._planner_heard_at < SILENCE_S:
                return
            after = await self.leadership.read()
            if after.version != before.version:
                # The planner is live, but its heartbeats do not reach this VM.
                return
            before = after
        if await self.leadership.acquire(before):
            await self._begin_term()

    async def _read_ranges(self) -> None:
        """Read the range maps from the store, as no planner sends them.

        The planner may have removed the row of this VM if it has received no report for long.
        """
        started = self._now()
        if started - self._confirmed_at >= leases.REGISTRATION_VALID_S:
            await self._registration.register()
        self._adopt_all(await self._registration.read_maps(started))

    def _adopt_all(self, stored: list[range_maps.KnownMap]) -> None:
        for known in stored:
            self.range_maps.adopt(known.ranges, known.version, known.confirmed_at)

    def _send_heartbeats(self, now: float) -> None:
        versions = self.range_maps.versions_in(self.leadership.era)
        vms_by_zone = self._map_distributor.live_by_zone(now)
        pending = self.planner.pending_incarnations()
        admitted = self.planner.admitted_fraction_by_server()
        self.admission.update(admitted)
        quarantined = self.planner.quarantined(now)
        self.quarantine.update(quarantined)
        incarnations_with_reused_address = self._directory.incarnations_with_reused_address()
        # A new planner has received few reports, so the number of live VMs would be too low.
        registered = max(1, len(self._map_distributor))
        self._update_vms(vms_by_zone[self._node.zone], registered)
        self._pending_incarnations = pending
        leaving = self._directory.leaving_incarnations()
        limits = self._rate_limits.next_announcements()
        self._rate_limits.note_announced(limits)
        evacuated = self._evacuations.list_all()
        queue_waits = self._map_distributor.queue_waits_by_vm()
        queue_waits[self._node.vm] = self._queue_waits()
        self._queue_owners.announce(
            self._choose_queue_owners(now), entry_vms=registered, waits_by_vm=queue_waits
        )
        updates_since = functools.cache(self._updates.update_since)
        for peer in self._map_distributor.others():
            heartbeat = messages.PlannerHeartbeat(
                vm=self._node.vm,
                term=self.leadership.term,
                echo_vm_incarnation=peer.vm_incarnation,
                echo_stamp=peer.stamp,
                confirm_age_s=max(0.0, peer.reported_at - self.leadership.confirmed_at),
                versions_by_service=versions,
                zone_vms=vms_by_zone.get(peer.node.zone, ()),
                entry_vms=registered,
                pending=pending,
                admitted_fraction_by_server=admitted,
                quarantined=quarantined,
                update=self._update_for(peer, updates_since(peer.position)),
                incarnations_with_reused_address=incarnations_with_reused_address,
                rate_limits=limits,
                leaving=leaving,
                evacuations=evacuated,
                queue_owners=self._queue_owners.owners,
                queue_waits_by_vm=queue_waits,
            )
            self._datagrams.send(messages.encode(heartbeat), peer.node.address)
            self._map_distributor.resend(peer, now)
            self._config_distributor.resend(
                peer.node.address, reported=peer.config_row, reported_at=peer.reported_at
            )
        self._take_report(self._own_report())

    def _choose_queue_owners(self, now: float) -> tuple[owners.Owner, ...]:
        """Return the owners of queues; a new planner keeps them until the others have reported."""
        if now - self._term_began_at < OWNERS_KEPT_S:
            return self._queue_owners.owners
        live = self._map_distributor.live_owners(now)
        if self._queue_weight > 0 and not self._stopping:
            own = owners.Owner(
                self._node.vm, self._node.zone, self._node.address, self._queue_weight
            )
            live.append(own)
        return owners.choose_owners(
            live, self._queue_owners.owners, entry_vms=len(self._map_distributor)
        )

    def _owns_queue(self, vm: ids.EntryVmId, server: ids.ServerId) -> bool:
        record = self._directory.by_id.get(server)
        if record is None or not self._queue_owners.is_forwarding:
            return False
        owner = self._queue_owners.owner_of(server, record.entry.zone)
        return owner is not None and owner.vm == vm

    def _update_for(
        self, peer: map_distribution.Peer, update: directory_sync.DirectoryUpdate | None
    ) -> directory_sync.DirectoryUpdate | None:
        """Return the update without a configuration whose datagrams have not all been sent yet.

        An entry VM that knows of a configuration soon reads it from the store.
        """
        if update is None or not self._config_distributor.is_sending(peer.node.address):
            return update
        return dataclasses.replace(update, config_row=peer.config_row)

    def _update_vms(self, zone_vms: tuple[ids.EntryVmId, ...], registered: int) -> None:
        is_listed = self._node.vm in zone_vms
        self.lessor.vms = zone_vms if is_listed else (*zone_vms, self._node.vm)
        self._entry_vm_count = registered

    def _on_datagram(self, datagram: bytes, address: tuple[str, int]) -> None:
        try:
            message = messages.decode(datagram, peer=address[0])
        except errors.BadFrameError as error:
            _log.warning("%s", error, extra={"step": "fleet", "peer": address[0]})
            return
        match message:
            case messages.Report():
                self._take_report(message)
            case messages.PlannerHeartbeat():
                self._take_heartbeat(message, address)
            case messages.RangesPart():
                self._take_part(message)
            case messages.ConfigPart():
                self._config_distributor.receive(message)

    def _take_report(self, report: messages.Report) -> None:
        if not self.leadership.held or self.planner.is_in_removal(report.vm):
            return
        self._map_distributor.on_report(report)
        self._note_address_reused(report.incarnations_with_reused_address)
        self._note_leaving(report.leaving)
        self._rate_limits.merge(report.rate_limits)
        self.planner.on_report(report)

    def _take_heartbeat(
        self, heartbeat: messages.PlannerHeartbeat, address: tuple[str, int]
    ) -> None:
        if heartbeat.term < self._heard_term:
            return
        if self.leadership.held:
            self.leadership.step_down(f"{heartbeat.vm} is the planner in term {heartbeat.term}")
        if heartbeat.term > self._heard_term or address != self._planner_address:
            _log.info("following planner %s", heartbeat.vm, extra={"step": "fleet"})
        self._heard_term = heartbeat.term
        now = self._now()
        self._is_planner_unconfirmed = (
            heartbeat.confirm_age_s > UNCONFIRMED_S and self._directory.is_current(now)
        )
        if not self._is_planner_unconfirmed:
            self._planner_heard_at = now
        self._planner_address = address
        self._pending_incarnations = heartbeat.pending
        self.admission.update(heartbeat.admitted_fraction_by_server)
        self.quarantine.update(heartbeat.quarantined)
        self._update_vms(heartbeat.zone_vms, heartbeat.entry_vms)
        if heartbeat.echo_vm_incarnation == self._vm_incarnation and heartbeat.echo_stamp >= 0:
            confirmed_at = heartbeat.echo_stamp - heartbeat.confirm_age_s
            self._confirmed_at = max(self._confirmed_at, confirmed_at)
            self.range_maps.confirm(heartbeat.versions_by_service, confirmed_at)
        self._note_address_reused(heartbeat.incarnations_with_reused_address)
        self._note_leaving(heartbeat.leaving)
        self._rate_limits.note_announced(heartbeat.rate_limits)
        if heartbeat.queue_owners:
            # A new planner that has heard of no owners yet names none.
            self._queue_owners.announce(
                heartbeat.queue_owners,
                entry_vms=heartbeat.entry_vms,
                waits_by_vm=heartbeat.queue_waits_by_vm,
            )
        if heartbeat.evacuations is not None:
            self._evacuations.apply_announced(heartbeat.evacuations)
        if heartbeat.update is not None:
            self._updates.apply(heartbeat.update)
        self._datagrams.send(messages.encode(self._own_report()), address)

    def _note_address_reused(self, incarnations: Iterable[model.ServerIncarnation]) -> None:
        for incarnation in incarnations:
            self._directory.note_address_reused(incarnation)

    def _note_leaving(self, incarnations: Iterable[model.ServerIncarnation]) -> None:
        for incarnation in incarnations:
            self._directory.note_leaving(incarnation)

    def _own_report(self) -> messages.Report:
        return messages.Report(
            vm=self._node.vm,
            zone=self._node.zone,
            vm_incarnation=self._vm_incarnation,
            stamp=self._now(),
            versions_by_service=self.range_maps.versions(),
            remaining_by_incarnation={
                incarnation: self.lessor.remaining_s(incarnation)
                for incarnation in self._pending_incarnations
            },
            unreachable=(*self.lessor.unreachable, *self._unreachable_incarnations()),
            keys_by_service=self._request_counts.take_keys(),
            service_time_by_server=self._request_counts.take_latencies(),
            crash_suspects=tuple(self.quarantine.take_unreported()),
            position=self._updates.position,
            incarnations_with_reused_address=self._directory.incarnations_with_reused_address(),
            completed_suspects=tuple(self.quarantine.cleared(self._now())),
            config_row=self._updates.config_row,
            rate_limits=self._rate_limits.unannounced(),
            leaving=self._directory.leaving_incarnations(),
            queue_weight=0.0 if self._stopping else self._queue_weight,
            queue_wait_by_service=self._queue_waits(),
            refused_tokens_by_service=self.lessor.take_refused(),
        )

    def _take_part(self, part: messages.RangesPart) -> None:
        if part.term < self._heard_term:
            return
        ranges = self._assembler.add(part, self.range_maps.by_service.get(part.service))
        if ranges is not None:
            # Not confirmed yet: the next planner heartbeat tells when this version was current.
            self.range_maps.adopt(ranges, part.version, self._last_confirmed_at(part.service))

    def _last_confirmed_at(self, service: ids.ServiceName) -> float:
        known = self.range_maps.by_service.get(service)
        return float("-inf") if known is None else known.confirmed_at


def _send_config(
    sender: paced_sender.PacedSender, address: tuple[str, int], datagrams: Sequence[bytes]
) -> None:
    sender.add(address, paced_sender.CONFIG_TOPIC, datagrams)
