"""Listener that stops accepting at a number of connections, over real sockets."""

import socket

from twisted.internet import reactor
from twisted.trial import unittest

from celerystack.requests import callerhttp, listening
from standins import scripted_backend

CONNECTIONS_MAX = 10
REQUEST = b"GET /a HTTP/1.1\r\nHost: h\r\n\r\n"


class CallerPortTest(unittest.TestCase):
    timeout = 20

    def setUp(self):
        self.factory = callerhttp.CallerFactory(
            reactor,
            lambda request: request.answer(200, b"OK", ((b"Content-Length", b"2"),), b"ok"),
            limits=callerhttp.Limits(connections_max=CONNECTIONS_MAX),
            now=reactor.seconds,
        )
        self.port = listening.listen(reactor, self.factory, "127.0.0.1", 0, backlog=1024)
        self.addCleanup(self.stop)

    async def stop(self):
        await self.port.stopListening()
        for channel in list(self.factory.channels):
            channel.transport.abortConnection()
        await scripted_backend.wait_until(until=lambda: not self.factory.channels)

    def connect(self):
        caller = socket.create_connection(("127.0.0.1", self.port.getHost().port))
        self.addCleanup(caller.close)
        caller.setblocking(False)
        return caller

    async def test_accepting_stops_and_resumes(self):
        """Guards against connections beyond the descriptors, and callers that wait for ever."""
        callers = [self.connect() for _ in range(3 * CONNECTIONS_MAX)]
        for _ in range(20):
            await scripted_backend.sleep(0.01)
            self.assertLessEqual(len(self.factory.channels), CONNECTIONS_MAX)
        self.assertEqual(CONNECTIONS_MAX, len(self.factory.channels))
        for caller in callers[: 2 * CONNECTIONS_MAX]:
            caller.close()
        callers[-1].send(REQUEST)
        received = []

        def is_answered():
            try:
                received.append(callers[-1].recv(1000))
            except BlockingIOError:
                return False
            return True

        await scripted_backend.wait_until(until=is_answered)
        self.assertIn(b"200 OK", received[0])
