"""Streams of large responses: completeness, backpressure, cancellation."""

from __future__ import annotations

import time

from twisted.internet import interfaces
from zope.interface import implementer

from celerystack import errors
from celerystack.backend import exchange
from standins import scripted_backend as fakes
from tests.backend import test_client

MIB = 1 << 20


@implementer(interfaces.IConsumer)
class Sink:
    """A consumer that can pause its producer."""

    def __init__(self, *, pause_after: int | None = None):
        self.size = 0
        self.parts = []
        self.producer = None
        self.pause_after = pause_after

    def registerProducer(self, producer, streaming):  # noqa: N802
        self.producer = producer

    def unregisterProducer(self):  # noqa: N802
        self.producer = None

    def write(self, data):
        self.size += len(data)
        self.parts.append(data)
        if self.pause_after is not None and self.size >= self.pause_after:
            self.producer.pauseProducing()


class StreamingTest(test_client.ClientTestCase):
    async def stream(self, server, *, seconds=5.0):
        pool = self.pool(server)
        self.observer = test_client.ExchangeObserver()
        response = await pool.exchange_streaming(
            test_client.GET, deadline=test_client.deadline_in(seconds), observer=self.observer
        )
        self.assertIsInstance(response, exchange.StreamedResponse)
        return pool, response

    async def test_small_answer_is_whole(self):
        """Guards against streaming a small response, whose request could then not be retried."""
        server = self.server(fakes.answer(b"x" * 65536))
        response = await self.pool(server).exchange_streaming(
            test_client.GET, deadline=test_client.deadline_in()
        )
        self.assertEqual(len(response.body), 65536)

    async def test_complete_and_connection_kept(self):
        """Guards against lost, repeated or reordered parts of a streamed body."""
        body = b"".join(b"%08d" % n for n in range(MIB // 8))
        server = self.server(fakes.answer(body))
        pool, response = await self.stream(server)
        sink = Sink()
        await response.deliver(sink)
        self.assertEqual(b"".join(sink.parts), body)
        self.assertIsNone(sink.producer)
        self.assertEqual(pool.idle_count, 1)
        self.assertEqual(self.observer.connection_outcomes, ["intact"])

    async def test_complete_before_delivery(self):
        """Guards against a stream that never completes if its end arrives before the consumer."""
        server = self.server(fakes.answer(b"x" * 65537))
        _, response = await self.stream(server)
        await fakes.sleep(0.05)
        sink = Sink()
        await response.deliver(sink)
        self.assertEqual(sink.size, 65537)

    async def test_back_pressure(self):
        """Guards against buffering a large response for a caller that reads slowly."""
        total = 64 * MIB
        server = self.server(fakes.answer(b"x" * total))
        _, response = await self.stream(server)
        sink = Sink(pause_after=MIB)
        done = response.deliver(sink)
        await fakes.sleep(0.3)
        self.assertLess(sink.size, 2 * MIB)
        sink.pause_after = None
        sink.producer.resumeProducing()
        await done
        self.assertEqual(sink.size, total)

    async def test_not_read_before_delivery(self):
        """Guards against buffering a large response before `deliver` is called."""
        server = self.server(fakes.answer(b"x" * (64 * MIB)))
        _, response = await self.stream(server)
        await fakes.sleep(0.2)
        sink = Sink()
        done = response.deliver(sink)
        self.assertLess(sink.size, MIB)
        await done

    async def test_truncated(self):
        """Guards against a stream that ends early but is reported as complete."""
        for framing in (b"Content-Length: 9000000\r\n\r\n", b"Transfer-Encoding: chunked\r\n\r\n"):
            data = b"HTTP/1.1 200 OK\r\n" + framing
            part = b"x" * 200_000
            body = part if framing.startswith(b"Content") else b"30d40\r\n" + part + b"\r\n"
            server = self.server(
                lambda r, d=data + body: (r.connection.send(d), r.connection.close())
            )
            _, response = await self.stream(server)
            await self.expect_failure(response.deliver(Sink()), errors.TruncatedAnswerError)
            self.assertEqual(self.observer.connection_outcomes, ["broken"])

    async def test_deadline(self):
        """Guards against a stream that stalls past the deadline."""
        data = fakes.answer(b"x" * 300_000)[:-1000]
        server = self.server(data)
        _, response = await self.stream(server, seconds=0.2)
        started = time.monotonic()
        await self.expect_outcome_unknown(response.deliver(Sink()))
        self.assertLess(time.monotonic() - started, 1.0)
        await fakes.wait_until(until=lambda: not server.connections)

    async def test_consumer_gone(self):
        """Guards against a server that continues to send to a caller that has disconnected."""
        server = self.server(fakes.answer(b"x" * (64 * MIB)))
        _, response = await self.stream(server)
        done = response.deliver(Sink(pause_after=MIB))
        response.stopProducing()
        await self.expect_outcome_unknown(done)
        await fakes.wait_until(until=lambda: not server.connections)

    async def test_abandoned(self):
        """Guards against keeping a connection open for a response that will not be read."""
        server = self.server(fakes.answer(b"x" * (64 * MIB)))
        _, response = await self.stream(server)
        response.abandon()
        await fakes.wait_until(until=lambda: not server.connections)
