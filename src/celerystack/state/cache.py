"""Cache of table rows. Only a higher version replaces a row, so stale copies have no effect."""

from __future__ import annotations

import hashlib
from collections.abc import Callable, Iterable

from celerystack import ids
from celerystack.store import ports


def _row_digest(key: ids.RowKey, version: ids.RowVersion) -> int:
    text = f"{key}\x00{version}".encode()
    return int.from_bytes(hashlib.blake2b(text, digest_size=8).digest(), "big")


class RowCache:
    """Newest known version of each row.

    Deleted rows are kept as tombstones (value None, version > 0). Without them, an older copy from
    a peer would restore the row.
    """

    def __init__(self) -> None:
        self._rows_by_key: dict[ids.RowKey, ports.Row] = {}
        self._digest = 0
        self._listeners: list[Callable[[list[ports.Row]], None]] = []

    @property
    def digest(self) -> int:
        """Exclusive or of the 64-bit hashes of all (key, version) pairs, independent of order."""
        return self._digest

    def add_listener(self, listener: Callable[[list[ports.Row]], None]) -> None:
        """Call ``listener`` with the changed rows after each merge that changes any row."""
        self._listeners.append(listener)

    def get(self, key: ids.RowKey) -> ports.Row:
        """Return the newest known row; version 0 and value None if the key is unknown."""
        return self._rows_by_key.get(key) or ports.Row(key, ids.RowVersion(0), None)

    def rows_with_prefix(self, prefix: str) -> list[ports.Row]:
        """Return the rows whose key starts with ``prefix``, in key order, without deleted ones."""
        keys = sorted(key for key in self._rows_by_key if key.startswith(prefix))
        rows = [self._rows_by_key[key] for key in keys]
        return [row for row in rows if row.value is not None]

    def versions_by_key(self) -> dict[ids.RowKey, ids.RowVersion]:
        """Return the version of every known row, including deleted ones."""
        return {key: row.version for key, row in self._rows_by_key.items()}

    def merge(self, rows: Iterable[ports.Row]) -> list[ports.Row]:
        """Store the rows that are newer than the known ones and return these rows."""
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
