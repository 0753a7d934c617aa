"""Interface of the platform's row store.

The store may come back from an earlier copy of itself. What was written since the copy is lost
then, its version numbers go back and are given out again, and the store's era rises. A
`ids.RowVersion` therefore contains the era in its high bits and the store's number in the low ones,
so that a version of a later era is always the newer one.
"""

from __future__ import annotations

import dataclasses
from collections.abc import Sequence
from typing import Protocol

from twisted.internet import defer

from celerystack import errors, ids

ABSENT = ids.RowVersion(0)
"""Version of a row that does not exist."""
NUMBER_BITS = 44
"""Number of low bits of a version that contain the store's own number."""


def version_in(era: ids.StoreEra, number: int) -> ids.RowVersion:
    """Return the version with a number that the store gave out in an era."""
    return ids.RowVersion(era << NUMBER_BITS | number)


FIRST_ERA = ids.StoreEra(1)
"""Era of a store that has never come back from an earlier copy."""


def era_of(version: ids.RowVersion) -> ids.StoreEra:
    """Return the era of a version; 0 for one below all versions."""
    return ids.StoreEra(max(0, version) >> NUMBER_BITS)


def number_of(version: ids.RowVersion) -> int:
    """Return the number that the store gave out for a version."""
    return version & ((1 << NUMBER_BITS) - 1)


class HistoryLostError(errors.PlatformError):
    """The store no longer has the requested changes; the whole table must be read."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Row:
    """A row of a table; ``value`` is None if the row was removed."""

    key: ids.RowKey
    value: bytes | None
    version: ids.RowVersion


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Rows:
    """All rows of a table at a store version, or the changes up to that version."""

    rows: tuple[Row, ...]
    version: ids.RowVersion


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Condition:
    """Precondition of a transaction: the version that a row must have."""

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
    """Calls to the store, which fail with `errors.PlatformError`.

    A condition or a position from an earlier era never holds, even if its number fits.

    `errors.PlatformUnavailableError` means that nothing was applied, `errors.AnswerLostError` that
    the call may have been applied or may still be applied.
    """

    def scan(self, table: str) -> defer.Deferred[Rows]:
        """Return all rows of a table."""

    def changes(self, table: str, after: ids.RowVersion, *, wait_s: float) -> defer.Deferred[Rows]:
        """Return the rows changed after a version; wait up to ``wait_s`` seconds for a change.

        Raises
        ------
        HistoryLostError
            The store no longer has the changes, or ``after`` is from an earlier era.
        """

    def transact(
        self, conditions: Sequence[Condition], puts: Sequence[Put], removes: Sequence[Condition]
    ) -> defer.Deferred[ids.RowVersion]:
        """Apply all changes atomically if all conditions hold; return the version of the rows.

        Each entry of ``removes`` names a row to remove and the version that it must have.

        Raises
        ------
        errors.TransactionConflictError
            A condition does not hold; nothing was written.
        errors.AnswerLostError
            Also if the store came back from an earlier copy meanwhile, and has perhaps applied the
            changes there.
        """
