"""CPU time, memory and traffic of the control plane in idle clusters of different sizes.

No caller sends requests, so heartbeats, renewals, polls and reports cause all of the cost.
"""

from __future__ import annotations

import dataclasses
import os
import pathlib
import tempfile
import time

from measurements import figures
from standins import cluster, layout

SETTLE_S = 4.0
WINDOW_S = 10.0
ZONES = (1, 2, 3)
CLOCK_TICKS_PER_S = os.sysconf("SC_CLK_TCK")
PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")


@dataclasses.dataclass(frozen=True)
class Cost:
    """Mean CPU share and memory of an entry VM, and loopback traffic of the whole cluster."""

    entry_vms: int
    servers: int
    core_share: float
    memory_bytes: float
    loopback_bytes_per_s: float


def _cpu_s(pid: int) -> float:
    fields = pathlib.Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / CLOCK_TICKS_PER_S


def _memory_bytes(pid: int) -> float:
    return int(pathlib.Path(f"/proc/{pid}/statm").read_text().split()[1]) * PAGE_BYTES


def _loopback_bytes() -> int:
    lines = pathlib.Path("/proc/net/dev").read_text().splitlines()
    [loopback] = [line.split(":")[1].split() for line in lines if line.strip().startswith("lo:")]
    return int(loopback[0])


def _measure(servers_per_zone: int, entry_vms_per_zone: int) -> Cost:
    service = layout.ServiceSpec(name="browse", prefix="/browse/", shards=64)
    backends = [
        layout.BackendSpec(name=f"b-{zone}-{number}", service=service.name, zone=zone)
        for zone in ZONES
        for number in range(servers_per_zone)
    ]
    entry_vms = [
        layout.EntryVmSpec(name=f"vm-{zone}-{number}", zone=zone)
        for zone in ZONES
        for number in range(entry_vms_per_zone)
    ]
    with (
        tempfile.TemporaryDirectory() as folder,
        cluster.Cluster(
            pathlib.Path(folder), services=[service], backends=backends, entry_vms=entry_vms
        ) as running,
    ):
        running.wait_served()
        time.sleep(SETTLE_S)
        pids = [running.processes.child(spec.name).process.pid for spec in entry_vms]
        before, bytes_before = [_cpu_s(pid) for pid in pids], _loopback_bytes()
        time.sleep(WINDOW_S)
        used = [_cpu_s(pid) - cpu for pid, cpu in zip(pids, before, strict=True)]
        sent = _loopback_bytes() - bytes_before
        return Cost(
            entry_vms=len(pids),
            servers=len(backends),
            core_share=sum(used) / len(used) / WINDOW_S,
            memory_bytes=sum(map(_memory_bytes, pids)) / len(pids),
            loopback_bytes_per_s=sent / WINDOW_S,
        )


def run() -> list[figures.Figure]:
    """Return the cost per entry VM and its increase per server and per peer."""
    small, many_servers, many_vms = _measure(2, 2), _measure(8, 2), _measure(2, 4)
    # Two entry VMs per zone renew each server of the zone.
    renewed = (many_servers.servers - small.servers) / len(ZONES)
    per_server = (many_servers.core_share - small.core_share) / renewed
    per_peer = (many_vms.core_share - small.core_share) / (many_vms.entry_vms - small.entry_vms)
    bytes_per_server = (many_servers.loopback_bytes_per_s - small.loopback_bytes_per_s) / (
        many_servers.servers - small.servers
    )
    return [
        figures.Figure("control_core_share_6_vms_6_servers", small.core_share, "cores"),
        figures.Figure("control_core_share_6_vms_24_servers", many_servers.core_share, "cores"),
        figures.Figure("control_core_share_12_vms_6_servers", many_vms.core_share, "cores"),
        figures.Figure("control_core_share_per_renewed_server", per_server, "cores"),
        figures.Figure("control_core_share_per_peer", per_peer, "cores"),
        figures.Figure("control_bytes_per_server_2_lessors", bytes_per_server, "B/s"),
        figures.Figure("entry_vm_memory", small.memory_bytes / 1e6, "MB"),
        figures.Figure("control_bytes_of_6_vms_6_servers", small.loopback_bytes_per_s, "B/s"),
        figures.Figure("control_bytes_of_12_vms_6_servers", many_vms.loopback_bytes_per_s, "B/s"),
    ]
