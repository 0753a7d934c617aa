"""Tests of closing the connections of callers at a shutdown."""

import testtools
from twisted.internet import defer, task

from celerystack.gateway import shutdown


class Connections:
    """Two connections, one idle and one that stays open until its answer is sent."""

    def __init__(self):
        self.open_connections = 2
        self.closed_idle = 0

    def close_idle(self):
        self.closed_idle += 1
        self.open_connections = min(self.open_connections, 1)


class FinishConnectionsTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.clock = task.Clock()
        self.connections = Connections()
        self.done = []
        running = shutdown.finish_connections(
            self.connections, deadline=3.0, now=self.clock.seconds, sleep=self.sleep
        )
        defer.Deferred.fromCoroutine(running).addCallback(self.done.append)

    def sleep(self, seconds):
        return task.deferLater(self.clock, seconds)

    def test_idle_connections_are_closed_at_once(self):
        """Guards against idle connections that stay open and accept requests until the kill."""
        self.assertEqual(1, self.connections.open_connections)

    def test_waits_until_the_last_byte_of_an_answer_has_left(self):
        """Guards against a process that exits before a large answer is sent completely."""
        self.clock.pump([0.05] * 20)
        self.assertEqual([], self.done)
        self.connections.open_connections = 0
        self.clock.advance(0.05)
        self.assertEqual([None], self.done)

    def test_ends_in_time(self):
        """Guards against exceeding the shutdown deadline because a caller does not read."""
        self.clock.pump([0.05] * 70)
        self.assertEqual([None], self.done)
