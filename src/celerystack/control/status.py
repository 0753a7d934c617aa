"""Status of one entry VM as plain data for the admin page."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from celerystack.control import entry_vm


def of_process(process: entry_vm.EntryVmProcess) -> dict[str, Any]:
    """Return the state of the entry VM, its peers and the servers; durations are in seconds."""
    now = process.mesh.now()
    return {
        "vm": process.me.vm,
        "incarnation": process.me.incarnation,
        "zone": process.me.zone,
        "ready": process.is_ready(),
        "draining": process.draining,
        "config_version": process.view.configuration.version,
        "evacuated_zones": sorted(process.view.evacuated_zones()),
        "store_reachable": process.table_sync.reachable,
        "peers": {
            peer.entry_vm.vm: {
                "zone": peer.entry_vm.zone,
                "live": peer.live_deadline > now,
                "silent_s": round(now - peer.last_heard_at, 3),
                "config_version": peer.heartbeat.config_version if peer.heartbeat else None,
            }
            for peer in process.mesh.peers_by_vm.values()
        },
        "servers": {
            server: _server_status(process, server, now) for server in process.view.known_servers()
        },
    }


def _server_status(process: entry_vm.EntryVmProcess, server: Any, now: float) -> dict[str, Any]:
    lessor = process.lessor_task.lessor
    row = process.view.server_rows_by_id.get(server)
    last_reply_at = lessor.last_reply_at(server)
    return {
        "state": row.state.value if row else "unknown",
        "token": row.token if row else 0,
        "lessors": [entry.vm for entry in row.lessors] if row else [],
        "shards": len(process.view.granted_shards(server)),
        "leaving": process.placer.servers.is_leaving(server),
        "last_reply_s": round(now - last_reply_at, 3) if last_reply_at is not None else None,
    }
