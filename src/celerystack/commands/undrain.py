"""``celerystack undrain``: withdraws the request that a server leave."""

from __future__ import annotations

import functools

from celerystack import ids
from celerystack.commands import job, operator_rows
from celerystack.observe import audit
from celerystack.state import keys


def undrain(server: str, *, operator: str = "", reason: str = "") -> job.Job:
    """Withdraw the request that a server leave.

    The server need not be declared any more, so that a leftover row can be deleted.

    Parameters
    ----------
    server
        Id of the server.
    operator
        Name for the audit row; default: the account that runs the command.
    reason
        Reason for the audit row.
    """
    run = functools.partial(_run, server=server, operator=operator, reason=reason)
    return job.RemoteJob(run=run)


async def _run(remote: job.Remote, *, server: str, operator: str, reason: str) -> int:
    wanted = operator_rows.OperatorChange(
        action=audit.Action.UNDRAIN,
        key=keys.drain(ids.ServerId(server)),
        subject=f"server/{server}",
        operator=operator,
        reason=reason,
        present=False,
    )
    committed = await operator_rows.commit(remote, wanted)
    print(f"{server}: {'no longer draining' if committed else 'was not draining'}", file=remote.out)
    return job.ExitCode.OK
