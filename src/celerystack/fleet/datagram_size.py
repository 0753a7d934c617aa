"""Fits messages with long lists into datagrams.

The lists of a message grow with the names and the number of entry VMs, servers and services. What
does not fit is left out at random: the next messages have it, or the receiver does without.
"""

from __future__ import annotations

import random
from collections.abc import Mapping, Sequence
from typing import Any

import msgpack

DATAGRAM_BYTES_MAX = 60_000
"""Largest datagram in bytes; less than UDP allows and than the receiving side reads."""
HEADER_BYTES_MAX = 5
"""Bytes with which the encoding of a list or dict can begin."""


def longest_prefix(names: Sequence[str], *, bytes_max: int, extra_bytes: int) -> int:
    """Return how many of the first names fit, each with ``extra_bytes`` bytes around it."""
    used = 0
    for index, name in enumerate(names):
        used += len(name.encode()) + extra_bytes
        if used > bytes_max:
            return index
    return len(names)


def fit_fields(
    fields: Mapping[str, Sequence[Any] | Mapping[Any, Any]], bytes_max: int
) -> dict[str, tuple[Any, ...] | dict[Any, Any]]:
    """Return the fields, the longest of them shortened so that all together fit.

    Each field gets the same share of the bytes; what short ones leave goes to the longer ones.

    Parameters
    ----------
    fields : mapping
        Lists and dicts of values that msgpack can encode, by name.
    bytes_max : int
        Bytes that the encoded fields may have together.
    """
    size_by_name = {name: len(msgpack.packb(value)) for name, value in fields.items()}
    fitted: dict[str, tuple[Any, ...] | dict[Any, Any]] = {}
    left = bytes_max
    for index, name in enumerate(sorted(size_by_name, key=size_by_name.__getitem__)):
        share = left // (len(fields) - index)
        fitted[name], size = _shorten(fields[name], size_by_name[name], share)
        left -= size
    return fitted


def _shorten(
    values: Sequence[Any] | Mapping[Any, Any], size: int, bytes_max: int
) -> tuple[tuple[Any, ...] | dict[Any, Any], int]:
    """Return a random part of the values that fits, and its size in bytes at most."""
    is_dict = isinstance(values, Mapping)
    if size <= bytes_max:
        return (dict(values) if is_dict else tuple(values)), size
    items = list(values.items()) if is_dict else list(values)
    random.shuffle(items)
    kept: list[Any] = []
    used = HEADER_BYTES_MAX
    for item in items:
        item_bytes = len(msgpack.packb(item))
        if used + item_bytes <= bytes_max:
            kept.append(item)
            used += item_bytes
    return (dict(kept) if is_dict else tuple(kept)), used
