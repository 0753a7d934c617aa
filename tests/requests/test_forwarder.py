"""Forwarder behind the front end: held calls, refusals and retries."""

from __future__ import annotations

import dataclasses
import time

from celerystack import ids, model, timing
from celerystack.peers import messages
from standins import scripted_backend as backend_fakes
from tests.requests import cases, fakes

REQUEST_ID_HEADERS = ((b"X-Request-Id", b"r1"),)
DESK_PATH = "/filing/desk/x"


def deadline_headers(ms: int) -> tuple[tuple[bytes, bytes], ...]:
    return ((b"X-Deadline-Ms", b"%d" % ms),)


class PlainTest(cases.HarnessTestCase):
    async def test_answer_and_headers(self):
        """Guards against lost bodies and missing ownership headers."""
        harness, (server,) = await self.harness()
        response = await harness.call(method="POST", body=b"hello")
        self.assert_outcome(response, 200, b"answered")
        self.assertEqual(response.body, b"ok")
        request = server.requests[0]
        self.assertEqual(request.line, b"POST /atlas/browse/k1/x HTTP/1.1")
        self.assertEqual(request.body, b"hello")
        self.assertEqual(request.header(b"X-Celerystack-Service"), b"atlas-browse")
        self.assertEqual(request.header(b"X-Celerystack-Key"), b"k1")
        self.assertEqual(request.header(b"X-Celerystack-Shard"), b"3")
        self.assertEqual(request.header(b"X-Celerystack-Epoch"), b"7")

    async def test_connections_are_kept(self):
        """Guards against a new backend connection for every request."""
        harness, (server,) = await self.harness()
        for _ in range(5):
            await harness.call()
        self.assertEqual(server.accepted, 1)

    async def test_large_answer_is_streamed(self):
        """Guards against lost or reordered bytes of an answer that is streamed."""
        harness, (server,) = await self.harness()
        body = bytes(range(256)) * 4096
        server.script_answers(backend_fakes.answer(body))
        response = await harness.call()
        self.assert_outcome(response, 200, b"answered")
        self.assertEqual(response.body, body)
        self.assertEqual(harness.forwarder.in_flight("a0"), ())


class HoldTest(cases.HarnessTestCase):
    async def test_held_while_moving(self):
        """Guards against failing a request only because its shard is being moved."""
        harness, (_, target) = await self.harness(servers=2)
        harness.routes.change(model.Moving(ids.ShardId(3)))
        sent = harness.call(method="POST")
        await backend_fakes.sleep(0.1)
        harness.routes.change(harness.routes.to("a1", epoch=8))
        self.assert_outcome(await sent, 200, b"answered")
        self.assertEqual(target.requests[0].header(b"X-Celerystack-Epoch"), b"8")

    async def test_move_that_lasts(self):
        """Guards against holding a call for longer than the limit when unrelated routes change."""
        harness, _ = await self.harness()
        harness.routes.change(model.Moving(ids.ShardId(3)))
        started = time.monotonic()
        sent = harness.call(method="POST", headers=deadline_headers(4000))
        for _ in range(5):
            await backend_fakes.sleep(0.15)
            harness.routes.wake()
        self.assert_outcome(await sent, 503, b"not-run")
        held_s = time.monotonic() - started
        self.assertGreaterEqual(held_s, timing.MOVE_WAIT_MAX_S)
        self.assertLess(held_s, timing.MOVE_WAIT_MAX_S + 0.5)

    async def test_no_owner_until_the_deadline(self):
        """Guards against giving up before the deadline although a takeover would come in time."""
        harness, (_, new_owner) = await self.harness(servers=2)
        harness.routes.change(model.NoOwner(ids.ShardId(3)))
        sent = harness.call(method="POST", headers=deadline_headers(3000))
        await backend_fakes.sleep(1.3)
        harness.routes.change(harness.routes.to("a1"))
        self.assert_outcome(await sent, 200, b"answered")
        self.assertEqual(len(new_owner.requests), 1)

    async def test_no_owner_at_the_deadline(self):
        """Guards against waiting past the deadline."""
        harness, _ = await self.harness()
        harness.routes.change(model.NoOwner(ids.ShardId(3)))
        started = time.monotonic()
        self.assert_outcome(await harness.call(headers=deadline_headers(100)), 503, b"not-run")
        self.assertLess(time.monotonic() - started, 0.6)

    async def test_undeclared_owner_is_held(self):
        """Guards against an error while the configuration lags behind the shard map."""
        harness, _ = await self.harness()
        harness.routes.change(harness.routes.to("unheard-of"))
        self.assert_outcome(await harness.call(headers=deadline_headers(100)), 503, b"not-run")

    async def test_permission_withdrawn(self):
        """Guards against writing to a server while `may_send` forbids it."""
        harness, (server,) = await self.harness()
        harness.routes.permitted = False
        sent = harness.call(method="POST", headers=REQUEST_ID_HEADERS)
        await backend_fakes.sleep(0.2)
        self.assertEqual(server.bytes_received, 0)
        harness.routes.permitted = True
        harness.routes.wake()
        self.assert_outcome(await sent, 200, b"answered")
        self.assertEqual(len(server.requests), 1)


class RefusalTest(cases.HarnessTestCase):
    async def test_stale_epoch_and_no_lease_wait(self):
        """Guards against an error for a request that a change of routes can still serve."""
        for kind in (b"stale-epoch", b"no-lease", b"draining"):
            harness, (server,) = await self.harness()
            refusal = backend_fakes.refusal(kind)
            server.script_answers(refusal, refusal, backend_fakes.answer(b"done"))
            response = await harness.call(method="POST", headers=REQUEST_ID_HEADERS)
            self.assert_outcome(response, 200, b"answered")
            self.assertEqual(len(server.requests), 3)

    async def test_refused_until_the_deadline(self):
        """Guards against retries without backoff, and against reporting an unknown outcome."""
        harness, (server,) = await self.harness()
        server.script_answers(backend_fakes.refusal(b"no-lease"))
        response = await harness.call(
            method="POST", headers=(*REQUEST_ID_HEADERS, *deadline_headers(1000))
        )
        self.assert_outcome(response, 503, b"not-run")
        self.assertLess(len(server.requests), 15)
        self.assertEqual(harness.claims.finished[0][2], messages.ClaimState.NOT_RUN)

    async def test_change_of_routes_ends_the_wait(self):
        """Guards against waiting for the full backoff although the new route is known."""
        harness, (old, new) = await self.harness(servers=2)
        old.script_answers(backend_fakes.refusal(b"stale-epoch"))
        sent = harness.call(method="POST")
        await backend_fakes.wait_until(until=lambda: old.requests)
        harness.routes.change(harness.routes.to("a1"))
        self.assert_outcome(await sent, 200, b"answered")
        self.assertEqual(len(new.requests), 1)

    async def test_draining_and_shedding_use_another_server(self):
        """Guards against retrying on a server that refuses while other servers are free."""
        for kind in (b"draining", b"shedding"):
            harness, (first, second) = await self.harness(servers=2, service=fakes.DESK)
            first.script_answers(backend_fakes.refusal(kind))
            self.assert_outcome(await harness.call(DESK_PATH, method="POST"), 200, b"answered")
            self.assertEqual((len(first.requests), len(second.requests)), (1, 1))

    async def test_shedding_needs_the_budget(self):
        """Guards against retries that multiply the load of an overloaded service."""
        harness, (first, second) = await self.harness(servers=2, service=fakes.DESK)
        harness.budget.retries = 0
        first.script_answers(backend_fakes.refusal(b"shedding"))
        self.assert_outcome(await harness.call(DESK_PATH, method="POST"), 503, b"not-run")
        self.assertEqual(second.requests, [])

    async def test_deadline_refusal_is_final(self):
        """Guards against retrying a request whose deadline has passed according to the server."""
        harness, (server,) = await self.harness()
        server.script_answers(backend_fakes.refusal(b"deadline"))
        self.assert_outcome(await harness.call(), 503, b"not-run")
        self.assertEqual(len(server.requests), 1)

    async def test_unknown_refusal_is_unknown(self):
        """Guards against reporting not-run because of a refusal with an undefined reason."""
        harness, (server,) = await self.harness()
        server.script_answers(backend_fakes.refusal(b"mood"))
        self.assert_outcome(await harness.call(method="POST"), 502, b"unknown")
        self.assertEqual(len(server.requests), 1)

    async def test_plain_409_and_503_are_answers(self):
        """Guards against treating the application's own 409 or 503 as a refusal."""
        for status in (b"409 Conflict", b"503 Service Unavailable"):
            harness, (server,) = await self.harness()
            server.script_answers(backend_fakes.answer(b"mine", status=status))
            response = await harness.call(method="POST")
            self.assert_outcome(response, int(status[:3]), b"answered")
            self.assertEqual(response.body, b"mine")

    async def test_refusal_header_on_another_status_is_an_answer(self):
        """Guards against a second run of a request that the server says it completed."""
        harness, (server,) = await self.harness()
        header = b"X-Celerystack-Refusal: no-lease\r\n"
        server.script_answers(backend_fakes.answer(b"ran", headers=header))
        response = await harness.call(method="POST")
        self.assert_outcome(response, 200, b"answered")
        self.assertIsNone(response.header(b"x-celerystack-refusal"))
        self.assertEqual(len(server.requests), 1)


class RetryTest(cases.HarnessTestCase):
    async def test_refused_connection_waits_for_the_new_owner(self):
        """Guards against failing a request between the loss of a server and its takeover."""
        harness, (stopped, new_owner) = await self.harness(servers=2)
        await stopped.stop_listening()
        sent = harness.call(method="POST", headers=REQUEST_ID_HEADERS)
        await backend_fakes.sleep(0.3)
        harness.routes.change(harness.routes.to("a1"))
        self.assert_outcome(await sent, 200, b"answered")
        self.assertEqual(len(new_owner.requests), 1)

    async def test_refused_connection_uses_another_server(self):
        """Guards against failing a request while other servers of the service are free."""
        harness, (stopped, other) = await self.harness(servers=2, service=fakes.DESK)
        await stopped.stop_listening()
        self.assert_outcome(await harness.call(DESK_PATH, method="POST"), 200, b"answered")
        self.assertEqual(len(other.requests), 1)

    async def test_post_is_sent_once_when_the_connection_breaks(self):
        """Guards against a second run of a non-idempotent request."""
        partial = b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nab"
        scripts = (
            lambda r: r.connection.abort(),
            lambda r: r.connection.close(),
            lambda r: (r.connection.send(partial), r.connection.close()),
            lambda r: r.connection.send(b"garbage\r\n\r\n"),
        )
        for script in scripts:
            harness, (first, second) = await self.harness(servers=2, service=fakes.DESK)
            first.handler = script
            response = await harness.call(DESK_PATH, method="POST", headers=REQUEST_ID_HEADERS)
            self.assert_outcome(response, 502, b"unknown")
            self.assertEqual((len(first.requests), len(second.requests)), (1, 0))
            self.assertEqual(harness.claims.finished[0][2], messages.ClaimState.UNKNOWN)

    async def test_get_is_retried_on_another_server(self):
        """Guards against failing an idempotent request that another server can answer."""
        harness, (first, second) = await self.harness(servers=2, service=fakes.DESK)
        partial = b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nab"
        first.handler = lambda r: (r.connection.send(partial), r.connection.close())
        response = await harness.call(DESK_PATH)
        self.assert_outcome(response, 200, b"answered")
        self.assertEqual((len(first.requests), len(second.requests)), (1, 1))

    async def test_no_retry_on_the_server_that_broke_the_connection(self):
        """Guards against a request that crashes its server again after a restart."""
        harness, (server,) = await self.harness()
        server.handler = lambda r: r.connection.abort()
        response = await harness.call(headers=deadline_headers(400))
        self.assert_outcome(response, 504, b"unknown")
        self.assertEqual(len(server.requests), 1)

    async def test_get_goes_to_the_new_owner(self):
        """Guards against failing an idempotent request that the new owner can answer."""
        harness, (stopped, new_owner) = await self.harness(servers=2)
        stopped.handler = lambda r: r.connection.abort()
        sent = harness.call()
        await backend_fakes.sleep(0.2)
        harness.routes.change(harness.routes.to("a1"))
        self.assert_outcome(await sent, 200, b"answered")
        self.assertEqual((len(stopped.requests), len(new_owner.requests)), (1, 1))

    async def test_budget(self):
        """Guards against retries that exceed the retry budget."""
        harness, (first, second) = await self.harness(servers=2, service=fakes.DESK)
        harness.budget.retries = 0
        first.handler = lambda r: r.connection.abort()
        self.assert_outcome(await harness.call(DESK_PATH), 502, b"unknown")
        self.assertEqual(second.requests, [])

    async def test_declared_idempotent_method_is_retried(self):
        """Guards against ignoring the idempotent methods that a service declares."""
        harness, (first, second) = await self.harness(servers=2, service=fakes.DESK)
        first.handler = lambda r: r.connection.abort()
        response = await harness.call(DESK_PATH, method="PUT")
        self.assert_outcome(response, 502, b"unknown")
        declared = dataclasses.replace(fakes.DESK, idempotent_methods=("GET", "PUT"))
        harness.routes.service_for = lambda path: declared
        response = await harness.call(DESK_PATH, method="PUT")
        self.assert_outcome(response, 200, b"answered")
        self.assertEqual(len(second.requests), 1)

    async def test_stalled_server(self):
        """Guards against waiting past the deadline, and against reporting not-run after a send."""
        harness, (server,) = await self.harness()
        server.handler = lambda r: None
        started = time.monotonic()
        response = await harness.call(method="POST", headers=deadline_headers(200))
        self.assert_outcome(response, 504, b"unknown")
        self.assertLess(time.monotonic() - started, 1.0)
        await backend_fakes.wait_until(until=lambda: not server.connections)
