"""Placement over a seeded series of joins and removals of servers, against naive placements.

Imbalance is max over mean per server, for keys (shards are equal ranges of the hash) and for load.
Churn is the number of shards that change owner, relative to the minimum: all shards of servers that
leave, and for a join the new server's share by weight.
"""

from __future__ import annotations

import array
import random
import time
from collections.abc import Callable, Sequence

from celerystack import ids
from celerystack.placement import assign
from measurements import figures, naive_placement

SHARDS = 1024
SERVERS = 20
EVENTS = 30
SEED = 7
Owners = dict[ids.ShardId, ids.ServerId]
PlaceFunction = Callable[[Owners | None, list[ids.ServerId]], Owners]


def run() -> list[figures.Figure]:
    """Compare the three placements over the same events."""
    loads = shard_loads(random.Random(SEED))
    planned_values = evaluate(lambda owners, names: apply_plans(owners, names, loads), loads)
    hashed = evaluate(lambda _, names: naive_placement.rendezvous(range(SHARDS), names), loads)
    modulo = evaluate(lambda _, names: naive_placement.modulo(range(SHARDS), names), loads)
    names = ("load_max_over_mean", "keys_max_over_mean", "churn_over_minimum")
    result_figures = []
    for name, value, rendezvous_value, modulo_value in zip(
        names, planned_values, hashed, modulo, strict=True
    ):
        result_figures.append(figures.Figure(f"placement_{name}", value, "1", rendezvous_value))
        result_figures.append(
            figures.Figure(f"placement_{name}_vs_modulo", value, "1", modulo_value)
        )
    return [*result_figures, *million_shards()]


def shard_loads(rng: random.Random) -> dict[ids.ShardId, float]:
    """Return Pareto-distributed requests/s per shard, capped at 20 times the minimum."""
    return {ids.ShardId(s): min(20.0, rng.paretovariate(1.5)) for s in range(SHARDS)}


def apply_plans(
    owners: Owners | None, names: Sequence[ids.ServerId], loads: dict[ids.ShardId, float]
) -> Owners:
    """Return the owners after repeated plans, until a plan is empty or ten were applied."""
    before = owners or {}
    servers = [
        assign.PlacementServer(server=name, zone=ids.ZoneName(f"z{int(name[1:]) % 3}"))
        for name in names
    ]
    current = {s: before.get(s) for s in map(ids.ShardId, range(SHARDS))}
    for _ in range(10):
        state = assign.build_state(
            servers=servers,
            owner_by_shard=current,
            load_by_shard=loads,
            churn_budget=SHARDS // 10,
        )
        plan = assign.plan(state, 0.0)
        for change in (*plan.assigns, *plan.moves):
            current[change.shard] = change.target
        if not plan.assigns and not plan.moves:
            break
    return current


def evaluate(place: PlaceFunction, loads: dict[ids.ShardId, float]) -> tuple[float, float, float]:
    """Return mean load imbalance, mean key imbalance and churn over the minimum."""
    rng = random.Random(SEED)
    names = [ids.ServerId(f"s{index}") for index in range(SERVERS)]
    next_index = SERVERS
    owners = place(None, names)
    load_sum = key_sum = 0.0
    moved, minimum_moves = 0, 0.0
    for _ in range(EVENTS):
        removed: ids.ServerId | None = None
        if len(names) <= SERVERS - 3 or (rng.random() < 0.5 and len(names) < SERVERS + 3):
            names = [*names, ids.ServerId(f"s{next_index}")]
            next_index += 1
            minimum_moves += SHARDS / len(names)
        else:
            removed = rng.choice(names)
            names = [name for name in names if name != removed]
            minimum_moves += sum(1 for owner in owners.values() if owner == removed)
        after = place({s: o for s, o in owners.items() if o != removed}, names)
        moved += sum(1 for shard, owner in owners.items() if after[shard] != owner)
        owners = after
        load_sum += imbalance(owners, names, loads)
        key_sum += imbalance(owners, names, dict.fromkeys(owners, 1.0))
    return load_sum / EVENTS, key_sum / EVENTS, moved / minimum_moves


def imbalance(
    owners: Owners, names: Sequence[ids.ServerId], sizes: dict[ids.ShardId, float]
) -> float:
    """Return the largest sum of sizes per server divided by the mean."""
    size_by_server = dict.fromkeys(names, 0.0)
    for shard, owner in owners.items():
        size_by_server[owner] += sizes[shard]
    return max(size_by_server.values()) * len(names) / sum(size_by_server.values())


def million_shards() -> list[figures.Figure]:
    """Time the first placement and a join for one million shards on 1,000 servers."""
    shards = 1_000_000
    servers = [
        assign.PlacementServer(server=ids.ServerId(f"s{i:04}"), zone=ids.ZoneName(f"z{i % 9}"))
        for i in range(1001)
    ]
    state = assign.PlacementState(
        servers=servers[:1000],
        shards=range(shards),
        owners=array.array("I", [assign.NO_OWNER]) * shards,
        loads=array.array("d", [0.0]) * shards,
        churn_budget=shards // 10,
    )
    started = time.perf_counter()
    plan = assign.plan(state, 0.0)
    first_s = time.perf_counter() - started
    position_by_server = {server.server: i for i, server in enumerate(servers)}
    for change in plan.assigns:
        state.owners[change.shard] = position_by_server[change.target]
    state.servers = servers
    started = time.perf_counter()
    joined = assign.plan(state, 0.0)
    join_s = time.perf_counter() - started
    return [
        figures.Figure("placement_million_first_s", first_s, "s"),
        figures.Figure("placement_million_join_s", join_s, "s"),
        figures.Figure("placement_million_join_moves", len(joined.moves), "shards", shards / 1001),
    ]
