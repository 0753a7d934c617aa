"""Idle timeout of callers' connections, on a clock that the test advances."""

from __future__ import annotations

import testtools
from twisted.internet import task, testing

from celerystack.requests import callerhttp

IDLE_S = 60.0
REQUEST = b"GET /a HTTP/1.1\r\nHost: x\r\n\r\n"


class IdleTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.clock = task.Clock()
        self.received = []
        factory = callerhttp.CallerFactory(
            self.clock,
            self.received.append,
            limits=callerhttp.Limits(idle_s=IDLE_S),
            now=self.clock.seconds,
        )
        self.channel = factory.buildProtocol(None)
        self.transport = testing.StringTransport()
        self.channel.makeConnection(self.transport)

    def answer(self):
        self.received.pop().answer(200, b"OK", ((b"Content-Length", b"0"),), b"")

    def test_silent_connection_is_closed(self):
        """Guards against idle connections that are never closed."""
        self.clock.advance(IDLE_S - 1)
        self.assertFalse(self.transport.disconnecting)
        self.clock.advance(1)
        self.assertTrue(self.transport.disconnecting)

    def test_partial_request_is_closed(self):
        """Guards against callers that keep a connection open with a request that never ends."""
        self.clock.advance(30)
        self.channel.dataReceived(REQUEST[:-2])
        self.clock.advance(IDLE_S - 1)
        self.assertFalse(self.transport.disconnecting)
        self.clock.advance(1)
        self.assertTrue(self.transport.disconnecting)

    def test_slow_answer_is_not_cut_off(self):
        """Guards against an idle timeout that runs while a request is being answered."""
        self.channel.dataReceived(REQUEST)
        self.clock.advance(3 * IDLE_S)
        self.assertFalse(self.transport.disconnecting)
        self.answer()
        self.clock.advance(IDLE_S - 1)
        self.assertFalse(self.transport.disconnecting)
        self.clock.advance(1)
        self.assertTrue(self.transport.disconnecting)

    def test_each_request_starts_the_idle_time_again(self):
        """Guards against closing an active connection because requests do not restart the timer."""
        for _ in range(4):
            self.clock.advance(IDLE_S - 1)
            self.channel.dataReceived(REQUEST)
            self.answer()
        self.assertFalse(self.transport.disconnecting)
        self.clock.advance(IDLE_S)
        self.assertTrue(self.transport.disconnecting)

    def test_lost_connection_leaves_no_timer(self):
        """Guards against timers that keep closed connections in memory."""
        self.channel.dataReceived(REQUEST)
        self.answer()
        self.channel.connectionLost(None)
        self.assertEqual([], self.clock.getDelayedCalls())

    def test_shorter_idle_time_takes_effect(self):
        """Guards against a timer that still fires at the previous, longer timeout."""
        self.channel.setTimeout(1.0)
        self.clock.advance(1.0)
        self.assertTrue(self.transport.disconnecting)
