"""Combines the keys that one server has to release into few orders."""

from __future__ import annotations

import dataclasses
import math
from collections.abc import Iterator, Sequence

from celerystack.ranges import model

ORDERS_PREFERRED = 4
"""Largest number of orders into which adjacent segments are combined; as many as
`celerystack.platform.orders` has connections per server for releases.

Segments that are not adjacent need separate orders, so there may be more; all are sent at once.
"""


def group(segments: Sequence[model.Segment]) -> Iterator[tuple[model.Segment, ...]]:
    """Yield groups of adjacent segments, each for one order.

    No group has more segments than `ORDERS_PREFERRED` groups of equal length would have: an
    order is answered when all requests for its keys have ended, so in a large group keys wait for
    others. Segments that are not adjacent go into different groups, however many these become.

    Parameters
    ----------
    segments : sequence of Segment
        Segments that one server has to release, ordered by key.
    """
    length_max = math.ceil(len(segments) / ORDERS_PREFERRED)
    current: list[model.Segment] = []
    for segment in segments:
        if current and (current[-1].end + 1 != segment.start or len(current) == length_max):
            yield tuple(current)
            current = []
        current.append(segment)
    if current:
        yield tuple(current)


def join(segments: Sequence[model.Segment]) -> model.Segment:
    """Return one segment that stands for all given ones in a release order.

    It has the highest of their tokens, so that the server rejects older grants of all the keys.
    """
    first, last = segments[0], segments[-1]
    token = max(segment.token for segment in segments)
    return dataclasses.replace(first, end=last.end, token=token)
