"""Fill levels of servers, and the moves that even them out."""

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

TRIGGER = 0.1
"""Deviation of a server's fill from the mean that starts balancing. At 100 requests/s per server
the estimates alone deviate by about 5%, and a trigger that low spent the whole churn budget on
noise (measurements.hot_keys, 256 shards: 25 moves a minute, 15 with a trigger of 0.12, at the same
imbalance)."""
TOLERANCE = 0.05
"""Deviation down to which balancing continues once it has started."""

HOT_MOVE_COST = 0.25
"""Part of the churn budget that the move of a hot shard takes, relative to a base shard. It changes
the owner of one key only, but that key's requests are held meanwhile."""
MOVABLE_SHARE = 0.1
"""Part of the mean cost of a shard from which on a move is worth its churn. Without the bound a
server whose only other shards are idle would give these away and stay as full as before."""

SIZE_LIMIT = 2.0
"""Largest shard to move, in mean shards of its source, as long as it has a smaller one. Moving the
largest shards first needs fewer moves but leaves the receiver with few keys: without the limit
the keys' max over mean was 1.21, with it 1.16, at 0.94 instead of 0.82 of the least churn
(measurements.placement, seed 7)."""

SortKey = Callable[[int], tuple[float, int]]


def is_hot(shard: ids.ShardId) -> bool:
    """Return whether the shard holds a single hot key."""
    return shard >= model.HOT_SHARD_BASE


def churn_cost(shard: ids.ShardId) -> float:
    """Return the part of the churn budget, in base shards, that moving ``shard`` takes."""
    return HOT_MOVE_COST if is_hot(shard) else 1.0


class FillTable:
    """Cost and fill per server, with the least filled server per zone at hand.

    Positions are those of ``servers``. The mean fill is 1 by the scale of the costs.

    Attributes
    ----------
    costs : list of float
        Cost of the shards of each server, those placed by `place` included.
    weights : list of float
        Weight of each server.
    room_weights : list of float
        Weight that counts when a server receives: its weight times its ramp; 0 if it receives
        nothing.
    """

    def __init__(self, servers: Sequence[assign.PlacementServer], now: float) -> None:
        self.costs = [0.0] * len(servers)
        self.weights = [server.weight for server in servers]
        self.room_weights = [s.weight * s.ramp(now) if s.receives() else 0.0 for s in servers]
        self._zones = [server.zone for server in servers]
        self._heap_by_zone: dict[ids.ZoneName, list[tuple[float, int]]] = {}

    def charge(self, cost_by_server: Sequence[float]) -> None:
        """Set the cost of the shards that the servers own."""
        self.costs = list(cost_by_server)
        self._heap_by_zone = {}
        for position, room in enumerate(self.room_weights):
            if room > 0.0:
                heap = self._heap_by_zone.setdefault(self._zones[position], [])
                heap.append((self.costs[position] / room, position))
        for heap in self._heap_by_zone.values():
            heapq.heapify(heap)

    def receiving_fill(self, position: int) -> float:
        """Return the fill relative to the weight that may be filled now."""
        return self.costs[position] / self.room_weights[position]

    def fill(self, position: int) -> float:
        """Return the fill relative to the full weight."""
        return self.costs[position] / self.weights[position]

    def is_cold(self, position: int) -> bool:
        """Return whether the server is still being ramped up."""
        return self.room_weights[position] < self.weights[position]

    def place(self, cost: float, zone: ids.ZoneName | None) -> int:
        """Add ``cost`` to the best server and return its position."""
        least = min(heap[0] for heap in self._heap_by_zone.values())
        chosen = least
        local = self._heap_by_zone.get(zone) if zone is not None else None
        if local is not None and local[0] != least:
            local_after = local[0][0] + cost / self.room_weights[local[0][1]]
            least_after = least[0] + cost / self.room_weights[least[1]]
            if local_after <= max(least_after, 1.0):
                chosen = local[0]
        position = chosen[1]
        self.costs[position] += cost
        heap = self._heap_by_zone[self._zones[position]]
        heapq.heapreplace(heap, (self.receiving_fill(position), position))
        return position


def balance(
    state: assign.PlacementState, costs: array.array, table: FillTable
) -> Iterator[tuple[int, int, int]]:
    """Yield balancing moves as (shard position, source, target), at most the churn budget.

    Each move takes a shard from the fullest server to the least filled one. The shard is the
    largest hot shard, or else the largest base shard up to `SIZE_LIMIT`, that leaves the source at
    or above the mean, or else the smallest that still makes the pair more even. Moving no more
    than the excess keeps a source from becoming a receiver. A shard that was moved stays where it
    is for the rest of the plan. The heaps keep outdated entries, which are dropped when they come
    up. A cold server without room for any shard is passed over, or it would stop all balancing as
    the least filled server.
    """
    positions = [p for p, server in enumerate(state.servers) if server.receives()]
    shards = _MovableShards(state, costs)
    donors = [(-table.fill(p), p) for p in positions]
    receivers = [(table.receiving_fill(p), p) for p in positions]
    heapq.heapify(donors)
    heapq.heapify(receivers)
    if -donors[0][0] <= 1.0 + TRIGGER and receivers[0][0] >= 1.0 - TRIGGER:
        return
    left = state.churn_budget
    while left >= HOT_MOVE_COST and donors and receivers:
        source, target = donors[0][1], receivers[0][1]
        if -donors[0][0] != table.fill(source):
            heapq.heappop(donors)
            continue
        if receivers[0][0] != table.receiving_fill(target):
            heapq.heappop(receivers)
            continue
        if -donors[0][0] <= 1.0 + TOLERANCE and receivers[0][0] >= 1.0 - TOLERANCE:
            return
        position = None
        if source != target:
            position = _best_shard(shards, table, source, target, hot_only=left < 1.0)
        if position is None:
            heapq.heappop(receivers if source != target and table.is_cold(target) else donors)
            continue
        shards.remove(source, position)
        table.costs[source] -= costs[position]
        table.costs[target] += costs[position]
        for changed in (source, target):
            heapq.heappush(donors, (-table.fill(changed), changed))
            heapq.heappush(receivers, (table.receiving_fill(changed), changed))
        left -= churn_cost(state.shards[position])
        yield position, source, target


def _best_shard(
    shards: _MovableShards, table: FillTable, source: int, target: int, *, hot_only: bool
) -> int | None:
    """Return the shard to move from ``source`` to ``target``; None if no move helps.

    A cold server receives no more than its ramped weight.
    """
    gap = table.fill(source) - table.receiving_fill(target)
    even = gap / (1.0 / table.weights[source] + 1.0 / table.room_weights[target])
    if table.is_cold(target):
        even = min(even, table.room_weights[target] - table.costs[target])
    if even <= 0.0:
        return None
    excess = table.costs[source] - table.weights[source]
    hottest = shards.largest_up_to(source, min(even, excess), hot=True)
    if hottest is not None or hot_only:
        return hottest
    limit = min(even, excess, SIZE_LIMIT * shards.mean_cost(source))
    largest = shards.largest_up_to(source, limit, hot=False)
    return largest if largest is not None else shards.smallest_up_to(source, even)


class _MovableShards:
    """Shards per source, sorted by cost; built when a source is first used."""

    def __init__(self, state: assign.PlacementState, costs: array.array) -> None:
        self._state = state
        self._costs = costs
        self._cost_min = MOVABLE_SHARE * math.fsum(costs) / max(1, len(costs))
        self._base_by_source: dict[int, list[tuple[float, int]]] = {}
        self._hot_by_source: dict[int, list[tuple[float, int]]] = {}
        self._total_by_source: dict[int, float] = {}
        self._positions_by_owner: dict[int, list[int]] | None = None

    def largest_up_to(self, source: int, limit: float, *, hot: bool) -> int | None:
        self._load(source)
        entries = (self._hot_by_source if hot else self._base_by_source)[source]
        index = bisect.bisect_right(entries, (limit, len(self._costs)))
        return entries[index - 1][1] if index else None

    def smallest_up_to(self, source: int, limit: float) -> int | None:
        self._load(source)
        both = [entries[0] for entries in self._lists(source) if entries]
        least = min(both, default=None)
        return least[1] if least is not None and least[0] <= limit else None

    def mean_cost(self, source: int) -> float:
        self._load(source)
        return self._total_by_source[source] / max(1, len(self._base_by_source[source]))

    def remove(self, source: int, position: int) -> None:
        entry = (self._costs[position], position)
        if is_hot(self._state.shards[position]):
            entries = self._hot_by_source[source]
        else:
            entries = self._base_by_source[source]
            self._total_by_source[source] -= entry[0]
        entries.pop(bisect.bisect_left(entries, entry))

    def _lists(self, source: int) -> tuple[list[tuple[float, int]], list[tuple[float, int]]]:
        return self._base_by_source[source], self._hot_by_source[source]

    def _load(self, source: int) -> None:
        if source in self._base_by_source:
            return
        fixed = self._state.fixed_shards
        shards = self._state.shards
        base: list[tuple[float, int]] = []
        hot: list[tuple[float, int]] = []
        for position in self._positions().get(source, ()):
            cost = self._costs[position]
            if cost >= self._cost_min and (not fixed or shards[position] not in fixed):
                (hot if is_hot(shards[position]) else base).append((cost, position))
        base.sort()
        hot.sort()
        self._base_by_source[source] = base
        self._hot_by_source[source] = hot
        self._total_by_source[source] = math.fsum(cost for cost, _ in base)

    def _positions(self) -> dict[int, list[int]]:
        if self._positions_by_owner is None:
            self._positions_by_owner = {}
            for position, owner in enumerate(self._state.owners):
                self._positions_by_owner.setdefault(owner, []).append(position)
        return self._positions_by_owner
