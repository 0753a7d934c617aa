"""Answers that are sent to the socket directly, in the same reactor turn."""

from __future__ import annotations

import errno

import testtools
from twisted.internet import task, tcp

from celerystack.requests import callerhttp

REQUEST = b"GET /a HTTP/1.1\r\nHost: x\r\n\r\n"
ANSWER = b"HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nabc"


class FakeSocket:
    """Takes at most ``room`` bytes, or raises ``error``."""

    def __init__(self, room=1 << 20, error=None):
        self.room = room
        self.error = error
        self.sent = b""

    def send(self, data):
        if self.error is not None:
            raise self.error
        taken, self.room = data[: self.room], self.room - len(data[: self.room])
        self.sent += taken
        return len(taken)


class FakeTransport(tcp.Connection):
    """Buffers in memory what is written to the transport."""

    def __init__(self, fake):
        self.fake = fake
        self.connected = True
        self.disconnecting = False
        self.dataBuffer = b""
        self._tempDataBuffer = []

    def getHandle(self):  # noqa: N802
        return self.fake

    def getPeer(self):  # noqa: N802
        return None

    def getHost(self):  # noqa: N802
        return None

    def write(self, data):
        self._tempDataBuffer.append(data)

    def buffered(self):
        return self.dataBuffer + b"".join(self._tempDataBuffer)

    def setTcpNoDelay(self, enabled):  # noqa: N802
        """Ignore the option."""

    def registerProducer(self, producer, streaming):  # noqa: N802
        """Ignore the producer."""

    def resumeProducing(self):  # noqa: N802
        """Ignore the resumption."""

    def pauseProducing(self):  # noqa: N802
        """Ignore the pause."""


class DirectSendTest(testtools.TestCase):
    def answer(self, transport, **state):
        clock = task.Clock()
        received = []
        factory = callerhttp.CallerFactory(
            clock, received.append, limits=callerhttp.Limits(), now=clock.seconds
        )
        channel = factory.buildProtocol(None)
        channel.makeConnection(transport)
        channel.dataReceived(REQUEST)
        vars(transport).update(state)
        received.pop().answer(200, b"OK", ((b"Content-Length", b"3"),), b"abc")

    def test_a_free_socket_takes_the_answer_at_once(self):
        """Guards against an answer that is delayed until the next reactor turn."""
        transport = FakeTransport(FakeSocket())
        self.answer(transport)
        self.assertEqual((ANSWER, b""), (transport.fake.sent, transport.buffered()))

    def test_the_rest_of_a_partial_send_is_buffered(self):
        """Guards against an answer that is cut off or repeated when the socket buffer is full."""
        for room in range(len(ANSWER)):
            transport = FakeTransport(FakeSocket(room))
            self.answer(transport)
            self.assertEqual(ANSWER, transport.fake.sent + transport.buffered())
            self.assertEqual(room, len(transport.fake.sent))

    def test_a_failing_send_is_left_to_the_transport(self):
        """Guards against a socket error that is raised to the handler of the request."""
        for error in (BlockingIOError(), OSError(errno.ECONNRESET, "reset")):
            transport = FakeTransport(FakeSocket(error=error))
            self.answer(transport)
            self.assertEqual(ANSWER, transport.buffered())

    def test_earlier_bytes_go_first(self):
        """Guards against an answer that is sent before bytes in the transport's buffer."""
        first, second = FakeTransport(FakeSocket()), FakeTransport(FakeSocket())
        first.dataBuffer = b"earlier"
        second._tempDataBuffer.append(b"earlier")
        for transport in (first, second):
            self.answer(transport)
            self.assertEqual(b"", transport.fake.sent)
            self.assertEqual(b"earlier" + ANSWER, transport.buffered())

    def test_a_closing_connection_is_left_to_the_transport(self):
        """Guards against sending on a connection that is closed or closing."""
        for state in ({"connected": False}, {"disconnecting": True}):
            transport = FakeTransport(FakeSocket())
            self.answer(transport, **state)
            self.assertEqual(b"", transport.fake.sent)
