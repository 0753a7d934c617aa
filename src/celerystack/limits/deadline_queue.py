"""Queue of the requests for one server, in the order of priority and deadline."""

from __future__ import annotations

import bisect
import dataclasses
import operator
from collections.abc import Callable
from typing import Generic, TypeVar

LENGTH_MAX = 512
"""Default of the maximum number of queued items."""
SERVICE_TIME_WEIGHT = 0.1
"""Weight of one observation in the moving average of the service time."""

T = TypeVar("T")


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Ordering:
    """Rules for items that are not expected to be answered by their due time.

    Attributes
    ----------
    late_behind_all : bool
        Whether late items go behind the items of all priorities that can still be answered in
        time; otherwise they go behind those of their own priority.
    work_margin : float
        Multiple of its expected service time that must fit before the due time of an item, so that
        it counts as in time. Above 1 it allows for service times above the average.
    """

    late_behind_all: bool = False
    work_margin: float = 1.0


BY_PRIORITY = Ordering()
"""Default: late items stay in front of those of less urgent priorities."""
IN_TIME_FIRST = Ordering(late_behind_all=True, work_margin=2.0)
"""For queues that see all requests for their servers: what can be answered in time goes first."""


@dataclasses.dataclass(slots=True)
class _Entry(Generic[T]):
    """A queued item; the attributes are those of `DeadlineQueue.push`.

    Attributes
    ----------
    number : int
        Number of arrival.
    can_become_late : bool
        Whether the item has a due time and is still expected to be answered by it.
    order : tuple
        Sort key; items with smaller ones go first.
    """

    item: T
    number: int
    priority: int
    due: float
    deadline: float
    service_time_s: float | None
    can_become_late: bool
    order: tuple[float, ...] = ()


_order = operator.attrgetter("order")


class DeadlineQueue(Generic[T]):
    """Bounded queue that sheds items which cannot be answered in time.

    Items are ordered by priority, where 0 is the most urgent, and by due time within it. Those that
    miss their due time go behind the others of their priority, or of all priorities, because an
    overloaded queue in the order of time alone would start each item when it has just become late.
    Items that cannot be answered before their deadline are shed: they would occupy the server in
    vain.

    Parameters
    ----------
    length_max : int
        Maximum number of items; beyond it the last item in order is shed.
    """

    def __init__(self, *, length_max: int = LENGTH_MAX, ordering: Ordering = BY_PRIORITY) -> None:
        self._length_max = length_max
        self._ordering = ordering
        self._entries: list[_Entry[T]] = []
        self._sequence = 0
        self._service_time_s = 0.0

    def __len__(self) -> int:
        return len(self._entries)

    def set_ordering(self, ordering: Ordering) -> None:
        """Change the order of the items that are added from now on."""
        self._ordering = ordering

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
        entry = _Entry(
            item, self._sequence, priority, due, deadline, service_time_s, due < deadline
        )
        self._insert(entry, is_late=False)
        self._move_late_items_back(now, concurrency)
        shed = self._shed_late(now, concurrency)
        if len(self._entries) > self._length_max:
            shed.append(self._entries.pop().item)
        return shed

    def _insert(self, entry: _Entry[T], *, is_late: bool) -> None:
        self._set_order(entry, is_late=is_late)
        bisect.insort(self._entries, entry, key=_order)

    def _set_order(self, entry: _Entry[T], *, is_late: bool) -> None:
        at = entry.deadline if is_late else entry.due
        if self._ordering.late_behind_all:
            entry.order = is_late, entry.priority, at, entry.number
        else:
            entry.order = entry.priority, is_late, at, entry.number

    def _move_late_items_back(self, now: float, concurrency: int) -> None:
        """Mark and move the items that are not expected to be answered by their due time.

        Like `_shed_late` it looks at each item at each push and therefore makes no calls.
        """
        average_s = self._service_time_s
        margin = self._ordering.work_margin
        step_s = average_s / concurrency
        ahead = 1
        is_sorted = True
        for entry in self._entries:
            if entry.can_become_late:
                own_s = entry.service_time_s
                work_s = average_s if own_s is None else own_s
                if now + ahead * step_s + margin * work_s > entry.due:
                    entry.can_become_late = is_sorted = False
                    self._set_order(entry, is_late=True)
                    continue
            ahead += 1
        if not is_sorted:
            self._entries.sort(key=_order)

    def _shed_late(self, now: float, concurrency: int) -> list[T]:
        """Remove and return the items that are not expected to be answered before their deadline.

        While items wait, ``concurrency`` requests are running. The item at position ``p`` starts
        when ``p + 1`` requests have finished, on average after ``(p + 1) / concurrency`` service
        times, and is answered one service time of its own later.
        """
        average_s = self._service_time_s
        step_s = average_s / concurrency
        ahead = 1
        shed: list[_Entry[T]] = []
        for entry in self._entries:
            own_s = entry.service_time_s
            work_s = average_s if own_s is None else own_s
            if now + ahead * step_s + work_s < entry.deadline:
                ahead += 1
            else:
                shed.append(entry)
        if shed:
            numbers = {entry.number for entry in shed}
            self._entries = [entry for entry in self._entries if entry.number not in numbers]
        return [entry.item for entry in shed]

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
            entry.can_become_late = False
            self._insert(entry, is_late=True)
        return None

    def _becomes_late(self, entry: _Entry[T], now: float) -> bool:
        work_s = self._ordering.work_margin * self._service_time_of(entry)
        return entry.can_become_late and now + work_s > entry.due

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
