"""Retry budget: retries are limited to a share of the traffic."""

from __future__ import annotations

EARNED_SHARE = 0.95
"""Part of the ratio that each request earns. The rest makes up for saved and minimum retries, with
which the amplification of a 30 s brown-out was 1.104 at a ratio of 0.1 (measurements.retries)."""
TOKENS_MAX = 10.0
"""Largest number of saved retries. Enough for the requests in flight on a server that is lost, and
too few to matter when all servers fail at once."""
MINIMUM_PER_S = 0.1
"""Retries/s that are allowed however little traffic there is."""


class RetryBudget:
    """Token bucket that earns nearly ``ratio`` tokens per request and a small fixed rate.

    A retry takes one token. In any interval the number of retries is at most `EARNED_SHARE` times
    ``ratio`` times the first attempts, plus `MINIMUM_PER_S` times the seconds, plus `SAVED_MAX`. At
    100 requests/s that is less than ``ratio`` times the first attempts from 25 s on, for a ratio of
    0.1. Retries earn nothing.

    Parameters
    ----------
    ratio : float
        Retries per first attempt, 0 to 1. With 0 no retry is allowed at all.
    """

    def __init__(self, ratio: float = 0.1) -> None:
        self._ratio = ratio
        self._tokens = 1.0 if ratio > 0.0 else 0.0
        self._refilled_at: float | None = None

    def on_request(self, now: float) -> None:
        """Record a first attempt at ``now`` (seconds)."""
        self._refill(now)
        self._tokens = min(TOKENS_MAX, self._tokens + EARNED_SHARE * self._ratio)

    def try_retry(self, now: float) -> bool:
        """Take a token; return False, without effect, if no retry is allowed."""
        self._refill(now)
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True

    def _refill(self, now: float) -> None:
        last = now if self._refilled_at is None else self._refilled_at
        self._refilled_at = max(now, last)
        if self._ratio > 0.0:
            gained = MINIMUM_PER_S * (self._refilled_at - last)
            self._tokens = min(TOKENS_MAX, self._tokens + gained)
