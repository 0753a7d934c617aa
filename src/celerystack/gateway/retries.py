"""Share of one entry VM in the retry budget of all entry VMs."""

from __future__ import annotations

import collections

from celerystack import ids

SAFETY_FACTOR = 0.8
"""Fraction of the budget that is used; the rest covers repeated arrivals at servers that are
counted elsewhere, not by this VM."""
SLICES_PER_WINDOW = 10
"""Number of slices of a sliding window; each slice is dropped as a whole."""


class _SlidingWindow:
    """Counter over a sliding window, which is divided into slices."""

    def __init__(self, window_s: float) -> None:
        self._slice_s = window_s / SLICES_PER_WINDOW
        self._counts: collections.deque[tuple[int, int]] = collections.deque()
        self.total = 0

    def add(self, now: float) -> None:
        slice_index = int(now / self._slice_s)
        if self._counts and self._counts[-1][0] == slice_index:
            self._counts[-1] = (slice_index, self._counts[-1][1] + 1)
        else:
            self._counts.append((slice_index, 1))
        self.total += 1

    def expire(self, now: float) -> None:
        oldest = int(now / self._slice_s) - SLICES_PER_WINDOW
        while self._counts and self._counts[0][0] < oldest:
            self.total -= self._counts.popleft()[1]


class RetryBudgetShare:
    """Limits the retries of a service's requests to a fraction of its requests.

    Each VM may retry its own requests times the ratio, plus an equal share of the fixed allowance.
    Both are multiplied by `SAFETY_FACTOR`. The sum over all VMs stays within the budget without a
    shared counter.

    Parameters
    ----------
    ratio : float
        Retries per request.
    allowance : float
        Additional retries per window, over all VMs.
    window_s : float
        Length of the sliding window in seconds.
    """

    def __init__(self, *, ratio: float, allowance: float, window_s: float) -> None:
        self._ratio = ratio
        self._allowance = allowance
        self._window_s = window_s
        self._requests_by_service: dict[ids.ServiceName, _SlidingWindow] = {}
        self._retries_by_service: dict[ids.ServiceName, _SlidingWindow] = {}

    def on_request(self, service: ids.ServiceName, now: float) -> None:
        """Count a caller's request."""
        window = self._window(self._requests_by_service, service)
        window.expire(now)
        window.add(now)

    def try_retry(self, service: ids.ServiceName, now: float, *, entry_vms: int) -> bool:
        """Take one retry from the budget; return False if the budget is exhausted."""
        requests = self._window(self._requests_by_service, service)
        retries = self._window(self._retries_by_service, service)
        requests.expire(now)
        retries.expire(now)
        allowed = SAFETY_FACTOR * (self._ratio * requests.total + self._allowance / entry_vms)
        if retries.total + 1 > allowed:
            return False
        retries.add(now)
        return True

    def _window(
        self, by_service: dict[ids.ServiceName, _SlidingWindow], service: ids.ServiceName
    ) -> _SlidingWindow:
        window = by_service.get(service)
        if window is None:
            window = by_service[service] = _SlidingWindow(self._window_s)
        return window
