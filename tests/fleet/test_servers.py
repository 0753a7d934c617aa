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

    def test_forgotten_server_leaves_no_earlier_incarnations(self):
        """Guards against memory of every incarnation and address that was ever used."""
        self.directory.apply_changes([fakes.entry("a", 2)], [], 10.4)
        self.directory.apply_changes([], ["a"], 10.5)
        for later in (10.6 + servers.REMOVED_KEPT_S, 11.0 + servers.REMOVED_KEPT_S):
            self.directory.expire(later)
        self.assertNotIn("a", self.directory.by_id)
        self.assertIsNone(self.directory.find_entry(fakes.incarnation("a")))

    def test_entry_of_an_earlier_incarnation_is_ignored(self):
        """Guards against a delayed entry that replaces the entry of the current process."""
        self.directory.apply_changes([fakes.entry("a", 5)], [], 10.5)
        self.directory.apply_changes([fakes.entry("a", 1)], [], 10.6)
        self.assertEqual(5, self.directory.by_id["a"].entry.started_ms)

    def test_delayed_entry_does_not_replace_that_of_a_running_server(self):
        """Guards against the same entry, which is still in the table at the next reads."""
        self.directory.apply_changes([fakes.entry("a", 5)], [], 10.5)
        self.directory.apply_changes([fakes.entry("a", 1)], [], 10.6)
        self.directory.apply_changes([fakes.entry("a", 5)], [], 11.4)
        self.read_nothing_until(11.4 + 2 * servers.EARLIER_START_S)
        self.assertEqual(5, self.directory.by_id["a"].entry.started_ms)

    def read_nothing_until(self, end):
        now = self.directory._entries_read_at
        while now < end:
            now += 0.5
            self.directory.apply_changes([], [], now)

    def test_server_that_restarted_after_its_clock_was_set_back_is_used(self):
        """Guards against a server that is never used again because its start is earlier than that
        of its former life, and against grants to the new process for the former one."""
        since = 10.5
        self.directory.apply_changes([fakes.entry("a", 5)], [], since)
        earlier = fakes.entry("a", 3, slots=7)
        self.directory.apply_changes([earlier], [], 10.6)
        record = self.directory.by_id["a"]
        self.read_nothing_until(since + 1.2)
        self.assertFalse(self.directory.has_stayed(record, since, 1.0))
        self.read_nothing_until(11.1 + servers.EARLIER_START_S)
        self.assertEqual(earlier, self.directory.by_id["a"].entry)
        self.assertIsNone(self.directory.find_record(fakes.incarnation("a", 5)))
        self.assertFalse(self.directory.has_ended(fakes.incarnation("a", 5)))

    def test_entry_with_an_earlier_start_is_taken_from_the_planner_at_once(self):
        """Guards against a directory that differs from the planner's for seconds."""
        self.directory.apply_changes([fakes.entry("a", 0)], [], 10.5, are_accepted=True)
        self.assertEqual(0, self.directory.by_id["a"].entry.started_ms)

    def test_other_start_at_the_address_proves_nothing(self):
        """Guards against a live server that counts as ended, so that its keys get a second owner,
        after another writer's entry or a step of a clock (review cases 11 and 12)."""
        address = self.directory.by_id["a"].entry.address
        for name, started_ms in (("earlier", 0), ("equal", 1), ("later", 9)):
            other = fakes.entry(name, started_ms, address=address)
            self.directory.apply_changes([other], [], 11.0)
            self.assertFalse(self.directory.has_ended(fakes.incarnation("a")))
            self.assertFalse(self.directory.has_ended(other.incarnation))

    def test_other_start_under_the_id_proves_nothing(self):
        """Guards against the same under the id of a live server, where the address under which it
        was given its keys stays known, so that it can be asked."""
        entry = self.directory.by_id["a"].entry
        for started_ms in (9, 8, 7):
            other = fakes.entry("a", started_ms, address=f"10.0.0.2:{started_ms}")
            self.directory.apply_changes([other], [], 11.0 + started_ms, are_accepted=True)
            self.assertFalse(self.directory.has_ended(entry.incarnation))
            self.assertEqual(entry, self.directory.find_entry(entry.incarnation))

    def test_what_is_known_of_an_incarnation_outlasts_the_entry_of_another(self):
        """Guards against requests to a server that leaves, and against a lost proof of an end,
        because another writer's entry stood in between."""
        self.directory.note_leaving(fakes.incarnation("a"))
        self.directory.note_address_reused(fakes.incarnation("b"))
        for started_ms in (9, 1):
            entries = [fakes.entry(name, started_ms) for name in ("a", "b")]
            self.directory.apply_changes(entries, [], 11.0, are_accepted=True)
        self.assertEqual([], self.usable())
        self.assertTrue(self.directory.has_ended(fakes.incarnation("b")))

    def test_entry_of_another_service_replaces_no_server(self):
        """Guards against requests of one service that reach a server of another one, because
        another writer's entry names its id."""
        self.directory.add_services([fakes.SERVICE, "desk"])
        self.directory.apply_changes([fakes.entry("a", 9, service="desk")], [], 10.5)
        self.assertEqual(["a", "b"], self.usable())
        self.assertEqual([], self.directory.usable("desk"))

    def test_incarnation_has_one_address(self):
        """Guards against orders for a server that reach the address in another writer's entry."""
        entry = self.directory.by_id["a"].entry
        self.directory.apply_changes([fakes.entry("a", address="10.0.0.2:1")], [], 10.5)
        self.assertEqual(entry, self.directory.find_entry(entry.incarnation))
        self.assertEqual(["a", "b"], self.usable())

    def test_proof_of_an_end_outlasts_the_next_entry(self):
        """Guards against waiting for the leases of a process that has certainly ended."""
        self.directory.note_address_reused(fakes.incarnation("a"))
        self.directory.apply_changes([fakes.entry("a", 2)], [], 11.0)
        self.assertTrue(self.directory.has_ended(fakes.incarnation("a")))

    def test_server_in_the_place_of_another_is_known(self):
        """Guards against requests that crash servers and are not found, as the crashed ones are
        back under their ids or at their addresses."""
        self.assertFalse(self.directory.is_replaced(fakes.incarnation("a")))
        address = self.directory.by_id["b"].entry.address
        replacing = [fakes.entry("a", 2), fakes.entry("c", 0, address=address)]
        self.directory.apply_changes(replacing, [], 11.0)
        self.assertTrue(self.directory.is_replaced(fakes.incarnation("a")))
        self.assertTrue(self.directory.is_replaced(fakes.incarnation("b")))

    def test_entry_of_no_configured_service_proves_nothing_at_an_address(self):
        """Guards against a live server that counts as ended, so that its keys get a second owner,
        because another writer's entry names its address (review case 7)."""
        self.directory.add_services([fakes.SERVICE])
        address = self.directory.by_id["a"].entry.address
        foreign = fakes.entry("exporter", 2, address=address, service="metrics")
        self.directory.apply_changes([foreign], [], 10.5)
        self.assertFalse(self.directory.has_ended(fakes.incarnation("a")))
        self.directory.add_services(["metrics"])
        self.assertFalse(self.directory.has_ended(fakes.incarnation("a")))

    def test_entries_of_no_configured_service_change_nothing(self):
        """Guards against messages and plans for the entries of another writer, which delay those
        for servers (review case 14)."""
        self.directory.add_services([fakes.SERVICE])
        self.directory.take_changed()
        before = self.directory.version, self.directory.digest()
        for second in range(3):
            written = [
                fakes.entry(f"x{number}", second, service="metrics") for number in range(1_000)
            ]
            self.directory.apply_changes(written, [], 11.0 + second)
        self.assertEqual([], self.directory.take_changed())
        self.assertEqual(before, (self.directory.version, self.directory.digest()))

    def test_servers_that_registered_before_their_service_was_configured(self):
        """Guards against servers that are never used because their entries were read too early,
        and against those that have left meanwhile."""
        self.directory.add_services([fakes.SERVICE])
        early = [fakes.entry(name, service="desk") for name in ("c", "d")]
        self.directory.apply_changes(early, [], 10.5)
        self.directory.apply_changes([], ["d"], 10.6)
        self.directory.take_changed()
        self.directory.add_services(["desk"])
        self.assertEqual(["c"], [r.entry.server for r in self.directory.usable("desk")])
        self.assertEqual(["c"], [r.entry.server for r in self.directory.take_changed()])

    def test_scan_without_an_entry_of_no_configured_service(self):
        """Guards against a server that appears although a read of all rows lacked its entry."""
        self.directory.add_services([fakes.SERVICE])
        self.directory.apply_changes([fakes.entry("c", service="desk")], [], 10.5)
        self.directory.apply_all([fakes.entry("a"), fakes.entry("b")], 10.6)
        self.directory.add_services(["desk"])
        self.assertEqual([], self.directory.usable("desk"))

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
        self.directory.apply_changes([fakes.entry("c")], [], 10.5)
        self.assertEqual(["a", "b", "c"], self.usable())

    def test_server_of_a_service_that_is_no_longer_configured_stays_known(self):
        """Guards against proof of an end that is lost with a service's configuration."""
        self.directory.add_services([fakes.SERVICE])
        self.directory.add_services(["other"])
        self.directory.note_address_reused(fakes.incarnation("a"))
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
