"""Which entry VMs own queues, and which queues each of them owns."""

import testtools
from twisted.internet import task

from celerystack import ids
from celerystack.forwarding import owners
from tests.ranges import fakes

OTHER_ZONE = ids.ZoneName("z2")
SERVERS = [ids.ServerId(f"s{number}") for number in range(400)]


def vm(name, *, weight=1.0, zone=fakes.ZONE):
    return owners.Owner(ids.EntryVmId(name), zone, ("10.0.0.1", 7000), weight)


class ChooseOwnersTest(testtools.TestCase):
    def test_largest_vms_are_chosen(self):
        """Guards against queues on small VMs although there are large ones."""
        small = [vm(f"small-{number}", weight=0.3) for number in range(72)]
        large = [vm(f"large-{number}", weight=2.0) for number in range(8)]
        self.assertEqual(set(large), set(owners.choose_owners(small + large, (), entry_vms=80)))

    def test_owners_stay_the_same_among_equals(self):
        """Guards against queues that change their owner with each heartbeat."""
        live = [vm(f"vm-{number:02}") for number in range(40)]
        current = tuple(live[-4:])
        self.assertEqual(current, owners.choose_owners(live, current, entry_vms=40))

    def test_lost_owner_is_replaced(self):
        """Guards against servers whose calls go to a VM that does not report any more."""
        live = [vm(f"vm-{number:02}") for number in range(40)]
        chosen = owners.choose_owners(live[1:], live[:4], entry_vms=40)
        self.assertEqual((4, False), (len(chosen), live[0] in chosen))


class QueueOwnersTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.clock = task.Clock()
        self.queue_owners = owners.QueueOwners(vm=ids.EntryVmId("a"), now=self.clock.seconds)

    def share(self, named):
        self.queue_owners.announce(named, entry_vms=80)
        mine = [server for server in SERVERS if self.queue_owners.owns(server, fakes.ZONE)]
        return len(mine) / len(SERVERS)

    def test_queues_follow_the_weights(self):
        """Guards against a small owner that gets as many queues as a large one."""
        self.assertAlmostEqual(0.25, self.share((vm("a"), vm("b", weight=3.0))), delta=0.07)

    def test_server_belongs_to_an_owner_of_its_zone(self):
        """Guards against servers of a zone that is cut off together with its owner."""
        self.assertEqual(1.0, self.share((vm("a"), vm("b", zone=OTHER_ZONE, weight=9.0))))

    def test_few_vms_forward_nothing(self):
        """Guards against a hop in fleets where each VM sees enough requests of each server."""
        self.queue_owners.announce((vm("b"),), entry_vms=owners.FORWARDING_VMS_MIN - 1)
        self.assertFalse(self.queue_owners.is_forwarding)
        self.queue_owners.announce((vm("b"),), entry_vms=owners.FORWARDING_VMS_MIN)
        self.assertTrue(self.queue_owners.is_forwarding)
        self.clock.advance(owners.LIST_VALID_S + 0.1)
        self.assertFalse(self.queue_owners.is_forwarding)

    def test_owner_without_heartbeats_is_not_the_only_sender(self):
        """Guards against two owners that both take themselves for the only one."""
        self.share((vm("a"),))
        self.assertTrue(self.queue_owners.is_only_sender(SERVERS[0], fakes.ZONE))
        self.clock.advance(owners.EXCLUSIVE_S + 0.1)
        self.assertFalse(self.queue_owners.is_only_sender(SERVERS[0], fakes.ZONE))

    def test_slots_of_each_owner(self):
        """Guards against calls in equal parts to owners with different numbers of servers."""
        b = vm("b", zone=OTHER_ZONE)
        self.queue_owners.announce((vm("a"), b), entry_vms=80)
        slots = {(SERVERS[0], fakes.ZONE): 4, (SERVERS[1], OTHER_ZONE): 4, (SERVERS[2], "z3"): 2}
        self.assertEqual(10, sum(self.queue_owners.slots_by_owner(slots).values()))

    def test_owner_with_a_long_wait_gets_fewer_calls(self):
        """Guards against a queue that grows while other owners have free slots."""
        slots = {vm("a"): 4, vm("b"): 4}
        self.queue_owners.announce(
            tuple(slots), entry_vms=80, waits_by_vm={ids.EntryVmId("a"): {fakes.SERVICE: 1.0}}
        )
        chosen = [self.queue_owners.choose_by_slots(slots, fakes.SERVICE).vm for _ in range(400)]
        self.assertAlmostEqual(0.25, chosen.count("a") / 400, delta=0.1)
