"""``celerystack status``: shows configuration, servers and shards as recorded in the table."""

from __future__ import annotations

import collections
import functools
import json as json_module
from typing import Any

from celerystack import ids, model
from celerystack.commands import job
from celerystack.queries import table_reads
from celerystack.state import codec, keys, shard_map
from celerystack.store import ports


def status(*, json: bool = False) -> job.Job:
    """Show configuration, servers, moves and unowned shards, as recorded in the table.

    Parameters
    ----------
    json
        Print JSON.
    """
    return job.RemoteJob(run=functools.partial(_run, as_json=json))


async def _run(remote: job.RemoteContext, *, as_json: bool) -> int:
    current = await table_reads.configuration(remote)
    server_rows = await remote.table.scan(keys.SERVER_PREFIX)
    map_rows = await remote.table.scan(keys.MAP_PREFIX)
    drain_rows = await remote.table.scan(keys.DRAIN_PREFIX)
    evacuate_rows = await remote.table.scan(keys.EVACUATE_PREFIX)
    release_rows = await remote.table.scan(keys.RELEASE_PREFIX)
    services, shards_by_server = _service_reports(current, map_rows)
    report = {
        "config_version": current.version,
        "evacuated_zones": _zone_reports(
            current, shards_by_server, _decode_operator_rows(evacuate_rows, keys.EVACUATE_PREFIX)
        ),
        "services": services,
        "servers": _server_reports(
            current,
            server_rows,
            shards_by_server,
            _decode_operator_rows(drain_rows, keys.DRAIN_PREFIX),
            _decode_operator_rows(release_rows, keys.RELEASE_PREFIX),
        ),
    }
    text = json_module.dumps(report, indent=2) if as_json else _format_report(report)
    print(text, file=remote.out)
    return job.ExitCode.OK


def _decode_operator_rows(rows: list[ports.Row], prefix: str) -> dict[str, codec.OperatorRow]:
    return {
        row.key.removeprefix(prefix): codec.decode_fields(codec.OperatorRow, row.value, key=row.key)
        for row in rows
    }


def _zone_reports(
    current: model.Configuration,
    shards_by_server: collections.Counter[ids.ServerId],
    evacuate_rows_by_zone: dict[str, codec.OperatorRow],
) -> dict[str, Any]:
    report: dict[str, Any] = {}
    for zone, row in sorted(evacuate_rows_by_zone.items()):
        servers = [s.server for s in current.servers_by_id.values() if s.zone == zone]
        report[zone] = {
            "evacuated_by": row.operator,
            "reason": row.reason,
            "servers": len(servers),
            "shards": sum(shards_by_server[server] for server in servers),
        }
    return report


def _service_reports(
    current: model.Configuration, rows: list[ports.Row]
) -> tuple[dict[str, Any], collections.Counter[ids.ServerId]]:
    services: dict[str, Any] = {
        name: {
            "divided": service.divided,
            "shards": service.shards,
            "unrecorded": service.shards,
            "unowned": 0,
            "moving": 0,
            "hot": 0,
        }
        for name, service in current.services_by_name.items()
    }
    shards_by_server: collections.Counter[ids.ServerId] = collections.Counter()
    for row in rows:
        name = row.key.removeprefix(keys.MAP_PREFIX).rpartition("/")[0]
        chunk = shard_map.ShardMapChunk.decode(row.value, key=row.key)
        entry = services.get(name)
        if entry is None:
            continue
        owners = [chunk.owner(shard) for shard in chunk.shards()]
        shards_by_server.update(owner for owner in owners if owner is not None)
        entry["unrecorded"] -= chunk.shard_count
        entry["moving"] += len(chunk.moves_by_shard)
        entry["unowned"] += owners.count(None) - len(chunk.moves_by_shard)
        entry["hot"] += len(chunk.hot_by_shard)
    return services, shards_by_server


def _server_reports(
    current: model.Configuration,
    rows: list[ports.Row],
    shards_by_server: collections.Counter[ids.ServerId],
    drain_rows_by_server: dict[str, codec.OperatorRow],
    release_rows_by_server: dict[str, codec.OperatorRow],
) -> dict[str, Any]:
    decoded_rows = [codec.decode_server(row.value, key=row.key) for row in rows]
    rows_by_id = {row.server: row for row in decoded_rows}
    report: dict[str, Any] = {}
    for server in sorted({*current.servers_by_id, *rows_by_id}):
        declared = current.servers_by_id.get(server)
        row = rows_by_id.get(server)
        report[server] = {
            "declared": declared is not None,
            "service": declared.service if declared else "",
            "zone": declared.zone if declared else "",
            "state": row.state.value if row else "unknown",
            "token": row.token if row else 0,
            "lessors": [lessor.vm for lessor in row.lessors] if row else [],
            "previous_lessors": [lessor.vm for lessor in row.previous_lessors] if row else [],
            "shards": shards_by_server[server],
            "drain_requested_by": drain_rows_by_server[server].operator
            if server in drain_rows_by_server
            else "",
            "released_by": release_rows_by_server[server].operator
            if server in release_rows_by_server
            else "",
        }
    return report


def _format_report(report: dict[str, Any]) -> str:
    lines = [f"configuration version: {report['config_version']}"]
    for zone, entry in report["evacuated_zones"].items():
        lines.append(
            f"zone {zone}: evacuated by {entry['evacuated_by']}, "
            f"{entry['shards']} shards left on its {entry['servers']} servers"
        )
    for name, entry in report["services"].items():
        if not entry["divided"]:
            lines.append(f"service {name}: not divided by key")
            continue
        lines.append(
            f"service {name}: {entry['shards']} shards, {entry['unrecorded']} without a map row, "
            f"{entry['unowned']} unowned, {entry['moving']} moving, {entry['hot']} hot"
        )
    for name, entry in report["servers"].items():
        parts = [
            f"server {name}: {entry['state']}",
            f"service={entry['service'] or '(not declared)'}",
            f"zone={entry['zone'] or '-'}",
            f"shards={entry['shards']}",
            f"token={entry['token']}",
            f"lessors={','.join(entry['lessors']) or '-'}",
        ]
        if entry["drain_requested_by"]:
            parts.append(f"drain requested by {entry['drain_requested_by']}")
        if entry["released_by"]:
            parts.append(f"released by {entry['released_by']}")
        lines.append(" ".join(parts))
    return "\n".join(lines)
