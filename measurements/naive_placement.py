"""Naive placements for baselines: modulo hashing and rendezvous hashing without load bounds."""

from __future__ import annotations

import hashlib
from collections.abc import Iterable, Sequence

from celerystack import ids


def modulo(shards: Iterable[ids.ShardId], servers: Sequence[ids.ServerId]) -> dict:
    """Return owner by shard: the hash of the shard modulo the number of servers."""
    ordered = sorted(servers)
    return {shard: ordered[_digest(str(shard)) % len(ordered)] for shard in shards}


def rendezvous(shards: Iterable[ids.ShardId], servers: Sequence[ids.ServerId]) -> dict:
    """Return owner by shard: the server with the highest hash of (server, shard)."""
    return {shard: max(servers, key=lambda s: _digest(f"{s}/{shard}")) for shard in shards}


def _digest(text: str) -> int:
    return int.from_bytes(hashlib.blake2b(text.encode(), digest_size=8).digest(), "big")
