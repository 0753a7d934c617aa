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
KEY_SHARE = 0.05
"""Part of a shard's cost that is its number of keys; the rest is its load. Load alone would leave
idle shards wherever they are, and an idle shard may become busy at any time. A part of 0.2 let
the load of a server exceed the mean by 15% after a join (4,096 shards of Pareto-distributed load
on 21 servers, seed 1); a part of 0.05 by less than 1%."""
RAMP_S = 30.0
"""Time over which a server that has just become usable is filled to its full weight."""
RAMP_FLOOR = 0.2
"""Part of its weight that a cold server may use at once."""


@dataclasses.dataclass(frozen=True, kw_only=True)
class PlacementServer:
    """A server as placement sees it.

    Attributes
    ----------
    weight : float
        Relative capacity, greater than 0.
    usable : bool
        Whether the server may receive shards. A server that is neither usable, draining nor lost
        keeps its shards and receives none.
    draining : bool
        The server must give up all its shards.
    lost : bool
        The server's shards have no owner any more and may be assigned.
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

    def receives(self) -> bool:
        """Return whether shards may be given to the server."""
        return self.usable and not self.draining and not self.lost

    def ramp(self, now: float) -> float:
        """Return the part of the weight, `RAMP_FLOOR` to 1, that may be filled at ``now``."""
        age = max(0.0, now - self.usable_since)
        return min(1.0, RAMP_FLOOR + (1.0 - RAMP_FLOOR) * min(1.0, age / RAMP_S))


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
        Shards that are not planned, such as those with a move in progress. Give the receiver of
        the move as their owner, so that its load is counted.
    former_zone_by_shard : mapping
        Zone of the last owner of shards without owner, where known.
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
class Assign:
    """Gives a shard without owner to ``target``."""

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
    """Output of `plan`, best first within each tuple.

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

    assigns: tuple[Assign, ...] = ()
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
    """Return a state from mappings; convenient for services with few shards.

    An owner that is not among ``servers`` counts as no owner.
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

    Shards without owner and shards of draining servers go to the least filled servers, the
    largest shards first; a server of the former owner's zone is preferred if it stays below the
    mean or ends up no fuller than the least filled server. Then shards move from the fullest to
    the least filled servers if the imbalance exceeds `balance.TRIGGER`, until it is down to
    `balance.TOLERANCE` or no move makes it smaller. Fill is cost divided by weight; a server that
    is being ramped up receives as if its weight were smaller, but is not emptied for being cold.
    The result depends on nothing but the arguments.
    """
    if not any(server.receives() for server in state.servers):
        return Plan()
    costs = shard_costs(state)
    table = balance.FillTable(state.servers, now)
    orphans, drained = _collect(state, costs, table)
    by_cost = _largest_first(costs)
    orphans.sort(key=by_cost)
    drained.sort(key=by_cost)
    names = [server.server for server in state.servers]
    assigns = [
        Assign(state.shards[position], names[table.place(costs[position], zone)])
        for position, zone in ((p, _former_zone(state, p)) for p in orphans)
    ]
    moves = [
        MoveShard(state.shards[position], names[owner], names[table.place(costs[position], zone)])
        for position, owner, zone in (
            (p, state.owners[p], state.servers[state.owners[p]].zone) for p in drained
        )
    ]
    drain_moves = len(moves)
    if state.churn_budget > 0.0:
        for position, source, target in balance.balance(state, costs, table):
            moves.append(MoveShard(state.shards[position], names[source], names[target]))
    return Plan(tuple(assigns), tuple(moves), drain_moves)


def shard_costs(state: PlacementState) -> array.array:
    """Return the cost per shard, scaled so that the mean fill of the receiving servers is 1.

    A hot shard holds one key and is charged for its load only. Without any known load, shards
    cost the same. Shards that stay on servers that receive nothing do not count for the scale;
    otherwise the others would all seem less filled than the mean, and would be balanced without
    need.
    """
    capacity = sum(server.weight for server in state.servers if server.receives())
    staying = _staying_positions(state)
    hot = [p for p, shard in enumerate(state.shards) if balance.is_hot(shard)]
    total_load = math.fsum(load for p, load in enumerate(state.loads) if p not in staying)
    base_count = len(state.shards) - len(hot)
    base_count -= sum(not balance.is_hot(state.shards[p]) for p in staying)
    key_part = KEY_SHARE if total_load > 0.0 else 1.0
    per_shard = capacity * key_part / max(1, base_count)
    per_load = capacity * (1.0 - key_part) / total_load if total_load > 0.0 else 0.0
    costs = array.array("d", (per_shard + per_load * load for load in state.loads))
    for position in hot:
        costs[position] -= per_shard
    return costs


def _staying_positions(state: PlacementState) -> set[int]:
    """Return the positions of shards on servers that neither receive nor give up shards."""
    stays = [not (s.receives() or s.draining or s.lost) for s in state.servers]
    if not any(stays):
        return set()
    return {p for p, owner in enumerate(state.owners) if owner != NO_OWNER and stays[owner]}


def churn_cost(moves: Iterable[MoveShard]) -> float:
    """Return what the moves take from the churn budget, in base shards."""
    return math.fsum(balance.churn_cost(move.shard) for move in moves)


def _collect(
    state: PlacementState, costs: array.array, table: balance.FillTable
) -> tuple[list[int], list[int]]:
    """Charge owned shards to their owners; return positions without owner and to be drained."""
    orphans: list[int] = []
    drained: list[int] = []
    lost = [server.lost for server in state.servers]
    draining = [server.draining for server in state.servers]
    cost_by_server = [0.0] * len(state.servers)
    fixed = state.fixed_shards
    for position, owner in enumerate(state.owners):
        if owner == NO_OWNER or lost[owner]:
            if not fixed or state.shards[position] not in fixed:
                orphans.append(position)
        elif draining[owner] and (not fixed or state.shards[position] not in fixed):
            drained.append(position)
        else:
            cost_by_server[owner] += costs[position]
    table.charge(cost_by_server)
    return orphans, drained


def _largest_first(costs: array.array) -> balance.SortKey:
    return lambda position: (-costs[position], position)


def _former_zone(state: PlacementState, position: int) -> ids.ZoneName | None:
    owner = state.owners[position]
    if owner != NO_OWNER:
        return state.servers[owner].zone
    return state.former_zone_by_shard.get(state.shards[position])
