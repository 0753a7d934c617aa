"""Differential test of `DeadlineQueue` against a list that each operation sorts again."""

from __future__ import annotations

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


class Item:
    """A queued request; compared by identity."""


class NaiveQueue:
    """Reference implementation: a list of (deadline, arrival number, item)."""

    def __init__(self) -> None:
        self.entries: list[tuple[float, int, Item]] = []
        self.arrivals = 0
        self.service_time_s = 0.0

    def ordered(self) -> list[tuple[float, int, Item]]:
        return sorted(self.entries, key=lambda entry: entry[:2])

    def push(self, item: Item, deadline: float, now: float, concurrency: int) -> list[Item]:
        self.arrivals += 1
        self.entries.append((deadline, self.arrivals, item))
        kept, shed = [], []
        for entry in self.ordered():
            start = now + self.service_time_s
            completion = start + (len(kept) + 1) * (self.service_time_s / concurrency)
            (kept if completion < entry[0] else shed).append(entry)
        shed += kept[LENGTH_MAX:]
        self.entries = kept[:LENGTH_MAX]
        return [entry[2] for entry in shed]

    def pop(self) -> Item | None:
        if not self.entries:
            return None
        first = self.ordered()[0]
        self.entries.remove(first)
        return first[2]

    def expire(self, now: float) -> list[Item]:
        expiry_limit = now + self.service_time_s
        expired = [entry for entry in self.ordered() if entry[0] <= expiry_limit]
        self.entries = [entry for entry in self.entries if entry[0] > expiry_limit]
        return [entry[2] for entry in expired]

    def remove(self, item: Item) -> bool:
        length_before = len(self.entries)
        self.entries = [entry for entry in self.entries if entry[2] is not item]
        return len(self.entries) < length_before


class DeadlineQueueTest(testtools.TestCase):
    @settings(max_examples=300)
    @given(OPERATIONS)
    def test_operations(self, operations) -> None:
        """Guards against items that are lost, duplicated, reordered or shed by mistake."""
        queue = deadline_queue.DeadlineQueue(length_max=LENGTH_MAX)
        naive = NaiveQueue()
        items: list[Item] = []
        now = 0.0
        for kind, number, concurrency in operations:
            now += 0.25
            match kind:
                case "push":
                    items.append(Item())
                    deadline = now + number / 2
                    shed = queue.push(
                        items[-1], deadline=deadline, now=now, concurrency=concurrency
                    )
                    self.assertEqual(naive.push(items[-1], deadline, now, concurrency), shed)
                case "pop":
                    self.assertIs(naive.pop(), queue.pop())
                case "expire":
                    self.assertEqual(naive.expire(now), queue.expire(now))
                case "remove" if items:
                    item = items[number % len(items)]
                    self.assertEqual(naive.remove(item), queue.remove(item))
                case "observe":
                    queue.observe(number / 16)
                    naive.service_time_s = queue.service_time_s
            self.assertEqual(len(naive.entries), len(queue))
            earliest = min((entry[0] for entry in naive.entries), default=None)
            expiry = None if earliest is None else earliest - naive.service_time_s
            self.assertEqual(expiry, queue.next_expiry())
