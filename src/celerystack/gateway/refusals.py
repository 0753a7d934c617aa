"""Refusals that this VM generates, with the time at which the caller should come back."""

from __future__ import annotations

import random
from collections.abc import Iterable

from celerystack.gateway import calls, server_queue

RETRY_AFTER_MINIMUM_S = 0.05
"""Smallest retry time for a call that servers rejected; like the other retry times, in seconds."""
RETRY_AFTER_RECOVERING_S = 1.0
"""Retry time if the key has no owner now, or an unreachable one."""
RETRY_AFTER_UNREADY_S = 0.3
"""Retry time if the service is not configured, no server is left or the key is being moved."""
RETRY_AFTER_SILENT_S = 0.5
"""Retry time if the key's server does not answer requests."""
RETRY_AFTER_QUARANTINE_S = 30.0
"""Retry time for requests that are in quarantine because they crash servers."""
RETRY_AFTER_OVERLOAD_S = (0.15, 0.35)
"""Smallest range of the randomised retry time for callers of an overloaded server, so that they do
not all retry at once."""
RETRY_AFTER_OVERLOAD_TARGET_SHARES = (0.4, 0.8)
"""The same range in fractions of the route's target latency: where requests take longer, an
overload takes longer to end, and a caller that returns too soon is refused again."""
PAUSE_SPREAD = (1.0, 1.3)
"""Range of the randomised retry time for callers of a server that asked for a pause, in multiples
of the rest of the pause, so that they do not all return at its end."""


def refuse(reason: str, retry_after_s: float) -> calls.Refused:
    """Return a refusal with a retry time of at least `RETRY_AFTER_MINIMUM_S`."""
    return calls.Refused(reason=reason, retry_after_s=max(RETRY_AFTER_MINIMUM_S, retry_after_s))


def refuse_overload(call: calls.Call, reason: str) -> calls.Refused:
    """Return a refusal with a randomised retry time, which spreads the retries of callers."""
    target_s = call.route.target_latency_s
    earliest_s, latest_s = (
        max(minimum_s, share * target_s)
        for minimum_s, share in zip(
            RETRY_AFTER_OVERLOAD_S, RETRY_AFTER_OVERLOAD_TARGET_SHARES, strict=True
        )
    )
    return refuse(reason, random.uniform(earliest_s, latest_s))


def refuse_paused(
    paused: Iterable[server_queue.ServerQueue], reason: str, now: float
) -> calls.Refused:
    """Return a refusal that tells the caller to come back after the shortest pause."""
    rest_s = min(queue.paused_until for queue in paused) - now
    return refuse(reason, rest_s * random.uniform(*PAUSE_SPREAD))
