"""Commits transactions together with their audit row and resolves lost answers."""

from __future__ import annotations

import dataclasses
import enum
import uuid

from twisted.internet import defer, interfaces, task

from celerystack import errors, ids
from celerystack.state import codec, keys
from celerystack.store import ports

BACKOFF_FIRST_S = 0.05
BACKOFF_MAX_S = 1.0


def new_transaction_id() -> ids.TransactionId:
    """Return a random transaction id."""
    return ids.TransactionId(uuid.uuid4().hex)


class _Resolution(enum.Enum):
    COMMITTED = "committed"
    NOT_SEEN = "not seen"
    UNKNOWN = "unknown"


@dataclasses.dataclass(frozen=True)
class _Attempt:
    transaction: ports.Transaction
    audit_key: ids.RowKey
    deadline: float


class Transactor:
    """Runs transactions so that each change has exactly one audit row.

    Parameters
    ----------
    clock : interfaces.IReactorTime
        Time source; deadlines are in its seconds.
    table : ports.TablePort
        The table service.
    """

    def __init__(self, clock: interfaces.IReactorTime, table: ports.TablePort) -> None:
        self._clock = clock
        self._table = table

    def transact(
        self,
        *,
        expected_versions_by_key: dict[ids.RowKey, ids.RowVersion],
        writes: tuple[ports.Write, ...],
        audit: codec.AuditRow,
        deadline: float,
    ) -> defer.Deferred[list[ports.Row]]:
        """Commit ``writes`` and the audit row in one transaction.

        The audit row's key is derived from ``audit`` and must be absent, so an attempt that is
        sent again can commit only once. After a lost answer the audit row is read; while it is
        absent, the same transaction is sent again, because an attempt that is still on its way
        could commit after the read.

        Parameters
        ----------
        deadline : float
            Clock time in seconds until which a lost answer is resolved.

        Returns
        -------
        Deferred of list of Row
            The written rows, without the audit row, with the versions of this transaction. A row
            that is not in ``expected_versions_by_key`` is read back if the answer was lost, so it
            may already be newer.

        Raises
        ------
        errors.TransactionConflictError
            Not committed: a condition did not hold.
        errors.PlatformUnavailableError
            Not committed: the only attempt was refused or never sent.
        errors.AnswerLostError
            Unknown at the deadline.
        """
        audit_key = keys.audit(audit.time_ms, audit.transaction)
        transaction = ports.Transaction(
            transaction=audit.transaction,
            expected_versions_by_key={**expected_versions_by_key, audit_key: ids.RowVersion(0)},
            writes=(*writes, ports.Write(audit_key, codec.encode_flat(audit))),
        )
        attempt = _Attempt(transaction, audit_key, deadline)
        return defer.ensureDeferred(self._run(attempt))

    async def _run(self, attempt: _Attempt) -> list[ports.Row]:
        try:
            rows = await self._table.transact(attempt.transaction)
        except errors.AnswerLostError as error:
            return await self._resolve(attempt, error)
        return _without(rows, attempt.audit_key)

    async def _resolve(self, attempt: _Attempt, lost: errors.AnswerLostError) -> list[ports.Row]:
        wait_s = BACKOFF_FIRST_S
        while True:
            match await self._read_audit(attempt):
                case _Resolution.COMMITTED:
                    return await self._written_rows(attempt, wait_s)
                case _Resolution.NOT_SEEN:
                    rows = await self._send_again(attempt)
                    if rows is not None:
                        return rows
                case _Resolution.UNKNOWN:
                    pass
            await self._pause(attempt, wait_s, lost)
            wait_s = min(2 * wait_s, BACKOFF_MAX_S)

    async def _read_audit(self, attempt: _Attempt) -> _Resolution:
        try:
            (row,) = await self._table.get([attempt.audit_key])
        except errors.PlatformError:
            return _Resolution.UNKNOWN
        return _Resolution.NOT_SEEN if row.value is None else _Resolution.COMMITTED

    async def _send_again(self, attempt: _Attempt) -> list[ports.Row] | None:
        """Return the rows if this attempt committed, None if that has to be read back."""
        try:
            rows = await self._table.transact(attempt.transaction)
        except errors.TransactionConflictError:
            # The condition that failed is either the audit row's, so an earlier attempt has
            # committed, or another one, and then no attempt can commit any more.
            match await self._read_audit(attempt):
                case _Resolution.NOT_SEEN:
                    raise
                case _:
                    return None
        except errors.PlatformError:
            return None
        return _without(rows, attempt.audit_key)

    async def _written_rows(self, attempt: _Attempt, wait_s: float) -> list[ports.Row]:
        expected = attempt.transaction.expected_versions_by_key
        writes = [w for w in attempt.transaction.writes if w.key != attempt.audit_key]
        unconditional = [write.key for write in writes if write.key not in expected]
        current_by_key = await self._read_back(attempt, unconditional, wait_s)
        return [
            ports.Row(write.key, ids.RowVersion(expected[write.key] + 1), write.value)
            if write.key in expected
            else current_by_key[write.key]
            for write in writes
        ]

    async def _read_back(
        self, attempt: _Attempt, wanted: list[ids.RowKey], wait_s: float
    ) -> dict[ids.RowKey, ports.Row]:
        while wanted:
            try:
                return {row.key: row for row in await self._table.get(wanted)}
            except errors.PlatformError as error:
                lost = errors.AnswerLostError(
                    f"committed, but the written rows cannot be read: {error.reason}",
                    step=error.step,
                    peer=error.peer,
                )
                await self._pause(attempt, wait_s, lost)
        return {}

    async def _pause(self, attempt: _Attempt, wait_s: float, lost: errors.AnswerLostError) -> None:
        remaining_s = attempt.deadline - self._clock.seconds()
        if remaining_s <= 0:
            raise errors.AnswerLostError(
                f"unknown whether transaction {attempt.transaction.transaction} was committed: "
                f"{lost.reason}",
                step=lost.step,
                peer=lost.peer,
            )
        await task.deferLater(self._clock, min(wait_s, remaining_s), lambda: None)


def _without(rows: list[ports.Row], key: ids.RowKey) -> list[ports.Row]:
    return [row for row in rows if row.key != key]
