"""``celerystack evacuate``: requests that all servers of a zone be drained."""

from __future__ import annotations

import functools

from celerystack import errors, ids
from celerystack.commands import job, operator_rows
from celerystack.observe import audit
from celerystack.queries import table_reads
from celerystack.state import keys


def evacuate(zone: str, *, operator: str = "", reason: str = "") -> job.Job:
    """Evacuate a zone: its servers get no new requests, and their shards move to other zones.

    Also applies to servers that are declared or started in the zone later, until
    ``celerystack restore``.

    Parameters
    ----------
    zone
        Availability zone of declared servers.
    operator
        Operator name in the audit row; default: the account that runs the command.
    reason
        Reason in the audit row.
    """
    run = functools.partial(_run, zone=ids.ZoneName(zone), operator=operator, reason=reason)
    return job.RemoteJob(run=run)


async def _run(remote: job.RemoteContext, *, zone: ids.ZoneName, operator: str, reason: str) -> int:
    requested = operator_rows.OperatorChange(
        action=audit.Action.EVACUATE,
        key=keys.evacuate(zone),
        subject=f"zone/{zone}",
        operator=operator,
        reason=reason,
        present=True,
        check=functools.partial(_check_another_zone_is_left, remote, zone),
    )
    committed = await operator_rows.commit(remote, requested)
    print(f"{zone}: {'evacuated' if committed else 'already evacuated'}", file=remote.out)
    await _warn_of_evacuated_services(remote)
    return job.ExitCode.OK


async def _check_another_zone_is_left(
    remote: job.RemoteContext, zone: ids.ZoneName
) -> operator_rows.RowVersions:
    """Raise if ``zone`` is the last one with servers; else return the rows that show another one.

    Their versions are conditions of the transaction, so that two operators cannot evacuate the last
    two zones at the same time.
    """
    current = await table_reads.accepted(remote)
    configuration = table_reads.merged(current)
    table_reads.require_zone(configuration, zone)
    others = sorted(configuration.server_zones() - {zone})
    rows = await remote.table.get([keys.evacuate(other) for other in others]) if others else []
    if all(row.value is not None for row in rows):
        raise errors.CelerystackError(
            f"zone {zone!r} is the last one with servers that is not evacuated", step="evacuate"
        )
    head_version = current.row_versions_by_key[keys.CONFIG_HEAD]
    return {keys.CONFIG_HEAD: head_version, **{row.key: row.version for row in rows}}


async def _warn_of_evacuated_services(remote: job.RemoteContext) -> None:
    configuration = await table_reads.configuration(remote)
    evacuated = await table_reads.evacuated_zones(remote)
    for name in sorted(configuration.services_confined_to(evacuated)):
        print(
            f"warning: service {name} has servers in evacuated zones only; its requests are "
            "rejected",
            file=remote.out,
        )
