"""``celerystack drain``: asks a server to leave."""

from __future__ import annotations

import functools

from celerystack import ids
from celerystack.commands import job, operator_rows
from celerystack.observe import audit
from celerystack.queries import reading
from celerystack.state import keys


def drain(server: str, *, operator: str = "", reason: str = "") -> job.Job:
    """Ask a server to leave; placers move its shards away.

    Parameters
    ----------
    server
        Id of a declared server.
    operator
        Name for the audit row; default: the account that runs the command.
    reason
        Reason for the audit row.
    """
    run = functools.partial(_run, server=server, operator=operator, reason=reason)
    return job.RemoteJob(run=run)


async def _run(remote: job.Remote, *, server: str, operator: str, reason: str) -> int:
    reading.require_server(await reading.configuration(remote), server)
    wanted = operator_rows.OperatorChange(
        action=audit.Action.DRAIN,
        key=keys.drain(ids.ServerId(server)),
        subject=f"server/{server}",
        operator=operator,
        reason=reason,
        present=True,
    )
    committed = await operator_rows.commit(remote, wanted)
    print(f"{server}: {'draining' if committed else 'already draining'}", file=remote.out)
    return job.ExitCode.OK
