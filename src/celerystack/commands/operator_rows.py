"""Conditional writes of operator rows (``drain/``, ``evacuate/`` and ``release/``)."""

from __future__ import annotations

import dataclasses
from collections.abc import Awaitable, Callable

from twisted.internet import task

from celerystack import errors, ids
from celerystack.commands import job
from celerystack.observe import audit
from celerystack.state import codec
from celerystack.store import ports, transactor

RETRY_S = 0.1

RowVersions = dict[ids.RowKey, ids.RowVersion]


async def _no_conditions() -> RowVersions:
    return {}


@dataclasses.dataclass(frozen=True, kw_only=True)
class OperatorChange:
    """Sets or deletes one operator row.

    Attributes
    ----------
    present : bool
        Whether the row exists after the change.
    check : callable
        Called before each attempt. Raises if the change is not allowed, and returns the versions of
        the other rows on which this depends; the change is committed only if they still have them.
    """

    action: audit.Action
    key: ids.RowKey
    subject: str
    operator: str
    reason: str
    present: bool
    check: Callable[[], Awaitable[RowVersions]] = _no_conditions


async def commit(remote: job.RemoteContext, requested: OperatorChange) -> bool:
    """Commit the change; return False if the row is already in the requested state."""
    while True:
        (row,) = await remote.table.get([requested.key])
        if (row.value is not None) == requested.present:
            return False
        conditions = await requested.check()
        try:
            await _transact(remote, requested, row, conditions)
            return True
        except errors.TransactionConflictError:
            if remote.clock.seconds() >= remote.deadline:
                raise
            await task.deferLater(remote.clock, RETRY_S, lambda: None)


async def _transact(
    remote: job.RemoteContext,
    requested: OperatorChange,
    row: ports.Row,
    conditions: RowVersions,
) -> None:
    operator = job.default_operator(requested.operator)
    time_ms = remote.now_ms()
    new = codec.OperatorRow(
        operator=audit.one_line(operator), time_ms=time_ms, reason=audit.one_line(requested.reason)
    )
    value = codec.encode_fields(new) if requested.present else None
    entry = audit.build_row(
        transaction=transactor.new_transaction_id(),
        operator=operator,
        time_ms=time_ms,
        action=requested.action,
        subject=requested.subject,
        reason=requested.reason,
        before=_describe(row.value, key=row.key),
        after=_describe(value, key=row.key),
    )
    await transactor.Transactor(remote.clock, remote.table).transact(
        expected_versions_by_key={**conditions, row.key: row.version},
        writes=(ports.Write(row.key, value),),
        audit=entry,
        deadline=remote.deadline,
    )


def _describe(value: bytes | None, *, key: str) -> str:
    if value is None:
        return "absent"
    row = codec.decode_fields(codec.OperatorRow, value, key=key)
    return f"present operator={row.operator} time_ms={row.time_ms}"
