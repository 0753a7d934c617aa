"""Tests of when the keys of a silent server may be granted to another."""

import testtools

from celerystack import ids
from celerystack.ranges import lease_reports, leases, model
from tests.ranges import fakes

INCARNATION = model.ServerIncarnation(ids.ServerId("s1"), 100)
ZONE = ids.ZoneName("z1")
SERVICE = ids.ServiceName("rota")
VM = ids.EntryVmId("vm-1")
OTHER = ids.EntryVmId("vm-2")


class LeaseReportsTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.lease_reports = lease_reports.LeaseReports(zone_of=lambda _: ZONE)

    def all_expired_at(self):
        return self.lease_reports.all_expired_at(INCARNATION, SERVICE, version=7, committed_at=50.0)

    def report(self, vm, *, version, expires_at):
        report = lease_reports.LeaseReport(version=version, expires_at=expires_at)
        self.lease_reports.record(vm, ZONE, INCARNATION, {SERVICE: report})

    def test_full_wait_until_the_entry_vms_are_listed_after_the_change(self):
        """Guards against two owners: a VM missing from an old list may renew the old lease."""
        self.report(VM, version=7, expires_at=51.0)
        fakes.list_vms(self.lease_reports, {VM: ZONE}, 49.9)
        self.assertEqual(50.0 + leases.MAP_VALID_S, self.all_expired_at())

    def test_full_wait_without_any_known_entry_vm(self):
        """Guards against two owners: without a list, unknown VMs may still renew the old lease."""
        self.assertEqual(50.0 + leases.MAP_VALID_S, self.all_expired_at())

    def test_full_wait_while_one_entry_vm_acts_on_an_older_map(self):
        """Guards against two owners: a VM with the old map may renew the lease after its report."""
        fakes.list_vms(self.lease_reports, {VM: ZONE, OTHER: ZONE}, 50.1)
        self.report(VM, version=7, expires_at=51.0)
        self.report(OTHER, version=6, expires_at=51.0)
        self.assertEqual(50.0 + leases.MAP_VALID_S, self.all_expired_at())

    def test_latest_lease_counts_when_all_have_reported(self):
        """Guards against waiting for `MAP_VALID_S` although every VM has reported its leases."""
        fakes.list_vms(self.lease_reports, {VM: ZONE, OTHER: ZONE}, 50.1)
        self.report(VM, version=7, expires_at=53.0)
        self.report(OTHER, version=8, expires_at=54.5)
        self.assertEqual(54.5, self.all_expired_at())

    def test_entry_vms_of_other_zones_do_not_count(self):
        """Guards against waiting for VMs of a lost zone, which never grant to this server."""
        fakes.list_vms(self.lease_reports, {VM: ZONE, OTHER: ids.ZoneName("z2")}, 50.1)
        self.report(VM, version=7, expires_at=53.0)
        self.assertEqual(53.0, self.all_expired_at())


class LostVmTest(testtools.TestCase):
    """An entry VM that was heard last at 40 s; the map changes at 50 s or later."""

    def setUp(self):
        super().setUp()
        self.lease_reports = lease_reports.LeaseReports(zone_of=lambda _: ZONE)
        self.lease_reports.begin_term(10.0)
        self.lease_reports.note_heard(OTHER, ZONE, 40.0)

    def all_expired_at(self, committed_at):
        self.lease_reports.note_heard(VM, ZONE, committed_at + 0.1)
        report = lease_reports.LeaseReport(version=7, expires_at=committed_at + 2.0)
        self.lease_reports.record(VM, ZONE, INCARNATION, {SERVICE: report})
        fakes.list_vms(self.lease_reports, {VM: ZONE, OTHER: ZONE}, committed_at)
        return self.lease_reports.all_expired_at(
            INCARNATION, SERVICE, version=7, committed_at=committed_at
        )

    def test_wait_counts_from_the_last_report(self):
        """Guards against a wait that counts from the change, although the VM was lost before."""
        self.assertEqual(40.0 + leases.MAP_VALID_S, self.all_expired_at(45.0))

    def test_map_may_have_been_read_until_the_change(self):
        """Guards against two owners: a VM without a planner reads the map and renews leases."""
        self.assertEqual(70.0 + leases.READ_MAP_VALID_S, self.all_expired_at(70.0))

    def test_earlier_planner_may_have_heard_it(self):
        """Guards against two owners: reports to the planner before this one are not known."""
        self.lease_reports.begin_term(60.0)
        self.assertEqual(60.0 + leases.MAP_VALID_S, self.all_expired_at(62.0))

    def test_vm_that_still_reports_an_older_map(self):
        """Guards against a wait from before the change for a VM that has not adopted it."""
        self.lease_reports.note_heard(OTHER, ZONE, 53.0)
        self.assertEqual(50.0 + leases.MAP_VALID_S, self.all_expired_at(50.0))


class SilentZoneTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.lease_reports = lease_reports.LeaseReports(zone_of=lambda _: ZONE)
        self.lease_reports.begin_term(10.0)
        for vm in (VM, OTHER):
            self.lease_reports.note_heard(vm, ZONE, 40.0)

    def test_zone_is_waited_for_while_a_change_would_gain_nothing(self):
        """Guards against taking keys away that nobody else could be granted any sooner."""
        latest = 40.0 + leases.MAP_VALID_S - leases.READ_MAP_VALID_S
        self.assertTrue(self.lease_reports.is_zone_waited_for(ZONE, 42.0))
        self.assertTrue(self.lease_reports.is_zone_waited_for(ZONE, latest - 0.1))
        self.assertFalse(self.lease_reports.is_zone_waited_for(ZONE, latest))

    def test_zone_with_an_entry_vm_that_reports(self):
        """Guards against waiting for servers that were lost in a zone that is reachable."""
        self.lease_reports.note_heard(VM, ZONE, 41.5)
        self.assertFalse(self.lease_reports.is_zone_waited_for(ZONE, 42.0))

    def test_zone_without_entry_vms(self):
        """Guards against waiting for a zone in which nobody renews leases."""
        self.assertFalse(self.lease_reports.is_zone_waited_for(ids.ZoneName("z9"), 42.0))


class RemovedVmTest(testtools.TestCase):
    """An entry VM that was heard last at 40 s, listed since 10 s."""

    def setUp(self):
        super().setUp()
        self.lease_reports = lease_reports.LeaseReports(zone_of=lambda _: ZONE)
        self.lease_reports.begin_term(10.0)
        self.list_vms(10.0)
        self.lease_reports.note_heard(OTHER, ZONE, 40.0)

    def list_vms(self, read_at, *, answered_at=None, version=1, vms=(OTHER,)):
        zone_by_vm = dict.fromkeys(vms, ZONE)
        fakes.list_vms(
            self.lease_reports, zone_by_vm, read_at, answered_at=answered_at, version=version
        )

    def test_vm_without_a_lease_may_be_removed(self):
        """Guards against waiting for the rest of time for entry VMs that were replaced."""
        self.assertEqual([], self.lease_reports.lost_vms(40.0 + leases.MAP_VALID_S - 0.1))
        self.assertEqual([OTHER], self.lease_reports.lost_vms(40.0 + leases.MAP_VALID_S))

    def test_vm_that_registered_again_may_have_read_the_maps(self):
        """Guards against two owners: a VM that only this planner does not hear goes on renewing."""
        self.list_vms(55.0, version=2)
        self.assertEqual([], self.lease_reports.lost_vms(63.0))
        self.assertEqual([OTHER], self.lease_reports.lost_vms(63.5))

    def test_row_that_was_written_while_it_was_read(self):
        """Guards against two owners: a slow read shows a VM that registered after its beginning."""
        self.list_vms(55.0, answered_at=57.0, version=2)
        self.assertEqual([], self.lease_reports.lost_vms(65.0))
        self.assertEqual([OTHER], self.lease_reports.lost_vms(65.5))

    def test_vm_is_in_removal_until_it_has_registered_again(self):
        """Guards against confirming the maps of a VM whose row is being removed."""
        self.lease_reports.begin_removal(OTHER)
        self.list_vms(60.0)
        self.assertTrue(self.lease_reports.is_in_removal(OTHER))
        self.list_vms(61.0, version=2)
        self.assertFalse(self.lease_reports.is_in_removal(OTHER))

    def test_new_planner_waits_as_if_it_had_heard_the_vm(self):
        """Guards against two owners: an earlier planner may have confirmed the VM's maps."""
        self.lease_reports.begin_term(60.0)
        self.list_vms(60.0)
        self.assertEqual([], self.lease_reports.lost_vms(60.0 + leases.MAP_VALID_S - 0.1))
        self.assertEqual([OTHER], self.lease_reports.lost_vms(60.0 + leases.MAP_VALID_S))

    def test_removed_vm_delays_nothing(self):
        """Guards against a wait for a VM whose row was removed."""
        self.list_vms(60.0, vms=())
        expired_at = self.lease_reports.all_expired_at(
            INCARNATION, SERVICE, version=7, committed_at=59.0
        )
        self.assertEqual(59.0, expired_at)

    def test_vm_that_registered_after_the_list_was_read(self):
        """Guards against dropping a VM that is missing from a list only because the list is old."""
        self.lease_reports.note_heard(VM, ZONE, 60.0)
        self.list_vms(59.9)
        self.assertFalse(self.lease_reports.is_zone_waited_for(ZONE, 60.5))
