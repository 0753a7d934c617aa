"""End-to-end tests of key ranges: callers, entry VM processes, servers and the row store."""

from __future__ import annotations

import pathlib
import re
import signal
import tempfile

import pytest
from twisted.internet import defer
from twisted.trial import unittest

from celerystack.queries import explain
from standins import layout, range_cluster, scripted_backend

pytestmark = pytest.mark.ranges

NETWORK = f"127.{100 + layout.worker_number()}.7"
OUTAGE_BEFORE_RESTART_S = 1.0
WORK_S = 3.0
"""Work that lasts longer than the planner needs to move keys, but less than a lease."""


class RangePathTest(unittest.TestCase):
    timeout = 60

    async def start_cluster(self, *, servers: int = 3) -> range_cluster.RangeCluster:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        cluster = range_cluster.RangeCluster(pathlib.Path(folder.name))
        self.addCleanup(cluster.stop)
        cluster.store.put("op", "config", range_cluster.config_row_value(1))
        for number in range(servers):
            cluster.add_server(f"rota-{number}", "rota")
        cluster.add_server("desk-1", "desk")
        for number in (1, 2):
            cluster.start_vm(f"vm-{number}", f"{NETWORK}.{number}")
        await cluster.wait_ready("vm-1", "vm-2")
        return cluster

    async def test_keys_are_served_by_one_owner_on_every_vm(self):
        """Guards against entry VMs that send a key to different servers."""
        cluster = await self.start_cluster()
        for key in (0, 20_000, 65_535):
            bodies = set()
            for vm in ("vm-1", "vm-2"):
                status, _, body = await cluster.request_until_served(vm, "/view/a", key=key)
                self.assertEqual(200, status)
                bodies.add(body)
            self.assertEqual(1, len(bodies))

    async def test_draining_server_hands_its_keys_over(self):
        """Guards against keys that stay unserved, or two owners, while a server leaves."""
        cluster = await self.start_cluster()
        _, _, owner = await cluster.request_until_served("vm-1", "/view/a", key=7)
        leaving = cluster.servers[owner.decode()]
        leaving.state = "draining"
        await scripted_backend.wait_until(until=lambda: not leaving.holds(7), timeout_s=8)
        status, _, body = await cluster.request_until_served("vm-2", "/view/a", key=7)
        self.assertEqual(200, status)
        self.assertNotEqual(owner, body)

    async def test_restarted_server_gets_its_keys_under_a_higher_token(self):
        """Guards against a restarted server that serves under its previous incarnation's tokens."""
        cluster = await self.start_cluster(servers=1)
        _, _, owner = await cluster.request_until_served("vm-1", "/view/a", key=7)
        old_server = cluster.servers.pop(owner.decode())
        await old_server.stop()
        new_server = cluster.add_server(owner.decode(), "rota")
        status, _, _ = await cluster.request_until_served("vm-1", "/view/a", key=7)
        self.assertEqual(200, status)
        self.assertGreater(new_server.highest_token[7], old_server.highest_token[7])

    async def test_server_that_restarts_in_an_outage_keeps_its_keys_while_it_works(self):
        """Guards against a second owner of keys that a restarted server was granted in an outage.

        The entry VMs know of the restart only after the outage (review case 1).
        """
        cluster = await self.start_cluster()
        _, _, owner = await cluster.request_until_served("vm-1", "/view/a", key=7)
        cluster.store.refusing = True
        await scripted_backend.sleep(OUTAGE_BEFORE_RESTART_S)
        restarted = await cluster.restart_server(owner.decode())
        await scripted_backend.wait_until(until=lambda: restarted.holds(7), timeout_s=5)
        granted_during_work = []
        for server in cluster.servers.values():
            server.on_grant = lambda other, grant: granted_during_work.append(
                other is not restarted
                and any(grant.start <= key <= grant.end for key in restarted.running)
            )
        restarted.run_s = WORK_S
        working = defer.Deferred.fromCoroutine(cluster.request("vm-1", "/view/a", key=7))
        await scripted_backend.wait_until(until=lambda: restarted.running == [7])
        restarted.state = "draining"
        cluster.store.refusing = False
        await scripted_backend.wait_until(
            until=lambda: any(
                server.holds(7) for server in cluster.servers.values() if server is not restarted
            ),
            timeout_s=12,
        )
        await working
        self.assertNotIn(True, granted_during_work)

    def planner_and_follower(self, cluster):
        """Return the VM that became planner last, by its term, and the other one."""
        term_by_vm = {
            vm: max(
                map(int, re.findall(r"became planner .*term (\d+)", cluster.log(vm))), default=0
            )
            for vm in ("vm-1", "vm-2")
        }
        follower, planner = sorted(term_by_vm, key=term_by_vm.__getitem__)
        return planner, follower

    async def test_planner_that_is_killed_is_replaced(self):
        """Guards against keys that are no longer moved after the loss of the planning entry VM."""
        cluster = await self.start_cluster()
        planner, other = self.planner_and_follower(cluster)
        await self.kill_planner_and_drain_an_owner(cluster, planner, other)

    async def test_second_planner_that_is_killed_is_replaced(self):
        """Guards against the same when both entry VMs have been planner."""
        cluster = await self.start_cluster()
        first, second = self.planner_and_follower(cluster)
        cluster.processes[first].send_signal(signal.SIGKILL)
        await scripted_backend.wait_until(
            until=lambda: self.planner_and_follower(cluster) == (second, first), timeout_s=10
        )
        cluster.start_vm(first, cluster.ports[first]["ip"])
        await cluster.wait_ready(first)
        await self.kill_planner_and_drain_an_owner(cluster, second, first)

    async def kill_planner_and_drain_an_owner(self, cluster, planner, other):
        cluster.processes[planner].send_signal(signal.SIGKILL)
        status, _, owner = await cluster.request_until_served(other, "/view/a", key=7)
        self.assertEqual(200, status)
        cluster.servers[owner.decode()].state = "draining"
        await scripted_backend.wait_until(
            until=lambda: not cluster.servers[owner.decode()].holds(7), timeout_s=10
        )
        status, _, body = await cluster.request_until_served(other, "/view/a", key=7)
        self.assertEqual(200, status)
        self.assertNotEqual(owner, body)

    async def test_store_outage_stops_no_request(self):
        """Guards against grants that expire because the store does not answer."""
        cluster = await self.start_cluster()
        await cluster.request_until_served("vm-1", "/view/a", key=7)
        cluster.store.refusing = True
        await scripted_backend.sleep(6.0)
        status, _, _ = await cluster.request("vm-1", "/view/a", key=7)
        self.assertEqual(200, status)

    async def test_lost_answers_of_the_store_lose_no_key(self):
        """Guards against an unusable map after a write whose answer was lost."""
        cluster = await self.start_cluster()
        _, _, owner = await cluster.request_until_served("vm-1", "/view/a", key=7)
        cluster.store.lose_answers = 2
        cluster.servers[owner.decode()].state = "draining"
        await scripted_backend.wait_until(
            until=lambda: not cluster.servers[owner.decode()].holds(7), timeout_s=15
        )
        status, _, _ = await cluster.request_until_served("vm-1", "/view/a", key=7)
        self.assertEqual(200, status)

    async def test_unreadable_entries_name_no_server(self):
        """Guards against a malformed row that makes the other servers unknown."""
        cluster = await self.start_cluster()
        cluster.store.put("servers", "bad-1", b"\xff")
        cluster.store.put("servers", "bad-2", b'{"service": "rota"}')
        await scripted_backend.sleep(1.2)
        status, _, _ = await cluster.request_until_served("vm-1", "/view/a", key=7)
        self.assertEqual(200, status)

    async def test_unsafe_request_that_breaks_off_is_not_sent_again(self):
        """Guards against running an unsafe request twice after its connection was lost."""
        cluster = await self.start_cluster()
        desk = cluster.servers["desk-1"]
        await cluster.request("vm-1", "/desk/a", method="POST")
        desk.http.handler = lambda request: (
            desk.executed.append(("broken", None)),
            request.connection.transport.abortConnection(),
        )
        status, _, _ = await cluster.request("vm-1", "/desk/a", method="POST")
        self.assertEqual(502, status)
        self.assertEqual(1, sum(run == ("broken", None) for run in desk.executed))

    async def test_log_explains_an_unknown_outcome(self):
        """Guards against a failed request whose cause the logs do not show."""
        cluster = await self.start_cluster()
        desk = cluster.servers["desk-1"]
        desk.http.handler = lambda request: request.connection.transport.abortConnection()
        await cluster.request("vm-1", "/desk/a", method="POST")
        await scripted_backend.sleep(0.1)
        lines = list(explain.parse(cluster.log("vm-1").splitlines()))
        failed_lines = [line for line in lines if line.get("step") == "failed"]
        shown = "\n".join(explain.timeline(lines, failed_lines))
        self.assertIn("may have run: the connection was lost", shown)
        self.assertIn("server appeared", shown)
        print(shown)

    async def test_sigterm_loses_no_request(self):
        """Guards against connections that are cut while a process shuts down."""
        cluster = await self.start_cluster()
        cluster.servers["desk-1"].run_s = 0.3
        cluster.processes["vm-1"].send_signal(signal.SIGTERM)
        statuses = []
        for _ in range(6):
            status, _, _ = await cluster.request("vm-1", "/desk/a", method="POST")
            statuses.append(status)
        self.assertEqual([200] * 6, statuses)
