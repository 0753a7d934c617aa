"""Tests that the retry ratio holds in every interval, and that small services can retry."""

from __future__ import annotations

import hypothesis
from hypothesis import strategies

from celerystack.limits import retry_budget
from measurements import retries


def test_first_retry_is_allowed():
    """Guards against a service that cannot retry before it has had traffic."""
    assert retry_budget.RetryBudget().try_retry(0.0)


def test_retries_follow_the_ratio():
    """Guards against more retries than the ratio allows, or far fewer."""
    budget = retry_budget.RetryBudget(0.1)
    allowed = 0
    for _ in range(10_000):
        budget.on_request(0.0)
        allowed += budget.try_retry(0.0)
    assert 940 <= allowed <= 1000


def test_minimum_without_traffic():
    """Guards against an idle service that can never retry again."""
    budget = retry_budget.RetryBudget(0.1)
    assert budget.try_retry(0.0)
    assert not budget.try_retry(0.0)
    assert not budget.try_retry(5.0)
    assert budget.try_retry(10.0)


def test_saved_retries_are_bounded():
    """Guards against a burst of retries after a long time without failures."""
    budget = retry_budget.RetryBudget(0.1)
    for second in range(10_000):
        budget.on_request(float(second))
    assert sum(budget.try_retry(10_000.0) for _ in range(100)) == retry_budget.TOKENS_MAX


def test_zero_ratio_allows_none():
    """Guards against retries of a service for which they are disabled."""
    budget = retry_budget.RetryBudget(0.0)
    budget.on_request(0.0)
    assert not budget.try_retry(1000.0)


def test_time_running_backwards_earns_nothing():
    """Guards against tokens that are gained twice because the clock went back."""
    budget = retry_budget.RetryBudget(0.1)
    assert budget.try_retry(100.0)
    assert not budget.try_retry(0.0)
    assert not budget.try_retry(100.0)


@hypothesis.given(
    steps=strategies.lists(
        strategies.tuples(strategies.booleans(), strategies.floats(0.0, 2.0)), max_size=200
    ),
    start=strategies.integers(0, 199),
)
@hypothesis.settings(max_examples=300, deadline=None)
def test_bound_holds_in_every_interval(steps: list, start: int):
    """Guards against a burst that exceeds the documented bound in some interval."""
    budget = retry_budget.RetryBudget(0.1)
    now, first, retried, began = 0.0, 0, 0, 0.0
    for index, (is_request, step) in enumerate(steps):
        if index == start:
            first, retried, began = 0, 0, now
        now += step
        if is_request:
            budget.on_request(now)
            first += 1
        elif budget.try_retry(now):
            retried += 1
        allowed = 0.1 * first + retry_budget.MINIMUM_PER_S * (now - began) + retry_budget.TOKENS_MAX
        assert retried <= allowed + 1e-6


def test_amplification_in_a_brownout():
    """Guards against an amplification above 1.1, over the whole run or within the brown-out."""
    counts = retries.simulate(limited=True)
    assert counts.sent <= 1.1 * counts.first
    assert counts.sent_in_brownout <= 1.1 * counts.first_in_brownout
