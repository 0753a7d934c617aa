"""``celerystack release``: records the operator's statement that a server's process has ended."""

from __future__ import annotations

import functools

from celerystack import errors, ids
from celerystack.commands import job, operator_rows
from celerystack.observe import audit
from celerystack.queries import table_reads
from celerystack.state import keys


def release(server: str, *, yes: bool = False, operator: str = "", reason: str = "") -> job.Job:
    """Declare that a server's process has ended, so that its shards get new owners.

    If the process still runs, two servers can own the same keys.

    Parameters
    ----------
    server
        Id of a declared server.
    yes
        Required: confirms that the process has ended.
    operator
        Operator name in the audit row; default: the account that runs the command.
    reason
        Reason in the audit row.
    """
    if not yes:
        raise errors.SettingsError(
            "release needs --yes; use it only if the server's process has ended", step="release"
        )
    run = functools.partial(_run, server=server, operator=operator, reason=reason)
    return job.RemoteJob(run=run)


async def _run(remote: job.RemoteContext, *, server: str, operator: str, reason: str) -> int:
    table_reads.require_server(await table_reads.configuration(remote), server)
    requested = operator_rows.OperatorChange(
        action=audit.Action.RELEASE,
        key=keys.release(ids.ServerId(server)),
        subject=f"server/{server}",
        operator=operator,
        reason=reason,
        present=True,
    )
    committed = await operator_rows.commit(remote, requested)
    print(f"{server}: {'released' if committed else 'already released'}", file=remote.out)
    return job.ExitCode.OK
