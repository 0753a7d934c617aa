"""Digest of a server's shards, which ties the map rows to the token in the server's row.

Rows of one transaction may reach an entry VM one after the other. Without the digest, a lessor that
has the new token but not yet the new map would grant the old shards under the new token, and the
server would keep a shard that it was to release.
"""

from __future__ import annotations

import hashlib
from collections.abc import Iterable

from celerystack import model

EMPTY = 0


def digest(shards: Iterable[model.ShardGrant]) -> int:
    """Return a 64-bit digest that does not depend on the order; `EMPTY` for no shards."""
    result = EMPTY
    for grant in shards:
        text = f"{grant.service}\x00{grant.shard}\x00{grant.epoch}".encode()
        result ^= int.from_bytes(hashlib.blake2b(text, digest_size=8).digest(), "big")
    return result
