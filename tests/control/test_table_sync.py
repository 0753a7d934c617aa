"""Tests of polling the change feed, with the real tasks of several entry VMs."""

from __future__ import annotations

import testtools

from celerystack import ids, timing
from celerystack.config import derive
from celerystack.state import codec, keys
from standins import control_simulation
from standins import memory_platform as fakes

KEY = keys.drain(ids.ServerId("b1"))
OUTAGE_BOUND_S = 2.0
"""Target for serving a key again after the loss of its server (docs/design.md, section 1)."""

CONFIG = '[service.browse]\nprefixes = ["/browse/"]\nshards = 6\nchecks_token = true\n' + "".join(
    f'[server.{name}]\nservice = "browse"\nzone = "z1"\naddress = "127.0.0.1:{port}"\n'
    for name, port in (("b1", 9001), ("b2", 9002), ("b3", 9003))
)


class PollTest(testtools.TestCase):
    def setUp(self) -> None:
        super().setUp()
        zones = {"e1": "z1", "e2": "z1", "e3": "z2"}
        self.simulation = control_simulation.ControlSimulation(zones_by_vm=zones, servers=[])
        self.simulation.start()

    def test_one_entry_vm_per_zone_polls(self) -> None:
        """Guards against a load of the table that grows with the number of entry VMs."""
        self.simulation.run(20.0)
        before = self.simulation.table.polls
        self.simulation.run(20.0)
        pollers, others = 2, 1
        expected = 20 * pollers / timing.CHANGE_POLL_S + 20 * others / 5.0
        self.assertLessEqual(self.simulation.table.polls - before, expected + pollers + others)

    def test_change_reaches_every_entry_vm(self) -> None:
        """Guards against an operator's change that reaches only the entry VMs that poll often."""
        self.simulation.run(3.0)
        self.simulation.table.put(KEY, b"1")
        self.simulation.run(1.5 * timing.CHANGE_POLL_S)
        for vm in self.simulation.vms:
            self.assertEqual(b"1", vm.cache.get(KEY).value, vm.me.vm)

    def test_outage_is_noted_and_ends(self) -> None:
        """Guards against an entry VM that does not notice when a table outage starts or ends."""
        self.simulation.run(3.0)
        self.simulation.table.unreadable = True
        self.simulation.run(6.0)
        self.assertEqual([False] * 3, [vm.table_sync.reachable for vm in self.simulation.vms])
        self.simulation.table.unreadable = False
        self.simulation.table.put(KEY, b"1")
        self.simulation.run(6.0)
        self.assertEqual([True] * 3, [vm.table_sync.reachable for vm in self.simulation.vms])
        self.assertEqual({b"1"}, {vm.cache.get(KEY).value for vm in self.simulation.vms})


class RefusedTakeoverTest(testtools.TestCase):
    """Two entry VMs of one zone: one polls the table every second, the other every 5 s."""

    def setUp(self) -> None:
        super().setUp()
        zones = {"e1": "z1", "e2": "z1"}
        self.simulation = control_simulation.ControlSimulation(
            zones_by_vm=zones, servers=["b1", "b2", "b3"]
        )
        head = codec.ConfigHead(
            version=ids.ConfigVersion(1),
            sha256_by_file={"10.toml": derive.sha256(CONFIG)},
            snapshot="",
        )
        self.simulation.table.put(keys.config_file("10.toml"), CONFIG.encode())
        self.simulation.table.put(keys.CONFIG_HEAD, codec.encode_fields(head))
        self.simulation.start()
        self.simulation.run(7.5)

    def outage_s(self, server: str) -> float:
        """Make a server unreachable and return how long its shards stay with it."""
        _, before = self.simulation.vms[0].view.chunk(ids.ServiceName("browse"), 0)
        self.assertNotEqual([], before.owned_by(server))
        started = self.simulation.clock.seconds()
        self.simulation.unreachable.add(server)
        while self.simulation.clock.seconds() < started + 10.0:
            self.simulation.run(0.05)
            _, chunk = self.simulation.vms[0].view.chunk(ids.ServiceName("browse"), 0)
            if not chunk.owned_by(server):
                break
        return self.simulation.clock.seconds() - started

    def test_takeover(self) -> None:
        """Guards against a takeover that exceeds the target although the table answers."""
        for server in ("b1", "b2"):
            self.assertLess(self.outage_s(server), OUTAGE_BOUND_S, server)

    def test_takeover_of_b1_after_one_refused_transaction(self) -> None:
        """Guards against one refused table call that delays a takeover until the next poll."""
        self.simulation.table.transact_faults.append(fakes.Fault.REFUSED)
        self.assertLess(self.outage_s("b1"), OUTAGE_BOUND_S)

    def test_takeover_of_b2_after_one_refused_transaction(self) -> None:
        """Guards against the same delay when the reconciler polls only every 5 s."""
        self.simulation.table.transact_faults.append(fakes.Fault.REFUSED)
        self.assertLess(self.outage_s("b2"), OUTAGE_BOUND_S)
