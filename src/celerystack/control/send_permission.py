"""Permission to send to servers that do not check tokens (docs/design.md, section 4.6).

An entry VM may send to such a server only if it is a lessor of the server, or while the heartbeats
of a lessor confirm that both have the same rows.
"""

from __future__ import annotations

from collections.abc import Callable

from twisted.internet import interfaces

from celerystack import ids, model, timing
from celerystack.control import view as cluster_view
from celerystack.peers import mesh as peer_mesh
from celerystack.peers import messages
from celerystack.state import cache as row_cache

_SEND_PERMISSION_BOUND_S = timing.SEND_PERMISSION_S * (1 + timing.CLOCK_DRIFT)
"""Time after which the permission of another entry VM has expired, its clock drift included."""


class SendPermission:
    """Tracks which entry VMs have the same rows as this one, and until when that is confirmed.

    Parameters
    ----------
    unanswered : callable
        Returns the number of this entry VM's requests that may still run at a server.
    """

    def __init__(
        self,
        clock: interfaces.IReactorTime,
        *,
        view: cluster_view.ClusterView,
        mesh: peer_mesh.Mesh,
        cache: row_cache.RowCache,
        unanswered: Callable[[ids.ServerId], int],
    ) -> None:
        self._clock = clock
        self._view = view
        self._mesh = mesh
        self._cache = cache
        self._unanswered = unanswered
        self._permission_deadline_by_vm: dict[ids.EntryVmId, float] = {}
        self._confirmed_at_by_vm: dict[ids.EntryVmId, float] = {}
        self._row_changed_at_by_server: dict[ids.ServerId, float] = {}
        view.add_listener(self._view_changed)
        mesh.add_handler(self._handle)

    def may_send(self, server: ids.ServerId) -> bool:
        """Return whether a request may be written to a server in this reactor turn."""
        row = self._view.server_rows_by_id.get(server)
        if row is None or row.state is not model.ServerState.ACTIVE:
            return False
        return self._view.checks_token(server) or self._is_confirmed(row)

    def unanswered_by_server(self) -> dict[ids.ServerId, int]:
        """Return this entry VM's unanswered requests at servers that do not check tokens."""
        counts = {
            server: self._unanswered(server)
            for server in self._view.configuration.servers_by_id
            if not self._view.checks_token(server)
        }
        return {server: count for server, count in counts.items() if count}

    def senders_stopped(self, server: ids.ServerId, *, server_replies: bool) -> bool:
        """Return whether no entry VM can still send to a server on the basis of older rows.

        Parameters
        ----------
        server_replies : bool
            Whether the server itself answers and reports that nothing runs. A silent entry VM then
            counts as stopped once its permission has expired. Otherwise one of its requests may
            still wait at the server, and only evidence of loss allows a takeover.
        """
        row = self._view.server_rows_by_id.get(server)
        row_changed_at = self._row_changed_at_by_server.get(server)
        if row is None or row_changed_at is None:
            return False
        lessors_confirmed_at = self._lessors_confirmed_at(row, row_changed_at)
        if lessors_confirmed_at is None:
            return False
        expired = self._clock.seconds() > lessors_confirmed_at + _SEND_PERMISSION_BOUND_S
        peers = self._mesh.peers_by_vm.values()
        return all(
            self._has_stopped(peer, server, row_changed_at, server_replies and expired)
            for peer in peers
        )

    def _has_stopped(
        self, peer: peer_mesh.Peer, server: ids.ServerId, row_changed_at: float, expired: bool
    ) -> bool:
        confirmed = self._confirmed_at_by_vm.get(peer.entry_vm.vm, float("-inf")) > row_changed_at
        unanswered = peer.heartbeat.unanswered_by_server if peer.heartbeat is not None else {}
        live = peer.live_deadline > self._clock.seconds()
        if live and confirmed:
            return server not in unanswered
        return not live and expired

    def has_no_unanswered_requests(self, server: ids.ServerId) -> bool:
        """Return whether this entry VM has no unanswered request at a server."""
        return self._unanswered(server) == 0

    def _lessors_confirmed_at(self, row: model.ServerRow, row_changed_at: float) -> float | None:
        latest = row_changed_at
        for lessor in (*row.lessors, *row.previous_lessors):
            if lessor.vm == self._mesh.own_entry_vm.vm:
                continue
            confirmed_at = self._confirmed_at_by_vm.get(lessor.vm, float("-inf"))
            if confirmed_at <= row_changed_at:
                return None
            latest = max(latest, confirmed_at)
        return latest

    def _is_confirmed(self, row: model.ServerRow) -> bool:
        now = self._clock.seconds()
        return any(
            lessor.vm == self._mesh.own_entry_vm.vm
            or self._permission_deadline_by_vm.get(lessor.vm, 0.0) > now
            for lessor in row.lessors
        )

    def _handle(self, sender: model.EntryVm, message: messages.Message) -> None:
        match message:
            case messages.Heartbeat(digest=digest, echo_stamp=echo_stamp) if (
                digest == self._cache.digest
            ):
                self._confirmed_at_by_vm[sender.vm] = self._clock.seconds()
                if echo_stamp:
                    deadline = self._permission_deadline_by_vm.get(sender.vm, 0.0)
                    self._permission_deadline_by_vm[sender.vm] = max(
                        deadline, echo_stamp + timing.SEND_PERMISSION_S
                    )

    def _view_changed(self, change: cluster_view.ViewChange) -> None:
        now = self._clock.seconds()
        for server in change.servers:
            self._row_changed_at_by_server[server] = now
