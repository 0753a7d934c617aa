"""Entry VM processes that forward calls to queue owners, and evacuations that reach all of them."""

from __future__ import annotations

import pathlib
import signal
import tempfile

import pytest
from twisted.trial import unittest

from standins import layout, range_cluster, scripted_backend

pytestmark = pytest.mark.ranges

NETWORK = f"127.{100 + layout.worker_number()}.11"
SETTINGS = """
[celerystack]
forwarding_vms_min = 2
"""
ZONE_BY_VM = {"vm-1": "z1", "vm-2": "z2", "vm-3": "z1", "vm-4": "z2"}
VMS = tuple(ZONE_BY_VM)
REQUESTS = 30


class ForwardingTest(unittest.TestCase):
    timeout = 60

    async def start_cluster(self) -> range_cluster.RangeCluster:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        cluster = range_cluster.RangeCluster(pathlib.Path(folder.name), extra_settings=SETTINGS)
        self.addCleanup(cluster.stop)
        cluster.store.put("op", "config", range_cluster.config_row_value(1))
        for number, zone in enumerate(("z1", "z1", "z2", "z2")):
            cluster.add_server(f"rota-{number}", "rota", zone=zone)
            cluster.add_server(f"desk-{number}", "desk", zone=zone)
        for number, vm in enumerate(VMS, 1):
            cluster.start_vm(vm, f"{NETWORK}.{number}", zone=ZONE_BY_VM[vm])
        await cluster.wait_ready(*VMS)
        return cluster

    async def test_each_request_runs_once_whichever_vm_it_reaches(self):
        """Guards against requests that a hop loses or runs twice, and answers to other requests."""
        cluster = await self.start_cluster()
        await scripted_backend.sleep(1.0)
        for number in range(REQUESTS):
            vm = VMS[number % len(VMS)]
            status, _, _ = await cluster.request(vm, "/desk/a", method="POST")
            self.assertEqual(200, status)
            status, _, _ = await cluster.request_until_served(vm, "/view/a", key=number * 2_000)
            self.assertEqual(200, status)
        executed = [
            request_id
            for name, server in cluster.servers.items()
            if name.startswith("desk")
            for request_id, _ in server.executed
        ]
        self.assertEqual(REQUESTS, len(executed))
        self.assertEqual(len(executed), len(set(executed)))

    async def test_requests_are_served_after_the_loss_of_an_owner(self):
        """Guards against entry VMs that depend on an owner which was lost."""
        cluster = await self.start_cluster()
        await scripted_backend.sleep(1.0)
        cluster.processes["vm-2"].send_signal(signal.SIGKILL)
        cluster.processes["vm-2"].wait()
        for key in range(0, 65_536, 8_000):
            status, _, _ = await cluster.request_until_served("vm-1", "/view/a", key=key)
            self.assertEqual(200, status)
        status, _, _ = await cluster.request("vm-3", "/desk/a", method="POST")
        self.assertEqual(200, status)

    async def test_evacuated_zone_gets_no_requests_until_it_is_restored(self):
        """Guards against requests and keys that stay in an evacuated zone, on any entry VM."""
        cluster = await self.start_cluster()
        cluster.store.put("op", "evacuate/z2", b"{}")
        evacuated = [server for server in cluster.servers.values() if server.zone == "z2"]
        await scripted_backend.wait_until(
            until=lambda: not any(server.holds(0) or server.grants for server in evacuated),
            timeout_s=12,
        )
        for server in evacuated:
            server.executed.clear()
        for number in range(REQUESTS):
            vm = VMS[number % len(VMS)]
            status, _, _ = await cluster.request_until_served(vm, "/view/a", key=number * 2_000)
            self.assertEqual(200, status)
            status, _, _ = await cluster.request(vm, "/desk/a", method="POST")
            self.assertEqual(200, status)
        self.assertEqual([], [request for server in evacuated for request in server.executed])
        cluster.store.remove("op", "evacuate/z2")
        await scripted_backend.sleep(2.0)
        for number in range(4 * REQUESTS):
            await cluster.request(VMS[number % len(VMS)], "/desk/a", method="POST")
        self.assertTrue(any(server.executed for server in evacuated))
