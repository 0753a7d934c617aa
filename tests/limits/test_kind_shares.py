"""Tests of which kinds of items count as served too rarely."""

from __future__ import annotations

import testtools

from celerystack.limits import kind_shares


class KindSharesTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.shares = kind_shares.KindShares(0.25)

    def record(self, kind, priority, *, served, shed):
        """Record outcomes of a kind, evenly mixed."""
        for number in range(served + shed):
            is_served = number * served // (served + shed) != (number + 1) * served // (
                served + shed
            )
            self.shares.record(kind, priority, served=is_served)

    def test_kind_below_the_minimum(self):
        """Guards against a kind that is starved by a more urgent one."""
        self.record("urgent", 0, served=80, shed=0)
        self.record("starved", 1, served=0, shed=8)
        self.assertEqual({"starved"}, self.shares.served_too_rarely)

    def test_kind_above_the_minimum(self):
        """Guards against serving a less urgent kind more often than the minimum requires."""
        self.record("urgent", 0, served=80, shed=0)
        self.record("rare", 1, served=8, shed=16)
        self.assertEqual(frozenset(), self.shares.served_too_rarely)

    def test_urgent_kind_below_a_less_urgent_one(self):
        """Guards against serving an urgent kind less often than a less urgent one."""
        self.record("urgent", 0, served=40, shed=40)
        self.record("less urgent", 1, served=48, shed=32)
        self.assertEqual({"urgent"}, self.shares.served_too_rarely)

    def test_kinds_of_one_priority_may_differ(self):
        """Guards against equal shares of kinds whose work differs."""
        self.record("short", 1, served=80, shed=0)
        self.record("long", 1, served=40, shed=40)
        self.assertEqual(frozenset(), self.shares.served_too_rarely)

    def test_one_kind(self):
        """Guards against a comparison of a kind with itself under overload."""
        self.record("only", 0, served=8, shed=800)
        self.assertEqual(frozenset(), self.shares.served_too_rarely)

    def test_old_outcomes_are_forgotten(self):
        """Guards against a kind that goes first long after it was starved, and against a leak."""
        self.record("a", 1, served=0, shed=400)
        self.record("gone", 2, served=8, shed=0)
        self.record("b", 0, served=400, shed=0)
        self.assertEqual({"a"}, self.shares.served_too_rarely)
        for _ in range(20):
            self.record("a", 1, served=100, shed=0)
            self.record("b", 0, served=100, shed=0)
        self.assertEqual(frozenset(), self.shares.served_too_rarely)
        self.assertEqual({"a", "b"}, set(self.shares._by_kind))
