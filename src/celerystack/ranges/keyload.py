"""Recent request rate by key, for balancing ranges."""

from __future__ import annotations

import bisect
import itertools
import math
from collections.abc import Iterable

DECAY_S = 2.0
"""Time constant of the rates; a hot group of keys shows within a second."""
DECAY_STEP_S = 0.1
FORGET_BELOW = 0.02
UNIFORM_SHARE = 0.1
"""Part of the load that is spread over all keys, so that keys without recent requests count."""
UNIFORM_MINIMUM = 1.0


class KeyLoad:
    """Decayed request counts by key."""

    def __init__(self) -> None:
        self._count_by_key: dict[int, float] = {}
        self._decayed_at = 0.0

    def add(self, keys: Iterable[int], now: float) -> None:
        """Count one request for each key."""
        self._decay(now)
        for key in keys:
            self._count_by_key[key] = self._count_by_key.get(key, 0.0) + 1.0

    def _decay(self, now: float) -> None:
        if now - self._decayed_at < DECAY_STEP_S:
            return
        factor = math.exp(-(now - self._decayed_at) / DECAY_S)
        self._decayed_at = now
        self._count_by_key = {
            key: count * factor
            for key, count in self._count_by_key.items()
            if count * factor >= FORGET_BELOW
        }

    def snapshot(self, now: float, *, keys: int) -> Snapshot:
        """Return the rates as of now for a key space of ``keys`` keys."""
        self._decay(now)
        return Snapshot(sorted(self._count_by_key.items()), keys=keys)


class Snapshot:
    """Rates of ranges at one moment, in requests/s."""

    def __init__(self, counts: list[tuple[int, float]], *, keys: int) -> None:
        self.keys = [key for key, _ in counts]
        self.rates = [count / DECAY_S for _, count in counts]
        self._sums = [0.0, *itertools.accumulate(self.rates)]
        measured = self._sums[-1]
        self._per_key = max(UNIFORM_MINIMUM, UNIFORM_SHARE * measured) / keys

    @property
    def total(self) -> float:
        """Measured rate of all keys."""
        return self._sums[-1]

    def places(self, start: int, end: int) -> tuple[int, int]:
        """Return the index range of the measured keys from ``start`` to ``end``, both inclusive."""
        return bisect.bisect_left(self.keys, start), bisect.bisect_right(self.keys, end)

    def rate(self, start: int, end: int) -> float:
        """Return the rate of a range, with its part of the uniform load."""
        first, last = self.places(start, end)
        return self._sums[last] - self._sums[first] + self._per_key * (end - start + 1)

    def split(self, start: int, end: int, parts: int) -> list[tuple[int, int]]:
        """Cut a range into at most ``parts`` ranges of about the same rate."""
        share = self.rate(start, end) / parts
        cuts: list[tuple[int, int]] = []
        begin = start
        for _ in range(parts - 1):
            low, high = begin, end
            while low < high:
                middle = (low + high) // 2
                if self.rate(begin, middle) < share:
                    low = middle + 1
                else:
                    high = middle
            if low >= end:
                break
            cuts.append((begin, low))
            begin = low + 1
        cuts.append((begin, end))
        return cuts
