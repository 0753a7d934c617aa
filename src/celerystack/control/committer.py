"""Commits changes and pushes the written rows to the peers."""

from __future__ import annotations

import logging
import time
from collections.abc import Callable

from twisted.internet import interfaces

from celerystack import errors
from celerystack.control import change_builder, table_sync
from celerystack.observe import audit
from celerystack.peers import sync
from celerystack.store import transactor as transactors

COMMIT_TIMEOUT_S = 3.0
"""Longest time to determine whether a transaction took effect."""

_log = logging.getLogger(__name__)


class Committer:
    """Commits the changes of one entry VM."""

    def __init__(
        self,
        clock: interfaces.IReactorTime,
        *,
        transactor: transactors.Transactor,
        table_sync: table_sync.TableSync,
        rows: sync.RowSync,
        operator: str,
        on_commit: Callable[[change_builder.Change], None],
        on_failure: Callable[[errors.PlatformError], None],
    ) -> None:
        self._clock = clock
        self._transactor = transactor
        self._table_sync = table_sync
        self._rows = rows
        self._operator = operator
        self._on_commit = on_commit
        self._on_failure = on_failure

    async def commit(self, change: change_builder.Change) -> bool:
        """Commit a change; return whether it is known to have taken effect.

        After a conflict or an unknown result the changed rows are read again, so that the caller's
        next decision is based on current rows.
        """
        audit_row = audit.build_row(
            transaction=transactors.new_transaction_id(),
            operator=self._operator,
            time_ms=int(time.time() * 1000),
            action=change.action,
            subject=change.subject,
            reason=change.reason,
            before=change.before,
            after=change.after,
        )
        try:
            rows = await self._transactor.transact(
                expected_versions_by_key=change.expected_versions_by_key,
                writes=change.writes,
                audit=audit_row,
                deadline=self._clock.seconds() + COMMIT_TIMEOUT_S,
            )
        except errors.TransactionConflictError as error:
            self._on_failure(error)
            await self._table_sync.refresh()
            return False
        except errors.PlatformError as error:
            self._on_failure(error)
            self._table_sync.note_failure(error)
            if isinstance(error, errors.AnswerLostError):
                await self._table_sync.refresh()
            return False
        self._rows.push(rows)
        self._on_commit(change)
        _log.info(
            "%s %s: %s -> %s (%s)",
            change.action.value,
            change.subject,
            change.before,
            change.after,
            change.reason,
            extra={"step": change.action.value},
        )
        return True
