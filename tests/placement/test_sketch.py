"""Error bounds, decay, merging and bounded memory of the hot key sketch."""

from __future__ import annotations

import collections
import math
import random

import hypothesis
import pytest
from hypothesis import strategies

from celerystack.placement import sketch


@hypothesis.given(
    keys=strategies.lists(strategies.integers(0, 30), max_size=300),
    capacity=strategies.integers(1, 20),
)
@hypothesis.settings(max_examples=200, deadline=None)
def test_bounds_hold(keys: list[int], capacity: int):
    """Guards against true rates outside of the bounds, and unlisted keys above their maximum."""
    hot_keys = sketch.HotKeySketch(capacity=capacity, started_at=0.0)
    for key in keys:
        hot_keys.add(key, 0.0)
    assert len(hot_keys) <= capacity
    counts = collections.Counter(keys)
    scale = 1.0 / (sketch.DECAY_S * -math.expm1(-0.1 / sketch.DECAY_S))
    rates = hot_keys.rates(0.0)
    for key, count in counts.items():
        rate = rates.rate_by_key.get(key)
        if rate is None:
            assert count * scale <= rates.unlisted_rate_max + 1e-6
        else:
            assert rate.lower_bound - 1e-6 <= count * scale <= rate.rate + 1e-6
            assert rate.error <= len(keys) / capacity * scale + 1e-6


@hypothesis.given(
    parts=strategies.lists(
        strategies.lists(strategies.integers(0, 20), max_size=100), min_size=1, max_size=4
    ),
    limit=strategies.integers(1, 30),
)
@hypothesis.settings(max_examples=200, deadline=None)
def test_merged_bounds_hold(parts: list[list[int]], limit: int):
    """Guards against wrong bounds of a key that only some of the merged entry VMs listed."""
    reports = []
    for keys in parts:
        hot_keys = sketch.HotKeySketch(capacity=5, started_at=0.0)
        for key in keys:
            hot_keys.add(key, 0.0)
        reports.append(hot_keys.rates(0.0))
    merged = sketch.merge(reports, limit=limit)
    assert len(merged.rate_by_key) <= limit
    scale = 1.0 / (sketch.DECAY_S * -math.expm1(-0.1 / sketch.DECAY_S))
    for key, count in collections.Counter(key for keys in parts for key in keys).items():
        rate = merged.rate_by_key.get(key)
        if rate is None:
            assert count * scale <= merged.unlisted_rate_max + 1e-6
        else:
            assert rate.lower_bound - 1e-6 <= count * scale <= rate.rate + 1e-6


def test_rate_follows_the_traffic():
    """Guards against a biased estimate of the rate of one frequent key among many rare ones."""
    hot_keys = sketch.HotKeySketch(capacity=64, started_at=0.0)
    rng = random.Random(2)
    now = 0.0
    while now < 60.0:
        now += 0.01
        hot_keys.add(7 if rng.random() < 0.3 else rng.getrandbits(64), now, weight=10.0)
    rate = hot_keys.rates(now).rate_by_key[7]
    assert rate.lower_bound <= 330.0
    assert rate.rate >= 250.0


def test_cold_keys_age_out():
    """Guards against splitting a key that was hot long ago."""
    hot_keys = sketch.HotKeySketch(capacity=8, started_at=0.0)
    for _ in range(10_000):
        hot_keys.add(1, 10.0)
    decayed_at = 10.0 + 20 * sketch.DECAY_S
    assert hot_keys.rates(decayed_at).rate_by_key[1].rate < 0.01


@pytest.mark.parametrize("gap", [400.0, 600.0, 100_000.0])
def test_long_pauses_do_not_overflow(gap: float):
    """Guards against weights that overflow a float after a long time without requests."""
    hot_keys = sketch.HotKeySketch(capacity=4, started_at=0.0)
    now = 0.0
    for _ in range(20):
        now += gap
        for key in range(6):
            hot_keys.add(key, now)
    rates = hot_keys.rates(now)
    assert len(rates.rate_by_key) == 4
    assert all(math.isfinite(rate.rate) for rate in rates.rate_by_key.values())
