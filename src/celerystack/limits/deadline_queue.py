"""Queue of the requests for one server, in the order of priority and deadline."""

from __future__ import annotations

import bisect
import dataclasses
from collections.abc import Callable
from typing import Generic, TypeVar

LENGTH_MAX = 512
"""Default of the maximum number of queued items."""
SERVICE_TIME_WEIGHT = 0.1
"""Weight of one observation in the moving average of the service time."""

T = TypeVar("T")


@dataclasses.dataclass(slots=True)
class _Entry(Generic[T]):
    """A queued item; the attributes are those of `DeadlineQueue.push`.

    Attributes
    ----------
    number : int
        Number of arrival.
    is_late : bool
        Whether the item is not expected to be answered by the time at which it is due.
    """

    item: T
    number: int
    priority: int
    due: float
    deadline: float
    service_time_s: float | None
    is_late: bool = False

    @property
    def order(self) -> tuple[int, bool, float, int]:
        """Sort key; items with smaller ones go first."""
        at = self.deadline if self.is_late else self.due
        return self.priority, self.is_late, at, self.number


@dataclasses.dataclass(frozen=True, slots=True)
class Prospect:
    """What a queue would do with an item that is added now.

    Attributes
    ----------
    ahead : int
        Number of items that go before it.
    wait_s : float
        Expected time in seconds until it starts.
    retry_s : float or None
        None if the item would be queued. If it would be shed, the expected time in seconds until an
        item with as much time would not be, provided that no other items arrive.
    """

    ahead: int
    wait_s: float
    retry_s: float | None


class DeadlineQueue(Generic[T]):
    """Bounded queue that sheds items which cannot be answered in time.

    Items are ordered by priority, where 0 is the most urgent, and by due time within it. Those that
    miss their due time go behind the others of their priority, because an overloaded queue in the
    order of time alone would start each item when it has just become late. Items that cannot be
    answered before their deadline are shed: they would occupy the server in vain.

    Parameters
    ----------
    length_max : int
        Maximum number of items; beyond it the last item in order is shed.
    """

    def __init__(self, *, length_max: int = LENGTH_MAX) -> None:
        self._length_max = length_max
        self._entries: list[_Entry[T]] = []
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

    def push(
        self,
        item: T,
        *,
        deadline: float,
        now: float,
        concurrency: int,
        priority: int = 0,
        due: float | None = None,
        service_time_s: float | None = None,
    ) -> list[T]:
        """Add an item and return the items that are shed as a result, possibly including it.

        Parameters
        ----------
        concurrency : int
            Number of requests that run concurrently, at least 1.
        priority : int
            Rank of the item; 0 is the most urgent.
        due : float or None
            Time by which the answer is wanted; None for the deadline.
        service_time_s : float or None
            Expected service time of the item in seconds; None for the average of all items.
        """
        self._sequence += 1
        due = deadline if due is None else min(due, deadline)
        entry = _Entry(item, self._sequence, priority, due, deadline, service_time_s)
        bisect.insort(self._entries, entry, key=_order)
        self._move_late_items_back(now, concurrency)
        shed = self._shed_late(now, concurrency)
        if len(self._entries) > self._length_max:
            shed.append(self._entries.pop().item)
        return shed

    def prospect(self, *, deadline: float, now: float, concurrency: int) -> Prospect:
        """Return what `push` would do with an item of priority 0; changes nothing.

        The maximum length of the queue is not considered.
        """
        order = (0, False, deadline, self._sequence + 1)
        ahead = bisect.bisect_left(self._entries, order, key=_order)
        step_s = self._service_time_s / concurrency
        wait_s = (ahead + 1) * step_s
        late_s = now + wait_s + self._service_time_s - deadline
        if late_s < 0.0:
            return Prospect(ahead, wait_s, None)
        if late_s <= ahead * step_s:
            return Prospect(ahead, wait_s, late_s)
        # Even the first item of the queue would be late, so only one that finds no queue is taken.
        return Prospect(ahead, wait_s, (len(self._entries) + 1) * step_s)

    def _move_late_items_back(self, now: float, concurrency: int) -> None:
        step_s = self._service_time_s / concurrency
        ahead = 0
        is_sorted = True
        for entry in self._entries:
            answered_at = now + (ahead + 1) * step_s + self._service_time_of(entry)
            if entry.is_late or entry.due == entry.deadline or answered_at <= entry.due:
                ahead += 1
            else:
                entry.is_late = True
                is_sorted = False
        if not is_sorted:
            self._entries.sort(key=_order)

    def _shed_late(self, now: float, concurrency: int) -> list[T]:
        """Remove and return the items that are not expected to be answered before their deadline.

        While items wait, ``concurrency`` requests are running. The item at position ``p`` starts
        when ``p + 1`` requests have finished, on average after ``(p + 1) / concurrency`` service
        times, and is answered one service time of its own later.
        """
        step_s = self._service_time_s / concurrency
        kept: list[_Entry[T]] = []
        shed: list[T] = []
        for entry in self._entries:
            starts_at = now + (len(kept) + 1) * step_s
            if starts_at + self._service_time_of(entry) < entry.deadline:
                kept.append(entry)
            else:
                shed.append(entry.item)
        self._entries = kept
        return shed

    def _service_time_of(self, entry: _Entry[T]) -> float:
        return self._service_time_s if entry.service_time_s is None else entry.service_time_s

    def _latest_start(self, entry: _Entry[T]) -> float:
        return entry.deadline - self._service_time_of(entry)

    def pop(self, now: float | None = None) -> T | None:
        """Remove and return the first item; None if the queue is empty.

        At the time ``now``, items that have become late since they were queued go behind others.
        """
        while self._entries:
            entry = self._entries.pop(0)
            if now is None or not self._becomes_late(entry, now):
                return entry.item
            entry.is_late = True
            bisect.insort(self._entries, entry, key=_order)
        return None

    def _becomes_late(self, entry: _Entry[T], now: float) -> bool:
        has_due_time = not entry.is_late and entry.due < entry.deadline
        return has_due_time and now + self._service_time_of(entry) > entry.due

    def expire(self, now: float) -> list[T]:
        """Remove and return the items that can no longer be answered before their deadline."""
        expired = [entry for entry in self._entries if self._latest_start(entry) <= now]
        if expired:
            self._entries = [entry for entry in self._entries if self._latest_start(entry) > now]
        return [entry.item for entry in expired]

    def remove(self, item: T) -> bool:
        """Remove an item, compared by identity; return whether it was queued."""
        for index, entry in enumerate(self._entries):
            if entry.item is item:
                del self._entries[index]
                return True
        return False

    def remove_where(self, predicate: Callable[[T], bool]) -> list[T]:
        """Remove and return the items for which ``predicate`` is true."""
        removed = [entry.item for entry in self._entries if predicate(entry.item)]
        if removed:
            self._entries = [entry for entry in self._entries if not predicate(entry.item)]
        return removed

    def next_expiry(self) -> float | None:
        """Return when an item can first no longer be answered in time; None if there is none."""
        return min(map(self._latest_start, self._entries), default=None)


def _order(entry: _Entry[T]) -> tuple[int, bool, float, int]:
    return entry.order
