"""Decides which server owns which keys.

The functions have no side effects; they compute a new map from a map and the state of a service.
"""

from __future__ import annotations

import dataclasses
from collections.abc import Callable, Iterable, Iterator, Mapping

from celerystack import ids
from celerystack.ranges import key_load, model

EVACUATION_PARTS = 4
"""Parts into which a segment of a draining or lost server is cut, to spread it over servers."""
OVERLOAD_RATIO = 1.3
"""Keys are moved from a server above this multiple of the mean utilization."""
REBALANCE_UTILIZATION_MIN = 0.55
"""Up to this utilization a server answers fast enough, so that uneven load needs no moves, and
a server can be given load at any time."""
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
JOIN_ABOVE_SEGMENTS = 2
"""Adjacent segments of a server that has more than this many are joined under a new token."""
FRAGMENTED_SEGMENTS = 200
"""Number of segments up to which no map is fragmented."""
FRAGMENTED_SEGMENTS_PER_SERVER = 8
"""Segments per server up to which no map is fragmented, unless it has `FRAGMENTED_SEGMENTS_MAX`.

A map above both limits is fragmented: ranges without a usable owner then go whole to the owners of
neighbouring ranges, and fragments are joined."""
FRAGMENTED_SEGMENTS_MAX = 1_000
"""Number of segments above which every map is fragmented; leaves room below `SEGMENTS_MAX` for the
cuts of hot ranges."""
FULL_SEGMENTS_PER_SERVER = 16
"""Segments per server above which a map is full, so that no range is cut.

A cut adds at most two segments. A map is not full if it then has at most twice
`FRAGMENTED_SEGMENTS`, and always full if it could have more than `SEGMENTS_MAX`."""
JOINING_MOVES_PER_PLAN = 8
"""Largest number of idle ranges of a fragmented map that one plan moves to join them with others.

It is small because callers wait during a move; half as many ranges as there are servers move if the
map is full."""
JOINING_MOVE_RATE_MAX = 0.5
"""Rate in requests/s up to which a range counts as idle; busier ones move to be joined only if the
map is full."""
SEGMENTS_MAX = 1_500
"""Largest number of segments; keeps the map below 64 KB, the limit of its row."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Candidate:
    """A server that may own keys.

    Attributes
    ----------
    capacity : float
        Requests/s that the server can process.
    reachable : bool
        Whether the server answers orders; False if it is silent.
    """

    incarnation: model.ServerIncarnation
    capacity: float
    reachable: bool = True


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ServiceState:
    """State of a service's servers and load, from which a plan is made.

    Attributes
    ----------
    candidates_by_incarnation : mapping
        The servers of the service that may be given keys.
    has_ended : callable
        Whether an incarnation has certainly ended.
    successor : callable
        The later incarnation of the server of an ended incarnation; None if there is none. An entry
        VM that did not know of the restart may have granted it the keys of the ended incarnation.
    is_silent : callable
        Whether an incarnation does not answer orders, so that its keys can be granted to another
        server only when its leases have ended.
    keeps_keys : callable
        Whether an incarnation that is no candidate keeps its keys for the time being.
    load : key_load.Snapshot
        Recent request rates by key.
    """

    candidates_by_incarnation: Mapping[model.ServerIncarnation, Candidate]
    has_ended: Callable[[model.ServerIncarnation], bool]
    successor: Callable[[model.ServerIncarnation], model.ServerIncarnation | None]
    is_silent: Callable[[model.ServerIncarnation], bool]
    load: key_load.Snapshot
    keeps_keys: Callable[[model.ServerIncarnation], bool] = lambda _: False


class _Draft:
    """A map under change, and the request rate of each candidate in it."""

    def __init__(self, ranges: model.RangeMap, service_state: ServiceState) -> None:
        self.service_state = service_state
        self.service = ranges.service
        self.next_token = ranges.next_token
        self.segments = list(ranges.segments)
        self.rate_by_incarnation = dict.fromkeys(service_state.candidates_by_incarnation, 0.0)
        for segment in self.segments:
            if segment.owner in self.rate_by_incarnation:
                self.rate_by_incarnation[segment.owner] += self.rate(segment)

    def is_fragmented(self) -> bool:
        """Return whether the map has so many segments that they are joined rather than cut."""
        limit = FRAGMENTED_SEGMENTS_PER_SERVER * len(self.service_state.candidates_by_incarnation)
        return len(self.segments) > min(max(FRAGMENTED_SEGMENTS, limit), FRAGMENTED_SEGMENTS_MAX)

    def is_full(self) -> bool:
        """Return whether the map has too many segments to cut any."""
        limit = FULL_SEGMENTS_PER_SERVER * len(self.service_state.candidates_by_incarnation)
        return len(self.segments) + 2 > min(max(2 * FRAGMENTED_SEGMENTS, limit), SEGMENTS_MAX)

    def rate(self, segment: model.Segment) -> float:
        return self.service_state.load.rate(segment.start, segment.end)

    def keeps_keys(self, segment: model.Segment) -> bool:
        """Return whether the owner of a settled segment keeps it although it is no candidate."""
        owner = segment.owner
        return owner is not None and segment.is_settled and self.service_state.keeps_keys(owner)

    def utilization(self, incarnation: model.ServerIncarnation) -> float:
        return (
            self.rate_by_incarnation[incarnation]
            / self.service_state.candidates_by_incarnation[incarnation].capacity
        )

    def mean_utilization(self) -> float:
        """Return the utilization of all candidates together, at most 1.

        Load beyond a server's capacity is rejected, so it does not count.
        """
        candidates = self.service_state.candidates_by_incarnation
        served = sum(
            min(rate, candidates[incarnation].capacity)
            for incarnation, rate in self.rate_by_incarnation.items()
        )
        return served / sum(candidate.capacity for candidate in candidates.values())

    def utilization_lower_bound(self, incarnation: model.ServerIncarnation) -> float:
        """Return a lower confidence bound of the utilization of a candidate."""
        rate = self.service_state.load.rate_lower_bound(self.rate_by_incarnation[incarnation])
        return rate / self.service_state.candidates_by_incarnation[incarnation].capacity

    def take_token(self) -> ids.Token:
        token = self.next_token
        self.next_token = ids.Token(token + 1)
        return token

    def least_utilized(self, rate: float) -> model.ServerIncarnation | None:
        """Return the candidate with the lowest utilization if it is given ``rate`` too.

        A silent one is returned only if there is no other.
        """
        candidates = self.service_state.candidates_by_incarnation
        if not candidates:
            return None
        return min(
            candidates,
            key=lambda incarnation: (
                not candidates[incarnation].reachable,
                (self.rate_by_incarnation[incarnation] + rate) / candidates[incarnation].capacity,
                incarnation,
            ),
        )

    def reassign(
        self, segment: model.Segment, owner: model.ServerIncarnation | None
    ) -> model.Segment:
        """Return a segment with a new token and owner.

        The previous owner becomes a possible holder. Adds the rate of the segment to that of the
        new owner.
        """
        holders = list(segment.pending)
        if segment.owner is not None and segment.owner not in holders:
            holders.append(segment.owner)
        pending = self.possible_holders(holders, owner)
        silent = any(self.service_state.is_silent(incarnation) for incarnation in pending)
        pending_phase = model.Phase.RECOVERING if silent else model.Phase.MOVING
        if owner in self.rate_by_incarnation:
            self.rate_by_incarnation[owner] += self.rate(segment)
        return dataclasses.replace(
            segment,
            token=self.take_token(),
            owner=owner,
            pending=pending,
            handover="",
            phase=pending_phase if pending else model.Phase.OWNED,
        )

    def possible_holders(
        self, incarnations: Iterable[model.ServerIncarnation], owner: model.ServerIncarnation | None
    ) -> tuple[model.ServerIncarnation, ...]:
        """Return who may hold keys granted to ``incarnations``, other than ``owner``.

        An ended incarnation is replaced by its successor, or dropped if there is none.
        """
        holders: dict[model.ServerIncarnation, None] = {}
        for incarnation in incarnations:
            ended = self.service_state.has_ended(incarnation)
            holder = self.service_state.successor(incarnation) if ended else incarnation
            if holder is not None and holder != owner:
                holders[holder] = None
        return tuple(holders)

    def finish(self) -> model.RangeMap:
        ranges = model.RangeMap(
            service=self.service, next_token=self.next_token, segments=tuple(self.segments)
        )
        return model.merge_neighbours(ranges)


def plan(ranges: model.RangeMap, service_state: ServiceState) -> model.RangeMap:
    """Return the map that should replace ``ranges``; equal to it if nothing has to change."""
    if not service_state.candidates_by_incarnation:
        return ranges
    draft = _Draft(ranges, service_state)
    _drop_ended_holders(draft)
    _reassign_unusable(draft)
    _balance(draft)
    if draft.is_fragmented():
        _move_fragments(draft)
    _join_fragments(draft)
    return draft.finish()


def settle(
    ranges: model.RangeMap, handover_by_segment: Mapping[model.Segment, str]
) -> model.RangeMap:
    """Return the map with the possible holders of the given segments removed.

    Parameters
    ----------
    handover_by_segment : mapping of Segment to str
        The segments that no other incarnation can hold any more, with the handover that the last
        holder returned; empty if there is none.
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


def utilizations(
    ranges: model.RangeMap, service_state: ServiceState
) -> dict[model.ServerIncarnation, float]:
    """Return lower confidence bounds of the utilizations of the candidates.

    They are below the measured utilizations, as a difference of few requests may be random.
    """
    draft = _Draft(ranges, service_state)
    return {
        incarnation: draft.utilization_lower_bound(incarnation)
        for incarnation in draft.rate_by_incarnation
    }


def _drop_ended_holders(draft: _Draft) -> None:
    for segment_index, segment in enumerate(draft.segments):
        pending = draft.possible_holders(segment.pending, segment.owner)
        if pending != segment.pending:
            phase = segment.phase if pending else model.Phase.OWNED
            draft.segments[segment_index] = dataclasses.replace(
                segment, pending=pending, phase=phase
            )


def _reassign_unusable(draft: _Draft) -> None:
    """Assign the keys without a usable owner to the candidates."""
    candidates = draft.service_state.candidates_by_incarnation
    move_whole = draft.is_fragmented()
    result: list[model.Segment] = []
    for segment_index, segment in enumerate(draft.segments):
        if segment.owner in candidates or draft.keeps_keys(segment):
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
            result.append(draft.reassign(segment, _choose_owner(draft, segment, neighbour_owners)))
            continue
        parts = len(candidates) if segment.owner is None else EVACUATION_PARTS
        cuts = draft.service_state.load.split(
            segment.start, segment.end, min(parts, len(candidates), segment.width)
        )
        for start, end in cuts:
            part = dataclasses.replace(segment, start=start, end=end)
            result.append(draft.reassign(part, draft.least_utilized(draft.rate(part))))
    draft.segments = result


def _choose_owner(
    draft: _Draft, segment: model.Segment, neighbour_owners: set[model.ServerIncarnation | None]
) -> model.ServerIncarnation | None:
    """Return the new owner of a whole range.

    This is the owner of a neighbouring range with enough spare capacity, or else the least utilized
    candidate.
    """
    candidates = draft.service_state.candidates_by_incarnation
    rate = draft.rate(segment)
    fitting = [
        incarnation
        for incarnation in neighbour_owners
        if incarnation in candidates
        and candidates[incarnation].reachable
        and draft.rate_by_incarnation[incarnation] + rate
        <= _utilization_limit(draft) * candidates[incarnation].capacity
    ]
    return min(fitting, key=draft.utilization, default=None) or draft.least_utilized(rate)


def _balance(draft: _Draft) -> None:
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
        bound = max(REBALANCE_UTILIZATION_MIN, OVERLOAD_RATIO * mean)
        if draft.utilization_lower_bound(source) <= bound and not _has_underloaded_server(
            draft, mean
        ):
            return
        if not _offload(draft, source):
            exhausted.add(source)


def _has_underloaded_server(draft: _Draft, mean: float) -> bool:
    """Return whether a candidate is far below the lower confidence bound of the mean load."""
    load = draft.service_state.load
    return any(
        draft.utilization(incarnation)
        < UNDERLOAD_RATIO * load.rate_lower_bound(mean * candidate.capacity) / candidate.capacity
        for incarnation, candidate in draft.service_state.candidates_by_incarnation.items()
    )


def _offload(draft: _Draft, source: model.ServerIncarnation) -> bool:
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
    draft: _Draft, source: model.ServerIncarnation, target: model.ServerIncarnation
) -> tuple[int, int, int] | None:
    """Return a range of ``source`` that brings ``target`` up to the utilization limit.

    If its keys are too busy for that, the range with the lowest rate above it is returned, so that
    one plan spreads them over many servers: a moved range cannot be cut again before it is settled.
    """
    candidates = draft.service_state.candidates_by_incarnation
    gap = draft.utilization(source) - draft.utilization(target)
    equalizing_rate = gap / (1 / candidates[source].capacity + 1 / candidates[target].capacity)
    limit = _utilization_limit(draft)
    if draft.utilization(target) >= limit:
        limit = FULL_UTILIZATION
    rate_to_limit = (limit - draft.utilization(target)) * candidates[target].capacity
    if rate_to_limit >= equalizing_rate:
        return _find_window(draft, source, equalizing_rate)
    window = _find_window(draft, source, rate_to_limit)
    return window or _find_lightest_window(draft, source, rate_to_limit, equalizing_rate)


def _utilization_limit(draft: _Draft) -> float:
    """Return the utilization up to which a server is given load: that of all servers together.

    It is at least `REBALANCE_UTILIZATION_MIN`.
    """
    return max(REBALANCE_UTILIZATION_MIN, draft.mean_utilization())


def _spare_rate(draft: _Draft, incarnation: model.ServerIncarnation) -> float:
    """Return the rate that a server can be given up to `OTHER_KEYS_UTILIZATION_MAX`."""
    free = OTHER_KEYS_UTILIZATION_MAX - draft.utilization(incarnation)
    return max(0.0, free) * draft.service_state.candidates_by_incarnation[incarnation].capacity


def _dominant_key(
    draft: _Draft, incarnation: model.ServerIncarnation
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
    draft: _Draft, source: model.ServerIncarnation, segment_index: int, key: int, rate: float
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
    draft: _Draft, segment_index: int, start: int, end: int, target: model.ServerIncarnation
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
    draft: _Draft, source: model.ServerIncarnation, target_rate: float
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
    draft: _Draft, source: model.ServerIncarnation, rate: float, rate_max: float
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
    draft: _Draft, source: model.ServerIncarnation, excluded_key: int, rate_max: float
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


def _move_fragments(draft: _Draft) -> None:
    """Move the least loaded ranges to owners of neighbouring ranges, so that they can be joined."""
    candidates = draft.service_state.candidates_by_incarnation
    settled = [
        segment_index
        for segment_index in range(1, len(draft.segments) - 1)
        if draft.segments[segment_index].is_settled
        and draft.segments[segment_index].owner in candidates
    ]
    settled.sort(key=lambda segment_index: draft.rate(draft.segments[segment_index]))
    is_full = draft.is_full()
    moves = len(candidates) // 2 if is_full else JOINING_MOVES_PER_PLAN
    moved: set[int] = set()
    for segment_index in settled:
        is_idle = draft.rate(draft.segments[segment_index]) <= JOINING_MOVE_RATE_MAX
        if len(moved) >= moves or not (is_idle or is_full):
            return
        if moved & {segment_index - 1, segment_index + 1}:
            continue
        segment = draft.segments[segment_index]
        neighbour_owners = {
            draft.segments[segment_index - 1].owner,
            draft.segments[segment_index + 1].owner,
        }
        target = _choose_owner(draft, segment, neighbour_owners)
        if target in neighbour_owners and target != segment.owner:
            draft.rate_by_incarnation[segment.owner] -= draft.rate(segment)
            draft.segments[segment_index] = draft.reassign(segment, target)
            moved.add(segment_index)


def _join_fragments(draft: _Draft) -> None:
    """Join adjacent settled segments of a server that has many, under a new token."""
    count_by_incarnation: dict[model.ServerIncarnation | None, int] = {}
    for segment in draft.segments:
        count_by_incarnation[segment.owner] = count_by_incarnation.get(segment.owner, 0) + 1
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
            and (is_fragmented or count_by_incarnation[segment.owner] > JOIN_ABOVE_SEGMENTS)
        ):
            joined[-1] = dataclasses.replace(
                last, end=segment.end, token=draft.take_token(), handover=""
            )
        else:
            joined.append(segment)
    draft.segments = joined
