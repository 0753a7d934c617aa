"""Key ranges of a service, and the server that owns each of them."""

from __future__ import annotations

import bisect
import dataclasses
import enum
from collections.abc import Iterable

from celerystack import ids

KEY_MAX = 65_535
"""Largest key; keys are integers from 0."""
ERA_TOKENS = 1 << 24
"""Number of tokens that a service can give out in one era of the store, each era from a first token
of its own."""
LOST_TOKENS_MAX = 1 << 12
"""More tokens than a service gives out in the time that the store loses when it comes back from an
earlier copy."""


@dataclasses.dataclass(frozen=True, slots=True, order=True)
class ServerIncarnation:
    """One incarnation of a backend server, from a start of its process to its end.

    A later incarnation of the same server does not inherit the keys that were granted to an earlier
    one; it holds only keys that were granted to itself.

    Attributes
    ----------
    started_ms : int
        Unix time of the start in milliseconds.
    """

    server: ids.ServerId
    started_ms: int


class Phase(enum.Enum):
    """State of a range, which tells how long a request for its keys may have to wait.

    OWNED ranges are served by their owner, if they have one. MOVING ranges are released by a server
    that answers orders; this takes a fraction of a second. RECOVERING ranges wait until the leases
    of a silent server, one that does not answer, have ended.
    """

    OWNED = "owned"
    MOVING = "moving"
    RECOVERING = "recovering"


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Segment:
    """A contiguous range of keys with one owner.

    Attributes
    ----------
    start, end : int
        First and last key, both inclusive.
    token : Token
        Fencing token of the grant; higher than all tokens of earlier grants of these keys.
    owner : ServerIncarnation or None
        None if no server has been assigned yet.
    pending : tuple of ServerIncarnation
        Incarnations that may still hold some of these keys. The owner gets no grant while there are
        any of these possible holders.
    handover : str
        Data that the last holder returned when it released the keys; empty if it did not.
    """

    start: int
    end: int
    token: ids.Token
    owner: ServerIncarnation | None
    pending: tuple[ServerIncarnation, ...] = ()
    handover: str = ""
    phase: Phase = Phase.OWNED

    @property
    def is_settled(self) -> bool:
        """Whether the keys have an owner and nobody else may still hold them."""
        return self.owner is not None and not self.pending

    @property
    def width(self) -> int:
        """Number of keys."""
        return self.end - self.start + 1


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class RangeMap:
    """All segments of one service, in order and without gaps.

    Attributes
    ----------
    next_token : Token
        Lowest fencing token that has not been used for this service yet.
    """

    service: ids.ServiceName
    next_token: ids.Token
    segments: tuple[Segment, ...]

    def find(self, key: int) -> Segment | None:
        """Return the segment that contains a key; None if the key is out of range."""
        index = bisect.bisect_right(self.segments, key, key=lambda segment: segment.start) - 1
        if index < 0 or self.segments[index].end < key:
            return None
        return self.segments[index]

    def owned_by(self, incarnation: ServerIncarnation) -> list[Segment]:
        """Return the segments whose recorded owner is ``incarnation``."""
        return [segment for segment in self.segments if segment.owner == incarnation]

    def incarnations(self) -> set[ServerIncarnation]:
        """Return the incarnations that own keys or may still hold some."""
        found = {segment.owner for segment in self.segments if segment.owner is not None}
        for segment in self.segments:
            found.update(segment.pending)
        return found


def first_token(era: ids.StoreEra) -> ids.Token:
    """Return the lowest token of an era, whatever is known of the tokens of earlier ones."""
    return ids.Token(1 + era * ERA_TOKENS)


def token_in_era(token: ids.Token, written_in: ids.StoreEra, era: ids.StoreEra) -> ids.Token:
    """Return a token above all that were given out before ``era``.

    ``token`` is the next one of a map that was written in an earlier era. It may be above the first
    token of ``era`` already, because another planner began to recover the map or because one era
    gave out more tokens than it should; then those of a few seconds may be lost in each era.
    """
    lost = (era - written_in) * LOST_TOKENS_MAX
    return ids.Token(max(first_token(era), token + lost))


def unassigned(service: ids.ServiceName, era: ids.StoreEra) -> RangeMap:
    """Return the initial map of a service in an era: one segment without an owner."""
    first = first_token(era)
    return RangeMap(
        service=service,
        next_token=ids.Token(first + 1),
        segments=(Segment(start=0, end=KEY_MAX, token=first, owner=None),),
    )


def merge_neighbours(ranges: RangeMap) -> RangeMap:
    """Join adjacent segments whose fields are equal except for their keys."""
    merged: list[Segment] = []
    for segment in ranges.segments:
        if merged and dataclasses.replace(merged[-1], end=segment.end) == dataclasses.replace(
            segment, start=merged[-1].start
        ):
            merged[-1] = dataclasses.replace(merged[-1], end=segment.end)
        else:
            merged.append(segment)
    return dataclasses.replace(ranges, segments=tuple(merged))


def changed_segments(old: RangeMap, new: RangeMap) -> tuple[Segment, ...]:
    """Return the segments of ``new`` that ``old`` does not contain."""
    known = set(old.segments)
    return tuple(segment for segment in new.segments if segment not in known)


def apply_changes(
    old: RangeMap, changed: Iterable[Segment], next_token: ids.Token
) -> RangeMap | None:
    """Return ``old`` with the changed segments in place of those that they cover.

    Returns
    -------
    RangeMap or None
        None if the result would not cover all keys without gaps or overlaps.
    """
    changed = sorted(changed, key=lambda segment: segment.start)
    starts = [segment.start for segment in changed]
    ends = [segment.end for segment in changed]
    # The changed segments from the first that ends in or after a segment to the last that starts in
    # or before it overlap the segment.
    kept = [
        segment
        for segment in old.segments
        if bisect.bisect_left(ends, segment.start) >= bisect.bisect_right(starts, segment.end)
    ]
    segments = tuple(sorted([*kept, *changed], key=lambda segment: segment.start))
    expected = 0
    for segment in segments:
        if segment.start != expected:
            return None
        expected = segment.end + 1
    if expected != KEY_MAX + 1:
        return None
    return RangeMap(service=old.service, next_token=next_token, segments=segments)
