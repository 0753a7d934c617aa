"""Range maps after the store came back from an earlier copy, which lacks the newest maps."""

from celerystack import ids
from celerystack.fleet import nodes
from celerystack.ranges import codec, leases, map_recovery, model, range_maps
from tests.ranges import fakes, test_leadership, test_planner

KEYS = (0, 30_000, 65_535)


class MapRecoveryTest(test_planner.PlannerCase):
    def setUp(self):
        super().setUp()
        self.given_out = {segment.token for segment in self.ranges().segments}
        self.copy = self.store.copy()

    def lead_again(self, *, forget=False):
        """Begin a term in the store's era, as a process that knows no maps with ``forget``."""
        if forget:
            self.range_maps = range_maps.RangeMaps()
        self.planner = self.start_planner()

    def come_back(self, copy=None, *, forget=False):
        self.store.come_back(self.copy if copy is None else copy)
        node = nodes.Node(vm=test_planner.VM, zone=fakes.ZONE, address=("10.0.0.1", 7000))
        test_leadership.result_of(nodes.register(self.store, node))
        self.orders.released.clear()
        self.lead_again(forget=forget)

    def move_away(self, name):
        """Let a server drain, so that its keys move; note the tokens that are given out."""
        self.drain(name)
        self.tick()
        self.tick()
        self.given_out |= {segment.token for segment in self.ranges().segments}

    def recover(self):
        for _ in range(10):
            self.tick()

    def owners(self):
        return [self.range_maps.find(fakes.SERVICE, key).owner for key in KEYS]

    def assert_tokens_are_new(self):
        """Check that each token is above all that were given out, and note it as given out."""
        found = {segment.token for segment in self.ranges().segments}
        self.assertGreater(min(found), max(self.given_out))
        self.given_out |= found

    def is_confirmed(self):
        return fakes.SERVICE in self.range_maps.versions_in(self.store.era)

    def test_planner_keeps_the_lost_map_under_new_tokens(self):
        """Guards against keys that go back to a former owner under tokens that were given out
        before, and against a planner each of whose writes conflicts (review case 8)."""
        self.move_away("a")
        lost = self.owners()
        self.come_back()
        self.recover()
        self.assertEqual(lost, self.owners())
        self.assert_tokens_are_new()
        self.assertTrue(self.is_confirmed())

    def test_keys_move_again_after_the_recovery(self):
        """Guards against a map that can never change after the return of the store."""
        self.come_back()
        self.recover()
        self.assert_tokens_are_new()
        self.move_away("a")
        self.assertEqual([fakes.incarnation("b")] * len(KEYS), self.owners())

    def test_planner_that_knows_only_the_copy(self):
        """Guards against repeated tokens after the return and the loss of the planner."""
        self.move_away("a")
        self.come_back(forget=True)
        self.recover()
        self.assert_tokens_are_new()

    def test_two_returns_in_a_row(self):
        """Guards against tokens of a second return that repeat those of the first one."""
        for forget in (False, True):
            with self.subTest(forget=forget):
                self.come_back(forget=forget)
                self.recover()
                self.assert_tokens_are_new()
                self.come_back(forget=forget)
                self.recover()
                self.assert_tokens_are_new()

    def test_two_returns_with_another_planner_in_the_first_recovery(self):
        """Guards against tokens that all servers refuse for good: one era used up the tokens of
        several, and the next return brought a map of before (review case 13)."""
        for begun in (1, 2, 5):
            with self.subTest(begun=begun):
                self.come_back(forget=True)
                for _ in range(begun):
                    self.tick()
                    self.given_out |= {segment.token for _, segment in self.orders.released}
                    self.lead_again(forget=True)
                self.recover()
                self.assert_tokens_are_new()
                self.come_back(forget=True)
                self.recover()
                self.assert_tokens_are_new()

    def test_map_that_the_copy_lacks_altogether(self):
        """Guards against a service whose first map was lost and which starts with token 1."""
        self.come_back((0, {}))
        self.recover()
        self.assert_tokens_are_new()

    def lose_the_first_map(self):
        """Let the store lose everything in an era that is not its first, with all entry VMs."""
        self.store.come_back((0, {}))
        self.come_back((0, {}), forget=True)

    def test_first_map_that_was_lost_with_all_entry_vms(self):
        """Guards against a second owner of keys that servers hold by a map that nobody knows."""
        self.lose_the_first_map()
        self.tick()
        self.tick()
        released_at = {address for address, _ in self.orders.released}
        self.assertEqual({fakes.entry("a").address, fakes.entry("b").address}, released_at)
        self.assertNotIn(fakes.SERVICE, self.range_maps.by_service)
        self.recover()
        self.assert_tokens_are_new()
        self.assertTrue(all(segment.is_settled for segment in self.ranges().segments))

    def test_silent_servers_of_a_first_map_that_was_lost(self):
        """Guards against the same where the servers do not answer the planner."""
        self.lose_the_first_map()
        self.orders.failing = True
        began_at = self.clock.seconds()
        while self.clock.seconds() < began_at + leases.MAP_VALID_S - 0.5:
            self.tick()
            self.assertNotIn(fakes.SERVICE, self.range_maps.by_service)
        self.tick(1.0)
        self.tick()
        self.assertTrue(self.is_confirmed())

    def test_first_map_of_a_later_era(self):
        """Guards against token 1 when neither the store nor any VM knows the lost map."""
        self.come_back((0, {}), forget=True)
        self.recover()
        self.assert_tokens_are_new()

    def test_each_server_releases_what_the_map_does_not_give_it(self):
        """Guards against keys that a server was given by a lost map and goes on to hold."""
        self.come_back()
        self.tick()
        owner_by_address = {
            record.entry.address: record.entry.incarnation
            for record in self.directory.by_id.values()
        }
        for key in range(0, model.KEY_MAX + 1, 1009):
            owner = self.range_maps.find(fakes.SERVICE, key).owner
            released_at = {
                owner_by_address[address]
                for address, segment in self.orders.released
                if segment.start <= key <= segment.end
            }
            self.assertEqual({*owner_by_address.values()} - {owner}, released_at)
        for _, segment in self.orders.released:
            self.assertGreater(segment.token, max(self.given_out))

    def test_server_that_registers_again_is_asked_too(self):
        """Guards against a holder whose entry is missing when the planner begins."""
        self.come_back()
        self.tick()
        self.directory.apply_changes([fakes.entry("c")], [], self.clock.seconds())
        self.tick(map_recovery.SERVERS_RETURN_S - 0.5)
        asked = {address for address, _ in self.orders.released}
        self.assertIn(fakes.entry("c").address, asked)

    def test_silent_server_is_waited_for_until_lost_leases_have_ended(self):
        """Guards against a second owner of keys that a silent server holds by a lost map."""
        self.orders.failing = True
        self.come_back()
        began_at = self.clock.seconds()
        while self.clock.seconds() < began_at + leases.MAP_VALID_S - 0.5:
            self.tick()
            self.assertFalse(self.is_confirmed())
        self.tick(1.0)
        self.assertTrue(self.is_confirmed())
        self.assert_tokens_are_new()

    def test_planner_that_is_replaced_during_the_recovery(self):
        """Guards against tokens of the next planner below those of releases, which the servers
        would reject for ever."""
        self.come_back()
        self.tick()
        self.given_out |= {segment.token for _, segment in self.orders.released}
        self.lead_again(forget=True)
        self.recover()
        self.assert_tokens_are_new()

    def test_recovered_map_is_not_recovered_again(self):
        """Guards against a sweep of all servers by each planner after a return."""
        self.come_back()
        self.recover()
        before = self.range_maps.versions()
        self.orders.released.clear()
        self.lead_again()
        self.recover()
        self.assertEqual((before, []), (self.range_maps.versions(), self.orders.released))

    def test_lost_registrations_delay_the_keys_of_silent_servers(self):
        """Guards against a second owner while an entry VM whose row was lost still renews leases
        by a map of before."""
        self.come_back()
        returned_at = self.clock.seconds()
        self.recover()
        lost = fakes.incarnation("a")
        key = next(s.start for s in self.ranges().segments if s.owner == lost)
        self.orders.failing = True
        self.directory.apply_changes([], [lost.server], self.clock.seconds())
        while self.clock.seconds() < returned_at + leases.MAP_VALID_S - 0.5:
            self.directory.expire(self.clock.seconds())
            self.report(lost)
            self.tick()
            segment = self.range_maps.find(fakes.SERVICE, key)
            self.assertTrue(segment.owner == lost or segment.pending)
        self.tick(1.0)
        self.report(lost)
        self.tick()
        self.assertTrue(self.range_maps.find(fakes.SERVICE, key).is_settled)


class EraOfMapsTest(test_planner.PlannerCase):
    def test_map_tells_the_era_in_which_it_was_written(self):
        """Guards against a map of the copy that is taken for one of the present era."""
        self.store.come_back(self.store.copy())
        ranges = fakes.whole(fakes.incarnation("a"))
        era = ids.StoreEra(3)
        self.assertEqual(era, codec.decode_era(fakes.SERVICE, codec.encode(ranges, era)))
        self.assertEqual(ranges, codec.decode(fakes.SERVICE, codec.encode(ranges, era)))
        self.assertEqual(0, codec.decode_era(fakes.SERVICE, codec.encode(ranges)))

    def test_terms_of_a_later_era_are_higher(self):
        """Guards against entry VMs that ignore the new planner because of a lost term."""
        term = self.planner.leadership.term
        for _ in range(5):
            self.planner = self.start_planner()
        lost_term = self.planner.leadership.term
        self.assertGreater(lost_term, term)
        self.store.come_back((0, {}))
        self.planner = self.start_planner()
        self.assertGreater(self.planner.leadership.term, lost_term)

    def test_leader_of_an_earlier_era(self):
        """Guards against a restarted process that becomes planner at once although others know
        newer maps, and against a first planner that waits."""
        leader = test_leadership.result_of(self.planner.leadership.read())
        self.assertFalse(leader.is_of_earlier_era)
        self.store.come_back(self.store.copy())
        self.assertTrue(test_leadership.result_of(self.planner.leadership.read()).is_of_earlier_era)
        self.store.rows.clear()
        self.assertFalse(
            test_leadership.result_of(self.planner.leadership.read()).is_of_earlier_era
        )
