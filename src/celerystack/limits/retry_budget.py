"""Retry budget, which limits retries to a fraction of the traffic."""

from __future__ import annotations

EARNED_SHARE = 0.95
"""Fraction of the ratio that each request earns. The rest compensates for saved tokens and
`MINIMUM_PER_S`: if requests earned the full ratio of 0.1, the amplification in a 30 s partial
outage would be 1.104, above the target of 1.1 (simulated by `measurements.retries`)."""
TOKENS_MAX = 10.0
"""Capacity of the token bucket. Enough to retry the requests in flight on a lost server, and too
little to add noticeable load when all servers fail at once."""
MINIMUM_PER_S = 0.1
"""Retries/s that are allowed even without traffic."""


class RetryBudget:
    """Token bucket that gains nearly ``ratio`` tokens per request and a small fixed rate.

    A retry takes one token. In any interval the number of retries is at most `EARNED_SHARE` times
    ``ratio`` times the first attempts, plus `MINIMUM_PER_S` times the seconds, plus `TOKENS_MAX`.
    At 100 requests/s and a ratio of 0.1 that is less than ``ratio`` times the first attempts for
    intervals of 25 s or more. Retries earn no tokens.

    Parameters
    ----------
    ratio : float
        Retries per first attempt, 0 to 1; with 0 no retry is ever allowed.
    """

    def __init__(self, ratio: float = 0.1) -> None:
        self._ratio = ratio
        self._tokens = 1.0 if ratio > 0.0 else 0.0
        self._refilled_at: float | None = None

    def on_request(self, now: float) -> None:
        """Record a first attempt at the clock time ``now`` in seconds."""
        self._refill(now)
        self._tokens = min(TOKENS_MAX, self._tokens + EARNED_SHARE * self._ratio)

    def try_retry(self, now: float) -> bool:
        """Take a token; return False if there is none, so that no retry is allowed."""
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
