"""Settings of an entry VM."""

from __future__ import annotations

import dataclasses

from celerystack import ids
from celerystack.limits import body_account, descriptors
from celerystack.requests import caller_limits

IDLE_WITHOUT_CONFIGURATION_S = 20.0
"""Idle timeout of callers' connections in seconds before a configuration is known."""

SMALL_CORES = 0.6
"""Below this number of processor cores a VM is small."""
SMALL_LINK_MBPS = 50.0
"""Below this bandwidth in Mbit/s a VM is small: a planner sends map changes to all entry VMs, and
whole maps of about 20 KB to those that lack them."""

LINK_MBPS_PER_CORE = 50.0
"""Bandwidth in Mbit/s that forwarded calls can use on one processor core."""


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
    heartbeat_s : float
        Interval in seconds at which servers renew their entries.
    forwarding_vms_min : int
        Number of entry VMs from which calls are forwarded to queue owners.
    cores : float
        Processor cores that the VM may use; a fraction is part of a core.
    link_mbps : float
        Bandwidth of the VM's link in Mbit/s.
    memory_bytes : int
        Memory in bytes that the process may use.
    file_descriptors : int or None
        Descriptors that the process may open; None if only the system limits them.
    open_large_bodies_max : int
        Largest number of large request bodies that are received at the same time.
    body_progress_bytes : int
        Least number of bytes of a request body that must arrive in each idle timeout.
    body_time_s : float
        Longest time in seconds in which the whole body of a request may arrive.
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
    heartbeat_s: float
    forwarding_vms_min: int
    cores: float
    link_mbps: float
    memory_bytes: int
    file_descriptors: int | None = None
    open_large_bodies_max: int = body_account.OPEN_LARGE_BODIES_MAX
    body_progress_bytes: int = caller_limits.BODY_PROGRESS_BYTES
    body_time_s: float = caller_limits.BODY_S

    def account_limits(self, body_bytes_max: int) -> body_account.AccountLimits:
        """Return the limits on what is held for callers, given the largest permitted body."""
        return body_account.limits_for(
            self.memory_bytes,
            body_bytes_max=body_bytes_max,
            open_large_bodies_max=self.open_large_bodies_max,
        )

    def caller_limits(self) -> caller_limits.Limits:
        """Return the limits on callers, as far as the configuration does not set them."""
        available = descriptors.process_limit(self.file_descriptors)
        return caller_limits.Limits(
            idle_s=IDLE_WITHOUT_CONFIGURATION_S,
            body_s=self.body_time_s,
            body_progress_bytes=self.body_progress_bytes,
            connections_max=min(
                descriptors.caller_connections_max(available),
                body_account.connections_max(self.memory_bytes),
            ),
        )

    @property
    def queue_weight(self) -> float:
        """Share of the queues that this VM should own, in proportion to those of other VMs."""
        return min(self.cores, self.link_mbps / LINK_MBPS_PER_CORE)

    @property
    def is_small(self) -> bool:
        """Whether the VM should become the planner only if there is no larger VM."""
        return self.cores < SMALL_CORES or self.link_mbps < SMALL_LINK_MBPS
