"""Estimates the service times of servers from the latencies that entry VMs measure.

The latencies include the network and queueing on the server.
"""

from __future__ import annotations

from collections.abc import Iterable

from celerystack import ids

ASSUMED_S = 0.12
"""Service time in seconds assumed before any answer was measured."""
WEIGHT_PER_ANSWER = 0.06
"""Weight of each answer of a report in the moving average."""
WEIGHT_MAX = 0.4
"""Largest weight of one report, however many answers it covers."""
QUIET_UTILIZATION = 0.6
"""Up to this utilization requests hardly queue, so that the latency is the service time."""
SLOWED_RATIO = 3.0
"""A latency of this multiple of the average or more is not explained by queueing: the server has
slowed down."""
SERVICE_TIME_RATIO_MAX = 3.0
"""Largest factor by which a server's estimate may differ from the mean of its service."""


class ServiceTimes:
    """Exponential moving averages of the service time by server."""

    def __init__(self) -> None:
        self._service_s_by_server: dict[ids.ServerId, float] = {}

    def add(self, server: ids.ServerId, count: int, latency_s: float, utilization: float) -> None:
        """Add the mean latency of ``count`` answers of a server at a utilization.

        Above `QUIET_UTILIZATION` a latency above the average is mostly queueing and therefore
        ignored, unless it is at least `SLOWED_RATIO` times the average.
        """
        if count <= 0 or latency_s <= 0:
            return
        average_s = self._service_s_by_server.get(server, ASSUMED_S)
        may_be_waiting = utilization > QUIET_UTILIZATION and latency_s < SLOWED_RATIO * average_s
        if may_be_waiting and latency_s > average_s:
            return
        weight = min(WEIGHT_MAX, WEIGHT_PER_ANSWER * count)
        self._service_s_by_server[server] = average_s + weight * (latency_s - average_s)

    def estimate(self, servers: Iterable[ids.ServerId]) -> dict[ids.ServerId, float]:
        """Return the service times in seconds of the servers of one service."""
        wanted = list(servers)
        measured = [
            self._service_s_by_server[server]
            for server in wanted
            if server in self._service_s_by_server
        ]
        mean_s = sum(measured) / len(measured) if measured else ASSUMED_S
        return {
            server: min(
                max(self._service_s_by_server.get(server, mean_s), mean_s / SERVICE_TIME_RATIO_MAX),
                mean_s * SERVICE_TIME_RATIO_MAX,
            )
            for server in wanted
        }
