"""Encodes range maps as datagrams from the planner to the entry VMs, and reassembles them."""

from __future__ import annotations

from collections.abc import Iterator

import msgpack

from celerystack import ids
from celerystack.fleet import messages
from celerystack.ranges import codec, model, range_maps

PART_BYTES = 1_200
"""Bytes of the segments in one datagram. One segment is sent whole, whatever its size."""


def encode(
    known: range_maps.KnownMap, segments: tuple[model.Segment, ...], *, term: int, base: int
) -> list[bytes]:
    """Return the datagrams of a map or, unless ``base`` is 0, of its changes since that version.

    There is at least one, because a version without changed segments has to arrive too.
    """
    groups = list(_group(segments))
    return [
        messages.encode(
            messages.RangesPart(
                term=term,
                service=known.ranges.service,
                base=base,
                version=known.version,
                next_token=known.ranges.next_token,
                part=part,
                parts=len(groups),
                segments=group,
            )
        )
        for part, group in enumerate(groups)
    ]


def _group(segments: tuple[model.Segment, ...]) -> Iterator[tuple[model.Segment, ...]]:
    """Yield the segments of each datagram; of one without segments if there are none."""
    group: list[model.Segment] = []
    used = 0
    for segment in segments:
        size = len(msgpack.packb(codec.encode_segment(segment)))
        if group and used + size > PART_BYTES:
            yield tuple(group)
            group, used = [], 0
        group.append(segment)
        used += size
    yield tuple(group)


def encode_whole(known: range_maps.KnownMap, *, term: int) -> list[bytes]:
    """Return the datagrams of a whole map."""
    return encode(known, known.ranges.segments, term=term, base=0)


class Assembler:
    """Reassembles range maps from their parts, which may be lost or reordered."""

    def __init__(self) -> None:
        self._parts_by_key: dict[
            tuple[ids.ServiceName, int, int], dict[int, messages.RangesPart]
        ] = {}

    def add(
        self, part: messages.RangesPart, known: range_maps.KnownMap | None
    ) -> model.RangeMap | None:
        """Add a part and return the map that it completes; None if it completes none.

        Parameters
        ----------
        known : range_maps.KnownMap or None
            The map in use, which may be the base of changes.
        """
        if known is not None and known.version >= part.version:
            return None
        key = part.service, part.version, part.base
        parts = self._parts_by_key.setdefault(key, {})
        parts[part.part] = part
        if len(parts) < part.parts:
            return None
        del self._parts_by_key[key]
        segments = tuple(s for number in range(part.parts) for s in parts[number].segments)
        ranges = _rebuild(part, segments, known)
        if ranges is not None:
            self._drop_outdated(part)
        return ranges

    def _drop_outdated(self, done: messages.RangesPart) -> None:
        """Drop the parts of the version of ``done`` and of older ones."""
        outdated = [
            key for key in self._parts_by_key if key[0] == done.service and key[1] <= done.version
        ]
        for key in outdated:
            del self._parts_by_key[key]


def _rebuild(
    part: messages.RangesPart,
    segments: tuple[model.Segment, ...],
    known: range_maps.KnownMap | None,
) -> model.RangeMap | None:
    """Return the map of a complete set of parts; None if their base is not the map in use."""
    next_token = ids.Token(part.next_token)
    if part.base == 0:
        return model.RangeMap(service=part.service, next_token=next_token, segments=segments)
    if known is None or known.version != part.base:
        return None
    return model.apply_changes(known.ranges, segments, next_token)
