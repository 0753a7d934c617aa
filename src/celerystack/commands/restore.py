"""``celerystack restore``: ends the evacuation of a zone."""

from __future__ import annotations

import functools

from celerystack import ids
from celerystack.commands import job, operator_rows
from celerystack.observe import audit
from celerystack.queries import table_reads
from celerystack.state import keys


def restore(zone: str, *, operator: str = "", reason: str = "") -> job.Job:
    """End the evacuation of a zone, so that its servers get requests and shards again.

    An evacuated zone need not have servers any more, so that its row can be deleted.

    Parameters
    ----------
    zone
        Evacuated zone, or a zone of declared servers.
    operator
        Operator name in the audit row; default: the account that runs the command.
    reason
        Reason in the audit row.
    """
    run = functools.partial(_run, zone=ids.ZoneName(zone), operator=operator, reason=reason)
    return job.RemoteJob(run=run)


async def _run(remote: job.RemoteContext, *, zone: ids.ZoneName, operator: str, reason: str) -> int:
    requested = operator_rows.OperatorChange(
        action=audit.Action.RESTORE,
        key=keys.evacuate(zone),
        subject=f"zone/{zone}",
        operator=operator,
        reason=reason,
        present=False,
    )
    committed = await operator_rows.commit(remote, requested)
    if not committed:
        table_reads.require_zone(await table_reads.configuration(remote), zone)
    print(f"{zone}: {'no longer evacuated' if committed else 'was not evacuated'}", file=remote.out)
    return job.ExitCode.OK
