"""Backend client against scripted servers: outcomes, connection limits and matching responses."""

from __future__ import annotations

import time

from twisted.internet import reactor
from twisted.trial import unittest

from celerystack import errors
from celerystack.backend import client, http
from standins import scripted_backend as fakes

GET = http.HttpRequest(method=b"GET", target=b"/x", headers=((b"Host", b"h"),))


def deadline_in(seconds: float = 3.0) -> float:
    return time.monotonic() + seconds


def post(body: bytes) -> http.HttpRequest:
    return http.HttpRequest(method=b"POST", target=b"/x", headers=((b"Host", b"h"),), body=body)


class ExchangeObserver:
    """Records the checks and the connection outcomes that the client reports."""

    def __init__(self, permitted: bool = True):
        self.permitted = permitted
        self.checks = 0
        self.connection_outcomes = []

    def may_write(self):
        self.checks += 1
        return self.permitted

    def on_end(self, connection_outcome):
        self.connection_outcomes.append(connection_outcome.value)


class ClientTestCase(unittest.TestCase):
    timeout = 20

    def server(self, *scripts) -> fakes.FakeServer:
        server = fakes.FakeServer()
        if scripts:
            server.script_answers(*scripts)
        self.addCleanup(server.stop)
        return server

    def pool(self, server, *, limit=4, **options) -> client.ServerPool:
        address = server if isinstance(server, str) else server.address
        pool = client.ServerPool(reactor, address=address, limit=limit, **options)
        self.addCleanup(pool.close)
        return pool

    async def expect_failure(self, sent, kind):
        try:
            response = await sent
        except kind as error:
            return error
        raise AssertionError(f"{response!r} instead of {kind.__name__}")

    async def expect_not_run(self, sent):
        return await self.expect_failure(sent, errors.NotRunError)

    async def expect_outcome_unknown(self, sent):
        return await self.expect_failure(sent, errors.OutcomeUnknownError)


class WholeAnswerTest(ClientTestCase):
    async def test_lengths(self):
        """Guards against responses cut off or joined, in each framing that delimits the body."""
        chunked = (
            b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n1\r\nc\r\n0\r\n\r\n"
        )
        early = b"HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n"
        none = b"HTTP/1.1 204 No Content\r\n\r\n"
        server = self.server(fakes.answer(b"abc"), chunked, early + fakes.answer(b"abc"), none)
        pool = self.pool(server)
        bodies = [(await pool.exchange(GET, deadline=deadline_in())).body for _ in range(4)]
        self.assertEqual(bodies, [b"abc", b"abc", b"abc", b""])
        self.assertEqual(server.accepted, 1)

    async def test_head(self):
        """Guards against waiting for a body after the response to a HEAD request."""
        server = self.server(b"HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\n")
        pool = self.pool(server)
        head = http.HttpRequest(method=b"HEAD", target=b"/", headers=((b"Host", b"h"),))
        for _ in range(2):
            response = await pool.exchange(head, deadline=deadline_in())
            self.assertEqual(response.header(b"content-length"), b"10")
        self.assertEqual(server.accepted, 1)

    async def test_byte_by_byte(self):
        """Guards against a parser that depends on how the response is split into segments."""
        server = self.server()

        def send_bytewise(request):
            data = fakes.answer(b"slow")
            for index in range(len(data)):
                reactor.callLater(index * 0.001, request.connection.send, data[index : index + 1])

        server.handler = send_bytewise
        response = await self.pool(server).exchange(GET, deadline=deadline_in())
        self.assertEqual(response.body, b"slow")

    async def test_connection_close_is_honoured(self):
        """Guards against a second request on a connection that the server will close."""
        server = self.server(fakes.answer(headers=b"Connection: close\r\n"))
        pool = self.pool(server)
        for _ in range(3):
            await pool.exchange(GET, deadline=deadline_in())
        self.assertEqual(server.accepted, 3)

    async def test_bound_and_one_exchange_per_connection(self):
        """Guards against pipelined requests and against more connections than the limit."""
        running = set()
        server = self.server()

        def handle(request):
            self.assertNotIn(request.connection, running)
            running.add(request.connection)

            def reply():
                running.discard(request.connection)
                request.connection.send(fakes.answer(request.line))

            reactor.callLater(0.005, reply)

        server.handler = handle
        pool = self.pool(server, limit=3)
        requests = [
            http.HttpRequest(method=b"GET", target=b"/%d" % n, headers=((b"Host", b"h"),))
            for n in range(30)
        ]
        sent = [pool.exchange(request, deadline=deadline_in()) for request in requests]
        for request, deferred in zip(requests, sent, strict=True):
            self.assertIn(b" %s " % request.target, (await deferred).body)
        self.assertLessEqual(server.accepted, 3)

    async def test_answer_above_bound(self):
        """Guards against unbounded memory use for a response that is buffered as a whole."""
        server = self.server(fakes.answer(b"x" * 5000))
        pool = self.pool(server)
        await self.expect_outcome_unknown(
            pool.exchange(GET, deadline=deadline_in(), response_bytes_max=4999)
        )
        await fakes.wait_until(until=lambda: not server.connections)

    async def test_large_request_body(self):
        """Guards against lost bytes when a request body does not fit into the socket buffer."""
        server = self.server(lambda r: r.connection.send(fakes.answer(b"%d" % len(r.body))))
        pool = self.pool(server)
        for _ in range(2):
            response = await pool.exchange(post(b"z" * 6_000_000), deadline=deadline_in(8))
            self.assertEqual(response.body, b"6000000")
        self.assertEqual(server.accepted, 1)

    async def test_early_answer_to_large_body_closes(self):
        """Guards against a server that reads the rest of an unfinished body as the next request."""
        server = self.server()

        def on_connect(connection):
            connection.transport.pauseProducing()
            connection.send(fakes.answer(b"early"))

        server.on_connect = on_connect
        pool = self.pool(server)
        response = await pool.exchange(post(b"z" * 20_000_000), deadline=deadline_in())
        self.assertEqual(response.body, b"early")
        self.assertEqual(pool.idle_count, 0)


class NotRunTest(ClientTestCase):
    async def test_refused(self):
        """Guards against an unknown outcome although the server refused the connection."""
        server = self.server()
        await server.stop_listening()
        await self.expect_not_run(self.pool(server).exchange(post(b""), deadline=deadline_in()))

    async def test_refused_fails_all_waiting(self):
        """Guards against exchanges that wait forever after a failed connection attempt."""
        server = self.server()
        await server.stop_listening()
        pool = self.pool(server, limit=2)
        sent = [pool.exchange(post(b""), deadline=deadline_in()) for _ in range(7)]
        for deferred in sent:
            await self.expect_not_run(deferred)
        self.assertEqual(pool.open_count, 0)

    async def test_deadline_while_waiting_for_a_connection(self):
        """Guards against an unknown outcome for a request that was never written."""
        server = self.server(lambda r: None)
        pool = self.pool(server, limit=1)
        first = pool.exchange(GET, deadline=deadline_in())
        await self.expect_not_run(pool.exchange(post(b""), deadline=deadline_in(0.05)))
        self.assertEqual(len(server.requests), 1)
        first.addErrback(lambda _: None)
        first.cancel()

    async def test_deadline_already_passed(self):
        """Guards against opening a connection for a request whose deadline has passed."""
        server = self.server()
        await self.expect_not_run(self.pool(server).exchange(GET, deadline=deadline_in(-1)))
        self.assertEqual(server.accepted, 0)

    async def test_permission_is_checked_at_the_write(self):
        """Guards against a write after the permission to send was withdrawn."""
        server = self.server()
        pool = self.pool(server)
        observer = ExchangeObserver(permitted=False)
        await self.expect_not_run(
            pool.exchange(post(b"x"), deadline=deadline_in(), observer=observer)
        )
        self.assertEqual((observer.checks, observer.connection_outcomes), (1, ["intact"]))
        await fakes.sleep(0.02)
        self.assertEqual(server.bytes_received, 0)
        await pool.exchange(GET, deadline=deadline_in())
        self.assertEqual(server.accepted, 1)

    async def test_check_before_the_write_fails(self):
        """Guards against a leaked connection and a pending exchange when the check raises."""
        server = self.server()
        pool = self.pool(server)
        observer = ExchangeObserver()
        observer.may_write = lambda: 1 / 0
        await self.expect_not_run(
            pool.exchange(post(b"x"), deadline=deadline_in(), observer=observer)
        )
        self.assertEqual(observer.connection_outcomes, ["intact"])
        await pool.exchange(GET, deadline=deadline_in())
        self.assertEqual((server.accepted, len(server.requests)), (1, 1))

    async def test_unencodable_request(self):
        """Guards against header injection through a line break in a header value."""
        server = self.server()
        bad = http.HttpRequest(
            method=b"GET", target=b"/", headers=((b"Host", b"h"), (b"X", b"a\r\nY: b"))
        )
        await self.expect_not_run(self.pool(server).exchange(bad, deadline=deadline_in()))
        self.assertEqual(server.bytes_received, 0)


class UnknownTest(ClientTestCase):
    async def test_stalled_answer(self):
        """Guards against waiting past the deadline, and against keeping the connection open."""
        server = self.server(lambda r: None)
        observer = ExchangeObserver()
        started = time.monotonic()
        sent = self.pool(server).exchange(GET, deadline=deadline_in(0.1), observer=observer)
        await self.expect_outcome_unknown(sent)
        self.assertLess(time.monotonic() - started, 1.0)
        self.assertEqual(observer.connection_outcomes, ["intact"])
        await fakes.wait_until(until=lambda: not server.connections)

    async def test_late_answer_never_reaches_a_later_exchange(self):
        """Guards against reusing a connection on which a late response may still arrive."""
        received = []
        server = self.server(received.append, lambda r: r.connection.send(fakes.answer(b"second")))
        pool = self.pool(server, limit=1)
        first = pool.exchange(GET, deadline=deadline_in(0.5))
        await fakes.wait_until(until=lambda: received)
        await self.expect_outcome_unknown(first)
        second = pool.exchange(GET, deadline=deadline_in())
        received[0].connection.send(fakes.answer(b"late"))
        self.assertEqual((await second).body, b"second")

    async def test_cancel_closes_the_connection(self):
        """Guards against a server that continues to work for a caller that has disconnected."""
        server = self.server(lambda r: None)
        pool = self.pool(server)
        sent = pool.exchange(GET, deadline=deadline_in())
        ended = []
        sent.addBoth(ended.append)
        await fakes.wait_until(until=lambda: server.requests)
        sent.cancel()
        self.assertEqual(len(ended), 1)
        await fakes.wait_until(until=lambda: not server.connections)
        self.assertEqual(pool.open_count, 0)

    async def test_cancel_before_connected_sends_nothing(self):
        """Guards against writing a cancelled request when its connection opens."""
        server = self.server()
        pool = self.pool(server)
        sent = pool.exchange(post(b"x"), deadline=deadline_in())
        sent.addErrback(lambda _: None)
        sent.cancel()
        await fakes.wait_until(until=lambda: pool.idle_count == 1)
        self.assertEqual(server.bytes_received, 0)

    async def test_duplicate_answer_closes_the_connection(self):
        """Guards against the second of two responses reaching the next exchange."""
        server = self.server(fakes.answer(b"1") + fakes.answer(b"1 again"), fakes.answer(b"2"))
        pool = self.pool(server, limit=1)
        self.assertEqual((await pool.exchange(GET, deadline=deadline_in())).body, b"1")
        self.assertEqual((await pool.exchange(GET, deadline=deadline_in())).body, b"2")
        self.assertEqual(server.accepted, 2)

    async def test_lost_before_any_answer_byte(self):
        """Guards against reporting a request as not run although the server has read it."""
        server = self.server(lambda r: r.connection.abort())
        observer = ExchangeObserver()
        sent = self.pool(server).exchange(post(b"x"), deadline=deadline_in(), observer=observer)
        error = await self.expect_outcome_unknown(sent)
        self.assertNotIsInstance(error, errors.TruncatedAnswerError)
        self.assertEqual(observer.connection_outcomes, ["broken"])

    async def test_truncated(self):
        """Guards against delivering a partial response as a complete one."""
        head = b"HTTP/1.1 200 OK\r\n"
        partial = (
            head + b"Content-Length: 10\r\n\r\nshort",
            head + b"Transfer-Encoding: chunked\r\n\r\n5\r\nabcde\r\n",
            head + b"Transfer-Encoding: chunked\r\n\r\n5\r\nabc",
            head + b"\r\nno length",
        )
        for data in partial:
            server = self.server(
                lambda r, data=data: (r.connection.send(data), r.connection.close())
            )
            sent = self.pool(server).exchange(GET, deadline=deadline_in())
            await self.expect_failure(sent, errors.TruncatedAnswerError)

    async def test_malformed(self):
        """Guards against accepting responses that two parsers could read differently."""
        broken = (
            b"garbage\r\n\r\n",
            b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\nContent-Length: 3\r\n\r\nabc",
            b"HTTP/1.1 200 OK\r\nContent-Length: x\r\n\r\n",
            b"HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip\r\n\r\n",
            b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n",
            b"HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\nConnection: upgrade\r\n\r\n",
            b"HTTP/1.1 200 OK\r\nX: " + b"a" * 200_000,
        )
        for data in broken:
            server = self.server(data)
            await self.expect_outcome_unknown(
                self.pool(server).exchange(GET, deadline=deadline_in())
            )
            await fakes.wait_until(until=lambda server=server: not server.connections)

    async def test_takeover_closes_connections(self):
        """Guards against requests that stay in flight at a server that was taken over."""
        server = self.server(lambda r: None)
        pool = self.pool(server)
        observer = ExchangeObserver()
        sent = pool.exchange(post(b""), deadline=deadline_in(), observer=observer)
        await fakes.wait_until(until=lambda: server.requests)
        pool.close_connections("the server was taken over")
        await self.expect_outcome_unknown(sent)
        self.assertEqual(observer.connection_outcomes, ["intact"])
        await fakes.wait_until(until=lambda: not server.connections)


class PoolTest(ClientTestCase):
    async def test_shrink_closes_idle_connections(self):
        """Guards against idle connections that stay open above a lowered limit."""
        server = self.server()
        pool = self.pool(server, limit=4)
        for deferred in [pool.exchange(GET, deadline=deadline_in()) for _ in range(4)]:
            await deferred
        await fakes.wait_until(until=lambda: pool.idle_count == 4)
        pool.set_limit(1)
        await fakes.wait_until(until=lambda: len(server.connections) == 1)

    async def test_shrink_closes_busy_connections_when_they_finish(self):
        """Guards against busy connections that stay open above a lowered limit when they finish."""
        server = self.server(lambda r: reactor.callLater(0.05, r.connection.send, fakes.answer()))
        pool = self.pool(server, limit=3)
        sent = [pool.exchange(GET, deadline=deadline_in()) for _ in range(3)]
        await fakes.wait_until(until=lambda: len(server.requests) == 3)
        pool.set_limit(1)
        for deferred in sent:
            self.assertEqual((await deferred).body, b"ok")
        await fakes.wait_until(until=lambda: len(server.connections) == 1)

    async def test_idle_connections_expire(self):
        """Guards against idle connections that stay open until the server's keep-alive timeout."""
        server = self.server()
        pool = self.pool(server, idle_timeout_s=0.05)
        await pool.exchange(GET, deadline=deadline_in())
        await fakes.wait_until(until=lambda: not server.connections)
        self.assertEqual(pool.open_count, 0)

    async def test_close_refuses_and_closes(self):
        """Guards against exchanges and open connections after the pool was closed."""
        server = self.server()
        pool = self.pool(server)
        await pool.exchange(GET, deadline=deadline_in())
        pool.close()
        await self.expect_not_run(pool.exchange(GET, deadline=deadline_in()))
        await fakes.wait_until(until=lambda: not server.connections)
