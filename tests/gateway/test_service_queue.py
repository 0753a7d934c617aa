"""Tests of the order in which the calls of a service start."""

from __future__ import annotations

import dataclasses

import testtools
from twisted.internet import defer, task

from celerystack.gateway import call_queue, service_queue
from celerystack.limits import deadline_queue
from tests.gateway import test_call_queue

CALL = test_call_queue.CALL


class OrderingTest(testtools.TestCase):
    def started_in_order(self, **options):
        """Let an urgent call become late behind the calls in flight; return the order of starts."""
        clock = task.Clock()
        queue = service_queue.ServiceQueue(clock, now=clock.seconds, **options)
        queue.observe(CALL, 1.0)
        places, started = [], []

        async def run(name, call):
            places.append(await queue.take_place(call))
            started.append(name)

        def start(name, **route):
            call = dataclasses.replace(
                CALL, route=dataclasses.replace(CALL.route, **route), deadline=60.0
            )
            defer.Deferred.fromCoroutine(run(name, call))

        for _ in range(service_queue.PLACES_MINIMUM):
            start("first", target_latency_s=1.0)
        start("late", priority=0, target_latency_s=0.5)
        start("in time", priority=1, target_latency_s=20.0)
        for place in list(places):
            place.release()
        return started[service_queue.PLACES_MINIMUM :]

    def test_default(self):
        """Guards against a change of the order where no other one is asked for."""
        self.assertEqual(["late", "in time"], self.started_in_order())

    def test_late_behind_all(self):
        """Guards against an ordering that does not reach the queue."""
        ordering = deadline_queue.Ordering(late_behind_all=True)
        self.assertEqual(["in time", "late"], self.started_in_order(ordering=ordering))

    def test_repeated_request_starts_after_a_new_one(self):
        """Guards against repetitions, which can only be late, in the places of new requests."""
        clock = task.Clock()
        queue = service_queue.ServiceQueue(
            clock, now=clock.seconds, ordering=deadline_queue.IN_TIME_FIRST
        )
        queue.set_owned_slots(1)
        queue.observe(CALL, 1.0)
        route = dataclasses.replace(CALL.route, target_latency_s=10.0)
        started = []

        async def run(name, repeats_for_s):
            call = dataclasses.replace(
                CALL, route=route, deadline=60.0, repeats_for_s=repeats_for_s
            )
            place = await queue.take_place(call)
            started.append(name)
            places.append(place)

        places = []
        running = [
            defer.Deferred.fromCoroutine(run(name, age_s))
            for name, age_s in (("running", 0.0), ("repeated", 9.0), ("new", 0.0))
        ]
        places[0].release()
        places[1].release()
        self.assertEqual(["running", "new", "repeated"], started)
        self.assertEqual(3, len(running))


class LostQueueTest(testtools.TestCase):
    def test_calls_leave_a_queue_that_is_not_owned_any_more(self):
        """Guards against calls that wait for all those in flight after the owner has changed."""
        clock = task.Clock()
        queue = service_queue.ServiceQueue(clock, now=clock.seconds)
        queue.set_owned_slots(1)
        waiting = [defer.Deferred.fromCoroutine(queue.take_place(CALL)) for _ in range(3)]
        queue.set_owned_slots(0)
        outcomes = []
        for deferred in waiting[1:]:
            deferred.addCallback(outcomes.append)
        self.assertEqual([call_queue.WaitOutcome.NOT_OWNED] * 2, outcomes)
