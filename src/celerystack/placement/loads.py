"""Estimates of the load per shard from request counts."""

from __future__ import annotations

import math

from celerystack import ids

SMOOTHING_S = 5.0
"""Time constant of the moving average, so that bursts of a second do not cause balancing moves."""
_RATE_MIN = 0.01
"""Rate in requests/s below which a shard's estimate is dropped."""


class ShardLoads:
    """Exponential moving average of requests/s, kept only for shards with recent traffic.

    Parameters
    ----------
    started_at : float
        Time of creation, in seconds.
    """

    def __init__(self, *, started_at: float) -> None:
        self._updated_at = started_at
        self._count_by_shard: dict[ids.ShardId, float] = {}
        self._rate_by_shard: dict[ids.ShardId, float] = {}

    def add(self, shard: ids.ShardId, *, weight: float = 1.0) -> None:
        """Count a request; ``weight`` is the inverse of the sampling probability."""
        self._count_by_shard[shard] = self._count_by_shard.get(shard, 0.0) + weight

    def update(self, now: float) -> None:
        """Update the averages with the requests counted since the last call."""
        elapsed_s = now - self._updated_at
        if elapsed_s <= 0.0:
            return
        smoothing_factor = -math.expm1(-elapsed_s / SMOOTHING_S)
        counts, self._count_by_shard = self._count_by_shard, {}
        self._updated_at = now
        rates: dict[ids.ShardId, float] = {}
        for shard in self._rate_by_shard.keys() | counts.keys():
            previous = self._rate_by_shard.get(shard, 0.0)
            rate = previous + smoothing_factor * (counts.get(shard, 0.0) / elapsed_s - previous)
            if rate >= _RATE_MIN:
                rates[shard] = rate
        self._rate_by_shard = rates

    def transfer(self, source: ids.ShardId, target: ids.ShardId, rate: float) -> None:
        """Move up to ``rate`` requests/s of the estimate to another shard.

        Called when a key is split off or merged back; without it, the load of the key would be
        attributed to its old shard until the average adapts.
        """
        moved = min(rate, self._rate_by_shard.get(source, 0.0))
        self._rate_by_shard[source] = self._rate_by_shard.get(source, 0.0) - moved
        self._rate_by_shard[target] = self._rate_by_shard.get(target, 0.0) + moved

    def rates(self) -> dict[ids.ShardId, float]:
        """Return requests/s per shard as of the last `update`."""
        return dict(self._rate_by_shard)
