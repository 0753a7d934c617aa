"""The planner: the elected entry VM, which changes range maps and moves keys between servers."""

from __future__ import annotations

import collections
import dataclasses
import enum
import logging
from collections.abc import Callable, Iterable, Iterator

from twisted.internet import defer

from celerystack import errors, ids
from celerystack.fleet import messages, nodes, rows, servers
from celerystack.limits import crash_suspects
from celerystack.ranges import (
    codec,
    key_load,
    leadership,
    lease_reports,
    leases,
    map_draft,
    map_recovery,
    model,
    orders,
    plan,
    range_maps,
    releases,
    service_times,
    token_lifts,
)

_log = logging.getLogger(__name__)

CONFIRM_S = 0.8
"""Time in seconds since the last confirmation of the leadership after which it is renewed."""
RELEASE_TIMEOUT_S = 1.0
"""Timeout of a release order in seconds."""
SILENT_AFTER_FAILURES = 2
"""Number of failed release orders for the same keys after which a server counts as silent."""
ADMITTED_UTILIZATION = 0.92
"""Utilization of a server up to which all requests for its keys are admitted."""
CAPACITY_MINIMUM = 1.0
"""Smallest capacity of a server in requests/s. With a smaller one every key would use most of its
server, and none would be moved."""
NODES_REFRESH_S = 1.0
"""Shortest interval in seconds between reads of the registered entry VMs while the planner waits
for the leases of a silent server."""
SERVERS_STABLE_S = 1.2
"""Time without a new server before the keys of a service are first assigned, so that all servers
get keys."""
SERVERS_WAIT_MAX_S = 5.0
"""Longest wait for more servers after the first one appeared."""
REPORT_VALID_S = 1.5
"""Age in seconds up to which an entry VM's report of unreachable servers counts."""
SILENT_REPORTS = 2
"""Number of entry VMs that must report a server unreachable before it counts as silent; a
single one may be partitioned. If fewer reported recently, all of those must."""

_ReleaseKey = tuple[ids.ServiceName, int, int, int, model.ServerIncarnation]


@dataclasses.dataclass(slots=True)
class _Release:
    """State of the release of a segment's keys by a former owner."""

    is_in_flight: bool = False
    failures: int = 0
    handover: str | None = None


class _LossReason(enum.Enum):
    """Why a possible holder certainly does not hold the keys of a segment any more."""

    RELEASED = "released"
    ENDED = "ended"
    LEASES_EXPIRED = "leases expired"


@dataclasses.dataclass(frozen=True, slots=True)
class _Loss:
    """The certain loss of a segment's keys by a possible holder.

    Attributes
    ----------
    handover : str
        Data that the holder returned with the release; empty if there is none.
    """

    reason: _LossReason
    handover: str = ""


class Planner:
    """Plans and carries out changes of ownership while this VM is the planner.

    Parameters
    ----------
    sharded_services : callable
        Returns the services whose keys are divided among servers.
    on_commit : callable
        Called with a service after its map has changed.
    rate_limit : callable
        Returns the requests/s that a server accepts, if it states a limit, otherwise None.
    avoids_cold : callable
        Returns whether the cold servers of a service tolerate few requests, so that keys are not
        given to them.
    owns_queue : callable
        Returns whether an entry VM owns the queue of a server. The latencies that it measures
        contain no waiting at the server.
    """

    def __init__(
        self,
        *,
        leadership: leadership.Leadership,
        store: rows.RowStore,
        maps: range_maps.RangeMaps,
        directory: servers.Directory,
        port: orders.OrderPort,
        sharded_services: Callable[[], Iterable[ids.ServiceName]],
        on_commit: Callable[[ids.ServiceName], None],
        rate_limit: Callable[[model.ServerIncarnation], float | None],
        avoids_cold: Callable[[ids.ServiceName], bool],
        owns_queue: Callable[[ids.EntryVmId, ids.ServerId], bool],
        now: Callable[[], float],
    ) -> None:
        self.leadership = leadership
        self._store = store
        self._range_maps = maps
        self._directory = directory
        self._port = port
        self._sharded_services = sharded_services
        self._on_commit = on_commit
        self._rate_limit = rate_limit
        self._avoids_cold = avoids_cold
        self._owns_queue = owns_queue
        self._now = now
        self._lease_reports = lease_reports.LeaseReports(zone_of=self._zone_of)
        self._releases: dict[_ReleaseKey, _Release] = {}
        self._commit_by_token: dict[tuple[ids.ServiceName, int], tuple[int, float]] = {}
        self._load_by_service: dict[ids.ServiceName, key_load.KeyLoad] = {}
        self.service_times = service_times.ServiceTimes()
        self._utilization_by_server: dict[ids.ServerId, float] = {}
        self._service_state_by_service: dict[ids.ServiceName, map_draft.ServiceState] = {}
        self._unreachable_by_vm: dict[
            ids.EntryVmId, tuple[float, tuple[model.ServerIncarnation, ...]]
        ] = {}
        self.suspects = crash_suspects.Suspects()
        self._nodes_read_at = 0.0
        self._term_began_at = 0.0
        self._maps_loaded = False
        self._recovery_by_service: dict[ids.ServiceName, map_recovery.MapRecovery] = {}
        self._token_lifts = token_lifts.TokenLifts()

    async def tick(self) -> None:
        """Renew the leadership if due, and update the range map of every service."""
        if not self._maps_loaded:
            await self._load_maps()
        if not self.leadership.held:
            return
        if self._now() - self.leadership.confirmed_at >= CONFIRM_S:
            await self.leadership.renew()
        await self._refresh_nodes()
        for service in self._sharded_services():
            if service in self._recovery_by_service:
                await self._continue_recovery(service)
            else:
                await self._update_map(service)

    def begin_term(self) -> None:
        """Start a term without maps, releases and commits of an earlier one; they may be stale."""
        self._maps_loaded = False
        self._recovery_by_service.clear()
        self._releases.clear()
        self._commit_by_token.clear()
        self._token_lifts.begin_term()
        self._term_began_at = self._now()
        self._lease_reports.begin_term(self._term_began_at)

    def on_report(self, report: messages.Report) -> None:
        """Record the report of an entry VM."""
        now = self._now()
        versions = report.versions_by_service
        self._lease_reports.note_heard(report.vm, report.zone, now)
        for incarnation, remaining_s in report.remaining_by_incarnation.items():
            by_service = {
                service: lease_reports.LeaseReport(version=version, expires_at=now + remaining_s)
                for service, version in versions.items()
            }
            self._lease_reports.record(report.vm, report.zone, incarnation, by_service)
        for service, keys in report.keys_by_service.items():
            self._load_by_service.setdefault(service, key_load.KeyLoad()).add(keys, now)
        for server, (count, mean_s) in report.service_time_by_server.items():
            includes_waiting = not self._owns_queue(report.vm, server)
            utilization = self._utilization_by_server.get(server, 0.0) if includes_waiting else 0.0
            self.service_times.add(server, count, mean_s, utilization)
        self._unreachable_by_vm[report.vm] = (now, report.unreachable)
        self._token_lifts.note_refused(report.refused_tokens_by_service)
        for suspect, incarnation in report.crash_suspects:
            self.suspects.add(suspect, incarnation, now)
        for suspect in report.completed_suspects:
            self.suspects.clear(suspect, now)

    def quarantined(self, now: float) -> tuple[ids.Fingerprint, ...]:
        """Return the fingerprints of the requests that crash servers and must be rejected."""
        silent = self._silent_incarnations()
        return self.suspects.quarantined(
            now,
            is_down=lambda incarnation: (
                incarnation in silent
                or self._directory.has_ended(incarnation)
                or self._directory.is_replaced(incarnation)
            ),
        )

    def pending_incarnations(self) -> tuple[model.ServerIncarnation, ...]:
        """Return the possible holders, whose remaining leases delay the next grant of some keys.

        Drops the lease reports about all other incarnations.
        """
        pending: set[model.ServerIncarnation] = set()
        for known in self._range_maps.by_service.values():
            for segment in known.ranges.segments:
                pending.update(segment.pending)
        self._lease_reports.keep_only(pending)
        return tuple(sorted(pending))

    def admitted_fraction_by_server(self) -> dict[ids.ServerId, float]:
        """Return the fraction of requests to admit for each overloaded server.

        Updates the utilizations by which later latencies are judged.
        """
        admitted: dict[ids.ServerId, float] = {}
        for service, service_state in self._service_state_by_service.items():
            known = self._range_maps.by_service.get(service)
            if known is None:
                continue
            for incarnation, utilization in plan.utilizations(known.ranges, service_state).items():
                self._utilization_by_server[incarnation.server] = utilization
                if utilization > ADMITTED_UTILIZATION:
                    admitted[incarnation.server] = ADMITTED_UTILIZATION / utilization
        return admitted

    async def _load_maps(self) -> None:
        """Read all range maps; from then on only this VM changes them.

        A map that is older than the store's return from an earlier copy has to be recovered.
        """
        confirmed_at = leases.confirmation_by_read(self._now())
        answer = await self._store.scan(leadership.RANGES_TABLE)
        if rows.era_of(answer.version) != self.leadership.era:
            self.leadership.step_down("the store came back from an earlier copy")
            return
        stored = {ids.ServiceName(row.key): row for row in answer.rows if row.value is not None}
        for service in sorted(stored.keys() | self._range_maps.by_service.keys()):
            row = stored.get(service)
            era = self.leadership.era
            if row is not None and codec.decode_era(service, row.value) == era:
                self._range_maps.adopt(codec.decode(service, row.value), row.version, confirmed_at)
            else:
                await self._begin_recovery(service, row)
        self._maps_loaded = True

    async def _begin_recovery(self, service: ids.ServiceName, row: rows.Row | None) -> None:
        """Reserve tokens for the recovery of a map, of which the store has an old row or none.

        If no map is known at all, one may be lost by which servers hold keys; they release all. The
        tokens are reserved in the store, so that a planner that replaces this one uses higher
        ones. The row keeps the era of the map until it is recovered.
        """
        known = self._range_maps.by_service.get(service)
        found = map_recovery.candidates(service, known=known, row=row, era=self.leadership.era)
        newest = map_recovery.newest(found, self.leadership.era)
        ranges = map_recovery.with_reserved_tokens(newest.ranges)
        version = await self.leadership.commit(
            ranges,
            rows.ABSENT if row is None else row.version,
            written_in=ids.StoreEra(min(newest.era, self.leadership.era - 1)),
        )
        self._lease_reports.note_lost_registrations(self._now())
        _log.warning(
            "the newest range map may be lost; releasing all keys that the known one of version %d "
            "does not give their holders",
            newest.version,
            extra={"step": "planner.recover", "service": service, "token": ranges.next_token},
        )
        self._recovery_by_service[service] = map_recovery.MapRecovery(
            ranges, version, directory=self._directory, port=self._port, now=self._now
        )

    async def _continue_recovery(self, service: ids.ServiceName) -> None:
        recovery = self._recovery_by_service[service]
        recovered = recovery.step()
        if recovered is None:
            return
        before = range_maps.KnownMap(
            model.unassigned(service, self.leadership.era), recovery.row_version, self._now()
        )
        await self._commit(recovered, before)
        del self._recovery_by_service[service]

    async def _refresh_nodes(self) -> None:
        now = self._now()
        if now - self._nodes_read_at < NODES_REFRESH_S or not self._has_silent_pending():
            return
        by_vm = await nodes.read_all(self._store)
        self._nodes_read_at = now
        self.update_vms(by_vm, now)

    def update_vms(self, by_vm: dict[ids.EntryVmId, nodes.Node], read_at: float) -> None:
        """Apply a list of the registered entry VMs whose read began at ``read_at``."""
        self._lease_reports.update_vms(by_vm, read_at=read_at, answered_at=self._now())

    async def remove_lost_vms(self, by_vm: dict[ids.EntryVmId, nodes.Node]) -> None:
        """Remove the rows of entry VMs that have been lost, so that nothing waits for them."""
        for vm in self._lease_reports.lost_vms(self._now()):
            self._lease_reports.begin_removal(vm)
            await self.leadership.remove_vm(by_vm[vm])
            _log.info(
                "removed the registration of an entry VM that does not report",
                extra={"step": "fleet", "peer": vm},
            )

    def is_in_removal(self, vm: ids.EntryVmId) -> bool:
        """Return whether the row of an entry VM may have been removed; see `LeaseReports`."""
        return self._lease_reports.is_in_removal(vm)

    def _has_silent_pending(self) -> bool:
        return any(
            segment.phase is model.Phase.RECOVERING
            for known in self._range_maps.by_service.values()
            for segment in known.ranges.segments
        )

    async def _update_map(self, service: ids.ServiceName) -> None:
        known = self._range_maps.by_service.get(service)
        if known is None:
            if not self._are_servers_stable(service):
                return
            if self.leadership.era > rows.FIRST_ERA:
                await self._begin_recovery(service, None)
                return
            ranges = model.unassigned(service, self.leadership.era)
            known = range_maps.KnownMap(ranges, rows.ABSENT, self._now())
        service_state = self._service_state(service)
        self._service_state_by_service[service] = service_state
        changed = plan.settle(known.ranges, self._handover_by_freed_segment(known))
        changed = plan.plan(self._token_lifts.apply(changed), service_state)
        if changed != known.ranges:
            await self._commit(changed, known)
        self._start_releases(service)

    def _are_servers_stable(self, service: ids.ServiceName) -> bool:
        """Return whether the keys of a service can be assigned without waiting for more servers."""
        appeared = [record.appeared_at for record in self._directory.usable(service)]
        if not appeared:
            return False
        now = self._now()
        return now - max(appeared) >= SERVERS_STABLE_S or now - min(appeared) >= SERVERS_WAIT_MAX_S

    async def _commit(self, changed: model.RangeMap, before: range_maps.KnownMap) -> None:
        version = await self.leadership.commit(changed, ids.RowVersion(before.version))
        now = self._now()
        old_tokens = {segment.token for segment in before.ranges.segments}
        for segment in changed.segments:
            if segment.token not in old_tokens:
                self._commit_by_token[changed.service, segment.token] = (version, now)
                self._log_change(changed.service, segment)
        self._range_maps.adopt(changed, version, self.leadership.confirmed_at)
        self._on_commit(changed.service)

    def _log_change(self, service: ids.ServiceName, segment: model.Segment) -> None:
        _log.info(
            "assigned keys %d to %d to %s, phase %s, possible holders %s",
            segment.start,
            segment.end,
            segment.owner.server if segment.owner else "nobody",
            segment.phase.value,
            [f"{holder.server} started {holder.started_ms}" for holder in segment.pending],
            extra={"step": "planner.assign", "service": service, "token": segment.token},
        )

    def _service_state(self, service: ids.ServiceName) -> map_draft.ServiceState:
        now = self._now()
        records = self._assignable(service)
        silent = self._silent_incarnations()
        service_s_by_server = self.service_times.estimate(
            [record.entry.server for record in records]
        )
        candidates = {
            record.entry.incarnation: map_draft.Candidate(
                incarnation=record.entry.incarnation,
                capacity=self._capacity(record, service_s_by_server[record.entry.server]),
                reachable=record.entry.incarnation not in silent,
            )
            for record in records
        }
        load = self._load_by_service.setdefault(service, key_load.KeyLoad())
        return map_draft.ServiceState(
            candidates_by_incarnation=candidates,
            has_ended=self._directory.has_ended,
            is_silent=silent.__contains__,
            keeps_keys=self._keeps_keys,
            load=load.snapshot(now, keys=model.KEY_MAX + 1),
        )

    def _assignable(self, service: ids.ServiceName) -> list[servers.ServerRecord]:
        """Return the servers that may be given keys.

        Cold servers are left out, unless the warm ones have less than half of the slots and would
        be overloaded.
        """
        records = self._directory.usable(service)
        if not self._avoids_cold(service):
            return records
        now = self._now()
        warm = [record for record in records if now >= record.warm_at]
        return warm if 2 * _slots(warm) >= _slots(records) else records

    def _capacity(self, record: servers.ServerRecord, service_s: float) -> float:
        """Return the requests/s that a server can process, at most what it accepts."""
        capacity = max(1, record.entry.slots) / service_s
        limit = self._rate_limit(record.entry.incarnation)
        return capacity if limit is None else min(capacity, max(CAPACITY_MINIMUM, limit))

    def _keeps_keys(self, incarnation: model.ServerIncarnation) -> bool:
        """Return whether an incarnation that is not usable keeps its keys for now.

        If no entry VM of its availability zone reports, the zone is probably cut off from this VM.
        Its entry VMs may go on renewing leases by the present map, so the keys could not be granted
        to others sooner if they were taken away earlier.
        """
        record = self._directory.find_record(incarnation)
        if record is None or record.address_reused:
            return False
        return self._lease_reports.is_zone_waited_for(record.entry.zone, self._now())

    def _silent_incarnations(self) -> set[model.ServerIncarnation]:
        """Return the incarnations that count as silent.

        These are the ones that several entry VMs reported unreachable, or that did not answer
        release orders of this VM.
        """
        now = self._now()
        recent = [
            set(incarnations)
            for reported_at, incarnations in self._unreachable_by_vm.values()
            if now - reported_at < REPORT_VALID_S
        ]
        needed = min(SILENT_REPORTS, len(recent))
        counts = collections.Counter(
            incarnation for incarnations in recent for incarnation in incarnations
        )
        silent = {incarnation for incarnation, count in counts.items() if count >= needed}
        for key, release in self._releases.items():
            if release.failures >= SILENT_AFTER_FAILURES and release.handover is None:
                silent.add(key[4])
        return silent

    def _zone_of(self, incarnation: model.ServerIncarnation) -> ids.ZoneName | None:
        entry = self._directory.find_entry(incarnation)
        return None if entry is None else entry.zone

    def _handover_by_freed_segment(self, known: range_maps.KnownMap) -> dict[model.Segment, str]:
        """Return the handovers of the segments whose possible holders have all lost the keys."""
        now = self._now()
        handover_by_segment: dict[model.Segment, str] = {}
        for segment in known.ranges.segments:
            loss_by_holder = {
                incarnation: self._loss(known, segment, incarnation, now)
                for incarnation in segment.pending
            }
            losses = [loss for loss in loss_by_holder.values() if loss is not None]
            if not segment.pending or len(losses) < len(segment.pending):
                continue
            handover_by_segment[segment] = next((x.handover for x in losses if x.handover), "")
            self._log_losses(known.ranges.service, segment, loss_by_holder)
        return handover_by_segment

    def _loss(
        self,
        known: range_maps.KnownMap,
        segment: model.Segment,
        incarnation: model.ServerIncarnation,
        now: float,
    ) -> _Loss | None:
        """Return how an incarnation lost the keys of a segment; None if it may still hold them."""
        release = self._releases.get(_release_key(known.ranges.service, segment, incarnation))
        if release is not None and release.handover is not None:
            return _Loss(_LossReason.RELEASED, release.handover)
        if self._directory.has_ended(incarnation):
            return _Loss(_LossReason.ENDED)
        version, committed_at = self._commit_by_token.get(
            (known.ranges.service, segment.token), (known.version, self._term_began_at)
        )
        all_expired_at = self._lease_reports.all_expired_at(
            incarnation, known.ranges.service, version=version, committed_at=committed_at
        )
        return _Loss(_LossReason.LEASES_EXPIRED) if now >= all_expired_at else None

    def _log_losses(
        self,
        service: ids.ServiceName,
        segment: model.Segment,
        loss_by_holder: dict[model.ServerIncarnation, _Loss | None],
    ) -> None:
        _log.info(
            "keys %d to %d are free: %s",
            segment.start,
            segment.end,
            ", ".join(
                f"{holder.server} started {holder.started_ms} {loss.reason.value}"
                for holder, loss in loss_by_holder.items()
                if loss is not None
            ),
            extra={"step": "planner.free", "service": service, "token": segment.token},
        )

    def _start_releases(self, service: ids.ServiceName) -> None:
        known = self._range_maps.by_service.get(service)
        if known is None or not self.leadership.held:
            return
        wanted: set[_ReleaseKey] = set()
        due_by_incarnation: dict[model.ServerIncarnation, list[model.Segment]] = {}
        address_by_incarnation: dict[model.ServerIncarnation, str] = {}
        for segment in known.ranges.segments:
            for incarnation in segment.pending:
                key = _release_key(service, segment, incarnation)
                wanted.add(key)
                release = self._releases.setdefault(key, _Release())
                entry = self._directory.find_entry(incarnation)
                if not release.is_in_flight and release.handover is None and entry is not None:
                    due_by_incarnation.setdefault(incarnation, []).append(segment)
                    address_by_incarnation[incarnation] = entry.address
        for incarnation, segments in due_by_incarnation.items():
            address = address_by_incarnation[incarnation]
            for group in self._release_groups(segments, address):
                self._start_release(service, group, incarnation, address)
        for key in [k for k in self._releases if k[0] == service and k not in wanted]:
            del self._releases[key]

    def _release_groups(
        self, segments: list[model.Segment], address: str
    ) -> Iterator[tuple[model.Segment, ...]]:
        """Yield groups of segments that are released at an address with one order each.

        The next owner may listen there too, after a restart. Its keys are released under their own
        token, because it would refuse a grant below a joint one.
        """
        others: list[model.Segment] = []
        for segment in segments:
            owner = None if segment.owner is None else self._directory.find_entry(segment.owner)
            if owner is not None and owner.address == address:
                yield (segment,)
            else:
                others.append(segment)
        yield from releases.group(others)

    def _start_release(
        self,
        service: ids.ServiceName,
        group: tuple[model.Segment, ...],
        incarnation: model.ServerIncarnation,
        address: str,
    ) -> None:
        """Release the keys of adjacent segments with one order.

        Whoever answers at the address of the incarnation, nobody else there holds the keys: either
        the incarnation still runs, or its process has ended and another one answers.
        """
        group_releases = [
            self._releases[_release_key(service, segment, incarnation)] for segment in group
        ]
        for release in group_releases:
            release.is_in_flight = True
        sending = defer.Deferred.fromCoroutine(
            self._release(address, releases.join(group), group_releases, incarnation)
        )
        sending.addErrback(
            lambda failure: _log.error(
                "unexpected error while releasing keys: %s",
                failure.getTraceback(),
                extra={"step": "planner"},
            )
        )

    async def _release(
        self,
        address: str,
        segment: model.Segment,
        group_releases: list[_Release],
        incarnation: model.ServerIncarnation,
    ) -> None:
        fields = {"step": "planner.release", "peer": incarnation.server, "token": segment.token}
        try:
            handover = await self._port.release(address, segment, timeout_s=RELEASE_TIMEOUT_S)
            for release in group_releases:
                release.handover = handover
            _log.info("server released keys %d to %d", segment.start, segment.end, extra=fields)
        except errors.BackendError as error:
            for release in group_releases:
                release.failures += 1
            if max(release.failures for release in group_releases) <= SILENT_AFTER_FAILURES:
                _log.warning("server did not answer a release: %s", error, extra=fields)
        finally:
            for release in group_releases:
                release.is_in_flight = False


def _slots(records: Iterable[servers.ServerRecord]) -> int:
    return sum(record.entry.slots for record in records)


def _release_key(
    service: ids.ServiceName, segment: model.Segment, incarnation: model.ServerIncarnation
) -> _ReleaseKey:
    return service, segment.start, segment.end, segment.token, incarnation
