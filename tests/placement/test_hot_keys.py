"""Splits and merges of hot keys, their hysteresis and their churn budget."""

from __future__ import annotations

import dataclasses

from celerystack import model
from celerystack.placement import assign, hot_keys, sketch

HOT_SHARD = model.HOT_SHARD_BASE
KEY = 5


def make_state(rate: float, **changes) -> hot_keys.HotKeyState:
    defaults = hot_keys.HotKeyState(
        rates=sketch.KeyRates({KEY: sketch.KeyRate(rate, 0.0)}),
        base_shards=2,
        owner_by_shard={0: "a", 1: "b"},
        key_by_hot_shard={},
        load_by_server={"a": 300.0, "b": 100.0},
        churn_budget=5,
    )
    return dataclasses.replace(defaults, **changes)


def make_split_state(rate: float, hot_owner: str = "a", **changes) -> hot_keys.HotKeyState:
    return make_state(
        rate,
        owner_by_shard={0: "a", 1: "b", HOT_SHARD: hot_owner},
        key_by_hot_shard={HOT_SHARD: KEY},
        **changes,
    )


def run_for(policy: hot_keys.HotKeyPolicy, state: hot_keys.HotKeyState, start: float, end: float):
    plans = [policy.decide(state, at / 2) for at in range(int(start * 2), int(end * 2) + 1)]
    return plans[-1]


def test_hot_key_on_a_full_server_is_split():
    """Guards against a hot key that stays in its base shard on an overloaded server."""
    policy = hot_keys.HotKeyPolicy()
    assert policy.decide(make_state(100.0), 0.0).splits == ()
    plan = policy.decide(make_state(100.0), hot_keys.SPLIT_AFTER_S)
    assert plan.splits == (hot_keys.SplitKey(KEY, 0),)


def test_short_burst_is_not_split():
    """Guards against a split because of a burst shorter than `SPLIT_AFTER_S`."""
    policy = hot_keys.HotKeyPolicy()
    policy.decide(make_state(100.0), 0.0)
    policy.decide(make_state(1.0), 1.0)
    assert policy.decide(make_state(100.0), hot_keys.SPLIT_AFTER_S).splits == ()


def test_hot_key_on_a_server_that_is_not_full_stays():
    """Guards against splits that cannot improve the balance of the load."""
    policy = hot_keys.HotKeyPolicy()
    state = make_state(100.0, load_by_server={"a": 200.0, "b": 200.0})
    assert run_for(policy, state, 0, 30).splits == ()


def test_uncertain_counter_is_not_split():
    """Guards against splitting a key whose count is mostly that of an evicted counter."""
    rates = sketch.KeyRates({KEY: sketch.KeyRate(100.0, 95.0)})
    assert run_for(hot_keys.HotKeyPolicy(), make_state(0.0, rates=rates), 0, 30).splits == ()


def test_key_is_not_split_while_its_shard_moves():
    """Guards against a split of a base shard whose move is in progress."""
    state = make_state(100.0, moving_shards=frozenset({0}))
    assert run_for(hot_keys.HotKeyPolicy(), state, 0, 30).splits == ()


def test_splits_per_plan_are_bounded():
    """Guards against a plan with an unbounded number of splits."""
    rates = sketch.KeyRates({key: sketch.KeyRate(50.0 + key, 0.0) for key in range(40)})
    plan = run_for(hot_keys.HotKeyPolicy(), make_state(0.0, rates=rates), 0, 10)
    assert len(plan.splits) == hot_keys.SPLITS_PER_PLAN
    assert plan.splits[0].key_hash == 39


def test_cold_hot_shard_is_merged_on_its_base_owner():
    """Guards against a merge before `MERGE_AFTER_S`, and against hot shards kept forever."""
    policy = hot_keys.HotKeyPolicy()
    assert run_for(policy, make_split_state(1.0), 0, hot_keys.MERGE_AFTER_S - 1).merges == ()
    plan = policy.decide(make_split_state(1.0), hot_keys.MERGE_AFTER_S)
    assert plan.merges == (hot_keys.MergeShard(HOT_SHARD, 0),)


def test_cold_hot_shard_moves_to_its_base_owner_before_the_merge():
    """Guards against merging a hot shard into a base shard of another owner."""
    policy = hot_keys.HotKeyPolicy()
    moved_state = make_split_state(1.0, hot_owner="b")
    plan = run_for(policy, moved_state, 0, hot_keys.MERGE_AFTER_S)
    assert plan.merges == ()
    assert plan.moves == (assign.MoveShard(HOT_SHARD, "b", "a"),)
    assert plan.cooled_shards == {HOT_SHARD}


def test_move_before_a_merge_waits_for_churn_budget():
    """Guards against a move of a cold hot shard beyond the churn budget."""
    moved_state = make_split_state(1.0, hot_owner="b", churn_budget=0)
    assert run_for(hot_keys.HotKeyPolicy(), moved_state, 0, 100).moves == ()


def test_rate_between_the_thresholds_neither_splits_nor_merges():
    """Guards against flapping: with a mean of 200 the thresholds are 6 and 20 requests/s."""
    for rate in (7.0, 12.0, 19.0):
        assert run_for(hot_keys.HotKeyPolicy(), make_state(rate), 0, 200).splits == ()
        assert run_for(hot_keys.HotKeyPolicy(), make_split_state(rate), 0, 200).merges == ()


def test_short_burst_restarts_the_wait_for_a_merge():
    """Guards against merging a key that has been hot within the last `MERGE_AFTER_S`."""
    policy = hot_keys.HotKeyPolicy()
    run_for(policy, make_split_state(1.0), 0, 50)
    policy.decide(make_split_state(100.0), 51.0)
    assert run_for(policy, make_split_state(1.0), 52, 100).merges == ()


def test_unlisted_key_counts_with_the_maximum_rate():
    """Guards against merging a hot key that no entry VM listed among its most frequent ones."""
    rates = sketch.KeyRates({}, unlisted_rate_max=50.0)
    assert run_for(hot_keys.HotKeyPolicy(), make_split_state(0.0, rates=rates), 0, 200).merges == ()


def test_no_server_plans_nothing():
    """Guards against a division by zero if no server may receive shards."""
    assert (
        hot_keys.HotKeyPolicy().decide(make_state(1.0, load_by_server={}), 0.0)
        == hot_keys.HotKeyPlan()
    )
