"""Claims request ids at entry VMs of the home zone; implements `requests.ports.ClaimPort`."""

from __future__ import annotations

import logging

from twisted.internet import defer, interfaces

from celerystack import errors, ids, model
from celerystack.control import membership_task
from celerystack.control import view as cluster_view
from celerystack.lease import rendezvous
from celerystack.peers import mesh as peer_mesh
from celerystack.peers import messages
from celerystack.requests import claims

CLAIM_TIMEOUT_S = 0.5
"""Longest wait for one holder. It is shorter than the detection of a silent entry VM, because the
caller is better served by a prompt ``not-run`` that it can repeat."""

_log = logging.getLogger(__name__)


class ClaimsTask:
    """Asks the holders one after the other, so that of two claimants one wins."""

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
        self._membership = membership
        self._table = table
        self._view = view
        self._mesh = mesh
        self._started_at = clock.seconds()
        self._holders_by_request: dict[ids.RequestId, list[ids.EntryVmId]] = {}
        self._waiting: dict[tuple[ids.RequestId, ids.EntryVmId], defer.Deferred] = {}
        mesh.add_handler(self._handle)

    def claim(
        self, request_id: ids.RequestId, home_zone: ids.ZoneName | None, deadline: float
    ) -> defer.Deferred[messages.ClaimState]:
        """Claim a request id; fails with `errors.PeerError` if a holder does not answer."""
        return defer.ensureDeferred(self._claim(request_id, home_zone, deadline))

    def finish(
        self,
        request_id: ids.RequestId,
        home_zone: ids.ZoneName | None,
        state: messages.ClaimState,
    ) -> None:
        """Record the final state at the holders."""
        for vm in self._holders_by_request.pop(request_id, []):
            self._mesh.send(vm, messages.ClaimResult(request_id, state))

    async def _claim(
        self, request_id: ids.RequestId, home_zone: ids.ZoneName | None, deadline: float
    ) -> messages.ClaimState:
        if request_id in self._holders_by_request:
            return messages.ClaimState.RUNNING
        holders = self._holders(request_id, home_zone)
        self._holders_by_request[request_id] = holders
        try:
            for position, vm in enumerate(holders):
                state = await self._ask(request_id, vm, deadline)
                if state is not messages.ClaimState.ACCEPTED:
                    self._release(request_id, holders[:position])
                    return state
        except errors.PeerError:
            self._release(request_id, holders)
            raise
        return messages.ClaimState.ACCEPTED

    def _release(self, request_id: ids.RequestId, asked: list[ids.EntryVmId]) -> None:
        self._holders_by_request[request_id] = asked
        self.finish(request_id, None, messages.ClaimState.NOT_RUN)

    def _holders(
        self, request_id: ids.RequestId, home_zone: ids.ZoneName | None
    ) -> list[ids.EntryVmId]:
        """Return the holders in the home zone.

        Other zones are added in a fixed order while the zones before them have no entry VM that is
        older than the window of a claim: their entry VMs are gone, or have just replaced others
        whose claims may be held further down the order.
        """
        chosen: list[ids.EntryVmId] = []
        recent = self._recent()
        for zone in self._zones_in_order(request_id, home_zone):
            live = [e.vm for e in self._mesh.live_entry_vms() if e.zone == zone]
            if not live and not self._is_gone(zone):
                raise errors.PeerError(
                    "no entry VM of the home zone is connected", step="claims.holders", peer=zone
                )
            chosen += claims.holders(request_id, live, recent=recent)
            if any(vm not in recent for vm in live):
                break
        return chosen

    def _zones_in_order(
        self, request_id: ids.RequestId, home_zone: ids.ZoneName | None
    ) -> list[ids.ZoneName]:
        zones = {server.zone for server in self._view.configuration.servers_by_id.values()}
        ranked = rendezvous.ranked(request_id, zones | {self._mesh.me.zone})
        home = home_zone or ids.ZoneName(ranked[0])
        return [home, *(ids.ZoneName(zone) for zone in ranked if zone != home)]

    def _is_gone(self, zone: ids.ZoneName) -> bool:
        """Return whether every known entry VM of a zone has certainly ended."""
        listed = self._membership.entry_addresses_by_zone.get(zone, frozenset())
        peers = self._mesh.peers_by_vm.values()
        known = {p.entry_vm.peer_address for p in peers if p.entry_vm.zone == zone}
        return all(self._mesh.is_refused(address) for address in listed | known)

    def _recent(self) -> set[ids.EntryVmId]:
        now = self._clock.seconds()
        recent = {
            peer.entry_vm.vm
            for peer in self._mesh.live_peers()
            if peer.heartbeat is None or peer.heartbeat.uptime_s < claims.RECENT_S
        }
        return recent | ({self._mesh.me.vm} if now - self._started_at < claims.RECENT_S else set())

    async def _ask(
        self, request_id: ids.RequestId, vm: ids.EntryVmId, deadline: float
    ) -> messages.ClaimState:
        remaining_ms = max(0, int((deadline - self._clock.seconds()) * 1000))
        answer: defer.Deferred[messages.ClaimState] = defer.Deferred()
        self._waiting[request_id, vm] = answer
        answer.addTimeout(CLAIM_TIMEOUT_S, self._clock)
        claim = messages.Claim(
            request=request_id, claimant=self._mesh.me.vm, remaining_ms=remaining_ms
        )
        try:
            if not self._mesh.send(vm, claim):
                raise errors.PeerError("no stream", step="claims.ask", peer=vm)
            return await answer
        except defer.TimeoutError as error:
            raise errors.PeerError("no answer to a claim", step="claims.ask", peer=vm) from error
        finally:
            del self._waiting[request_id, vm]

    def _handle(self, sender: model.EntryVm, message: messages.Message) -> None:
        now = self._clock.seconds()
        match message:
            case messages.Claim(request=request, claimant=claimant, remaining_ms=remaining_ms):
                deadline = now + remaining_ms / 1000
                state = self._table.claim(request, claimant, deadline, now)
                self._mesh.send(sender.vm, messages.ClaimReply(request, state))
            case messages.ClaimReply(request=request, state=state):
                answer = self._waiting.get((request, sender.vm))
                if answer is not None and not answer.called:
                    answer.callback(state)
            case messages.ClaimResult(request=request, state=state):
                self._table.finish(request, state, now, claimant=sender.vm)
