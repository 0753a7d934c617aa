"""Tests of how the planner carries out changes of ownership."""

import random

import testtools
from twisted.internet import task

from celerystack import errors, ids
from celerystack.fleet import messages, nodes, rows, servers
from celerystack.ranges import (
    codec,
    leadership,
    leases,
    model,
    planner,
    range_maps,
    token_lifts,
)
from tests.ranges import fakes
from tests.ranges.test_leadership import result_of

VM = ids.EntryVmId("vm-1")


class PlannerCase(testtools.TestCase):
    avoids_cold = False
    owns_queue = False
    sharded_services = (fakes.SERVICE,)

    def setUp(self):
        super().setUp()
        self.clock = task.Clock()
        self.clock.advance(100.0)
        self.store = fakes.MemoryRows()
        self.limit_by_incarnation = {}
        self.range_maps = range_maps.RangeMaps()
        self.directory = servers.Directory()
        self.orders = fakes.FakeOrders()
        node = nodes.Node(vm=VM, zone=fakes.ZONE, address=("10.0.0.1", 7000))
        result_of(nodes.register(self.store, node))
        self.planner = self.start_planner()
        self.directory.apply_all([fakes.entry("a"), fakes.entry("b")], 100.0)
        self.tick(planner.SERVERS_STABLE_S)

    def start_planner(self):
        made = planner.Planner(
            rate_limit=lambda incarnation: self.limit_by_incarnation.get(incarnation),
            avoids_cold=lambda _: self.avoids_cold,
            owns_queue=lambda vm, server: self.owns_queue,
            leadership=leadership.Leadership(
                vm=VM, vm_incarnation=1, store=self.store, now=self.clock.seconds
            ),
            store=self.store,
            maps=self.range_maps,
            directory=self.directory,
            port=self.orders,
            sharded_services=lambda: self.sharded_services,
            on_commit=lambda _: None,
            now=self.clock.seconds,
        )
        result_of(made.leadership.acquire(result_of(made.leadership.read())))
        made.begin_term()
        return made

    def tick(self, seconds=0.3):
        self.clock.advance(seconds)
        result_of(self.planner.tick())

    def ranges(self):
        return self.range_maps.by_service[fakes.SERVICE].ranges

    def drain(self, name):
        leaving = fakes.entry(name, state=servers.ServerState.DRAINING)
        self.directory.apply_changes([leaving], [], self.clock.seconds())

    def report(self, *incarnations, remaining_s=0.0, keys=(), refused=()):
        self.planner.on_report(
            messages.Report(
                vm=VM,
                zone=fakes.ZONE,
                vm_incarnation=1,
                stamp=self.clock.seconds(),
                versions_by_service=self.range_maps.versions(),
                remaining_by_incarnation=dict.fromkeys(incarnations, remaining_s),
                unreachable=incarnations,
                keys_by_service={fakes.SERVICE: list(keys)},
                service_time_by_server={},
                refused_tokens_by_service={fakes.SERVICE: tuple(refused)},
            )
        )

    def report_service_time(self, name, seconds):
        report = messages.Report(
            vm=VM,
            zone=fakes.ZONE,
            vm_incarnation=1,
            stamp=self.clock.seconds(),
            versions_by_service=self.range_maps.versions(),
            remaining_by_incarnation={},
            unreachable=(),
            keys_by_service={},
            service_time_by_server={ids.ServerId(name): (5, seconds)},
        )
        self.planner.on_report(report)


class PlannerTest(PlannerCase):
    def test_first_map_is_settled(self):
        """Guards against a first map with possible holders although nobody holds keys."""
        self.assertTrue(all(segment.is_settled for segment in self.ranges().segments))

    def test_tokens_are_lifted_above_those_that_servers_have_seen(self):
        """Guards against keys that are never served, as a server has seen a higher token than the
        store remembers and refuses every grant (review case 13)."""
        for seen in (10, 1 << 20, 1 << 34):
            self.refuse_below(ids.Token(seen))
            self.assertGreater(min(segment.token for segment in self.ranges().segments), seen)
            self.assertTrue(all(segment.is_settled for segment in self.ranges().segments))

    def refuse_below(self, seen):
        """Report the present tokens as refused until they are above ``seen``."""
        for _ in range(token_lifts.LIFTS_MAX):
            refused = {segment.token for segment in self.ranges().segments if segment.token <= seen}
            if refused:
                self.report(refused=refused)
                self.tick()

    def test_server_that_refuses_every_token_gets_few_lifts(self):
        """Guards against tokens that are used up because of one server."""
        self.refuse_below(ids.Token(1 << 70))
        before = self.ranges().next_token
        self.assertLess(before, 1 << 53)
        self.refuse_below(ids.Token(1 << 70))
        self.assertEqual(before, self.ranges().next_token)

    def test_refusal_of_an_earlier_token_lifts_nothing(self):
        """Guards against a change of the map for each delayed grant of an earlier map."""
        before = self.ranges()
        self.report(refused={segment.token - 1 for segment in before.segments[:1]})
        self.tick()
        self.assertEqual(before, self.ranges())

    def test_handover_of_released_keys_reaches_the_new_owner(self):
        """Guards against a handover that does not reach the new owner, which then starts cold."""
        self.drain("a")
        self.tick()
        self.tick()
        moved = [s for s in self.ranges().segments if s.handover]
        self.assertEqual({fakes.incarnation("b")}, {segment.owner for segment in moved})

    def test_keys_leave_an_evacuated_zone_by_handover(self):
        """Guards against keys that stay in an evacuated zone, or leave it without a release."""
        other_zone = fakes.entry("b", zone=ids.ZoneName("z2"))
        self.directory.apply_changes([other_zone], [], self.clock.seconds())
        self.directory.set_evacuations(evacuated=frozenset({fakes.ZONE}), closed=frozenset())
        self.tick()
        self.tick()
        self.assertEqual({fakes.incarnation("b")}, {s.owner for s in self.ranges().segments})
        self.assertTrue(self.orders.released)
        self.assertTrue(all(segment.is_settled for segment in self.ranges().segments))

    def test_latencies_of_a_queue_owner_are_service_times(self):
        """Guards against servers that are overloaded because their slowness counts as waiting."""
        for owns_queue, expected_s in ((False, 0.12), (True, 0.3)):
            self.owns_queue = owns_queue
            times = self.planner.service_times
            self.planner._utilization_by_server[ids.ServerId("a")] = 0.9
            for _ in range(40):
                self.report_service_time("a", 0.3)
            found = times.estimate([ids.ServerId("a")])[ids.ServerId("a")]
            self.assertAlmostEqual(expected_s, found, delta=0.02)

    def test_cold_server_gets_keys_when_it_is_warm(self):
        """Guards against a cold server that gets all requests for some keys and crashes."""
        self.avoids_cold = True
        cold = fakes.entry("c", cold_s=3.0)
        self.directory.apply_changes([cold], [], self.clock.seconds())
        for _ in range(6):
            self.report(keys=range(0, 65_536, 2_000))
            self.tick()
        self.assertNotIn(fakes.incarnation("c"), {s.owner for s in self.ranges().segments})
        for _ in range(20):
            self.report(keys=range(0, 65_536, 2_000))
            self.tick()
        self.assertIn(fakes.incarnation("c"), {s.owner for s in self.ranges().segments})

    def test_cold_servers_get_keys_if_few_are_warm(self):
        """Guards against a service whose few warm servers get all keys after a restart of most."""
        self.avoids_cold = True
        names = "cdefg"
        cold = [fakes.entry(name, cold_s=30.0) for name in names]
        self.directory.apply_changes(cold, [], self.clock.seconds())
        self.drain("a")
        for _ in range(6):
            self.tick()
        owners = {segment.owner.server for segment in self.ranges().segments}
        self.assertTrue(owners & set(names), owners)

    def test_release_carries_the_new_token(self):
        """Guards against a delayed renewal that the server accepts after it released the keys."""
        before = self.ranges().next_token
        self.drain("a")
        self.tick()
        self.assertTrue(all(s.token >= before for _, s in self.orders.released))

    def test_silent_holder_keeps_its_keys_until_map_validity_ends(self):
        """Guards against two owners while an entry VM may still renew the old lease."""
        self.orders.failing = True
        self.drain("a")
        self.tick()
        self.tick(leases.MAP_VALID_S - 1.0)
        self.assertTrue(any(segment.pending for segment in self.ranges().segments))

    def test_keys_of_a_silent_holder_are_free_after_map_validity(self):
        """Guards against keys that stay unavailable after their server was lost."""
        self.orders.failing = True
        self.drain("a")
        self.tick()
        self.tick(leases.MAP_VALID_S + 0.1)
        self.assertFalse(any(segment.pending for segment in self.ranges().segments))

    def test_reports_of_all_vms_shorten_the_wait(self):
        """Guards against waiting for `MAP_VALID_S` although all leases are known to end sooner."""
        self.orders.failing = True
        self.drain("a")
        for _ in range(4):
            self.report(fakes.incarnation("a"), remaining_s=2.0)
            self.tick()
        self.assertTrue(any(segment.pending for segment in self.ranges().segments))
        self.tick(2.1)
        self.assertFalse(any(segment.pending for segment in self.ranges().segments))

    def test_restarted_server_is_granted_under_a_new_token(self):
        """Guards against a new incarnation that uses the token of the old one."""
        token_by_start = {s.start: s.token for s in self.ranges().segments}
        self.directory.apply_changes([fakes.entry("a", 2)], [], self.clock.seconds())
        self.tick()
        for segment in self.ranges().segments:
            if segment.start in token_by_start and segment.owner == fakes.incarnation("a", 2):
                self.assertGreater(segment.token, token_by_start[segment.start])

    def restart_before_the_release(self, name):
        """Move the keys of a server that answers no release, and register its next incarnation."""
        self.orders.failing = True
        self.drain(name)
        self.tick()
        restarted = fakes.entry(name, 2, state=servers.ServerState.DRAINING)
        self.directory.apply_changes([restarted], [], self.clock.seconds())

    def test_restarted_server_may_hold_keys_of_its_earlier_incarnation(self):
        """Guards against a second owner: entry VMs may have granted them to the new process, and
        the earlier one may be at work still."""
        self.restart_before_the_release("a")
        self.tick()
        holders = {holder for segment in self.ranges().segments for holder in segment.pending}
        self.assertEqual({fakes.incarnation("a")}, holders)
        self.orders.failing = False
        self.orders.released.clear()
        self.tick()
        self.assertEqual({fakes.entry("a").address}, {to for to, _ in self.orders.released})
        self.tick()
        self.assertFalse(any(segment.pending for segment in self.ranges().segments))

    def test_live_server_is_asked_for_its_keys_whatever_other_entries_say(self):
        """Guards against a second owner of the keys of a live server after another writer's entry
        or a step of a clock, seen by a running or a new planner (review cases 11 and 12)."""
        address = fakes.entry("a").address
        others = [fakes.entry(f"x{start}", start, address=address) for start in (0, 1, 9)]
        self.directory.apply_changes(others, [], self.clock.seconds())
        for other in others:
            self.directory.note_address_reused(other.incarnation)
        self.drain("a")
        self.orders.failing = True
        for is_new_planner in (False, True):
            if is_new_planner:
                self.planner = self.start_planner()
            self.orders.released.clear()
            self.tick()
            self.tick()
            holders = {holder for segment in self.ranges().segments for holder in segment.pending}
            self.assertEqual({fakes.incarnation("a")}, holders)
            self.assertEqual({address}, {to for to, _ in self.orders.released})

    def test_live_server_is_asked_at_the_address_at_which_it_was_granted_keys(self):
        """Guards against a release that another server answers, because another writer's entry
        names the server's id and the address of that one."""
        other = fakes.entry("a", 9, address=fakes.entry("b").address)
        self.directory.apply_changes([other], [], self.clock.seconds())
        self.directory.note_address_reused(other.incarnation)
        self.tick()
        self.assertEqual({fakes.entry("a").address}, {to for to, _ in self.orders.released})

    def test_restarted_server_whose_entry_was_removed_may_hold_keys(self):
        """Guards against a second owner: a server without an entry may still be at work."""
        self.restart_before_the_release("a")
        self.directory.apply_changes([], ["a"], self.clock.seconds())
        self.tick()
        holders = {holder for segment in self.ranges().segments for holder in segment.pending}
        self.assertEqual({fakes.incarnation("a")}, holders)

    def test_restarted_server_that_gets_its_keys_back_does_not_refuse_them(self):
        """Guards against grants below the token of a release that the new process has answered for
        the earlier one (seed 9106 of the soak)."""
        restarted = fakes.entry("a", 2)
        self.directory.apply_changes([restarted], [], self.clock.seconds())
        self.store_moves_from("a", to=(restarted.incarnation, fakes.incarnation("b")))
        self.planner = self.start_planner()
        self.orders.released.clear()
        self.tick()
        released_at = [to for to, _ in self.orders.released]
        self.assertEqual({restarted.address}, set(released_at))
        for segment in self.ranges().owned_by(restarted.incarnation):
            for _, released in self.orders.released:
                if released.start <= segment.end and segment.start <= released.end:
                    self.assertLessEqual(released.token, segment.token)

    def store_moves_from(self, name, *, to):
        """Store a map whose ranges move from one server to others in turn."""
        width = (model.KEY_MAX + 1) // 16
        segments = tuple(
            model.Segment(
                start=number * width,
                end=(number + 1) * width - 1,
                token=ids.Token(100 + number),
                owner=to[number % len(to)],
                pending=(fakes.incarnation(name),),
                phase=model.Phase.MOVING,
            )
            for number in range(16)
        )
        ranges = model.RangeMap(service=fakes.SERVICE, next_token=ids.Token(200), segments=segments)
        row_key = ids.RowKey(fakes.SERVICE)
        _, version = self.store.rows[leadership.RANGES_TABLE, row_key]
        condition = rows.Condition(
            table=leadership.RANGES_TABLE, key=row_key, version=ids.RowVersion(version)
        )
        put = rows.Put(
            table=leadership.RANGES_TABLE, key=row_key, value=codec.encode(ranges, self.store.era)
        )
        self.store.transact([condition], [put], [])

    def test_keys_of_a_restarted_server_are_free_when_its_leases_have_ended(self):
        """Guards against keys that stay unserved because a restarted server was lost again."""
        self.restart_before_the_release("a")
        self.tick()
        self.tick(leases.MAP_VALID_S + 0.1)
        self.assertFalse(any(segment.pending for segment in self.ranges().segments))

    def test_new_planner_finishes_a_move_that_was_begun(self):
        """Guards against possible holders that stay after the planner was lost during a move."""
        self.orders.failing = True
        self.drain("a")
        self.tick()
        self.orders.failing = False
        self.planner = self.start_planner()
        self.tick()
        self.tick()
        self.assertEqual(
            {fakes.incarnation("b")}, {segment.owner for segment in self.ranges().segments}
        )
        self.assertTrue(all(segment.is_settled for segment in self.ranges().segments))

    def test_new_planner_waits_for_leases_of_the_old_term(self):
        """Guards against a wait that counts from before the new planner's term began."""
        self.orders.failing = True
        self.drain("a")
        self.tick()
        self.tick(leases.MAP_VALID_S - 2.0)
        self.planner = self.start_planner()
        self.tick(3.0)
        self.assertTrue(any(segment.pending for segment in self.ranges().segments))

    def test_server_that_gives_many_ranges_away_gets_few_orders(self):
        """Guards against release orders that queue until the server counts as silent."""
        more = [fakes.entry(f"n{number}") for number in range(40)]
        self.directory.apply_changes(more, [], self.clock.seconds())
        self.report(keys=list(range(0, 32_000, 80)) * 4)
        self.tick()
        waiting = {s.token for s in self.ranges().segments if s.pending}
        self.assertGreater(len(waiting), 20)
        self.assertLessEqual(len(self.orders.released), 16)
        self.tick()
        still = {s.token for s in self.ranges().segments if s.pending}
        self.assertEqual(set(), waiting & still)


class RateLimitTest(PlannerCase):
    """The pattern of a server in need: it answers fast, but accepts few requests."""

    def setUp(self):
        super().setUp()
        self.random = random.Random(3)
        self.serve(10)

    def serve(self, ticks):
        """Report six requests a second with random keys; each server could process 16."""
        for _ in range(ticks):
            self.report(keys=[self.random.randint(0, model.KEY_MAX) for _ in range(2)])
            self.tick()

    def share(self, name):
        """Return the fraction of all keys that a server owns."""
        owned = [s for s in self.ranges().segments if s.owner == fakes.incarnation(name)]
        return sum(s.end - s.start + 1 for s in owned) / (model.KEY_MAX + 1)

    def test_keys_move_to_servers_that_accept_more(self):
        """Guards against rejecting most calls for a server's keys while others have room."""
        self.assertGreater(self.share("a"), 0.4)
        self.limit_by_incarnation[fakes.incarnation("a")] = 1.0
        self.serve(40)
        self.assertLess(self.share("a"), 0.3)

    def test_server_that_accepts_nothing(self):
        """Guards against a division by a capacity of zero."""
        self.limit_by_incarnation[fakes.incarnation("a")] = 0.0
        self.serve(40)
        self.assertLess(self.share("a"), 0.3)


class CutZoneTest(PlannerCase):
    """The pattern of a zone that is cut off for seconds: no reports, and its entries are removed.

    Server ``c`` is in another zone than ``a`` and ``b``.
    """

    far_zone = ids.ZoneName("z2")
    far_vm = ids.EntryVmId("vm-2")

    def setUp(self):
        super().setUp()
        node = nodes.Node(vm=self.far_vm, zone=self.far_zone, address=("10.0.0.2", 7000))
        result_of(nodes.register(self.store, node))
        far = fakes.entry("c", zone=self.far_zone)
        self.directory.apply_changes([far], [], self.clock.seconds())
        self.drain("a")
        self.tick()
        self.tick()
        self.assertIn(fakes.incarnation("c"), self.owners())
        self.hear(self.far_vm, self.far_zone)
        self.orders.failing = True
        self.cut_at = self.clock.seconds()

    def owners(self):
        return {segment.owner for segment in self.ranges().segments}

    def hear(self, vm=VM, zone=fakes.ZONE):
        self.planner.on_report(
            messages.Report(
                vm=vm,
                zone=zone,
                vm_incarnation=1,
                stamp=self.clock.seconds(),
                versions_by_service=self.range_maps.versions(),
                remaining_by_incarnation={},
                unreachable=(),
                keys_by_service={},
                service_time_by_server={},
            )
        )

    def cut(self, seconds):
        """Let time pass while the other zone reports; the entry of ``c`` is removed after 1.5 s."""
        end = self.cut_at + seconds
        while self.clock.seconds() < end:
            if self.clock.seconds() >= self.cut_at + 1.5:
                self.directory.apply_changes([], [ids.ServerId("c")], self.clock.seconds())
            self.hear()
            vms = {VM: fakes.ZONE, self.far_vm: self.far_zone}
            self.planner.update_vms(fakes.registered(vms), self.clock.seconds())
            self.tick()

    def test_server_of_a_zone_that_comes_back_keeps_its_keys(self):
        """Guards against keys without owner after a short cut, until all leases have ended."""
        self.cut(6.0)
        self.assertIn(fakes.incarnation("c"), self.owners())
        self.assertTrue(all(segment.is_settled for segment in self.ranges().segments))

    def test_keys_of_a_lost_zone_come_back_as_soon_as_without_the_wait(self):
        """Guards against a wait for the zone that delays the recovery of its keys."""
        self.cut(leases.MAP_VALID_S + 0.9)
        self.assertEqual({fakes.incarnation("b")}, self.owners())
        self.assertTrue(all(segment.is_settled for segment in self.ranges().segments))

    def test_lost_server_of_a_zone_that_reports(self):
        """Guards against a wait for a server that was lost alone."""
        self.directory.apply_changes([], [ids.ServerId("c")], self.clock.seconds())
        self.hear(self.far_vm, self.far_zone)
        self.tick()
        self.assertNotIn(fakes.incarnation("c"), self.owners())


class LostVmTest(PlannerCase):
    """An entry VM of the zone that never reports, as after its replacement by another."""

    lost = ids.EntryVmId("vm-9")

    def setUp(self):
        super().setUp()
        lost = nodes.Node(vm=self.lost, zone=fakes.ZONE, address=("10.0.0.9", 7000))
        result_of(nodes.register(self.store, lost))

    def run_for(self, seconds):
        end = self.clock.seconds() + seconds
        while self.clock.seconds() < end:
            self.report()
            read_at = self.clock.seconds()
            by_vm = result_of(nodes.read_all(self.store))
            self.planner.update_vms(by_vm, read_at)
            result_of(self.planner.remove_lost_vms(by_vm))
            self.tick(0.5)

    def registered(self):
        return set(result_of(nodes.read_all(self.store)))

    def test_registration_is_removed_when_no_lease_can_be_left(self):
        """Guards against registrations that stay for ever and delay each recovery."""
        self.run_for(leases.MAP_VALID_S - 2.0)
        self.assertEqual({VM, self.lost}, self.registered())
        self.run_for(3.0)
        self.assertEqual({VM}, self.registered())

    def test_registration_that_was_renewed_stays(self):
        """Guards against removing the row that a VM has written after the list was read."""
        self.run_for(leases.MAP_VALID_S - 2.0)
        by_vm = result_of(nodes.read_all(self.store))
        result_of(nodes.register(self.store, by_vm[self.lost]))
        removing = self.planner.leadership.remove_vm(by_vm[self.lost])
        self.assertRaises(errors.TransactionConflictError, result_of, removing)
        self.assertIn(self.lost, self.registered())


class FirstAssignmentTest(PlannerCase):
    other = ids.ServiceName("swaps")
    sharded_services = (fakes.SERVICE, other)

    def register(self, name):
        entry = fakes.entry(name, service=self.other)
        self.directory.apply_changes([entry], [], self.clock.seconds())

    def owners(self):
        known = self.range_maps.by_service.get(self.other)
        return set() if known is None else {s.owner.server for s in known.ranges.segments}

    def test_servers_that_register_one_after_the_other_all_get_keys(self):
        """Guards against assigning all keys to the first few servers, from which they then move."""
        for number in range(8):
            self.register(f"n{number}")
            self.tick()
        self.assertEqual(set(), self.owners())
        self.tick(planner.SERVERS_STABLE_S)
        self.assertEqual({f"n{number}" for number in range(8)}, self.owners())

    def test_endless_registrations_do_not_delay_the_service_for_ever(self):
        """Guards against keys that stay without an owner while new servers keep appearing."""
        for number in range(round(planner.SERVERS_WAIT_MAX_S / 0.3) + 2):
            self.register(f"n{number}")
            self.tick()
        self.assertNotEqual(set(), self.owners())
