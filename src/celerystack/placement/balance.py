"""Fill of servers (cost relative to weight), and the moves that balance it."""

from __future__ import annotations

import array
import bisect
import heapq
import math
from collections.abc import Callable, Iterator, Sequence
from typing import TYPE_CHECKING

from celerystack import ids, model

if TYPE_CHECKING:
    from celerystack.placement import assign

IMBALANCE_TRIGGER = 0.1
"""Deviation of a server's fill from the mean that starts balancing. At 100 requests/s per server
the load estimates alone deviate by about 5%, so a trigger of 0.05 spent the whole churn budget on
noise: 25 moves per minute instead of 15 with 0.12, at the same imbalance (measurements.hot_keys,
256 shards)."""
IMBALANCE_TOLERANCE = 0.05
"""Deviation at which balancing stops; the gap to `IMBALANCE_TRIGGER` is the hysteresis."""

HOT_MOVE_COST = 0.25
"""Part of the churn budget that moving a hot shard takes, relative to a base shard. The move
changes the owner of one key only, but requests for that key are held until it ends."""
RELATIVE_COST_MIN = 0.1
"""Smallest cost of a shard to move, relative to the mean cost of all shards. Without it, a server
with one busy shard would give away its idle ones and stay as full as before."""

RELATIVE_COST_MAX = 2.0
"""Largest cost of a shard to move, relative to the mean on its source, if there is a cheaper one.
Moving the largest shards first takes fewer moves but leaves the target with few keys: the limit
lowered the ratio of the largest to the mean number of keys from 1.21 to 1.16, and raised the churn,
relative to the shards of joining and leaving servers, from 0.82 to 0.94 (measurements.placement,
seed 7)."""

SortKey = Callable[[int], tuple[float, int]]


def is_hot(shard: ids.ShardId) -> bool:
    """Return whether the shard is a hot shard, which holds a single key."""
    return shard >= model.HOT_SHARD_BASE


def churn_cost(shard: ids.ShardId) -> float:
    """Return the part of the churn budget, in base shards, that moving ``shard`` takes."""
    return HOT_MOVE_COST if is_hot(shard) else 1.0


class FillTable:
    """Cost and fill per server, with a heap of the least filled servers per zone.

    Servers are addressed by their index in ``servers``. Costs are scaled so that the mean fill
    is 1.

    Attributes
    ----------
    costs : list of float
        Cost of the shards of each server, including those added by `place`.
    weights : list of float
        Weight of each server.
    receiving_weights : list of float
        Weight times ramp fraction, for receiving shards; 0 if the server accepts none.
    """

    def __init__(self, servers: Sequence[assign.PlacementServer], now: float) -> None:
        self.costs = [0.0] * len(servers)
        self.weights = [server.weight for server in servers]
        self.receiving_weights = [
            s.weight * s.ramp_fraction(now) if s.accepts_shards() else 0.0 for s in servers
        ]
        self._zones = [server.zone for server in servers]
        self._heap_by_zone: dict[ids.ZoneName, list[tuple[float, int]]] = {}

    def set_costs(self, cost_by_server: Sequence[float]) -> None:
        """Set the cost of the shards that the servers own."""
        self.costs = list(cost_by_server)
        self._heap_by_zone = {}
        for position, receiving_weight in enumerate(self.receiving_weights):
            if receiving_weight > 0.0:
                heap = self._heap_by_zone.setdefault(self._zones[position], [])
                heap.append((self.costs[position] / receiving_weight, position))
        for heap in self._heap_by_zone.values():
            heapq.heapify(heap)

    def receiving_fill(self, position: int) -> float:
        """Return the fill relative to the ramped weight."""
        return self.costs[position] / self.receiving_weights[position]

    def fill(self, position: int) -> float:
        """Return the fill relative to the full weight."""
        return self.costs[position] / self.weights[position]

    def is_cold(self, position: int) -> bool:
        """Return whether the server is still being ramped up."""
        return self.receiving_weights[position] < self.weights[position]

    def place(self, cost: float, zone: ids.ZoneName | None) -> int:
        """Add ``cost`` to the least filled server, or to one in ``zone``; return its position.

        A server in ``zone`` is preferred if it stays at or below the mean fill, or ends up no
        fuller than the least filled server would.
        """
        least = min(heap[0] for heap in self._heap_by_zone.values())
        chosen = least
        zone_heap = self._heap_by_zone.get(zone) if zone is not None else None
        if zone_heap is not None and zone_heap[0] != least:
            zone_fill = zone_heap[0][0] + cost / self.receiving_weights[zone_heap[0][1]]
            least_fill = least[0] + cost / self.receiving_weights[least[1]]
            if zone_fill <= max(least_fill, 1.0):
                chosen = zone_heap[0]
        position = chosen[1]
        self.costs[position] += cost
        heap = self._heap_by_zone[self._zones[position]]
        heapq.heapreplace(heap, (self.receiving_fill(position), position))
        return position


def balance(
    state: assign.PlacementState, costs: array.array, fill_table: FillTable
) -> Iterator[tuple[int, int, int]]:
    """Yield balancing moves as (shard position, source, target) within the churn budget.

    Each move takes a shard from the fullest server to the least filled one: the most expensive hot
    shard that leaves the source at or above the mean, or else such a base shard up to
    `RELATIVE_COST_MAX`, or else the cheapest shard whose move still reduces the difference.
    Moving no more than the excess keeps a source from becoming a target. A shard moves at most
    once per plan. Outdated heap entries are dropped when they reach the top. A cold server that
    can take no shard is skipped; as the least filled server it would stop all balancing.
    """
    positions = [p for p, server in enumerate(state.servers) if server.accepts_shards()]
    shards = _MovableShards(state, costs)
    sources = [(-fill_table.fill(p), p) for p in positions]
    targets = [(fill_table.receiving_fill(p), p) for p in positions]
    heapq.heapify(sources)
    heapq.heapify(targets)
    if -sources[0][0] <= 1.0 + IMBALANCE_TRIGGER and targets[0][0] >= 1.0 - IMBALANCE_TRIGGER:
        return
    remaining_budget = state.churn_budget
    while remaining_budget >= HOT_MOVE_COST and sources and targets:
        source, target = sources[0][1], targets[0][1]
        if -sources[0][0] != fill_table.fill(source):
            heapq.heappop(sources)
            continue
        if targets[0][0] != fill_table.receiving_fill(target):
            heapq.heappop(targets)
            continue
        if (
            -sources[0][0] <= 1.0 + IMBALANCE_TOLERANCE
            and targets[0][0] >= 1.0 - IMBALANCE_TOLERANCE
        ):
            return
        position = None
        if source != target:
            position = _best_shard(
                shards, fill_table, source, target, hot_only=remaining_budget < 1.0
            )
        if position is None:
            heapq.heappop(targets if source != target and fill_table.is_cold(target) else sources)
            continue
        shards.remove(source, position)
        fill_table.costs[source] -= costs[position]
        fill_table.costs[target] += costs[position]
        for changed in (source, target):
            heapq.heappush(sources, (-fill_table.fill(changed), changed))
            heapq.heappush(targets, (fill_table.receiving_fill(changed), changed))
        remaining_budget -= churn_cost(state.shards[position])
        yield position, source, target


def _best_shard(
    shards: _MovableShards, fill_table: FillTable, source: int, target: int, *, hot_only: bool
) -> int | None:
    """Return the shard to move from ``source`` to ``target``; None if no move helps.

    A cold target is filled up to its ramped weight at most.
    """
    fill_difference = fill_table.fill(source) - fill_table.receiving_fill(target)
    equalizing_cost = fill_difference / (
        1.0 / fill_table.weights[source] + 1.0 / fill_table.receiving_weights[target]
    )
    if fill_table.is_cold(target):
        equalizing_cost = min(
            equalizing_cost, fill_table.receiving_weights[target] - fill_table.costs[target]
        )
    if equalizing_cost <= 0.0:
        return None
    excess = fill_table.costs[source] - fill_table.weights[source]
    largest_hot = shards.largest_up_to(source, min(equalizing_cost, excess), hot=True)
    if largest_hot is not None or hot_only:
        return largest_hot
    limit = min(equalizing_cost, excess, RELATIVE_COST_MAX * shards.mean_cost(source))
    largest = shards.largest_up_to(source, limit, hot=False)
    return largest if largest is not None else shards.smallest_up_to(source, equalizing_cost)


class _MovableShards:
    """Movable shards per source server, sorted by cost; built when a source is first used."""

    def __init__(self, state: assign.PlacementState, costs: array.array) -> None:
        self._state = state
        self._costs = costs
        self._cost_min = RELATIVE_COST_MIN * math.fsum(costs) / max(1, len(costs))
        self._base_by_source: dict[int, list[tuple[float, int]]] = {}
        self._hot_by_source: dict[int, list[tuple[float, int]]] = {}
        self._total_by_source: dict[int, float] = {}
        self._positions_by_owner: dict[int, list[int]] | None = None

    def largest_up_to(self, source: int, limit: float, *, hot: bool) -> int | None:
        """Return the position of the most expensive hot or base shard up to ``limit``."""
        self._index_source(source)
        entries = (self._hot_by_source if hot else self._base_by_source)[source]
        index = bisect.bisect_right(entries, (limit, len(self._costs)))
        return entries[index - 1][1] if index else None

    def smallest_up_to(self, source: int, limit: float) -> int | None:
        """Return the position of the cheapest shard; None if it costs more than ``limit``."""
        self._index_source(source)
        smallest = [entries[0] for entries in self._entries(source) if entries]
        least = min(smallest, default=None)
        return least[1] if least is not None and least[0] <= limit else None

    def mean_cost(self, source: int) -> float:
        """Return the mean cost of the movable base shards."""
        self._index_source(source)
        return self._total_by_source[source] / max(1, len(self._base_by_source[source]))

    def remove(self, source: int, position: int) -> None:
        """Exclude a shard from further moves of this plan."""
        entry = (self._costs[position], position)
        if is_hot(self._state.shards[position]):
            entries = self._hot_by_source[source]
        else:
            entries = self._base_by_source[source]
            self._total_by_source[source] -= entry[0]
        entries.pop(bisect.bisect_left(entries, entry))

    def _entries(self, source: int) -> tuple[list[tuple[float, int]], list[tuple[float, int]]]:
        return self._base_by_source[source], self._hot_by_source[source]

    def _index_source(self, source: int) -> None:
        if source in self._base_by_source:
            return
        fixed = self._state.fixed_shards
        shards = self._state.shards
        base: list[tuple[float, int]] = []
        hot: list[tuple[float, int]] = []
        for position in self._group_positions().get(source, ()):
            cost = self._costs[position]
            if cost >= self._cost_min and (not fixed or shards[position] not in fixed):
                (hot if is_hot(shards[position]) else base).append((cost, position))
        base.sort()
        hot.sort()
        self._base_by_source[source] = base
        self._hot_by_source[source] = hot
        self._total_by_source[source] = math.fsum(cost for cost, _ in base)

    def _group_positions(self) -> dict[int, list[int]]:
        if self._positions_by_owner is None:
            self._positions_by_owner = {}
            for position, owner in enumerate(self._state.owners):
                self._positions_by_owner.setdefault(owner, []).append(position)
        return self._positions_by_owner
