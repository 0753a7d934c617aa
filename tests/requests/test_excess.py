"""Callers that exceed the limits of a listener, on a clock that the test advances."""

from __future__ import annotations

import testtools
from twisted.internet import task, testing

from celerystack.limits import body_account
from celerystack.requests import body_intake, caller_limits, callerhttp

MB = 1_000_000
POST = b"POST /a HTTP/1.1\r\nHost: x\r\n"
Limit = caller_limits.Limit
LIMITS = callerhttp.Limits(
    body_bytes_max=8 * MB, idle_s=15.0, header_s=3.0, body_s=60.0, body_progress_bytes=1024
)


def declared(length: int) -> bytes:
    return POST + b"Content-Length: %d\r\n\r\n" % length


def chunk(data: bytes) -> bytes:
    return b"%x\r\n%s\r\n" % (len(data), data)


class Transport(testing.StringTransport):
    """A TCP transport that can close its direction, and can be paused after an abort."""

    is_write_closed = False

    def loseWriteConnection(self):  # noqa: N802
        """Note the close; the connection stays open for reading."""
        self.is_write_closed = True

    def _checkState(self):  # noqa: N802
        """Permit all changes, as a TCP transport does."""


class CallersTestCase(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.clock = task.Clock()
        self.received = []
        self.exceeded = []
        self.account = body_account.ByteAccount(
            body_account.limits_for(40 * MB, body_bytes_max=8 * MB)
        )
        self.factory = callerhttp.CallerFactory(
            self.clock,
            self.received.append,
            limits=LIMITS,
            account=self.account,
            on_exceeded=self.exceeded.append,
            now=self.clock.seconds,
        )

    def connect(self, data: bytes = b""):
        channel = self.factory.buildProtocol(None)
        channel.makeConnection(Transport())
        if data:
            channel.dataReceived(data)
        return channel

    def status(self, channel) -> bytes:
        return channel.transport.value()[9:12]

    def held(self, part=body_account.Part.LARGE) -> int:
        return self.account.used_by_part[part]


class ExcessTest(CallersTestCase):
    def test_declared_body_without_room_is_rejected_before_it_is_read(self):
        """Guards against bodies that are read although there is no room for them."""
        self.connect(declared(8 * MB))
        late = self.connect(declared(3 * MB))
        self.assertEqual(b"503", self.status(late))
        self.assertIn(b"Retry-After: 1\r\n", late.transport.value())
        self.assertEqual([Limit.MEMORY], self.exceeded)
        self.assertEqual(8 * MB, self.held())

    def test_small_body_finds_room_beside_large_ones(self):
        """Guards against small requests that are rejected because of large ones."""
        self.connect(declared(8 * MB))
        self.connect(declared(5) + b"abcde")
        self.assertEqual([b"abcde"], [request.body() for request in self.received])

    def test_body_over_the_limit_is_rejected(self):
        """Guards against bodies over the limit, declared or just sent."""
        told = self.connect(declared(9 * MB))
        sent = self.connect(POST + b"Transfer-Encoding: chunked\r\n\r\n")
        for _ in range(9):
            sent.dataReceived(chunk(b"x" * MB))
        self.assertEqual([b"413", b"413"], [self.status(told), self.status(sent)])
        self.assertEqual(0, self.held())
        self.assertEqual([], self.received)

    def test_chunked_bodies_are_rejected_when_room_ends(self):
        """Guards against bodies of unknown length that are held beyond the account."""
        channels = [self.connect(POST + b"Transfer-Encoding: chunked\r\n\r\n") for _ in range(4)]
        for _ in range(5):
            for channel in channels:
                channel.dataReceived(chunk(b"x" * MB))
        statuses = [self.status(channel) for channel in channels]
        self.assertIn(b"503", statuses)
        self.assertIn(b"", statuses)
        self.assertLessEqual(self.held(), 10 * MB)

    def test_body_is_held_until_its_request_ends(self):
        """Guards against a body that is not counted while its request runs, or still after it."""
        self.connect(declared(MB) + b"x" * MB)
        self.assertEqual(MB, self.held())
        self.received[0].answer(200, b"OK", ((b"Content-Length", b"0"),), b"")
        self.assertEqual(0, self.held())

    def test_lost_connection_returns_everything(self):
        """Guards against bytes that stay counted after their connection."""
        channel = self.connect(declared(MB) + b"x" * 1000)
        waiting = self.connect(declared(MB) + b"x" * MB + b"GET /b HTTP/1.1\r\nHost")
        for one in (channel, waiting):
            one.connectionLost(None)
        self.assertEqual({0}, set(self.account.used_by_part.values()))
        self.assertEqual(0, self.account.open_large_bodies)
        self.assertEqual([], self.clock.getDelayedCalls())

    def test_stalled_body_gives_way(self):
        """Guards against callers that keep all room by stopping short of the end."""
        stalled = self.connect(declared(8 * MB) + b"x" * 1000)
        self.clock.advance(body_intake.STALLED_S)
        self.connect(declared(4 * MB))
        self.assertEqual(b"408", self.status(stalled))
        self.assertEqual(4 * MB, self.held())

    def test_small_bodies_do_not_give_way_to_large_ones(self):
        """Guards against the rejection of a body that makes no room."""
        small = self.connect(declared(1000) + b"x")
        self.connect(declared(8 * MB))
        self.clock.advance(body_intake.STALLED_S)
        self.connect(declared(8 * MB))
        self.assertEqual(b"", self.status(small))

    def test_body_that_continues_after_a_pause_is_not_its_own_victim(self):
        """Guards against the rejection of a body because of the room that it asks for itself."""
        channel = self.connect(POST + b"Transfer-Encoding: chunked\r\n\r\n")
        self.clock.advance(5.0)
        other = self.connect(declared(8 * MB))
        channel.dataReceived(chunk(b"x" * 100_000))
        self.assertEqual(b"", self.status(other))
        self.assertIn(self.status(channel), (b"", b"503"))

    def test_slow_body_is_rejected(self):
        """Guards against bodies that make no progress and are kept for ever."""
        channel = self.connect(declared(MB) + b"x" * 2000)
        for _ in range(40):
            self.clock.advance(1.0)
            if not self.status(channel):
                channel.dataReceived(b"x")
        self.assertEqual(b"408", self.status(channel))
        self.assertEqual([Limit.BODY_PROGRESS], self.exceeded)

    def test_body_that_takes_too_long_is_rejected(self):
        """Guards against a body that advances and never ends."""
        channel = self.connect(declared(MB))
        for _ in range(61):
            self.clock.advance(1.0)
            if not self.status(channel):
                channel.dataReceived(b"x" * 1000)
        self.assertEqual(b"408", self.status(channel))
        self.assertEqual([Limit.BODY_TIME], self.exceeded)

    def test_late_head_is_rejected(self):
        """Guards against heads that never end, whether or not bytes keep coming."""
        channel = self.connect(b"GET /a HTTP/1.1\r\n")
        for _ in range(4):
            self.clock.advance(1.0)
            if not self.status(channel):
                channel.dataReceived(b"X: y\r\n")
        self.assertEqual(b"408", self.status(channel))
        self.assertEqual([Limit.HEADER_TIME], self.exceeded)

    def test_complete_head_is_not_late(self):
        """Guards against the head's limit on requests that run or whose bodies arrive."""
        channel = self.connect(declared(100_000))
        self.connect(b"GET /a HTTP/1.1\r\nHost: x\r\n\r\n")
        for _ in range(10):
            self.clock.advance(1.0)
            channel.dataReceived(b"x" * 1000)
        self.assertEqual([], self.exceeded)

    def test_rejected_callers_bytes_are_discarded_while_they_come(self):
        """Guards against a reset that loses the rejection of a caller that still sends."""
        channel = self.connect(declared(9 * MB))
        for _ in range(8):
            self.clock.advance(0.5)
            channel.dataReceived(b"x" * 1000)
        self.assertFalse(channel.transport.disconnecting)
        self.clock.advance(1.0)
        self.assertTrue(channel.transport.disconnecting)

    def test_rejected_body_is_not_asked_for(self):
        """Guards against a 100 behind the rejection."""
        channel = self.connect(POST + b"Expect: 100-continue\r\nContent-Length: 9000000\r\n\r\n")
        self.assertEqual(b"413", self.status(channel))
        self.assertNotIn(b"100 Continue", channel.transport.value())

    def test_tiny_chunks_are_decoded_in_several_turns(self):
        """Guards against tiny chunks that hold up all other connections."""
        data = POST + b"Transfer-Encoding: chunked\r\n\r\n" + chunk(b"x") * 5000 + b"0\r\n\r\n"
        channel = self.connect(data)
        self.assertEqual([], self.received)
        self.assertEqual("paused", channel.transport.producerState)
        for _ in range(6):
            self.clock.advance(0)
        self.assertEqual([b"x" * 5000], [request.body() for request in self.received])
        self.assertEqual("producing", channel.transport.producerState)

    def test_many_requests_in_one_packet_are_answered_in_several_turns(self):
        """Guards against a packet of short requests that holds up all other connections."""

        def answer(request):
            self.received.append(request)
            request.answer(200, b"OK", ((b"Content-Length", b"0"),), b"")

        self.factory.on_request = answer
        self.connect(b"GET /a HTTP/1.1\r\nHost: x\r\n\r\n" * 100)
        self.assertEqual(16, len(self.received))
        for _ in range(7):
            self.clock.advance(0)
        self.assertEqual(100, len(self.received))

    def test_unparsed_bytes_without_room_end_their_connection(self):
        """Guards against bytes for later requests that are kept beyond the account."""
        request = b"POST /a HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\n\r\n"
        for _ in range(200):
            self.connect(request + b"x" * 60_000)
        self.assertLessEqual(self.held(body_account.Part.CONNECTIONS), 10 * MB)
        self.assertIn(Limit.MEMORY, self.exceeded)

    def test_connections_are_counted(self):
        """Guards against a limit on connections that connections do not reach."""
        self.factory.limits = callerhttp.Limits(connections_max=2)
        channels = [self.connect() for _ in range(2)]
        resumed = []
        self.assertEqual(0, self.factory.free_connections())
        self.factory.checks.pause_accepting(lambda: resumed.append(True))
        channels[0].connectionLost(None)
        self.assertEqual([True], resumed)
        self.assertEqual(1, self.factory.free_connections())
        self.assertEqual([Limit.CONNECTIONS], self.exceeded)


class ExceededLimitsTest(testtools.TestCase):
    def test_log_lines_are_bounded(self):
        """Guards against a log line for each rejected caller."""
        clock = task.Clock()
        counted = []
        exceeded = caller_limits.ExceededLimits(counted.append, now=clock.seconds)
        with self.assertLogs("celerystack.requests.caller_limits", "WARNING") as logs:
            for _ in range(100):
                exceeded.note(Limit.MEMORY, "no room")
            clock.advance(caller_limits.LOG_INTERVAL_S)
            exceeded.note(Limit.MEMORY, "no room")
        self.assertEqual(101, len(counted))
        self.assertEqual(2, len(logs.output))
        self.assertIn("exceeded 100 times", logs.output[1])


class DrainTest(CallersTestCase):
    def test_request_that_was_read_behind_another_one_is_served(self):
        """Guards against a planned stop that closes a connection before a request it has read."""
        request = b"POST /a HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\n\r\n"
        length = ((b"Content-Length", b"0"),)
        channel = self.connect(request)
        self.factory.draining = True
        self.factory.serve_read_until = self.clock.seconds() + 2.5
        channel.dataReceived(request)
        self.received[0].answer(200, b"OK", length, b"")
        self.assertFalse(channel.transport.is_write_closed)
        self.assertNotIn(b"Connection: close", channel.transport.value())
        self.received[1].answer(200, b"OK", length, b"")
        self.assertTrue(channel.transport.is_write_closed)
        self.assertIn(b"Connection: close", channel.transport.value())

    def test_callers_that_never_pause_do_not_keep_the_process(self):
        """Guards against a stop that waits for a caller that always has one more request."""
        request = b"POST /a HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\n\r\n"
        channel = self.connect(request)
        self.factory.draining = True
        self.factory.serve_read_until = self.clock.seconds() + 2.5
        channel.dataReceived(request)
        self.clock.advance(2.5)
        self.received[0].answer(200, b"OK", ((b"Content-Length", b"0"),), b"")
        self.assertTrue(channel.transport.is_write_closed)
