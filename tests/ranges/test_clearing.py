"""Tests of when the keys of an unresponsive server may be granted to another."""

import testtools

from celerystack import ids
from celerystack.ranges import clearing, holds, model

INCARNATION = model.ServerIncarnation(ids.ServerId("s1"), 100)
ZONE = ids.ZoneName("z1")
SERVICE = ids.ServiceName("rota")
VM = ids.EntryVmId("vm-1")
OTHER = ids.EntryVmId("vm-2")


class HoldReportsTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.hold_reports = clearing.HoldReports(zone_of=lambda _: ZONE)

    def all_expired_at(self):
        return self.hold_reports.all_expired_at(INCARNATION, SERVICE, version=7, committed_at=50.0)

    def report(self, vm, *, version, expires_at):
        report = clearing.HoldReport(version=version, expires_at=expires_at)
        self.hold_reports.report(vm, ZONE, INCARNATION, {SERVICE: report})

    def test_full_wait_until_the_entry_vms_are_listed_after_the_change(self):
        """Guards against two owners: a VM missing from an old list may still renew the old hold."""
        self.report(VM, version=7, expires_at=51.0)
        self.hold_reports.update_vms({VM: ZONE}, read_at=49.9)
        self.assertEqual(50.0 + holds.MAP_VALID_S, self.all_expired_at())

    def test_full_wait_without_any_known_entry_vm(self):
        """Guards against two owners: without a list, unknown VMs may still renew the old hold."""
        self.assertEqual(50.0 + holds.MAP_VALID_S, self.all_expired_at())

    def test_full_wait_while_one_entry_vm_acts_on_an_older_map(self):
        """Guards against two owners: a VM with the old map may renew the hold after its report."""
        self.hold_reports.update_vms({VM: ZONE, OTHER: ZONE}, read_at=50.1)
        self.report(VM, version=7, expires_at=51.0)
        self.report(OTHER, version=6, expires_at=51.0)
        self.assertEqual(50.0 + holds.MAP_VALID_S, self.all_expired_at())

    def test_latest_hold_counts_when_all_have_reported(self):
        """Guards against waiting for `MAP_VALID_S` although every VM has reported its holds."""
        self.hold_reports.update_vms({VM: ZONE, OTHER: ZONE}, read_at=50.1)
        self.report(VM, version=7, expires_at=53.0)
        self.report(OTHER, version=8, expires_at=54.5)
        self.assertEqual(54.5, self.all_expired_at())

    def test_entry_vms_of_other_zones_do_not_count(self):
        """Guards against waiting for VMs of a lost zone, which never grant to this server."""
        self.hold_reports.update_vms({VM: ZONE, OTHER: ids.ZoneName("z2")}, read_at=50.1)
        self.report(VM, version=7, expires_at=53.0)
        self.assertEqual(53.0, self.all_expired_at())
