"""Load estimates per shard from counted requests."""

from __future__ import annotations

import math

from celerystack import ids

SMOOTHING_S = 5.0
"""Time constant of the moving average: long enough to hide bursts of a second from balancing."""
_RATE_MIN = 0.01
"""Rate in requests/s below which a shard's estimate is dropped."""


class ShardLoads:
    """Moving average of requests/s per shard; holds only shards with recent traffic.

    Parameters
    ----------
    started_at : float
        Time of creation, in seconds.
    """

    def __init__(self, *, started_at: float) -> None:
        self._rolled_at = started_at
        self._count_by_shard: dict[ids.ShardId, float] = {}
        self._rate_by_shard: dict[ids.ShardId, float] = {}

    def add(self, shard: ids.ShardId, *, weight: float = 1.0) -> None:
        """Count a request; ``weight`` is the inverse of the sampling probability."""
        self._count_by_shard[shard] = self._count_by_shard.get(shard, 0.0) + weight

    def roll(self, now: float) -> None:
        """Fold the requests counted since the last call into the averages."""
        span = now - self._rolled_at
        if span <= 0.0:
            return
        gain = -math.expm1(-span / SMOOTHING_S)
        counts, self._count_by_shard = self._count_by_shard, {}
        self._rolled_at = now
        rates: dict[ids.ShardId, float] = {}
        for shard in self._rate_by_shard.keys() | counts.keys():
            old = self._rate_by_shard.get(shard, 0.0)
            rate = old + gain * (counts.get(shard, 0.0) / span - old)
            if rate >= _RATE_MIN:
                rates[shard] = rate
        self._rate_by_shard = rates

    def transfer(self, source: ids.ShardId, target: ids.ShardId, rate: float) -> None:
        """Move up to ``rate`` requests/s of the estimate to another shard.

        Called when a key is split off or merged back; without it the key's load would be counted
        at its old shard until the average has followed.
        """
        moved = min(rate, self._rate_by_shard.get(source, 0.0))
        self._rate_by_shard[source] = self._rate_by_shard.get(source, 0.0) - moved
        self._rate_by_shard[target] = self._rate_by_shard.get(target, 0.0) + moved

    def rates(self) -> dict[ids.ShardId, float]:
        """Return requests/s per shard as of the last `roll`."""
        return dict(self._rate_by_shard)
