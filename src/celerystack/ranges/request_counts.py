"""What an entry VM counts of its requests between two reports to the planner."""

from __future__ import annotations

from celerystack import ids

KEYS_PER_REPORT_MAX = 400
"""Number of requests per service whose keys one report contains; further ones are not counted."""


class RequestCounts:
    """Keys of the requests that arrived, and latencies of the answers."""

    def __init__(self) -> None:
        self._keys_by_service: dict[ids.ServiceName, list[int]] = {}
        self._service_time_by_server: dict[ids.ServerId, tuple[int, float]] = {}

    def add_request(self, service: ids.ServiceName, key: int) -> None:
        """Count a request to a key, at most `KEYS_PER_REPORT_MAX` per service and report."""
        keys = self._keys_by_service.setdefault(service, [])
        if len(keys) < KEYS_PER_REPORT_MAX:
            keys.append(key)

    def add_latency(self, server: ids.ServerId, latency_s: float) -> None:
        """Count the latency of an answer as this VM sees it."""
        count, mean_s = self._service_time_by_server.get(server, (0, 0.0))
        self._service_time_by_server[server] = (
            count + 1,
            mean_s + (latency_s - mean_s) / (count + 1),
        )

    def take_keys(self) -> dict[ids.ServiceName, list[int]]:
        """Return the keys by service since the last call."""
        keys, self._keys_by_service = self._keys_by_service, {}
        return keys

    def take_latencies(self) -> dict[ids.ServerId, tuple[int, float]]:
        """Return number and mean of the latencies in seconds by server since the last call."""
        latencies, self._service_time_by_server = self._service_time_by_server, {}
        return latencies
