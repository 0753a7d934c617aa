"""End-to-end tests of a store that comes back from an earlier copy of itself.

What was written since the copy is lost, and its version numbers are given out again.
"""

from __future__ import annotations

import pathlib
import re
import tempfile

import pytest
from twisted.trial import unittest

from standins import key_server, layout, range_cluster, row_store, scripted_backend

pytestmark = pytest.mark.ranges

NETWORK = f"127.{100 + layout.worker_number()}.9"
AWAY_S = 0.5
"""Time for which the store answers nothing before it comes back."""
COPY_AGE_S = 6.0
"""Time between a copy and the loss of what was written since."""
CALM_S = 3.0
"""Time after the return of the store in which all entry VMs have noticed it."""
CONFIG_APPLY_S = 2.0
"""Longest time in which a configuration may take effect."""


class RestoredStoreTest(unittest.TestCase):
    timeout = 90

    async def start_cluster(self, *, servers: int = 3, vms: int = 3) -> range_cluster.RangeCluster:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        cluster = range_cluster.RangeCluster(pathlib.Path(folder.name))
        self.addCleanup(cluster.stop)
        cluster.store.put("op", "config", range_cluster.config_row_value(1))
        for number in range(servers):
            cluster.add_server(f"rota-{number}", "rota")
        cluster.add_server("desk-1", "desk")
        names = [f"vm-{number}" for number in range(1, vms + 1)]
        for number, vm in enumerate(names, start=1):
            cluster.start_vm(vm, f"{NETWORK}.{number}")
        await cluster.wait_ready(*names)
        return cluster

    async def restore(self, cluster: range_cluster.RangeCluster, copy: row_store.Copy) -> None:
        """Take the store away for a moment and bring it back from a copy."""
        cluster.store.refusing = True
        await scripted_backend.sleep(AWAY_S)
        cluster.store.come_back(copy)

    async def test_configuration_after_the_return_is_used_by_every_vm(self):
        """Guards against entry VMs that take later configurations for old ones (review case 9)."""
        cluster = await self.start_cluster()
        copy = cluster.store.copy()
        await scripted_backend.sleep(COPY_AGE_S)
        cluster.store.put("op", "config", range_cluster.config_row_value(2))
        await self.restore(cluster, copy)
        await scripted_backend.sleep(CALM_S)
        cluster.store.put("op", "config", range_cluster.config_row_value(3, routes=[]))
        await scripted_backend.sleep(CONFIG_APPLY_S)
        statuses = [(await cluster.request(vm, "/desk/a"))[0] for vm in cluster.processes]
        self.assertEqual([404] * 3, statuses)

    def note_takeovers(self, cluster: range_cluster.RangeCluster) -> list[str]:
        """Return a list to which keys are added that servers take with a token of another one."""
        highest_by_server: dict[str, list[int]] = {}
        repeated: list[str] = []

        def on_grant(server, grant):
            for name, highest in highest_by_server.items():
                if (
                    name != server.server
                    and max(highest[grant.start : grant.end + 1]) >= grant.token
                ):
                    repeated.append(f"{server.server} takes {grant} that {name} had")
            own = highest_by_server.setdefault(server.server, [0] * key_server.KEYS)
            for key in range(grant.start, grant.end + 1):
                own[key] = max(own[key], grant.token)

        for server in cluster.servers.values():
            server.on_grant = on_grant
        return repeated

    async def drain_one(self, cluster: range_cluster.RangeCluster) -> None:
        """Let the server of a key drain, and wait until another server holds the key."""
        _, _, owner = await cluster.request_until_served("vm-2", "/view/a", key=7)
        leaving = cluster.servers[owner.decode()]
        leaving.state = "draining"
        others = [server for server in cluster.servers.values() if server is not leaving]
        await scripted_backend.wait_until(
            until=lambda: any(server.holds(7) for server in others), timeout_s=25
        )

    def planner(self, cluster: range_cluster.RangeCluster) -> str:
        """Return the entry VM that became planner last."""
        term_by_vm = {
            vm: max(
                map(int, re.findall(r"became planner .*term (\d+)", cluster.log(vm))), default=0
            )
            for vm in cluster.processes
        }
        return max(term_by_vm, key=term_by_vm.__getitem__)

    async def play_returns(self, *, returns: int, kills: bool) -> None:
        """Move keys, let the store lose the moves, and move keys again afterwards."""
        cluster = await self.start_cluster(servers=2 + 2 * returns)
        await cluster.request_until_served("vm-1", "/view/a", key=7)
        repeated = self.note_takeovers(cluster)
        # Grants are noted from here on, so every server has to be granted its keys once more.
        await scripted_backend.sleep(2.0)
        for _ in range(returns):
            copy = cluster.store.copy()
            await self.drain_one(cluster)
            planner = self.planner(cluster)
            if kills:
                cluster.processes[planner].kill()
                cluster.processes[planner].wait()
            await self.restore(cluster, copy)
            if kills:
                cluster.start_vm(planner, cluster.ports[planner]["ip"])
                await cluster.wait_ready(planner)
            await self.drain_one(cluster)
        self.assertEqual([], repeated)
        status, _, _ = await cluster.request_until_served("vm-2", "/view/a", key=7)
        self.assertEqual(200, status)

    async def test_keys_move_again_under_new_tokens(self):
        """Guards against keys that can never move again after the store's return."""
        await self.play_returns(returns=1, kills=False)

    async def test_keys_move_again_when_the_planner_was_lost(self):
        """Guards against tokens that are given out a second time (review case 8)."""
        await self.play_returns(returns=1, kills=True)

    async def test_keys_move_again_after_two_returns(self):
        """Guards against tokens that repeat, or keys that stay, after a second return."""
        await self.play_returns(returns=2, kills=False)
