"""Calls that wait for a place and end as soon as they get it."""

import dataclasses

import testtools
from twisted.internet import defer, task

from celerystack import ids
from celerystack.gateway import call_queue, calls
from tests.gateway import fakes as gateway_fakes
from tests.ranges import fakes

CALLS = 500


class Limit:
    """Permits so many calls at a time that none is shed."""

    limit = CALLS

    def __init__(self):
        self.in_flight = 0

    def try_start(self):
        if self.in_flight >= self.limit:
            return False
        self.in_flight += 1
        return True

    def release(self):
        self.in_flight -= 1


class CallQueueTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.clock = task.Clock()
        self.queue = call_queue.CallQueue(self.clock, Limit(), now=self.clock.seconds)
        self.outcomes = []

    def call(self):
        return calls.Call(
            request_id=ids.RequestId("r"),
            route=dataclasses.replace(gateway_fakes.ROUTE, target_latency_s=1e6),
            service=fakes.SERVICE,
            method=b"GET",
            target=b"/",
            headers=(),
            body=b"",
            key=None,
            arrived_at=0.0,
            deadline=1e6,
        )

    async def run_call(self):
        outcome = await self.queue.wait_for_turn(self.call())
        self.outcomes.append(outcome)
        if outcome is call_queue.WaitOutcome.TAKEN:
            self.queue.release()

    def test_calls_that_end_at_once_start_the_next_without_recursion(self):
        """Guards against a RecursionError that loses calls and the places of calls in flight."""
        while self.queue.limit.try_start():
            pass
        for _ in range(CALLS):
            defer.ensureDeferred(self.run_call())
        self.assertEqual([], self.outcomes)
        self.queue.release()
        self.assertEqual([call_queue.WaitOutcome.TAKEN] * CALLS, self.outcomes)
        self.assertEqual(CALLS - 1, self.queue.limit.in_flight)
