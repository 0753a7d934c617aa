from __future__ import annotations

from unittest import mock

import testtools
from twisted.internet import task

from celerystack import ids, model
from celerystack.control import traffic_task
from celerystack.peers import messages
from tests.control import table_cluster

BROWSE = table_cluster.BROWSE

VMS = [
    model.EntryVm(vm=f"e{n}", incarnation=f"i{n}", zone="z1", peer_address=f"127.0.1.1:{n}")
    for n in (1, 2, 3)
]
SHARD = ids.ShardId(1)
KEY = ids.KeyHash(7)


class FakeMesh:
    """Delivers messages immediately to the tasks of the addressed entry VM."""

    def __init__(self, me: model.EntryVm, meshes: dict[str, FakeMesh]) -> None:
        self.own_entry_vm = me
        self._meshes = meshes
        self._handlers = []
        self.sent: list[messages.Message] = []
        meshes[me.vm] = self

    def live_entry_vms(self) -> list[model.EntryVm]:
        return VMS

    def add_handler(self, handler) -> None:
        self._handlers.append(handler)

    def send(self, vm: str, message: messages.Message) -> bool:
        self.sent.append(message)
        for handler in self._meshes[vm]._handlers:
            handler(self.own_entry_vm, message)
        return True


class TrafficTest(testtools.TestCase):
    def setUp(self) -> None:
        super().setUp()
        patch = mock.patch.object(traffic_task, "SAMPLE_PROBABILITY", 1.0)
        patch.start()
        self.addCleanup(patch.stop)
        patch = mock.patch.object(traffic_task, "_SAMPLE_WEIGHT", 1.0)
        patch.start()
        self.addCleanup(patch.stop)
        self.clock = task.Clock()
        cluster = table_cluster.TableCluster()
        self.meshes: dict[str, FakeMesh] = {}
        self.tasks = {
            vm.vm: traffic_task.TrafficTask(
                self.clock, view=cluster.view, mesh=FakeMesh(vm, self.meshes)
            )
            for vm in VMS
        }
        for vm_task in self.tasks.values():
            vm_task.start()
            self.addCleanup(vm_task.stop)
        self.placer = traffic_task.placer_of(BROWSE, VMS)

    def send_traffic(self, vms: list[str], *, per_second: int, seconds: int) -> None:
        for _ in range(seconds):
            for vm in vms:
                for _ in range(per_second):
                    self.tasks[vm].count_request(BROWSE, KEY, SHARD)
            self.clock.advance(traffic_task.REPORT_S)

    def test_rates_are_summed_at_the_placer(self) -> None:
        """Guards against rates of one entry VM only, or rates that add up repeated reports."""
        self.send_traffic(["e1", "e2", "e3"], per_second=20, seconds=60)
        rates = self.tasks[self.placer].shard_rates(BROWSE)
        self.assertEqual([SHARD], list(rates))
        self.assertAlmostEqual(60.0, rates[SHARD], delta=6.0)
        keys = self.tasks[self.placer].key_rates(BROWSE)
        self.assertAlmostEqual(60.0, keys.rate_by_key[KEY].rate, delta=6.0)

    def test_only_the_placer_gets_reports(self) -> None:
        """Guards against reports whose number grows with the square of the number of entry VMs."""
        self.send_traffic(["e1"], per_second=5, seconds=5)
        for vm, vm_task in self.tasks.items():
            self.assertEqual(vm == self.placer, bool(vm_task.shard_rates(BROWSE)), vm)

    def test_reports_of_a_lost_entry_vm_expire(self) -> None:
        """Guards against balancing by the load that a lost entry VM reported last."""
        lost = next(vm for vm in self.tasks if vm != self.placer)
        self.send_traffic([lost], per_second=20, seconds=10)
        self.tasks[lost].stop()
        self.assertNotEqual({}, self.tasks[self.placer].shard_rates(BROWSE))
        self.clock.pump([traffic_task.REPORT_S] * 6)
        self.assertEqual({}, self.tasks[self.placer].shard_rates(BROWSE))

    def test_reports_are_bounded(self) -> None:
        """Guards against reports that grow with the number of shards or keys."""
        for number in range(2000):
            self.tasks["e1"].count_request(BROWSE, ids.KeyHash(number), ids.ShardId(number))
        self.clock.advance(traffic_task.REPORT_S)
        newest = self.meshes["e1"].sent[-1]
        self.assertEqual(traffic_task.REPORT_SHARDS_MAX, len(newest.rate_by_shard))
        self.assertLessEqual(len(newest.rates_by_key), traffic_task.REPORT_KEYS_MAX)

    def test_undivided_services_are_not_reported(self) -> None:
        """Guards against reports for services that have no shards to place."""
        self.clock.advance(traffic_task.REPORT_S)
        services = {message.service for mesh in self.meshes.values() for message in mesh.sent}
        self.assertEqual({BROWSE}, services)
