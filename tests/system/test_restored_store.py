"""End-to-end tests of a store that comes back from an earlier copy of itself.

What was written since the copy is lost, and its version numbers are given out again.
"""

from __future__ import annotations

import pathlib
import tempfile

import pytest
from twisted.trial import unittest

from standins import layout, range_cluster, row_store, scripted_backend

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
