"""Seeded model of a naive router: a FIFO queue without load shedding or deadlines.

A request whose caller has timed out is still sent to a server and occupies a slot.
"""

from __future__ import annotations

import heapq
import random


def goodput_per_s(
    *, rate: float, slots: int, service_s: float, deadline_s: float, duration_s: float, seed: int
) -> float:
    """Return the answers within their deadline per second of the load.

    Parameters
    ----------
    rate : float
        Requests per second, with exponentially distributed intervals.
    slots : int
        Concurrent executions of all servers together.
    """
    rng = random.Random(seed)
    free_at = [0.0] * slots
    now = 0.0
    answered = 0
    while (now := now + rng.expovariate(rate)) < duration_s:
        end = max(now, heapq.heappop(free_at)) + service_s
        heapq.heappush(free_at, end)
        answered += end - now <= deadline_s
    return answered / duration_s
