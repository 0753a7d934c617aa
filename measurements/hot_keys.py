"""Hot keys: load imbalance with and without splitting, while the hottest keys change.

Half of the traffic goes to 330 hot keys with Zipf-distributed rates, the rest evenly to all base
shards. Every two minutes another 330 keys become hot. Three entry VMs sample the traffic; the
policies know only the sketches and load estimates of these samples.
"""

from __future__ import annotations

import random

from celerystack import ids, model
from celerystack.placement import assign, churn, hot_keys, loads, sketch
from measurements import figures

SERVERS = 20
BASE_SHARDS = 64
HOT_KEYS = 330
ZIPF_EXPONENT = 0.8
REQUESTS_PER_S = 2_000.0
SAMPLES_PER_S = 2000
ENTRY_VMS = 3
PHASE_S = 120
PHASES = 3
SETTLED_S = 60
CHURN_PER_MINUTE = 0.1
SEED = 11


def run() -> list[figures.Figure]:
    """Run the same traffic with and, as the baseline, without splitting of hot keys."""
    split = Simulation(split_keys=True)
    unsplit = Simulation(split_keys=False)
    split.run()
    unsplit.run()
    pairs = [
        ("load_max_over_mean", split.settled_imbalance(), unsplit.settled_imbalance(), "1"),
        ("load_max_over_mean_p99", split.imbalance_p99(), unsplit.imbalance_p99(), "1"),
        ("load_lower_bound", split.lower_bound(), None, "1"),
        ("moves_per_minute", split.moves_per_minute(), unsplit.moves_per_minute(), "shards"),
        ("moves_in_a_minute_max", split.busiest_minute(), unsplit.busiest_minute(), "shards"),
        ("base_moves", split.base_moves, unsplit.base_moves, "shards"),
        ("splits", split.splits, None, "keys"),
        ("merges", split.merges, None, "keys"),
        ("repeated_splits", split.repeated_splits, None, "keys"),
    ]
    return [figures.Figure(f"hot_keys_{n}", v, unit, base) for n, v, base, unit in pairs]


class Simulation:
    """One service over `PHASES` sets of hot keys; moves take effect within a second."""

    def __init__(self, *, split_keys: bool) -> None:
        self._rng = random.Random(SEED)
        self._split_keys = split_keys
        self._sketches = [
            sketch.HotKeySketch(capacity=1024, started_at=0.0) for _ in range(ENTRY_VMS)
        ]
        self._loads = loads.ShardLoads(started_at=0.0)
        self._policy = hot_keys.HotKeyPolicy()
        self._budget = churn.ChurnBudget(share=CHURN_PER_MINUTE, shards=BASE_SHARDS)
        self._servers = [
            assign.PlacementServer(server=ids.ServerId(f"s{i:02}"), zone=ids.ZoneName(f"z{i % 3}"))
            for i in range(SERVERS)
        ]
        self._owner_by_shard: dict[ids.ShardId, ids.ServerId | None] = dict.fromkeys(
            range(BASE_SHARDS)
        )
        self._shard_by_key: dict[ids.KeyHash, ids.ShardId] = {}
        self._next_hot_shard = model.HOT_SHARD_BASE
        self._rate_by_key: dict[ids.KeyHash, float] = {}
        self._imbalances: list[tuple[int, float]] = []
        self._move_times_s: list[int] = []
        self.base_moves = 0
        self._last_shard_by_split_key: dict[ids.KeyHash, int] = {}
        self.splits = self.merges = self.repeated_splits = 0

    def run(self) -> None:
        """Advance second by second."""
        for second in range(1, PHASE_S * PHASES + 1):
            if (second - 1) % PHASE_S == 0:
                self._change_hot_keys()
            self._sample(second)
            self._rebalance(float(second))
            self._imbalances.append((second, self._imbalance()))

    def settled_imbalance(self) -> float:
        """Return the mean imbalance from `SETTLED_S` after each change of the hot set."""
        late = [v for s, v in self._imbalances if (s - 1) % PHASE_S >= SETTLED_S]
        return sum(late) / len(late)

    def imbalance_p99(self) -> float:
        """Return the 99th percentile over all seconds, the changes included."""
        return figures.percentile([value for _, value in self._imbalances], 0.99)

    def lower_bound(self) -> float:
        """Return the least possible imbalance: the hottest key over the mean load, at least 1."""
        return max(1.0, max(self._rate_by_key.values()) * SERVERS / REQUESTS_PER_S)

    def moves_per_minute(self) -> float:
        """Return the mean number of ownership changes after the first placement."""
        return len(self._move_times_s) * 60.0 / (PHASE_S * PHASES)

    def busiest_minute(self) -> float:
        """Return the largest number of ownership changes in a minute."""
        return max(
            (sum(1 for at in self._move_times_s if 0 <= at - s < 60) for s in self._move_times_s),
            default=0,
        )

    def _change_hot_keys(self) -> None:
        weights = [1.0 / rank**ZIPF_EXPONENT for rank in range(1, HOT_KEYS + 1)]
        scale = REQUESTS_PER_S / 2 / sum(weights)
        self._rate_by_key = {self._rng.getrandbits(64): w * scale for w in weights}

    def _sample(self, second: int) -> None:
        keys = list(self._rate_by_key)
        hot = self._rng.choices(keys, list(self._rate_by_key.values()), k=SAMPLES_PER_S // 2)
        cold = [self._rng.getrandbits(64) for _ in range(SAMPLES_PER_S // 2)]
        weight = REQUESTS_PER_S / SAMPLES_PER_S
        for key in (*hot, *cold):
            self._rng.choice(self._sketches).add(key, float(second), weight=weight)
            self._loads.add(self._shard_of(key), weight=weight)
        self._loads.update(float(second))

    def _rebalance(self, now: float) -> None:
        load_by_shard = self._loads.rates()
        cooling: frozenset[ids.ShardId] = frozenset()
        if self._split_keys:
            cooling = self._hot_key_changes(load_by_shard, now)
            load_by_shard = self._loads.rates()
        state = assign.build_state(
            servers=self._servers,
            owner_by_shard=self._owner_by_shard,
            load_by_shard=load_by_shard,
            churn_budget=self._budget.available(now),
            fixed_shards=cooling,
        )
        plan = assign.plan(state, now)
        for change in plan.assigns:
            self._owner_by_shard[change.shard] = change.target
        self._move(plan.moves, now)

    def _hot_key_changes(
        self, load_by_shard: dict[ids.ShardId, float], now: float
    ) -> frozenset[ids.ShardId]:
        rates = sketch.merge([s.rates(now, limit=512) for s in self._sketches], limit=1024)
        load_by_server = {server.server: 0.0 for server in self._servers}
        for shard, owner in self._owner_by_shard.items():
            if owner is not None:
                load_by_server[owner] += load_by_shard.get(shard, 0.0)
        key_by_shard = {shard: key for key, shard in self._shard_by_key.items()}
        state = hot_keys.HotKeyState(
            rates=rates,
            base_shards=BASE_SHARDS,
            owner_by_shard=self._owner_by_shard,
            key_by_hot_shard=key_by_shard,
            load_by_server=load_by_server,
            churn_budget=self._budget.available(now),
        )
        plan = self._policy.decide(state, now)
        for split in plan.splits:
            self._split(split, rates.rate_by_key[split.key_hash].rate)
        for merge in plan.merges:
            self._merge(merge, key_by_shard[merge.shard])
        self._move(plan.moves, now)
        return plan.cooled_shards

    def _split(self, split: hot_keys.SplitKey, rate: float) -> None:
        shard = ids.ShardId(self._next_hot_shard)
        self._next_hot_shard += 1
        self._owner_by_shard[shard] = self._owner_by_shard[split.base]
        self._shard_by_key[split.key_hash] = shard
        self._loads.transfer(split.base, shard, rate)
        self.splits += 1
        self.repeated_splits += split.key_hash in self._last_shard_by_split_key
        self._last_shard_by_split_key[split.key_hash] = shard

    def _merge(self, merge: hot_keys.MergeShard, key: ids.KeyHash) -> None:
        del self._owner_by_shard[merge.shard]
        del self._shard_by_key[key]
        self._loads.transfer(merge.shard, merge.base, REQUESTS_PER_S)
        self.merges += 1

    def _move(self, moves: tuple[assign.MoveShard, ...], now: float) -> None:
        for move in moves:
            self._owner_by_shard[move.shard] = move.target
        self._move_times_s.extend([int(now)] * len(moves))
        self.base_moves += sum(m.shard < model.HOT_SHARD_BASE for m in moves)
        self._budget.spend(assign.churn_cost(moves), now)

    def _imbalance(self) -> float:
        load_by_server = {server.server: 0.0 for server in self._servers}
        for shard in range(BASE_SHARDS):
            load_by_server[self._owner_by_shard[shard]] += REQUESTS_PER_S / 2 / BASE_SHARDS
        for key, rate in self._rate_by_key.items():
            load_by_server[self._owner_by_shard[self._shard_of(key)]] += rate
        return max(load_by_server.values()) * SERVERS / REQUESTS_PER_S

    def _shard_of(self, key: ids.KeyHash) -> ids.ShardId:
        base = ids.ShardId((key * BASE_SHARDS) >> model.HASH_BITS)
        return self._shard_by_key.get(key, base)
