"""Computes when all leases of a former owner that does not answer have ended."""

from __future__ import annotations

import dataclasses
from collections.abc import Callable, Iterable

from celerystack import ids
from celerystack.fleet import nodes
from celerystack.ranges import leases, model


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class LeaseReport:
    """What one entry VM reported about its leases to an incarnation, for one service.

    Attributes
    ----------
    version : int
        Row version of the range map that the entry VM used at the time of the report.
    expires_at : float
        Clock time in seconds from which none of its leases is in force.
    """

    version: int
    expires_at: float


ROW_UNCHANGED_S = leases.REGISTER_TO_READ_S + leases.READ_MAP_VALID_S
"""Time in seconds for which the row of a lost entry VM must be unchanged before it is removed. All
leases by maps that the VM has read since it registered have ended then."""
HEARD_S = 1.2
"""Time in seconds since the last report of an entry VM up to which it counts as heard."""


@dataclasses.dataclass(frozen=True, slots=True)
class _SeenRow:
    """Version of an entry VM's row, and a time by which the VM had certainly written it."""

    version: int
    written_before: float


class LeaseReports:
    """Collects what the entry VMs report about the leases that they granted to possible holders.

    Parameters
    ----------
    zone_of : callable
        Returns the availability zone of an incarnation. Only entry VMs of this zone grant to the
        incarnation; if the zone is unknown (None), every entry VM must report.
    """

    def __init__(
        self, *, zone_of: Callable[[model.ServerIncarnation], ids.ZoneName | None]
    ) -> None:
        self._zone_of = zone_of
        self._zone_by_vm: dict[ids.EntryVmId, ids.ZoneName] = {}
        self._row_by_vm: dict[ids.EntryVmId, _SeenRow] = {}
        self._vms_in_removal: set[ids.EntryVmId] = set()
        self._heard_at_by_vm: dict[ids.EntryVmId, float] = {}
        self._term_began_at = float("inf")
        self._vms_read_at = float("-inf")
        self._unlisted_until = float("-inf")
        self._report_by_key: dict[
            tuple[ids.EntryVmId, model.ServerIncarnation, ids.ServiceName], LeaseReport
        ] = {}

    def begin_term(self, now: float) -> None:
        """Forget when entry VMs were heard, because maps were confirmed by other planners since.

        ``now`` is a time at which no other planner can confirm a map any more.
        """
        self._term_began_at = now
        self._heard_at_by_vm.clear()
        self._row_by_vm.clear()
        self._vms_in_removal.clear()

    def note_lost_registrations(self, now: float) -> None:
        """Record that rows of entry VMs may be lost, because the store came back from a copy.

        A VM that is missing from the list may use a map of before until its confirmation expires.
        """
        self._unlisted_until = now + leases.MAP_VALID_S

    def note_heard(self, vm: ids.EntryVmId, zone: ids.ZoneName, now: float) -> None:
        """Record that a report of an entry VM arrived."""
        self._zone_by_vm[vm] = zone
        self._heard_at_by_vm[vm] = now

    def is_zone_waited_for(self, zone: ids.ZoneName, now: float) -> bool:
        """Return whether a change of the keys of a zone's servers would not take effect sooner.

        This is so while none of the zone's entry VMs is heard and `_expires_at_unheard` does not
        depend on the time of the change.
        """
        vms = [vm for vm, vm_zone in self._zone_by_vm.items() if vm_zone == zone]
        if not vms:
            return False
        heard_at = max(self._confirmed_until(vm) for vm in vms)
        is_silent = all(now - self._heard_at_by_vm.get(vm, float("-inf")) >= HEARD_S for vm in vms)
        return is_silent and now + leases.READ_MAP_VALID_S < heard_at + leases.MAP_VALID_S

    def _confirmed_until(self, vm: ids.EntryVmId) -> float:
        """Return a time up to which planners may have confirmed the maps of an entry VM.

        A planner confirms a map by the time stamp of a report that it received.
        """
        return max(self._term_began_at, self._heard_at_by_vm.get(vm, float("-inf")))

    def _expires_at_unheard(self, vm: ids.EntryVmId, committed_at: float) -> float:
        """Return when the leases of an entry VM end that may not know a change yet.

        It may have read the map itself until the change was committed.
        """
        return max(
            self._confirmed_until(vm) + leases.MAP_VALID_S,
            committed_at + leases.READ_MAP_VALID_S,
        )

    def update_vms(
        self, by_vm: dict[ids.EntryVmId, nodes.Node], *, read_at: float, answered_at: float
    ) -> None:
        """Apply a list of the registered entry VMs.

        ``read_at`` is when the read of the list began, ``answered_at`` when it had been answered.
        A VM registers before it reads a range map. One that is missing from a list read after a
        change therefore knows the changed map only, and cannot have granted by an older one. One
        whose row was removed has no lease in force; see `lost_vms`.
        """
        self._vms_read_at = max(self._vms_read_at, read_at)
        for vm in [vm for vm in self._zone_by_vm if vm not in by_vm]:
            if self._heard_at_by_vm.get(vm, float("-inf")) < read_at:
                del self._zone_by_vm[vm]
                self._heard_at_by_vm.pop(vm, None)
                self._row_by_vm.pop(vm, None)
                self._vms_in_removal.discard(vm)
        for vm, node in by_vm.items():
            self._zone_by_vm[vm] = node.zone
            seen = self._row_by_vm.get(vm)
            if seen is None or seen.version != node.version:
                self._row_by_vm[vm] = _SeenRow(node.version, answered_at)
                self._vms_in_removal.discard(vm)

    def lost_vms(self, now: float) -> list[ids.EntryVmId]:
        """Return the entry VMs whose rows may be removed, because their leases have ended.

        No planner has confirmed their maps for `leases.MAP_VALID_S`, and they have not registered
        since, which they must do before they read the maps themselves.
        """
        return [
            vm
            for vm, seen in self._row_by_vm.items()
            if now - self._confirmed_until(vm) >= leases.MAP_VALID_S
            and now - seen.written_before >= ROW_UNCHANGED_S
        ]

    def begin_removal(self, vm: ids.EntryVmId) -> None:
        """Record that the row of an entry VM is about to be removed."""
        self._vms_in_removal.add(vm)

    def is_in_removal(self, vm: ids.EntryVmId) -> bool:
        """Return whether the row of an entry VM may have been removed.

        Its reports must not be accepted until it has registered again. Otherwise its maps would be
        confirmed although it is missing from the next list.
        """
        return vm in self._vms_in_removal

    def record(
        self,
        vm: ids.EntryVmId,
        zone: ids.ZoneName,
        incarnation: model.ServerIncarnation,
        report_by_service: dict[ids.ServiceName, LeaseReport],
    ) -> None:
        """Record the report of an entry VM about one incarnation."""
        self._zone_by_vm[vm] = zone
        for service, report in report_by_service.items():
            self._report_by_key[vm, incarnation, service] = report

    def all_expired_at(
        self,
        incarnation: model.ServerIncarnation,
        service: ids.ServiceName,
        *,
        version: int,
        committed_at: float,
    ) -> float:
        """Return the clock time in seconds at which all leases by older map versions have ended.

        Parameters
        ----------
        version : int
            Row version of the first map in which the incarnation is in ``pending``.
        committed_at : float
            Clock time in seconds at which that map was certainly committed.
        """
        latest = self._unlisted_until
        bound = committed_at + leases.MAP_VALID_S
        if self._vms_read_at < committed_at:
            return bound
        for vm in self._vms_that_may_grant(incarnation):
            report = self._report_by_key.get((vm, incarnation, service))
            if report is None or report.version < version:
                latest = max(latest, self._expires_at_unheard(vm, committed_at))
            else:
                latest = max(latest, report.expires_at)
        return min(bound, max(latest, committed_at))

    def _vms_that_may_grant(self, incarnation: model.ServerIncarnation) -> Iterable[ids.EntryVmId]:
        zone = self._zone_of(incarnation)
        return [vm for vm, vm_zone in self._zone_by_vm.items() if zone is None or vm_zone == zone]

    def keep_only(self, kept: set[model.ServerIncarnation]) -> None:
        """Drop the reports about all incarnations except those in ``kept``."""
        for entry in [entry for entry in self._report_by_key if entry[1] not in kept]:
            del self._report_by_key[entry]
