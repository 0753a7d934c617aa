"""The planner's view of the other entry VMs, and the sending of range maps to them."""

from __future__ import annotations

import collections
import dataclasses
from collections.abc import Callable, Iterator

from celerystack import ids
from celerystack.fleet import datagram_size, directory_sync, messages, nodes
from celerystack.forwarding import owners
from celerystack.ranges import map_datagrams, model, paced_sender, range_maps

LIVE_S = 1.2
"""Age in seconds of its last report up to which an entry VM counts as live."""
RESEND_S = 0.25
"""Time in seconds between the sending of a version and a report without it from which it counts as
lost."""
ZONE_VM_BYTES = 3
"""Bytes of an entry VM in a heartbeat without its name."""
ZONE_VMS_BYTES_MAX = 12_000
"""Bytes of the entry VMs of a zone in a heartbeat."""
VERSIONS_KEPT = 64
"""Number of the latest versions of a map since which changes are sent instead of the whole map."""


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
    config_row : RowVersion
        Version of the newest configuration row that it has.
    queue_weight : float
        Share of the queues that it should own, by its report.
    queue_wait_by_service : dict
        Expected wait in seconds in the queues that it owns, by its report.
    """

    def __init__(self, node: nodes.Node) -> None:
        self.node = node
        self.reported_at = float("-inf")
        self.vm_incarnation = 0
        self.stamp = -1.0
        self.position = directory_sync.UNKNOWN
        self.config_row = directory_sync.UNKNOWN
        self.queue_weight = 0.0
        self.queue_wait_by_service: dict[ids.ServiceName, float] = {}
        self.versions_by_service: dict[ids.ServiceName, int] = {}
        self._sent_by_service: dict[ids.ServiceName, dict[int, float]] = {}

    def note_sent(self, service: ids.ServiceName, version: int, now: float) -> None:
        """Record that a version of a map was sent."""
        self._sent_by_service.setdefault(service, {})[version] = now

    def lacks(self, service: ids.ServiceName, version: int) -> bool:
        """Return whether a version of a map has to be sent again, or was never sent.

        The versions are sent one after the other as changes, so the first one that is lost makes
        those that were sent later useless.
        """
        reported = self.versions_by_service.get(service, 0)
        sent_at_by_version = self._sent_by_service.setdefault(service, {})
        for arrived in [sent for sent in sent_at_by_version if sent <= reported]:
            del sent_at_by_version[arrived]
        if reported >= version:
            return False
        first_sent_at = min(sent_at_by_version.values(), default=float("-inf"))
        if self.reported_at - first_sent_at < RESEND_S:
            return False
        sent_at_by_version.clear()
        return True


@dataclasses.dataclass(slots=True)
class _EncodedMap:
    """Datagrams of one version of a map, by the version that the receiver has; 0 if none."""

    version: int
    datagrams_by_base: dict[int, list[bytes]] = dataclasses.field(default_factory=dict)


class MapDistributor:
    """Tracks the registered entry VMs and sends them range maps.

    An entry VM gets the changes since the version that it reported, and the whole map only if that
    version is unknown here. So what is sent does not grow with the map when versions are lost.

    Parameters
    ----------
    own : Node
        This VM, to which nothing is sent.
    sender : PacedSender
        Sends the datagrams of maps.
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
        sender: paced_sender.PacedSender,
        term: Callable[[], int],
        now: Callable[[], float],
    ) -> None:
        self._own = own
        self._range_maps = maps
        self._sender = sender
        self._term = term
        self._now = now
        self._by_vm: dict[ids.EntryVmId, Peer] = {}
        self._recent_by_service: dict[
            ids.ServiceName, collections.OrderedDict[int, model.RangeMap]
        ] = {}
        self._encoded_by_service: dict[ids.ServiceName, _EncodedMap] = {}
        self._pushed_by_service: dict[ids.ServiceName, int] = {}
        maps.on_change(self._keep_version)

    def __len__(self) -> int:
        return len(self._by_vm)

    def others(self) -> Iterator[Peer]:
        """Yield all entry VMs except this one."""
        return (peer for vm, peer in self._by_vm.items() if vm != self._own.vm)

    def begin_term(self) -> None:
        """Assume that the others have the versions that this VM has received as a follower.

        A VM that has another version reports it, and gets the changes since that one. Datagrams of
        an earlier term are not sent again, because they carry the term.
        """
        self._pushed_by_service = self._range_maps.versions()
        self._encoded_by_service.clear()

    def _keep_version(self, service: ids.ServiceName) -> None:
        """Keep a version of a map that was adopted, as the base of later changes."""
        known = self._range_maps.by_service[service]
        recent = self._recent_by_service.setdefault(service, collections.OrderedDict())
        recent[known.version] = known.ranges
        if len(recent) > VERSIONS_KEPT:
            recent.popitem(last=False)

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
            if peer.vm_incarnation != report.vm_incarnation:
                peer.versions_by_service = {}
            # A long report has only some of the versions.
            peer.versions_by_service = peer.versions_by_service | report.versions_by_service
            peer.vm_incarnation, peer.stamp = report.vm_incarnation, report.stamp
            peer.position = report.position
            peer.config_row = report.config_row
            peer.queue_weight = report.queue_weight
            peer.queue_wait_by_service = report.queue_wait_by_service

    def live_by_zone(self, now: float) -> dict[ids.ZoneName, tuple[ids.EntryVmId, ...]]:
        """Return this VM and those that reported recently, by availability zone.

        Of a zone with more than a heartbeat holds, the first by name are returned. The others count
        themselves as well, so that some servers have more lessors.
        """
        by_zone: dict[ids.ZoneName, tuple[ids.EntryVmId, ...]] = {self._own.zone: (self._own.vm,)}
        for peer in self.others():
            if now - peer.reported_at < LIVE_S:
                zone = peer.node.zone
                by_zone[zone] = (*by_zone.get(zone, ()), peer.node.vm)
        return {zone: _fitting(vms) for zone, vms in by_zone.items()}

    def live_owners(self, now: float) -> list[owners.Owner]:
        """Return the other VMs that reported recently and can own queues."""
        return [
            owners.Owner(peer.node.vm, peer.node.zone, peer.node.address, peer.queue_weight)
            for peer in self.others()
            if now - peer.reported_at < LIVE_S and peer.queue_weight > 0
        ]

    def queue_waits_by_vm(self) -> dict[ids.EntryVmId, dict[ids.ServiceName, float]]:
        """Return the expected waits by service that the other VMs reported, where there are any."""
        return {
            peer.node.vm: peer.queue_wait_by_service
            for peer in self.others()
            if peer.queue_wait_by_service
        }

    def push(self, service: ids.ServiceName) -> None:
        """Send the changes since the last push to all entry VMs, or the whole map the first time.

        An entry VM that lacks the base version gets its changes with the next `resend`.
        """
        datagrams = self._datagrams_since(service, self._pushed_by_service.get(service, 0))
        self._pushed_by_service[service] = self._range_maps.by_service[service].version
        for peer in self.others():
            self._send_map(peer, datagrams, service)

    def resend(self, peer: Peer, now: float) -> None:
        """Send the changes of the maps of which a live entry VM reported an older version."""
        if now - peer.reported_at >= LIVE_S:
            return
        for service, version in self._range_maps.versions().items():
            if peer.lacks(service, version):
                reported = peer.versions_by_service.get(service, 0)
                self._send_map(peer, self._datagrams_since(service, reported), service)

    def _datagrams_since(self, service: ids.ServiceName, base: int) -> list[bytes]:
        """Return the datagrams of the changes of a map, of the whole map if ``base`` is unknown."""
        known = self._range_maps.by_service[service]
        encoded = self._encoded_by_service.get(service)
        if encoded is None or encoded.version != known.version:
            encoded = self._encoded_by_service[service] = _EncodedMap(known.version)
        before = self._recent_by_service[service].get(base)
        base = 0 if before is None else base
        if base not in encoded.datagrams_by_base:
            encoded.datagrams_by_base[base] = (
                map_datagrams.encode_whole(known, term=self._term())
                if before is None
                else map_datagrams.encode(
                    known,
                    model.changed_segments(before, known.ranges),
                    term=self._term(),
                    base=base,
                )
            )
        return encoded.datagrams_by_base[base]

    def _send_map(self, peer: Peer, datagrams: list[bytes], service: ids.ServiceName) -> None:
        if self._sender.add(peer.node.address, service, datagrams):
            version = self._range_maps.by_service[service].version
            peer.note_sent(service, version, self._now())


def _fitting(vms: tuple[ids.EntryVmId, ...]) -> tuple[ids.EntryVmId, ...]:
    """Return the entry VMs of a zone that a heartbeat names, which are the same for all."""
    fitting = datagram_size.longest_prefix(
        sorted(vms), bytes_max=ZONE_VMS_BYTES_MAX, extra_bytes=ZONE_VM_BYTES
    )
    return vms if fitting == len(vms) else tuple(sorted(vms)[:fitting])
