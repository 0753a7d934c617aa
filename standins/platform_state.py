"""State of the platform stand-in: table and membership list, without I/O."""

from __future__ import annotations

import bisect
import dataclasses
from typing import Any

UNLISTED_PREFIX = "audit/"
"""Key prefix of rows that the change feed leaves out."""


class ConflictError(Exception):
    """A condition of a transaction does not hold."""


@dataclasses.dataclass(frozen=True)
class StoredRow:
    """A stored row; ``value`` is base64 text, or None after a deletion."""

    version: int
    value: str | None
    commit: int


class Table:
    """Versioned rows with conditional multi-row transactions.

    A deleted row keeps its version, so that a later write continues from it.
    """

    def __init__(self) -> None:
        self._rows_by_key: dict[str, StoredRow] = {}
        self._commit_numbers: list[int] = []
        self._keys_by_commit: list[list[str]] = []
        self.newest = 0

    def _row(self, key: str) -> list[Any]:
        row = self._rows_by_key.get(key)
        return [key, 0, None] if row is None else [key, row.version, row.value]

    def get(self, keys: list[str]) -> list[list[Any]]:
        return [self._row(key) for key in keys]

    def scan(self, prefix: str) -> list[list[Any]]:
        """Return existing rows; a deleted row is left out."""
        matching_keys = sorted(key for key in self._rows_by_key if key.startswith(prefix))
        return [self._row(key) for key in matching_keys if self._rows_by_key[key].value is not None]

    def changes(self, since: int) -> tuple[int, list[list[Any]]]:
        """Return the newest commit number and the rows written or deleted after ``since``."""
        first = bisect.bisect_right(self._commit_numbers, since)
        keys = {key for written in self._keys_by_commit[first:] for key in written}
        return self.newest, [self._row(key) for key in sorted(keys)]

    def transact(
        self, expected_versions_by_key: dict[str, int], writes: list[tuple[str, str | None]]
    ) -> list[list[Any]]:
        for key, expected in expected_versions_by_key.items():
            current_version = self._row(key)[1]
            if current_version != expected:
                raise ConflictError(f"row {key} has version {current_version}, expected {expected}")
        self.newest += 1
        for key, value in writes:
            version = self._row(key)[1] + 1
            self._rows_by_key[key] = StoredRow(version, value, self.newest)
        feed_keys = [key for key, _ in writes if not key.startswith(UNLISTED_PREFIX)]
        if feed_keys:
            self._commit_numbers.append(self.newest)
            self._keys_by_commit.append(feed_keys)
        return [self._row(key) for key, _ in writes]


class Membership:
    """Membership list of VMs; reads return its state of ``lag_s`` seconds ago."""

    def __init__(self) -> None:
        self.lag_s = 0.0
        self._current_by_vm: dict[str, dict[str, str]] = {}
        self._snapshot_times: list[float] = []
        self._snapshots: list[dict[str, dict[str, str]]] = []

    def put(self, member: dict[str, str], *, now: float) -> None:
        """Add a VM or replace its entry."""
        self._record({**self._current_by_vm, member["vm"]: dict(member)}, now)

    def leave(self, vm: str, *, now: float) -> None:
        """Mark a VM as leaving; raises KeyError if it is not listed."""
        entry = {**self._current_by_vm[vm], "state": "leaving"}
        self._record({**self._current_by_vm, vm: entry}, now)

    def remove(self, vm: str, *, now: float) -> None:
        self._record({k: v for k, v in self._current_by_vm.items() if k != vm}, now)

    def members(self, *, now: float) -> list[dict[str, str]]:
        position = bisect.bisect_right(self._snapshot_times, now - self.lag_s)
        return [] if position == 0 else list(self._snapshots[position - 1].values())

    def _record(self, entries: dict[str, dict[str, str]], now: float) -> None:
        self._current_by_vm = entries
        self._snapshot_times.append(now)
        self._snapshots.append(entries)
