"""Conditional writes of operator rows (``drain/<id>`` and ``release/<id>``)."""

from __future__ import annotations

import dataclasses

from twisted.internet import task

from celerystack import errors, ids
from celerystack.commands import job
from celerystack.observe import audit
from celerystack.state import codec
from celerystack.store import ports, transactor

RETRY_S = 0.1


@dataclasses.dataclass(frozen=True, kw_only=True)
class OperatorChange:
    """Sets or deletes one operator row.

    Attributes
    ----------
    present : bool
        Whether the row exists after the change.
    """

    action: audit.Action
    key: ids.RowKey
    subject: str
    operator: str
    reason: str
    present: bool


async def commit(remote: job.RemoteContext, requested: OperatorChange) -> bool:
    """Commit the change; return False if the row is already in the requested state."""
    while True:
        (row,) = await remote.table.get([requested.key])
        if (row.value is not None) == requested.present:
            return False
        try:
            await _transact(remote, requested, row)
            return True
        except errors.TransactionConflictError:
            if remote.clock.seconds() >= remote.deadline:
                raise
            await task.deferLater(remote.clock, RETRY_S, lambda: None)


async def _transact(remote: job.RemoteContext, requested: OperatorChange, row: ports.Row) -> None:
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
        expected_versions_by_key={row.key: row.version},
        writes=(ports.Write(row.key, value),),
        audit=entry,
        deadline=remote.deadline,
    )


def _describe(value: bytes | None, *, key: str) -> str:
    if value is None:
        return "absent"
    row = codec.decode_fields(codec.OperatorRow, value, key=key)
    return f"present operator={row.operator} time_ms={row.time_ms}"
