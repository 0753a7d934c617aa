"""Distinguishes entry VMs whose process has certainly ended from those that are only silent.

A host refuses connections to an address on which no process listens. A connection to a suspended
process, or across a partition, is not refused.
"""

from __future__ import annotations

from celerystack import ids, model
from celerystack.control import membership_task
from celerystack.peers import mesh as peer_mesh


class EndedEntryVms:
    """Detects ended entry VMs by refused connections and the membership list."""

    def __init__(self, *, mesh: peer_mesh.Mesh, membership: membership_task.MembershipTask) -> None:
        self._mesh = mesh
        self._membership = membership

    def has_ended(self, ref: model.LessorRef) -> bool:
        """Return whether the process of an entry VM has certainly ended.

        True if its address refuses connections, or if another process now uses the same address.
        """
        if ref.vm == self._mesh.own_entry_vm.vm:
            return ref.incarnation != self._mesh.own_entry_vm.incarnation
        peer = self._mesh.peers_by_vm.get(ref.vm)
        if peer is None:
            return False
        address = peer.entry_vm.peer_address
        if peer.entry_vm.incarnation == ref.incarnation:
            return self._mesh.is_refused(address)
        return address == self._mesh.address_of(ref)

    def zone_has_ended(self, zone: ids.ZoneName) -> bool:
        """Return whether every known entry VM of a zone has certainly ended."""
        return all(self._mesh.is_refused(address) for address in self._addresses(zone))

    def running_in(self, zone: ids.ZoneName) -> list[model.LessorRef] | None:
        """Return the live entry VMs of a zone.

        None if another entry VM of the zone may still run although it is silent, or if the
        membership list cannot be read.
        """
        if not self._membership.reachable:
            return None
        live = [*(peer.entry_vm for peer in self._mesh.live_peers()), self._mesh.own_entry_vm]
        running = [entry_vm for entry_vm in live if entry_vm.zone == zone]
        live_addresses = {entry_vm.peer_address for entry_vm in running}
        silent_addresses = self._addresses(zone) - live_addresses
        if not all(self._mesh.is_refused(address) for address in silent_addresses):
            return None
        return [model.LessorRef(entry_vm.vm, entry_vm.incarnation) for entry_vm in running]

    def _addresses(self, zone: ids.ZoneName) -> set[str]:
        listed = self._membership.entry_addresses_by_zone.get(zone, frozenset())
        peers = self._mesh.peers_by_vm.values()
        return listed | {p.entry_vm.peer_address for p in peers if p.entry_vm.zone == zone}
