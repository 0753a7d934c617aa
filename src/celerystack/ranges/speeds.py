"""Service times of servers, estimated from latencies that include waiting."""

from __future__ import annotations

from collections.abc import Iterable

from celerystack import ids

ASSUMED_S = 0.12
"""Service time of a server before any answer was measured."""
WEIGHT_PER_ANSWER = 0.06
WEIGHT_MAX = 0.4
QUIET_UTILIZATION = 0.6
"""Below this utilization requests hardly wait, so that the latency is the service time."""
SLOWED_RATIO = 3.0
"""A latency above this multiple is not explained by waiting: the server has become slow."""
SPEED_RATIO_MAX = 3.0
"""Largest factor by which a server is taken to differ from the mean of its service."""


class Speeds:
    """Moving averages of the service time by server."""

    def __init__(self) -> None:
        self._service_s_by_server: dict[ids.ServerId, float] = {}

    def add(self, server: ids.ServerId, count: int, latency_s: float, utilization: float) -> None:
        """Take the mean latency of some answers, and how loaded the server was.

        Under load a longer latency is mostly waiting, and is not taken for a slow server.
        """
        if count <= 0 or latency_s <= 0:
            return
        average_s = self._service_s_by_server.get(server, ASSUMED_S)
        may_be_waiting = utilization > QUIET_UTILIZATION and latency_s < SLOWED_RATIO * average_s
        if may_be_waiting and latency_s > average_s:
            return
        weight = min(WEIGHT_MAX, WEIGHT_PER_ANSWER * count)
        self._service_s_by_server[server] = average_s + weight * (latency_s - average_s)

    def service_times(self, servers: Iterable[ids.ServerId]) -> dict[ids.ServerId, float]:
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
                max(self._service_s_by_server.get(server, mean_s), mean_s / SPEED_RATIO_MAX),
                mean_s * SPEED_RATIO_MAX,
            )
            for server in wanted
        }
