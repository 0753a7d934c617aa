"""Limits on the requests in flight from one entry VM: to one server, and to a service."""

from __future__ import annotations

from typing import Protocol

SHED_FACTOR = 0.5
"""Factor by which the limit is lowered when the server sheds a request."""
SLOW_FACTOR = 0.9
"""Factor by which the limit is lowered when the server counts as congested."""
SLOW_RATIO = 2.0
"""The server counts as congested when the average latency exceeds this multiple of the base
latency: the lowest observed one, which rises slowly if later answers are slower."""

AVERAGE_WEIGHT = 0.2
"""Weight of one answer in the average latency, so small that a single slow answer of a mixed
workload does not lower the limit."""

BASE_RISE_WEIGHT = 0.01
"""Weight with which the base latency follows slower answers, so that a lasting change of the
workload is not taken for congestion indefinitely."""

DECREASE_COOLDOWN_S = 0.05
"""Minimum time between decreases, because requests in flight at a decrease report the same
congestion again."""


class Limit(Protocol):
    """Limit on the number of requests in flight."""

    @property
    def limit(self) -> int:
        """Maximum number of requests in flight, at least 1."""

    @property
    def in_flight(self) -> int:
        """Number of requests in flight."""

    def try_start(self) -> bool:
        """Count a request as in flight if the limit allows; return whether it does."""

    def release(self) -> None:
        """Record that a request is no longer in flight."""


class FixedLimit:
    """Limit that changes only when it is set.

    Attributes
    ----------
    limit : int
        Maximum number of requests in flight, at least 1.
    """

    def __init__(self, limit: int) -> None:
        self.limit = limit
        self._in_flight = 0

    @property
    def in_flight(self) -> int:
        """Number of requests in flight."""
        return self._in_flight

    def try_start(self) -> bool:
        """Count a request as in flight if the limit allows; return whether it does."""
        if self._in_flight >= self.limit:
            return False
        self._in_flight += 1
        return True

    def release(self) -> None:
        """Record that a request is no longer in flight."""
        self._in_flight -= 1


class ConcurrencyLimit:
    """Limit with additive increase and multiplicative decrease, at least 1.

    Slow answers lower the limit at most to an equal share of the slots, because the server can run
    that many requests concurrently. Load shedding by the server lowers it as far as 1.

    Parameters
    ----------
    slots : int
        Requests that the server runs concurrently, for all entry VMs together.
    entry_vms : int
        Number of entry VMs that share the slots.
    maximum : int
        Upper bound of the limit.
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
        """Maximum number of requests in flight, at least 1."""
        return int(self._limit)

    @property
    def in_flight(self) -> int:
        """Number of requests in flight."""
        return self._in_flight

    def set_sharing(self, *, entry_vms: int, maximum: int) -> None:
        """Set the number of entry VMs that share the slots, and the upper bound of the limit."""
        self._maximum = max(1, maximum)
        self._fair_share = min(float(self._maximum), max(1.0, self._slots / max(1, entry_vms)))
        # The share grows when this VM becomes the only one that uses the slots.
        self._limit = min(max(self._limit, self._fair_share), float(self._maximum))

    def try_start(self) -> bool:
        """Count a request as in flight if the limit allows; return whether it does."""
        if self._in_flight >= int(self._limit):
            return False
        self._in_flight += 1
        return True

    def release(self) -> None:
        """Record that a request is no longer in flight."""
        self._in_flight -= 1

    def on_answer(self, latency_s: float, now: float) -> None:
        """Record the latency of a complete answer; raise the limit unless answers are slow.

        The limit rises by about one per round of requests in flight, and only while it is fully
        used.
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
        """Record that the server shed a request, and lower the limit."""
        self._decrease(SHED_FACTOR, 1.0, now)

    def _decrease(self, factor: float, floor: float, now: float) -> None:
        if now < self._cooldown_ends_at:
            return
        self._cooldown_ends_at = now + DECREASE_COOLDOWN_S
        self._limit = max(min(floor, self._limit), self._limit * factor)
