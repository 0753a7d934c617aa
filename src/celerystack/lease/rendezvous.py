"""Rendezvous (highest random weight) hashing with BLAKE2b."""

from __future__ import annotations

import hashlib
from collections.abc import Iterable


def weight(key: str, member: str) -> int:
    """Return the 64-bit weight of ``member`` for ``key``, equal on every host."""
    text = f"{key}\x00{member}".encode("utf-8", "surrogateescape")
    return int.from_bytes(hashlib.blake2b(text, digest_size=8).digest(), "big")


def ranked(key: str, members: Iterable[str]) -> list[str]:
    """Return the distinct members in descending order of weight; ties are broken by name."""
    return sorted(set(members), key=lambda member: (-weight(key, member), member))
