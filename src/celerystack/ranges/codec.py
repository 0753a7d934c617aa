"""Encodes range maps as msgpack for rows of the store, and segments for datagrams.

`celerystack.ranges.map_datagrams` splits maps into datagrams.
"""

from __future__ import annotations

from typing import Any

import msgpack

from celerystack import errors, ids
from celerystack.ranges import model

_PHASES = (model.Phase.OWNED, model.Phase.MOVING, model.Phase.RECOVERING)


NO_ERA = ids.StoreEra(0)
"""Era of a store that names none; rows without an era count as written in it."""


def encode_segment(segment: model.Segment) -> list[Any]:
    """Return the msgpack fields of a segment."""
    owner = segment.owner
    return [
        segment.start,
        segment.end,
        segment.token,
        None if owner is None else [owner.server, owner.started_ms],
        [[incarnation.server, incarnation.started_ms] for incarnation in segment.pending],
        segment.handover,
        _PHASES.index(segment.phase),
    ]


def decode_segment(fields: list[Any]) -> model.Segment:
    """Return the segment of decoded msgpack fields."""
    start, end, token, owner, pending, handover, phase = fields
    return model.Segment(
        start=int(start),
        end=int(end),
        token=ids.Token(int(token)),
        owner=None if owner is None else decode_incarnation(owner),
        pending=tuple(decode_incarnation(incarnation) for incarnation in pending),
        handover=str(handover),
        phase=_PHASES[phase],
    )


def decode_incarnation(fields: list[Any]) -> model.ServerIncarnation:
    """Return the incarnation of decoded msgpack fields."""
    server, started_ms = fields
    return model.ServerIncarnation(ids.ServerId(str(server)), int(started_ms))


def encode(ranges: model.RangeMap, era: ids.StoreEra = NO_ERA) -> bytes:
    """Return the row value of a range map that is written in an era of the store.

    Each incarnation is written once and referred to by its index, which keeps the row small.
    """
    index_by_incarnation: dict[model.ServerIncarnation, int] = {}

    def index_of(incarnation: model.ServerIncarnation) -> int:
        return index_by_incarnation.setdefault(incarnation, len(index_by_incarnation))

    segments = [
        [
            segment.start,
            segment.end,
            segment.token,
            None if segment.owner is None else index_of(segment.owner),
            [index_of(incarnation) for incarnation in segment.pending],
            segment.handover,
            _PHASES.index(segment.phase),
        ]
        for segment in ranges.segments
    ]
    incarnations = [
        [incarnation.server, incarnation.started_ms] for incarnation in index_by_incarnation
    ]
    fields = [ranges.next_token, incarnations, segments]
    return msgpack.packb(fields if era == NO_ERA else [*fields, era])


def _decode_row_segment(
    fields: list[Any], incarnations: list[model.ServerIncarnation]
) -> model.Segment:
    start, end, token, owner, pending, handover, phase = fields
    return model.Segment(
        start=int(start),
        end=int(end),
        token=ids.Token(int(token)),
        owner=None if owner is None else incarnations[owner],
        pending=tuple(incarnations[index] for index in pending),
        handover=str(handover),
        phase=_PHASES[phase],
    )


def decode(service: ids.ServiceName, data: bytes) -> model.RangeMap:
    """Return the range map of a row value.

    Raises
    ------
    errors.CorruptRowError
        The row cannot be decoded, or its segments do not cover all keys exactly once, in order.
    """
    try:
        next_token, incarnation_fields, segment_fields, *_ = msgpack.unpackb(data)
        incarnations = [decode_incarnation(fields) for fields in incarnation_fields]
        ranges = model.RangeMap(
            service=service,
            next_token=ids.Token(int(next_token)),
            segments=tuple(_decode_row_segment(fields, incarnations) for fields in segment_fields),
        )
    except Exception as error:
        raise errors.CorruptRowError(
            f"malformed range map: {error!r}", step="ranges.decode", peer=service
        ) from error
    expected = 0
    for segment in ranges.segments:
        if segment.start != expected or segment.end < segment.start:
            raise errors.CorruptRowError(
                "the segments do not cover all keys exactly once",
                step="ranges.decode",
                peer=service,
            )
        expected = segment.end + 1
    if expected != model.KEY_MAX + 1:
        raise errors.CorruptRowError(
            "the segments do not cover all keys exactly once", step="ranges.decode", peer=service
        )
    return ranges


def decode_era(service: ids.ServiceName, data: bytes) -> ids.StoreEra:
    """Return the era in which the range map of a row value was written.

    Raises
    ------
    errors.CorruptRowError
        The row cannot be decoded.
    """
    try:
        fields = msgpack.unpackb(data)
        return ids.StoreEra(int(fields[3])) if len(fields) > 3 else NO_ERA
    except Exception as error:
        raise errors.CorruptRowError(
            f"malformed range map: {error!r}", step="ranges.decode", peer=service
        ) from error
