"""Tests of when the keys of a silent server may be granted to another."""

import testtools

from celerystack import ids
from celerystack.ranges import lease_reports, leases, model

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
        self.lease_reports.update_vms({VM: ZONE}, read_at=49.9)
        self.assertEqual(50.0 + leases.MAP_VALID_S, self.all_expired_at())

    def test_full_wait_without_any_known_entry_vm(self):
        """Guards against two owners: without a list, unknown VMs may still renew the old lease."""
        self.assertEqual(50.0 + leases.MAP_VALID_S, self.all_expired_at())

    def test_full_wait_while_one_entry_vm_acts_on_an_older_map(self):
        """Guards against two owners: a VM with the old map may renew the lease after its report."""
        self.lease_reports.update_vms({VM: ZONE, OTHER: ZONE}, read_at=50.1)
        self.report(VM, version=7, expires_at=51.0)
        self.report(OTHER, version=6, expires_at=51.0)
        self.assertEqual(50.0 + leases.MAP_VALID_S, self.all_expired_at())

    def test_latest_lease_counts_when_all_have_reported(self):
        """Guards against waiting for `MAP_VALID_S` although every VM has reported its leases."""
        self.lease_reports.update_vms({VM: ZONE, OTHER: ZONE}, read_at=50.1)
        self.report(VM, version=7, expires_at=53.0)
        self.report(OTHER, version=8, expires_at=54.5)
        self.assertEqual(54.5, self.all_expired_at())

    def test_entry_vms_of_other_zones_do_not_count(self):
        """Guards against waiting for VMs of a lost zone, which never grant to this server."""
        self.lease_reports.update_vms({VM: ZONE, OTHER: ids.ZoneName("z2")}, read_at=50.1)
        self.report(VM, version=7, expires_at=53.0)
        self.assertEqual(53.0, self.all_expired_at())
