"""Interfaces to the platform's services; only their adapters depend on the platform's protocol."""

from __future__ import annotations

import dataclasses
import enum
from typing import Protocol

from twisted.internet import defer

from celerystack import ids


@dataclasses.dataclass(frozen=True)
class Row:
    """A versioned row; ``value`` is None if the row does not exist.

    The version of a row that never existed is 0. A deleted row keeps its version, and a later write
    continues from it, so that a cached older copy never has the higher version.
    """

    key: ids.RowKey
    version: ids.RowVersion
    value: bytes | None


@dataclasses.dataclass(frozen=True)
class Write:
    """Sets a row, or deletes it if ``value`` is None."""

    key: ids.RowKey
    value: bytes | None


@dataclasses.dataclass(frozen=True, kw_only=True)
class Transaction:
    """A conditional transaction.

    Attributes
    ----------
    expected_versions_by_key : dict
        Version that each of these rows must have; 0 if the row must not exist.
    writes : tuple of Write
        Applied atomically if every condition holds.
    """

    transaction: ids.TransactionId
    expected_versions_by_key: dict[ids.RowKey, ids.RowVersion]
    writes: tuple[Write, ...]


class TablePort(Protocol):
    """The transactional table service.

    Every method fails with `errors.PlatformUnavailableError` if the call was not executed, or with
    `errors.AnswerLostError` if that is unknown.
    """

    def get(self, keys: list[ids.RowKey]) -> defer.Deferred[list[Row]]:
        """Read rows; a row that never existed has version 0."""

    def scan(self, prefix: str) -> defer.Deferred[list[Row]]:
        """Read all rows whose key starts with ``prefix``, in key order."""

    def changes(self, since: int) -> defer.Deferred[tuple[int, list[Row]]]:
        """Read the rows written after commit number ``since``, and the newest commit number.

        Audit rows (``audit/``) are not included.
        """

    def transact(self, transaction: Transaction) -> defer.Deferred[list[Row]]:
        """Commit and return the written rows with their new versions.

        Also fails with `errors.TransactionConflictError` if a condition does not hold.
        """


class ObjectPort(Protocol):
    """The object store; objects are immutable."""

    def put(self, name: str, body: bytes) -> defer.Deferred[None]:
        """Store an object."""

    def get(self, name: str) -> defer.Deferred[bytes | None]:
        """Read an object; None if it does not exist."""


class VmState(enum.Enum):
    """State of a VM in the membership list."""

    LIVE = "live"
    LEAVING = "leaving"


class VmRole(enum.Enum):
    """Role of a VM in the membership list."""

    ENTRY = "entry"
    BACKEND = "backend"


@dataclasses.dataclass(frozen=True, kw_only=True)
class Member:
    """A VM in the membership list; ``address`` is the peer or HTTP address as ``IP:port``."""

    vm: str
    role: VmRole
    zone: ids.ZoneName
    address: str
    state: VmState


class MembershipPort(Protocol):
    """The platform's membership list of VMs, which is eventually consistent."""

    def members(self) -> defer.Deferred[list[Member]]:
        """Read the list; fails like the methods of `TablePort`."""
