"""Port to the platform's row store."""

from __future__ import annotations

import dataclasses
from collections.abc import Sequence
from typing import Protocol

from twisted.internet import defer

from celerystack import errors, ids

ABSENT = ids.RowVersion(0)
"""Version of a row that does not exist."""


class HistoryLostError(errors.PlatformError):
    """The store no longer has the changes that were asked for; the table must be read whole."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Row:
    """A row; ``value`` is None if it was removed."""

    key: ids.RowKey
    value: bytes | None
    version: ids.RowVersion


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Rows:
    """Rows of one table at one moment, or its changes up to it."""

    rows: tuple[Row, ...]
    version: ids.RowVersion


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Condition:
    """Version that a row must have for a transaction to be applied."""

    table: str
    key: ids.RowKey
    version: ids.RowVersion


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Put:
    """A row to write."""

    table: str
    key: ids.RowKey
    value: bytes


class RowStore(Protocol):
    """Calls to the store; all fail with `errors.PlatformError`.

    `errors.PlatformUnavailableError` means that nothing was done, `errors.AnswerLostError` that
    the call may have been or may still be applied.
    """

    def scan(self, table: str) -> defer.Deferred[Rows]:
        """Return all rows of a table."""

    def changes(self, table: str, after: ids.RowVersion, *, wait_s: float) -> defer.Deferred[Rows]:
        """Return the rows changed after a version, waiting up to ``wait_s`` for the first.

        Raises
        ------
        HistoryLostError
            The changes are no longer known.
        """

    def transact(
        self, conditions: Sequence[Condition], puts: Sequence[Put], removes: Sequence[Condition]
    ) -> defer.Deferred[ids.RowVersion]:
        """Apply all changes if all conditions hold; returns the version of the written rows.

        Raises
        ------
        errors.TransactionConflictError
            A condition did not hold; nothing was written.
        """
