"""Counters and latencies of the request path, and the log line of each request that failed."""

from __future__ import annotations

import logging

import prometheus_client

from celerystack.gateway import calls

_log = logging.getLogger(__name__)

LATENCY_BUCKETS_S = (0.01, 0.03, 0.1, 0.2, 0.4, 0.8, 1.6, 3.2)


class Measures:
    """Metrics of one entry VM."""

    def __init__(self, registry: prometheus_client.CollectorRegistry) -> None:
        self._requests = prometheus_client.Counter(
            "celerystack_gateway_requests",
            "Requests of callers by service and outcome.",
            ["service", "outcome"],
            registry=registry,
        )
        self._latency = prometheus_client.Histogram(
            "celerystack_gateway_latency_seconds",
            "Time from the arrival of a request to its reply.",
            ["service"],
            buckets=LATENCY_BUCKETS_S,
            registry=registry,
        )

    def finished(self, call: calls.Call, reply: calls.Reply, now: float) -> None:
        """Count a reply; logs it unless the server answered."""
        latency_s = now - call.arrived_at
        match reply:
            case calls.Answered():
                outcome = "answered"
            case calls.Refused(reason=reason, status=status, retry_after_s=retry_after_s):
                outcome = "refused"
                _log.info(
                    "%d after %.0f ms, retry after %.2f s: %s",
                    status,
                    latency_s * 1000,
                    retry_after_s,
                    reason,
                    extra={"step": "refused", "request_id": call.request_id},
                )
            case calls.Failed(reason=reason, status=status):
                outcome = "failed"
                _log.info(
                    "%d after %.0f ms: %s",
                    status,
                    latency_s * 1000,
                    reason,
                    extra={"step": "failed", "request_id": call.request_id},
                )
        self._requests.labels(call.service, outcome).inc()
        self._latency.labels(call.service).observe(latency_s)
