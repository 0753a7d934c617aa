"""Hot key policy: splits, merges, hysteresis, budget."""

from __future__ import annotations

import dataclasses

from celerystack import model
from celerystack.placement import assign, hotkeys, sketch

HOT = model.HOT_SHARD_BASE
KEY = 5


def state(rate: float, **changes) -> hotkeys.HotState:
    defaults = hotkeys.HotState(
        rates=sketch.KeyRates({KEY: sketch.KeyRate(rate, 0.0)}),
        base_shards=2,
        owner_by_shard={0: "a", 1: "b"},
        key_by_hot_shard={},
        load_by_server={"a": 300.0, "b": 100.0},
        churn_budget=5,
    )
    return dataclasses.replace(defaults, **changes)


def split_state(rate: float, hot_owner: str = "a", **changes) -> hotkeys.HotState:
    return state(
        rate,
        owner_by_shard={0: "a", 1: "b", HOT: hot_owner},
        key_by_hot_shard={HOT: KEY},
        **changes,
    )


def run_for(policy: hotkeys.HotKeyPolicy, view: hotkeys.HotState, start: float, end: float):
    plans = [policy.decide(view, at / 2) for at in range(int(start * 2), int(end * 2) + 1)]
    return plans[-1]


def test_hot_key_on_a_full_server_is_split():
    policy = hotkeys.HotKeyPolicy()
    assert policy.decide(state(100.0), 0.0).splits == ()
    plan = policy.decide(state(100.0), hotkeys.SPLIT_AFTER_S)
    assert plan.splits == (hotkeys.SplitKey(KEY, 0),)


def test_short_burst_is_not_split():
    policy = hotkeys.HotKeyPolicy()
    policy.decide(state(100.0), 0.0)
    policy.decide(state(1.0), 1.0)
    assert policy.decide(state(100.0), hotkeys.SPLIT_AFTER_S).splits == ()


def test_hot_key_on_a_server_that_is_not_full_stays():
    policy = hotkeys.HotKeyPolicy()
    view = state(100.0, load_by_server={"a": 200.0, "b": 200.0})
    assert run_for(policy, view, 0, 30).splits == ()


def test_uncertain_counter_is_not_split():
    """Guards against splitting a key that only inherited the count of an evicted one."""
    rates = sketch.KeyRates({KEY: sketch.KeyRate(100.0, 95.0)})
    assert run_for(hotkeys.HotKeyPolicy(), state(0.0, rates=rates), 0, 30).splits == ()


def test_key_is_not_split_while_its_shard_moves():
    view = state(100.0, moving_shards=frozenset({0}))
    assert run_for(hotkeys.HotKeyPolicy(), view, 0, 30).splits == ()


def test_splits_per_plan_are_bounded():
    rates = sketch.KeyRates({key: sketch.KeyRate(50.0 + key, 0.0) for key in range(40)})
    plan = run_for(hotkeys.HotKeyPolicy(), state(0.0, rates=rates), 0, 10)
    assert len(plan.splits) == hotkeys.SPLITS_PER_PLAN
    assert plan.splits[0].key_hash == 39


def test_cold_hot_shard_is_merged_on_its_base_owner():
    policy = hotkeys.HotKeyPolicy()
    assert run_for(policy, split_state(1.0), 0, hotkeys.MERGE_AFTER_S - 1).merges == ()
    plan = policy.decide(split_state(1.0), hotkeys.MERGE_AFTER_S)
    assert plan.merges == (hotkeys.MergeShard(HOT, 0),)


def test_cold_hot_shard_is_moved_home_before_it_is_merged():
    policy = hotkeys.HotKeyPolicy()
    away = split_state(1.0, hot_owner="b")
    plan = run_for(policy, away, 0, hotkeys.MERGE_AFTER_S)
    assert plan.merges == ()
    assert plan.moves == (assign.MoveShard(HOT, "b", "a"),)
    assert plan.cooling_shards == {HOT}


def test_move_home_waits_for_churn_budget():
    away = split_state(1.0, hot_owner="b", churn_budget=0)
    assert run_for(hotkeys.HotKeyPolicy(), away, 0, 100).moves == ()


def test_rate_between_the_thresholds_neither_splits_nor_merges():
    """Guards against flapping around one threshold: mean 200, so 6 to 20 requests/s."""
    for rate in (7.0, 12.0, 19.0):
        assert run_for(hotkeys.HotKeyPolicy(), state(rate), 0, 200).splits == ()
        assert run_for(hotkeys.HotKeyPolicy(), split_state(rate), 0, 200).merges == ()


def test_one_busy_moment_restarts_the_wait_for_a_merge():
    policy = hotkeys.HotKeyPolicy()
    run_for(policy, split_state(1.0), 0, 50)
    policy.decide(split_state(100.0), 51.0)
    assert run_for(policy, split_state(1.0), 52, 100).merges == ()


def test_unlisted_key_counts_with_the_floor():
    """Guards against merging a key whose counter was merely not reported."""
    rates = sketch.KeyRates({}, floor=50.0)
    assert run_for(hotkeys.HotKeyPolicy(), split_state(0.0, rates=rates), 0, 200).merges == ()


def test_no_server_plans_nothing():
    assert hotkeys.HotKeyPolicy().decide(state(1.0, load_by_server={}), 0.0) == hotkeys.HotPlan()
