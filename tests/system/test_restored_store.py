"""End-to-end tests of a store that comes back from an earlier copy of itself.

What was written since the copy is lost, and its version numbers are given out again.
"""

from __future__ import annotations

import pathlib
import re
import tempfile
import time

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


def holds_any(server: key_server.KeyServer, grant: key_server.Grant) -> bool:
    """Return whether a server holds some of the keys of a grant now."""
    now = time.monotonic()
    return any(
        held.start <= grant.end and grant.start <= held.end and held.expires_at > now
        for held in server.grants
    )


class RestoredStoreTest(unittest.TestCase):
    timeout = 110

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

    def note_faults(self, cluster: range_cluster.RangeCluster) -> list[str]:
        """Return a list of the grants that break the ownership of keys, which grows from now on.

        Such a grant has a token that is not above one with which another server had some of the
        keys, or another server still holds some of them.
        """
        highest_by_server: dict[str, list[int]] = {}
        faults: list[str] = []

        def on_grant(server, grant):
            keys = slice(grant.start, grant.end + 1)
            for name, highest in highest_by_server.items():
                if name != server.server and max(highest[keys]) >= grant.token:
                    faults.append(f"{server.server} takes {grant} with a token of {name}")
            for other in cluster.servers.values():
                if other is not server and holds_any(other, grant):
                    faults.append(f"{server.server} takes {grant} that {other.server} holds")
            own = highest_by_server.setdefault(server.server, [0] * key_server.KEYS)
            own[keys] = [max(token, grant.token) for token in own[keys]]

        for server in cluster.servers.values():
            server.on_grant = on_grant
        return faults

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

    async def begin(self, *, servers: int) -> tuple[range_cluster.RangeCluster, list[str]]:
        """Start a cluster whose servers have keys; return it and the list of its faults."""
        cluster = await self.start_cluster(servers=servers)
        await cluster.request_until_served("vm-1", "/view/a", key=7)
        faults = self.note_faults(cluster)
        # Grants are noted from here on, so every server has to be granted its keys once more.
        await scripted_backend.sleep(2.0)
        return cluster, faults

    async def restart(self, cluster: range_cluster.RangeCluster, *vms: str) -> None:
        for vm in vms:
            cluster.start_vm(vm, cluster.ports[vm]["ip"])
        await cluster.wait_ready(*vms, timeout_s=25)

    def kill(self, cluster: range_cluster.RangeCluster, *vms: str) -> None:
        for vm in vms:
            cluster.processes[vm].kill()
            cluster.processes[vm].wait()

    async def check_end(self, cluster: range_cluster.RangeCluster, faults: list[str]) -> None:
        """Check that keys move once more, that all keys are served, and that no fault occurred."""
        await self.drain_one(cluster)
        for key in range(0, key_server.KEYS, 4001):
            status, _, _ = await cluster.request_until_served("vm-2", "/view/a", key=key)
            self.assertEqual(200, status)
        self.assertEqual([], faults)

    async def play_returns(self, *, returns: int, kills: bool) -> None:
        """Move keys, let the store lose the moves, and move keys again afterwards."""
        cluster, faults = await self.begin(servers=2 + 2 * returns)
        for number in range(returns):
            copy = cluster.store.copy()
            await self.drain_one(cluster)
            planner = self.planner(cluster)
            if kills:
                self.kill(cluster, planner)
            await self.restore(cluster, copy)
            if kills:
                await self.restart(cluster, planner)
            if number + 1 < returns:
                await self.drain_one(cluster)
        await self.check_end(cluster, faults)

    async def test_keys_move_again_under_new_tokens(self):
        """Guards against keys that can never move again after the store's return."""
        await self.play_returns(returns=1, kills=False)

    async def test_keys_move_again_when_the_planner_was_lost(self):
        """Guards against tokens that are given out a second time (review case 8)."""
        await self.play_returns(returns=1, kills=True)

    async def test_keys_move_again_after_two_returns(self):
        """Guards against tokens that repeat, or keys that stay, after a second return."""
        await self.play_returns(returns=2, kills=False)

    async def test_second_return_from_before_the_first_one(self):
        """Guards against tokens of the era between two returns that are given out again."""
        cluster, faults = await self.begin(servers=5)
        copy = cluster.store.copy()
        await self.drain_one(cluster)
        await self.restore(cluster, copy)
        await self.drain_one(cluster)
        await self.restore(cluster, copy)
        await self.check_end(cluster, faults)

    async def test_second_return_while_keys_are_recovered(self):
        """Guards against a recovery that goes on with what the second return has lost."""
        cluster, faults = await self.begin(servers=4)
        copy = cluster.store.copy()
        await self.drain_one(cluster)
        await self.restore(cluster, copy)
        await scripted_backend.sleep(1.0)
        await self.restore(cluster, cluster.store.copy())
        await self.check_end(cluster, faults)

    async def test_all_entry_vms_are_lost_with_the_newest_maps(self):
        """Guards against tokens that only lost processes knew."""
        cluster, faults = await self.begin(servers=4)
        copy = cluster.store.copy()
        await self.drain_one(cluster)
        vms = list(cluster.processes)
        self.kill(cluster, *vms)
        await self.restore(cluster, copy)
        await self.restart(cluster, *vms)
        await self.check_end(cluster, faults)

    async def test_server_that_restarts_during_the_return(self):
        """Guards against keys of a restarted server that are held by two, or by nobody."""
        cluster, faults = await self.begin(servers=4)
        copy = cluster.store.copy()
        await self.drain_one(cluster)
        cluster.store.refusing = True
        _, _, owner = await cluster.request_until_served("vm-2", "/view/a", key=7)
        restarted = await cluster.restart_server(owner.decode())
        restarted.on_grant = next(iter(cluster.servers.values())).on_grant
        await self.restore(cluster, copy)
        await self.check_end(cluster, faults)
