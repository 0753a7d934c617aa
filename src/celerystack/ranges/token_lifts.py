"""Lifts the tokens of a service above those that servers have seen.

Servers refuse a token below the highest that they have seen. Tokens that the store has lost may be
higher than all that it remembers. A refusal does not say by how much, so that each lift is larger
than the one before, and a few reach any token that was given out.
"""

from __future__ import annotations

import dataclasses
import logging
from collections.abc import Iterable, Mapping

from celerystack import ids
from celerystack.ranges import model

_log = logging.getLogger(__name__)

FIRST_LIFT = 1 << 12
"""Number of tokens that the first lift leaves out."""
LIFT_FACTOR = 1 << 4
LIFTS_MAX = 8
"""Number of lifts of a service in one term, so that a server that refuses every token cannot use up
the tokens."""


class TokenLifts:
    """Tokens of the present maps that servers refused, and the lifts that follow."""

    def __init__(self) -> None:
        self._refused_by_service: dict[ids.ServiceName, set[ids.Token]] = {}
        self._count_by_service: dict[ids.ServiceName, int] = {}

    def begin_term(self) -> None:
        """Forget the refusals and the lifts of an earlier term."""
        self._refused_by_service.clear()
        self._count_by_service.clear()

    def note_refused(self, refused: Mapping[ids.ServiceName, Iterable[ids.Token]]) -> None:
        """Record tokens that an entry VM reports as refused."""
        for service, tokens in refused.items():
            self._refused_by_service.setdefault(service, set()).update(tokens)

    def apply(self, ranges: model.RangeMap) -> model.RangeMap:
        """Return the map with higher tokens for the segments whose owners refused theirs."""
        refused = self._refused_by_service.pop(ranges.service, set())
        if not any(segment.is_settled and segment.token in refused for segment in ranges.segments):
            return ranges
        count = self._count_by_service.get(ranges.service, 0)
        if count == LIFTS_MAX:
            return ranges
        self._count_by_service[ranges.service] = count + 1
        token = ids.Token(ranges.next_token + FIRST_LIFT * LIFT_FACTOR**count)
        _log.warning(
            "servers refused tokens of the range map; going on with token %d",
            token,
            extra={"step": "planner.lift", "service": ranges.service, "token": token},
        )
        segments = tuple(
            dataclasses.replace(segment, token=token)
            if segment.is_settled and segment.token in refused
            else segment
            for segment in ranges.segments
        )
        return dataclasses.replace(ranges, segments=segments, next_token=ids.Token(token + 1))
