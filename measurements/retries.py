"""Simulated brown-out: servers fail most requests, and routers retry within a retry budget."""

from __future__ import annotations

import dataclasses
import heapq
import random

from celerystack.limits import retry_budget
from measurements import figures

ENTRY_VMS = 9
REQUESTS_PER_S = 1000.0
FAILING_SHARE = 0.9
HEALTHY_FAILING_SHARE = 0.001
START_S = 20.0
END_S = 50.0
DURATION_S = 70.0
ATTEMPTS_MAX = 4
ATTEMPT_S = 0.05
SEED = 9


@dataclasses.dataclass
class Counts:
    """First attempts and all attempts, in the whole run and during the brown-out."""

    first: int = 0
    sent: int = 0
    first_in_brownout: int = 0
    sent_in_brownout: int = 0


def run() -> list[figures.Figure]:
    """Run with and, as the baseline, without the retry budget."""
    with_budget, without_budget = simulate(limited=True), simulate(limited=False)
    return [
        figures.Figure(
            "retry_amplification",
            with_budget.sent / with_budget.first,
            "1",
            without_budget.sent / without_budget.first,
        ),
        figures.Figure(
            "retry_amplification_in_brownout",
            with_budget.sent_in_brownout / with_budget.first_in_brownout,
            "1",
            without_budget.sent_in_brownout / without_budget.first_in_brownout,
        ),
    ]


def simulate(*, limited: bool) -> Counts:
    """Count attempts; each takes `ATTEMPT_S` and is retried up to `ATTEMPTS_MAX` attempts."""
    rng = random.Random(SEED)
    budgets = [retry_budget.RetryBudget() for _ in range(ENTRY_VMS)]
    counts = Counts()
    events: list[tuple[float, int, int, int]] = []
    number = 0
    at = rng.expovariate(REQUESTS_PER_S)
    while at < DURATION_S:
        events.append((at, number, rng.randrange(ENTRY_VMS), 1))
        number += 1
        at += rng.expovariate(REQUESTS_PER_S)
    while events:
        now, number, vm, attempt = heapq.heappop(events)
        in_brownout = START_S <= now < END_S
        counts.sent += 1
        counts.sent_in_brownout += in_brownout
        if attempt == 1:
            budgets[vm].on_request(now)
            counts.first += 1
            counts.first_in_brownout += in_brownout
        failing_share = FAILING_SHARE if in_brownout else HEALTHY_FAILING_SHARE
        if rng.random() >= failing_share or attempt == ATTEMPTS_MAX:
            continue
        if not limited or budgets[vm].try_retry(now + ATTEMPT_S):
            heapq.heappush(events, (now + ATTEMPT_S, number, vm, attempt + 1))
    return counts
