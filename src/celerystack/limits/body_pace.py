"""Least progress of a body that is being received, and the time for the whole of it."""

from __future__ import annotations

import dataclasses
import enum


class Lateness(enum.Enum):
    """Why a body is not waited for any longer."""

    PROGRESS = "too little of the request body arrived"
    WHOLE = "the request body took too long"


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class PaceLimits:
    """Limits on the time that a body takes.

    Attributes
    ----------
    progress_bytes : int
        Least number of bytes that must arrive in each period of ``period_s`` seconds.
    whole_s : float
        Longest time in seconds from the first to the last byte.
    """

    progress_bytes: int
    period_s: float
    whole_s: float


class BodyPace:
    """Progress of one body.

    Attributes
    ----------
    advanced_at : float
        Clock time in seconds at which the last bytes arrived.
    """

    __slots__ = ("_limits", "_period_bytes", "_period_until", "_whole_until", "advanced_at")

    def __init__(self, limits: PaceLimits, *, now: float) -> None:
        self._limits = limits
        self._whole_until = now + limits.whole_s
        self._period_until = now + limits.period_s
        self._period_bytes = 0
        self.advanced_at = now

    def check(self, received_bytes: int, now: float) -> Lateness | None:
        """Return why the body is too late, given its bytes so far; None if it is not."""
        if now >= self._whole_until:
            return Lateness.WHOLE
        if now < self._period_until:
            return None
        if received_bytes - self._period_bytes < self._limits.progress_bytes:
            return Lateness.PROGRESS
        self._period_until = now + self._limits.period_s
        self._period_bytes = received_bytes
        return None
