"""Which entry VMs have certainly ended, as opposed to being silent.

A host refuses connections to an address on which no process listens. A frozen process and a
partition look different, because then nothing answers.
"""

from __future__ import annotations

from celerystack import ids, model
from celerystack.control import membership_task
from celerystack.peers import mesh as peer_mesh


class EndedEntryVms:
    """Judges entry VMs by refused connections and the membership list."""

    def __init__(self, *, mesh: peer_mesh.Mesh, membership: membership_task.MembershipTask) -> None:
        self._mesh = mesh
        self._membership = membership

    def has_ended(self, ref: model.LessorRef) -> bool:
        """Return whether a process has certainly ended.

        True if its address refuses connections, or if a later process uses the same address.
        """
        if ref.vm == self._mesh.me.vm:
            return ref.incarnation != self._mesh.me.incarnation
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
        """Return the live entry VMs of a zone; None if another one is silent but may still run."""
        if not self._membership.reachable:
            return None
        live = [*(peer.entry_vm for peer in self._mesh.live_peers()), self._mesh.me]
        running = [entry_vm for entry_vm in live if entry_vm.zone == zone]
        accounted = {entry_vm.peer_address for entry_vm in running}
        unknown = self._addresses(zone) - accounted
        if not all(self._mesh.is_refused(address) for address in unknown):
            return None
        return [model.LessorRef(entry_vm.vm, entry_vm.incarnation) for entry_vm in running]

    def _addresses(self, zone: ids.ZoneName) -> set[str]:
        listed = self._membership.entry_addresses_by_zone.get(zone, frozenset())
        peers = self._mesh.peers_by_vm.values()
        return listed | {p.entry_vm.peer_address for p in peers if p.entry_vm.zone == zone}
