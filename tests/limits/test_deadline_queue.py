"""Tests of the order, the shedding and the length limit of the deadline queue."""

from __future__ import annotations

import hypothesis
import testtools
from hypothesis import strategies

from celerystack.limits import deadline_queue


class DeadlineQueueTest(testtools.TestCase):
    def queue(self, service_time_s=0.0, **options):
        queue = deadline_queue.DeadlineQueue(**options)
        if service_time_s:
            queue.observe(service_time_s)
        return queue

    def push(self, queue, item, deadline, *, now=0.0, concurrency=1):
        return queue.push(item, deadline=deadline, now=now, concurrency=concurrency)

    def test_deadline_order_and_arrival_order_within_it(self):
        """Guards against requests that wait behind requests with later deadlines."""
        queue = self.queue()
        for item, deadline in (("c", 3.0), ("a", 1.0), ("b1", 2.0), ("b2", 2.0)):
            self.assertEqual(self.push(queue, item, deadline), [])
        self.assertEqual([queue.pop() for _ in range(5)], ["a", "b1", "b2", "c", None])

    def test_sheds_what_cannot_be_answered(self):
        """Guards against queueing a request that cannot be answered before its deadline."""
        queue = self.queue(1.0)
        self.assertEqual(self.push(queue, "in time", 2.5), [])
        self.assertEqual(self.push(queue, "too late", 2.9), ["too late"])
        self.assertEqual(self.push(queue, "later", 3.5), [])

    def test_urgent_request_displaces_one_that_becomes_late(self):
        """Guards against keeping a request that an earlier deadline has made late."""
        queue = self.queue(1.0)
        self.assertEqual(self.push(queue, "later", 2.9), [])
        self.assertEqual(self.push(queue, "urgent", 2.5), ["later"])
        self.assertEqual(queue.pop(), "urgent")

    def test_concurrency_shortens_the_wait(self):
        """Guards against estimates that ignore how many requests run concurrently."""
        queue = self.queue(1.0)
        self.assertEqual(self.push(queue, "a", 1.9, concurrency=2), [])
        self.assertEqual(self.push(queue, "b", 2.1, concurrency=2), [])
        self.assertEqual(self.push(queue, "c", 2.2, concurrency=2), ["c"])

    def test_urgent_priority_goes_first(self):
        """Guards against urgent requests that wait behind others with earlier deadlines."""
        queue = self.queue()
        for item, priority, deadline in (("low", 2, 1.0), ("high", 0, 3.0), ("mid", 1, 2.0)):
            queue.push(item, priority=priority, deadline=deadline, now=0.0, concurrency=1)
        self.assertEqual(["high", "mid", "low"], [queue.pop() for _ in range(3)])

    def test_own_service_time_decides(self):
        """Guards against shedding short requests because the average one is long."""
        queue = self.queue(1.0)
        options = {"deadline": 1.5, "now": 0.0, "concurrency": 2}
        self.assertEqual([], queue.push("short", service_time_s=0.1, **options))
        self.assertEqual(["long"], queue.push("long", service_time_s=1.4, **options))
        self.assertEqual(1.4, queue.next_expiry())

    def test_late_items_go_behind_those_in_time(self):
        """Guards against an overloaded queue that answers every request late."""
        queue = self.queue(1.0)
        for item, due in (("a", 2.0), ("late", 2.5), ("b", 3.0)):
            queue.push(item, due=due, deadline=10.0, now=0.0, concurrency=1)
        self.assertEqual(["a", "b", "late"], [queue.pop() for _ in range(3)])

    def test_items_become_late_while_they_wait(self):
        """Guards against starting a request that has become late before one that is in time."""
        queue = self.queue(1.0)
        queue.push("first", due=3.0, deadline=10.0, now=0.0, concurrency=1)
        queue.push("second", due=5.0, deadline=10.0, now=0.0, concurrency=1)
        self.assertEqual(["second", "first", None], [queue.pop(2.5) for _ in range(3)])

    def test_late_items_go_behind_all_priorities(self):
        """Guards against late urgent items that make all items of other priorities late."""
        ordering = deadline_queue.Ordering(late_behind_all=True)
        queue = self.queue(1.0, ordering=ordering)
        for item, priority, due, deadline in (
            ("late, not urgent", 2, 1.4, 10.0),
            ("late, later deadline", 0, 1.4, 12.0),
            ("late, urgent", 0, 1.4, 11.0),
            ("not urgent", 2, 3.0, 13.0),
            ("urgent", 0, 5.0, 14.0),
        ):
            queue.push(item, priority=priority, due=due, deadline=deadline, now=0.0, concurrency=2)
        self.assertEqual(
            ["urgent", "not urgent", "late, urgent", "late, later deadline", "late, not urgent"],
            [queue.pop() for _ in range(5)],
        )

    def test_late_items_stay_within_their_priority_by_default(self):
        """Guards against a change of the order where no other ordering is asked for."""
        queue = self.queue(1.0)
        for item, priority, due in (("not urgent", 2, 5.0), ("late, urgent", 0, 1.4)):
            queue.push(item, priority=priority, due=due, deadline=20.0, now=0.0, concurrency=2)
        self.assertEqual(["late, urgent", "not urgent"], [queue.pop() for _ in range(2)])

    def test_work_margin_must_fit_before_the_due_time(self):
        """Guards against starting an item first that is late if its work is above the average."""
        for margin, expected in ((1.0, ["a", "b", "c"]), (2.0, ["a", "c", "b"])):
            queue = self.queue(1.0, ordering=deadline_queue.Ordering(work_margin=margin))
            for item, due in (("a", 3.2), ("b", 3.9), ("c", 4.2)):
                queue.push(item, due=due, deadline=10.0, now=0.0, concurrency=1)
            self.assertEqual(expected, [queue.pop() for _ in range(3)])

    def test_work_margin_does_not_make_long_work_late_from_the_start(self):
        """Guards against an item that always waits behind others, however early it arrives."""
        for service_time_s, due, expected in ((1.0, 1.5, "a"), (1.0, 3.5, "a"), (1.0, 1.05, "b")):
            queue = self.queue(1.0, ordering=deadline_queue.Ordering(work_margin=2.0))
            options = {"deadline": 10.0, "now": 0.0, "concurrency": 10}
            queue.push("a", due=due, service_time_s=service_time_s, **options)
            queue.push("b", due=5.0, service_time_s=service_time_s, **options)
            self.assertEqual(expected, queue.pop())

    def test_work_margin_holds_for_items_due_at_their_deadline(self):
        """Guards against repeated requests that start first and are answered after their deadline.

        Half of them run longer than the average, and their outcome is `unknown`.
        """
        for margin, expected in ((1.0, "repeated"), (2.0, "new")):
            queue = self.queue(1.0, ordering=deadline_queue.Ordering(work_margin=margin))
            options = {"now": 0.0, "concurrency": 10}
            self.assertEqual([], queue.push("repeated", deadline=1.6, **options))
            self.assertEqual([], queue.push("new", due=4.0, deadline=9.0, **options))
            self.assertEqual(expected, queue.pop())

    def test_work_margin_holds_when_an_item_starts(self):
        """Guards against a margin that ends while the item waits."""
        for margin, expected in ((1.0, "early"), (2.0, "second")):
            ordering = deadline_queue.Ordering(work_margin=margin)
            queue = self.queue(1.0, ordering=ordering)
            for item, due in (("early", 4.0), ("second", 6.0)):
                queue.push(item, due=due, deadline=20.0, now=0.0, concurrency=10)
            self.assertEqual(expected, queue.pop(2.5))

    def test_work_margin_sheds_nothing(self):
        """Guards against shedding an item that is expected to be answered by its deadline."""
        ordering = deadline_queue.Ordering(late_behind_all=True, work_margin=3.0)
        queue = self.queue(1.0, ordering=ordering)
        options = {"due": 1.2, "now": 0.0, "concurrency": 10}
        self.assertEqual([], queue.push("kept", deadline=1.5, **options))
        self.assertEqual(["shed"], queue.push("shed", deadline=1.05, **options))
        self.assertEqual(0.5, queue.next_expiry())

    def test_starved_kind_goes_first(self):
        """Guards against a kind that is never served while a more urgent one fills the queue."""
        queue = self.queue(1.0, ordering=deadline_queue.Ordering(share_min=0.25))
        options = {"deadline": 1000.0, "now": 0.0, "concurrency": 1}
        for number in range(200):
            queue.push(f"urgent {number}", priority=0, kind="urgent", **options)
        starved = {"priority": 1, "kind": "starved", "now": 0.0, "concurrency": 1}
        for number in range(8):
            queue.push(f"shed {number}", deadline=1.5, **starved)
        queue.push("starved", deadline=900.0, **starved)
        started = [queue.pop() for _ in range(20)]
        self.assertIn("starved", started)
        self.assertEqual(
            ["urgent 0", "urgent 1"], [name for name in started if name != "starved"][:2]
        )

    def test_items_without_time_left_do_not_count_for_their_kind(self):
        """Guards against preferring a kind whose callers repeat requests that are too late."""
        queue = self.queue(1.0, ordering=deadline_queue.Ordering(share_min=0.25))
        options = {"now": 0.0, "concurrency": 1}
        for number in range(200):
            queue.push(f"urgent {number}", deadline=1000.0, kind="urgent", **options)
        repeated = {"priority": 1, "kind": "repeated", **options}
        queue.push("repeated", deadline=900.0, **repeated)
        for _ in range(20):
            self.assertEqual(["too late"], queue.push("too late", deadline=0.5, **repeated))
        self.assertEqual(
            [f"urgent {number}" for number in range(20)], [queue.pop() for _ in range(20)]
        )

    def test_hopeless_item_does_not_displace_others(self):
        """Guards against items that become late because of an item that is shed itself."""
        queue = self.queue(1.0)
        options = {"now": 0.0, "concurrency": 1}
        self.assertEqual([], queue.push("in time", priority=1, due=2.5, deadline=9.0, **options))
        self.assertEqual(["hopeless"], queue.push("hopeless", deadline=0.5, **options))
        self.assertEqual([], queue.push("other", priority=1, due=5.0, deadline=9.0, **options))
        self.assertEqual("in time", queue.pop())

    def test_starved_kind_is_not_shed_for_others(self):
        """Guards against a full queue that holds no items of a starved kind."""
        ordering = deadline_queue.Ordering(share_min=0.25)
        queue = self.queue(length_max=8, ordering=ordering)
        options = {"now": 0.0, "concurrency": 1}
        for number in range(100):
            queue.push(f"urgent {number}", deadline=9.0, kind="urgent", **options)
            queue.pop()
        for _ in range(8):
            queue.push("shed", deadline=0.1, priority=1, kind="starved", **options)
            queue.expire(0.1)
        for number in range(8):
            queue.push(f"urgent {number}", deadline=9.0, kind="urgent", **options)
        shed = queue.push("starved", deadline=9.0, priority=1, kind="starved", **options)
        self.assertEqual(["urgent 7"], shed)

    @hypothesis.given(
        strategies.lists(strategies.integers(1, 12), max_size=8),
        strategies.integers(1, 12),
        strategies.sampled_from((1, 2, 4)),
    )
    def test_prospect_agrees_with_push(self, deadlines, deadline, concurrency):
        """Guards against announcing a wait or a rejection that the queue does not decide."""
        queue = self.queue(1.0)
        for item, other in enumerate(deadlines):
            self.push(queue, item, float(other), concurrency=concurrency)
        length = len(queue)
        prospect = queue.prospect(deadline=float(deadline), now=0.0, concurrency=concurrency)
        self.assertEqual(length, len(queue))
        shed = self.push(queue, "new", float(deadline), concurrency=concurrency)
        self.assertEqual("new" in shed, prospect.retry_s is not None)
        if prospect.retry_s is None:
            order = [queue.pop() for _ in range(len(queue))]
            self.assertEqual(order.index("new"), prospect.ahead)
            self.assertEqual((prospect.ahead + 1) / concurrency, prospect.wait_s)

    def test_time_to_come_back(self):
        """Guards against a time at which the same request would be shed again."""
        queue = self.queue(1.0)
        for item in range(4):
            self.push(queue, item, 6.0)

        def retry_s(allowed_s):
            return queue.prospect(deadline=allowed_s, now=0.0, concurrency=1).retry_s

        self.assertIsNone(retry_s(6.5))
        # All four go first: the item would be answered after 6 s.
        self.assertEqual(0.0, retry_s(6.0))
        # None goes first; the next slot and the item's own time take 2 s.
        self.assertIsNone(retry_s(2.5))
        # No place in the queue is early enough, so it has to be empty.
        self.assertEqual(5.0, retry_s(1.5))

    def test_length_bound_sheds_the_latest_deadline(self):
        """Guards against unbounded memory, and against shedding the item with an early deadline."""
        queue = self.queue(length_max=2)
        self.push(queue, "a", 5.0)
        self.push(queue, "b", 6.0)
        self.assertEqual(self.push(queue, "urgent", 1.0), ["b"])
        self.assertEqual(self.push(queue, "last", 9.0), ["last"])
        self.assertEqual(len(queue), 2)

    def test_expire_and_remove(self):
        """Guards against items that stay after their deadline or after a disconnect."""
        queue = self.queue()
        for item, deadline in (("a", 1.0), ("b", 2.0), ("c", 3.0)):
            self.push(queue, item, deadline)
        self.assertEqual(queue.next_expiry(), 1.0)
        self.assertEqual(queue.expire(1.0), ["a"])
        self.assertTrue(queue.remove("b"))
        self.assertFalse(queue.remove("b"))
        self.assertEqual((len(queue), queue.next_expiry()), (1, 3.0))

    def test_request_that_would_be_answered_late_expires(self):
        """Guards against running requests that are answered after their deadline.

        An overloaded queue in deadline order runs mostly these, and their outcome is `unknown`.
        """
        queue = self.queue(0.5)
        self.push(queue, "a", 2.0)
        self.assertEqual(queue.next_expiry(), 1.5)
        self.assertEqual(queue.expire(1.4), [])
        self.assertEqual(queue.expire(1.5), ["a"])

    def test_passed_deadline_is_shed_without_observations(self):
        """Guards against queueing a request whose deadline has passed."""
        self.assertEqual(self.push(self.queue(), "late", 1.0, now=1.0), ["late"])

    @hypothesis.given(
        strategies.lists(strategies.floats(0.01, 20.0), max_size=60),
        strategies.floats(0.001, 2.0),
        strategies.integers(1, 8),
    )
    def test_kept_items_can_start_in_time(self, deadlines, service_time_s, concurrency):
        """Guards against losing items or keeping late ones, for any order of arrival."""
        queue = self.queue(service_time_s, length_max=30)
        shed = []
        for item, deadline in enumerate(deadlines):
            shed += self.push(queue, item, deadline, concurrency=concurrency)
        kept = [queue.pop() for _ in range(len(queue))]
        self.assertEqual(sorted(shed + kept), list(range(len(deadlines))))
        self.assertTrue(len(kept) <= 30)
        for place, item in enumerate(kept):
            start = (place + 1) * service_time_s / concurrency
            self.assertTrue(start < deadlines[item])
