"""Differential test of planned placement against rendezvous and modulo hashing."""

from __future__ import annotations

import random

import pytest

from celerystack import ids
from measurements import naive_placement, placement


@pytest.mark.parametrize("seed", range(3))
def test_no_worse_than_the_naive_placements(seed: int):
    """Guards against balance or churn that is worse than with hashing, over the same events."""
    rng = random.Random(seed)
    loads = placement.shard_loads(rng)
    names = [ids.ServerId(f"s{index}") for index in range(10)]
    shards = range(placement.SHARDS)
    owners = placement.apply_plans(None, names, loads)
    hashed = naive_placement.rendezvous(shards, names)
    modulo = naive_placement.modulo(shards, names)
    for step in range(4):
        if step % 2:
            names = [*names, ids.ServerId(f"s{20 + step}")]
        else:
            gone = rng.choice(names)
            names = [name for name in names if name != gone]
        kept = {shard: owner for shard, owner in owners.items() if owner in names}
        after = placement.apply_plans(kept, names, loads)
        after_hashed = naive_placement.rendezvous(shards, names)
        after_modulo = naive_placement.modulo(shards, names)
        load = placement.imbalance(after, names, loads)
        assert load <= placement.imbalance(after_hashed, names, loads)
        assert load <= placement.imbalance(after_modulo, names, loads)
        keys = dict.fromkeys(shards, 1.0)
        assert placement.imbalance(after, names, keys) <= 1.3
        moved = count_changes(owners, after)
        assert moved <= 1.3 * count_changes(hashed, after_hashed) + 10
        assert moved < count_changes(modulo, after_modulo)
        owners, hashed, modulo = after, after_hashed, after_modulo


def count_changes(before: dict, after: dict) -> int:
    return sum(1 for shard, owner in before.items() if after[shard] != owner)
