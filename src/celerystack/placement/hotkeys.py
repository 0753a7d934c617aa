"""Hot keys: when a key gets its own shard, and when that shard is merged back.

Relief itself comes from `assign.plan`: once a hot key has a shard of its own, the plan moves either
that shard or the other shards of its server, whichever evens out the load.
"""

from __future__ import annotations

import dataclasses
from collections.abc import Mapping

from celerystack import ids, model
from celerystack.placement import assign, balance, sketch

SPLIT_SHARE = 0.1
"""Share of the mean load of a server from which on a key is hot. Cooler keys are evened out by
moving whole shards."""
MERGE_SHARE = 0.03
"""Share of the mean load of a server below which a hot key has cooled down. Well below
`SPLIT_SHARE`, so that a key near either threshold does not flap."""
HOT_RATE_MIN = 5.0
"""Rate in requests/s below which no key is split: relief is not worth an epoch change."""
SPLIT_AFTER_S = 3.0
MERGE_AFTER_S = 60.0
SPLITS_PER_PLAN = 16
HOT_SHARDS_MAX = 1024


@dataclasses.dataclass(frozen=True, kw_only=True)
class HotState:
    """Input of `HotKeyPolicy.decide`.

    Attributes
    ----------
    rates : sketch.KeyRates
        Rates of the most frequent keys, merged over the entry VMs.
    base_shards : int
        Number of base shards of the service.
    owner_by_shard : mapping
        Owner of each shard, hot shards included; None without owner.
    key_by_hot_shard : mapping
        Key hash of each hot shard.
    load_by_server : mapping
        Requests/s divided by weight, for every server that may receive shards.
    moving_shards : frozenset of ShardId
        Shards with a move in progress; they are left alone.
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
    """Gives a key its own shard on the owner of its base shard."""

    key_hash: ids.KeyHash
    base: ids.ShardId


@dataclasses.dataclass(frozen=True)
class MergeShard:
    """Folds a hot shard back into its base shard; both have the same owner."""

    shard: ids.ShardId
    base: ids.ShardId


@dataclasses.dataclass(frozen=True)
class HotPlan:
    """Output of `HotKeyPolicy.decide`, hottest (splits) or longest cold (others) first.

    Attributes
    ----------
    moves : tuple of assign.MoveShard
        Cold hot shards to be brought back to the owner of their base shard; at most the churn
        budget.
    cooling_shards : frozenset of ShardId
        Hot shards about to be merged. Add them to `assign.PlacementState.fixed_shards`, or
        balancing may move them away again.
    """

    splits: tuple[SplitKey, ...] = ()
    merges: tuple[MergeShard, ...] = ()
    moves: tuple[assign.MoveShard, ...] = ()
    cooling_shards: frozenset[ids.ShardId] = frozenset()


class HotKeyPolicy:
    """Decides splits and merges for one service.

    A key is split after `SPLIT_AFTER_S` above `SPLIT_SHARE` by its sure rate, and only while the
    owner of its base shard is above the mean load by more than the tolerance. A hot shard is
    merged after `MERGE_AFTER_S` below `MERGE_SHARE` by its possible rate. Memory is bounded by the
    number of listed keys and of hot shards.
    """

    def __init__(self) -> None:
        self._hot_since: dict[ids.KeyHash, float] = {}
        self._cold_since: dict[ids.ShardId, float] = {}

    def decide(self, state: HotState, now: float) -> HotPlan:
        """Return the changes that are due at ``now`` (seconds)."""
        if not state.load_by_server:
            return HotPlan()
        mean = sum(state.load_by_server.values()) / len(state.load_by_server)
        splits = self._splits(state, mean, now)
        cooling = self._cooling(state, mean, now)
        merges: list[MergeShard] = []
        moves: list[assign.MoveShard] = []
        left = state.churn_budget
        for shard in cooling:
            base = _base_of(state.key_by_hot_shard[shard], state)
            owner, base_owner = state.owner_by_shard[shard], state.owner_by_shard.get(base)
            if owner is None or base_owner is None or base in state.moving_shards:
                continue
            if owner == base_owner:
                merges.append(MergeShard(shard, base))
            elif left >= balance.HOT_MOVE_COST and base_owner in state.load_by_server:
                left -= balance.HOT_MOVE_COST
                moves.append(assign.MoveShard(shard, owner, base_owner))
        return HotPlan(splits, tuple(merges), tuple(moves), frozenset(cooling))

    def _splits(self, state: HotState, mean: float, now: float) -> tuple[SplitKey, ...]:
        threshold = max(SPLIT_SHARE * mean, HOT_RATE_MIN)
        split_keys = set(state.key_by_hot_shard.values())
        since: dict[ids.KeyHash, float] = {}
        due: list[tuple[float, ids.KeyHash]] = []
        for key, rate in state.rates.rate_by_key.items():
            if key in split_keys or rate.sure < threshold:
                continue
            since[key] = self._hot_since.get(key, now)
            if now - since[key] >= SPLIT_AFTER_S and self._needs_relief(key, state, mean):
                due.append((-rate.sure, key))
        self._hot_since = since
        room = min(SPLITS_PER_PLAN, HOT_SHARDS_MAX - len(split_keys))
        chosen = sorted(due)[: max(0, room)]
        return tuple(SplitKey(key, _base_of(key, state)) for _, key in chosen)

    def _needs_relief(self, key: ids.KeyHash, state: HotState, mean: float) -> bool:
        base = _base_of(key, state)
        owner = state.owner_by_shard.get(base)
        if owner is None or base in state.moving_shards:
            return False
        return state.load_by_server.get(owner, 0.0) > mean * (1.0 + balance.TOLERANCE)

    def _cooling(self, state: HotState, mean: float, now: float) -> list[ids.ShardId]:
        threshold = max(MERGE_SHARE * mean, HOT_RATE_MIN * MERGE_SHARE / SPLIT_SHARE)
        since: dict[ids.ShardId, float] = {}
        for shard, key in state.key_by_hot_shard.items():
            rate = state.rates.rate_by_key.get(key)
            possible = state.rates.floor if rate is None else rate.rate
            if possible < threshold and shard not in state.moving_shards:
                since[shard] = self._cold_since.get(shard, now)
        self._cold_since = since
        due = [shard for shard, at in since.items() if now - at >= MERGE_AFTER_S]
        return sorted(due, key=lambda shard: (since[shard], shard))


def _base_of(key: ids.KeyHash, state: HotState) -> ids.ShardId:
    return ids.ShardId((key * state.base_shards) >> model.HASH_BITS)
