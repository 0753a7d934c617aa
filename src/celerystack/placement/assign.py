"""Assignment of shards to servers: bounded load with as few ownership changes as possible.

The state is held in arrays, one entry per shard and no object per shard, so a service with a
million shards fits in about 20 MB.
"""

from __future__ import annotations

import array
import dataclasses
import math
from collections.abc import Iterable, Mapping, Sequence

from celerystack import ids
from celerystack.placement import balance

NO_OWNER = 0xFFFF_FFFF
BASE_COST_SHARE = 0.05
"""Share of the total cost that is spread evenly over the base shards; the rest follows the load.
With load alone, idle shards, which may become busy at any time, would not be balanced. With 0.2
the load of a server exceeded the mean by 15% after a join, with 0.05 by less than 1% (4,096
shards of Pareto-distributed load on 21 servers, seed 1)."""
RAMP_S = 30.0
"""Time over which a newly usable server is ramped up to its full weight (slow start)."""
RAMP_FRACTION_MIN = 0.2
"""Fraction of its weight at which the ramp of a newly usable server starts."""


@dataclasses.dataclass(frozen=True, kw_only=True)
class PlacementServer:
    """Properties of a server that placement depends on.

    Attributes
    ----------
    weight : float
        Relative capacity, greater than 0.
    usable : bool
        Whether the server may receive shards. A server that is neither usable, draining nor lost
        keeps its shards but receives none.
    draining : bool
        Whether all shards must move away from the server.
    lost : bool
        Whether the server has lost ownership of its shards, so that they may be assigned.
    usable_since : float
        Time at which the server (this incarnation) became usable, in seconds.
    """

    server: ids.ServerId
    zone: ids.ZoneName
    weight: float = 1.0
    usable: bool = True
    draining: bool = False
    lost: bool = False
    usable_since: float = -math.inf

    def accepts_shards(self) -> bool:
        """Return whether shards may be assigned or moved to the server."""
        return self.usable and not self.draining and not self.lost

    def ramp_fraction(self, now: float) -> float:
        """Return the fraction of the weight, `RAMP_FRACTION_MIN` to 1, usable at ``now``."""
        age = max(0.0, now - self.usable_since)
        return min(1.0, RAMP_FRACTION_MIN + (1.0 - RAMP_FRACTION_MIN) * min(1.0, age / RAMP_S))


@dataclasses.dataclass(kw_only=True)
class PlacementState:
    """Input of `plan`: the servers and shards of one service.

    Attributes
    ----------
    servers : sequence of PlacementServer
    shards : sequence of ShardId
        Shard id per position; a ``range`` for base shards alone.
    owners : array of unsigned int, length ``len(shards)``
        Position of the owner in ``servers``, or `NO_OWNER`.
    loads : array of float, length ``len(shards)``
        Estimated requests/s; 0 if unknown.
    churn_budget : float
        Number of shards that balancing may move now; a hot shard counts `balance.HOT_MOVE_COST`.
    fixed_shards : frozenset of ShardId
        Shards that the plan must not change, such as those with a move in progress. The caller
        gives the target of the move as their owner, so that their load counts there.
    former_zone_by_shard : mapping
        Zone of the last owner, where known, by shard without an owner.
    """

    servers: Sequence[PlacementServer]
    shards: Sequence[ids.ShardId]
    owners: array.array
    loads: array.array
    churn_budget: float = 0.0
    fixed_shards: frozenset[ids.ShardId] = frozenset()
    former_zone_by_shard: Mapping[ids.ShardId, ids.ZoneName] = dataclasses.field(
        default_factory=dict
    )


@dataclasses.dataclass(frozen=True)
class AssignShard:
    """Assigns a shard without an owner to ``target``."""

    shard: ids.ShardId
    target: ids.ServerId


@dataclasses.dataclass(frozen=True)
class MoveShard:
    """Moves a shard from its owner to another server."""

    shard: ids.ShardId
    source: ids.ServerId
    target: ids.ServerId


@dataclasses.dataclass(frozen=True)
class Plan:
    """Output of `plan`: changes in order of priority.

    Attributes
    ----------
    assigns : tuple of Assign
        Not limited by the churn budget.
    moves : tuple of MoveShard
        Drain moves, which are not limited, followed by balancing moves within
        ``churn_budget``.
    drain_moves : int
        Number of drain moves at the start of ``moves``.
    """

    assigns: tuple[AssignShard, ...] = ()
    moves: tuple[MoveShard, ...] = ()
    drain_moves: int = 0


def build_state(
    *,
    servers: Iterable[PlacementServer],
    owner_by_shard: Mapping[ids.ShardId, ids.ServerId | None],
    load_by_shard: Mapping[ids.ShardId, float] | None = None,
    churn_budget: float = 0.0,
    fixed_shards: Iterable[ids.ShardId] = (),
    former_zone_by_shard: Mapping[ids.ShardId, ids.ZoneName] | None = None,
) -> PlacementState:
    """Return a state built from mappings, for services with few shards.

    A shard whose owner is not among ``servers`` counts as unowned.
    """
    ordered = sorted(servers, key=lambda server: server.server)
    index_by_server = {server.server: index for index, server in enumerate(ordered)}
    shards = sorted(owner_by_shard)
    loads = load_by_shard or {}
    owners = (index_by_server.get(owner_by_shard[shard], NO_OWNER) for shard in shards)
    return PlacementState(
        servers=ordered,
        shards=shards,
        owners=array.array("I", owners),
        loads=array.array("d", (loads.get(shard, 0.0) for shard in shards)),
        churn_budget=churn_budget,
        fixed_shards=frozenset(fixed_shards),
        former_zone_by_shard=former_zone_by_shard or {},
    )


def plan(state: PlacementState, now: float) -> Plan:
    """Return assignments and moves for the state at ``now`` (seconds).

    Shards without an owner and shards of draining servers go to the least filled servers, the
    most expensive shards first; a server of the former owner's zone is preferred if it stays below
    the mean or ends up no fuller than the least filled server would. Then shards move from the
    fullest to the least filled servers if the imbalance exceeds `balance.IMBALANCE_TRIGGER`, until
    it is down to `balance.IMBALANCE_TOLERANCE` or no move reduces it. Fill is cost divided by
    weight. A server that is being ramped up receives shards as if its weight were smaller, but
    gives none away because of it. The result is a pure function of the arguments.
    """
    if not any(server.accepts_shards() for server in state.servers):
        return Plan()
    costs = shard_costs(state)
    fill_table = balance.FillTable(state.servers, now)
    unowned, drained = _classify_shards(state, costs, fill_table)
    sort_key = _descending_cost(costs)
    unowned.sort(key=sort_key)
    drained.sort(key=sort_key)
    server_ids = [server.server for server in state.servers]
    assigns = [
        AssignShard(state.shards[position], server_ids[fill_table.place(costs[position], zone)])
        for position, zone in ((p, _former_zone(state, p)) for p in unowned)
    ]
    moves = [
        MoveShard(
            state.shards[position],
            server_ids[owner],
            server_ids[fill_table.place(costs[position], zone)],
        )
        for position, owner, zone in (
            (p, state.owners[p], state.servers[state.owners[p]].zone) for p in drained
        )
    ]
    drain_moves = len(moves)
    if state.churn_budget > 0.0:
        for position, source, target in balance.balance(state, costs, fill_table):
            moves.append(MoveShard(state.shards[position], server_ids[source], server_ids[target]))
    return Plan(tuple(assigns), tuple(moves), drain_moves)


def shard_costs(state: PlacementState) -> array.array:
    """Return the cost per shard, scaled so that the mean fill of the receiving servers is 1.

    A hot shard holds one key, so its cost is that of its load only. Without any known load, all
    base shards cost the same. Shards that stay on servers that receive none are left out of the
    scale; otherwise all other servers would appear to be below the mean and be balanced
    needlessly.
    """
    capacity = sum(server.weight for server in state.servers if server.accepts_shards())
    staying = _staying_positions(state)
    hot = [p for p, shard in enumerate(state.shards) if balance.is_hot(shard)]
    total_load = math.fsum(load for p, load in enumerate(state.loads) if p not in staying)
    base_count = len(state.shards) - len(hot)
    base_count -= sum(not balance.is_hot(state.shards[p]) for p in staying)
    base_part = BASE_COST_SHARE if total_load > 0.0 else 1.0
    cost_per_base_shard = capacity * base_part / max(1, base_count)
    cost_per_load = capacity * (1.0 - base_part) / total_load if total_load > 0.0 else 0.0
    costs = array.array("d", (cost_per_base_shard + cost_per_load * load for load in state.loads))
    for position in hot:
        costs[position] -= cost_per_base_shard
    return costs


def _staying_positions(state: PlacementState) -> set[int]:
    """Return the positions of shards on servers that neither receive shards nor lose them."""
    keeps_shards = [not (s.accepts_shards() or s.draining or s.lost) for s in state.servers]
    if not any(keeps_shards):
        return set()
    return {p for p, owner in enumerate(state.owners) if owner != NO_OWNER and keeps_shards[owner]}


def churn_cost(moves: Iterable[MoveShard]) -> float:
    """Return the part of the churn budget, in base shards, that the moves take."""
    return math.fsum(balance.churn_cost(move.shard) for move in moves)


def _classify_shards(
    state: PlacementState, costs: array.array, fill_table: balance.FillTable
) -> tuple[list[int], list[int]]:
    """Return the positions of unowned shards and of shards to be drained.

    Sets the cost of the shards that stay in ``fill_table``.
    """
    unowned: list[int] = []
    drained: list[int] = []
    lost = [server.lost for server in state.servers]
    draining = [server.draining for server in state.servers]
    cost_by_server = [0.0] * len(state.servers)
    fixed = state.fixed_shards
    for position, owner in enumerate(state.owners):
        if owner == NO_OWNER or lost[owner]:
            if not fixed or state.shards[position] not in fixed:
                unowned.append(position)
        elif draining[owner] and (not fixed or state.shards[position] not in fixed):
            drained.append(position)
        else:
            cost_by_server[owner] += costs[position]
    fill_table.set_costs(cost_by_server)
    return unowned, drained


def _descending_cost(costs: array.array) -> balance.SortKey:
    return lambda position: (-costs[position], position)


def _former_zone(state: PlacementState, position: int) -> ids.ZoneName | None:
    owner = state.owners[position]
    if owner != NO_OWNER:
        return state.servers[owner].zone
    return state.former_zone_by_shard.get(state.shards[position])
