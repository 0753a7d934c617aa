"""Polls the platform's membership list.

The list names the addresses of peers and the servers that are leaving. That a server is no longer
listed is evidence that its process has ended.
"""

from __future__ import annotations

import logging

from twisted.internet import defer, interfaces

from celerystack import errors, ids, periodic
from celerystack.control import view as cluster_view
from celerystack.lease import evidence
from celerystack.peers import mesh as peer_mesh
from celerystack.store import ports

POLL_S = 1.0
"""Interval of the polls in seconds."""
_log = logging.getLogger(__name__)


class MembershipTask:
    """Keeps the content of the last membership list that was read successfully.

    Attributes
    ----------
    history : ListingHistory
        Backend servers that have been listed, and those that are listed now.
    leaving_servers : frozenset of ServerId
        Backend servers that the platform marks as leaving.
    entry_addresses_by_zone : dict
        Peer addresses of the listed entry VMs.
    reachable : bool
        Whether the last poll succeeded.
    """

    def __init__(
        self,
        clock: interfaces.IReactorTime,
        *,
        membership: ports.MembershipPort,
        view: cluster_view.ClusterView,
        mesh: peer_mesh.Mesh,
    ) -> None:
        self._membership = membership
        self._view = view
        self._mesh = mesh
        self._loop = periodic.Periodic(clock, self._poll, interval_s=POLL_S)
        self.history = evidence.ListingHistory()
        self.leaving_servers: frozenset[ids.ServerId] = frozenset()
        self.entry_addresses_by_zone: dict[ids.ZoneName, frozenset[str]] = {}
        self.reachable = False

    def start(self) -> None:
        """Start polling."""
        self._loop.start()

    def stop(self) -> None:
        """Stop polling."""
        self._loop.stop()

    def _poll(self) -> defer.Deferred[None]:
        return defer.ensureDeferred(self._poll_once())

    async def _poll_once(self) -> None:
        try:
            members = await self._membership.members()
        except errors.PlatformError as error:
            if self.reachable:
                _log.warning(
                    "polling the membership list failed: %s", error, extra={"step": error.step}
                )
            self.reachable = False
            return
        self.reachable = True
        servers = [member for member in members if member.role is ports.VmRole.BACKEND]
        self.history.observe(
            (ids.ServerId(member.vm) for member in servers),
            incarnations_by_server={
                server: row.incarnation for server, row in self._view.server_rows_by_id.items()
            },
        )
        self.leaving_servers = frozenset(
            ids.ServerId(m.vm) for m in servers if m.state is ports.VmState.LEAVING
        )
        entry_vms = [member for member in members if member.role is ports.VmRole.ENTRY]
        self.entry_addresses_by_zone = {
            zone: frozenset(m.address for m in entry_vms if m.zone == zone)
            for zone in {member.zone for member in entry_vms}
        }
        self._mesh.dial(member.address for member in entry_vms)
