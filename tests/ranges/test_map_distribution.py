"""Tests of the distribution of range maps to many entry VMs, without a network."""

import dataclasses

import testtools
from twisted.internet import task

from celerystack import ids
from celerystack.fleet import messages, nodes
from celerystack.ranges import map_datagrams, map_distribution, model, paced_sender, range_maps
from tests.ranges import fakes

VM_COUNT = 195
SEGMENT_COUNT = 500
LINK_MBPS = 200.0


def many_segments(version: int) -> model.RangeMap:
    """Return a map of which each version gives another key range to another server."""
    width = (model.KEY_MAX + 1) // SEGMENT_COUNT
    segments = [
        model.Segment(
            start=number * width,
            end=model.KEY_MAX if number == SEGMENT_COUNT - 1 else (number + 1) * width - 1,
            token=ids.Token(1 + max(0, version - number)),
            owner=fakes.incarnation(f"i-{number:010d}"),
        )
        for number in range(SEGMENT_COUNT)
    ]
    segments = [
        segment if number <= version else dataclasses.replace(segment, token=ids.Token(1))
        for number, segment in enumerate(segments)
    ]
    return model.RangeMap(
        service=fakes.SERVICE, next_token=ids.Token(1000), segments=tuple(segments)
    )


class Follower:
    """An entry VM that assembles what it receives."""

    def __init__(self, vm: ids.EntryVmId, address: tuple[str, int]) -> None:
        self.node = nodes.Node(vm=vm, zone=fakes.ZONE, address=address)
        self.range_maps = range_maps.RangeMaps()
        self._assembler = map_datagrams.Assembler()

    def receive(self, data: bytes) -> None:
        part = messages.decode(data, peer="test")
        ranges = self._assembler.add(part, self.range_maps.by_service.get(part.service))
        if ranges is not None:
            self.range_maps.adopt(ranges, part.version, 0.0)

    @property
    def version(self) -> int:
        return self.range_maps.versions().get(fakes.SERVICE, 0)

    def report(self, now: float) -> messages.Report:
        return messages.Report(
            vm=self.node.vm,
            zone=self.node.zone,
            vm_incarnation=1,
            stamp=now,
            versions_by_service=self.range_maps.versions(),
            remaining_by_incarnation={},
            unreachable=(),
            keys_by_service={},
            service_time_by_server={},
        )


class Link:
    """Link of the planner with a queue of limited size; datagrams above it are dropped."""

    QUEUE_BYTES = 256 * 1024

    def __init__(self, clock: task.Clock, deliver) -> None:
        self._clock = clock
        self._deliver = deliver
        self._free_at = 0.0
        self.dropped = 0
        self.sent_bytes = 0

    def send(self, data: bytes, address: tuple[str, int]) -> None:
        now = self._clock.seconds()
        bytes_per_s = LINK_MBPS * 1e6 / 8
        if (self._free_at - now) * bytes_per_s > self.QUEUE_BYTES:
            self.dropped += 1
            return
        self.sent_bytes += len(data)
        self._free_at = max(now, self._free_at) + len(data) / bytes_per_s
        self._clock.callLater(self._free_at - now, self._deliver, data, address)


class MapDistributionCase(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.clock = task.Clock()
        self.clock.advance(100.0)
        own = nodes.Node(vm=ids.EntryVmId("vm-own"), zone=fakes.ZONE, address=("10.0.1.0", 7000))
        self.followers = [
            Follower(ids.EntryVmId(f"vm-{number}"), ("10.0.0.1", number))
            for number in range(VM_COUNT)
        ]
        by_address = {follower.node.address: follower for follower in self.followers}
        self.link = Link(self.clock, lambda data, address: by_address[address].receive(data))
        self.range_maps = range_maps.RangeMaps()
        self.distributor = map_distribution.MapDistributor(
            own=own,
            maps=self.range_maps,
            sender=paced_sender.PacedSender(self.clock, send=self.link.send, link_mbps=LINK_MBPS),
            term=lambda: 1,
            now=self.clock.seconds,
        )
        self.distributor.update_nodes({f.node.vm: f.node for f in self.followers})

    def commit(self, version):
        self.range_maps.adopt(many_segments(version), version, self.clock.seconds())
        self.distributor.push(fakes.SERVICE)

    def exchange_heartbeats(self):
        for follower in self.followers:
            self.distributor.on_report(follower.report(self.clock.seconds()))
        for peer in self.distributor.others():
            self.distributor.resend(peer, self.clock.seconds())

    def run_for(self, seconds):
        for _ in range(round(seconds / 0.01)):
            self.clock.advance(0.01)


class ManyVmsTest(MapDistributionCase):
    """Maps of 500 segments that change every 0.25 s reach 195 entry VMs."""

    def test_changing_maps_reach_every_vm(self):
        """Guards against bursts that the link drops, again and again for the same entry VMs."""
        self.commit(1)
        for version in range(2, 22):
            self.run_for(0.25)
            self.commit(version)
            if version % 2 == 0:
                self.exchange_heartbeats()
        self.run_for(0.3)
        self.exchange_heartbeats()
        self.run_for(0.2)
        self.assertEqual({21}, {follower.version for follower in self.followers})
        self.assertEqual(0, self.link.dropped)

    def test_lost_version_is_sent_again_while_further_ones_follow(self):
        """Guards against a VM whose next version is never sent again, because each later one that
        it cannot use counts as the last that was sent."""
        self.commit(1)
        self.run_for(0.5)
        lost = self.followers[7]
        receive, lost.receive = lost.receive, lambda _: None
        self.commit(2)
        self.run_for(0.1)
        lost.receive = receive
        for version in range(3, 8):
            self.run_for(0.2)
            self.commit(version)
            self.run_for(0.1)
            self.exchange_heartbeats()
        self.assertGreaterEqual(lost.version, 5)

    def test_vm_that_missed_versions_gets_the_changes_only(self):
        """Guards against whole maps for every entry VM that lost one datagram."""
        self.commit(1)
        self.run_for(1.0)
        self.exchange_heartbeats()
        whole_bytes = self.link.sent_bytes / VM_COUNT
        self.distributor.update_nodes({})
        for version in range(2, 12):
            self.commit(version)
        self.distributor.update_nodes({f.node.vm: f.node for f in self.followers})
        before = self.link.sent_bytes
        self.exchange_heartbeats()
        self.run_for(1.0)
        self.assertEqual({11}, {follower.version for follower in self.followers})
        sent = (self.link.sent_bytes - before) / VM_COUNT
        self.assertLess(sent, whole_bytes / 10)

    def test_map_is_the_same_as_the_planners(self):
        """Guards against changes that leave a follower with another map than the planner's."""
        for version in (1, 2, 5):
            self.commit(version)
            self.run_for(0.5)
            self.exchange_heartbeats()
        for follower in self.followers:
            self.assertEqual(
                self.range_maps.by_service[fakes.SERVICE].ranges,
                follower.range_maps.by_service[fakes.SERVICE].ranges,
            )

    def test_version_without_changed_segments_arrives(self):
        """Guards against a version that never arrives because none of its segments differ."""
        self.commit(1)
        self.run_for(1.0)
        self.range_maps.adopt(many_segments(1), 2, self.clock.seconds())
        self.distributor.push(fakes.SERVICE)
        self.run_for(0.5)
        self.assertEqual({2}, {follower.version for follower in self.followers})


class NewTermTest(MapDistributionCase):
    """An entry VM that has followed the maps becomes planner of 195 entry VMs."""

    def setUp(self):
        super().setUp()
        for version in (1, 2, 3):
            self.commit(version)
            self.run_for(1.0)
        self.exchange_heartbeats()

    def test_first_change_of_a_term_reaches_every_vm_at_once(self):
        """Guards against whole maps for all entry VMs, behind which the next changes wait."""
        self.distributor.begin_term()
        self.commit(4)
        self.run_for(0.2)
        self.assertEqual({4}, {follower.version for follower in self.followers})

    def test_vm_with_another_version_gets_the_changes_since_it(self):
        """Guards against an entry VM that cannot use the changes since the planner's version."""
        behind = self.followers[7]
        behind.range_maps = range_maps.RangeMaps()
        behind.range_maps.adopt(many_segments(2), 2, 0.0)
        self.distributor.begin_term()
        self.commit(4)
        self.run_for(0.3)
        self.assertEqual(2, behind.version)
        self.exchange_heartbeats()
        self.run_for(0.2)
        self.assertEqual(4, behind.version)

    def test_change_that_only_the_store_had_reaches_every_vm(self):
        """Guards against a gap: the last version of the planner before reached no entry VM."""
        self.distributor.begin_term()
        self.range_maps.adopt(many_segments(4), 4, self.clock.seconds())
        self.commit(5)
        self.run_for(0.2)
        self.assertEqual({5}, {follower.version for follower in self.followers})
