"""Fill levels of servers, and the moves that even them out."""

from __future__ import annotations

import array
import bisect
import heapq
from collections.abc import Callable, Iterator, Sequence
from typing import TYPE_CHECKING

from celerystack import ids

if TYPE_CHECKING:
    from celerystack.placement import assign

TOLERANCE = 0.05
"""Deviation of a server's fill from the mean that causes no moves."""

SortKey = Callable[[int], tuple[float, int]]


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
    largest that leaves the source at or above the mean, or else the smallest that still makes the
    pair more even. Moving no more than the excess keeps a source from becoming a receiver.
    """
    positions = [p for p, server in enumerate(state.servers) if server.receives()]
    shards = _MovableShards(state, costs)
    donors = [(-table.fill(p), p) for p in positions]
    receivers = [(table.receiving_fill(p), p) for p in positions]
    heapq.heapify(donors)
    heapq.heapify(receivers)
    left = state.churn_budget
    while left > 0 and donors:
        source, target = donors[0][1], receivers[0][1]
        if -donors[0][0] <= 1.0 + TOLERANCE and receivers[0][0] >= 1.0 - TOLERANCE:
            return
        position = None if source == target else _best_shard(shards, table, source, target)
        if position is None:
            heapq.heappop(donors)
            continue
        shards.remove(source, position)
        table.costs[source] -= costs[position]
        table.costs[target] += costs[position]
        heapq.heapreplace(donors, (-table.fill(source), source))
        heapq.heapreplace(receivers, (table.receiving_fill(target), target))
        left -= 1
        yield position, source, target


def _best_shard(shards: _MovableShards, table: FillTable, source: int, target: int) -> int | None:
    """Return the shard to move from ``source`` to ``target``; None if no move helps.

    A cold server receives no more than its ramped weight.
    """
    gap = table.fill(source) - table.receiving_fill(target)
    even = gap / (1.0 / table.weights[source] + 1.0 / table.room_weights[target])
    if table.room_weights[target] < table.weights[target]:
        even = min(even, table.room_weights[target] - table.costs[target])
    if even <= 0.0:
        return None
    excess = table.costs[source] - table.weights[source]
    largest = shards.largest_up_to(source, min(even, excess))
    return largest if largest is not None else shards.smallest_up_to(source, even)


class _MovableShards:
    """Shards per source, sorted by cost; built when a source is first used."""

    def __init__(self, state: assign.PlacementState, costs: array.array) -> None:
        self._state = state
        self._costs = costs
        self._sorted_by_source: dict[int, list[tuple[float, int]]] = {}
        self._positions_by_owner: dict[int, list[int]] | None = None

    def largest_up_to(self, source: int, limit: float) -> int | None:
        entries = self._entries(source)
        index = bisect.bisect_right(entries, (limit, len(self._costs)))
        return entries[index - 1][1] if index else None

    def smallest_up_to(self, source: int, limit: float) -> int | None:
        entries = self._entries(source)
        return entries[0][1] if entries and entries[0][0] <= limit else None

    def remove(self, source: int, position: int) -> None:
        entries = self._entries(source)
        entries.pop(bisect.bisect_left(entries, (self._costs[position], position)))

    def _entries(self, source: int) -> list[tuple[float, int]]:
        entries = self._sorted_by_source.get(source)
        if entries is None:
            fixed = self._state.fixed_shards
            shards = self._state.shards
            entries = sorted(
                (self._costs[p], p)
                for p in self._positions().get(source, ())
                if not fixed or shards[p] not in fixed
            )
            self._sorted_by_source[source] = entries
        return entries

    def _positions(self) -> dict[int, list[int]]:
        if self._positions_by_owner is None:
            self._positions_by_owner = {}
            for position, owner in enumerate(self._state.owners):
                self._positions_by_owner.setdefault(owner, []).append(position)
        return self._positions_by_owner
