"""Tests of the server directory."""

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

    def test_server_that_states_that_it_leaves(self):
        """Guards against using a leaving server again because its entry is older than what it
        states, as after an outage of the store."""
        self.directory.note_leaving(fakes.incarnation("a"))
        self.assertEqual(["b"], self.usable())
        self.directory.apply_all([fakes.entry("a"), fakes.entry("b")], 20.0)
        self.assertEqual(["b"], self.usable())
        self.assertEqual((fakes.incarnation("a"),), self.directory.leaving_incarnations())

    def test_next_incarnation_of_a_server_that_left(self):
        """Guards against a restarted server, or another one at its address, that is never used."""
        self.directory.note_leaving(fakes.incarnation("a"))
        address = self.directory.by_id["a"].entry.address
        self.directory.apply_changes(
            [fakes.entry("a", 2), fakes.entry("c", address=address)], [], 11.0
        )
        self.directory.note_leaving(fakes.incarnation("a"))
        self.assertEqual(["a", "b", "c"], self.usable())
        self.assertEqual((), self.directory.leaving_incarnations())

    def test_leaving_server_is_told_until_its_entry_says_so(self):
        """Guards against messages about servers whose drain all VMs know."""
        self.directory.note_leaving(fakes.incarnation("a"))
        draining = fakes.entry("a", state=servers.ServerState.DRAINING)
        self.directory.apply_changes([draining], [], 11.0)
        self.assertEqual((), self.directory.leaving_incarnations())

    def test_removed_entry_is_gone_at_once(self):
        """Guards against sending requests to a server whose entry was removed."""
        self.directory.apply_changes([], ["a"], 10.5)
        self.assertEqual(["b"], self.usable())

    def test_entry_that_expired_in_an_outage_stays_for_a_moment(self):
        """Guards against dropping servers that could not renew their entries during an outage."""
        self.directory.apply_all([fakes.entry("b")], 20.0)
        self.assertEqual(["a", "b"], self.usable())

    def test_expired_entry_that_does_not_return_is_removed_without_another_read(self):
        """Guards against using a server that left during the outage until the next read."""
        self.directory.apply_all([fakes.entry("b")], 20.0)
        self.directory.expire(20.0 + servers.RETURN_GRACE_S)
        self.assertEqual(["b"], self.usable())

    def test_grace_counts_from_the_first_answer_of_any_call(self):
        """Guards against a grace period that restarts at the first read of the servers."""
        self.directory.note_answer(20.0)
        self.directory.apply_all([fakes.entry("b")], 20.6)
        self.directory.expire(20.0 + servers.RETURN_GRACE_S)
        self.assertEqual(["b"], self.usable())

    def test_server_that_a_restored_store_lacks_stays_for_a_moment(self):
        """Guards against servers that count as removed because their entries were lost."""
        self.directory.note_store_restored(10.5)
        self.directory.apply_all([fakes.entry("b")], 10.5)
        self.assertEqual(["a", "b"], self.usable())
        self.directory.expire(10.5 + servers.RETURN_GRACE_S)
        self.assertEqual(["b"], self.usable())

    def test_removed_server_that_a_restored_store_lists_gets_no_requests(self):
        """Guards against requests to a server that had left before the store came back."""
        self.directory.apply_changes([], ["a"], 10.2)
        self.directory.note_store_restored(10.5)
        both = [fakes.entry("a"), fakes.entry("b")]
        self.directory.apply_all(both, 10.5)
        self.assertEqual(["b"], self.usable())
        self.directory.apply_all(both, 10.5 + servers.RETURN_GRACE_S)
        self.assertEqual(["a", "b"], self.usable())

    def test_draining_counts_during_the_grace(self):
        """Guards against ignoring a drain that a server announces during the grace period."""
        leaving = fakes.entry("a", state=servers.ServerState.DRAINING)
        self.directory.apply_all([leaving, fakes.entry("b")], 20.0)
        self.assertEqual(["b"], self.usable())

    def test_late_heartbeat_does_not_end_a_drain(self):
        """Guards against using a draining server again because a delayed entry arrives."""
        leaving = fakes.entry("a", state=servers.ServerState.DRAINING)
        self.directory.apply_changes([leaving], [], 10.5)
        self.directory.apply_changes([fakes.entry("a")], [], 10.6)
        self.assertEqual(["b"], self.usable())

    def test_late_heartbeat_of_a_draining_server_is_no_change(self):
        """Guards against telling the other entry VMs and the log that the server is ready."""
        leaving = fakes.entry("a", state=servers.ServerState.DRAINING)
        self.directory.apply_changes([leaving], [], 10.5)
        self.directory.take_changed()
        version = self.directory.version
        self.directory.apply_changes([fakes.entry("a")], [], 10.6)
        self.assertEqual((version, []), (self.directory.version, self.directory.take_changed()))

    def test_forgotten_server_leaves_no_proof_of_an_end_at_its_address(self):
        """Guards against memory of every address that was ever used."""
        self.directory.apply_changes([], ["a"], 10.5)
        for later in (10.6 + servers.REMOVED_KEPT_S, 11.0 + servers.REMOVED_KEPT_S):
            self.directory.expire(later)
        address = fakes.entry("a").address
        self.assertNotIn("a", self.directory.by_id)
        self.assertNotIn(address, self.directory._newest_incarnation_by_address)

    def test_entry_of_an_earlier_incarnation_is_ignored(self):
        """Guards against a delayed entry that replaces the entry of the current process."""
        self.directory.apply_changes([fakes.entry("a", 5)], [], 10.5)
        self.directory.apply_changes([fakes.entry("a", 1)], [], 10.6)
        self.assertEqual(5, self.directory.by_id["a"].entry.started_ms)

    def test_younger_server_at_the_address_proves_the_end(self):
        """Guards against waiting for the leases of a process whose address was reused."""
        address = self.directory.by_id["a"].entry.address
        self.directory.apply_changes([fakes.entry("c", 9, address=address)], [], 11.0)
        self.assertTrue(self.directory.has_ended(fakes.incarnation("a")))

    def test_entry_of_no_configured_service_proves_nothing_at_an_address(self):
        """Guards against a live server that counts as ended, so that its keys get a second owner,
        because another writer's entry names its address (review case 7)."""
        self.directory.add_services([fakes.SERVICE])
        address = self.directory.by_id["a"].entry.address
        foreign = fakes.entry("exporter", 2, address=address, service="metrics")
        self.directory.apply_changes([foreign], [], 10.5)
        self.assertFalse(self.directory.has_ended(fakes.incarnation("a")))
        self.directory.add_services(["metrics"])
        self.assertTrue(self.directory.has_ended(fakes.incarnation("a")))

    def test_entry_that_was_read_before_the_configuration_proves_nothing(self):
        """Guards against the same entry at the start of an entry VM."""
        address = self.directory.by_id["a"].entry.address
        foreign = fakes.entry("exporter", 2, address=address, service="metrics")
        self.directory.apply_changes([foreign], [], 10.5)
        self.directory.add_services([fakes.SERVICE])
        self.assertFalse(self.directory.has_ended(fakes.incarnation("a")))

    def test_entry_of_no_configured_service_replaces_no_server(self):
        """Guards against a server that counts as ended, and whose own later entries are ignored,
        because another writer wrote under its id."""
        self.directory.add_services([fakes.SERVICE])
        self.directory.apply_all([fakes.entry("a", 2, service="metrics"), fakes.entry("b")], 10.5)
        self.assertEqual(["a", "b"], self.usable())
        self.assertFalse(self.directory.has_ended(fakes.incarnation("a")))

    def test_own_entry_replaces_that_of_another_writer(self):
        """Guards against a server that is never used because another writer's entry, which was
        read before the configuration, names a later start."""
        self.directory.apply_changes([fakes.entry("c", 9, service="metrics")], [], 10.2)
        self.directory.add_services([fakes.SERVICE])
        self.assertFalse(self.directory.has_ended(fakes.incarnation("c")))
        self.assertIsNone(self.directory.successor(fakes.incarnation("c")))
        self.directory.apply_changes([fakes.entry("c")], [], 10.5)
        self.assertEqual(["a", "b", "c"], self.usable())

    def test_server_of_a_service_that_is_no_longer_configured_stays_known(self):
        """Guards against proof of an end that is lost with a service's configuration."""
        self.directory.add_services([fakes.SERVICE])
        self.directory.add_services(["other"])
        address = self.directory.by_id["a"].entry.address
        self.directory.apply_changes([fakes.entry("c", 2, address=address)], [], 10.5)
        self.assertTrue(self.directory.has_ended(fakes.incarnation("a")))

    def test_missing_entry_proves_nothing(self):
        """Guards against a second owner while a server without access to the store still serves."""
        self.directory.apply_changes([], ["a"], 10.5)
        self.assertFalse(self.directory.has_ended(fakes.incarnation("a")))

    def test_answer_of_another_server_proves_the_end(self):
        """Guards against waiting for leases, and sending requests, until the entry expires."""
        self.directory.note_address_reused(fakes.incarnation("a"))
        self.assertTrue(self.directory.has_ended(fakes.incarnation("a")))
        self.assertEqual(["b"], self.usable())
        self.assertEqual(
            (fakes.incarnation("a"),), self.directory.incarnations_with_reused_address()
        )

    def test_next_incarnation_after_a_reused_address_is_usable(self):
        """Guards against excluding a server indefinitely because its old address was reused."""
        self.directory.note_address_reused(fakes.incarnation("a"))
        self.directory.apply_changes([fakes.entry("a", 2)], [], 11.0)
        self.assertEqual(["a", "b"], self.usable())
        self.assertFalse(self.directory.has_ended(fakes.incarnation("a", 2)))

    def test_heartbeat_does_not_revive_an_incarnation_whose_address_was_reused(self):
        """Guards against a delayed entry that directs requests to the other server."""
        self.directory.note_address_reused(fakes.incarnation("a"))
        self.directory.apply_changes([fakes.entry("a")], [], 11.0)
        self.assertEqual(["b"], self.usable())
