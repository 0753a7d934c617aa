"""Tests of when a silent server's keys may be given to another."""

import testtools

from celerystack import ids
from celerystack.ranges import clearing, holds, model

LIFE = model.Life(ids.ServerId("s1"), 100)
ZONE = ids.ZoneName("z1")
SERVICE = ids.ServiceName("rota")
VM = ids.EntryVmId("vm-1")
OTHER = ids.EntryVmId("vm-2")


class ClearingTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.hold_reports = clearing.HoldReports(zone_of=lambda _: ZONE)

    def all_expired_at(self):
        return self.hold_reports.all_expired_at(LIFE, SERVICE, version=7, committed_at=50.0)

    def report(self, vm, *, version, expires_at):
        report = clearing.HoldReport(version=version, expires_at=expires_at)
        self.hold_reports.report(vm, ZONE, LIFE, {SERVICE: report})

    def test_full_wait_while_the_entry_vms_were_not_listed_after_the_change(self):
        """Guards against a second owner: an unlisted VM may still renew the old one's keys."""
        self.report(VM, version=7, expires_at=51.0)
        self.hold_reports.update_vms({VM: ZONE}, read_at=49.9)
        self.assertEqual(50.0 + holds.MAP_VALID_S, self.all_expired_at())

    def test_full_wait_without_any_known_entry_vm(self):
        """Guards against a second owner: no report is no proof."""
        self.assertEqual(50.0 + holds.MAP_VALID_S, self.all_expired_at())

    def test_full_wait_while_one_entry_vm_acts_on_an_older_map(self):
        """Guards against counting a report from before the VM knew of the change."""
        self.hold_reports.update_vms({VM: ZONE, OTHER: ZONE}, read_at=50.1)
        self.report(VM, version=7, expires_at=51.0)
        self.report(OTHER, version=6, expires_at=51.0)
        self.assertEqual(50.0 + holds.MAP_VALID_S, self.all_expired_at())

    def test_latest_hold_counts_when_all_have_reported(self):
        """Guards against waiting for the full authority although every hold is known."""
        self.hold_reports.update_vms({VM: ZONE, OTHER: ZONE}, read_at=50.1)
        self.report(VM, version=7, expires_at=53.0)
        self.report(OTHER, version=8, expires_at=54.5)
        self.assertEqual(54.5, self.all_expired_at())

    def test_entry_vms_of_other_zones_do_not_count(self):
        """Guards against a lost zone that delays all others."""
        self.hold_reports.update_vms({VM: ZONE, OTHER: ids.ZoneName("z2")}, read_at=50.1)
        self.report(VM, version=7, expires_at=53.0)
        self.assertEqual(53.0, self.all_expired_at())
