"""Tests of what is believed of servers from the rows that they write."""

import testtools

from celerystack.fleet import servers
from tests.ranges import fakes


class DirectoryTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.directory = servers.Directory()
        self.directory.apply_all([fakes.entry("a"), fakes.entry("b")], 10.0)

    def usable(self):
        return sorted(r.entry.server for r in self.directory.usable(fakes.SERVICE))

    def test_removed_entry_is_gone_at_once(self):
        """Guards against requests to a server that has left."""
        self.directory.apply_changes([], ["a"], 10.5)
        self.assertEqual(["b"], self.usable())

    def test_entry_that_lapsed_in_an_outage_stays_for_a_moment(self):
        """Guards against giving up servers that only could not write their entries."""
        self.directory.apply_all([fakes.entry("b")], 20.0)
        self.assertEqual(["a", "b"], self.usable())

    def test_lapsed_entry_that_does_not_return_is_gone_without_another_read(self):
        """Guards against requests to a server that left during the outage, until the next poll."""
        self.directory.apply_all([fakes.entry("b")], 20.0)
        self.directory.expire(20.0 + servers.RETURN_GRACE_S)
        self.assertEqual(["b"], self.usable())

    def test_grace_counts_from_the_first_answer_of_any_call(self):
        """Guards against a grace that starts anew with the first read of the servers."""
        self.directory.note_answer(20.0)
        self.directory.apply_all([fakes.entry("b")], 20.6)
        self.directory.expire(20.0 + servers.RETURN_GRACE_S)
        self.assertEqual(["b"], self.usable())

    def test_draining_counts_during_the_grace(self):
        """Guards against ignoring a mark that was written while the store was away."""
        leaving = fakes.entry("a", state=servers.ServerState.DRAINING)
        self.directory.apply_all([leaving, fakes.entry("b")], 20.0)
        self.assertEqual(["b"], self.usable())

    def test_late_heartbeat_does_not_end_a_drain(self):
        """Guards against requests to a leaving server after an old entry arrives."""
        leaving = fakes.entry("a", state=servers.ServerState.DRAINING)
        self.directory.apply_changes([leaving], [], 10.5)
        self.directory.apply_changes([fakes.entry("a")], [], 10.6)
        self.assertEqual(["b"], self.usable())

    def test_entry_of_an_earlier_life_is_ignored(self):
        """Guards against a delayed write that revives an ended process."""
        self.directory.apply_changes([fakes.entry("a", 5)], [], 10.5)
        self.directory.apply_changes([fakes.entry("a", 1)], [], 10.6)
        self.assertEqual(5, self.directory.by_id["a"].entry.born_ms)

    def test_younger_server_at_the_address_proves_the_end(self):
        """Guards against waiting for holds of a process whose address is used again."""
        address = self.directory.by_id["a"].entry.address
        self.directory.apply_changes([fakes.entry("c", 9, address=address)], [], 11.0)
        self.assertTrue(self.directory.has_ended(fakes.life("a")))

    def test_missing_entry_proves_nothing(self):
        """Guards against a second owner while a cut-off server serves on."""
        self.directory.apply_changes([], ["a"], 10.5)
        self.assertFalse(self.directory.has_ended(fakes.life("a")))

    def test_answer_of_another_server_proves_the_end(self):
        """Guards against waiting for holds, and sending requests, until the entry lapses."""
        self.directory.note_replaced(fakes.life("a"))
        self.assertTrue(self.directory.has_ended(fakes.life("a")))
        self.assertEqual(["b"], self.usable())
        self.assertEqual((fakes.life("a"),), self.directory.replaced())

    def test_next_life_of_a_replaced_server_is_usable(self):
        """Guards against a server that is never used again because its address was."""
        self.directory.note_replaced(fakes.life("a"))
        self.directory.apply_changes([fakes.entry("a", 2)], [], 11.0)
        self.assertEqual(["a", "b"], self.usable())
        self.assertFalse(self.directory.has_ended(fakes.life("a", 2)))

    def test_heartbeat_of_a_replaced_life_does_not_revive_it(self):
        """Guards against a delayed entry that leads requests to the other server."""
        self.directory.note_replaced(fakes.life("a"))
        self.directory.apply_changes([fakes.entry("a")], [], 11.0)
        self.assertEqual(["b"], self.usable())
