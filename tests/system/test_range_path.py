"""The whole path as processes: callers, entry VMs, servers that hold key ranges, row store."""

from __future__ import annotations

import pathlib
import signal
import tempfile

import pytest
from twisted.trial import unittest

from celerystack.queries import explain
from standins import layout, range_world, scripted_backend

pytestmark = pytest.mark.ranges

NETWORK = f"127.{100 + layout.worker_number()}.7"


class RangePathTest(unittest.TestCase):
    timeout = 60

    async def world(self, *, servers: int = 3) -> range_world.RangeWorld:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        world = range_world.RangeWorld(pathlib.Path(folder.name))
        self.addCleanup(world.stop)
        world.store.put("op", "config", range_world.config(1))
        for number in range(servers):
            world.add_server(f"rota-{number}", "rota")
        world.add_server("desk-1", "desk")
        for number in (1, 2):
            world.start_vm(f"vm-{number}", f"{NETWORK}.{number}")
        await world.until_ready("vm-1", "vm-2")
        return world

    async def test_keys_are_served_by_one_owner_on_every_vm(self):
        """Guards against entry VMs that send a key to different servers."""
        world = await self.world()
        for key in (0, 20_000, 65_535):
            bodies = set()
            for vm in ("vm-1", "vm-2"):
                status, _, body = await world.request_until(vm, "/view/a", key=key)
                self.assertEqual(200, status)
                bodies.add(body)
            self.assertEqual(1, len(bodies))

    async def test_draining_server_hands_its_keys_over(self):
        """Guards against keys that stay unserved, or two owners, while a server leaves."""
        world = await self.world()
        _, _, owner = await world.request_until("vm-1", "/view/a", key=7)
        leaving = world.servers[owner.decode()]
        leaving.state = "draining"
        await scripted_backend.settle(until=lambda: not leaving.holds(7), timeout=8)
        status, _, body = await world.request_until("vm-2", "/view/a", key=7)
        self.assertEqual(200, status)
        self.assertNotEqual(owner, body)

    async def test_restarted_server_gets_its_keys_under_a_higher_token(self):
        """Guards against a new incarnation that runs under the tokens of the old one."""
        world = await self.world(servers=1)
        _, _, owner = await world.request_until("vm-1", "/view/a", key=7)
        old = world.servers.pop(owner.decode())
        await old.stop()
        new = world.add_server(owner.decode(), "rota")
        status, _, _ = await world.request_until("vm-1", "/view/a", key=7)
        self.assertEqual(200, status)
        self.assertGreater(new.highest_token[7], old.highest_token[7])

    async def test_planner_that_is_killed_is_replaced(self):
        """Guards against keys that nobody moves after the loss of one entry VM."""
        world = await self.world()
        planners = [vm for vm in ("vm-1", "vm-2") if "became planner" in world.log_of(vm)]
        other = "vm-2" if planners == ["vm-1"] else "vm-1"
        world.processes[planners[0]].send_signal(signal.SIGKILL)
        _, _, owner = await world.request_until(other, "/view/a", key=7)
        world.servers[owner.decode()].state = "draining"
        await scripted_backend.settle(
            until=lambda: not world.servers[owner.decode()].holds(7), timeout=10
        )
        status, _, body = await world.request_until(other, "/view/a", key=7)
        self.assertEqual(200, status)
        self.assertNotEqual(owner, body)

    async def test_store_outage_stops_no_request(self):
        """Guards against leases that expire because the store does not answer."""
        world = await self.world()
        await world.request_until("vm-1", "/view/a", key=7)
        world.store.refusing = True
        await scripted_backend.sleep(6.0)
        status, _, _ = await world.request("vm-1", "/view/a", key=7)
        self.assertEqual(200, status)

    async def test_lost_answers_of_the_store_lose_no_key(self):
        """Guards against a map that is unknown after a write without an answer."""
        world = await self.world()
        _, _, owner = await world.request_until("vm-1", "/view/a", key=7)
        world.store.lose_answers = 2
        world.servers[owner.decode()].state = "draining"
        await scripted_backend.settle(
            until=lambda: not world.servers[owner.decode()].holds(7), timeout=15
        )
        status, _, _ = await world.request_until("vm-1", "/view/a", key=7)
        self.assertEqual(200, status)

    async def test_unreadable_entries_name_no_server(self):
        """Guards against one malformed row that hides all servers."""
        world = await self.world()
        world.store.put("servers", "bad-1", b"\xff")
        world.store.put("servers", "bad-2", b'{"service": "rota"}')
        await scripted_backend.sleep(1.2)
        status, _, _ = await world.request_until("vm-1", "/view/a", key=7)
        self.assertEqual(200, status)

    async def test_unsafe_request_that_breaks_off_is_not_sent_again(self):
        """Guards against running a request twice after its answer was lost."""
        world = await self.world()
        desk = world.servers["desk-1"]
        await world.request("vm-1", "/desk/a", method="POST")
        desk.http.handler = lambda request: (
            desk.ran.append(("broken", None)),
            request.connection.transport.abortConnection(),
        )
        status, _, _ = await world.request("vm-1", "/desk/a", method="POST")
        self.assertEqual(502, status)
        self.assertEqual(1, sum(run == ("broken", None) for run in desk.ran))

    async def test_log_explains_an_unknown_outcome(self):
        """Guards against a failed request whose cause the logs do not show."""
        world = await self.world()
        desk = world.servers["desk-1"]
        desk.http.handler = lambda request: request.connection.transport.abortConnection()
        await world.request("vm-1", "/desk/a", method="POST")
        await scripted_backend.sleep(0.1)
        lines = list(explain.parse(world.log_of("vm-1").splitlines()))
        own = [line for line in lines if line.get("step") == "failed"]
        shown = "\n".join(explain.timeline(lines, own))
        self.assertIn("may have run: the connection was lost", shown)
        self.assertIn("server appeared", shown)
        print(shown)

    async def test_sigterm_loses_no_request(self):
        """Guards against connections that are cut while a process shuts down."""
        world = await self.world()
        world.servers["desk-1"].run_s = 0.3
        world.processes["vm-1"].send_signal(signal.SIGTERM)
        statuses = []
        for _ in range(6):
            status, _, _ = await world.request("vm-1", "/desk/a", method="POST")
            statuses.append(status)
        self.assertEqual([200] * 6, statuses)
