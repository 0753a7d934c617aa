"""Moves ranges from the most utilized servers to the least utilized ones."""

from __future__ import annotations

import dataclasses
from collections.abc import Iterator

from celerystack.ranges import key_load, map_draft, model

OVERLOAD_RATIO = 1.3
"""Keys are moved from a server above this multiple of the mean utilization."""
FULL_UTILIZATION = 0.9
"""To a server from this utilization on no load is moved for balance: if all servers are overloaded,
a move only makes callers wait. Keys without an owner are assigned all the same."""
UNDERLOAD_RATIO = 0.25
"""A server below this fraction of the mean utilization is given keys."""
DOMINANT_SHARE = 0.6
"""A key that uses more than this fraction of a server's capacity gets a server to itself."""
FASTER_RATIO = 1.25
"""A dominant key is moved only to a server with at least this multiple of its server's capacity."""
OTHER_KEYS_UTILIZATION_MAX = 0.6
"""Utilization up to which a server is given other keys of a dominant key's server."""
OTHER_KEYS_RATE_MINIMUM = 0.3
"""Rate in requests/s up to which a range of these other keys is not worth a move."""
MOVES_PER_PLAN = 8
"""Number of moves for balance that one plan tries for any number of servers."""
MOVES_PER_SERVER = 1.0
"""Moves per server that one plan tries if that is more than `MOVES_PER_PLAN`: among many servers,
one with much load spreads it over many others."""


def balance(draft: map_draft.MapDraft) -> None:
    """Move ranges from the most utilized servers to the least utilized ones."""
    candidates = draft.service_state.candidates_by_incarnation
    mean = draft.mean_utilization()
    exhausted: set[model.ServerIncarnation] = set()
    for _ in range(max(MOVES_PER_PLAN, round(MOVES_PER_SERVER * len(candidates)))):
        source = max(
            (
                incarnation
                for incarnation in draft.rate_by_incarnation
                if incarnation not in exhausted
            ),
            key=draft.utilization,
            default=None,
        )
        if source is None:
            return
        bound = max(map_draft.REBALANCE_UTILIZATION_MIN, OVERLOAD_RATIO * mean)
        if draft.utilization_lower_bound(source) <= bound and not _has_underloaded_server(
            draft, mean
        ):
            return
        if not _offload(draft, source):
            exhausted.add(source)


def _has_underloaded_server(draft: map_draft.MapDraft, mean: float) -> bool:
    """Return whether a candidate is far below the lower confidence bound of the mean load."""
    load = draft.service_state.load
    return any(
        draft.utilization(incarnation)
        < UNDERLOAD_RATIO * load.rate_lower_bound(mean * candidate.capacity) / candidate.capacity
        for incarnation, candidate in draft.service_state.candidates_by_incarnation.items()
    )


def _offload(draft: map_draft.MapDraft, source: model.ServerIncarnation) -> bool:
    """Move load away from a server; return False if nothing can be moved."""
    candidates = draft.service_state.candidates_by_incarnation
    if not candidates[source].reachable:
        return False
    dominant = _dominant_key(draft, source)
    if dominant is not None and _move_to_fastest(draft, source, *dominant):
        return True
    target = draft.least_utilized(0.0)
    if target is None or target == source or draft.utilization(target) >= FULL_UTILIZATION:
        return False
    window = None
    if dominant is not None:
        # Other keys of this server move, so that they do not queue behind the dominant key.
        window = _find_other_keys(draft, source, dominant[1], _spare_rate(draft, target))
    if window is None:
        window = _find_share(draft, source, target)
    if window is None:
        return False
    _move(draft, *window, target)
    return True


def _find_share(
    draft: map_draft.MapDraft, source: model.ServerIncarnation, target: model.ServerIncarnation
) -> tuple[int, int, int] | None:
    """Return a range of ``source`` that brings ``target`` up to the utilization limit.

    If its keys are too busy for that, the range with the lowest rate above it is returned, so that
    one plan spreads them over many servers: a moved range cannot be cut again before it is settled.
    """
    candidates = draft.service_state.candidates_by_incarnation
    gap = draft.utilization(source) - draft.utilization(target)
    equalizing_rate = gap / (1 / candidates[source].capacity + 1 / candidates[target].capacity)
    limit = draft.utilization_limit()
    if draft.utilization(target) >= limit:
        limit = FULL_UTILIZATION
    rate_to_limit = (limit - draft.utilization(target)) * candidates[target].capacity
    if rate_to_limit >= equalizing_rate:
        return _find_window(draft, source, equalizing_rate)
    window = _find_window(draft, source, rate_to_limit)
    return window or _find_lightest_window(draft, source, rate_to_limit, equalizing_rate)


def _spare_rate(draft: map_draft.MapDraft, incarnation: model.ServerIncarnation) -> float:
    """Return the rate that a server can be given up to `OTHER_KEYS_UTILIZATION_MAX`."""
    free = OTHER_KEYS_UTILIZATION_MAX - draft.utilization(incarnation)
    return max(0.0, free) * draft.service_state.candidates_by_incarnation[incarnation].capacity


def _dominant_key(
    draft: map_draft.MapDraft, incarnation: model.ServerIncarnation
) -> tuple[int, int, float] | None:
    """Return segment index, key and rate of a key that uses most of a server's capacity."""
    load = draft.service_state.load
    bound = DOMINANT_SHARE * draft.service_state.candidates_by_incarnation[incarnation].capacity
    for segment_index, segment in enumerate(draft.segments):
        if segment.owner != incarnation or not segment.is_settled:
            continue
        first, last = load.index_range(segment.start, segment.end)
        for index in range(first, last):
            if load.rates[index] > bound:
                return segment_index, load.keys[index], load.rates[index]
    return None


def _move_to_fastest(
    draft: map_draft.MapDraft,
    source: model.ServerIncarnation,
    segment_index: int,
    key: int,
    rate: float,
) -> bool:
    """Move a dominant key to the server with the highest capacity of those with little load.

    Its capacity must be at least `FASTER_RATIO` times that of the present server.
    """
    candidates = draft.service_state.candidates_by_incarnation
    if rate < candidates[source].capacity:
        return False
    eligible = [
        incarnation
        for incarnation, candidate in candidates.items()
        if candidate.reachable and draft.utilization(incarnation) < DOMINANT_SHARE
    ]
    fastest = max(eligible, key=lambda incarnation: candidates[incarnation].capacity, default=None)
    if draft.is_full():
        return False
    if fastest is None or candidates[fastest].capacity < FASTER_RATIO * candidates[source].capacity:
        return False
    _move(draft, segment_index, key, key, fastest)
    return True


def _move(
    draft: map_draft.MapDraft,
    segment_index: int,
    start: int,
    end: int,
    target: model.ServerIncarnation,
) -> None:
    """Cut a range out of a segment and assign it to another server."""
    segment = draft.segments[segment_index]
    moved = dataclasses.replace(segment, start=start, end=end)
    if segment.owner in draft.rate_by_incarnation:
        draft.rate_by_incarnation[segment.owner] -= draft.rate(moved)
    parts = []
    if start > segment.start:
        parts.append(dataclasses.replace(segment, end=start - 1))
    parts.append(draft.reassign(moved, target))
    if end < segment.end:
        parts.append(dataclasses.replace(segment, start=end + 1))
    draft.segments[segment_index : segment_index + 1] = parts


def _find_window(
    draft: map_draft.MapDraft, source: model.ServerIncarnation, target_rate: float
) -> tuple[int, int, int] | None:
    """Return segment index, start and end of a range with a rate near ``target_rate``.

    The range belongs to ``source``. Whole segments are preferred, then ranges at one end of a
    segment, so that the map stays small.
    """
    best: tuple[int, int, int] | None = None
    best_cuts = 3
    if draft.is_full() or (draft.is_fragmented() and draft.utilization(source) <= 1):
        best_cuts = 1
    load = draft.service_state.load
    for segment_index, segment in enumerate(draft.segments):
        if segment.owner != source or not segment.is_settled or target_rate <= 0:
            continue
        for cuts, start, end in _windows(load, segment, target_rate):
            if cuts < best_cuts:
                best, best_cuts = (segment_index, start, end), cuts
    return best


def _find_lightest_window(
    draft: map_draft.MapDraft, source: model.ServerIncarnation, rate: float, rate_max: float
) -> tuple[int, int, int] | None:
    """Return segment index, start and end of the range with the lowest rate above ``rate``.

    The range is at one end of a segment of ``source``, or a whole one, and its rate is at most
    ``rate_max``.
    """
    if draft.is_full():
        return None
    load = draft.service_state.load
    best: tuple[int, int, int] | None = None
    for segment_index, segment in enumerate(draft.segments):
        if segment.owner != source or not segment.is_settled:
            continue
        for start, end in _ends_above(load, segment, rate):
            if load.rate(start, end) <= rate_max:
                best, rate_max = (segment_index, start, end), load.rate(start, end)
    return best


def _ends_above(
    load: key_load.Snapshot, segment: model.Segment, rate: float
) -> Iterator[tuple[int, int]]:
    """Yield the shortest ranges from both ends of a segment whose measured rates reach ``rate``."""
    first, last = load.index_range(segment.start, segment.end)
    total = 0.0
    for index in range(first, last):
        total += load.rates[index]
        if total >= rate:
            yield segment.start, load.keys[index]
            break
    total = 0.0
    for index in range(last - 1, first - 1, -1):
        total += load.rates[index]
        if total >= rate:
            yield load.keys[index], segment.end
            break


def _windows(
    load: key_load.Snapshot, segment: model.Segment, target_rate: float
) -> Iterator[tuple[int, int, int]]:
    """Yield (number of cuts, start, end) of ranges with a rate near ``target_rate``."""
    rate_min, rate_max = 0.6 * target_rate, 1.3 * target_rate
    if rate_min <= load.rate(segment.start, segment.end) <= rate_max:
        yield 0, segment.start, segment.end
        return
    first, last = load.index_range(segment.start, segment.end)
    total = 0.0
    for index in range(first, last):
        total += load.rates[index]
        if total >= rate_min:
            if total <= rate_max and load.keys[index] < segment.end:
                yield 1, segment.start, load.keys[index]
            break
    total = 0.0
    for index in range(last - 1, first - 1, -1):
        total += load.rates[index]
        if total >= rate_min:
            if total <= rate_max and load.keys[index] > segment.start:
                yield 1, load.keys[index], segment.end
            break
    for index in range(first, last):
        if rate_min <= load.rates[index] <= rate_max:
            yield 2, load.keys[index], load.keys[index]


def _find_other_keys(
    draft: map_draft.MapDraft, source: model.ServerIncarnation, excluded_key: int, rate_max: float
) -> tuple[int, int, int] | None:
    """Return the busiest range of ``source`` up to ``rate_max`` that excludes ``excluded_key``."""
    best: tuple[int, int, int] | None = None
    if draft.is_full():
        return None
    best_rate = OTHER_KEYS_RATE_MINIMUM
    load = draft.service_state.load
    for segment_index, segment in enumerate(draft.segments):
        if segment.owner != source or not segment.is_settled:
            continue
        subranges = [(segment.start, segment.end)]
        if segment.start <= excluded_key <= segment.end:
            subranges = [(segment.start, excluded_key - 1), (excluded_key + 1, segment.end)]
        for start, end in subranges:
            while start < end and load.rate(start, end) > rate_max:
                end = (start + end) // 2
            if start <= end and best_rate < load.rate(start, end) <= rate_max:
                best, best_rate = (segment_index, start, end), load.rate(start, end)
    return best
