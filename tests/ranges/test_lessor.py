"""Tests of granting keys and renewing leases."""

import testtools
from twisted.internet import task

from celerystack import ids
from celerystack.fleet import servers
from celerystack.ranges import leases, lessor, orders, range_maps
from tests.ranges import fakes

VM = ids.EntryVmId("vm-1")
READ_INTERVAL_S = 0.4
ENTRY_READS = 11
"""Reads for longer than three heartbeat intervals of 1 s, and for less than a lease."""


class LessorTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.clock = task.Clock()
        self.clock.advance(100.0)
        self.range_maps = range_maps.RangeMaps()
        self.directory = servers.Directory()
        self.orders = fakes.FakeOrders()
        self.directory.apply_all([fakes.entry("a")], self.clock.seconds())
        self.lessor = lessor.Lessor(
            vm=VM,
            zone=fakes.ZONE,
            maps=self.range_maps,
            directory=self.directory,
            port=self.orders,
            heartbeat_s=1.0,
            now=self.clock.seconds,
        )
        self.range_maps.adopt(fakes.whole(fakes.incarnation("a")), 7, self.clock.seconds())

    def read_entry(self, version, row_version):
        """Read the server's entry, last written at ``row_version``, at a version of the store."""
        self.directory.note_read(self.clock.seconds(), ids.RowVersion(min(version, row_version)))
        found = fakes.entry("a", row_version=ids.RowVersion(row_version))
        self.directory.apply_changes([found], [], self.clock.seconds())

    def test_settled_keys_are_granted_at_once(self):
        """Guards against a first grant that waits for a renewal interval."""
        self.lessor.tick()
        self.assertEqual(1, len(self.orders.granted))

    def test_renewed_before_the_lease_ends(self):
        """Guards against a lease that expires before its renewal."""
        self.lessor.tick()
        self.clock.advance(leases.RENEW_S)
        self.lessor.tick()
        self.assertEqual(2, len(self.orders.granted))

    def test_refused_tokens_are_told_once(self):
        """Guards against a planner that never learns that its tokens are too old."""
        self.orders.grant_result = orders.GrantResult.TOKEN_TOO_OLD
        self.lessor.tick()
        self.assertEqual({fakes.SERVICE: (1,)}, self.lessor.take_refused())
        self.assertEqual({}, self.lessor.take_refused())

    def test_grant_that_another_server_answers_proves_the_end(self):
        """Guards against keys that wait for leases, or stay with an entry that is no server's."""
        self.orders.grant_result = orders.GrantResult.OTHER_SERVER
        self.lessor.tick()
        self.assertTrue(self.directory.has_ended(fakes.incarnation("a")))
        self.assertEqual([], self.directory.usable(fakes.SERVICE))

    def test_nothing_is_granted_on_stale_knowledge(self):
        """Guards against two owners: a partitioned VM must not grant by an outdated map."""
        self.clock.advance(leases.MAP_VALID_S - leases.LEASE_BOUND_S)
        self.lessor.tick()
        self.assertEqual([], self.orders.granted)

    def test_no_grant_after_a_broken_connection_until_the_entry_is_renewed(self):
        """Guards against granting a lost server's keys to another process at its address."""
        self.orders.failing = True
        self.lessor.tick()
        self.clock.advance(0.5)
        self.directory.apply_changes([], [], self.clock.seconds())
        self.lessor.tick()
        self.assertEqual(1, len(self.orders.granted))

    def test_grant_after_a_broken_connection_when_the_entry_was_renewed(self):
        """Guards against a lease that expires after a single connection reset."""
        self.orders.failing = True
        self.lessor.tick()
        self.clock.advance(0.5)
        self.read_entry(20, 21)
        self.lessor.tick()
        self.assertEqual(2, len(self.orders.granted))

    def test_entry_from_before_the_failure_does_not_confirm_the_incarnation(self):
        """Guards against trusting an entry that the lost process wrote just before it ended."""
        self.orders.failing = True
        self.lessor.tick()
        self.clock.advance(0.5)
        self.read_entry(20, 19)
        self.lessor.tick()
        self.assertEqual(1, len(self.orders.granted))
        self.assertTrue(self.lessor.needs_confirmation())
        self.clock.advance(0.5)
        self.read_entry(30, 28)
        self.lessor.tick()
        self.assertEqual(2, len(self.orders.granted))

    def test_server_whose_entry_stays_is_granted_its_keys_again(self):
        """Guards against a server that is never granted keys again after one broken connection.

        Its entry changes only if more than the sequence number does, and is removed after three
        heartbeat intervals of silence, so an entry that stays shows that the server lives.
        """
        self.orders.failing = True
        self.lessor.tick()
        self.orders.failing = False
        for number in range(ENTRY_READS):
            self.clock.advance(READ_INTERVAL_S)
            self.read_entry(20 + number, 5)
            self.lessor.tick()
        self.assertEqual(2, len(self.orders.granted))

    def test_entry_that_was_not_read_all_the_time_confirms_nothing(self):
        """Guards against granting to another process at the address of a server that has ended."""
        self.orders.failing = True
        self.lessor.tick()
        self.orders.failing = False
        self.clock.advance(ENTRY_READS * READ_INTERVAL_S)
        self.read_entry(20, 5)
        self.lessor.tick()
        self.assertEqual(1, len(self.orders.granted))

    def test_connection_that_ended_between_renewals_counts_as_broken(self):
        """Guards against renewing for another process that took over the id and address."""
        self.lessor.tick()
        self.orders.connected = False
        self.clock.advance(leases.RENEW_S)
        self.read_entry(20, 19)
        self.lessor.tick()
        self.assertEqual(1, len(self.orders.granted))
        self.clock.advance(0.5)
        self.read_entry(30, 28)
        self.read_entry(40, 38)
        self.lessor.tick()
        self.assertEqual(2, len(self.orders.granted))

    def test_vm_that_was_paused_grants_nothing_on_a_broken_connection(self):
        """Guards against renewing for a server that restarted while this VM was paused."""
        self.lessor.tick()
        self.orders.connected = False
        self.clock.advance(6.0)
        self.lessor.tick()
        self.assertEqual(1, len(self.orders.granted))

    def test_unavailable_store_does_not_end_renewals(self):
        """Guards against leases that expire in a store outage because no entry can be renewed."""
        self.lessor.tick()
        self.orders.connected = False
        self.clock.advance(6.0)
        self.directory.note_failure(self.clock.seconds())
        self.lessor.tick()
        self.assertEqual(2, len(self.orders.granted))

    def test_later_incarnation_gets_nothing_of_an_earlier_one(self):
        """Guards against granting a restarted server the keys of its earlier incarnation."""
        self.directory.apply_changes([fakes.entry("a", 2)], [], self.clock.seconds())
        self.lessor.tick()
        self.assertEqual([], self.orders.granted)

    def test_unanswered_grant_counts_from_the_abort_of_its_connection(self):
        """Guards against a bound on the lease that counts from when the grant was sent.

        A grant may arrive as late as its connection is aborted.
        """
        self.orders.failing = True
        self.lessor.tick()
        remaining_s = self.lessor.remaining_s(fakes.incarnation("a"))
        self.assertAlmostEqual(leases.LEASE_BOUND_S, remaining_s)

    def test_grant_that_was_not_sent_begins_no_lease(self):
        """Guards against keys that stay unserved longer with each connection that is refused."""
        self.lessor.tick()
        self.orders.refusing = True
        self.clock.advance(leases.RENEW_S + 0.1)
        self.lessor.tick()
        remaining_s = self.lessor.remaining_s(fakes.incarnation("a"))
        self.assertAlmostEqual(leases.LEASE_BOUND_S - leases.RENEW_S - 0.1, remaining_s)

    def test_lease_of_an_earlier_incarnation_is_told_when_another_one_is_registered(self):
        """Guards against a second owner after a server restarted in an outage (review case 1).

        The grant was sent to the incarnation that this VM knew, and the restarted server took it.
        The earlier incarnation stays the possible holder of the keys.
        """
        self.clock.advance(leases.LEASE_BOUND_S)
        self.lessor.tick()
        self.directory.apply_changes([fakes.entry("a", 2)], [], self.clock.seconds())
        self.lessor.tick()
        remaining_s = self.lessor.remaining_s(fakes.incarnation("a"))
        self.assertAlmostEqual(leases.LEASE_BOUND_S, remaining_s)

    def test_leases_of_the_next_incarnation_do_not_delay_the_keys_of_the_earlier_one(self):
        """Guards against keys that wait for 16 s, as the server that restarted is granted others
        (seed 5006 of the soak)."""
        self.lessor.tick()
        self.directory.apply_changes([fakes.entry("a", 2)], [], self.clock.seconds())
        self.range_maps.adopt(fakes.whole(fakes.incarnation("a", 2)), 8, self.clock.seconds())
        for _ in range(10):
            self.clock.advance(leases.LEASE_BOUND_S / 8)
            self.range_maps.confirm({fakes.SERVICE: 8}, self.clock.seconds())
            self.lessor.tick()
        self.assertEqual(0.0, self.lessor.remaining_s(fakes.incarnation("a")))
        self.assertGreater(self.lessor.remaining_s(fakes.incarnation("a", 2)), 0.0)

    def test_removed_server_gets_no_renewal(self):
        """Guards against lessors that are remembered although a server's entry was removed."""
        self.lessor.tick()
        self.directory.apply_changes([], ["a"], self.clock.seconds())
        self.clock.advance(leases.RENEW_S)
        self.lessor.tick()
        self.assertEqual(1, len(self.orders.granted))

    def test_registered_server_gets_its_grant_later(self):
        """Guards against an owner that stays without a lease because its entry came after the map.

        The entry VM knows the range map before the server.
        """
        self.range_maps.adopt(fakes.whole(fakes.incarnation("b"), 2), 8, self.clock.seconds())
        self.lessor.tick()
        self.directory.apply_changes([fakes.entry("b")], [], self.clock.seconds())
        self.lessor.tick()
        self.assertEqual([2], [segment.token for _, segment in self.orders.granted])

    def test_lessors_follow_the_live_entry_vms(self):
        """Guards against a server that nobody renews after its lessors were lost."""
        others = tuple(ids.EntryVmId(f"vm-{number}") for number in range(2, 40))
        closest = [vm for vm in others if lessor.rank(VM, (VM, vm), ids.ServerId("a")) == 1][:2]
        self.lessor.vms = (VM, *closest)
        self.lessor.tick()
        self.assertEqual([], self.orders.granted)
        self.lessor.vms = (VM, closest[0])
        self.lessor.tick()
        self.assertEqual(1, len(self.orders.granted))
