"""Adaptive bound on the requests in flight from one entry VM to one server."""

from __future__ import annotations

SHED_FACTOR = 0.5
SLOW_FACTOR = 0.9
SLOW_RATIO = 2.0
"""An answer that takes longer than this multiple of the base latency counts as congestion."""

AVERAGE_WEIGHT = 0.2
"""Weight of one answer in the average that is compared with the base latency; a single slow answer
of a mixed workload must not lower the limit."""

BASE_RISE_WEIGHT = 0.01
"""Part of the difference by which the base latency follows slower answers, so that a lasting change
of the workload is not taken for congestion for ever."""

DECREASE_COOLDOWN_S = 0.05
"""Requests in flight at a decrease report the same congestion again; they must not count twice."""


class ConcurrencyLimit:
    """Additive increase, multiplicative decrease; never below 1.

    Slow answers lower the limit at most to an equal share of the slots, which the server can run
    at the same time; shedding lowers it to 1.

    Parameters
    ----------
    slots : int
        Concurrent executions of the server, shared by all entry VMs.
    entry_vms : int
        Entry VMs that share them.
    maximum : int
        Largest limit.
    """

    def __init__(self, *, slots: int, entry_vms: int = 1, maximum: int) -> None:
        self._slots = slots
        self._in_flight = 0
        self._base_s = 0.0
        self._average_s = 0.0
        self._cooldown_ends_at = float("-inf")
        self._maximum = 1
        self._fair_share = 1.0
        self._limit = 1.0
        self.set_sharing(entry_vms=entry_vms, maximum=maximum)
        self._limit = self._fair_share

    @property
    def limit(self) -> int:
        """Requests that may be in flight, at least 1."""
        return int(self._limit)

    @property
    def in_flight(self) -> int:
        """Requests in flight."""
        return self._in_flight

    def set_sharing(self, *, entry_vms: int, maximum: int) -> None:
        """Change the number of entry VMs that share the slots, and the largest limit."""
        self._maximum = max(1, maximum)
        self._fair_share = min(float(self._maximum), max(1.0, self._slots / max(1, entry_vms)))
        self._limit = min(self._limit, float(self._maximum))

    def try_start(self) -> bool:
        """Take a place if there is one."""
        if self._in_flight >= int(self._limit):
            return False
        self._in_flight += 1
        return True

    def release(self) -> None:
        """Give back a place."""
        self._in_flight -= 1

    def on_answer(self, latency_s: float, now: float) -> None:
        """Record a complete answer; raises the limit unless the answer was slow.

        The limit rises by one per round of answers, and only while it is in use.
        """
        if self._base_s == 0.0:
            self._base_s = self._average_s = latency_s
        self._base_s = min(latency_s, self._base_s + BASE_RISE_WEIGHT * (latency_s - self._base_s))
        self._average_s += AVERAGE_WEIGHT * (latency_s - self._average_s)
        if self._average_s > SLOW_RATIO * self._base_s:
            self._decrease(SLOW_FACTOR, self._fair_share, now)
        elif self._in_flight + 1 >= int(self._limit):
            self._limit = min(float(self._maximum), self._limit + 1.0 / self._limit)

    def on_shed(self, now: float) -> None:
        """Record that the server shed a request."""
        self._decrease(SHED_FACTOR, 1.0, now)

    def _decrease(self, factor: float, floor: float, now: float) -> None:
        if now < self._cooldown_ends_at:
            return
        self._cooldown_ends_at = now + DECREASE_COOLDOWN_S
        self._limit = max(min(floor, self._limit), self._limit * factor)
