"""Metrics of the request path, and the log line of each request."""

from __future__ import annotations

import logging
import math
from collections.abc import Callable

import prometheus_client

from celerystack import supervision
from celerystack.forwarding import messages
from celerystack.gateway import calls
from celerystack.limits import body_account
from celerystack.requests import caller_limits

_log = logging.getLogger(__name__)

LATENCY_BUCKETS_S = (0.01, 0.03, 0.1, 0.2, 0.4, 0.8, 1.6, 3.2)


def register_evacuated_zones(
    registry: prometheus_client.CollectorRegistry, count: Callable[[], int]
) -> None:
    """Expose the number of availability zones that are evacuated."""
    gauge = prometheus_client.Gauge(
        "celerystack_evacuated_zones",
        "Availability zones whose servers get no new requests.",
        registry=registry,
    )
    gauge.set_function(count)


def register_task_errors(registry: prometheus_client.CollectorRegistry) -> None:
    """Expose the unexpected errors in tasks that run for the life of the process."""
    gauge = prometheus_client.Gauge(
        "celerystack_unexpected_task_errors",
        "Unexpected errors in tasks that run for the life of the process.",
        registry=registry,
    )
    gauge.set_function(supervision.error_count_by_task.total)


class ForwardingMetrics:
    """Metrics of queue owners, of forwarded attempts and of the bound on cold servers."""

    def __init__(self, registry: prometheus_client.CollectorRegistry) -> None:
        self._registry = registry
        self._attempts = prometheus_client.Counter(
            "celerystack_forwarded_attempts",
            "Attempts that were forwarded to queue owners, by result.",
            ["result"],
            registry=registry,
        )
        for kind in messages.ResultKind:
            self._attempts.labels(kind.value)

    def record_result(self, kind: messages.ResultKind) -> None:
        """Count a forwarded attempt by the result that the owner sent, or that its loss implies."""
        self._attempts.labels(kind.value).inc()

    def register_gauges(
        self,
        *,
        owners: Callable[[], int],
        owned_servers: Callable[[], int],
        owned_calls: Callable[[], int],
        cold_rejections: Callable[[], int],
    ) -> None:
        """Expose figures that other parts hold.

        Parameters
        ----------
        owners : callable
            Returns the number of queue owners that the planner named.
        owned_servers, owned_calls : callable
            Return the number of servers whose queues this VM owns, and of calls in them.
        cold_rejections : callable
            Returns how often a server was not chosen because it is cold.
        """
        for name, text, read in (
            ("queue_owners", "Queue owners that the planner named.", owners),
            ("owned_servers", "Servers whose queues this VM owns.", owned_servers),
            ("owned_calls", "Calls in flight or queued at these servers.", owned_calls),
            (
                "cold_rejections",
                "How often a cold server was not available for a request.",
                cold_rejections,
            ),
        ):
            gauge = prometheus_client.Gauge(f"celerystack_{name}", text, registry=self._registry)
            gauge.set_function(read)


class CallerMetrics:
    """Metrics of what is held for callers, and of the limits that they exceed."""

    def __init__(
        self, registry: prometheus_client.CollectorRegistry, account: body_account.ByteAccount
    ) -> None:
        self._exceeded = prometheus_client.Counter(
            "celerystack_gateway_limits_exceeded",
            "Requests and connections that were rejected, closed or not accepted, by limit.",
            ["limit"],
            registry=registry,
        )
        for limit in caller_limits.Limit:
            self._exceeded.labels(limit.value)
        held = prometheus_client.Gauge(
            "celerystack_gateway_held_bytes",
            "Memory that is held for callers, by part.",
            ["part"],
            registry=registry,
        )
        for part in body_account.Part:
            held.labels(part.value).set_function(lambda part=part: account.used_by_part[part])
        open_bodies = prometheus_client.Gauge(
            "celerystack_gateway_open_large_bodies",
            "Large request bodies that are being received.",
            registry=registry,
        )
        open_bodies.set_function(lambda: account.open_large_bodies)

    def record_exceeded(self, limit: caller_limits.Limit) -> None:
        """Count a request or connection that exceeded a limit."""
        self._exceeded.labels(limit.value).inc()


class RequestMetrics:
    """Request metrics of one entry VM."""

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

    def record_reply(self, call: calls.Call, reply: calls.Reply, now: float) -> None:
        """Count a reply, observe its latency, and log the request with its steps."""
        latency_s = now - call.arrived_at
        match reply:
            case calls.Answered(response=response):
                outcome = "answered"
                summary = f"{response.status}"
            case calls.Refused(reason=reason, status=status, retry_after_s=retry_after_s):
                outcome = "refused"
                summary = f"{status}, retry after {retry_after_s:.2f} s: {reason}"
            case calls.Failed(reason=reason, status=status):
                outcome = "failed"
                summary = f"{status}: {reason}"
        _log.info(
            "%s after %.0f of %.0f ms",
            summary,
            latency_s * 1000,
            (call.deadline - call.arrived_at) * 1000,
            extra={
                "step": outcome,
                "request_id": call.request_id,
                "service": call.service,
                "key": call.key,
                "steps": [_step_fields(call, step) for step in call.steps],
            },
        )
        self._requests.labels(call.service, outcome).inc()
        self._latency.labels(call.service).observe(latency_s)


def _step_fields(call: calls.Call, step: calls.Step) -> dict[str, object]:
    """Return the log fields of a step."""
    fields: dict[str, object] = {
        "at_ms": round((step.at - call.arrived_at) * 1000),
        "outcome": step.outcome,
    }
    if step.server is not None:
        fields |= {"server": step.server.server, "born": step.server.started_ms}
    if step.map_version:
        fields |= {
            "token": step.token,
            "map": step.map_version,
            "map_age_ms": None if math.isinf(step.map_age_s) else round(step.map_age_s * 1000),
        }
    return fields
