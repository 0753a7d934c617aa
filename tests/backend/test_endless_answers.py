"""Servers whose responses do not end: heads, skipped responses, chunk framing and bodies."""

from __future__ import annotations

import tracemalloc

from celerystack.backend import client
from celerystack.limits import byte_budget
from standins import scripted_backend as fakes
from tests.backend import test_client

CHUNKED = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
PIECE_BYTES = 16 * 1024
ENDLESS_BYTES = 40 * 1024 * 1024
"""Far more than any bound; a client that reads all of it has no bound."""


class EndlessAnswerTest(test_client.ClientTestCase):
    def endless(self, start, piece):
        """Return a server that sends ``start`` and then ``piece`` until the connection closes."""
        server = self.server()
        self.sent_bytes = 0

        def send_more(connection):
            if connection not in server.connections or self.sent_bytes >= ENDLESS_BYTES:
                return
            connection.send(piece)
            self.sent_bytes += len(piece)
            test_client.reactor.callLater(0, send_more, connection)

        def handle(request):
            request.connection.send(start)
            send_more(request.connection)

        server.handler = handle
        return server

    async def expect_close(self, server, pool=None, **options):
        pool = pool or self.pool(server)
        error = await self.expect_outcome_unknown(
            pool.exchange(test_client.GET, deadline=test_client.deadline_in(15), **options)
        )
        self.assertNotIn("deadline", error.reason)
        await fakes.wait_until(until=lambda: not server.connections)
        self.assertLess(self.sent_bytes, ENDLESS_BYTES)

    async def test_head(self):
        """Guards against a header that never ends."""
        await self.expect_close(self.endless(b"HTTP/1.1 200 OK\r\nX: ", b"x" * PIECE_BYTES))

    async def test_bytes_that_are_no_answer(self):
        """Guards against reading bytes without a line end until the deadline."""
        await self.expect_close(self.endless(b"", b"\x00" * PIECE_BYTES))

    async def test_informational_responses(self):
        """Guards against interim responses without end."""
        piece = b"HTTP/1.1 103 Early Hints\r\nX: y\r\n\r\n" * 500
        await self.expect_close(self.endless(b"", piece))

    async def test_chunk_extensions(self):
        """Guards against chunks whose framing is far longer than their data."""
        piece = (b"1;" + b"x" * 1000 + b"\r\na\r\n") * 16
        await self.expect_close(self.endless(CHUNKED, piece))

    async def test_trailers(self):
        """Guards against trailers without end."""
        await self.expect_close(self.endless(CHUNKED + b"0\r\n", b"X: y\r\n" * 2000))

    async def test_skipped_body(self):
        """Guards against reading a response to another request without end."""
        piece = b"4000\r\n" + b"x" * 0x4000 + b"\r\n"
        await self.expect_close(self.endless(CHUNKED, piece), matches_request=lambda _: False)

    async def test_skipped_responses(self):
        """Guards against responses to other requests without end."""
        piece = fakes.answer(b"x" * 100) * 100
        await self.expect_close(self.endless(b"", piece), matches_request=lambda _: False)

    async def test_body(self):
        """Guards against a body that is buffered without end."""
        piece = b"4000\r\n" + b"x" * 0x4000 + b"\r\n"
        await self.expect_close(self.endless(CHUNKED, piece))

    async def test_bodies_of_all_servers_together(self):
        """Guards against several large bodies at once that use up the memory of the VM."""
        budget = byte_budget.ByteBudget(100_000)
        piece = b"4000\r\n" + b"x" * 0x4000 + b"\r\n"
        server = self.endless(CHUNKED, piece)
        pool = self.pool(server, budget=budget)
        await self.expect_close(server, pool, response_bytes_max=ENDLESS_BYTES)
        self.assertLess(self.sent_bytes, 4_000_000)
        self.assertEqual(0, budget.used_bytes)

    async def test_small_chunks_of_an_honest_body_are_read(self):
        """Guards against a bound on the framing that rejects honest small chunks."""
        body = b"1\r\na\r\n" * 100_000
        server = self.server(CHUNKED + body + b"0\r\n\r\n")
        pool = self.pool(server)
        response = await pool.exchange(test_client.GET, deadline=test_client.deadline_in(15))
        self.assertEqual(100_000, len(response.body))

    async def test_small_chunks_take_no_more_memory_than_the_budget_counts(self):
        """Guards against short chunks that each take the memory of an object of their own."""
        chunks = 50_000
        server = self.server(CHUNKED + b"2\r\nab\r\n" * chunks)
        budget = byte_budget.ByteBudget(client.RESPONSE_BYTES_MAX)
        pool = self.pool(server, budget=budget)
        tracemalloc.start()
        self.addCleanup(tracemalloc.stop)
        receiving = pool.exchange(test_client.GET, deadline=test_client.deadline_in(15))
        await fakes.wait_until(until=lambda: budget.used_bytes == 2 * chunks, timeout_s=15)
        held_bytes, _ = tracemalloc.get_traced_memory()
        receiving.addErrback(lambda _: None)
        receiving.cancel()
        self.assertLess(held_bytes, 10 * 2 * chunks)

    async def test_budget_is_returned_after_each_answer(self):
        """Guards against a budget that shrinks with every answer."""
        budget = byte_budget.ByteBudget(client.RESPONSE_BYTES_MAX)
        server = self.server(fakes.answer(b"x" * 5000), fakes.answer(b"y" * 10)[:-5])
        pool = self.pool(server, budget=budget)
        await pool.exchange(test_client.GET, deadline=test_client.deadline_in())
        await self.expect_outcome_unknown(
            pool.exchange(test_client.GET, deadline=test_client.deadline_in(0.2))
        )
        self.assertEqual(0, budget.used_bytes)
