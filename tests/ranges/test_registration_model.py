"""Random walks over the registration of one entry VM and its removal by the planner.

The planner's decisions come from `lease_reports.LeaseReports`. The model adds the store, calls that
it applies late, and an entry VM that registers and reads maps as `coordinator.Coordinator` does.
"""

from __future__ import annotations

import random

import testtools

from celerystack import ids
from celerystack.ranges import lease_reports, leases
from tests.ranges import fakes

VM = ids.EntryVmId("vm-1")
SERVER = fakes.incarnation("a")
WALKS = 20_000
STEPS_PER_WALK = 40
EVENT_S = 0.001
"""Time between two events, because calls to the store never begin and end at the same instant."""


class Registration:
    """The planner, the store and one entry VM whose maps are confirmed, read or out of date."""

    accepts_reports_in_removal = False
    registers_before_reading = True

    def __init__(self, choices: random.Random) -> None:
        self.choices = choices
        self.now = 100.0
        self.planner = lease_reports.LeaseReports(zone_of=lambda _: fakes.ZONE)
        self.planner.begin_term(self.now)
        self.row_version: int | None = 1
        self.next_row_version = 2
        self.map_version = 1
        self.committed_at = self.now
        self.lease_until_by_map: dict[int, float] = {}
        self.confirmed_at = float("-inf")
        self.registered_at: float | None = None
        self.list_began_at: float | None = None
        self.is_listed = False
        self.removed_version: int | None = None

    def step(self):
        """Let one event happen, and check that no lease is left that the planner has ruled out."""
        self.now += EVENT_S
        event = self.choices.choice(
            (
                self.wait,
                self.change_map,
                self.replace_planner,
                self.report,
                self.register_if_necessary,
                self.read_map,
                self.list_vms,
                self.remove_row,
            )
        )
        event()
        return self.is_safe()

    def wait(self):
        self.now += self.choices.choice((0.4, 3.0, 8.6))

    def change_map(self):
        self.map_version += 1
        self.committed_at = self.now

    def replace_planner(self):
        """The removal that an earlier planner began depends on the leader's row and fails."""
        self.planner.begin_term(self.now)
        self.removed_version = None
        self.list_began_at = None
        self.is_listed = False

    def report(self):
        if self.planner.is_in_removal(VM) and not self.accepts_reports_in_removal:
            return
        self.planner.note_heard(VM, fakes.ZONE, self.now)
        if self.is_listed:
            self.confirmed_at = self.now
            self._may_lease_until(self.now + leases.MAP_VALID_S)

    def _may_lease_until(self, until):
        known = self.lease_until_by_map.get(self.map_version, 0.0)
        self.lease_until_by_map[self.map_version] = max(known, until)

    def register_if_necessary(self):
        if self.registered_at is not None:
            return
        must_register = self.now - self.confirmed_at >= leases.REGISTRATION_VALID_S
        if must_register and self.registers_before_reading:
            self.row_version = self.next_row_version
            self.next_row_version += 1
        self.registered_at = self.now

    def read_map(self):
        if self.registered_at is None:
            return
        if self.now - self.registered_at <= leases.REGISTER_TO_READ_S:
            self._may_lease_until(self.now + leases.READ_MAP_VALID_S)
        self.registered_at = None

    def list_vms(self):
        """Read the registered VMs; the answer arrives later than the state that it shows."""
        zone_by_vm = {} if self.row_version is None else {VM: fakes.ZONE}
        version = self.row_version or 0
        read_at = self.now
        self.now += self.choices.choice((0.0, 0.5, 2.0))
        fakes.list_vms(self.planner, zone_by_vm, read_at, answered_at=self.now, version=version)
        self.is_listed = bool(zone_by_vm)
        if VM in self.planner.lost_vms(self.now):
            self.planner.begin_removal(VM)
            self.removed_version = version

    def remove_row(self):
        if self.removed_version is not None and self.row_version == self.removed_version:
            self.row_version = None
        self.removed_version = None

    def is_safe(self):
        """Return whether no lease by an older map is left when the planner takes all for ended."""
        expired_at = self.planner.all_expired_at(
            SERVER, fakes.SERVICE, version=self.map_version, committed_at=self.committed_at
        )
        return expired_at > self.now or all(
            version == self.map_version or until <= self.now
            for version, until in self.lease_until_by_map.items()
        )


class WithoutRegistration(Registration):
    registers_before_reading = False


class WithReportsInRemoval(Registration):
    accepts_reports_in_removal = True


def first_unsafe_walk(model: type[Registration]) -> int | None:
    """Return the seed of the first walk that leads to an unsafe state, None if there is none."""
    for seed in range(WALKS):
        walk = model(random.Random(seed))
        if not all(walk.step() for _ in range(STEPS_PER_WALK)):
            return seed
    return None


class RegistrationModelTest(testtools.TestCase):
    def test_removal_of_a_vm_gives_no_key_two_owners(self):
        """Guards against two owners after the row of a VM was removed that comes back."""
        self.assertIsNone(first_unsafe_walk(Registration))

    def test_vm_that_reads_without_registering_is_noticed(self):
        """Guards against walks that cannot fail: the planner would not wait for such a VM."""
        self.assertIsNotNone(first_unsafe_walk(WithoutRegistration))

    def test_report_that_is_accepted_during_a_removal_is_noticed(self):
        """Guards against walks that miss a report between the decision and the removal."""
        self.assertIsNotNone(first_unsafe_walk(WithReportsInRemoval))
