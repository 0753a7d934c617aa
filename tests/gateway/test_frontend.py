"""Tests of which requests are still taken while a process shuts down."""

import testtools
from twisted.internet import defer, task

from celerystack import ids
from celerystack.gateway import config, frontend
from celerystack.platform import requests
from tests.gateway import fakes as gateway_fakes

LIMITS = config.CallerLimits(
    header_bytes_max=1_000, body_bytes_max=1_000, header_timeout_s=1.0, idle_timeout_s=1.0
)
GRACE_S, KEEP_TAKING_S = 6.0, 2.5


class Request:
    """A request of a caller that was read now."""

    method, uri, path = b"POST", b"/a", b"/a"
    startedWriting = False  # noqa: N815

    def __init__(self, received_at, remaining_ms):
        self.received_at = received_at
        self._headers = (
            (b"host", b"h"),
            (requests.ATTEMPT_ID, b"r"),
            (requests.REMAINING_MS, b"%d" % remaining_ms),
        )
        self.answers = []

    def header_list(self):
        return self._headers

    def body(self):
        return b""

    def on_disconnect(self, callback):
        pass

    def is_disconnected(self):
        return False

    def answer(self, status, reason, headers, body):
        self.answers.append((status, dict(headers)))


class Dispatcher:
    """Keeps all calls without an answer."""

    def __init__(self):
        self.calls = []

    async def dispatch(self, call):
        self.calls.append(call)
        await defer.Deferred()


class ShutdownTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.clock = task.Clock()
        self.clock.advance(100.0)
        self.dispatcher = Dispatcher()
        self.frontend = frontend.FrontEnd(
            self.clock,
            dispatcher=self.dispatcher,
            request_codec=requests.HeaderRequestCodec(),
            on_finished=lambda call, reply, now: None,
            now=self.clock.seconds,
        )
        self.frontend.apply(
            config.RoutingConfig(
                version=ids.ConfigVersion(1),
                routes=(gateway_fakes.ROUTE,),
                services_by_name={},
                limits=LIMITS,
            )
        )

    def terminate(self):
        now = self.clock.seconds()
        self.frontend.announce_drain(take_until=now + KEEP_TAKING_S, deadline=now + GRACE_S)

    def send(self, *, remaining_s):
        request = Request(self.clock.seconds(), remaining_s * 1000)
        self.frontend._on_request(request)
        return request.answers

    def test_request_that_may_not_be_finished_is_rejected_at_once(self):
        """Guards against requests that come late in the grace period, are passed on and cut off at
        its end without an answer, so that the caller does not know whether they have run."""
        self.terminate()
        self.clock.advance(4.5)
        answers = self.send(remaining_s=2.0)
        self.assertEqual([503], [status for status, _ in answers])
        self.assertIn(b"Retry-After", answers[0][1])
        self.assertEqual([], self.dispatcher.calls)

    def test_late_request_with_a_deadline_before_the_end_is_taken(self):
        """Guards against needless refusals: its outcome is known before the process ends."""
        self.terminate()
        self.clock.advance(3.0)
        self.assertEqual([], self.send(remaining_s=1.0))
        self.assertEqual(1, len(self.dispatcher.calls))

    def test_requests_are_taken_while_callers_still_arrive(self):
        """Guards against refusals before the platform has noticed that the VM is not ready."""
        self.terminate()
        self.clock.advance(KEEP_TAKING_S - 0.1)
        self.assertEqual([], self.send(remaining_s=5.0))
        self.assertEqual(1, len(self.dispatcher.calls))

    def test_requests_are_taken_without_a_shutdown(self):
        """Guards against refusals by a process that is not shutting down."""
        self.clock.advance(50.0)
        self.assertEqual([], self.send(remaining_s=30.0))
