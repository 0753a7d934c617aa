"""Hot keys: when a key is split off into its own shard, and when that shard is merged back.

A split alone moves no load. Once a hot key has its own shard, `assign.plan` moves either that shard
or other shards of its server to balance the load.
"""

from __future__ import annotations

import dataclasses
from collections.abc import Mapping

from celerystack import ids, model
from celerystack.placement import assign, balance, sketch

SPLIT_SHARE = 0.1
"""Share of the mean load of a server at and above which a key is hot. The load of other keys is
balanced by moving whole shards."""
MERGE_SHARE = 0.03
"""Share of the mean load of a server below which a hot key is cold. The gap to `SPLIT_SHARE` is the
hysteresis that keeps a key near either threshold from flapping."""
HOT_RATE_MIN = 5.0
"""Rate in requests/s below which no key is split: the gain is not worth an epoch change."""
SPLIT_AFTER_S = 3.0
MERGE_AFTER_S = 60.0
SPLITS_PER_PLAN = 16
HOT_SHARDS_MAX = 1024


@dataclasses.dataclass(frozen=True, kw_only=True)
class HotKeyState:
    """Input of `HotKeyPolicy.decide`.

    Attributes
    ----------
    rates : sketch.KeyRates
        Rates of the most frequent keys, summed over the entry VMs.
    base_shards : int
        Number of base shards of the service.
    owner_by_shard : mapping
        Owner of each shard, including hot shards; None if it has none.
    key_by_hot_shard : mapping
        Key hash of each hot shard.
    load_by_server : mapping
        Requests/s divided by weight, for each server that may receive shards.
    moving_shards : frozenset of ShardId
        Shards with a move in progress, which are neither split nor merged.
    churn_budget : float
        Number of shards that may move now; a hot shard counts `balance.HOT_MOVE_COST`.
    """

    rates: sketch.KeyRates
    base_shards: int
    owner_by_shard: Mapping[ids.ShardId, ids.ServerId | None]
    key_by_hot_shard: Mapping[ids.ShardId, ids.KeyHash]
    load_by_server: Mapping[ids.ServerId, float]
    moving_shards: frozenset[ids.ShardId] = frozenset()
    churn_budget: float = 0.0


@dataclasses.dataclass(frozen=True)
class SplitKey:
    """Splits a key off into its own shard, with the owner of its base shard."""

    key_hash: ids.KeyHash
    base: ids.ShardId


@dataclasses.dataclass(frozen=True)
class MergeShard:
    """Merges a hot shard into its base shard; both have the same owner."""

    shard: ids.ShardId
    base: ids.ShardId


@dataclasses.dataclass(frozen=True)
class HotKeyPlan:
    """Output of `HotKeyPolicy.decide`.

    Splits are ordered from the hottest key, merges and moves from the longest cold one.

    Attributes
    ----------
    moves : tuple of assign.MoveShard
        Moves of cold hot shards back to the owner of their base shard, within the churn budget.
    cooled_shards : frozenset of ShardId
        Hot shards about to be merged. The caller adds them to
        `assign.PlacementState.fixed_shards`; otherwise balancing may move them away again.
    """

    splits: tuple[SplitKey, ...] = ()
    merges: tuple[MergeShard, ...] = ()
    moves: tuple[assign.MoveShard, ...] = ()
    cooled_shards: frozenset[ids.ShardId] = frozenset()


class HotKeyPolicy:
    """Decides splits and merges for one service.

    A key is split once the lower bound of its rate has been at `SPLIT_SHARE` or above for
    `SPLIT_AFTER_S`, and only while the load of its owner exceeds the mean by more than
    `balance.IMBALANCE_TOLERANCE`. A hot shard is merged once the upper bound of its rate has been
    below `MERGE_SHARE` for `MERGE_AFTER_S`. Memory is bounded by the number of keys in
    ``HotKeyState.rates`` and the number of hot shards.
    """

    def __init__(self) -> None:
        self._hot_since: dict[ids.KeyHash, float] = {}
        self._cold_since: dict[ids.ShardId, float] = {}

    def decide(self, state: HotKeyState, now: float) -> HotKeyPlan:
        """Return the changes that are due at ``now`` (seconds)."""
        if not state.load_by_server:
            return HotKeyPlan()
        mean = sum(state.load_by_server.values()) / len(state.load_by_server)
        splits = self._due_splits(state, mean, now)
        cooled = self._cooled_shards(state, mean, now)
        merges: list[MergeShard] = []
        moves: list[assign.MoveShard] = []
        remaining_budget = state.churn_budget
        for shard in cooled:
            base = _base_shard(state.key_by_hot_shard[shard], state)
            owner, base_owner = state.owner_by_shard[shard], state.owner_by_shard.get(base)
            if owner is None or base_owner is None or base in state.moving_shards:
                continue
            if owner == base_owner:
                merges.append(MergeShard(shard, base))
            elif remaining_budget >= balance.HOT_MOVE_COST and base_owner in state.load_by_server:
                remaining_budget -= balance.HOT_MOVE_COST
                moves.append(assign.MoveShard(shard, owner, base_owner))
        return HotKeyPlan(splits, tuple(merges), tuple(moves), frozenset(cooled))

    def _due_splits(self, state: HotKeyState, mean: float, now: float) -> tuple[SplitKey, ...]:
        """Return the splits that are due, hottest key first, and update the times of hot keys."""
        threshold = max(SPLIT_SHARE * mean, HOT_RATE_MIN)
        split_keys = set(state.key_by_hot_shard.values())
        hot_since: dict[ids.KeyHash, float] = {}
        due: list[tuple[float, ids.KeyHash]] = []
        for key, rate in state.rates.rate_by_key.items():
            if key in split_keys or rate.lower_bound < threshold:
                continue
            hot_since[key] = self._hot_since.get(key, now)
            if now - hot_since[key] >= SPLIT_AFTER_S and self._owner_overloaded(key, state, mean):
                due.append((-rate.lower_bound, key))
        self._hot_since = hot_since
        split_limit = min(SPLITS_PER_PLAN, HOT_SHARDS_MAX - len(split_keys))
        chosen = sorted(due)[: max(0, split_limit)]
        return tuple(SplitKey(key, _base_shard(key, state)) for _, key in chosen)

    def _owner_overloaded(self, key: ids.KeyHash, state: HotKeyState, mean: float) -> bool:
        base = _base_shard(key, state)
        owner = state.owner_by_shard.get(base)
        if owner is None or base in state.moving_shards:
            return False
        return state.load_by_server.get(owner, 0.0) > mean * (1.0 + balance.IMBALANCE_TOLERANCE)

    def _cooled_shards(self, state: HotKeyState, mean: float, now: float) -> list[ids.ShardId]:
        """Return the hot shards to merge, longest cold first, and update the times of cold ones."""
        threshold = max(MERGE_SHARE * mean, HOT_RATE_MIN * MERGE_SHARE / SPLIT_SHARE)
        cold_since: dict[ids.ShardId, float] = {}
        for shard, key in state.key_by_hot_shard.items():
            rate = state.rates.rate_by_key.get(key)
            rate_max = state.rates.unlisted_rate_max if rate is None else rate.rate
            if rate_max < threshold and shard not in state.moving_shards:
                cold_since[shard] = self._cold_since.get(shard, now)
        self._cold_since = cold_since
        due = [shard for shard, at in cold_since.items() if now - at >= MERGE_AFTER_S]
        return sorted(due, key=lambda shard: (cold_since[shard], shard))


def _base_shard(key: ids.KeyHash, state: HotKeyState) -> ids.ShardId:
    return ids.ShardId((key * state.base_shards) >> model.HASH_BITS)
