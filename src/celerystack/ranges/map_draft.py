"""A range map under change, with the servers and the load from which a plan is made."""

from __future__ import annotations

import dataclasses
from collections.abc import Callable, Iterable, Mapping

from celerystack import ids
from celerystack.ranges import key_load, model

REBALANCE_UTILIZATION_MIN = 0.55
"""Up to this utilization a server answers fast enough, so that uneven load needs no moves, and
a server can be given load at any time."""
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
    is_silent: Callable[[model.ServerIncarnation], bool]
    load: key_load.Snapshot
    keeps_keys: Callable[[model.ServerIncarnation], bool] = lambda _: False


class MapDraft:
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
        """Return the request rate of a segment."""
        return self.service_state.load.rate(segment.start, segment.end)

    def keeps_keys(self, segment: model.Segment) -> bool:
        """Return whether the owner of a settled segment keeps it although it is no candidate."""
        owner = segment.owner
        return owner is not None and segment.is_settled and self.service_state.keeps_keys(owner)

    def utilization(self, incarnation: model.ServerIncarnation) -> float:
        """Return the utilization of a candidate."""
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
        """Return a token that has not been used yet."""
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

        A process that took grants for an incarnation of before its own start is found by releasing
        the keys of that incarnation, at the same address.
        """
        holders = dict.fromkeys(
            incarnation
            for incarnation in incarnations
            if incarnation != owner and not self.service_state.has_ended(incarnation)
        )
        return tuple(holders)

    def utilization_limit(self) -> float:
        """Return the utilization up to which a server is given load: that of all servers together.

        It is at least `REBALANCE_UTILIZATION_MIN`.
        """
        return max(REBALANCE_UTILIZATION_MIN, self.mean_utilization())

    def choose_owner(
        self, segment: model.Segment, neighbour_owners: set[model.ServerIncarnation | None]
    ) -> model.ServerIncarnation | None:
        """Return the new owner of a whole range.

        This is the owner of a neighbouring range with enough spare capacity, or else the least
        utilized candidate.
        """
        candidates = self.service_state.candidates_by_incarnation
        rate = self.rate(segment)
        fitting = [
            incarnation
            for incarnation in neighbour_owners
            if incarnation in candidates
            and candidates[incarnation].reachable
            and self.rate_by_incarnation[incarnation] + rate
            <= self.utilization_limit() * candidates[incarnation].capacity
        ]
        return min(fitting, key=self.utilization, default=None) or self.least_utilized(rate)

    def finish(self) -> model.RangeMap:
        """Return the changed map."""
        ranges = model.RangeMap(
            service=self.service, next_token=self.next_token, segments=tuple(self.segments)
        )
        return model.merge_neighbours(ranges)
