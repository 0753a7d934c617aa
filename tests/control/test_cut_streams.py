"""Tests with entry VMs of one zone that reach the table and the servers, but not each other."""

from __future__ import annotations

import testtools

from celerystack import ids
from celerystack.config import derive
from celerystack.state import codec, keys
from standins import control_simulation

SERVERS = ("b1", "b2", "b3")
CONFIG = '[service.browse]\nprefixes = ["/browse/"]\nshards = 6\nchecks_token = true\n' + "".join(
    f'[server.{name}]\nservice = "browse"\nzone = "z1"\naddress = "127.0.0.1:{9001 + index}"\n'
    for index, name in enumerate(SERVERS)
)


class CutStreamsTest(testtools.TestCase):
    def setUp(self) -> None:
        super().setUp()
        zones = dict.fromkeys(("e1", "e2", "e3"), "z1")
        self.simulation = control_simulation.ControlSimulation(
            zones_by_vm=zones, servers=list(SERVERS)
        )
        head = codec.ConfigHead(
            version=ids.ConfigVersion(1),
            sha256_by_file={"10.toml": derive.sha256(CONFIG)},
            snapshot="",
        )
        self.simulation.table.put(keys.config_file("10.toml"), CONFIG.encode())
        self.simulation.table.put(keys.CONFIG_HEAD, codec.encode_fields(head))
        self.simulation.start()
        self.simulation.run(5.0)

    def test_every_shard_stays_with_one_server_that_has_a_lease(self) -> None:
        """Guards against reconcilers that take a lease or a shard from each other.

        Without peers each entry VM regards itself as the reconciler of all servers, and all of them
        replace the lessors.
        """
        self.simulation.cut_streams()
        for _ in range(200):
            self.simulation.run(0.05)
            now = self.simulation.clock.seconds()
            held = [
                shard for s in self.simulation.servers_by_id.values() for shard in s.shards(now)
            ]
            self.assertEqual(sorted(set(held)), sorted(held), "a shard has two owners")
            self.assertEqual(6, len(held), f"shards without a lease at {now}")

    def test_connected_entry_vms_need_no_transactions(self) -> None:
        """Guards against reconcilers that write to the table although nothing has changed.

        All entry VMs are connected.
        """
        before = self.simulation.table.attempts
        self.simulation.run(20.0)
        self.assertEqual(before, self.simulation.table.attempts)
