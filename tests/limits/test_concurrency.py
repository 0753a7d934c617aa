"""Tests of the adaptation of the concurrency limit to shedding and latency."""

from __future__ import annotations

import random

import hypothesis
import testtools
from hypothesis import strategies

from celerystack.limits import concurrency


class ConcurrencyLimitTest(testtools.TestCase):
    def limit(self, *, slots=2, entry_vms=1, maximum=10):
        return concurrency.ConcurrencyLimit(slots=slots, entry_vms=entry_vms, maximum=maximum)

    def answers(self, limit, count, latency_s, *, start=0.0):
        """Run rounds that use the limit fully; return the time afterwards."""
        now = start
        for _ in range(count):
            while limit.try_start():
                pass
            now += latency_s
            limit.release()
            limit.on_answer(latency_s, now)
        return now

    def test_starts_at_the_share_of_the_slots(self):
        """Guards against an initial limit above the server's capacity or below one request."""
        self.assertEqual(self.limit(entry_vms=1).limit, 2)
        self.assertEqual(self.limit(entry_vms=10).limit, 1)
        self.assertEqual(self.limit(entry_vms=0).limit, 2)

    def test_bound_on_requests_in_flight(self):
        """Guards against more requests in flight than the limit."""
        limit = self.limit()
        self.assertEqual([limit.try_start() for _ in range(3)], [True, True, False])
        limit.release()
        self.assertTrue(limit.try_start())

    def test_rises_by_one_per_round_up_to_the_maximum(self):
        """Guards against a limit that leaves a fast server idle or exceeds the connections."""
        limit = self.limit(maximum=6)
        self.answers(limit, 3, 0.01)
        self.assertEqual(limit.limit, 3)
        self.answers(limit, 200, 0.01)
        self.assertEqual(limit.limit, 6)

    def test_does_not_rise_while_unused(self):
        """Guards against raising the limit under light traffic, which does not test it."""
        limit = self.limit(slots=8)
        for _ in range(100):
            limit.try_start()
            limit.release()
            limit.on_answer(0.01, 0.0)
        self.assertEqual(limit.limit, 8)

    def test_shedding_halves_once_per_pause(self):
        """Guards against a drop to 1 because several sheds report the same congestion."""
        limit = self.limit(slots=8)
        for _ in range(5):
            limit.on_shed(1.0)
        self.assertEqual(limit.limit, 4)
        limit.on_shed(1.0 + concurrency.DECREASE_COOLDOWN_S)
        self.assertEqual(limit.limit, 2)

    def test_slow_answers_lower_it_to_the_share_of_the_slots(self):
        """Guards against queueing at the server, and against a limit below the share of slots."""
        limit = self.limit(maximum=10)
        now = self.answers(limit, 200, 0.01)
        self.assertEqual(limit.limit, 10)
        self.answers(limit, 40, 0.1, start=now)
        self.assertEqual(limit.limit, 2)

    def test_one_slow_answer_is_tolerated(self):
        """Guards against lowering the limit for a single slow answer of a mixed workload."""
        limit = self.limit(maximum=10)
        now = self.answers(limit, 200, 0.01)
        self.answers(limit, 1, 0.03, start=now)
        self.assertEqual(limit.limit, 10)

    def test_smaller_maximum_applies_at_once(self):
        """Guards against a limit that stays above a reduced maximum."""
        limit = self.limit(maximum=10)
        self.answers(limit, 200, 0.01)
        limit.set_sharing(entry_vms=10, maximum=3)
        self.assertEqual(limit.limit, 3)

    @hypothesis.given(strategies.integers(0, 10_000), strategies.integers(1, 20))
    def test_stays_between_one_and_the_maximum(self, seed, maximum):
        """Guards against a limit of 0, from which there is no recovery."""
        source = random.Random(seed)
        limit = self.limit(entry_vms=source.randint(0, 12), maximum=maximum)
        now = 0.0
        for _ in range(300):
            now += source.random() * 0.1
            event = source.randrange(4)
            if event == 0:
                limit.on_shed(now)
            elif event == 1 and limit.in_flight:
                limit.release()
                limit.on_answer(source.random() * 0.1 + 0.001, now)
            else:
                limit.try_start()
            self.assertTrue(1 <= limit.limit <= maximum)
