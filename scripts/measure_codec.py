"""Measures encoding of messages and rows with the installed msgpack; prints the best of five.

Usage: PYTHONPATH=src python scripts/measure_codec.py [ARCHIVE]
With an archive, modules are imported from there (run the interpreter with -IBS).
"""

from __future__ import annotations

import sys
import time
from collections.abc import Callable

if len(sys.argv) > 1:
    sys.path.insert(0, sys.argv[1])

import msgpack
import zope.interface

from celerystack.state import shard_map


class _Interface(zope.interface.Interface):
    pass


@zope.interface.implementer(_Interface)
class _Provider:
    pass


def best_us(function: Callable[[], object], repetitions: int) -> float:
    """Return the shortest mean duration of one call in microseconds."""
    durations_us = []
    for _ in range(5):
        started = time.perf_counter()
        for _ in range(repetitions):
            function()
        durations_us.append((time.perf_counter() - started) / repetitions * 1e6)
    return min(durations_us)


def main() -> int:
    """Print the figures."""
    versions = {f"server/rv-{number:04d}": number for number in range(20)}
    message = [3, versions, b"x" * 64, 123456789, 3.5]
    data = msgpack.packb(message)
    provider = _Provider()
    (chunk,) = shard_map.new_chunks(shard_map.CHUNK_SHARDS)
    for shard in chunk.shards():
        chunk.assign(shard, f"s{shard % 300}")
    row = chunk.encode()
    print(f"packer: {msgpack.Packer.__module__}")
    print(f"pack {len(data)} bytes: {best_us(lambda: msgpack.packb(message), 2000):.1f} us")
    print(f"unpack: {best_us(lambda: msgpack.unpackb(data), 2000):.1f} us")
    print(f"providedBy: {best_us(lambda: _Interface.providedBy(provider), 20000):.2f} us")
    print(f"encode chunk of {len(row)} bytes: {best_us(chunk.encode, 20):.0f} us")
    decode = shard_map.ShardMapChunk.decode
    print(f"decode chunk: {best_us(lambda: decode(row, key='k'), 20):.0f} us")
    return 0


if __name__ == "__main__":
    sys.exit(main())
