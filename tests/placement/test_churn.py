"""The churn budget holds in every window of a minute."""

from __future__ import annotations

import random

from celerystack.placement import churn


def test_no_window_exceeds_the_limit():
    """Guards against a burst after a pause, as a token bucket would allow."""
    budget = churn.ChurnBudget(share=0.1, shards=200)
    rng = random.Random(1)
    spent: list[tuple[float, int]] = []
    now = 0.0
    for _ in range(500):
        now += rng.choice([0.1, 1.0, 30.0])
        count = rng.randint(0, int(budget.available(now)))
        budget.spend(count, now)
        spent.append((now, count))
        window = sum(cost for spent_at, cost in spent if now - spent_at < churn.WINDOW_S)
        assert window <= 20


def test_small_service_may_move_one_shard():
    """Guards against a share that rounds down to no moves at all."""
    assert churn.ChurnBudget(share=0.1, shards=4).available(0.0) == 1


def test_zero_share_moves_nothing():
    """Guards against rounding a share of zero up to one move."""
    assert churn.ChurnBudget(share=0.0, shards=4096).available(0.0) == 0
