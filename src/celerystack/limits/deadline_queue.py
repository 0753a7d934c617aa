"""Queue of the requests for one server, in deadline order."""

from __future__ import annotations

import bisect
from collections.abc import Callable
from typing import Generic, TypeVar

LENGTH_MAX = 512
"""Default of the maximum number of queued items."""
SERVICE_TIME_WEIGHT = 0.1
"""Weight of one observation in the moving average of the service time."""

T = TypeVar("T")


class DeadlineQueue(Generic[T]):
    """Bounded queue in deadline order that sheds items which cannot be answered in time.

    A request that starts just before its deadline occupies the server but is answered too late.
    Without shedding, an overloaded queue in deadline order would start mostly such requests.

    Parameters
    ----------
    length_max : int
        Maximum number of items; beyond it the item with the latest deadline is shed.
    """

    def __init__(self, *, length_max: int = LENGTH_MAX) -> None:
        self._length_max = length_max
        self._entries: list[tuple[float, int, T]] = []
        self._sequence = 0
        self._service_time_s = 0.0

    def __len__(self) -> int:
        return len(self._entries)

    @property
    def service_time_s(self) -> float:
        """Moving average of the observed service time in seconds; 0 before any observation."""
        return self._service_time_s

    def observe(self, service_time_s: float) -> None:
        """Record the service time of a finished request."""
        if self._service_time_s == 0.0:
            self._service_time_s = service_time_s
        else:
            change = service_time_s - self._service_time_s
            self._service_time_s += SERVICE_TIME_WEIGHT * change

    def push(self, item: T, *, deadline: float, now: float, concurrency: int) -> list[T]:
        """Add an item and return the items that are shed as a result, possibly including it.

        Parameters
        ----------
        concurrency : int
            Number of requests that run concurrently, at least 1.
        """
        self._sequence += 1
        entry = (deadline, self._sequence, item)
        index = bisect.bisect_left(self._entries, entry[:2], key=lambda other: other[:2])
        self._entries.insert(index, entry)
        shed = self._shed_late(now, concurrency)
        if len(self._entries) > self._length_max:
            shed.append(self._entries.pop()[2])
        return shed

    def _shed_late(self, now: float, concurrency: int) -> list[T]:
        """Remove and return the items that are not expected to be answered before their deadline.

        While items wait, ``concurrency`` requests are running. The item at position ``p`` starts
        when ``p + 1`` requests have finished, on average after ``(p + 1) / concurrency`` service
        times, and is answered one service time later.
        """
        step_s = self._service_time_s / concurrency
        answered_from_start = now + self._service_time_s
        kept: list[tuple[float, int, T]] = []
        shed: list[T] = []
        for entry in self._entries:
            if answered_from_start + (len(kept) + 1) * step_s < entry[0]:
                kept.append(entry)
            else:
                shed.append(entry[2])
        self._entries = kept
        return shed

    def pop(self) -> T | None:
        """Remove and return the item with the earliest deadline; None if the queue is empty."""
        return self._entries.pop(0)[2] if self._entries else None

    def expire(self, now: float) -> list[T]:
        """Remove and return the items that can no longer be answered before their deadline."""
        latest = now + self._service_time_s
        count = bisect.bisect_right(self._entries, latest, key=lambda entry: entry[0])
        expired = [entry[2] for entry in self._entries[:count]]
        del self._entries[:count]
        return expired

    def remove(self, item: T) -> bool:
        """Remove an item, compared by identity; return whether it was queued."""
        for index, entry in enumerate(self._entries):
            if entry[2] is item:
                del self._entries[index]
                return True
        return False

    def remove_where(self, predicate: Callable[[T], bool]) -> list[T]:
        """Remove and return the items for which ``predicate`` is true."""
        removed = [entry[2] for entry in self._entries if predicate(entry[2])]
        self._entries = [entry for entry in self._entries if not predicate(entry[2])]
        return removed

    def next_expiry(self) -> float | None:
        """Return when the first item can no longer be answered in time; None if there is none."""
        return self._entries[0][0] - self._service_time_s if self._entries else None
