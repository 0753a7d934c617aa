"""Limits on callers, and the log lines and counts of what exceeds them."""

from __future__ import annotations

import dataclasses
import enum
import functools
import logging
from collections.abc import Callable

from celerystack.limits import body_pace

_log = logging.getLogger(__name__)

LOG_INTERVAL_S = 5.0
"""Shortest time in seconds between two log lines about the same limit."""
BODY_S = 120.0
"""Default for the longest time in seconds in which a body may arrive. A request whose body takes
longer has passed the deadline of its route."""
BODY_PROGRESS_BYTES = 1024
"""Default for the least number of bytes of a body in each idle timeout."""
HEADER_S = 120.0
"""Longest time in seconds in which the head of a request may arrive, if none is configured."""


class Limit(enum.Enum):
    """A limit that a caller has exceeded."""

    BODY_SIZE = "body_size"
    MEMORY = "memory"
    BODY_PROGRESS = "body_progress"
    BODY_TIME = "body_time"
    HEADER_TIME = "header_time"
    MALFORMED = "malformed"
    UNREAD_RESPONSES = "unread_responses"
    CONNECTIONS = "connections"


@dataclasses.dataclass(frozen=True, kw_only=True)
class Limits:
    """Limits on a caller's request and its connection, in bytes and seconds.

    Attributes
    ----------
    body_progress_bytes : int
        Least number of bytes of a body that must arrive in each period of ``idle_s``.
    connections_max : int or None
        Number of open connections from which no more are accepted; None if there is no limit.
    """

    body_bytes_max: int = 1024 * 1024
    header_bytes_max: int = 32 * 1024
    header_count_max: int = 100
    idle_s: float = 60.0
    header_s: float = HEADER_S
    body_s: float = BODY_S
    body_progress_bytes: int = BODY_PROGRESS_BYTES
    connections_max: int | None = None

    @functools.cached_property
    def body_pace(self) -> body_pace.PaceLimits:
        """Limits on the time that a body takes."""
        return body_pace.PaceLimits(
            progress_bytes=self.body_progress_bytes, period_s=self.idle_s, whole_s=self.body_s
        )


class ExceededLimits:
    """Counts how often limits were exceeded; logs each at most once in `LOG_INTERVAL_S`.

    Parameters
    ----------
    on_exceeded : callable
        Called each time a limit was exceeded, for the metrics.
    """

    def __init__(self, on_exceeded: Callable[[Limit], None], *, now: Callable[[], float]) -> None:
        self._on_exceeded = on_exceeded
        self._now = now
        self._silent_until_by_limit: dict[Limit, float] = {}
        self._unlogged_by_limit: dict[Limit, int] = {}

    def note(self, limit: Limit, reason: str) -> None:
        """Count a request or connection that exceeded a limit."""
        self._on_exceeded(limit)
        count = self._unlogged_by_limit.get(limit, 0) + 1
        if self._now() < self._silent_until_by_limit.get(limit, float("-inf")):
            self._unlogged_by_limit[limit] = count
            return
        self._silent_until_by_limit[limit] = self._now() + LOG_INTERVAL_S
        self._unlogged_by_limit[limit] = 0
        _log.warning(
            "limit %s exceeded %d times since the last line: %s",
            limit.value,
            count,
            reason,
            extra={"step": "limits"},
        )
