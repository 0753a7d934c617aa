"""Tests that the connection shares stay within the limit while entry VMs join and leave."""

from __future__ import annotations

import hypothesis
import testtools
from hypothesis import strategies

from celerystack import ids
from celerystack.limits import shares

CONNECTIONS = 110
STEP_S = 0.1
DETECTION_DELAY_MAX_S = 0.9
"""Maximum time until a peer detects a joining entry VM, shorter than `shares.JOIN_DELAY_S`."""


class EqualShareTest(testtools.TestCase):
    def test_order_connections_are_kept_free(self):
        """Guards against request connections that leave none for lease renewals."""
        for entry_vms in range(1, 200):
            share = shares.equal_share(connections=CONNECTIONS, entry_vms=entry_vms)
            self.assertTrue(entry_vms * share + shares.RESERVED_ORDER_CONNECTIONS <= CONNECTIONS)

    def test_values(self):
        """Guards against shares far below the equal share."""
        self.assertEqual(shares.equal_share(connections=110, entry_vms=10), 10)
        self.assertEqual(shares.equal_share(connections=130, entry_vms=11), 11)
        self.assertEqual(shares.equal_share(connections=110, entry_vms=0), 0)
        self.assertEqual(shares.equal_share(connections=4, entry_vms=1), 0)


class EntryVmCountTest(testtools.TestCase):
    def test_newcomer_takes_no_share_at_first(self):
        """Guards against a joining entry VM that connects before its peers reduce their shares."""
        count = shares.EntryVmCount(ids.EntryVmId("a"), started_at=5.0)
        count.update((ids.EntryVmId("b"),), 5.1)
        self.assertEqual(count.count(5.9), 0)
        self.assertEqual(count.count(6.0), 2)

    def test_shrinks_at_once_and_grows_late(self):
        """Guards against growing while an entry VM that left may still hold connections."""
        count = shares.EntryVmCount(ids.EntryVmId("a"), started_at=0.0)
        count.update((ids.EntryVmId("a"), ids.EntryVmId("b")), 10.0)
        self.assertEqual(count.count(10.0), 2)
        count.update((ids.EntryVmId("a"),), 10.2)
        self.assertEqual(count.count(10.0 + shares.GROW_DELAY_S), 2)
        self.assertEqual(count.count(10.1 + shares.GROW_DELAY_S), 1)


class SumTest(testtools.TestCase):
    @hypothesis.settings(max_examples=60, deadline=None)
    @hypothesis.given(
        strategies.lists(
            strategies.tuples(
                strategies.floats(0, 30), strategies.floats(0, 40), strategies.integers(0, 9)
            ),
            min_size=1,
            max_size=14,
        )
    )
    def test_sum_stays_within_the_limit(self, lives):
        """Guards against shares that exceed the limit in total while entry VMs join and leave.

        Each entry VM has a start, an end and a delay until its peers detect it. Its connections
        are closed at its end.
        """
        lives = [
            (start, start + length, heard * DETECTION_DELAY_MAX_S / 9)
            for start, length, heard in lives
        ]
        names = [ids.EntryVmId(str(index)) for index in range(len(lives))]
        counts = [
            shares.EntryVmCount(name, started_at=start)
            for name, (start, _, _) in zip(names, lives, strict=True)
        ]
        for step in range(int(75 / STEP_S)):
            now = step * STEP_S
            total = 0
            for count, (start, end, _) in zip(counts, lives, strict=True):
                if not start <= now < end:
                    continue
                heard = [
                    name
                    for name, (other_start, other_end, delay) in zip(names, lives, strict=True)
                    if other_start + delay <= now < other_end
                ]
                count.update(heard, now)
                total += shares.equal_share(connections=CONNECTIONS, entry_vms=count.count(now))
            self.assertTrue(total + shares.RESERVED_ORDER_CONNECTIONS <= CONNECTIONS)
