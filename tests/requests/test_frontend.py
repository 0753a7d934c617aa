"""Front end: which bytes from callers are accepted, and which answers callers receive."""

from __future__ import annotations

import time

from twisted.internet import reactor

from celerystack.requests import callerhttp
from standins import scripted_backend as backend_fakes
from tests.requests import cases

VALID_REQUEST = b"GET /atlas/browse/k1 HTTP/1.1\r\nHost: h\r\n\r\n"


class FrontEndTestCase(cases.HarnessTestCase):
    async def send_raw(self, harness, data, *, until_closed=True, name=""):
        caller = await backend_fakes.connect_raw(harness.port)
        self.addCleanup(caller.transport.abortConnection)
        caller.transport.write(data)
        if until_closed:
            await backend_fakes.wait_until(
                until=lambda: caller.closed, what=f"{name} {data[:80]!r}"
            )
        return caller


class SmugglingTest(FrontEndTestCase):
    async def test_refused(self):
        """Guards against requests whose end the router and a server could see differently."""
        harness, (server,) = await self.harness()
        post = b"POST /atlas/browse/k1 HTTP/1.1\r\nHost: h\r\n"
        inner = b"GET /atlas/browse/evil HTTP/1.1\r\nHost: h\r\n\r\n"
        refused = {
            "conflicting lengths": b"Content-Length: 3\r\nContent-Length: 4\r\n\r\nabcd",
            "repeated length": b"Content-Length: 3\r\nContent-Length: 3\r\n\r\nabc",
            "length list": b"Content-Length: 3, 3\r\n\r\nabc",
            "length and encoding": b"Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n"
            b"0\r\n\r\n" + inner,
            "encoding and length": b"Transfer-Encoding: chunked\r\nContent-Length: 3\r\n\r\n"
            b"0\r\n\r\n" + inner,
            "two encodings": b"Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n\r\n"
            b"0\r\n\r\n",
            "unknown encoding": b"Transfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n",
            "odd encoding": b"Transfer-Encoding: xchunked\r\n\r\n0\r\n\r\n",
            "identity and length": b"Transfer-Encoding: identity\r\nContent-Length: 3\r\n\r\nabc",
            "signed length": b"Content-Length: +3\r\n\r\nabc",
            "negative length": b"Content-Length: -3\r\n\r\nabc",
            "underscored length": b"Content-Length: 1_0\r\n\r\nabcdefghij",
            "empty length": b"Content-Length:\r\n\r\n",
            "space before colon": b"Content-Length : 3\r\n\r\nabc",
            "space in encoding name": b"Transfer-Encoding : chunked\r\n\r\n0\r\n\r\n",
            "chunk size not hexadecimal": b"Transfer-Encoding: chunked\r\n\r\nxyz\r\nabc\r\n",
            "signed chunk size": b"Transfer-Encoding: chunked\r\n\r\n+3\r\nabc\r\n0\r\n\r\n",
            "prefixed chunk size": b"Transfer-Encoding: chunked\r\n\r\n0x3\r\nabc\r\n0\r\n\r\n",
            "chunk longer than its size": b"Transfer-Encoding: chunked\r\n\r\n2\r\nabc\r\n0\r\n",
            "folded encoding": b"Transfer-Encoding:\r\n chunked\r\nContent-Length: 3\r\n\r\nabc",
            "bare CR in a value": b"X: a\rContent-Length: 3\r\nContent-Length: 0\r\n\r\n",
            "NUL in a value": b"X: a\x00b\r\nContent-Length: 0\r\n\r\n",
            "no colon": b"Nonsense\r\nContent-Length: 0\r\n\r\n",
        }
        for name, data in refused.items():
            caller = await self.send_raw(harness, post + data + inner, name=name)
            first = caller.received.split(b"\r\n", 1)[0]
            self.assertTrue(first.startswith(b"HTTP/1.1 400 "), (name, caller.received))
            self.assertIn(b"X-Celerystack-Outcome: not-run", caller.received, name)
            self.assertEqual(caller.received.count(b"HTTP/1.1 "), 1, name)
        self.assertEqual(server.requests, [])

    async def test_request_lines_refused(self):
        """Guards against targets and methods that a server could read differently."""
        harness, (server,) = await self.harness()
        lines = (
            b"GET http://h/atlas/browse/k1 HTTP/1.1",
            b"GET * HTTP/1.1",
            b"CONNECT /atlas/browse/k1 HTTP/1.1",
            b"GET /atlas/browse/\xff HTTP/1.1",
            b"GET /atlas/browse/a\x01b HTTP/1.1",
            b"G(T /atlas/browse/k1 HTTP/1.1",
        )
        for line in lines:
            head = line + b"\r\nHost: h\r\nConnection: close\r\n\r\n"
            caller = await self.send_raw(harness, head)
            self.assertTrue(caller.received.startswith(b"HTTP/1.1 400 "), (line, caller.received))
            self.assertIn(b"X-Celerystack-Outcome: not-run", caller.received)
        for line in (b"GET /atlas/browse/k1 HTTP/3.0", b"GET /atlas/browse/k1", b"nonsense"):
            caller = await self.send_raw(harness, line + b"\r\nHost: h\r\n\r\n")
            self.assertTrue(caller.received.startswith(b"HTTP/1.1 400 "), (line, caller.received))
        self.assertEqual(server.requests, [])

    async def test_repeated_host(self):
        """Guards against a server that uses a different Host value than the router."""
        harness, (server,) = await self.harness()
        caller = await self.send_raw(
            harness,
            b"GET /atlas/browse/k1 HTTP/1.1\r\nHost: a\r\nHost: b\r\nConnection: close\r\n\r\n",
        )
        self.assertTrue(caller.received.startswith(b"HTTP/1.1 400 "))
        self.assertEqual(server.requests, [])

    async def test_chunked_body_is_forwarded_with_a_length(self):
        """Guards against a chunked body that is lost or framed twice."""
        harness, (server,) = await self.harness()
        await self.send_raw(
            harness,
            b"POST /atlas/browse/k1 HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n"
            b"Connection: close\r\n\r\n3\r\nabc\r\n2;x=y\r\nde\r\n0\r\nTrailer: t\r\n\r\n",
        )
        self.assertEqual(server.requests[0].body, b"abcde")
        self.assertIsNone(server.requests[0].header(b"Transfer-Encoding"))
        self.assertIsNone(server.requests[0].header(b"Trailer"))


class LimitsTest(FrontEndTestCase):
    async def test_declared_body_above_the_limit(self):
        """Guards against reading a body above the limit, and against losing the 413 answer."""
        harness, (server,) = await self.harness(limits=callerhttp.Limits(body_bytes_max=1000))
        head = b"POST /atlas/browse/k1 HTTP/1.1\r\nHost: h\r\nContent-Length: 2000000\r\n\r\n"
        caller = await self.send_raw(harness, head + b"x" * 2_000_000)
        self.assertTrue(caller.received.startswith(b"HTTP/1.1 413 "))
        self.assertIn(b"X-Celerystack-Outcome: not-run", caller.received)
        self.assertEqual(server.requests, [])

    async def test_chunked_body_above_the_limit(self):
        """Guards against unbounded memory for a body without a declared length."""
        harness, (server,) = await self.harness(limits=callerhttp.Limits(body_bytes_max=1000))
        head = b"POST /atlas/browse/k1 HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
        caller = await self.send_raw(harness, head + (b"3e8\r\n" + b"x" * 1000 + b"\r\n") * 2000)
        self.assertTrue(caller.received.startswith(b"HTTP/1.1 413 "))
        self.assertEqual(server.requests, [])

    async def test_body_at_the_limit(self):
        """Guards against refusing a body whose length is exactly the limit."""
        harness, (server,) = await self.harness(limits=callerhttp.Limits(body_bytes_max=200_000))
        response = await harness.call(method="POST", body=b"x" * 200_000)
        self.assertEqual(response.status, 200)
        self.assertEqual(len(server.requests[0].body), 200_000)

    async def test_headers_above_the_limits(self):
        """Guards against unbounded memory for headers."""
        harness, (server,) = await self.harness()
        large = (
            b"X: " + b"a" * 40_000 + b"\r\n",
            b"X: 1\r\n" * 200,
            b"X: a\r\n" + b" folded\r\n" * 5000,
        )
        for headers in large:
            data = b"GET /atlas/browse/k1 HTTP/1.1\r\nHost: h\r\n" + headers + b"\r\n"
            caller = await self.send_raw(harness, data)
            self.assertTrue(caller.received.startswith(b"HTTP/1.1 400 "), caller.received[:60])
        caller = await self.send_raw(harness, b"GET /" + b"a" * 40_000 + b" HTTP/1.1\r\n\r\n")
        self.assertFalse(caller.received.startswith(b"HTTP/1.1 2"))
        self.assertEqual(server.requests, [])

    async def test_endless_header_line(self):
        """Guards against unbounded memory for a line that never ends."""
        harness, _ = await self.harness()
        await self.send_raw(harness, b"GET /atlas/browse/k1 HTTP/1.1\r\nX: " + b"a" * 1_000_000)


class HeaderTest(FrontEndTestCase):
    async def test_own_and_hop_by_hop_headers_are_removed(self):
        """Guards against a caller that forges an epoch or a key."""
        harness, (server,) = await self.harness()
        await self.send_raw(
            harness,
            b"GET /atlas/browse/k1 HTTP/1.1\r\nHost: h\r\nX-Celerystack-Epoch: 99\r\n"
            b"x-celerystack-key: other\r\nX-CELERYSTACK-Anything: 1\r\nKeep-Alive: 5\r\n"
            b"Connection: close, X-Private\r\nX-Private: 1\r\nTE: trailers\r\nUpgrade: h2c\r\n"
            b"Proxy-Authorization: p\r\nAccept: a\r\nAccept: b\r\nX-Request-Id: r7\r\n"
            b"X-Deadline-Ms: 500\r\n\r\n",
        )
        request = server.requests[0]
        self.assertEqual(request.header(b"X-Celerystack-Epoch"), b"7")
        self.assertEqual(request.head.lower().count(b"x-celerystack-epoch"), 1)
        self.assertEqual(request.header(b"X-Celerystack-Key"), b"k1")
        self.assertEqual(request.header(b"X-Celerystack-Request-Id"), b"r7")
        self.assertLessEqual(int(request.header(b"X-Celerystack-Deadline-Ms")), 500)
        for name in (
            b"X-Celerystack-Anything",
            b"Keep-Alive",
            b"X-Private",
            b"TE",
            b"Upgrade",
            b"Proxy-Authorization",
            b"X-Deadline-Ms",
        ):
            self.assertIsNone(request.header(name), name)
        self.assertIn(b"accept: a\r\naccept: b", request.head.lower())

    async def test_answer_headers(self):
        """Guards against lost repeated headers, and against a server that sets the outcome."""
        harness, (server,) = await self.harness()
        server.script_answers(
            backend_fakes.answer(
                b"x",
                status=b"404 Not Found",
                headers=b"Set-Cookie: a=1\r\nSet-Cookie: b=2\r\nX-Celerystack-Outcome: not-run\r\n"
                b"Keep-Alive: 5\r\n",
            )
        )
        response = await harness.call()
        self.assert_outcome(response, 404, b"answered")
        cookies = [value for name, value in response.headers if name == b"set-cookie"]
        self.assertEqual(cookies, [b"a=1", b"b=2"])
        self.assertIsNone(response.header(b"keep-alive"))

    async def test_head_and_bodyless_answers(self):
        """Guards against a body, or a wrong length, where the caller expects none."""
        harness, (server,) = await self.harness()
        server.script_answers(
            b"HTTP/1.1 200 OK\r\nContent-Length: 123\r\n\r\n",
            b"HTTP/1.1 204 No Content\r\n\r\n",
            b"HTTP/1.1 304 Not Modified\r\nContent-Length: 55\r\nETag: x\r\n\r\n",
            backend_fakes.answer(b"last"),
        )
        response = await harness.call(method="HEAD")
        self.assertEqual(response.header(b"content-length"), b"123")
        self.assert_outcome(await harness.call(), 204, b"answered")
        self.assert_outcome(await harness.call(), 304, b"answered")
        self.assertEqual((await harness.call()).body, b"last")

    async def test_bad_values(self):
        """Guards against accepting ambiguous or invalid deadlines and request ids."""
        harness, (server,) = await self.harness()
        bad = (
            ((b"X-Deadline-Ms", b"abc"),),
            ((b"X-Deadline-Ms", b"0"),),
            ((b"X-Deadline-Ms", b"-5"),),
            ((b"X-Deadline-Ms", b"5"), (b"X-Deadline-Ms", b"6")),
            ((b"X-Request-Id", b""),),
            ((b"X-Request-Id", b"a"), (b"X-Request-Id", b"b")),
            ((b"X-Request-Id", b"a" * 500),),
        )
        for headers in bad:
            self.assert_outcome(await harness.call(headers=headers), 400, b"not-run")
        self.assertEqual(server.requests, [])

    async def test_unknown_service_and_missing_key(self):
        """Guards against a missing outcome header on requests that are not forwarded."""
        harness, (server,) = await self.harness()
        self.assert_outcome(await harness.call("/nowhere/x"), 404, b"not-run")
        self.assert_outcome(await harness.call("/atlas/browse/"), 400, b"not-run")
        self.assertEqual(server.requests, [])


class DisconnectTest(FrontEndTestCase):
    async def test_caller_disconnect_cancels_the_exchange(self):
        """Guards against an exchange that continues after the caller has disconnected."""
        harness, (server,) = await self.harness()
        server.handler = lambda request: None
        caller = await self.send_raw(harness, VALID_REQUEST, until_closed=False)
        await backend_fakes.wait_until(until=lambda: server.requests)
        caller.transport.abortConnection()
        await backend_fakes.wait_until(until=lambda: not server.connections)
        self.assertEqual(harness.forwarder.in_flight("a0"), ())
        self.assertEqual(harness.chooser.running, 0)

    async def test_incomplete_request(self):
        """Guards against forwarding a request whose body was cut off."""
        harness, (server,) = await self.harness()
        for framing in (
            b"Content-Length: 9\r\n\r\nabc",
            b"Transfer-Encoding: chunked\r\n\r\n3\r\nab",
        ):
            head = b"POST /atlas/browse/k1 HTTP/1.1\r\nHost: h\r\n"
            caller = await self.send_raw(harness, head + framing, until_closed=False)
            await backend_fakes.sleep(0.05)
            caller.transport.loseConnection()
            await backend_fakes.wait_until(until=lambda caller=caller: caller.closed)
        await backend_fakes.sleep(0.05)
        self.assertEqual((server.requests, harness.budget.requests), ([], 0))

    async def test_disconnect_during_a_stream(self):
        """Guards against reading a large answer after the caller has disconnected."""
        harness, (server,) = await self.harness()
        server.script_answers(backend_fakes.answer(b"x" * 50_000_000))
        caller = await self.send_raw(harness, VALID_REQUEST, until_closed=False)
        await backend_fakes.wait_until(until=lambda: caller.received)
        caller.transport.abortConnection()
        await backend_fakes.wait_until(until=lambda: not server.connections)
        self.assertEqual(harness.forwarder.in_flight("a0"), ())

    async def test_truncated_stream_aborts_the_caller(self):
        """Guards against a partial answer that the caller takes for complete."""
        harness, (server,) = await self.harness()
        framings = (
            b"Content-Length: 300000\r\n\r\n" + b"x" * 200_000,
            b"Transfer-Encoding: chunked\r\n\r\n30d40\r\n" + b"x" * 200_000 + b"\r\n",
        )
        for framing in framings:
            server.script_answers(
                lambda r, f=framing: (
                    r.connection.send(b"HTTP/1.1 200 OK\r\n" + f),
                    r.connection.close(),
                )
            )
            caller = await self.send_raw(harness, VALID_REQUEST)
            self.assertFalse(caller.clean)
            self.assertFalse(caller.received.endswith(b"0\r\n\r\n"))
            self.assertIn(b"x" * 1000, caller.received)

    async def test_slow_caller_holds_back_the_server(self):
        """Guards against buffering a large answer for a caller that does not read."""
        harness, (server,) = await self.harness()
        total = 30_000_000
        server.script_answers(backend_fakes.answer(b"x" * total))
        caller = await self.send_raw(harness, b"", until_closed=False)
        caller.transport.pauseProducing()
        caller.transport.write(VALID_REQUEST[:-2] + b"X-Deadline-Ms: 20000\r\n\r\n")
        await backend_fakes.wait_until(until=lambda: server.requests)
        await backend_fakes.sleep(0.5)
        unsent = sum(map(len, server.connections[0].transport._tempDataBuffer)) + len(
            server.connections[0].transport.dataBuffer
        )
        self.assertGreater(unsent, total // 2)
        caller.transport.resumeProducing()
        await backend_fakes.wait_until(until=lambda: len(caller.received) > total, timeout_s=10)

    async def test_pipelined_requests_are_answered_in_order(self):
        """Guards against answers in the wrong order on one caller connection."""
        harness, (server,) = await self.harness()

        def handle(request):
            delay_s = 0.05 if b"/slow" in request.line else 0.0
            reactor.callLater(delay_s, request.connection.send, backend_fakes.answer(request.line))

        server.handler = handle
        caller = await self.send_raw(
            harness,
            b"GET /atlas/browse/k1/slow HTTP/1.1\r\nHost: h\r\n\r\n"
            b"GET /atlas/browse/k1/fast HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n",
        )
        self.assertLess(caller.received.index(b"/slow"), caller.received.index(b"/fast"))


class DrainTest(FrontEndTestCase):
    async def test_in_flight_requests_finish(self):
        """Guards against a shutdown that interrupts a request in flight."""
        harness, (server,) = await self.harness()
        held = []
        server.handler = held.append
        caller = await self.send_raw(harness, VALID_REQUEST, until_closed=False)
        await backend_fakes.wait_until(until=lambda: held)
        await harness.front.stop_accepting()
        drained = harness.front.drained()
        await backend_fakes.sleep(0.1)
        self.assertFalse(drained.called)
        held[0].connection.send(backend_fakes.answer(b"finished"))
        await drained
        await backend_fakes.wait_until(until=lambda: caller.closed)
        self.assertTrue(caller.received.endswith(b"finished"))
        self.assertIn(b"connection: close", caller.received.lower())

    async def test_new_connections_are_refused(self):
        """Guards against accepting connections while draining."""
        harness, _ = await self.harness()
        await harness.front.stop_accepting()
        try:
            await backend_fakes.connect_raw(harness.port)
        except Exception:
            return
        self.fail("the connection was accepted")

    async def test_request_on_an_idle_connection_is_answered(self):
        """Guards against dropping a request that was already sent when draining began."""
        harness, _ = await self.harness()
        caller = await self.send_raw(harness, VALID_REQUEST, until_closed=False)
        await backend_fakes.wait_until(until=lambda: caller.received.endswith(b"ok"))
        await harness.front.stop_accepting()
        drained = harness.front.drained()
        caller.transport.write(VALID_REQUEST)
        await backend_fakes.wait_until(until=lambda: caller.closed)
        self.assertEqual(caller.received.count(b"HTTP/1.1 200"), 2)
        await drained

    async def test_partially_received_request_is_finished(self):
        """Guards against a drain that ends while a request is being received."""
        harness, _ = await self.harness()
        head = b"POST /atlas/browse/k1 HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\nab"
        caller = await self.send_raw(harness, head, until_closed=False)
        await backend_fakes.sleep(0.05)
        await harness.front.stop_accepting()
        drained = harness.front.drained()
        await backend_fakes.sleep(callerhttp.DRAIN_IDLE_S + 0.2)
        self.assertFalse(drained.called)
        caller.transport.write(b"cd")
        await drained
        await backend_fakes.wait_until(until=lambda: caller.closed)
        self.assertIn(b"HTTP/1.1 200", caller.received)

    async def test_idle_connections_do_not_block(self):
        """Guards against a shutdown that waits for callers to close idle connections."""
        harness, _ = await self.harness()
        caller = await self.send_raw(harness, VALID_REQUEST, until_closed=False)
        await backend_fakes.wait_until(until=lambda: caller.received.endswith(b"ok"))
        await harness.front.stop_accepting()
        started = time.monotonic()
        await harness.front.drained()
        self.assertLess(time.monotonic() - started, 2.0)
        await backend_fakes.wait_until(until=lambda: caller.closed)
