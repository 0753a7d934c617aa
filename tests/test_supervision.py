"""Tests of tasks that run for the life of a process."""

import testtools
from twisted.internet import defer, task

from celerystack import ids, supervision
from celerystack.forwarding import links, owners
from celerystack.ranges import paced_sender
from celerystack.requests import connection_checks


class RunForeverTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.clock = task.Clock()
        self.starts = 0
        self.recoveries = 0

    async def run_once(self):
        self.starts += 1
        if self.starts == 1:
            raise ValueError("unexpected")
        await defer.Deferred()

    def recover(self):
        self.recoveries += 1
        raise ValueError("unexpected as well")

    def test_task_goes_on_after_an_unexpected_error(self):
        """Guards against a task that ends in silence while its process goes on (review case 14)."""
        before = supervision.error_count_by_task["a test"]
        running = supervision.run_forever(
            self.clock, "a test", self.run_once, on_error=self.recover
        )
        defer.Deferred.fromCoroutine(running)
        self.assertEqual((1, 1), (self.starts, self.recoveries))
        self.clock.advance(supervision.RESTART_PAUSE_S)
        self.assertEqual(2, self.starts)
        self.assertEqual(2, supervision.error_count_by_task["a test"] - before)

    def test_failed_step_is_counted(self):
        """Guards against errors that no metric shows."""
        before = supervision.error_count_by_task["a step"]
        self.assertTrue(supervision.run_step("a step", lambda: None))
        self.assertFalse(supervision.run_step("a step", lambda: 1 // 0))
        self.assertEqual(1, supervision.error_count_by_task["a step"] - before)


class LoopsTest(testtools.TestCase):
    """Each loop is broken once, and goes on (review case 14)."""

    def setUp(self):
        super().setUp()
        self.clock = task.Clock()
        self.calls = []

    def fail_once(self, *arguments):
        self.calls.append(arguments)
        if len(self.calls) == 1:
            raise ValueError("unexpected")

    def test_paced_sender(self):
        """Guards against maps that are sent to nobody, as one could not be sent."""
        sender = paced_sender.PacedSender(self.clock, send=self.fail_once, link_mbps=0.001)
        address = ("10.0.0.1", 7000)
        sender.add(address, "rota", [b"one", b"two"])
        self.clock.pump([paced_sender.INTERVAL_S] * 3)
        self.assertEqual([(b"one", address), (b"two", address)], self.calls)

    def test_checks_of_connections(self):
        """Guards against connections that are never closed, as one could not be checked."""
        checks = connection_checks.ConnectionChecks(
            self.clock, account=None, exceeded=None, now=self.clock.seconds
        )
        for _ in range(2):
            connection = type("Connection", (), {})()
            connection.check_limits = self.fail_once
            checks.opened(connection)
        self.clock.pump([connection_checks.CHECK_INTERVAL_S] * 2)
        self.assertEqual(4, len(self.calls))

    def test_watch_of_links(self):
        """Guards against links to queue owners that are neither opened nor closed any more."""
        queue_owners = owners.QueueOwners(vm=ids.EntryVmId("vm-1"), now=self.clock.seconds)
        watched = links.OwnerLinks(self.clock, queue_owners, own_vm="vm-1", now=self.clock.seconds)
        watched._watch_all = self.fail_once
        watched.start()
        self.clock.pump([links.WATCH_S] * 2)
        self.assertEqual(3, len(self.calls))
