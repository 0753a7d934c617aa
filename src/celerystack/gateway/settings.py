"""Settings of an entry VM."""

from __future__ import annotations

import dataclasses

from celerystack import ids

SMALL_CORES = 0.6
"""Below this number of processor cores a VM is small."""
SMALL_LINK_MBPS = 50.0
"""Below this bandwidth in Mbit/s a VM is small: a planner sends map changes to all entry VMs, and
whole maps of about 20 KB to those that lack them."""

LINK_MBPS_PER_CORE = 50.0
"""Bandwidth in Mbit/s that forwarded calls can use on one processor core."""
ANSWER_MEMORY_SHARE = 0.2
"""Fraction of the memory for responses that are being received. A response is held twice for a
moment, when it is joined and written to its caller, and the process itself needs the rest."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class NodeSettings:
    """Settings of an entry VM; addresses are ``(IP, port)``.

    Attributes
    ----------
    grace_period_s : float
        Time in seconds between SIGTERM and the end of the process.
    retry_allowance : float
        Retries per window that all VMs together may make beyond `retry_ratio` of the requests.
    evacuation_s : float
        Time in seconds after the request to evacuate a zone at which no request may reach it.
    cold_overshoot, cold_slack : float
        In one second a cold server tolerates ``cold_overshoot`` times its rate and ``cold_slack``
        requests more.
    forwarding_vms_min : int
        Number of entry VMs from which calls are forwarded to queue owners.
    cores : float
        Processor cores that the VM may use; a fraction is part of a core.
    link_mbps : float
        Bandwidth of the VM's link in Mbit/s.
    memory_bytes : int
        Memory in bytes that the process may use.
    """

    vm: ids.EntryVmId
    zone: ids.ZoneName
    caller_address: tuple[str, int]
    ready_address: tuple[str, int]
    metrics_address: tuple[str, int]
    peer_address: tuple[str, int]
    store_address: tuple[str, int]
    grace_period_s: float
    retry_ratio: float
    retry_window_s: float
    retry_allowance: float
    evacuation_s: float
    cold_overshoot: float
    cold_slack: float
    forwarding_vms_min: int
    cores: float
    link_mbps: float
    memory_bytes: int

    @property
    def answer_bytes_max(self) -> int:
        """Largest number of bytes of responses that exchanges hold together."""
        return int(self.memory_bytes * ANSWER_MEMORY_SHARE)

    @property
    def queue_weight(self) -> float:
        """Share of the queues that this VM should own, in proportion to those of other VMs."""
        return min(self.cores, self.link_mbps / LINK_MBPS_PER_CORE)

    @property
    def is_small(self) -> bool:
        """Whether the VM should become the planner only if there is no larger VM."""
        return self.cores < SMALL_CORES or self.link_mbps < SMALL_LINK_MBPS
