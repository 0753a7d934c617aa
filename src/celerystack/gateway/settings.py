"""What an entry VM is told at its start."""

from __future__ import annotations

import dataclasses

from celerystack import ids


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class NodeSettings:
    """Addresses are ``(IP, port)``, times are in seconds.

    Attributes
    ----------
    drain_s : float
        Time within which requests to a leaving server must end.
    shutdown_s : float
        Time between SIGTERM and the end of the process.
    retry_allowance : float
        Further arrivals per window that all VMs together may cause besides their share.
    heartbeat_s : float
        Interval at which servers write their entries.
    """

    vm: ids.EntryVmId
    zone: ids.ZoneName
    caller_address: tuple[str, int]
    ready_address: tuple[str, int]
    metrics_address: tuple[str, int]
    peer_address: tuple[str, int]
    store_address: tuple[str, int]
    drain_s: float
    config_apply_s: float
    shutdown_s: float
    retry_ratio: float
    retry_window_s: float
    retry_allowance: float
    heartbeat_s: float
