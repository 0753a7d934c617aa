"""Commits transactions with their audit row and resolves unknown outcomes."""

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

        The key of the audit row is derived from ``audit``, and the transaction requires that the
        row does not exist, so that a retried transaction commits at most once. After a lost
        response the audit row is read; while it does not exist, the same transaction is sent
        again, because an earlier attempt in flight could still commit after the read.

        Parameters
        ----------
        deadline : float
            Clock time in seconds until which an unknown outcome is resolved.

        Returns
        -------
        Deferred of list of Row
            The written rows without the audit row, with the versions that this transaction gave
            them. A row that is not in ``expected_versions_by_key`` is read back if the response
            was lost, so its version may be newer.

        Raises
        ------
        errors.TransactionConflictError
            If a condition did not hold; nothing was committed.
        errors.PlatformUnavailableError
            If the only attempt was refused or never sent; nothing was committed.
        errors.AnswerLostError
            If the outcome is still unknown at the deadline.
        """
        audit_key = keys.audit(audit.time_ms, audit.transaction)
        transaction = ports.Transaction(
            transaction=audit.transaction,
            expected_versions_by_key={**expected_versions_by_key, audit_key: ids.RowVersion(0)},
            writes=(*writes, ports.Write(audit_key, codec.encode_fields(audit))),
        )
        attempt = _Attempt(transaction, audit_key, deadline)
        return defer.ensureDeferred(self._run(attempt))

    async def _run(self, attempt: _Attempt) -> list[ports.Row]:
        try:
            rows = await self._table.transact(attempt.transaction)
        except errors.AnswerLostError as error:
            return await self._resolve(attempt, error)
        return _without_key(rows, attempt.audit_key)

    async def _resolve(self, attempt: _Attempt, cause: errors.AnswerLostError) -> list[ports.Row]:
        backoff_s = BACKOFF_FIRST_S
        while True:
            match await self._read_audit(attempt):
                case _Resolution.COMMITTED:
                    return await self._written_rows(attempt, backoff_s)
                case _Resolution.NOT_SEEN:
                    rows = await self._send_again(attempt)
                    if rows is not None:
                        return rows
                case _Resolution.UNKNOWN:
                    pass
            await self._wait_or_fail(attempt, backoff_s, cause)
            backoff_s = min(2 * backoff_s, BACKOFF_MAX_S)

    async def _read_audit(self, attempt: _Attempt) -> _Resolution:
        try:
            (row,) = await self._table.get([attempt.audit_key])
        except errors.PlatformError:
            return _Resolution.UNKNOWN
        return _Resolution.NOT_SEEN if row.value is None else _Resolution.COMMITTED

    async def _send_again(self, attempt: _Attempt) -> list[ports.Row] | None:
        """Return the rows if this attempt committed, None if the outcome must be read again."""
        try:
            rows = await self._table.transact(attempt.transaction)
        except errors.TransactionConflictError:
            # If the condition on the audit row failed, an earlier attempt committed. If another
            # condition failed, no attempt can commit any more.
            match await self._read_audit(attempt):
                case _Resolution.NOT_SEEN:
                    raise
                case _:
                    return None
        except errors.PlatformError:
            return None
        return _without_key(rows, attempt.audit_key)

    async def _written_rows(self, attempt: _Attempt, backoff_s: float) -> list[ports.Row]:
        expected = attempt.transaction.expected_versions_by_key
        writes = [w for w in attempt.transaction.writes if w.key != attempt.audit_key]
        unconditional = [write.key for write in writes if write.key not in expected]
        current_by_key = await self._read_back(attempt, unconditional, backoff_s)
        return [
            ports.Row(write.key, ids.RowVersion(expected[write.key] + 1), write.value)
            if write.key in expected
            else current_by_key[write.key]
            for write in writes
        ]

    async def _read_back(
        self, attempt: _Attempt, row_keys: list[ids.RowKey], backoff_s: float
    ) -> dict[ids.RowKey, ports.Row]:
        while row_keys:
            try:
                return {row.key: row for row in await self._table.get(row_keys)}
            except errors.PlatformError as error:
                cause = errors.AnswerLostError(
                    f"committed, but the written rows cannot be read: {error.reason}",
                    step=error.step,
                    peer=error.peer,
                )
                await self._wait_or_fail(attempt, backoff_s, cause)
        return {}

    async def _wait_or_fail(
        self, attempt: _Attempt, backoff_s: float, cause: errors.AnswerLostError
    ) -> None:
        remaining_s = attempt.deadline - self._clock.seconds()
        if remaining_s <= 0:
            raise errors.AnswerLostError(
                f"unknown whether transaction {attempt.transaction.transaction} was committed: "
                f"{cause.reason}",
                step=cause.step,
                peer=cause.peer,
            )
        await task.deferLater(self._clock, min(backoff_s, remaining_s), lambda: None)


def _without_key(rows: list[ports.Row], key: ids.RowKey) -> list[ports.Row]:
    return [row for row in rows if row.key != key]
