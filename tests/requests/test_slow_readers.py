"""Callers that read slowly and still send when their connection is closed, over real sockets.

Closing a socket with unread bytes resets the connection, and bytes that arrive after the close do
the same; the caller then loses what it has not read of its responses.
"""

import contextlib
import socket

from twisted.internet import reactor
from twisted.trial import unittest

from celerystack.requests import callerhttp, lingering, listening
from standins import scripted_backend

REQUEST = b"GET /a HTTP/1.1\r\nHost: h\r\n\r\n"
BODY = b"x" * 200_000
RECEIVE_BUFFER_BYTES = 4096
"""Receive buffer of the callers, far smaller than a response."""
PAUSE_S = 0.2
"""Time after which bytes on loopback have certainly arrived."""


class SlowReaderTest(unittest.TestCase):
    timeout = 30

    def setUp(self):
        self.factory = callerhttp.CallerFactory(
            reactor, self.answer, limits=callerhttp.Limits(), now=reactor.seconds
        )
        self.port = listening.listen(reactor, self.factory, "127.0.0.1", 0, backlog=16)
        self.addCleanup(self.stop)

    async def stop(self):
        await self.port.stopListening()
        for channel in list(self.factory.channels):
            channel.transport.abortConnection()
        await scripted_backend.wait_until(until=lambda: not self.factory.channels)

    def answer(self, request):
        request.answer(200, b"OK", ((b"Content-Length", b"%d" % len(BODY)),), BODY)

    async def connect(self, data):
        """Connect and send; return when all of it has been answered and nothing was read."""
        caller = socket.socket()
        caller.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
        self.addCleanup(caller.close)
        caller.connect(("127.0.0.1", self.port.getHost().port))
        caller.sendall(data)
        caller.setblocking(False)
        await scripted_backend.sleep(PAUSE_S)
        return caller

    async def receive(self, caller):
        """Return everything that the caller gets until its connection ends in order."""
        received = b""
        while True:
            try:
                data = caller.recv(65_536)
            except BlockingIOError:
                await scripted_backend.sleep(0.01)
                continue
            if not data:
                return received
            received += data

    async def test_stop_while_the_caller_sends_further_requests(self):
        """Guards against answers that a planned stop cuts off at callers that send further
        requests and read slowly (review case 6)."""
        self.factory.draining = True
        caller = await self.connect(REQUEST)
        caller.send(REQUEST)
        await scripted_backend.sleep(PAUSE_S)
        received = await self.receive(caller)
        self.assertEqual(len(BODY), received.count(b"x"))
        self.assertIn(b"Connection: close", received)

    async def test_connection_with_an_unread_answer_is_not_idle(self):
        """Guards against an answer that is cut because the next request crosses the close."""
        caller = await self.connect(REQUEST)
        await scripted_backend.sleep(callerhttp.FIRST_REQUEST_S)
        self.factory.draining = True
        self.factory.close_idle()
        caller.send(REQUEST)
        await scripted_backend.sleep(PAUSE_S)
        received = await self.receive(caller)
        self.assertEqual(2 * len(BODY), received.count(b"x"))
        self.assertIn(b"Connection: close", received)

    async def test_idle_connection_is_closed_at_once(self):
        """Guards against a request that crosses the close and is read, but never answered."""
        caller = await self.connect(REQUEST)
        received = b""
        while received.count(b"x") < len(BODY):
            await scripted_backend.sleep(0.01)
            with contextlib.suppress(BlockingIOError):
                received += caller.recv(65_536)
        await scripted_backend.sleep(callerhttp.FIRST_REQUEST_S)
        self.factory.close_idle()
        self.assertTrue(all(channel.transport.disconnecting for channel in self.factory.channels))

    async def test_rejection_behind_an_answer_that_is_read_late(self):
        """Guards against an answer that is cut because a later request was rejected."""
        caller = await self.connect(REQUEST + b"malformed\r\n\r\n")
        await scripted_backend.sleep(lingering.REJECTED_QUIET_S + PAUSE_S)
        received = await self.receive(caller)
        self.assertEqual(len(BODY), received.count(b"x"))
        self.assertIn(b"HTTP/1.1 400 ", received)

    async def test_caller_that_never_closes_its_side(self):
        """Guards against connections that stay open for ever after their last answer."""
        self.factory.draining = True
        caller = await self.connect(REQUEST)
        await self.receive(caller)
        await scripted_backend.wait_until(
            until=lambda: not self.factory.channels, timeout_s=lingering.ANSWERED_QUIET_S + 3.0
        )

    async def test_caller_that_sends_without_end(self):
        """Guards against a rejected caller that keeps its connection by sending on."""
        caller = await self.connect(b"malformed\r\n\r\n")

        def send_until_closed():
            try:
                caller.send(b"x")
            except BlockingIOError:
                pass
            except OSError:
                return True
            return not self.factory.channels

        await scripted_backend.wait_until(
            until=send_until_closed, timeout_s=lingering.REJECTED_MAX_S + 3.0
        )
