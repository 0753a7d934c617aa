"""Connections that a shutdown finds accepted or waiting in the backlog, over real sockets."""

import socket

from twisted.internet import defer, reactor
from twisted.trial import unittest

from celerystack.requests import callerhttp, connection_checks, listening
from standins import scripted_backend as backend_fakes

CONNECTIONS = 60
REQUEST = b"GET /a HTTP/1.1\r\nHost: h\r\n\r\n"


class ShutdownOfListenerTest(unittest.TestCase):
    timeout = 20

    def setUp(self):
        self.factory = callerhttp.CallerFactory(
            reactor, self.answer, limits=callerhttp.Limits(), now=reactor.seconds
        )
        self.factory.draining = True
        self.port = reactor.listenTCP(0, self.factory, 1024, "127.0.0.1")
        self.addCleanup(self.close_connections)

    def close_connections(self):
        for channel in list(self.factory.channels):
            channel.transport.abortConnection()

    def answer(self, request):
        request.answer(200, b"OK", ((b"Content-Length", b"2"),), b"ok")

    def connect(self, data=b""):
        """Connect and send without a turn of the reactor, so that the server has read nothing."""
        caller = socket.create_connection(("127.0.0.1", self.port.getHost().port))
        self.addCleanup(caller.close)
        caller.sendall(data)
        caller.setblocking(False)
        return caller

    async def receive(self, caller):
        """Return what the caller receives until its connection ends or holds a response."""
        received = b""
        for _ in range(100):
            try:
                data = caller.recv(65536)
            except BlockingIOError:
                await backend_fakes.sleep(0.02)
                continue
            received += data
            if not data or received.endswith(b"ok"):
                break
        return received

    async def test_waiting_connections_are_accepted_before_the_listener_closes(self):
        """Guards against a reset of connections that the system had accepted for this process."""
        callers = [self.connect(REQUEST) for _ in range(CONNECTIONS)]
        await listening.stop_listening(self.port)
        self.factory.close_idle()
        received = [await self.receive(caller) for caller in callers]
        self.assertEqual([], [data for data in received if not data.endswith(b"ok")])

    async def test_request_that_has_arrived_unread_is_answered(self):
        """Guards against closing a kept connection whose next request waits in its socket."""
        caller = self.connect()
        await backend_fakes.wait_until(until=lambda: self.factory.channels)
        await backend_fakes.sleep(callerhttp.FIRST_REQUEST_S + 0.1)
        caller.sendall(REQUEST)
        self.factory.close_idle()
        self.assertTrue((await self.receive(caller)).endswith(b"ok"))
        await listening.stop_listening(self.port)

    async def test_new_connection_is_kept_for_its_first_request(self):
        """Guards against closing a connection in the moment in which its caller sends a request."""
        caller = self.connect()
        await backend_fakes.wait_until(until=lambda: self.factory.channels)
        self.factory.close_idle()
        caller.sendall(REQUEST)
        self.assertTrue((await self.receive(caller)).endswith(b"ok"))
        await listening.stop_listening(self.port)

    async def test_connection_without_a_request_is_closed(self):
        """Guards against a shutdown that waits for a caller that sends nothing."""
        caller = self.connect()
        await backend_fakes.wait_until(until=lambda: self.factory.channels)
        await backend_fakes.sleep(callerhttp.FIRST_REQUEST_S + 0.1)
        self.factory.close_idle()
        self.assertEqual(b"", await self.receive(caller))
        await backend_fakes.wait_until(until=lambda: not self.factory.channels)
        await listening.stop_listening(self.port)


class FullListenerTest(unittest.TestCase):
    """Callers that stop one byte short of a request hold all connections (review case 15)."""

    timeout = 30
    connections_max = 12
    short_head = REQUEST[:-1]
    short_body = b"POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 10\r\n\r\n123456789"

    def setUp(self):
        limits = callerhttp.Limits(connections_max=self.connections_max)
        self.factory = callerhttp.CallerFactory(
            reactor, self.answer, limits=limits, now=reactor.seconds
        )
        self.requests = []
        self.port = listening.listen(reactor, self.factory, "127.0.0.1", 0, backlog=1024)
        self.addCleanup(self.close)
        self.callers = []

    async def close(self):
        await defer.maybeDeferred(self.port.stopListening)
        for channel in list(self.factory.channels):
            channel.transport.abortConnection()
        for caller in self.callers:
            caller.close()

    def answer(self, request):
        self.requests.append(request)
        if request.path != b"/slow":
            request.answer(200, b"OK", ((b"Content-Length", b"2"),), b"ok")

    def connect(self, data):
        caller = socket.create_connection(("127.0.0.1", self.port.getHost().port))
        self.callers.append(caller)
        caller.sendall(data)
        caller.setblocking(False)
        return caller

    async def receive(self, caller):
        received = b""
        while not received.endswith(b"ok"):
            try:
                data = caller.recv(65_536)
            except BlockingIOError:
                await backend_fakes.sleep(0.02)
                continue
            if not data:
                break
            received += data
        return received

    async def fill(self, data, count):
        for _ in range(count):
            self.connect(data)
        await backend_fakes.wait_until(
            until=lambda: len(self.factory.channels) == self.connections_max
        )

    async def test_new_caller_gets_a_connection(self):
        """Guards against callers that find no place until the others have timed out."""
        for data in (self.short_body, self.short_head):
            await self.fill(data, self.connections_max + 5)
            self.assertTrue((await self.receive(self.connect(REQUEST))).endswith(b"ok"))

    async def test_callers_whose_requests_are_answered_keep_their_connections(self):
        """Guards against requests that are cut off to make room, as the next one is incomplete."""
        slow = REQUEST.replace(b"/a", b"/slow")
        await self.fill(slow + self.short_head, self.connections_max)
        await backend_fakes.wait_until(until=lambda: len(self.requests) == self.connections_max)
        late = self.connect(REQUEST)
        await backend_fakes.sleep(
            connection_checks.SILENT_S + 2 * connection_checks.CHECK_INTERVAL_S
        )
        self.assertEqual(self.connections_max, len(self.factory.channels))
        self.assertFalse(self.factory.checks.accepts())
        self.requests[0].answer(200, b"OK", ((b"Content-Length", b"0"),), b"")
        self.callers[0].close()
        self.assertTrue((await self.receive(late)).endswith(b"ok"))
        self.assertTrue(self.factory.checks.accepts())
