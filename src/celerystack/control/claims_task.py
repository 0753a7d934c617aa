"""Claims request ids at entry VMs of the home zone; implements `requests.ports.ClaimPort`."""

from __future__ import annotations

import itertools
import logging

from twisted.internet import defer, interfaces, task

from celerystack import errors, ids, model
from celerystack.control import ended_vms, membership_task
from celerystack.control import view as cluster_view
from celerystack.lease import rendezvous
from celerystack.peers import mesh as peer_mesh
from celerystack.peers import messages
from celerystack.requests import claims

CLAIM_TIMEOUT_S = 0.5
"""Timeout for one holder. Shorter than the time to detect a silent entry VM (`timing.PEER_DOWN_S`):
a prompt ``not-run``, after which the caller can send again, is better than a longer wait."""

RETRY_S = 0.1
"""Pause in seconds before a claim is tried again."""
RETRY_TIMEOUT_S = 1.0
"""Time in seconds after which a claim is no longer retried. Longer than `timing.PEER_DOWN_S`, after
which other entry VMs are chosen as holders."""

UPTIME_TOLERANCE_S = 3.0
"""Entry VMs whose uptimes differ by less, in seconds, count as started together after all entry VMs
had ended; an older one in another zone may hold earlier claims."""

_log = logging.getLogger(__name__)


class ClaimsTask:
    """Claims request ids for this entry VM and holds claims of other entry VMs.

    The holders are asked one after the other, so that one of two concurrent claimants wins.
    """

    def __init__(
        self,
        clock: interfaces.IReactorTime,
        *,
        table: claims.ClaimTable,
        view: cluster_view.ClusterView,
        mesh: peer_mesh.Mesh,
        membership: membership_task.MembershipTask,
    ) -> None:
        self._clock = clock
        self._ended = ended_vms.EndedEntryVms(mesh=mesh, membership=membership)
        self._table = table
        self._view = view
        self._mesh = mesh
        self._started_at = clock.seconds()
        self._holders_by_request: dict[ids.RequestId, list[ids.EntryVmId]] = {}
        self._pending_replies: dict[tuple[int, ids.EntryVmId], defer.Deferred] = {}
        self._attempts = itertools.count(1)
        mesh.add_handler(self._handle)

    def claim(
        self, request_id: ids.RequestId, home_zones: tuple[ids.ZoneName, ...], deadline: float
    ) -> defer.Deferred[messages.ClaimState]:
        """Claim a request id; fails with `errors.PeerError` if a holder does not answer in time."""
        return defer.ensureDeferred(self._claim(request_id, home_zones, deadline))

    def record_final_state(
        self,
        request_id: ids.RequestId,
        home_zones: tuple[ids.ZoneName, ...],
        state: messages.ClaimState,
    ) -> None:
        """Record the final state of a claimed request at its holders."""
        for vm in self._holders_by_request.pop(request_id, []):
            self._mesh.send(vm, messages.ClaimResult(request_id, state))

    async def _claim(
        self, request_id: ids.RequestId, home_zones: tuple[ids.ZoneName, ...], deadline: float
    ) -> messages.ClaimState:
        if request_id in self._holders_by_request:
            return messages.ClaimState.RUNNING
        retry_deadline = min(deadline, self._clock.seconds() + RETRY_TIMEOUT_S)
        while True:
            try:
                return await self._claim_once(request_id, home_zones, deadline)
            except errors.PeerError:
                if self._clock.seconds() + RETRY_S >= retry_deadline:
                    raise
            # Retrying is safe: the request has not been sent. Ended holders are soon replaced.
            await task.deferLater(self._clock, RETRY_S)

    async def _claim_once(
        self, request_id: ids.RequestId, home_zones: tuple[ids.ZoneName, ...], deadline: float
    ) -> messages.ClaimState:
        holders = self._holders(request_id, home_zones)
        self._holders_by_request[request_id] = holders
        try:
            for position, vm in enumerate(holders):
                state = await self._ask(request_id, vm, deadline)
                if state is not messages.ClaimState.ACCEPTED:
                    self._release(request_id, holders[:position])
                    return state
        except (errors.PeerError, defer.CancelledError):
            self._release(request_id, holders)
            raise
        return messages.ClaimState.ACCEPTED

    def _release(self, request_id: ids.RequestId, asked: list[ids.EntryVmId]) -> None:
        self._holders_by_request[request_id] = asked
        self.record_final_state(request_id, (), messages.ClaimState.NOT_RUN)

    def _holders(
        self, request_id: ids.RequestId, home_zones: tuple[ids.ZoneName, ...]
    ) -> list[ids.EntryVmId]:
        """Return the holders in the home zone and in the zones that the key has recently left.

        A zone that the key has left is skipped if none of its entry VMs is connected: otherwise the
        loss of a whole zone would block all writes to the keys that were taken over from it.
        """
        live_by_zone: dict[ids.ZoneName, list[ids.EntryVmId]] = {}
        for entry_vm in self._mesh.live_entry_vms():
            live_by_zone.setdefault(entry_vm.zone, []).append(entry_vm.vm)
        recent = self._recently_started()
        chosen = self._home_holders(request_id, home_zones[:1], live_by_zone, recent)
        for zone in home_zones[1:]:
            chosen += claims.holders(request_id, live_by_zone.get(zone, []), recent=recent)
        return list(dict.fromkeys(chosen))

    def _home_holders(
        self,
        request_id: ids.RequestId,
        home_zone: tuple[ids.ZoneName, ...],
        live_by_zone: dict[ids.ZoneName, list[ids.EntryVmId]],
        recent: set[ids.EntryVmId],
    ) -> list[ids.EntryVmId]:
        """Return the holders in the home zone.

        If all entry VMs of the zone have ended, the next zone in a fixed order takes its place.
        The next zone is asked as well while all entry VMs of a zone are replacements so young
        that claims from before their start may still be held there.
        """
        chosen: list[ids.EntryVmId] = []
        for zone in self._zones_in_order(request_id, home_zone):
            live = live_by_zone.get(zone, [])
            if not live and not self._ended.zone_has_ended(zone):
                raise errors.PeerError(
                    "no entry VM of the home zone is connected", step="claims.holders", peer=zone
                )
            chosen += claims.holders(request_id, live, recent=recent)
            has_established_vm = any(vm not in recent for vm in live)
            if live and (has_established_vm or not self._has_older_vm_elsewhere(zone, live)):
                break
        return chosen

    def _has_older_vm_elsewhere(self, zone: ids.ZoneName, live: list[ids.EntryVmId]) -> bool:
        """Return whether another zone may hold claims made while ``zone`` had no entry VM."""
        uptimes = self._uptimes_by_vm()
        oldest_s = max(uptimes.get(vm, 0.0) for vm in live)
        others = [p.entry_vm for p in self._mesh.peers_by_vm.values()] + [self._mesh.own_entry_vm]
        return any(
            uptimes.get(other.vm, 0.0) > oldest_s + UPTIME_TOLERANCE_S
            for other in others
            if other.zone != zone
        )

    def _uptimes_by_vm(self) -> dict[ids.EntryVmId, float]:
        now = self._clock.seconds()
        uptimes = {
            vm: peer.heartbeat.uptime_s + now - peer.last_heard_at
            for vm, peer in self._mesh.peers_by_vm.items()
            if peer.heartbeat is not None
        }
        return {**uptimes, self._mesh.own_entry_vm.vm: now - self._started_at}

    def _zones_in_order(
        self, request_id: ids.RequestId, home_zone: tuple[ids.ZoneName, ...]
    ) -> list[ids.ZoneName]:
        zones = {server.zone for server in self._view.configuration.servers_by_id.values()}
        ranked = rendezvous.ranked(request_id, zones | {self._mesh.own_entry_vm.zone})
        home = home_zone[0] if home_zone else ids.ZoneName(ranked[0])
        return [home, *(ids.ZoneName(zone) for zone in ranked if zone != home)]

    def _recently_started(self) -> set[ids.EntryVmId]:
        uptimes = self._uptimes_by_vm()
        return {vm for vm, uptime_s in uptimes.items() if uptime_s < claims.RECENT_ENTRY_VM_AGE_S}

    async def _ask(
        self, request_id: ids.RequestId, vm: ids.EntryVmId, deadline: float
    ) -> messages.ClaimState:
        remaining_ms = max(0, int((deadline - self._clock.seconds()) * 1000))
        answer: defer.Deferred[messages.ClaimState] = defer.Deferred()
        attempt = next(self._attempts)
        self._pending_replies[attempt, vm] = answer
        answer.addTimeout(CLAIM_TIMEOUT_S, self._clock)
        claim = messages.Claim(
            request=request_id,
            claimant=self._mesh.own_entry_vm.vm,
            remaining_ms=remaining_ms,
            attempt=attempt,
        )
        try:
            if not self._mesh.send(vm, claim):
                raise errors.PeerError("no stream", step="claims.ask", peer=vm)
            return await answer
        except defer.TimeoutError as error:
            raise errors.PeerError("no answer to a claim", step="claims.ask", peer=vm) from error
        finally:
            del self._pending_replies[attempt, vm]

    def _handle(self, sender: model.EntryVm, message: messages.Message) -> None:
        now = self._clock.seconds()
        match message:
            case messages.Claim():
                deadline = now + message.remaining_ms / 1000
                state = self._table.claim(message.request, message.claimant, deadline, now)
                reply = messages.ClaimReply(message.request, state, message.attempt)
                self._mesh.send(sender.vm, reply)
            case messages.ClaimReply(state=state, attempt=attempt):
                answer = self._pending_replies.get((attempt, sender.vm))
                if answer is not None and not answer.called:
                    answer.callback(state)
            case messages.ClaimResult(request=request, state=state):
                self._table.record_final_state(request, state, now, claimant=sender.vm)
