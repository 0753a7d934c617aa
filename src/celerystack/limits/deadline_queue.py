"""Queue of the requests for one or more servers, in the order of priority and deadline."""

from __future__ import annotations

import bisect
import dataclasses
import math
import operator
from collections.abc import Callable
from typing import Generic, TypeVar

from celerystack.limits import kind_shares

LENGTH_MAX = 512
"""Default of the maximum number of queued items."""
SERVICE_TIME_WEIGHT = 0.1
"""Weight of one observation in the moving average of the service time."""

RESERVED_SHARE_MAX = 0.65
"""Largest fraction of the time from an item's arrival to its due time that a work margin above 1
reserves. Without it, items of long work would count as late from the start."""

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
        it counts as in time. Above 1 it allows for service times above the average. It takes at
        most `RESERVED_SHARE_MAX` of the time until the due time, but one service time; for items
        that are due at their deadline, such as repeated requests, it is not limited.
    share_min : float
        Items of kinds that are served too rarely go first; see `kind_shares.KindShares`. With 0,
        kinds make no difference.
    """

    late_behind_all: bool = False
    work_margin: float = 1.0
    share_min: float = 0.0


BY_PRIORITY = Ordering()
"""Default: late items stay in front of those of less urgent priorities."""
IN_TIME_FIRST = Ordering(late_behind_all=True, work_margin=2.0, share_min=0.3)
"""For queues that see all requests for their servers: what can be answered in time goes first. No
kind may be served less than a quarter as often as all; the rest is for the error of the counts."""


@dataclasses.dataclass(slots=True)
class _Entry(Generic[T]):
    """A queued item; the attributes are those of `DeadlineQueue.push`.

    Attributes
    ----------
    number : int
        Number of arrival.
    has_own_time : bool
        Whether the item has a service time of its own, other than the average.
    latest_start : float
        Time at which the item must start to be answered by its deadline.
    latest_start_in_time : float
        The same for its due time, with the work margin; infinite if the item cannot become late or
        is late already.
    order : tuple
        Sort key; items with smaller ones go first.
    """

    item: T
    number: int
    kind: str
    priority: int
    due: float
    deadline: float
    has_own_time: bool
    latest_start: float
    latest_start_in_time: float
    order: tuple[float, ...] = ()


_order = operator.attrgetter("order")
_latest_start = operator.attrgetter("latest_start")


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
    miss their due time go behind the others of their priority, or of all priorities, because an
    overloaded queue in the order of time alone would start each item when it has just become late.
    Items that cannot be answered before their deadline are shed: they would occupy the server in
    vain.

    Parameters
    ----------
    length_max : int
        Maximum number of items; beyond it the last item in order is shed.
    ordering : Ordering
        Order of the items.
    """

    def __init__(self, *, length_max: int = LENGTH_MAX, ordering: Ordering = BY_PRIORITY) -> None:
        self._length_max = length_max
        self._ordering = ordering
        self._entries: list[_Entry[T]] = []
        self._sequence = 0
        self._service_time_s = 0.0
        self._uses_average = False
        self._shares = kind_shares.KindShares(ordering.share_min) if ordering.share_min else None

    def __len__(self) -> int:
        return len(self._entries)

    @property
    def ordering(self) -> Ordering:
        """Order of the items that are added."""
        return self._ordering

    def count_up_to(self, priority: int) -> int:
        """Return the number of items that are at least as urgent as a priority."""
        return sum(entry.priority <= priority for entry in self._entries)

    def set_ordering(self, ordering: Ordering) -> None:
        """Change the order of the items that are added from now on."""
        if ordering != self._ordering:
            self._ordering = ordering
            self._shares = (
                kind_shares.KindShares(ordering.share_min) if ordering.share_min else None
            )

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
        if self._uses_average:
            self._follow_average()

    def _follow_average(self) -> None:
        for entry in self._entries:
            if not entry.has_own_time:
                entry.latest_start = entry.deadline - self._service_time_s
                if entry.latest_start_in_time < math.inf and self._ordering.work_margin <= 1.0:
                    entry.latest_start_in_time = entry.due - self._service_time_s

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
        kind: str = "",
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
        kind : str
            Kind of the item, for `Ordering.share_min`.
        """
        due = deadline if due is None else min(due, deadline)
        work_s = self._service_time_s if service_time_s is None else service_time_s
        if deadline - work_s <= now:
            # Repeated requests that have no time left: they say nothing about their kind's share.
            return [item]
        self._uses_average |= service_time_s is None
        self._sequence += 1
        reserved_s = self._reserved_s(work_s, due - now if due < deadline else math.inf)
        can_be_late = due < deadline or reserved_s > work_s
        entry = _Entry(
            item=item,
            number=self._sequence,
            kind=kind,
            priority=priority,
            due=due,
            deadline=deadline,
            has_own_time=service_time_s is not None,
            latest_start=deadline - work_s,
            latest_start_in_time=due - reserved_s if can_be_late else math.inf,
        )
        self._insert(entry, is_late=False)
        self._move_late_items_back(now, concurrency)
        shed = self._shed_late(now, concurrency)
        if len(self._entries) > self._length_max:
            shed.append(self._shed_last())
        return [self._end(entry, served=False) for entry in shed]

    def _reserved_s(self, work_s: float, available_s: float) -> float:
        """Return the time to reserve for an item, given the time until its due time."""
        with_margin_s = self._ordering.work_margin * work_s
        return max(work_s, min(with_margin_s, RESERVED_SHARE_MAX * available_s))

    def _shed_last(self) -> _Entry[T]:
        """Remove and return the last item, if possible of a kind that is not served too rarely."""
        if rare := self._kinds_served_too_rarely():
            for index in reversed(range(len(self._entries))):
                if self._entries[index].kind not in rare:
                    return self._entries.pop(index)
        return self._entries.pop()

    def _kinds_served_too_rarely(self) -> frozenset[str]:
        return frozenset() if self._shares is None else self._shares.served_too_rarely

    def _end(self, entry: _Entry[T], *, served: bool) -> T:
        """Record the outcome of an item that was removed, and return it."""
        if self._shares is not None:
            self._shares.record(entry.kind, entry.priority, served=served)
        return entry.item

    def note_started(self, *, kind: str, priority: int) -> None:
        """Record that an item was started without being queued."""
        if self._shares is not None:
            self._shares.record(kind, priority, served=True)

    def _insert(self, entry: _Entry[T], *, is_late: bool) -> None:
        at = entry.deadline if is_late else entry.due
        if self._ordering.late_behind_all:
            entry.order = is_late, entry.priority, at, entry.number
        else:
            entry.order = entry.priority, is_late, at, entry.number
        bisect.insort(self._entries, entry, key=_order)

    def _insert_late(self, entry: _Entry[T]) -> None:
        entry.latest_start_in_time = math.inf
        self._insert(entry, is_late=True)

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
        """Move the items back that are not expected to be answered by their due time.

        Like `_shed_late` it looks at each item at each push and therefore makes no calls.
        """
        candidates = self._entries
        if self._ordering.late_behind_all:
            candidates = candidates[: bisect.bisect_left(candidates, (True,), key=_order)]
        step_s = self._service_time_s / concurrency
        starts_at = now + step_s
        late: list[int] = []
        for index, entry in enumerate(candidates):
            if starts_at <= entry.latest_start_in_time:
                starts_at += step_s
            else:
                late.append(index)
        for entry in self._take(late):
            self._insert_late(entry)

    def _shed_late(self, now: float, concurrency: int) -> list[_Entry[T]]:
        """Remove and return the items that are not expected to be answered before their deadline.

        While items wait, ``concurrency`` requests are running. The item at position ``p`` starts
        when ``p + 1`` requests have finished, on average after ``(p + 1) / concurrency`` service
        times, and is answered one service time of its own later.
        """
        step_s = self._service_time_s / concurrency
        starts_at = now + step_s
        late: list[int] = []
        for index, entry in enumerate(self._entries):
            if starts_at < entry.latest_start:
                starts_at += step_s
            else:
                late.append(index)
        return self._take(late)

    def _take(self, indices: list[int]) -> list[_Entry[T]]:
        """Remove and return the entries at ascending indices."""
        taken = [self._entries[index] for index in indices]
        for index in reversed(indices):
            del self._entries[index]
        return taken

    def pop(self, now: float | None = None) -> T | None:
        """Remove and return the first item; None if the queue is empty.

        At the time ``now``, items that have become late since they were queued go behind others.
        """
        while self._entries:
            entry = self._entries.pop(self._first_index())
            if now is None or now <= entry.latest_start_in_time:
                return self._end(entry, served=True)
            self._insert_late(entry)
        return None

    def _first_index(self) -> int:
        """Return the index of the item to start next."""
        if rare := self._kinds_served_too_rarely():
            for index, entry in enumerate(self._entries):
                if entry.kind in rare:
                    return index
        return 0

    def expire(self, now: float) -> list[T]:
        """Remove and return the items that can no longer be answered before their deadline."""
        expired = [entry for entry in self._entries if entry.latest_start <= now]
        if expired:
            self._entries = [entry for entry in self._entries if entry.latest_start > now]
        return [self._end(entry, served=False) for entry in expired]

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
        return min(map(_latest_start, self._entries), default=None)
