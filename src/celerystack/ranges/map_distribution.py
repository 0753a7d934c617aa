"""The planner's view of the other entry VMs, and the sending of range maps to them."""

from __future__ import annotations

from collections.abc import Callable, Iterator

from celerystack import ids
from celerystack.fleet import directory_sync, messages, nodes
from celerystack.ranges import map_datagrams, model, range_maps

LIVE_S = 1.2
"""Age in seconds of its last report up to which an entry VM counts as live."""
RESEND_S = 0.25
"""Time in seconds after a map was last sent to an entry VM from which it is sent again."""


class Peer:
    """An entry VM as the planner sees it.

    Attributes
    ----------
    reported_at : float
        Clock time in seconds at which its last report arrived.
    vm_incarnation, stamp
        Process and clock time of the sender of that report, which a planner heartbeat echoes.
    position : RowVersion
        Store version up to which it knows the changes of servers.
    """

    def __init__(self, node: nodes.Node) -> None:
        self.node = node
        self.reported_at = float("-inf")
        self.vm_incarnation = 0
        self.stamp = -1.0
        self.position = directory_sync.UNKNOWN
        self.versions_by_service: dict[ids.ServiceName, int] = {}
        self.sent_at_by_service: dict[ids.ServiceName, float] = {}


class MapDistributor:
    """Tracks the registered entry VMs and sends them range maps.

    Parameters
    ----------
    own : Node
        This VM, to which nothing is sent.
    send : callable
        Sends a datagram to an address.
    term : callable
        Returns the planner's current term.
    now : callable
        Clock in seconds.
    """

    def __init__(
        self,
        *,
        own: nodes.Node,
        maps: range_maps.RangeMaps,
        send: Callable[[bytes, tuple[str, int]], None],
        term: Callable[[], int],
        now: Callable[[], float],
    ) -> None:
        self._own = own
        self._range_maps = maps
        self._send = send
        self._term = term
        self._now = now
        self._by_vm: dict[ids.EntryVmId, Peer] = {}
        self._pushed_by_service: dict[ids.ServiceName, range_maps.KnownMap] = {}

    def __len__(self) -> int:
        return len(self._by_vm)

    def others(self) -> Iterator[Peer]:
        """Yield all entry VMs except this one."""
        return (peer for vm, peer in self._by_vm.items() if vm != self._own.vm)

    def begin_term(self) -> None:
        """Forget which versions were pushed, so that the next push of each service is a whole map.

        The versions that an earlier planner sent are unknown.
        """
        self._pushed_by_service.clear()

    def update_nodes(self, by_vm: dict[ids.EntryVmId, nodes.Node]) -> None:
        """Replace the entry VMs by the registered ones; keep the state of those that remain."""
        for vm in [vm for vm in self._by_vm if vm not in by_vm]:
            del self._by_vm[vm]
        for vm, node in by_vm.items():
            peer = self._by_vm.get(vm)
            if peer is None or peer.node != node:
                self._by_vm[vm] = Peer(node)

    def on_report(self, report: messages.Report) -> None:
        """Record the report of an entry VM."""
        peer = self._by_vm.get(report.vm)
        if peer is not None:
            peer.reported_at = self._now()
            peer.vm_incarnation, peer.stamp = report.vm_incarnation, report.stamp
            peer.versions_by_service = report.versions_by_service
            peer.position = report.position

    def live_by_zone(self, now: float) -> dict[ids.ZoneName, tuple[ids.EntryVmId, ...]]:
        """Return this VM and those that reported recently, by availability zone."""
        by_zone: dict[ids.ZoneName, tuple[ids.EntryVmId, ...]] = {self._own.zone: (self._own.vm,)}
        for peer in self.others():
            if now - peer.reported_at < LIVE_S:
                zone = peer.node.zone
                by_zone[zone] = (*by_zone.get(zone, ()), peer.node.vm)
        return by_zone

    def push(self, service: ids.ServiceName) -> None:
        """Send the changes since the last push to all entry VMs, or the whole map the first time.

        An entry VM that lacks the base version gets the whole map with the next `resend`.
        """
        known = self._range_maps.by_service[service]
        base = self._pushed_by_service.get(service)
        self._pushed_by_service[service] = known
        if base is None:
            parts = self._encode_whole(service)
        else:
            changed = model.changed_segments(base.ranges, known.ranges)
            parts = map_datagrams.encode(known, changed, term=self._term(), base=base.version)
        for peer in self.others():
            self._send_parts(peer, parts, service)

    def resend(self, peer: Peer, now: float) -> None:
        """Send the whole maps of which a live entry VM reported an older version."""
        if now - peer.reported_at >= LIVE_S:
            return
        for service, version in self._range_maps.versions().items():
            behind = peer.versions_by_service.get(service, 0) < version
            if behind and now - peer.sent_at_by_service.get(service, 0.0) >= RESEND_S:
                self._send_parts(peer, self._encode_whole(service), service)

    def _encode_whole(self, service: ids.ServiceName) -> list[bytes]:
        return map_datagrams.encode_whole(self._range_maps.by_service[service], term=self._term())

    def _send_parts(self, peer: Peer, parts: list[bytes], service: ids.ServiceName) -> None:
        peer.sent_at_by_service[service] = self._now()
        for part in parts:
            self._send(part, peer.node.address)
