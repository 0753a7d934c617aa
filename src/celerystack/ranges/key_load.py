"""Estimates the recent request rate of each key, for load balancing."""

from __future__ import annotations

import bisect
import itertools
import math
from collections.abc import Iterable

DECAY_S = 4.0
"""Time constant in seconds of the long-term rates. With a shorter one, random variation of few
requests looks like load and moves keys back and forth."""
FAST_DECAY_S = 0.7
"""Time constant in seconds of the short-term rates, which show sudden increases."""
SURGE_COUNT = 6.0
"""Smallest short-term count of a surge, a sudden increase of the rate."""
SURGE_DEVIATIONS = 3.0
"""A short-term count is a surge if it exceeds the one that the long-term rate predicts by this
multiple of the prediction's square root."""
REPORT_INTERVAL_S = 0.4
"""Usual time in seconds between two reports of requests. A report is about requests of the whole
interval, and the rates between two reports are those at the earlier one."""
SURGE_AGE_S = 0.8
"""Time in seconds for which a surge has lasted when it is found, as requests are reported late."""
SURGE_RANGE_BITS = 6
"""Keys that are equal but for this number of low bits are counted together in the search for
surges: when many neighbouring keys become busy, each of them still has few requests."""
DECAY_STEP_S = 0.1
"""Shortest interval in seconds between two updates of the decayed counts."""
COUNT_MINIMUM = 0.02
"""Counts that have decayed below this are dropped."""
WINDOW_MINIMUM_S = 0.4
"""Shortest time in seconds that is assumed to have passed since the first request."""
CONFIDENCE_DEVIATIONS = 1.0
"""Standard deviations between a rate and its lower bound, if requests are Poisson distributed;
a smaller difference may be random."""
UNIFORM_SHARE = 0.1
"""Fraction of the measured load that is also spread over all keys, so that keys without recent
requests have a rate."""
UNIFORM_RATE_MINIMUM = 1.0
"""Smallest uniform load of a service in requests/s."""


class KeyLoad:
    """Exponentially decayed request counts by key, with a long and a short time constant."""

    def __init__(self) -> None:
        self._started_at: float | None = None
        self._long_term_count_by_key: dict[int, float] = {}
        self._short_term_count_by_key: dict[int, float] = {}
        self._decayed_at = 0.0
        self._surge_found_at_by_range: dict[int, float] = {}

    def add(self, keys: Iterable[int], now: float) -> None:
        """Count one request for each key."""
        self._decay(now)
        if self._started_at is None:
            self._started_at = now
        mean_age_s = REPORT_INTERVAL_S / 2
        long_term_count = math.exp(-mean_age_s / DECAY_S)
        short_term_count = math.exp(-mean_age_s / FAST_DECAY_S)
        for key in keys:
            self._long_term_count_by_key[key] = (
                self._long_term_count_by_key.get(key, 0.0) + long_term_count
            )
            self._short_term_count_by_key[key] = (
                self._short_term_count_by_key.get(key, 0.0) + short_term_count
            )

    def _decay(self, now: float) -> None:
        elapsed_s = now - self._decayed_at
        if elapsed_s < DECAY_STEP_S:
            return
        self._decayed_at = now
        self._long_term_count_by_key = _decayed(
            self._long_term_count_by_key, math.exp(-elapsed_s / DECAY_S)
        )
        self._short_term_count_by_key = _decayed(
            self._short_term_count_by_key, math.exp(-elapsed_s / FAST_DECAY_S)
        )

    def snapshot(self, now: float, *, keys: int) -> Snapshot:
        """Return the rates at ``now`` for a key space of ``keys`` keys."""
        self._decay(now - REPORT_INTERVAL_S)
        window_s = self._window_s(now)
        rise_by_range = self._rise_by_range(window_s, now)
        rate_by_key = {
            key: count / window_s * rise_by_range.get(key >> SURGE_RANGE_BITS, 1.0)
            for key, count in self._long_term_count_by_key.items()
        }
        for key, count in self._short_term_count_by_key.items():
            if _is_surge(count, rate_by_key.get(key, 0.0)):
                rate_by_key[key] = count / FAST_DECAY_S
        return Snapshot(sorted(rate_by_key.items()), keys=keys, window_s=window_s)

    def _rise_by_range(self, window_s: float, now: float) -> dict[int, float]:
        """Return the short-term rate relative to the long-term rate for each range in a surge.

        Ranges are numbered by the high bits of their keys. How a range's rate is divided among its
        keys is taken from the long-term counts, which vary less.
        """
        long_term_count_by_range = _sum_by_range(self._long_term_count_by_key)
        found_at_by_range: dict[int, float] = {}
        rise_by_range: dict[int, float] = {}
        for number, count in _sum_by_range(self._short_term_count_by_key).items():
            long_term_rate = long_term_count_by_range.get(number, 0.0) / window_s
            if not _is_surge(count, long_term_rate):
                continue
            found_at = self._surge_found_at_by_range.get(number, now)
            found_at_by_range[number] = found_at
            age_s = now - found_at + SURGE_AGE_S
            short_window_s = FAST_DECAY_S * (1 - math.exp(-age_s / FAST_DECAY_S))
            rise_by_range[number] = count / short_window_s / long_term_rate
        self._surge_found_at_by_range = found_at_by_range
        return rise_by_range

    def _window_s(self, now: float) -> float:
        """Return the effective averaging time of the long-term counts; it grows up to `DECAY_S`."""
        if self._started_at is None:
            return DECAY_S
        elapsed_s = max(WINDOW_MINIMUM_S, now - self._started_at)
        return DECAY_S * (1 - math.exp(-elapsed_s / DECAY_S))


def _is_surge(short_term_count: float, long_term_rate: float) -> bool:
    predicted = long_term_rate * FAST_DECAY_S
    excess = short_term_count - predicted
    return short_term_count >= SURGE_COUNT and excess > SURGE_DEVIATIONS * math.sqrt(predicted)


def _sum_by_range(count_by_key: dict[int, float]) -> dict[int, float]:
    count_by_range: dict[int, float] = {}
    for key, count in count_by_key.items():
        number = key >> SURGE_RANGE_BITS
        count_by_range[number] = count_by_range.get(number, 0.0) + count
    return count_by_range


def _decayed(count_by_key: dict[int, float], factor: float) -> dict[int, float]:
    return {
        key: count * factor
        for key, count in count_by_key.items()
        if count * factor >= COUNT_MINIMUM
    }


class Snapshot:
    """Request rates of keys and ranges at one moment, in requests/s.

    Parameters
    ----------
    window_s : float
        Effective averaging time of the rates in seconds.
    """

    def __init__(
        self, rates: list[tuple[int, float]], *, keys: int, window_s: float = DECAY_S
    ) -> None:
        self._window_s = window_s
        self.keys = [key for key, _ in rates]
        self.rates = [rate for _, rate in rates]
        self._cumulative_rates = [0.0, *itertools.accumulate(self.rates)]
        measured = self._cumulative_rates[-1]
        self._uniform_rate_per_key = max(UNIFORM_RATE_MINIMUM, UNIFORM_SHARE * measured) / keys

    @property
    def total(self) -> float:
        """Measured rate of all keys, without the uniform part."""
        return self._cumulative_rates[-1]

    def rate_lower_bound(self, rate: float) -> float:
        """Return a lower confidence bound of a measured rate; few requests vary at random."""
        return max(0.0, rate - CONFIDENCE_DEVIATIONS * math.sqrt(rate / self._window_s))

    def index_range(self, start: int, end: int) -> tuple[int, int]:
        """Return the half-open index range of the measured keys in ``start..end`` inclusive."""
        return bisect.bisect_left(self.keys, start), bisect.bisect_right(self.keys, end)

    def rate(self, start: int, end: int) -> float:
        """Return the rate of a range, including its part of the uniform load."""
        first, last = self.index_range(start, end)
        return (
            self._cumulative_rates[last]
            - self._cumulative_rates[first]
            + self._uniform_rate_per_key * (end - start + 1)
        )

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
