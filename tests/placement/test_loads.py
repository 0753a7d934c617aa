"""Load estimates per shard."""

from __future__ import annotations

import pytest

from celerystack.placement import loads


def test_estimate_converges_to_the_rate():
    estimate = loads.ShardLoads(started_at=0.0)
    for second in range(1, 61):
        for _ in range(20):
            estimate.add(3, weight=5.0)
        estimate.roll(float(second))
    assert estimate.rates()[3] == pytest.approx(100.0, rel=0.01)


def test_idle_shards_are_dropped():
    """Guards against memory growing with every shard that ever had traffic."""
    estimate = loads.ShardLoads(started_at=0.0)
    estimate.add(3)
    estimate.roll(1.0)
    estimate.roll(120.0)
    assert estimate.rates() == {}


def test_transfer_keeps_the_sum():
    estimate = loads.ShardLoads(started_at=0.0)
    for _ in range(100):
        estimate.add(1)
    estimate.roll(1.0)
    before = estimate.rates()[1]
    estimate.transfer(1, 2, 5.0)
    assert estimate.rates() == {1: pytest.approx(before - 5.0), 2: pytest.approx(5.0)}
    estimate.transfer(2, 1, 50.0)
    assert estimate.rates()[1] == pytest.approx(before)


def test_repeated_roll_at_one_time_changes_nothing():
    estimate = loads.ShardLoads(started_at=0.0)
    estimate.add(1)
    estimate.roll(1.0)
    before = estimate.rates()
    estimate.roll(1.0)
    assert estimate.rates() == before
