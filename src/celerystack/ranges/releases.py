"""Joins the keys that one server has to give back into few orders."""

from __future__ import annotations

import dataclasses
import math
from collections.abc import Iterator, Sequence

from celerystack.ranges import model

ORDERS_IN_FLIGHT_MAX = 4
"""Orders to one server at the same time, which is as many as have a connection."""


def group(segments: Sequence[model.Segment]) -> Iterator[tuple[model.Segment, ...]]:
    """Yield groups of adjacent segments, each for one order.

    An order is answered when the work on its keys has ended, so that larger groups than necessary
    would keep keys waiting for work on others.

    Parameters
    ----------
    segments : sequence of Segment
        What one server has to give back, in the order of the keys.
    """
    length_max = math.ceil(len(segments) / ORDERS_IN_FLIGHT_MAX)
    current: list[model.Segment] = []
    for segment in segments:
        if current and (current[-1].end + 1 != segment.start or len(current) == length_max):
            yield tuple(current)
            current = []
        current.append(segment)
    if current:
        yield tuple(current)


def join(segments: Sequence[model.Segment]) -> model.Segment:
    """Return the segment whose release takes back the keys of all given ones.

    Its token is the highest, so that the server accepts no older grant on any of the keys.
    """
    first, last = segments[0], segments[-1]
    token = max(segment.token for segment in segments)
    return dataclasses.replace(first, end=last.end, token=token)
