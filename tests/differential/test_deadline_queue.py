"""Differential test of `DeadlineQueue` against a list that each operation sorts again."""

from __future__ import annotations

import dataclasses

import testtools
from hypothesis import given, settings
from hypothesis import strategies as st

from celerystack.limits import deadline_queue, kind_shares

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
    share_min=st.sampled_from((0.0, 0.0, 0.7)),
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
    service_time_s: float | None
    late: bool = False
    reserved_s: float | None = None
    has_margin: bool = False

    @property
    def kind(self) -> str:
        return f"kind {self.priority}"


class NaiveQueue:
    """Reference implementation: a list that is sorted and searched at each operation."""

    def __init__(self, ordering: deadline_queue.Ordering) -> None:
        self.ordering = ordering
        self.shares = kind_shares.KindShares(ordering.share_min)
        self.entries: list[Entry] = []
        self.arrivals = 0
        self.service_time_s = 0.0

    def rare(self) -> frozenset[str]:
        return self.shares.served_too_rarely if self.ordering.share_min else frozenset()

    def ended(self, entries: list[Entry], *, served: bool) -> list[Item]:
        for one in entries:
            self.shares.record(one.kind, one.priority, served=served)
        return [one.item for one in entries]

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

    def reserved(self, entry: Entry) -> float:
        return self.own_time(entry) if entry.reserved_s is None else entry.reserved_s

    def reserve(self, entry: Entry, now: float) -> None:
        if self.ordering.work_margin > 1.0:
            reserved = self.ordering.work_margin * self.own_time(entry)
            if entry.due < entry.deadline:
                reserved = min(reserved, deadline_queue.RESERVED_SHARE_MAX * (entry.due - now))
            entry.reserved_s = max(self.own_time(entry), reserved)
            entry.has_margin = entry.reserved_s > self.own_time(entry)

    def misses_due_time(self, entry: Entry, start: float) -> bool:
        if entry.late or (entry.due >= entry.deadline and not entry.has_margin):
            return False
        return start > entry.due - self.reserved(entry)

    def push(self, entry: Entry, now: float, concurrency: int) -> list[Item]:
        if self.latest_start(entry) <= now:
            return [entry.item]
        self.arrivals += 1
        entry.arrival = self.arrivals
        self.reserve(entry, now)
        self.entries.append(entry)
        step = self.service_time_s / concurrency
        start = now + step
        for one in self.ordered():
            if self.misses_due_time(one, start):
                one.late = True
            else:
                start += step
        start = now + step
        shed = []
        for one in self.ordered():
            if start < self.latest_start(one):
                start += step
            else:
                shed.append(one)
        self.entries = [one for one in self.ordered() if one not in shed]
        if len(self.entries) > LENGTH_MAX:
            others = [one for one in self.entries if one.kind not in self.rare()]
            shed.append((others or self.entries)[-1])
            self.entries.remove(shed[-1])
        return self.ended(shed, served=False)

    def pop(self, now: float) -> Item | None:
        while self.entries:
            ordered = self.ordered()
            first = next((one for one in ordered if one.kind in self.rare()), ordered[0])
            if self.misses_due_time(first, now):
                first.late = True
                continue
            self.entries.remove(first)
            return self.ended([first], served=True)[0]
        return None

    def latest_start(self, entry: Entry) -> float:
        return entry.deadline - self.own_time(entry)

    def expire(self, now: float) -> list[Item]:
        expired = [one for one in self.ordered() if self.latest_start(one) <= now]
        self.entries = [one for one in self.entries if one not in expired]
        return self.ended(expired, served=False)

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
                        kind=entry.kind,
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
