"""Queue of a server: limits, order, and changes of routes while requests wait."""

from __future__ import annotations

import time

from standins import scripted_backend as backend_fakes
from tests.requests import cases, fakes

DESK_PATH = "/filing/desk/x"


def deadline_headers(ms: int) -> tuple[tuple[bytes, bytes], ...]:
    return ((b"X-Deadline-Ms", b"%d" % ms),)


class QueueTest(cases.HarnessTestCase):
    async def test_waiting_requests_are_bounded_by_the_limit(self):
        """Guards against more requests in flight to a server than the concurrency limit."""
        harness, (server,) = await self.harness()
        server.handler = lambda r: None
        running = [harness.call(method="POST", headers=deadline_headers(2000)) for _ in range(2)]
        await backend_fakes.wait_until(until=lambda: len(server.requests) == 2)
        sent = [harness.call(method="POST", headers=deadline_headers(300)) for _ in range(4)]
        answers = [await d for d in (*sent, *running)]
        self.assertEqual(len(server.requests), 2)
        outcomes = sorted(a.header(b"x-celerystack-outcome") for a in answers)
        self.assertEqual(outcomes, [b"not-run"] * 4 + [b"unknown"] * 2)

    async def test_queue_state_is_what_the_next_request_finds(self):
        """Guards against a queue state of another limit, or one that changes the queue."""
        harness, (server,) = await self.harness()
        server.handler = lambda r: None
        deadline = time.monotonic() + 5.0
        self.assertIsNone(harness.forwarder.queue_state("a0", deadline))
        running = [harness.call(method="POST", headers=deadline_headers(2000)) for _ in range(2)]
        await backend_fakes.wait_until(until=lambda: len(server.requests) == 2)
        waiting = [harness.call(method="POST", headers=deadline_headers(300)) for _ in range(3)]
        await backend_fakes.sleep(0.05)
        for _ in range(2):
            state = harness.forwarder.queue_state("a0", deadline)
            self.assertEqual((2, 2, 3), (state.running, state.limit, state.waiting))
            self.assertEqual(3, state.prospect.ahead)
        for reply in (*waiting, *running):
            await reply
        self.assertIsNone(harness.forwarder.queue_state("a0", deadline).prospect)

    async def test_route_changes_while_waiting(self):
        """Guards against a write to a server that lost the key while the request was queued."""
        harness, (old, new) = await self.harness(servers=2)
        old.handler = lambda r: None
        first = [harness.call(method="POST") for _ in range(2)]
        await backend_fakes.wait_until(until=lambda: len(old.requests) == 2)
        waiting = [harness.call("/atlas/browse/k1/waiting", method="POST") for _ in range(3)]
        await backend_fakes.sleep(0.05)
        harness.routes.change(harness.routes.to("a1", epoch=8))
        for request in old.requests[:]:
            request.connection.send(backend_fakes.answer())
        for d in (*first, *waiting):
            self.assert_outcome(await d, 200, b"answered")
        self.assertEqual((len(old.requests), len(new.requests)), (2, 3))

    async def test_server_leaves_while_waiting(self):
        """Guards against a write to a server that became unusable while the request was queued."""
        harness, (old, new) = await self.harness(servers=2, service=fakes.DESK)
        old.handler = lambda r: None
        first = [harness.call(DESK_PATH, method="POST") for _ in range(2)]
        await backend_fakes.wait_until(until=lambda: len(old.requests) == 2)
        waiting = harness.call(DESK_PATH, method="POST")
        await backend_fakes.sleep(0.05)
        del harness.routes.servers_by_id["a0"]
        for request in old.requests[:]:
            request.connection.send(backend_fakes.answer())
        for d in (*first, waiting):
            self.assert_outcome(await d, 200, b"answered")
        self.assertEqual((len(old.requests), len(new.requests)), (2, 1))

    async def test_forgotten_server(self):
        """Guards against failing requests on a server that is removed from the configuration."""
        harness, (old, _) = await self.harness(servers=2, service=fakes.DESK)
        harness.budget.retries = 0
        old.handler = lambda r: None
        first = [harness.call(DESK_PATH, method="POST") for _ in range(2)]
        await backend_fakes.wait_until(until=lambda: len(old.requests) == 2)
        waiting = harness.call(DESK_PATH, method="POST")
        await backend_fakes.sleep(0.05)
        del harness.routes.servers_by_id["a0"]
        harness.forwarder.forget("a0")
        self.assert_outcome(await waiting, 200, b"answered")
        self.assertEqual(len(harness.forwarder.in_flight("a0")), 2)
        for request in old.requests:
            request.connection.send(backend_fakes.answer())
        for d in first:
            self.assert_outcome(await d, 200, b"answered")
        await backend_fakes.wait_until(until=lambda: not old.connections)

    async def test_earlier_deadline_goes_first(self):
        """Guards against a FIFO queue, in which a request with an early deadline expires."""
        harness, (server,) = await self.harness()
        server.handler = lambda r: None
        first = [harness.call(method="POST") for _ in range(2)]
        await backend_fakes.wait_until(until=lambda: len(server.requests) == 2)
        later = harness.call("/atlas/browse/k1/later", headers=deadline_headers(5000))
        await backend_fakes.sleep(0.05)
        urgent = harness.call("/atlas/browse/k1/urgent", headers=deadline_headers(3000))
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
        """Guards against a choice of server that ignores queued requests."""
        harness, (server,) = await self.harness(service=fakes.DESK)
        server.handler = lambda r: None
        sent = [
            harness.call(DESK_PATH, method="POST", headers=deadline_headers(400)) for _ in range(5)
        ]
        await backend_fakes.wait_until(until=lambda: len(server.requests) == 2)
        await backend_fakes.sleep(0.05)
        self.assertEqual(harness.chooser.running, 5)
        for d in sent:
            await d
        self.assertEqual(harness.chooser.running, 0)

    async def test_each_waits_until_its_own_deadline(self):
        """Guards against expiring a request only at the later deadline of another one."""
        harness, (server,) = await self.harness()
        server.handler = lambda r: None
        first = [harness.call(method="POST", headers=deadline_headers(3000)) for _ in range(2)]
        await backend_fakes.wait_until(until=lambda: len(server.requests) == 2)
        later = harness.call(headers=deadline_headers(2000))
        await backend_fakes.sleep(0.05)
        started = time.monotonic()
        self.assert_outcome(await harness.call(headers=deadline_headers(200)), 503, b"not-run")
        self.assertLess(time.monotonic() - started, 0.8)
        server.kill()
        for d in (*first, later):
            await d

    async def test_without_a_share_nothing_is_sent(self):
        """Guards against connections of a new entry VM before its peers reduced their shares."""
        harness, (server,) = await self.harness()
        harness.forwarder.set_entry_vms(0)
        self.assert_outcome(await harness.call(headers=deadline_headers(100)), 503, b"not-run")
        self.assertEqual(server.accepted, 0)
        sent = harness.call()
        harness.forwarder.set_entry_vms(10)
        self.assert_outcome(await sent, 200, b"answered")

    async def test_many_queued_failures_do_not_exhaust_the_stack(self):
        """Guards against recursion per queued attempt when every attempt ends at once."""
        harness, (server,) = await self.harness()
        server.handler = lambda r: None
        harness.pool.set_limit(400)
        first = [harness.call(method="POST", wait=10) for _ in range(2)]
        await backend_fakes.wait_until(until=lambda: len(server.requests) == 2)
        sent = [
            harness.call(method="POST", headers=deadline_headers(1500), wait=10) for _ in range(300)
        ]
        await backend_fakes.sleep(0.5)
        harness.routes.permitted = False
        for request in server.requests:
            request.connection.send(backend_fakes.answer())
        for d in first:
            self.assert_outcome(await d, 200, b"answered")
        for d in sent:
            self.assert_outcome(await d, 503, b"not-run")
        self.assertEqual(len(server.requests), 2)
