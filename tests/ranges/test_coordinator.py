"""Tests of the planner election, without a network."""

import dataclasses
import random

import msgpack
import testtools
from twisted.internet import error, task

from celerystack import ids
from celerystack.fleet import directory_sync, evacuations, messages, nodes, rows, servers
from celerystack.forwarding import owners
from celerystack.ranges import codec, coordinator, leadership, leases, resignation
from tests.ranges import fakes
from tests.ranges.test_leadership import result_of

OWN, OTHER = ids.EntryVmId("vm-1"), ids.EntryVmId("vm-2")
STEP_S = 0.1
LONG_S = 6.0


class Reactor(task.Clock):
    """A clock that accepts a datagram listener and records what is sent."""

    def __init__(self):
        super().__init__()
        self.sent = []

    def listenUDP(self, port, protocol, **_):  # noqa: N802
        protocol.transport = self

    def write(self, data, address):
        self.sent.append((messages.decode(data, peer="test"), address))


class CoordinatorCase(testtools.TestCase):
    is_small = False

    def setUp(self):
        super().setUp()
        self.clock = Reactor()
        self.clock.advance(100.0)
        self.store = fakes.MemoryRows()
        self.directory = servers.Directory()
        self.write_leader(OTHER, term=3)
        self.write_before_start()
        self.scanned = []
        scan = self.store.scan
        self.store.scan = lambda table: self.scanned.append(table) or scan(table)
        self.evacuations = evacuations.Evacuations(binding_after_s=5.0, now=self.clock.seconds)
        self.queue_owners = owners.QueueOwners(vm=OWN, now=self.clock.seconds)
        self.coordinator = coordinator.Coordinator(
            self.clock,
            node=nodes.Node(vm=OWN, zone=fakes.ZONE, address=("10.0.0.1", 7000)),
            vm_incarnation=1,
            store=self.store,
            port=fakes.FakeOrders(),
            directory=self.directory,
            updates=directory_sync.DirectorySync(self.directory, now=self.clock.seconds),
            evacuated=self.evacuations,
            queue_owners=self.queue_owners,
            queue_weight=1.0,
            sharded_services=list,
            avoids_cold=lambda _: False,
            link_mbps=100.0,
            is_small=self.is_small,
            heartbeat_s=1.0,
            now=self.clock.seconds,
        )
        self.coordinator.start()

    def write_before_start(self):
        """Write rows that the store has when the entry VM starts."""

    def write_leader(self, vm, *, term):
        key = ids.RowKey(leadership.LEADER_KEY)
        _, version = self.store.rows.get((leadership.LEADER_TABLE, key), (b"", 0))
        condition = rows.Condition(
            table=leadership.LEADER_TABLE, key=key, version=ids.RowVersion(version)
        )
        value = msgpack.packb([vm, 9, term])
        put = rows.Put(table=leadership.LEADER_TABLE, key=key, value=value)
        self.store.transact([condition], [put], [])

    def heartbeat(self, *, confirm_age_s):
        return messages.PlannerHeartbeat(
            vm=OTHER,
            term=3,
            echo_vm_incarnation=1,
            echo_stamp=self.clock.seconds(),
            confirm_age_s=confirm_age_s,
            versions_by_service={},
            zone_vms=(OWN,),
            entry_vms=2,
            pending=(),
            admitted_fraction_by_server={},
        )

    def run_for(self, seconds, *, confirm_age_s=None, store_answers=True):
        for step in range(round(seconds / STEP_S)):
            if store_answers:
                self.directory.note_answer(self.clock.seconds())
            if confirm_age_s is not None and step % 3 == 0:
                data = messages.encode(self.heartbeat(confirm_age_s=confirm_age_s))
                self.coordinator._on_datagram(data, ("10.0.0.2", 7000))
            self.clock.advance(STEP_S)

    @property
    def is_planner(self):
        return self.coordinator.leadership.held


class LeadershipTest(CoordinatorCase):
    def test_planner_that_the_store_confirms_stays(self):
        """Guards against endless elections: a planner with heartbeats and store access stays."""
        self.run_for(LONG_S, confirm_age_s=0.5)
        self.assertFalse(self.is_planner)

    def test_planner_without_store_access_is_replaced(self):
        """Guards against a planner that sends heartbeats but cannot write, so that no keys move."""
        self.run_for(LONG_S, confirm_age_s=5.0)
        self.assertTrue(self.is_planner)

    def test_planner_that_says_it_is_unconfirmed_is_not_watched_first(self):
        """Guards against a further second without a planner that can change the maps."""
        self.run_for(coordinator.SILENCE_S + 0.4 + 4 * STEP_S, confirm_age_s=5.0)
        self.assertTrue(self.is_planner)

    def test_planner_stays_while_the_store_is_unavailable_for_all(self):
        """Guards against replacing a planner in a store outage, when no VM can do better."""
        self.run_for(LONG_S, confirm_age_s=5.0, store_answers=False)
        self.assertFalse(self.is_planner)

    def test_silent_planner_is_replaced(self):
        """Guards against entry VMs without a planner after its VM was lost."""
        self.run_for(LONG_S)
        self.assertTrue(self.is_planner)

    def test_leader_whose_row_changes_is_left_alone(self):
        """Guards against replacing a planner whose heartbeats only this VM misses."""
        for term in range(4, 12):
            self.run_for(0.8)
            self.write_leader(OTHER, term=term)
        self.assertFalse(self.is_planner)


class SmallVmTest(CoordinatorCase):
    is_small = True

    def test_small_vm_acquires_the_leadership_later(self):
        """Guards against a planner on a small VM's link while larger VMs could be planner."""
        shortest_s = (
            coordinator.SILENCE_S + coordinator.SMALL_VM_DELAY_S + coordinator.LEADER_WATCH_S
        )
        self.run_for(shortest_s - 0.1)
        self.assertFalse(self.is_planner)
        self.run_for(LONG_S)
        self.assertTrue(self.is_planner)

    def test_small_vm_reads_nothing_while_a_larger_one_becomes_planner(self):
        """Guards against reads of the maps by all of many entry VMs at each loss of the planner."""
        self.scanned.clear()
        longest_s = coordinator.SILENCE_S + 0.4 + coordinator.LEADER_WATCH_S
        self.run_for(longest_s + 0.2)
        self.assertEqual([], self.scanned)


class RestartTest(CoordinatorCase):
    """All entry VMs start again; the store has their rows and a range map."""

    is_small = True

    def write_before_start(self):
        for vm, zone in ((OTHER, fakes.ZONE), ("vm-far", ids.ZoneName("far"))):
            node = nodes.Node(vm=ids.EntryVmId(vm), zone=zone, address=("10.0.0.2", 7000))
            value = msgpack.packb([node.zone, *node.address])
            put = rows.Put(table=nodes.NODES_TABLE, key=ids.RowKey(node.vm), value=value)
            self.store.transact([], [put], [])
        ranges = codec.encode(fakes.whole(fakes.incarnation("a")))
        key = ids.RowKey(fakes.SERVICE)
        put = rows.Put(table=leadership.RANGES_TABLE, key=key, value=ranges)
        self.store.transact([], [put], [])

    def test_stored_maps_are_used_before_a_planner_is_heard(self):
        """Guards against seconds without leases until the planner has sent whole maps to all."""
        self.run_for(0.2)
        self.assertIn(fakes.SERVICE, self.coordinator.range_maps.by_service)

    def test_other_entry_vms_of_the_zone_count_as_lessors(self):
        """Guards against grants by every entry VM to every server of its zone."""
        self.run_for(0.2)
        self.assertEqual({OWN, OTHER}, set(self.coordinator.lessor.vms))
        self.assertEqual(3, self.coordinator.entry_vms)


class FirstStartTest(CoordinatorCase):
    is_small = True

    def test_list_of_entry_vms_is_not_read_without_maps(self):
        """Guards against a needless read by each of many entry VMs at the first start."""
        self.assertEqual([leadership.RANGES_TABLE], self.scanned)


class RegistrationTest(CoordinatorCase):
    def registered(self):
        return (nodes.NODES_TABLE, OWN) in self.store.rows

    def remove_row(self):
        self.store.rows.pop((nodes.NODES_TABLE, OWN), None)

    def test_vm_without_a_planner_registers_before_it_reads_the_maps(self):
        """Guards against two owners: a VM whose row was removed renews leases by its own reads."""
        self.run_for(1.0, confirm_age_s=0.0)
        self.remove_row()
        self.run_for(leases.REGISTRATION_VALID_S + 2.0)
        self.assertTrue(self.registered())

    def test_vm_that_the_planner_has_heard_does_not_write(self):
        """Guards against a write of every entry VM to the store when the planner is replaced."""
        self.run_for(1.0, confirm_age_s=0.0)
        self.remove_row()
        self.run_for(2.0)
        self.assertFalse(self.registered())

    def test_planner_that_the_store_does_not_confirm_has_not_kept_the_row(self):
        """Guards against two owners: the next planner removed the row while an earlier one, cut off
        from the store, still answered the reports of this VM."""
        for _ in range(10):
            self.run_for(1.0, confirm_age_s=10.0, store_answers=False)
        self.remove_row()
        self.run_for(2.0)
        self.assertTrue(self.registered())

    def test_report_during_the_removal_of_a_row_is_not_accepted(self):
        """Guards against two owners: a VM that reports again while its row is removed would have
        its maps confirmed, but be missing from the list by which leases are waited for."""
        self.run_for(LONG_S)
        self.coordinator._map_distributor.update_nodes(
            {OTHER: nodes.Node(vm=OTHER, zone=fakes.ZONE, address=("10.0.0.2", 7000))}
        )
        self.coordinator.planner.update_vms(fakes.registered({OTHER: fakes.ZONE}), 0.0)
        report = dataclasses.replace(self.coordinator._own_report(), vm=OTHER, stamp=1.0)
        peer = next(self.coordinator._map_distributor.others())
        self.coordinator._take_report(report)
        self.assertEqual(1.0, peer.stamp)
        self.coordinator.planner._lease_reports.begin_removal(OTHER)
        self.coordinator._take_report(dataclasses.replace(report, stamp=2.0))
        self.assertEqual(1.0, peer.stamp)


class ConfigResendTest(CoordinatorCase):
    def write_before_start(self):
        value = msgpack.packb([fakes.ZONE, "10.0.0.2", 7000])
        put = rows.Put(table=nodes.NODES_TABLE, key=ids.RowKey(OTHER), value=value)
        self.store.transact([], [put], [])

    def report(self):
        return messages.Report(
            vm=OTHER,
            zone=fakes.ZONE,
            vm_incarnation=2,
            stamp=self.clock.seconds(),
            versions_by_service={},
            remaining_by_incarnation={},
            unreachable=(),
            keys_by_service={},
            service_time_by_server={},
        )

    def run_with_reports(self, seconds):
        for _ in range(round(seconds / STEP_S)):
            self.run_for(STEP_S)
            self.coordinator._take_report(self.report())

    def parts_sent(self):
        return [
            message for message, _ in self.clock.sent if isinstance(message, messages.ConfigPart)
        ]

    def announced(self):
        return [
            message.update.config_row
            for message, _ in self.clock.sent
            if isinstance(message, messages.PlannerHeartbeat) and message.update is not None
        ]

    def test_configuration_is_announced_when_it_has_been_sent(self):
        """Guards against entry VMs that read a large configuration from the store while the
        planner's datagrams with it still wait to be sent."""
        self.run_for(LONG_S)
        updates = self.coordinator._updates
        updates.note_read(ids.RowVersion(10), self.clock.seconds(), full_scan=True)
        report = dataclasses.replace(self.report(), position=ids.RowVersion(10))
        self.coordinator._take_report(report)
        self.clock.sent.clear()
        updates.note_config(ids.RowVersion(20), random.Random(1).randbytes(80_000))
        self.coordinator._announce()
        self.assertEqual([directory_sync.UNKNOWN], self.announced())
        self.run_for(0.2)
        self.coordinator._announce()
        self.assertEqual(20, self.announced()[-1])

    def test_configuration_is_sent_again_to_a_vm_that_reports_without_it(self):
        """Guards against a large configuration that an entry VM must read from the store over its
        slow link because one of the planner's datagrams was lost."""
        self.run_for(LONG_S)
        self.assertTrue(self.is_planner)
        self.coordinator._updates.note_config(ids.RowVersion(20), b"a row")
        self.assertEqual(1, len(self.parts_sent()))
        self.run_with_reports(1.5)
        self.assertGreaterEqual(len(self.parts_sent()), 2)


class EvacuationTest(CoordinatorCase):
    def test_followers_evacuate_what_the_planner_announces(self):
        """Guards against a VM that sends to an evacuated zone, of which only the planner knows."""
        self.directory.apply_all([fakes.entry("a")], self.clock.seconds())
        listed = evacuations.EvacuationList(
            version=ids.RowVersion(9),
            age_s=0.2,
            evacuations=(evacuations.Evacuation(fakes.ZONE, 1.0),),
        )
        heartbeat = dataclasses.replace(self.heartbeat(confirm_age_s=0.1), evacuations=listed)
        self.coordinator._on_datagram(messages.encode(heartbeat), ("10.0.0.2", 7000))
        self.assertEqual([], self.directory.usable(fakes.SERVICE))
        self.assertEqual(1, len(self.directory.serving(fakes.SERVICE)))
        self.run_for(5.0)
        self.assertEqual([], self.directory.serving(fakes.SERVICE))


class UnexpectedErrorsTest(CoordinatorCase):
    """Each task of the coordination is broken once, and goes on (review case 14)."""

    def write_before_start(self):
        self.write_leader(OWN, term=4)
        node = nodes.Node(vm=OTHER, zone=fakes.ZONE, address=("10.0.0.2", 7000))
        result_of(nodes.register(self.store, node))

    def fail(self, *_, **__):
        raise ZeroDivisionError("unexpected")

    def heartbeats_within(self, seconds):
        self.clock.sent.clear()
        self.run_for(seconds)
        return [m for m, _ in self.clock.sent if isinstance(m, messages.PlannerHeartbeat)]

    def test_error_in_one_step_of_a_tick_ends_no_other(self):
        """Guards against heartbeats that end because of an error elsewhere."""
        self.run_for(1.0)
        self.assertTrue(self.is_planner)
        self.coordinator.lessor.tick = self.fail
        self.directory.expire = self.fail
        self.assertNotEqual([], self.heartbeats_within(2.0))

    def test_datagram_that_cannot_be_sent_is_a_lost_one(self):
        """Guards against one datagram that ends all that follow."""
        self.run_for(1.0)
        write = self.clock.write

        def reject(data, address):
            self.clock.write = write
            raise error.MessageLengthError("too large")

        self.clock.write = reject
        self.assertNotEqual([], self.heartbeats_within(2.0))

    def test_work_goes_on_after_an_unexpected_error(self):
        """Guards against a planner that plans nothing any more."""
        self.run_for(1.0)
        tick = self.coordinator.planner.tick
        self.coordinator.planner.tick = self.fail
        self.run_for(1.0)
        self.coordinator.planner.tick = tick
        confirmed_at = self.coordinator.leadership.confirmed_at
        self.run_for(2.0)
        self.assertTrue(self.is_planner)
        self.assertGreater(self.coordinator.leadership.confirmed_at, confirmed_at)

    def test_planner_that_cannot_send_heartbeats_gives_up_the_leadership(self):
        """Guards against followers of a planner that renews its row and says nothing."""
        self.run_for(1.0)
        self.coordinator._send_heartbeats = self.fail
        self.run_for(resignation.ERRORS_TO_RESIGN * 0.5 + 1.0)
        self.assertFalse(self.is_planner)
        self.run_for(10.0)
        self.assertFalse(self.is_planner)
        del self.coordinator._send_heartbeats
        self.run_for(resignation.RESIGNED_S + LONG_S)
        self.assertTrue(self.is_planner)
