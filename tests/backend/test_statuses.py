"""Statuses that no server may answer with, on both ways to receive a response."""

from __future__ import annotations

from twisted.internet import reactor
from twisted.trial import unittest

from celerystack import errors
from celerystack.backend import client, http
from standins import scripted_backend

INVALID = (
    b"000 Nothing",
    b"000",
    b"001 One",
    b"042 Answer",
    b"099 Low",
    b"600 High",
    b"700 High",
    b"999 High",
    b"20 Short",
    b"2000 Long",
    b"-20 Negative",
    b"+20 Sign",
    b"2e2 Number",
    b"abc Word",
    b"",
    b" 200 OK",
    b"101 Switching Protocols",
)
INTERIM = (b"100 Continue", b"102 Processing", b"103 Early Hints", b"199 Other")
VALID = (b"200 OK", b"200", b"200 ", b"299 Other", b"404 Not Found", b"599 Other")


class StatusTest(unittest.TestCase):
    timeout = 60

    async def exchange(self, *answers: bytes, streaming: bool):
        server = scripted_backend.FakeServer(
            lambda request: request.connection.send(b"".join(answers))
        )
        pool = client.ServerPool(reactor, address=server.address, limit=1, now=reactor.seconds)
        request = http.HttpRequest(method=b"GET", target=b"/", headers=((b"Host", b"x"),))
        run = pool.exchange_streaming if streaming else pool.exchange
        try:
            return await run(request, deadline=reactor.seconds() + 1.0)
        finally:
            pool.close("the test ends")
            await server.stop()

    async def outcome(self, *answers: bytes, streaming: bool):
        try:
            return (await self.exchange(*answers, streaming=streaming)).status
        except errors.BackendError as error:
            return type(error)

    async def test_invalid_status_is_a_failure_of_the_server(self):
        """Guards against a caller that receives 000 or another value that is no status."""
        for streaming in (False, True):
            for status in INVALID:
                answer = b"HTTP/1.1 %s\r\nContent-Length: 2\r\n\r\nok" % status
                found = await self.outcome(answer, streaming=streaming)
                self.assertEqual(errors.OutcomeUnknownError, found, (streaming, status))

    async def test_valid_status_with_or_without_a_reason(self):
        """Guards against the loss of answers whose status line is short."""
        for streaming in (False, True):
            for status in VALID:
                answer = b"HTTP/1.1 %s\r\nContent-Length: 2\r\n\r\nok" % status
                found = await self.outcome(answer, streaming=streaming)
                self.assertEqual(int(status[:3]), found, (streaming, status))

    async def test_interim_responses_are_skipped(self):
        """Guards against an interim response that is taken for the answer."""
        final = b"HTTP/1.1 201 Created\r\nContent-Length: 2\r\n\r\nok"
        for streaming in (False, True):
            for status in INTERIM:
                interim = b"HTTP/1.1 %s\r\nX: y\r\n\r\n" % status
                found = await self.outcome(interim, interim, final, streaming=streaming)
                self.assertEqual(201, found, (streaming, status))
