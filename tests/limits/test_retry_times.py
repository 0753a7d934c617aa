"""Tests of the retry times of requests that are refused for lack of capacity."""

from __future__ import annotations

import hypothesis
import testtools
from hypothesis import strategies

from celerystack.limits import retry_times


class RetryAfterTest(testtools.TestCase):
    def retry_after_s(self, **changes):
        situation = {
            "calls_ahead": 99,
            "concurrency": 40,
            "service_time_s": 0.1,
            "target_latency_s": 0.5,
            "remaining_s": 3.0,
            "random_fraction": 0.0,
        }
        return retry_times.retry_after_s(**{**situation, **changes})

    def test_when_the_calls_ahead_have_started(self):
        """Guards against callers that return before there is capacity."""
        self.assertAlmostEqual(0.25, self.retry_after_s())

    def test_share_of_the_target_latency(self):
        """Guards against callers that return at once because the queue is short at this moment."""
        self.assertAlmostEqual(0.2, self.retry_after_s(calls_ahead=0))

    def test_as_late_as_callers_accept(self):
        """Guards against several repeats of a request that is too late for its target anyway."""
        self.assertAlmostEqual(1.0, self.retry_after_s(calls_ahead=199))

    def test_longer_than_callers_accept(self):
        """Guards against a retry time before there is capacity, where callers honour all of it."""
        self.assertAlmostEqual(5.0, self.retry_after_s(calls_ahead=1999))

    def test_spread(self):
        """Guards against callers that are refused together and return together."""
        times = {self.retry_after_s(random_fraction=number / 10) for number in range(11)}
        self.assertEqual(11, len(times))
        self.assertAlmostEqual(1.5 * min(times), max(times))

    def test_random_by_default(self):
        """Guards against a spread that each caller of the function has to ask for."""
        times = {self.retry_after_s(random_fraction=None) for _ in range(20)}
        self.assertTrue(len(times) > 1)

    def test_minimum(self):
        """Guards against callers that repeat without a pause when their time is nearly over."""
        options = {"target_latency_s": 0.01, "service_time_s": 0.001}
        self.assertEqual(0.05, self.retry_after_s(calls_ahead=0, remaining_s=0.0, **options))
        self.assertEqual(0.05, self.retry_after_s(calls_ahead=0, remaining_s=-1.0, **options))

    @hypothesis.given(
        strategies.integers(0, 4000),
        strategies.integers(1, 400),
        strategies.floats(0.0, 10.0),
        strategies.floats(0.0, 10.0),
        strategies.floats(-1.0, 30.0),
        strategies.floats(0.0, 1.0),
    )
    def test_more_calls_ahead_never_shorten_it(self, ahead, slots, work, target, remaining, chance):
        """Guards against an order in which callers behind a longer queue return first."""
        options = {
            "concurrency": slots,
            "service_time_s": work,
            "target_latency_s": target,
            "random_fraction": chance,
            "remaining_s": remaining,
        }
        shorter = retry_times.retry_after_s(calls_ahead=ahead, **options)
        longer = retry_times.retry_after_s(calls_ahead=ahead + 1, **options)
        self.assertTrue(shorter >= retry_times.RETRY_AFTER_MINIMUM_S)
        self.assertTrue(shorter <= longer)
