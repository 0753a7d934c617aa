"""Tells which servers may receive or release shards now."""

from __future__ import annotations

from twisted.internet import interfaces

from celerystack import ids, model
from celerystack.control import membership_task
from celerystack.control import view as cluster_view
from celerystack.lease import lessor as lessors
from celerystack.peers import mesh as peer_mesh
from celerystack.placement import assign


class ServerStatus:
    """Derives the status of servers from rows, replies, peer heartbeats and the membership list."""

    def __init__(
        self,
        clock: interfaces.IReactorTime,
        *,
        view: cluster_view.ClusterView,
        mesh: peer_mesh.Mesh,
        lessor: lessors.Lessor,
        membership: membership_task.MembershipTask,
    ) -> None:
        self._clock = clock
        self._view = view
        self._mesh = mesh
        self._lessor = lessor
        self._membership = membership
        self._started_at = clock.seconds()
        self._usable_since_by_server: dict[ids.ServerId, tuple[ids.Incarnation, float]] = {}

    def is_usable(self, server: ids.ServerId) -> bool:
        """Return whether a server may receive shards or new requests."""
        return not self.unusable_reason(server)

    def unusable_reason(self, server: ids.ServerId) -> str:
        """Return why a server may receive neither shards nor new requests; empty if it may."""
        row = self._view.server_rows_by_id.get(server)
        if row is None:
            return "it has no row yet"
        if row.state is not model.ServerState.ACTIVE:
            return f"its row is {row.state.value}"
        if not row.incarnation:
            return "it has not answered yet"
        if self._view.declared_server(server) is None:
            return "it is not declared"
        return self.leaving_reason(server)

    def may_receive(self, server: model.BackendServer) -> bool:
        """Return whether shards may be given to a server now.

        A server behind a partition, or one that has just stopped replying, could not be granted
        the shards, and taking them back would take another lease time.
        """
        if not self.is_usable(server.server) or self._is_silent(server.server):
            return False
        now = self._clock.seconds()
        reachable = self._lessor.is_reachable(server.server, now)
        if self._lessor.may_grant_or_renew(server.server):
            return reachable
        return reachable or self._is_zone_connected(server.zone)

    def is_leaving(self, server: ids.ServerId) -> bool:
        """Return whether a server must give up its shards and gets no new ones.

        It is drained, its zone is evacuated, or the platform is about to remove it.
        """
        return bool(self.leaving_reason(server))

    def leaving_reason(self, server: ids.ServerId) -> str:
        """Return why a server must give up its shards; empty if it need not."""
        if self._view.is_draining(server):
            return "it is drained"
        if self._view.is_evacuated(server):
            return f"zone {self.zone(server)} is evacuated"
        if server in self._membership.leaving_servers:
            return "the platform is about to remove it"
        return ""

    def can_release(self, source: ids.ServerId) -> bool:
        """Return whether a planned move away from a server can be expected to finish."""
        row = self._view.server_rows_by_id.get(source)
        return (
            row is not None
            and row.state is model.ServerState.ACTIVE
            and self._is_zone_connected(self.zone(source))
            and not self._is_silent(source)
            and (not self._lessor.may_grant_or_renew(source) or self._is_answering(source))
        )

    def zone(self, server: ids.ServerId) -> ids.ZoneName:
        """Return the zone of a declared server; empty if it is not declared."""
        declared = self._view.declared_server(server)
        return declared.zone if declared is not None else ids.ZoneName("")

    def placement_server(
        self, server: model.BackendServer, *, lost: bool
    ) -> assign.PlacementServer:
        """Return a server as input for placement; ``lost`` if it is being taken over."""
        row = self._view.server_rows_by_id.get(server.server)
        _, since = self._usable_since_by_server.get(server.server, ("", float("-inf")))
        return assign.PlacementServer(
            server=server.server,
            zone=server.zone,
            weight=server.weight,
            usable=self.may_receive(server),
            draining=self.is_leaving(server.server),
            lost=lost or row is None or row.state is model.ServerState.LOST,
            usable_since=since,
        )

    def record_usable_since(self) -> None:
        """Record since when each server is usable; to be called several times a second.

        Here a server counts as usable if its row names an incarnation and is not LOST. The other
        conditions of `is_usable` (state SUSPENDED, not declared, leaving) are not considered.
        """
        now = self._clock.seconds()
        for server, row in self._view.server_rows_by_id.items():
            known = self._usable_since_by_server.get(server)
            if row.state is model.ServerState.LOST or not row.incarnation:
                self._usable_since_by_server.pop(server, None)
            elif known is None or known[0] != row.incarnation:
                # Servers first seen in the first `RAMP_S` of this process are probably older than
                # it, so they receive their full share at once.
                since = now if now - self._started_at > assign.RAMP_S else float("-inf")
                self._usable_since_by_server[server] = (row.incarnation, since)

    def _is_silent(self, server: ids.ServerId) -> bool:
        """Return whether a lessor reports that a server does not reply.

        A new token for such a server would invalidate the promises of a takeover and delay it.
        """
        heartbeats = [peer.heartbeat for peer in self._mesh.live_peers()]
        return any(
            heartbeat is not None and server in heartbeat.silent_servers for heartbeat in heartbeats
        )

    def _is_zone_connected(self, zone: ids.ZoneName) -> bool:
        return any(entry_vm.zone == zone for entry_vm in self._mesh.live_entry_vms())

    def _is_answering(self, server: ids.ServerId) -> bool:
        return self._lessor.is_reachable(server, self._clock.seconds())
