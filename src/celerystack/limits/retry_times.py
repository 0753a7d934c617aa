"""When a caller whose request was refused for lack of capacity should repeat it."""

from __future__ import annotations

import random

RETRY_AFTER_MINIMUM_S = 0.05
"""Smallest retry time in seconds."""
TARGET_SHARE_MINIMUM = 0.4
"""Smallest retry time in fractions of the target latency: where requests take longer, an overload
takes longer to end, and a caller that returns too soon is refused again."""
REMAINING_SHARE_MAX = 1 / 3
"""Fraction of the remaining time up to which callers honour a retry time."""
SPREAD = 1.5
"""Ratio of the largest to the smallest retry time in the same situation, so that callers that are
refused together don't return together."""


def retry_after_s(
    *,
    calls_ahead: int,
    concurrency: int,
    service_time_s: float,
    target_latency_s: float,
    remaining_s: float,
    random_fraction: float | None = None,
) -> float:
    """Return when a caller should repeat a refused request, in seconds from now.

    While an answer within the target latency is still possible, that is when the calls ahead are
    expected to have started. Otherwise it is at least as late as callers accept: others arrive
    while the calls ahead are started, and a caller that returns earlier is refused more often.

    Parameters
    ----------
    calls_ahead : int
        Number of queued calls that would be started before one of the caller's priority.
    concurrency : int
        Number of calls that run concurrently, at least 1.
    service_time_s : float
        Mean service time in seconds.
    target_latency_s : float
        Target latency of the caller's route in seconds.
    remaining_s : float
        Time until the caller's deadline in seconds.
    random_fraction : float or None
        Position within the range of retry times, from 0 to 1; None for a random one.
    """
    fraction = random.random() if random_fraction is None else random_fraction
    capacity_in_s = (calls_ahead + 1) * service_time_s / concurrency
    earliest_s = max(capacity_in_s, TARGET_SHARE_MINIMUM * target_latency_s)
    if capacity_in_s + service_time_s > target_latency_s:
        earliest_s = max(earliest_s, REMAINING_SHARE_MAX * remaining_s)
    return max(RETRY_AFTER_MINIMUM_S, earliest_s * (1.0 + (SPREAD - 1.0) * fraction))
