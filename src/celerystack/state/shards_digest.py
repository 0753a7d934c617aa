"""Digest of a server's shards, which ties the token in the server's row to the map rows.

The rows of one transaction may reach an entry VM one by one. Without the digest, a lessor with the
new token but the old map would grant the old shards under the new token, and the server would keep
a shard that it must release.
"""

from __future__ import annotations

import hashlib
from collections.abc import Iterable

from celerystack import model

EMPTY = 0


def compute(shards: Iterable[model.ShardGrant]) -> int:
    """Return a 64-bit digest that is independent of the order; `EMPTY` for no shards."""
    result = EMPTY
    for grant in shards:
        text = f"{grant.service}\x00{grant.shard}\x00{grant.epoch}".encode()
        result ^= int.from_bytes(hashlib.blake2b(text, digest_size=8).digest(), "big")
    return result
