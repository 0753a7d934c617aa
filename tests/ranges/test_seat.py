"""Tests of the planner's seat, the row that names the planner."""

import testtools
from twisted.internet import defer, task

from celerystack import errors, ids
from celerystack.fleet import rows
from celerystack.ranges import seat
from tests.ranges import fakes


def result_of(coroutine):
    outcome = []
    running = defer.Deferred.fromCoroutine(coroutine)
    running.addBoth(outcome.append)
    result = outcome[0]
    if hasattr(result, "raiseException"):
        result.raiseException()
    return result


class SeatTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.clock = task.Clock()
        self.store = fakes.MemoryRows()

    def seat(self, vm="vm-1"):
        return seat.Seat(
            vm=ids.EntryVmId(vm), vm_incarnation=1, store=self.store, now=self.clock.seconds
        )

    def take_seat(self, vm="vm-1"):
        made = self.seat(vm)
        holder = result_of(made.read())
        self.assertTrue(result_of(made.take(holder)))
        return made

    def test_two_vms_cannot_take_the_same_seat(self):
        """Guards against two planners after a planner was lost and several VMs try to follow it."""
        first, second = self.seat("vm-1"), self.seat("vm-2")
        vacant = result_of(first.read())
        result_of(first.take(vacant))
        self.assertFalse(result_of(second.take(vacant)))

    def test_replaced_planner_cannot_write_a_map(self):
        """Guards against a write by a planner that was replaced while it was paused."""
        old = self.take_seat("vm-1")
        self.take_seat("vm-2")
        self.assertRaises(
            errors.TransactionConflictError,
            result_of,
            old.commit(fakes.whole(fakes.incarnation("a")), rows.ABSENT),
        )
        self.assertFalse(old.held)

    def test_lost_answer_ends_the_tenure(self):
        """Guards against a planner that continues while it is unknown whether its write applied."""
        planner = self.take_seat()
        self.store.lose_next_answer = True
        self.assertRaises(
            errors.AnswerLostError,
            result_of,
            planner.commit(fakes.whole(fakes.incarnation("a")), rows.ABSENT),
        )
        self.assertFalse(planner.held)

    def test_seat_taken_again_fences_off_a_delayed_write(self):
        """Guards against a delayed write of an earlier term that is applied in a later one."""
        planner = self.take_seat()
        before = self.store.rows[seat.SEAT_TABLE, seat.SEAT_KEY][1]
        result_of(planner.take(result_of(planner.read())))
        after = self.store.rows[seat.SEAT_TABLE, seat.SEAT_KEY][1]
        self.assertNotEqual(before, after)

    def test_released_seat_is_vacant(self):
        """Guards against waiting for a planner that shut down and released the seat."""
        planner = self.take_seat()
        result_of(planner.release())
        self.assertEqual("", result_of(self.seat("vm-2").read()).vm)
