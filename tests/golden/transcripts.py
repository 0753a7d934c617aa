"""Compares the transcript of a session with its golden file, or rewrites that file."""

from __future__ import annotations

import difflib
import os
import pathlib

import msgpack

from celerystack.state import keys, shard_map
from celerystack.store import ports

REWRITE_VARIABLE = "CELERYSTACK_REWRITE_GOLDEN"
"""Environment variable; with the value 1, golden files are rewritten instead of compared."""

FOLDER = pathlib.Path(__file__).parent


def compare(name: str, text: str) -> None:
    """Raise AssertionError with a unified diff if the transcript differs from its golden file."""
    path = FOLDER / f"{name}.txt"
    if os.environ.get(REWRITE_VARIABLE) == "1":
        path.write_text(text)
        return
    expected = path.read_text() if path.exists() else ""
    if text != expected:
        lines = difflib.unified_diff(
            expected.splitlines(), text.splitlines(), path.name, "this run", lineterm="", n=6
        )
        raise AssertionError(
            "\n".join([f"set {REWRITE_VARIABLE}=1 to rewrite {path.name}", *lines])
        )


def indented(text: str) -> str:
    """Indent a text by two spaces, without trailing spaces."""
    return "".join(f"  {line}".rstrip() + "\n" for line in text.splitlines())


def shown_bytes(data: bytes) -> str:
    """Format bytes as text: CR and NUL are escaped, and long lines are truncated."""
    shown = data.decode("latin-1").replace("\r", "\\r").replace("\x00", "\\0")
    lines = (
        line if len(line) <= 120 else f"{line[:60]}... ({len(line)})" for line in shown.split("\n")
    )
    return "\n".join(lines).removesuffix("\n") + "\n"


def shown_row(row: ports.Row) -> str:
    """Format key, version and decoded value of a table row."""
    head = f"{row.key} version {row.version}"
    if not row.value:
        return f"{head}: {'deleted' if row.value is None else 'empty'}\n"
    if row.key.startswith(keys.MAP_PREFIX):
        return f"{head}:\n{indented(_shown_chunk(row))}"
    try:
        value = msgpack.unpackb(row.value, strict_map_key=False)
    except (ValueError, msgpack.UnpackException):
        value = None
    if isinstance(value, list | dict):
        return f"{head}: {value!r}\n"
    return f"{head}:\n{indented(row.value.decode())}"


def _shown_chunk(row: ports.Row) -> str:
    chunk = shard_map.ShardMapChunk.decode(row.value, key=row.key)
    lines = []
    for shard in chunk.shards():
        move = chunk.moves_by_shard.get(shard)
        moving = f", moving from {move.source} to {move.target}" if move else ""
        owner = chunk.owner(shard) or "none"
        lines.append(f"shard {shard}: owner {owner}, epoch {chunk.epoch(shard)}{moving}")
    return "\n".join(lines)
