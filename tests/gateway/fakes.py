"""Test data shared by the tests of the request path."""

from __future__ import annotations

from celerystack.gateway import config
from celerystack.limits import cold_starts
from tests.ranges import fakes

ROUTE = config.Route(
    name="r",
    host="h",
    prefix="/",
    targets=(config.Target(service=fakes.SERVICE, weight=1.0),),
    idempotent=True,
    timeout_s=5.0,
    target_latency_s=0.4,
    attempts_max=2,
    priority=1,
)


def no_cold_starts() -> cold_starts.ColdStarts:
    """Return cold starts without any bound."""
    return cold_starts.ColdStarts(
        tolerance=cold_starts.ColdTolerance(), is_sender=lambda *_: True, now=lambda: 0.0
    )
