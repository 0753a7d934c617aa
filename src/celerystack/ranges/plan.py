"""Decides which server owns which keys. Pure: takes what is known and returns a new map."""

from __future__ import annotations

import dataclasses
from collections.abc import Callable, Iterable, Iterator, Mapping

from celerystack import ids
from celerystack.ranges import keyload, model

EVACUATION_PARTS = 4
"""Servers among which the keys of one leaving or lost server are spread."""
OVERLOAD_RATIO = 1.3
"""A server above this multiple of the mean utilization gives keys away."""
UTILIZATION_MINIMUM = 0.55
"""Below this utilization a server answers fast enough, however uneven the load is."""
FULL_UTILIZATION = 0.9
"""A server above this takes on no load: in an overloaded fleet moves only make callers wait."""
UNDERLOAD_RATIO = 0.25
"""A server below this part of the mean utilization is given keys."""
DOMINANT_SHARE = 0.6
"""A key that alone takes this part of a server's capacity gets the server for itself."""
FASTER_RATIO = 1.25
TAKE_OVER_UTILIZATION = 0.6
"""A server takes on neighbours of a dominant key up to this utilization."""
NEIGHBOUR_RATE_MINIMUM = 0.3
"""Rate in requests/s below which a range is not worth a move."""
MOVES_PER_PLAN = 8
MOVES_PER_SERVER = 1.0
"""A large fleet needs more moves at once, because one hot server has to share with many."""
JOIN_ABOVE_SEGMENTS = 2
FRAGMENTED_SEGMENTS = 200
SEGMENTS_PER_SERVER = 8
"""Above both, ranges are moved whole and go to the owners of their neighbours."""
SEGMENTS_PER_SERVER_MAX = 16
ABSORBED_PER_PLAN = 8
ABSORBED_RATE_MAX = 0.5
"""Ranges that a fragmented map gives to the owners of their neighbours: few at a time, and only
idle ones, because callers wait while a range moves; more only if nothing can be cut any more. In
requests/s."""
SEGMENTS_MAX = 1_500
"""The map is one row of at most 64 KB."""
"""Segments of one server from which adjacent ones are joined under a new token."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Candidate:
    """A server that may own keys.

    Attributes
    ----------
    capacity : float
        Requests/s that the server can run.
    reachable : bool
        Whether orders to it are answered.
    """

    life: model.Life
    capacity: float
    reachable: bool = True


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class FleetState:
    """What a plan is based on.

    Attributes
    ----------
    candidates_by_life : mapping
        The ready servers of the service.
    has_ended : callable
        Whether it is proved that a life is over.
    successor : callable
        The later life of the server of an ended life, if it is there. It may have been granted
        the keys of the ended life by an entry VM that did not know of it yet.
    is_silent : callable
        Whether a life does not answer, so that its keys come back only when its holds end.
    load : keyload.Snapshot
        Recent rates by key.
    """

    candidates_by_life: Mapping[model.Life, Candidate]
    has_ended: Callable[[model.Life], bool]
    successor: Callable[[model.Life], model.Life | None]
    is_silent: Callable[[model.Life], bool]
    load: keyload.Snapshot


class _Draft:
    """A map that is being changed, with the load of each candidate."""

    def __init__(self, ranges: model.RangeMap, fleet_state: FleetState) -> None:
        self.fleet_state = fleet_state
        self.service = ranges.service
        self.next_token = ranges.next_token
        self.segments = list(ranges.segments)
        self.rate_by_life = dict.fromkeys(fleet_state.candidates_by_life, 0.0)
        for segment in self.segments:
            if segment.owner in self.rate_by_life:
                self.rate_by_life[segment.owner] += self.rate(segment)

    def is_fragmented(self) -> bool:
        """Return whether ranges should rather be joined than cut."""
        limit = SEGMENTS_PER_SERVER * len(self.fleet_state.candidates_by_life)
        return len(self.segments) > max(FRAGMENTED_SEGMENTS, limit)

    def is_full(self) -> bool:
        """Return whether ranges must not be cut."""
        limit = SEGMENTS_PER_SERVER_MAX * len(self.fleet_state.candidates_by_life)
        return len(self.segments) + 2 > min(max(2 * FRAGMENTED_SEGMENTS, limit), SEGMENTS_MAX)

    def rate(self, segment: model.Segment) -> float:
        return self.fleet_state.load.rate(segment.start, segment.end)

    def utilization(self, life: model.Life) -> float:
        return self.rate_by_life[life] / self.fleet_state.candidates_by_life[life].capacity

    def utilization_lower_bound(self, life: model.Life) -> float:
        """Return a utilization that chance alone hardly exceeds."""
        rate = self.fleet_state.load.rate_lower_bound(self.rate_by_life[life])
        return rate / self.fleet_state.candidates_by_life[life].capacity

    def take_token(self) -> ids.Token:
        token = self.next_token
        self.next_token = ids.Token(token + 1)
        return token

    def least_utilized(self, rate: float) -> model.Life | None:
        """Return the candidate with the lowest utilization after taking on ``rate``."""
        candidates = self.fleet_state.candidates_by_life
        if not candidates:
            return None
        return min(
            candidates,
            key=lambda life: (
                not candidates[life].reachable,
                (self.rate_by_life[life] + rate) / candidates[life].capacity,
                life,
            ),
        )

    def reassign(self, segment: model.Segment, owner: model.Life | None) -> model.Segment:
        """Return a segment under a new token and owner; the present owner becomes pending."""
        holders = list(segment.pending)
        if segment.owner is not None and segment.owner not in holders:
            holders.append(segment.owner)
        pending = self.possible_holders(holders, owner)
        silent = any(self.fleet_state.is_silent(life) for life in pending)
        pending_phase = model.Phase.RECOVERING if silent else model.Phase.MOVING
        if owner in self.rate_by_life:
            self.rate_by_life[owner] += self.rate(segment)
        return dataclasses.replace(
            segment,
            token=self.take_token(),
            owner=owner,
            pending=pending,
            handover="",
            phase=pending_phase if pending else model.Phase.OWNED,
        )

    def possible_holders(
        self, lives: Iterable[model.Life], owner: model.Life | None
    ) -> tuple[model.Life, ...]:
        """Return who may still hold the keys of ``lives`` besides the owner."""
        holders: dict[model.Life, None] = {}
        for life in lives:
            ended = self.fleet_state.has_ended(life)
            holder = self.fleet_state.successor(life) if ended else life
            if holder is not None and holder != owner:
                holders[holder] = None
        return tuple(holders)

    def finish(self) -> model.RangeMap:
        ranges = model.RangeMap(
            service=self.service, next_token=self.next_token, segments=tuple(self.segments)
        )
        return model.merge_neighbours(ranges)


def plan(ranges: model.RangeMap, fleet_state: FleetState) -> model.RangeMap:
    """Return the map that should be in force; equal to ``ranges`` if nothing has to change."""
    if not fleet_state.candidates_by_life:
        return ranges
    draft = _Draft(ranges, fleet_state)
    _drop_ended_holders(draft)
    _reassign_unusable(draft)
    _balance(draft)
    if draft.is_fragmented():
        _absorb_fragments(draft)
    _join_fragments(draft)
    return draft.finish()


def settle(
    ranges: model.RangeMap, handover_by_segment: Mapping[model.Segment, str]
) -> model.RangeMap:
    """Return the map in which the segments in ``cleared`` have no pending holder any more.

    Parameters
    ----------
    cleared : mapping of Segment to str
        The handover that the last holder returned; empty if there is none.
    """
    segments = tuple(
        dataclasses.replace(
            segment, pending=(), handover=handover_by_segment[segment], phase=model.Phase.OWNED
        )
        if segment in handover_by_segment
        else segment
        for segment in ranges.segments
    )
    return dataclasses.replace(ranges, segments=segments)


def utilizations(ranges: model.RangeMap, fleet_state: FleetState) -> dict[model.Life, float]:
    """Return the load of each candidate that is surely there, as a share of what it can run."""
    draft = _Draft(ranges, fleet_state)
    return {life: draft.utilization_lower_bound(life) for life in draft.rate_by_life}


def _drop_ended_holders(draft: _Draft) -> None:
    for segment_index, segment in enumerate(draft.segments):
        pending = draft.possible_holders(segment.pending, segment.owner)
        if pending != segment.pending:
            phase = segment.phase if pending else model.Phase.OWNED
            draft.segments[segment_index] = dataclasses.replace(
                segment, pending=pending, phase=phase
            )


def _reassign_unusable(draft: _Draft) -> None:
    """Give the keys of servers that left or were lost to the others."""
    candidates = draft.fleet_state.candidates_by_life
    move_whole = draft.is_fragmented()
    result: list[model.Segment] = []
    for segment_index, segment in enumerate(draft.segments):
        if segment.owner in candidates:
            result.append(segment)
            continue
        if move_whole:
            neighbour_owners = {
                neighbour.owner
                for neighbour in (
                    *result[-1:],
                    *draft.segments[segment_index + 1 : segment_index + 2],
                )
            }
            result.append(
                draft.reassign(segment, _choose_neighbour(draft, segment, neighbour_owners))
            )
            continue
        parts = len(candidates) if segment.owner is None else EVACUATION_PARTS
        cuts = draft.fleet_state.load.split(
            segment.start, segment.end, min(parts, len(candidates), segment.width)
        )
        for start, end in cuts:
            part = dataclasses.replace(segment, start=start, end=end)
            result.append(draft.reassign(part, draft.least_utilized(draft.rate(part))))
    draft.segments = result


def _choose_neighbour(
    draft: _Draft, segment: model.Segment, neighbour_owners: set[model.Life | None]
) -> model.Life | None:
    """Return who takes a range whole: an owner next to it that has room, else the coldest."""
    candidates = draft.fleet_state.candidates_by_life
    rate = draft.rate(segment)
    fitting = [
        life
        for life in neighbour_owners
        if life in candidates
        and candidates[life].reachable
        and draft.rate_by_life[life] + rate <= _fill_level(draft) * candidates[life].capacity
    ]
    return min(fitting, key=draft.utilization, default=None) or draft.least_utilized(rate)


def _balance(draft: _Draft) -> None:
    """Move the hottest narrow ranges of overloaded servers to the least loaded ones."""
    candidates = draft.fleet_state.candidates_by_life
    capacity = sum(candidate.capacity for candidate in candidates.values())
    # More than a server can run is rejected, whatever the other servers do.
    served = sum(min(rate, candidates[life].capacity) for life, rate in draft.rate_by_life.items())
    mean = served / capacity
    exhausted: set[model.Life] = set()
    for _ in range(max(MOVES_PER_PLAN, round(MOVES_PER_SERVER * len(candidates)))):
        hot = max(
            (life for life in draft.rate_by_life if life not in exhausted),
            key=draft.utilization,
            default=None,
        )
        if hot is None:
            return
        bound = max(UTILIZATION_MINIMUM, OVERLOAD_RATIO * mean)
        if draft.utilization_lower_bound(hot) <= bound and not _has_underloaded_server(draft, mean):
            return
        if not _offload(draft, hot):
            exhausted.add(hot)


def _has_underloaded_server(draft: _Draft, mean: float) -> bool:
    """Return whether a candidate surely has almost no load although the others have some."""
    load = draft.fleet_state.load
    return any(
        draft.utilization(life)
        < UNDERLOAD_RATIO * load.rate_lower_bound(mean * candidate.capacity) / candidate.capacity
        for life, candidate in draft.fleet_state.candidates_by_life.items()
    )


def _offload(draft: _Draft, hot: model.Life) -> bool:
    """Take load from a server; returns False if nothing can be moved."""
    candidates = draft.fleet_state.candidates_by_life
    if not candidates[hot].reachable:
        return False
    dominant = _dominant_key(draft, hot)
    if dominant is not None and _move_to_fastest(draft, hot, *dominant):
        return True
    cold = draft.least_utilized(0.0)
    if cold is None or cold == hot or draft.utilization(cold) >= FULL_UTILIZATION:
        return False
    if dominant is not None:
        # The server serves what it can of this key, and its neighbours elsewhere do not wait.
        window = _find_neighbours(draft, hot, dominant[1], _spare_rate(draft, cold))
    else:
        window = _find_share(draft, hot, cold)
    if window is None:
        return False
    _move(draft, *window, cold)
    return True


def _find_share(draft: _Draft, hot: model.Life, cold: model.Life) -> tuple[int, int, int] | None:
    """Return a range of ``hot`` that brings ``cold`` to its part of the load.

    What moves cannot be divided again before it has settled, so one server gets half of the
    difference only if nothing smaller can be cut off.
    """
    candidates = draft.fleet_state.candidates_by_life
    gap = draft.utilization(hot) - draft.utilization(cold)
    half = gap / (1 / candidates[hot].capacity + 1 / candidates[cold].capacity)
    part = (_fill_level(draft) - draft.utilization(cold)) * candidates[cold].capacity
    if 0 < part < half:
        window = _find_window(draft, hot, part)
        if window is not None:
            return window
    return _find_window(draft, hot, half)


def _fill_level(draft: _Draft) -> float:
    """Return the utilization up to which a server takes on load."""
    candidates = draft.fleet_state.candidates_by_life
    capacity = sum(candidate.capacity for candidate in candidates.values())
    return max(UTILIZATION_MINIMUM, sum(draft.rate_by_life.values()) / capacity)


def _spare_rate(draft: _Draft, life: model.Life) -> float:
    """Return the rate that a server can still take on."""
    free = TAKE_OVER_UTILIZATION - draft.utilization(life)
    return max(0.0, free) * draft.fleet_state.candidates_by_life[life].capacity


def _dominant_key(draft: _Draft, life: model.Life) -> tuple[int, int, float] | None:
    """Return segment, key and rate of a key that is most of what a server can run."""
    load = draft.fleet_state.load
    bound = DOMINANT_SHARE * draft.fleet_state.candidates_by_life[life].capacity
    for segment_index, segment in enumerate(draft.segments):
        if segment.owner != life or not segment.is_settled:
            continue
        first, last = load.index_range(segment.start, segment.end)
        for index in range(first, last):
            if load.rates[index] > bound:
                return segment_index, load.keys[index], load.rates[index]
    return None


def _move_to_fastest(
    draft: _Draft, hot: model.Life, segment_index: int, key: int, rate: float
) -> bool:
    """Move a dominant key to a much faster server that has none."""
    candidates = draft.fleet_state.candidates_by_life
    if rate < candidates[hot].capacity:
        return False
    free = [
        life
        for life, candidate in candidates.items()
        if candidate.reachable and draft.utilization(life) < DOMINANT_SHARE
    ]
    fastest = max(free, key=lambda life: candidates[life].capacity, default=None)
    if draft.is_full():
        return False
    if fastest is None or candidates[fastest].capacity < FASTER_RATIO * candidates[hot].capacity:
        return False
    _move(draft, segment_index, key, key, fastest)
    return True


def _move(draft: _Draft, segment_index: int, start: int, end: int, target: model.Life) -> None:
    """Cut a range out of a segment and give it to another server."""
    segment = draft.segments[segment_index]
    moved = dataclasses.replace(segment, start=start, end=end)
    if segment.owner in draft.rate_by_life:
        draft.rate_by_life[segment.owner] -= draft.rate(moved)
    parts = []
    if start > segment.start:
        parts.append(dataclasses.replace(segment, end=start - 1))
    parts.append(draft.reassign(moved, target))
    if end < segment.end:
        parts.append(dataclasses.replace(segment, start=end + 1))
    draft.segments[segment_index : segment_index + 1] = parts


def _find_window(draft: _Draft, hot: model.Life, target: float) -> tuple[int, int, int] | None:
    """Return a range of ``hot`` with a rate near the target, and its segment.

    Whole segments come first, then ranges at an end of a segment, so that the map stays small.
    """
    best: tuple[int, int, int] | None = None
    best_cuts = 3
    if draft.is_full() or (draft.is_fragmented() and draft.utilization(hot) <= 1):
        best_cuts = 1
    load = draft.fleet_state.load
    for segment_index, segment in enumerate(draft.segments):
        if segment.owner != hot or not segment.is_settled or target <= 0:
            continue
        for cuts, start, end in _windows(load, segment, target):
            if cuts < best_cuts:
                best, best_cuts = (segment_index, start, end), cuts
    return best


def _windows(
    load: keyload.Snapshot, segment: model.Segment, target: float
) -> Iterator[tuple[int, int, int]]:
    """Yield ranges with a rate near the target, with the number of cuts that each needs."""
    rate_min, rate_max = 0.6 * target, 1.3 * target
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


def _find_neighbours(
    draft: _Draft, hot: model.Life, excluded_key: int, rate_max: float
) -> tuple[int, int, int] | None:
    """Return the busiest range of ``hot`` without the key ``keep`` that fits into ``room``."""
    best: tuple[int, int, int] | None = None
    if draft.is_full():
        return None
    best_rate = NEIGHBOUR_RATE_MINIMUM
    load = draft.fleet_state.load
    for segment_index, segment in enumerate(draft.segments):
        if segment.owner != hot or not segment.is_settled:
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


def _absorb_fragments(draft: _Draft) -> None:
    """Move the ranges with the least load to the owners of their neighbours, to be joined."""
    candidates = draft.fleet_state.candidates_by_life
    settled = [
        segment_index
        for segment_index in range(1, len(draft.segments) - 1)
        if draft.segments[segment_index].is_settled
        and draft.segments[segment_index].owner in candidates
    ]
    settled.sort(key=lambda segment_index: draft.rate(draft.segments[segment_index]))
    is_full = draft.is_full()
    moves = len(candidates) // 2 if is_full else ABSORBED_PER_PLAN
    moved: set[int] = set()
    for segment_index in settled:
        is_idle = draft.rate(draft.segments[segment_index]) <= ABSORBED_RATE_MAX
        if len(moved) >= moves or not (is_idle or is_full):
            return
        if moved & {segment_index - 1, segment_index + 1}:
            continue
        segment = draft.segments[segment_index]
        neighbour_owners = {
            draft.segments[segment_index - 1].owner,
            draft.segments[segment_index + 1].owner,
        }
        target = _choose_neighbour(draft, segment, neighbour_owners)
        if target in neighbour_owners and target != segment.owner:
            draft.rate_by_life[segment.owner] -= draft.rate(segment)
            draft.segments[segment_index] = draft.reassign(segment, target)
            moved.add(segment_index)


def _join_fragments(draft: _Draft) -> None:
    """Join adjacent settled segments of servers that have many, under a new token."""
    count_by_life: dict[model.Life | None, int] = {}
    for segment in draft.segments:
        count_by_life[segment.owner] = count_by_life.get(segment.owner, 0) + 1
    is_fragmented = draft.is_fragmented()
    joined: list[model.Segment] = []
    for segment in draft.segments:
        last = joined[-1] if joined else None
        if (
            last is not None
            and last.owner == segment.owner
            and last.is_settled
            and segment.is_settled
            and last.token != segment.token
            and (is_fragmented or count_by_life[segment.owner] > JOIN_ABOVE_SEGMENTS)
        ):
            joined[-1] = dataclasses.replace(
                last, end=segment.end, token=draft.take_token(), handover=""
            )
        else:
            joined.append(segment)
    draft.segments = joined
