"""Tests of granting and renewing keys."""

import testtools
from twisted.internet import task

from celerystack import ids
from celerystack.fleet import servers
from celerystack.ranges import holds, knowledge, lessor
from tests.ranges import fakes

VM = ids.EntryVmId("vm-1")


class LessorTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.clock = task.Clock()
        self.clock.advance(100.0)
        self.known = knowledge.Knowledge()
        self.directory = servers.Directory()
        self.orders = fakes.FakeOrders()
        self.directory.apply_all([fakes.entry("a")], self.clock.seconds())
        self.lessor = lessor.Lessor(
            vm=VM,
            zone=fakes.ZONE,
            known=self.known,
            directory=self.directory,
            port=self.orders,
            now=self.clock.seconds,
        )
        self.known.adopt(fakes.whole(fakes.life("a")), 7, self.clock.seconds())

    def read(self, version, row_version):
        """Take the entry as it is read now, at a version of the store."""
        self.directory.note_read(self.clock.seconds(), ids.RowVersion(min(version, row_version)))
        found = fakes.entry("a", row_version=ids.RowVersion(row_version))
        self.directory.apply_changes([found], [], self.clock.seconds())

    def test_settled_keys_are_granted_at_once(self):
        """Guards against keys that wait for a timer."""
        self.lessor.tick()
        self.assertEqual(1, len(self.orders.granted))

    def test_renewed_before_the_hold_ends(self):
        """Guards against a lapse between renewals."""
        self.lessor.tick()
        self.clock.advance(holds.RENEW_S)
        self.lessor.tick()
        self.assertEqual(2, len(self.orders.granted))

    def test_nothing_is_granted_on_stale_knowledge(self):
        """Guards against a second owner after the VM was cut off from store and planner."""
        self.clock.advance(holds.MAP_VALID_S - holds.HOLD_BOUND_S)
        self.lessor.tick()
        self.assertEqual([], self.orders.granted)

    def test_no_grant_after_a_broken_connection_until_the_life_shows_itself(self):
        """Guards against granting a lost server's keys to the next process at its address."""
        self.orders.failing = True
        self.lessor.tick()
        self.clock.advance(0.5)
        self.directory.apply_changes([], [], self.clock.seconds())
        self.lessor.tick()
        self.assertEqual(1, len(self.orders.granted))

    def test_grant_after_a_broken_connection_when_the_entry_was_renewed(self):
        """Guards against keys that lapse after one reset connection."""
        self.orders.failing = True
        self.lessor.tick()
        self.clock.advance(0.5)
        self.read(20, 21)
        self.lessor.tick()
        self.assertEqual(2, len(self.orders.granted))

    def test_entry_from_before_the_break_proves_nothing(self):
        """Guards against an entry that the lost process wrote just before its end."""
        self.orders.failing = True
        self.lessor.tick()
        self.clock.advance(0.5)
        self.read(20, 19)
        self.lessor.tick()
        self.assertEqual(1, len(self.orders.granted))
        self.assertTrue(self.lessor.has_doubts())
        self.clock.advance(0.5)
        self.read(30, 28)
        self.lessor.tick()
        self.assertEqual(2, len(self.orders.granted))

    def test_connection_that_ended_between_renewals_counts_as_broken(self):
        """Guards against renewing for the next process under the same id and address."""
        self.lessor.tick()
        self.orders.connected = False
        self.clock.advance(holds.RENEW_S)
        self.read(20, 19)
        self.lessor.tick()
        self.assertEqual(1, len(self.orders.granted))
        self.clock.advance(0.5)
        self.read(30, 28)
        self.read(40, 38)
        self.lessor.tick()
        self.assertEqual(2, len(self.orders.granted))

    def test_vm_that_was_paused_grants_nothing_on_a_broken_connection(self):
        """Guards against renewing for a server that was restarted while this VM was paused."""
        self.lessor.tick()
        self.orders.connected = False
        self.clock.advance(6.0)
        self.lessor.tick()
        self.assertEqual(1, len(self.orders.granted))

    def test_store_that_is_away_does_not_end_renewals(self):
        """Guards against an outage of keys in every outage of the store."""
        self.lessor.tick()
        self.orders.connected = False
        self.clock.advance(6.0)
        self.directory.note_failure(self.clock.seconds())
        self.lessor.tick()
        self.assertEqual(2, len(self.orders.granted))

    def test_later_life_gets_nothing_of_an_earlier_one(self):
        """Guards against renewing under the old token for a restarted server."""
        self.directory.apply_changes([fakes.entry("a", 2)], [], self.clock.seconds())
        self.lessor.tick()
        self.assertEqual([], self.orders.granted)

    def test_unanswered_grant_counts_from_the_abort_of_its_connection(self):
        """Guards against a bound that starts when the grant was sent."""
        self.orders.failing = True
        self.lessor.tick()
        remaining_s = self.lessor.remaining_s(fakes.life("a"))
        self.assertAlmostEqual(holds.HOLD_BOUND_S, remaining_s)
