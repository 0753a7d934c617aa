"""Churn budget: limits how many shards planned moves take from their owners per minute."""

from __future__ import annotations

import collections
import math

WINDOW_S = 60.0


class ChurnBudget:
    """Limits the moves in any window of `WINDOW_S` seconds.

    Uses a sliding window, because a token bucket allows twice its rate in the minute after a pause.

    Parameters
    ----------
    share : float
        Largest share of the shards that may move per minute, 0 to 1.
    shards : int
        Number of shards of the service. A positive share allows at least one move per minute.
    """

    def __init__(self, *, share: float, shards: int) -> None:
        self._limit = max(1, int(share * shards)) if share > 0.0 else 0
        self._spent: collections.deque[tuple[float, float]] = collections.deque()

    def available(self, now: float) -> float:
        """Return how many shards may move at ``now`` (seconds)."""
        recent = math.fsum(cost for spent_at, cost in self._spent if now - spent_at < WINDOW_S)
        return max(0.0, self._limit - recent)

    def spend(self, cost: float, now: float) -> None:
        """Record moves started at ``now``; ``cost`` is the result of `assign.churn_cost`."""
        while self._spent and now - self._spent[0][0] >= WINDOW_S:
            self._spent.popleft()
        if cost > 0.0:
            self._spent.append((now, cost))
