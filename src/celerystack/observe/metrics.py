"""Prometheus metrics of one entry VM."""

from __future__ import annotations

import enum

import prometheus_client

from celerystack import ids, model
from celerystack.requests import caller_limits

LATENCY_BUCKETS_S = (
    0.001,
    0.002,
    0.003,
    0.005,
    0.007,
    0.009,
    0.012,
    0.02,
    0.05,
    0.1,
    0.2,
    0.5,
    1.0,
    2.0,
    5.0,
)
"""Upper bounds of the buckets in seconds; 9 ms is the target for the 99th percentile."""


class LeaseState(enum.Enum):
    """State of a server's lease as this entry VM sees it."""

    HELD = "held"
    SUSPECT = "suspect"
    EXPIRED = "expired"
    UNKNOWN = "unknown"


class MoveKind(enum.Enum):
    """Why a shard gets a new owner."""

    DRAIN = "drain"
    BALANCE = "balance"
    HOT_KEY = "hot_key"
    TAKEOVER = "takeover"
    FIRST = "first"


class StoreFailure(enum.Enum):
    """How a call to a platform service failed."""

    UNAVAILABLE = "unavailable"
    ANSWER_LOST = "answer_lost"
    CONFLICT = "conflict"
    CORRUPT_ROW = "corrupt_row"


class Metrics:
    """Metrics of one entry VM.

    Parameters
    ----------
    registry : prometheus_client.CollectorRegistry
        Registry that the admin listener exposes. It is not the global one, so that tests and
        several routers in one process do not share metrics.
    """

    def __init__(self, registry: prometheus_client.CollectorRegistry) -> None:
        self._declare_request_metrics(registry)
        self._declare_control_metrics(registry)
        # Labelled metrics are cached, because labels() takes a lock and formats its arguments.
        self._requests_by_labels: dict[tuple[str, str], prometheus_client.Counter] = {}
        self._latency_by_service: dict[str, prometheus_client.Histogram] = {}

    def _declare_request_metrics(self, registry: prometheus_client.CollectorRegistry) -> None:
        self._requests = prometheus_client.Counter(
            "celerystack_requests",
            "Requests of callers by service and outcome.",
            ["service", "outcome"],
            registry=registry,
        )
        self._latency = prometheus_client.Histogram(
            "celerystack_request_seconds",
            "Time from receiving a request to the end of its response.",
            ["service"],
            buckets=LATENCY_BUCKETS_S,
            registry=registry,
        )
        self._retries = prometheus_client.Counter(
            "celerystack_retries",
            "Attempts after the first one.",
            ["service"],
            registry=registry,
        )
        self._queue = prometheus_client.Gauge(
            "celerystack_queue_length",
            "Requests that wait for a slot of a server.",
            ["server"],
            registry=registry,
        )
        self._connections = prometheus_client.Gauge(
            "celerystack_server_connections",
            "Open connections to a server.",
            ["server"],
            registry=registry,
        )
        self._limits_exceeded = prometheus_client.Counter(
            "celerystack_limits_exceeded",
            "Requests and connections that were rejected, closed or not accepted, by limit.",
            ["limit"],
            registry=registry,
        )
        self._callers = prometheus_client.Gauge(
            "celerystack_caller_connections", "Open connections of callers.", registry=registry
        )

    def _declare_control_metrics(self, registry: prometheus_client.CollectorRegistry) -> None:
        self._lease = prometheus_client.Gauge(
            "celerystack_lease_state",
            "1 for the state of a server's lease, 0 for the other states.",
            ["server", "state"],
            registry=registry,
        )
        self._moves = prometheus_client.Counter(
            "celerystack_moves",
            "Shards that this entry VM gave a new owner.",
            ["service", "kind"],
            registry=registry,
        )
        self._unavailable = prometheus_client.Counter(
            "celerystack_unavailable_shard_seconds",
            "Sum over shards of the time without an owner that can serve.",
            ["service"],
            registry=registry,
        )
        self._config_version = prometheus_client.Gauge(
            "celerystack_config_version", "Configuration version in force.", registry=registry
        )
        self._evacuated = prometheus_client.Gauge(
            "celerystack_zone_evacuated",
            "1 for a zone whose servers get no new requests, 0 after the evacuation has ended.",
            ["zone"],
            registry=registry,
        )
        self._store_errors = prometheus_client.Counter(
            "celerystack_store_errors",
            "Failed calls to platform services.",
            ["operation", "failure"],
            registry=registry,
        )

    def record_exceeded(self, limit: caller_limits.Limit) -> None:
        """Count a request or connection that exceeded a limit on callers."""
        self._limits_exceeded.labels(limit.value).inc()

    def observe_request(
        self, service: ids.ServiceName, outcome: model.Outcome, duration_s: float
    ) -> None:
        """Count a finished request and observe its latency."""
        labels = (service, outcome.value)
        counter = self._requests_by_labels.get(labels)
        if counter is None:
            counter = self._requests_by_labels[labels] = self._requests.labels(*labels)
        counter.inc()
        latency = self._latency_by_service.get(service)
        if latency is None:
            latency = self._latency_by_service[service] = self._latency.labels(service)
        latency.observe(duration_s)

    def count_retry(self, service: ids.ServiceName) -> None:
        """Count an attempt after the first one of a request."""
        self._retries.labels(service).inc()

    def set_queue_length(self, server: ids.ServerId, length: int) -> None:
        """Set the number of requests that wait for a slot of a server."""
        self._queue.labels(server).set(length)

    def set_server_connections(self, server: ids.ServerId, count: int) -> None:
        """Set the number of open connections to a server."""
        self._connections.labels(server).set(count)

    def set_caller_connections(self, count: int) -> None:
        """Set the number of open connections of callers."""
        self._callers.set(count)

    def set_lease_state(self, server: ids.ServerId, state: LeaseState) -> None:
        """Set the state of a server's lease."""
        for other in LeaseState:
            self._lease.labels(server, other.value).set(int(other is state))

    def count_moves(self, service: ids.ServiceName, kind: MoveKind, shards: int = 1) -> None:
        """Count shards that got a new owner."""
        self._moves.labels(service, kind.value).inc(shards)

    def add_unavailable(self, service: ids.ServiceName, shard_seconds: float) -> None:
        """Add time without an owner that can serve, summed over shards."""
        self._unavailable.labels(service).inc(shard_seconds)

    def set_config_version(self, version: ids.ConfigVersion) -> None:
        """Set the configuration version in force."""
        self._config_version.set(version)

    def set_zone_evacuated(self, zone: ids.ZoneName, evacuated: bool) -> None:
        """Set whether a zone is evacuated."""
        self._evacuated.labels(zone).set(int(evacuated))

    def count_store_failure(self, operation: str, failure: StoreFailure) -> None:
        """Count a failed call; ``operation`` is a step such as ``table.get``."""
        self._store_errors.labels(operation, failure.value).inc()

    def remove_server(self, server: ids.ServerId) -> None:
        """Remove the metrics of a server that is no longer declared; may be repeated."""
        for gauge in (self._queue, self._connections):
            _remove(gauge, server)
        for state in LeaseState:
            _remove(self._lease, server, state.value)


def _remove(gauge: prometheus_client.Gauge, *labels: str) -> None:
    try:
        gauge.remove(*labels)
    except KeyError:
        return
