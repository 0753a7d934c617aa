"""Differential test of `DeadlineQueue` against a list that each operation sorts again."""

from __future__ import annotations

import dataclasses

import testtools
from hypothesis import given, settings
from hypothesis import strategies as st

from celerystack.limits import deadline_queue

LENGTH_MAX = 5
OPERATIONS = st.lists(
    st.tuples(
        st.sampled_from(("push", "push", "push", "pop", "expire", "remove", "observe")),
        st.integers(0, 20),
        st.integers(1, 3),
    ),
    max_size=60,
)
ORDERINGS = st.builds(
    deadline_queue.Ordering,
    late_behind_all=st.booleans(),
    work_margin=st.sampled_from((1.0, 1.5, 2.0)),
)


class Item:
    """A queued request; compared by identity."""


@dataclasses.dataclass
class Entry:
    """An item of the reference implementation and what it was queued with."""

    item: Item
    arrival: int
    priority: int
    due: float
    deadline: float
    service_time_s: float
    late: bool = False


class NaiveQueue:
    """Reference implementation: a list that is sorted and searched at each operation."""

    def __init__(self, ordering: deadline_queue.Ordering) -> None:
        self.ordering = ordering
        self.entries: list[Entry] = []
        self.arrivals = 0
        self.service_time_s = 0.0

    def ordered(self) -> list[Entry]:
        return sorted(
            self.entries,
            key=lambda one: (
                one.late and self.ordering.late_behind_all,
                one.priority,
                one.late,
                one.deadline if one.late else one.due,
                one.arrival,
            ),
        )

    def own_time(self, entry: Entry) -> float:
        return self.service_time_s if entry.service_time_s is None else entry.service_time_s

    def push(self, entry: Entry, now: float, concurrency: int) -> list[Item]:
        self.arrivals += 1
        entry.arrival = self.arrivals
        self.entries.append(entry)
        step = self.service_time_s / concurrency
        in_time = 0
        for one in self.ordered():
            reserved = self.ordering.work_margin * self.own_time(one)
            completion = now + (in_time + 1) * step + reserved
            if not one.late and one.due < one.deadline and completion > one.due:
                one.late = True
            else:
                in_time += 1
        kept, shed = [], []
        for one in self.ordered():
            completion = now + (len(kept) + 1) * step + self.own_time(one)
            (kept if completion < one.deadline else shed).append(one)
        shed += kept[LENGTH_MAX:]
        self.entries = kept[:LENGTH_MAX]
        return [one.item for one in shed]

    def pop(self, now: float) -> Item | None:
        while self.entries:
            first = self.ordered()[0]
            reserved = self.ordering.work_margin * self.own_time(first)
            missed = now + reserved > first.due
            if not first.late and first.due < first.deadline and missed:
                first.late = True
                continue
            self.entries.remove(first)
            return first.item
        return None

    def latest_start(self, entry: Entry) -> float:
        return entry.deadline - self.own_time(entry)

    def expire(self, now: float) -> list[Item]:
        expired = [one for one in self.ordered() if self.latest_start(one) <= now]
        self.entries = [one for one in self.entries if one not in expired]
        return [one.item for one in expired]

    def remove(self, item: Item) -> bool:
        length_before = len(self.entries)
        self.entries = [entry for entry in self.entries if entry.item is not item]
        return len(self.entries) < length_before


class DeadlineQueueTest(testtools.TestCase):
    @settings(max_examples=300)
    @given(OPERATIONS, ORDERINGS)
    def test_operations(self, operations, ordering) -> None:
        """Guards against items that are lost, duplicated, reordered or shed by mistake."""
        queue = deadline_queue.DeadlineQueue(length_max=LENGTH_MAX, ordering=ordering)
        naive = NaiveQueue(ordering)
        items: list[Item] = []
        now = 0.0
        for kind, number, concurrency in operations:
            now += 0.25
            match kind:
                case "push":
                    items.append(Item())
                    entry = Entry(
                        item=items[-1],
                        arrival=0,
                        priority=number % 3,
                        due=now + number / (4 if number % 5 else 2),
                        deadline=now + number / 2,
                        service_time_s=number / 32 if number % 2 else None,
                    )
                    shed = queue.push(
                        entry.item,
                        priority=entry.priority,
                        due=entry.due,
                        deadline=entry.deadline,
                        service_time_s=entry.service_time_s,
                        now=now,
                        concurrency=concurrency,
                    )
                    self.assertEqual(naive.push(entry, now, concurrency), shed)
                case "pop":
                    self.assertIs(naive.pop(now), queue.pop(now))
                case "expire":
                    self.assertEqual(naive.expire(now), queue.expire(now))
                case "remove" if items:
                    item = items[number % len(items)]
                    self.assertEqual(naive.remove(item), queue.remove(item))
                case "observe":
                    queue.observe(number / 16)
                    naive.service_time_s = queue.service_time_s
            self.assertEqual(len(naive.entries), len(queue))
            expiry = min(map(naive.latest_start, naive.entries), default=None)
            self.assertEqual(expiry, queue.next_expiry())
