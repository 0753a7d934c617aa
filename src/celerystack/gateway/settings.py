"""What an entry VM is told at its start."""

from __future__ import annotations

import dataclasses

from celerystack import ids

SMALL_CORES = 0.6
SMALL_LINK_MBPS = 50.0
"""The planner sends maps of some 20 KB to each entry VM after a change."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class NodeSettings:
    """Addresses are ``(IP, port)``, times are in seconds.

    Attributes
    ----------
    shutdown_s : float
        Time between SIGTERM and the end of the process.
    retry_allowance : float
        Further arrivals per window that all VMs together may cause besides their share.
    cores : float
        Processor time per second that the VM may use.
    link_mbps : float
        Bandwidth of the VM's link in Mbit/s.
    """

    vm: ids.EntryVmId
    zone: ids.ZoneName
    caller_address: tuple[str, int]
    ready_address: tuple[str, int]
    metrics_address: tuple[str, int]
    peer_address: tuple[str, int]
    store_address: tuple[str, int]
    shutdown_s: float
    retry_ratio: float
    retry_window_s: float
    retry_allowance: float
    cores: float
    link_mbps: float

    @property
    def is_small(self) -> bool:
        """Whether the VM should leave the planner's work to others if there are any."""
        return self.cores < SMALL_CORES or self.link_mbps < SMALL_LINK_MBPS
