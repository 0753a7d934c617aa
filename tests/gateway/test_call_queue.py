"""Tests of the calls that wait for a limit: their start, their end and their expiry."""

from __future__ import annotations

import dataclasses

import testtools
from twisted.internet import defer, task

from celerystack import ids
from celerystack.gateway import call_queue, calls
from celerystack.limits import concurrency
from tests.gateway import fakes as gateway_fakes
from tests.ranges import fakes

CALL = calls.Call(
    request_id=ids.RequestId("r"),
    route=gateway_fakes.ROUTE,
    service=fakes.SERVICE,
    method=b"GET",
    target=b"/",
    headers=(),
    body=b"",
    key=None,
    arrived_at=0.0,
    deadline=5.0,
)


class CallQueueTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.clock = task.Clock()
        self.limit = concurrency.FixedLimit(2)
        self.queue = call_queue.CallQueue(self.clock, self.limit, now=self.clock.seconds)
        self.outcomes = []

    def wait(self, call=CALL):
        """Return a Deferred that fires when the call may start, and that ends it if cancelled."""
        return defer.Deferred.fromCoroutine(self.queue.wait_for_turn(call))

    def fill(self):
        """Let as many calls start as the limit permits."""
        for _ in range(self.limit.limit):
            self.assertTrue(self.wait().called)


class EndAtOnceTest(CallQueueTest):
    """Load pattern: all waiting calls end as soon as they start, as with an unreachable server."""

    def start_calls_that_end_at_once(self, *, waiting, total):
        """Let calls wait, each of which ends at once and is followed by another."""
        ended = []

        async def run():
            outcome = await self.queue.wait_for_turn(CALL)
            ended.append(outcome)
            if len(started) < total:
                start()
            self.queue.release()

        def start():
            started.append(defer.Deferred.fromCoroutine(run()))

        started = []
        for _ in range(waiting):
            start()
        self.queue.release()
        return ended

    def test_each_call_starts(self):
        """Guards against a RecursionError: each end started the next call in the same stack."""
        self.fill()
        ended = self.start_calls_that_end_at_once(waiting=500, total=5000)
        self.assertEqual([call_queue.WaitOutcome.TAKEN] * 5000, ended)

    def test_no_place_is_lost(self):
        """Guards against places of calls that are still taken after all calls have ended."""
        self.fill()
        self.start_calls_that_end_at_once(waiting=500, total=5000)
        self.assertEqual(1, self.limit.in_flight)
        self.queue.release()
        self.assertEqual((0, True), (self.queue.load, self.queue.has_room))

    def test_limit_holds_while_calls_start(self):
        """Guards against more calls in flight than the limit permits, where some do not end."""
        self.fill()
        waiting = [self.wait() for _ in range(10)]
        waiting[0].addCallback(lambda _: self.queue.release())
        self.queue.release()
        self.assertEqual(2, self.limit.in_flight)
        self.assertEqual(2, sum(deferred.called for deferred in waiting))


class ExpiryTest(CallQueueTest):
    def call(self, deadline):
        return dataclasses.replace(CALL, deadline=deadline)

    def test_calls_expire_at_their_deadline(self):
        """Guards against calls that wait beyond their deadline, in any order of arrival."""
        self.fill()
        waits = {at: self.wait(self.call(at)) for at in (3.0, 1.0, 2.0)}
        for at in (1.0, 2.0, 3.0):
            self.clock.advance(0.9)
            self.assertFalse(waits[at].called)
            self.clock.advance(0.1)
            self.assertEqual(call_queue.WaitOutcome.SHED, self.result_of(waits[at]))

    def result_of(self, deferred):
        results = []
        deferred.addCallback(results.append)
        return results[0]

    def test_calls_expire_after_earlier_ones_have_started(self):
        """Guards against an expiry that is forgotten with the call for which it was set."""
        self.fill()
        first, second = self.wait(self.call(1.0)), self.wait(self.call(2.0))
        self.queue.release()
        self.assertTrue(first.called)
        self.clock.advance(1.0)
        self.assertFalse(second.called)
        self.clock.advance(1.0)
        self.assertEqual(call_queue.WaitOutcome.SHED, self.result_of(second))

    def test_end_of_one_expired_call_cancels_another(self):
        """Guards against the release of a place that a call never had, which exceeds the limit.

        Calls of one connection expire together, and the end of the first may close it.
        """
        self.fill()
        first, second = self.wait(self.call(1.0)), self.wait(self.call(1.0))
        second.addErrback(lambda failure: failure.trap(defer.CancelledError))
        first.addCallback(lambda _: second.cancel())
        self.clock.advance(1.0)
        self.assertEqual((2, 2), (self.limit.in_flight, self.queue.load))

    def test_cancelled_call_leaves_the_queue(self):
        """Guards against a place that is taken for a caller that has disconnected."""
        self.fill()
        first, second = self.wait(), self.wait()
        first.addErrback(lambda failure: failure.trap(defer.CancelledError))
        first.cancel()
        self.queue.release()
        self.assertTrue(second.called)
        self.assertEqual((2, 2), (self.limit.in_flight, self.queue.load))

    def test_empty_queue_has_no_timer(self):
        """Guards against a timer that keeps the queue in memory."""
        self.fill()
        self.wait()
        self.queue.release()
        self.assertEqual([], self.clock.getDelayedCalls())
