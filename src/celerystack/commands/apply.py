"""``celerystack apply``: commits the changes of a configuration folder."""

from __future__ import annotations

import functools
import pathlib

from twisted.internet import task

from celerystack import errors, ids
from celerystack.commands import job
from celerystack.config import base_file, change, derive, loader
from celerystack.observe import audit
from celerystack.queries import table_reads
from celerystack.store import ports, transactor

RETRY_S = 0.1


def apply(
    folder: pathlib.Path, *, base: int | None = None, operator: str = "", reason: str = ""
) -> job.Job:
    """Commit the changes of a configuration folder as one transaction.

    Parameters
    ----------
    folder
        Folder of ``*.toml`` files.
    base
        Configuration version on which the folder is based; default: the one that the last
        apply recorded in the folder.
    operator
        Operator name in the audit row; default: the account that runs the command.
    reason
        Reason in the audit row.
    """
    run = functools.partial(_run, folder=folder, base=base, operator=operator, reason=reason)
    return job.RemoteJob(run=run, required=("table_address", "object_address"))


async def _run(
    remote: job.RemoteContext, *, folder: pathlib.Path, base: int | None, operator: str, reason: str
) -> int:
    text_by_file = loader.read_folder(folder)
    while True:
        current = await table_reads.accepted(remote, files=text_by_file)
        merge_base = await table_reads.resolve_base(remote, folder, base, current)
        planned = change.plan(base=merge_base, accepted=current, folder=text_by_file)
        if planned is None:
            _record_base(folder, current.version, text_by_file)
            print(f"no change: version {current.version} is in force", file=remote.out)
            return job.ExitCode.OK
        try:
            await _commit(remote, planned, current, operator, reason)
        except errors.TransactionConflictError:
            # Another operator committed first. The next iteration merges that version, or reports
            # the files that both changed.
            if remote.clock.seconds() >= remote.deadline:
                raise
            await task.deferLater(remote.clock, RETRY_S, lambda: None)
            continue
        _print_summary(remote, planned)
        _record_base(folder, planned.head.version, text_by_file)
        return job.ExitCode.OK


async def _commit(
    remote: job.RemoteContext,
    planned: change.Change,
    current: change.Accepted,
    operator: str,
    reason: str,
) -> list[ports.Row]:
    await _put_snapshot(remote, planned)
    entry = audit.build_row(
        transaction=transactor.new_transaction_id(),
        operator=job.default_operator(operator),
        time_ms=remote.now_ms(),
        action=audit.Action.APPLY,
        subject="config",
        reason=reason,
        before=audit.config_text(current.version, current.snapshot),
        after=audit.config_text(
            planned.head.version,
            planned.head.snapshot,
            files=(*planned.written, *(f"-{file}" for file in planned.deleted)),
        ),
    )
    return await transactor.Transactor(remote.clock, remote.table).transact(
        expected_versions_by_key=planned.expected_versions_by_key,
        writes=planned.writes,
        audit=entry,
        deadline=remote.deadline,
    )


async def _put_snapshot(remote: job.RemoteContext, planned: change.Change) -> None:
    """Store the snapshot, retrying after a lost response; the put is idempotent."""
    while True:
        try:
            await remote.objects.put(planned.head.snapshot, planned.snapshot)
            return
        except errors.AnswerLostError as error:
            if remote.clock.seconds() >= remote.deadline:
                raise errors.PlatformUnavailableError(
                    f"snapshot not confirmed, nothing was committed: {error.reason}",
                    step=error.step,
                    peer=error.peer,
                ) from error
            await task.deferLater(remote.clock, RETRY_S, lambda: None)


def _print_summary(remote: job.RemoteContext, planned: change.Change) -> None:
    print(f"committed version {planned.head.version}", file=remote.out)
    for label, files in (("wrote", planned.written), ("deleted", planned.deleted)):
        if files:
            print(f"{label}: {', '.join(files)}", file=remote.out)
    if planned.kept:
        print(
            f"changed by others, older in this folder: {', '.join(planned.kept)}", file=remote.out
        )


def _record_base(
    folder: pathlib.Path, version: ids.ConfigVersion, text_by_file: dict[str, str]
) -> None:
    """Record the folder's own files, so that the next apply does not revert others' changes."""
    sha256_by_file = {file: derive.sha256(text) for file, text in text_by_file.items()}
    base_file.write(folder, change.Base(version=version, sha256_by_file=sha256_by_file))
