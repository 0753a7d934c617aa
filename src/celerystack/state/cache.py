"""Cache of table rows. A row is replaced only by a higher version, so no state reverts."""

from __future__ import annotations

import hashlib
from collections.abc import Callable, Iterable

from celerystack import ids
from celerystack.store import ports


def _row_digest(key: ids.RowKey, version: ids.RowVersion) -> int:
    text = f"{key}\x00{version}".encode()
    return int.from_bytes(hashlib.blake2b(text, digest_size=8).digest(), "big")


class RowCache:
    """Newest known version of every row, including deleted ones.

    Deleted rows stay as markers (value None, version > 0), because an older copy from a peer would
    otherwise bring them back.
    """

    def __init__(self) -> None:
        self._rows_by_key: dict[ids.RowKey, ports.Row] = {}
        self._digest = 0
        self._listeners: list[Callable[[list[ports.Row]], None]] = []

    @property
    def digest(self) -> int:
        """Order-independent 64-bit exclusive or of hashes of all (key, version) pairs."""
        return self._digest

    def add_listener(self, listener: Callable[[list[ports.Row]], None]) -> None:
        """Call ``listener`` with the changed rows after each merge that changed something."""
        self._listeners.append(listener)

    def get(self, key: ids.RowKey) -> ports.Row:
        """Return the newest known row; version 0 and no value if the key was never seen."""
        return self._rows_by_key.get(key) or ports.Row(key, ids.RowVersion(0), None)

    def with_prefix(self, prefix: str) -> list[ports.Row]:
        """Return existing rows whose key starts with ``prefix``, in key order."""
        keys = sorted(key for key in self._rows_by_key if key.startswith(prefix))
        rows = [self._rows_by_key[key] for key in keys]
        return [row for row in rows if row.value is not None]

    def versions_by_key(self) -> dict[ids.RowKey, ids.RowVersion]:
        """Return the version of every known row."""
        return {key: row.version for key, row in self._rows_by_key.items()}

    def merge(self, rows: Iterable[ports.Row]) -> list[ports.Row]:
        """Keep the rows that are newer than the known ones; returns those."""
        changed = [row for row in rows if self._replace(row)]
        if changed:
            for listener in self._listeners:
                listener(changed)
        return changed

    def _replace(self, row: ports.Row) -> bool:
        known = self.get(row.key)
        if row.version <= known.version:
            return False
        if known.version:
            self._digest ^= _row_digest(known.key, known.version)
        self._digest ^= _row_digest(row.key, row.version)
        self._rows_by_key[row.key] = row
        return True
