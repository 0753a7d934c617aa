"""``celerystack undrain``: withdraws the request to drain a server."""

from __future__ import annotations

import functools

from celerystack import ids
from celerystack.commands import job, operator_rows
from celerystack.observe import audit
from celerystack.state import keys


def undrain(server: str, *, operator: str = "", reason: str = "") -> job.Job:
    """Withdraw the request to drain a server.

    The server need not be declared, so that the row of a removed server can be deleted.

    Parameters
    ----------
    server
        Id of the server.
    operator
        Operator name in the audit row; default: the account that runs the command.
    reason
        Reason in the audit row.
    """
    run = functools.partial(_run, server=server, operator=operator, reason=reason)
    return job.RemoteJob(run=run)


async def _run(remote: job.RemoteContext, *, server: str, operator: str, reason: str) -> int:
    requested = operator_rows.OperatorChange(
        action=audit.Action.UNDRAIN,
        key=keys.drain(ids.ServerId(server)),
        subject=f"server/{server}",
        operator=operator,
        reason=reason,
        present=False,
    )
    committed = await operator_rows.commit(remote, requested)
    print(f"{server}: {'no longer draining' if committed else 'was not draining'}", file=remote.out)
    return job.ExitCode.OK
