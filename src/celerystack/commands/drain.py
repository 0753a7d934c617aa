"""``celerystack drain``: requests that a server be drained."""

from __future__ import annotations

import functools

from celerystack import ids
from celerystack.commands import job, operator_rows
from celerystack.observe import audit
from celerystack.queries import table_reads
from celerystack.state import keys


def drain(server: str, *, operator: str = "", reason: str = "") -> job.Job:
    """Drain a server: entry VMs move its shards to other servers.

    Parameters
    ----------
    server
        Id of a declared server.
    operator
        Operator name in the audit row; default: the account that runs the command.
    reason
        Reason in the audit row.
    """
    run = functools.partial(_run, server=server, operator=operator, reason=reason)
    return job.RemoteJob(run=run)


async def _run(remote: job.RemoteContext, *, server: str, operator: str, reason: str) -> int:
    table_reads.require_server(await table_reads.configuration(remote), server)
    requested = operator_rows.OperatorChange(
        action=audit.Action.DRAIN,
        key=keys.drain(ids.ServerId(server)),
        subject=f"server/{server}",
        operator=operator,
        reason=reason,
        present=True,
    )
    committed = await operator_rows.commit(remote, requested)
    print(f"{server}: {'draining' if committed else 'already draining'}", file=remote.out)
    return job.ExitCode.OK
