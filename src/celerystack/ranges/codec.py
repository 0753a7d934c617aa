"""Encodes range maps as msgpack, for rows of the store and for datagrams."""

from __future__ import annotations

from typing import Any

import msgpack

from celerystack import errors, ids
from celerystack.ranges import model

_PHASES = (model.Phase.OWNED, model.Phase.MOVING, model.Phase.RECOVERING)


def encode_segment(segment: model.Segment) -> list[Any]:
    """Return the msgpack fields of a segment."""
    owner = segment.owner
    return [
        segment.start,
        segment.end,
        segment.token,
        None if owner is None else [owner.server, owner.born_ms],
        [[life.server, life.born_ms] for life in segment.pending],
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
        owner=None if owner is None else decode_life(owner),
        pending=tuple(decode_life(life) for life in pending),
        handover=str(handover),
        phase=_PHASES[phase],
    )


def decode_life(fields: list[Any]) -> model.Life:
    """Return the life of decoded msgpack fields."""
    server, born_ms = fields
    return model.Life(ids.ServerId(str(server)), int(born_ms))


def encode(ranges: model.RangeMap) -> bytes:
    """Return the row value of a range map.

    Each life is written once and referred to by its index, which keeps the row small.
    """
    index_by_life: dict[model.Life, int] = {}

    def index_of(life: model.Life) -> int:
        return index_by_life.setdefault(life, len(index_by_life))

    segments = [
        [
            segment.start,
            segment.end,
            segment.token,
            None if segment.owner is None else index_of(segment.owner),
            [index_of(life) for life in segment.pending],
            segment.handover,
            _PHASES.index(segment.phase),
        ]
        for segment in ranges.segments
    ]
    lives = [[life.server, life.born_ms] for life in index_by_life]
    return msgpack.packb([ranges.next_token, lives, segments])


def _decode_row_segment(fields: list[Any], lives: list[model.Life]) -> model.Segment:
    start, end, token, owner, pending, handover, phase = fields
    return model.Segment(
        start=int(start),
        end=int(end),
        token=ids.Token(int(token)),
        owner=None if owner is None else lives[owner],
        pending=tuple(lives[index] for index in pending),
        handover=str(handover),
        phase=_PHASES[phase],
    )


def decode(service: ids.ServiceName, data: bytes) -> model.RangeMap:
    """Return the range map of a row value.

    Raises
    ------
    errors.CorruptRowError
        The row cannot be decoded, or its segments do not cover all keys without gaps.
    """
    try:
        next_token, life_fields, segment_fields = msgpack.unpackb(data)
        lives = [decode_life(fields) for fields in life_fields]
        ranges = model.RangeMap(
            service=service,
            next_token=ids.Token(int(next_token)),
            segments=tuple(_decode_row_segment(fields, lives) for fields in segment_fields),
        )
    except Exception as error:
        raise errors.CorruptRowError(
            f"malformed range map: {error!r}", step="ranges.decode", peer=service
        ) from error
    expected = 0
    for segment in ranges.segments:
        if segment.start != expected or segment.end < segment.start:
            raise errors.CorruptRowError("the ranges have gaps", step="ranges.decode", peer=service)
        expected = segment.end + 1
    if expected != model.KEY_MAX + 1:
        raise errors.CorruptRowError("the ranges have gaps", step="ranges.decode", peer=service)
    return ranges
