"""Load estimates per shard."""

from __future__ import annotations

import pytest

from celerystack.placement import loads


def test_estimate_converges_to_the_rate():
    """Guards against a biased estimate of a constant, sampled rate."""
    shard_loads = loads.ShardLoads(started_at=0.0)
    for second in range(1, 61):
        for _ in range(20):
            shard_loads.add(3, weight=5.0)
        shard_loads.update(float(second))
    assert shard_loads.rates()[3] == pytest.approx(100.0, rel=0.01)


def test_idle_shards_are_dropped():
    """Guards against memory that grows with every shard that ever had traffic."""
    shard_loads = loads.ShardLoads(started_at=0.0)
    shard_loads.add(3)
    shard_loads.update(1.0)
    shard_loads.update(120.0)
    assert shard_loads.rates() == {}


def test_transfer_keeps_the_sum():
    """Guards against load that a split or a merge adds or loses."""
    shard_loads = loads.ShardLoads(started_at=0.0)
    for _ in range(100):
        shard_loads.add(1)
    shard_loads.update(1.0)
    before = shard_loads.rates()[1]
    shard_loads.transfer(1, 2, 5.0)
    assert shard_loads.rates() == {1: pytest.approx(before - 5.0), 2: pytest.approx(5.0)}
    shard_loads.transfer(2, 1, 50.0)
    assert shard_loads.rates()[1] == pytest.approx(before)


def test_repeated_roll_at_one_time_changes_nothing():
    """Guards against a division by zero when no time has passed."""
    shard_loads = loads.ShardLoads(started_at=0.0)
    shard_loads.add(1)
    shard_loads.update(1.0)
    before = shard_loads.rates()
    shard_loads.update(1.0)
    assert shard_loads.rates() == before
