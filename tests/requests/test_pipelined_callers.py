"""Callers that send further requests before the first is answered, on a clock of the test."""

from __future__ import annotations

import hypothesis
import testtools
from hypothesis import strategies
from twisted.internet import error, task, testing
from twisted.python import failure

from celerystack.requests import callerhttp, pipeline

IDLE_S = 20.0
BODY_BYTES_MAX = 1000


def encode(name, *, headers=b"", body=b""):
    length = b"Content-Length: %d\r\n" % len(body) if body else b""
    return b"GET /%s HTTP/1.1\r\nHost: h\r\n%s%s\r\n%s" % (name, headers, length, body)


class Transport(testing.StringTransport):
    """A transport that can also be closed for writing only."""

    def loseWriteConnection(self):  # noqa: N802
        self.disconnecting = True


class Caller:
    """A connection whose requests the test answers by name; names with ``s`` may overlap."""

    def __init__(self):
        self.clock = task.Clock()
        self.started = {}
        self.ended = []
        self.factory = callerhttp.CallerFactory(
            self.clock,
            self.on_request,
            limits=callerhttp.Limits(idle_s=IDLE_S, body_bytes_max=BODY_BYTES_MAX),
            may_overlap=lambda request: request.path.startswith(b"/s"),
            now=self.clock.seconds,
        )
        self.channel = self.factory.buildProtocol(None)
        self.transport = Transport()
        self.channel.makeConnection(self.transport)

    def on_request(self, request):
        name = request.path[1:]
        self.started[name] = request
        request.on_disconnect(lambda: self.ended.append(name))

    def send(self, *parts):
        for part in parts:
            self.channel.dataReceived(part)

    def answer(self, name, body=None):
        body = name if body is None else body
        length = (b"Content-Length", b"%d" % len(body))
        self.started[name].answer(200, b"OK", (length,), body)

    @property
    def received(self):
        """Bodies or statuses of the responses, in order."""
        found, rest = [], self.transport.value()
        while rest:
            head, _, rest = rest.partition(b"\r\n\r\n")
            length = int(head.lower().partition(b"content-length: ")[2].split(b"\r\n")[0])
            body, rest = rest[:length], rest[length:]
            found.append(body if b" 200 " in head else head.split(b" ")[1])
        return found


class OrderTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.caller = Caller()

    def names(self):
        return list(self.caller.started)

    def test_responses_keep_the_order_of_the_requests(self):
        """Guards against a caller that takes a response for that to another request."""
        self.caller.send(encode(b"s1") + encode(b"s2") + encode(b"s3"))
        self.assertEqual([b"s1", b"s2", b"s3"], self.names())
        for name in (b"s3", b"s2"):
            self.caller.answer(name)
        self.assertEqual([], self.caller.received)
        self.caller.answer(b"s1")
        self.assertEqual([b"s1", b"s2", b"s3"], self.caller.received)

    def test_request_that_may_run_once_runs_alone(self):
        """Guards against a request that overtakes the ones before it."""
        self.caller.send(encode(b"s1") + encode(b"u2", body=b"x") + encode(b"s3"))
        self.assertEqual([b"s1"], self.names())
        self.caller.answer(b"s1")
        self.assertEqual([b"s1", b"u2"], self.names())
        self.caller.answer(b"u2")
        self.assertEqual([b"s1", b"u2", b"s3"], self.names())
        self.caller.answer(b"s3")
        self.assertEqual([b"s1", b"u2", b"s3"], self.caller.received)

    def test_thousand_requests_in_one_packet(self):
        """Guards against unbounded concurrency and against requests that are lost in the buffer."""
        names = [b"s%d" % number for number in range(1000)]
        self.caller.send(b"".join(map(encode, names)))
        for number, name in enumerate(names):
            self.assertLessEqual(len(self.caller.started), number + pipeline.REQUESTS_MAX)
            self.caller.answer(name)
        self.assertEqual(names, self.caller.received)

    def test_pipelined_request_keeps_its_time_of_arrival(self):
        """Guards against a deadline that starts only when the request before it is answered."""
        self.caller.send(encode(b"u1"), encode(b"u2"))
        self.caller.clock.advance(3)
        self.caller.send(encode(b"u3"))
        self.caller.clock.advance(4)
        for name in (b"u1", b"u2", b"u3"):
            self.caller.answer(name)
        arrived = [request.received_at for request in self.caller.started.values()]
        self.assertEqual([0.0, 0.0, 3.0], arrived)

    def test_idle_timeout_starts_after_the_last_response(self):
        """Guards against a timeout that is lost, or that cuts off pipelined requests."""
        self.caller.send(encode(b"s1") + encode(b"s2"))
        self.caller.clock.advance(2 * IDLE_S)
        self.caller.answer(b"s1")
        self.caller.clock.advance(2 * IDLE_S)
        self.assertFalse(self.caller.transport.disconnecting)
        self.caller.answer(b"s2")
        self.caller.clock.advance(IDLE_S)
        self.assertTrue(self.caller.transport.disconnecting)

    @hypothesis.settings(deadline=None, max_examples=60)
    @hypothesis.given(strategies.data())
    def test_any_order_and_any_packets(self, data):
        """Guards against lost, repeated or reordered responses, compared with a plain list."""
        caller = Caller()
        kinds = data.draw(strategies.lists(strategies.sampled_from("su"), min_size=1, max_size=30))
        names = [b"%s%d" % (kind.encode(), index) for index, kind in enumerate(kinds)]
        stream = b"".join(
            encode(name, body=b"b" * data.draw(strategies.integers(0, 9))) for name in names
        )
        answered = set()
        while stream or len(caller.received) < len(names):
            open_names = [name for name in caller.started if name not in answered]
            if stream and (not open_names or data.draw(strategies.booleans())):
                size = data.draw(strategies.integers(1, 200))
                caller.send(stream[:size])
                stream = stream[size:]
                continue
            name = data.draw(strategies.sampled_from(open_names))
            answered.add(name)
            caller.answer(name)
        self.assertEqual(names, caller.received)
        self.assertEqual(names, list(caller.started))


class CloseTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.caller = Caller()

    def test_caller_that_closes_ends_all_requests(self):
        """Guards against requests that run on for a caller that has left."""
        self.caller.send(encode(b"s1") + encode(b"s2") + encode(b"u3"))
        self.caller.answer(b"s2")
        self.caller.channel.connectionLost(failure.Failure(error.ConnectionDone()))
        self.assertEqual({b"s1", b"s2"}, set(self.caller.ended))
        self.assertEqual([b"s1", b"s2"], list(self.caller.started))
        self.assertEqual([], self.caller.clock.getDelayedCalls())

    def test_response_that_closes_ends_the_requests_behind_it(self):
        """Guards against running requests whose callers send them again."""
        self.caller.send(encode(b"s1") + encode(b"s2") + encode(b"u3"))
        self.caller.started[b"s1"].close_after_answer()
        self.caller.answer(b"s2")
        self.caller.answer(b"s1")
        self.assertEqual([b"s1"], self.caller.received)
        self.assertTrue(self.caller.transport.disconnecting)
        self.assertEqual([b"s2"], self.caller.ended)
        self.assertEqual([b"s1", b"s2"], list(self.caller.started))

    def test_late_answer_behind_a_close_is_not_sent(self):
        """Guards against bytes after the response that closes the connection."""
        self.caller.send(encode(b"s1") + encode(b"s2"))
        self.caller.started[b"s1"].close_after_answer()
        self.caller.answer(b"s1")
        self.caller.answer(b"s2")
        self.assertEqual([b"s1"], self.caller.received)

    def test_close_of_a_later_request_waits_for_its_response(self):
        """Guards against closing before the responses to the requests that were read."""
        self.caller.send(encode(b"s1") + encode(b"s2", headers=b"Connection: close\r\n"))
        self.caller.send(encode(b"s3"))
        self.caller.answer(b"s1")
        self.assertFalse(self.caller.transport.disconnecting)
        self.caller.answer(b"s2")
        self.assertEqual([b"s1", b"s2"], self.caller.received)
        self.assertTrue(self.caller.transport.disconnecting)
        self.assertNotIn(b"s3", self.caller.started)

    def test_shutdown_answers_what_was_read(self):
        """Guards against a shutdown that ends requests behind the first response."""
        self.caller.send(encode(b"s1") + encode(b"s2"))
        self.caller.factory.draining = True
        self.caller.send(encode(b"s3"))
        self.caller.answer(b"s1")
        self.caller.factory.close_idle()
        self.assertFalse(self.caller.transport.disconnecting)
        self.caller.answer(b"s2")
        self.assertEqual([b"s1", b"s2"], self.caller.received)
        self.assertIn(b"Connection: close", self.caller.transport.value())
        self.assertTrue(self.caller.transport.disconnecting)
        self.assertNotIn(b"s3", self.caller.started)

    def test_caller_that_never_reads(self):
        """Guards against responses that pile up in memory for a caller that reads nothing."""
        names = [b"s%d" % number for number in range(100)]
        self.caller.channel.pauseProducing()
        self.caller.send(b"".join(map(encode, names)))
        self.assertEqual([], list(self.caller.started))
        self.caller.channel.resumeProducing()
        self.assertEqual(pipeline.REQUESTS_MAX, len(self.caller.started))
        self.caller.channel.pauseProducing()
        for name in list(self.caller.started):
            self.caller.answer(name, b"x" * 1000)
        self.assertEqual(pipeline.REQUESTS_MAX, len(self.caller.started))
        self.caller.clock.advance(IDLE_S)
        self.assertTrue(self.caller.transport.disconnecting)


class MalformedTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.caller = Caller()

    def expect_rejection(self, status, data):
        self.caller.send(encode(b"s1") + data)
        self.caller.send(encode(b"s9"))
        self.assertEqual([], self.caller.received)
        self.caller.answer(b"s1")
        self.assertEqual([b"s1", status], self.caller.received)
        self.assertEqual([b"s1"], list(self.caller.started))

    def test_malformed_request_is_rejected_after_the_earlier_responses(self):
        """Guards against a rejection that the caller takes for the response to the first."""
        self.expect_rejection(b"400", b"nonsense\r\n\r\n")

    def test_conflicting_lengths(self):
        """Guards against a body whose end is not certain."""
        two = b"Content-Length: 2\r\nContent-Length: 3\r\n"
        self.expect_rejection(b"400", encode(b"s2", headers=two))

    def test_body_above_the_limit(self):
        """Guards against a large body behind a request that runs."""
        self.expect_rejection(b"413", encode(b"s2", body=b"x" * (BODY_BYTES_MAX + 1)))

    def test_line_that_is_too_long(self):
        """Guards against a header without end behind a request that runs."""
        self.expect_rejection(b"400", b"GET /s2 HTTP/1.1\r\nX: " + b"x" * 70_000)
