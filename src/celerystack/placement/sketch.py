"""Most frequent keys of a request stream in bounded memory, with exponential decay.

The counters are Space-Saving (A. Metwally, D. Agrawal, A. El Abbadi, "Efficient Computation of
Frequent and Top-k Elements in Data Streams", ICDT 2005); their sum over streams keeps the error
bound (P. Agarwal et al., "Mergeable Summaries", PODS 2012), so entry VMs can merge theirs. The
decay is exponential forward decay (G. Cormode, V. Shkapenyuk, D. Srivastava, B. Xu, "Forward Decay:
A Practical Time Decay Model for Streaming Systems", ICDE 2009): new samples weigh more, and old
counters need no rewriting.
"""

from __future__ import annotations

import dataclasses
import heapq
import math
from collections.abc import Iterable, Mapping

from celerystack import ids

DECAY_S = 10.0
"""Time constant of the decay: the weight of a sample falls to 1/e in this time."""
_RESCALE_EXPONENT = 50.0
"""Counters are rescaled when new samples weigh exp(50), well before a float overflows."""


@dataclasses.dataclass(frozen=True)
class KeyRate:
    """Estimated rate of one key: the true rate is between ``rate - error`` and ``rate``.

    Both are in requests/s. Sampling adds its own statistical error.
    """

    rate: float
    error: float

    @property
    def lower_bound(self) -> float:
        """Smallest possible true rate, in requests/s."""
        return self.rate - self.error


@dataclasses.dataclass(frozen=True)
class KeyRates:
    """Rates of the most frequent keys; those of other keys are at most ``unlisted_rate_max``."""

    rate_by_key: Mapping[ids.KeyHash, KeyRate]
    unlisted_rate_max: float = 0.0


class HotKeySketch:
    """Space-Saving counters with forward decay.

    Parameters
    ----------
    capacity : int
        Number of counters. The error is at most the total rate divided by ``capacity``.
    started_at : float
        Time of creation in seconds; estimates are corrected for a shorter history than
        `DECAY_S`.
    """

    def __init__(self, *, capacity: int, started_at: float) -> None:
        self._capacity = capacity
        self._started_at = started_at
        self._landmark = started_at
        self._counters: dict[ids.KeyHash, tuple[float, float]] = {}
        self._heap: list[tuple[float, ids.KeyHash]] = []

    def __len__(self) -> int:
        return len(self._counters)

    def add(self, key: ids.KeyHash, now: float, *, weight: float = 1.0) -> None:
        """Count a sampled request; ``weight`` is the inverse of the sampling probability."""
        exponent = (now - self._landmark) / DECAY_S
        if exponent > _RESCALE_EXPONENT:
            self._rescale(now)
            exponent = 0.0
        amount = weight * math.exp(exponent)
        counter = self._counters.get(key)
        if counter is not None:
            self._counters[key] = (counter[0] + amount, counter[1])
        elif len(self._counters) < self._capacity:
            self._counters[key] = (amount, 0.0)
            heapq.heappush(self._heap, (amount, key))
        else:
            least = self._pop_least()
            self._counters[key] = (least + amount, least)
            heapq.heappush(self._heap, (least + amount, key))

    def rates(self, now: float, *, limit: int | None = None) -> KeyRates:
        """Return the ``limit`` most frequent keys (all by default) with their rates."""
        window_s = DECAY_S * -math.expm1(-max(now - self._started_at, 0.1) / DECAY_S)
        scale = math.exp(-(now - self._landmark) / DECAY_S) / window_s
        largest = heapq.nlargest(
            len(self._counters) if limit is None else limit,
            self._counters.items(),
            key=lambda item: (item[1][0], item[0]),
        )
        full = len(self._counters) == self._capacity
        unlisted_rate_max = (
            min((c for c, _ in self._counters.values()), default=0.0) if full else 0.0
        )
        if len(largest) < len(self._counters):
            unlisted_rate_max = max(unlisted_rate_max, largest[-1][1][0] if largest else math.inf)
        rate_by_key = {key: KeyRate(c * scale, e * scale) for key, (c, e) in largest}
        return KeyRates(rate_by_key, unlisted_rate_max * scale)

    def _pop_least(self) -> float:
        """Remove the smallest counter and return its count.

        The heap holds one entry per key, which may be outdated and is then corrected.
        """
        while True:
            count, key = self._heap[0]
            current = self._counters[key][0]
            if current == count:
                heapq.heappop(self._heap)
                del self._counters[key]
                return count
            heapq.heapreplace(self._heap, (current, key))

    def _rescale(self, now: float) -> None:
        """Move the landmark, the time at which a sample has weight 1, to ``now``."""
        factor = math.exp(-(now - self._landmark) / DECAY_S)
        self._landmark = now
        self._counters = {k: (c * factor, e * factor) for k, (c, e) in self._counters.items()}
        self._heap = [(count, key) for key, (count, _) in self._counters.items()]
        heapq.heapify(self._heap)


def merge(parts: Iterable[KeyRates], *, limit: int) -> KeyRates:
    """Return the ``limit`` largest sums of the rates that several entry VMs report.

    A key missing from a report may have had a rate up to the ``unlisted_rate_max`` of that report.
    This bound is added to its rate and to its error, so that the bounds of `KeyRate` hold for the
    sum.
    """
    reports = list(parts)
    total_unlisted_rate_max = math.fsum(report.unlisted_rate_max for report in reports)
    sums: dict[ids.KeyHash, list[float]] = {}
    for report in reports:
        for key, rate in report.rate_by_key.items():
            entry = sums.setdefault(key, [total_unlisted_rate_max, total_unlisted_rate_max])
            entry[0] += rate.rate - report.unlisted_rate_max
            entry[1] += rate.error - report.unlisted_rate_max
    largest = heapq.nlargest(limit, sums.items(), key=lambda item: (item[1][0], item[0]))
    unlisted_rate_max = total_unlisted_rate_max
    if len(largest) < len(sums):
        unlisted_rate_max = max(unlisted_rate_max, largest[-1][1][0] if largest else math.inf)
    return KeyRates(
        {key: KeyRate(rate, max(0.0, e)) for key, (rate, e) in largest}, unlisted_rate_max
    )
