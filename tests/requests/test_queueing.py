"""Queueing at a server: bounds, order, and changes while requests wait."""

from __future__ import annotations

import time

from standins import scripted_backend as backend_fakes
from tests.requests import cases, fakes

DESK = "/filing/desk/x"


def short(ms: int) -> tuple[tuple[bytes, bytes], ...]:
    return ((b"X-Deadline-Ms", b"%d" % ms),)


class QueueTest(cases.HarnessTestCase):
    async def test_waiting_requests_are_bounded_by_the_limit(self):
        """Guards against more requests at a server than the concurrency limit."""
        harness, (server,) = await self.harness()
        server.handler = lambda r: None
        running = [harness.call(method="POST", headers=short(2000)) for _ in range(2)]
        await backend_fakes.settle(until=lambda: len(server.requests) == 2)
        sent = [harness.call(method="POST", headers=short(300)) for _ in range(4)]
        answers = [await d for d in (*sent, *running)]
        self.assertEqual(len(server.requests), 2)
        outcomes = sorted(a.header(b"x-celerystack-outcome") for a in answers)
        self.assertEqual(outcomes, [b"not-run"] * 4 + [b"unknown"] * 2)

    async def test_route_changes_while_waiting(self):
        """Guards against a write to a server that lost the key while the request waited for it."""
        harness, (old, new) = await self.harness(servers=2)
        old.handler = lambda r: None
        first = [harness.call(method="POST") for _ in range(2)]
        await backend_fakes.settle(until=lambda: len(old.requests) == 2)
        waiting = [harness.call("/atlas/browse/k1/waiting", method="POST") for _ in range(3)]
        await backend_fakes.sleep(0.05)
        harness.routes.change(harness.routes.to("a1", epoch=8))
        for request in old.requests[:]:
            request.connection.send(backend_fakes.answer())
        for d in (*first, *waiting):
            self.assert_outcome(await d, 200, b"answered")
        self.assertEqual((len(old.requests), len(new.requests)), (2, 3))

    async def test_server_leaves_while_waiting(self):
        """Guards against new work for a server that became unusable while a request waited."""
        harness, (old, new) = await self.harness(servers=2, service=fakes.DESK)
        old.handler = lambda r: None
        first = [harness.call(DESK, method="POST") for _ in range(2)]
        await backend_fakes.settle(until=lambda: len(old.requests) == 2)
        waiting = harness.call(DESK, method="POST")
        await backend_fakes.sleep(0.05)
        del harness.routes.servers_by_id["a0"]
        for request in old.requests[:]:
            request.connection.send(backend_fakes.answer())
        for d in (*first, waiting):
            self.assert_outcome(await d, 200, b"answered")
        self.assertEqual((len(old.requests), len(new.requests)), (2, 1))

    async def test_forgotten_server(self):
        """Guards against interrupting or stranding requests at a server that was undeclared."""
        harness, (old, _) = await self.harness(servers=2, service=fakes.DESK)
        harness.budget.retries = 0
        old.handler = lambda r: None
        first = [harness.call(DESK, method="POST") for _ in range(2)]
        await backend_fakes.settle(until=lambda: len(old.requests) == 2)
        waiting = harness.call(DESK, method="POST")
        await backend_fakes.sleep(0.05)
        del harness.routes.servers_by_id["a0"]
        harness.forwarder.forget("a0")
        self.assert_outcome(await waiting, 200, b"answered")
        self.assertEqual(len(harness.forwarder.in_flight("a0")), 2)
        for request in old.requests:
            request.connection.send(backend_fakes.answer())
        for d in first:
            self.assert_outcome(await d, 200, b"answered")
        await backend_fakes.settle(until=lambda: not old.connections)

    async def test_earlier_deadline_goes_first(self):
        """Guards against first come, first served when deadlines differ."""
        harness, (server,) = await self.harness()
        server.handler = lambda r: None
        first = [harness.call(method="POST") for _ in range(2)]
        await backend_fakes.settle(until=lambda: len(server.requests) == 2)
        later = harness.call("/atlas/browse/k1/later", headers=short(5000))
        await backend_fakes.sleep(0.05)
        urgent = harness.call("/atlas/browse/k1/urgent", headers=short(3000))
        await backend_fakes.sleep(0.05)
        server.handler = lambda r: r.connection.send(backend_fakes.answer(r.line))
        server.requests[0].connection.send(backend_fakes.answer())
        await urgent
        await later
        self.assertIn(b"urgent", server.requests[2].line)
        server.requests[1].connection.send(backend_fakes.answer())
        for d in first:
            self.assert_outcome(await d, 200, b"answered")

    async def test_chooser_counts_waiting_requests(self):
        """Guards against a choice of server that does not see the queues."""
        harness, (server,) = await self.harness(service=fakes.DESK)
        server.handler = lambda r: None
        sent = [harness.call(DESK, method="POST", headers=short(400)) for _ in range(5)]
        await backend_fakes.settle(until=lambda: len(server.requests) == 2)
        await backend_fakes.sleep(0.05)
        self.assertEqual(harness.chooser.running, 5)
        for d in sent:
            await d
        self.assertEqual(harness.chooser.running, 0)

    async def test_each_waits_until_its_own_deadline(self):
        """Guards against an early deadline that is noticed at a later one."""
        harness, (server,) = await self.harness()
        server.handler = lambda r: None
        first = [harness.call(method="POST", headers=short(3000)) for _ in range(2)]
        await backend_fakes.settle(until=lambda: len(server.requests) == 2)
        later = harness.call(headers=short(2000))
        await backend_fakes.sleep(0.05)
        started = time.monotonic()
        self.assert_outcome(await harness.call(headers=short(200)), 503, b"not-run")
        self.assertLess(time.monotonic() - started, 0.8)
        server.kill()
        for d in (*first, later):
            await d

    async def test_without_a_share_nothing_is_sent(self):
        """Guards against connections of a newcomer before its peers have shrunk."""
        harness, (server,) = await self.harness()
        harness.forwarder.set_entry_vms(0)
        self.assert_outcome(await harness.call(headers=short(100)), 503, b"not-run")
        self.assertEqual(server.accepted, 0)
        sent = harness.call()
        harness.forwarder.set_entry_vms(10)
        self.assert_outcome(await sent, 200, b"answered")

    async def test_many_queued_failures_do_not_exhaust_the_stack(self):
        """Guards against recursion through the queue when every attempt ends at once."""
        harness, (server,) = await self.harness()
        server.handler = lambda r: None
        harness.pool.set_limit(400)
        first = [harness.call(method="POST", wait=10) for _ in range(2)]
        await backend_fakes.settle(until=lambda: len(server.requests) == 2)
        sent = [harness.call(method="POST", headers=short(1500), wait=10) for _ in range(300)]
        await backend_fakes.sleep(0.5)
        harness.routes.permitted = False
        for request in server.requests:
            request.connection.send(backend_fakes.answer())
        for d in first:
            self.assert_outcome(await d, 200, b"answered")
        for d in sent:
            self.assert_outcome(await d, 503, b"not-run")
        self.assertEqual(len(server.requests), 2)
