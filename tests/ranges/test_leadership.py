"""Tests of the planner's leadership, the row that names the planner."""

import testtools
from twisted.internet import defer, task

from celerystack import errors, ids
from celerystack.fleet import rows
from celerystack.ranges import leadership
from tests.ranges import fakes


def result_of(coroutine):
    outcome = []
    running = defer.Deferred.fromCoroutine(coroutine)
    running.addBoth(outcome.append)
    result = outcome[0]
    if hasattr(result, "raiseException"):
        result.raiseException()
    return result


class LeadershipTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.clock = task.Clock()
        self.store = fakes.MemoryRows()

    def leadership(self, vm="vm-1"):
        return leadership.Leadership(
            vm=ids.EntryVmId(vm), vm_incarnation=1, store=self.store, now=self.clock.seconds
        )

    def acquire_leadership(self, vm="vm-1"):
        made = self.leadership(vm)
        leader = result_of(made.read())
        self.assertTrue(result_of(made.acquire(leader)))
        return made

    def test_two_vms_cannot_both_acquire_the_leadership(self):
        """Guards against two planners after a planner was lost and several VMs try to follow it."""
        first, second = self.leadership("vm-1"), self.leadership("vm-2")
        no_leader = result_of(first.read())
        result_of(first.acquire(no_leader))
        self.assertFalse(result_of(second.acquire(no_leader)))

    def test_replaced_planner_cannot_write_a_map(self):
        """Guards against a write by a planner that was replaced while it was paused."""
        old = self.acquire_leadership("vm-1")
        self.acquire_leadership("vm-2")
        self.assertRaises(
            errors.TransactionConflictError,
            result_of,
            old.commit(fakes.whole(fakes.incarnation("a")), rows.ABSENT),
        )
        self.assertFalse(old.held)

    def test_lost_answer_ends_the_term(self):
        """Guards against a planner that continues while it is unknown whether its write applied."""
        planner = self.acquire_leadership()
        self.store.lose_next_answer = True
        self.assertRaises(
            errors.AnswerLostError,
            result_of,
            planner.commit(fakes.whole(fakes.incarnation("a")), rows.ABSENT),
        )
        self.assertFalse(planner.held)

    def test_leadership_acquired_again_fences_off_a_delayed_write(self):
        """Guards against a delayed write of an earlier term that is applied in a later one."""
        planner = self.acquire_leadership()
        before = self.store.rows[leadership.LEADER_TABLE, leadership.LEADER_KEY][1]
        result_of(planner.acquire(result_of(planner.read())))
        after = self.store.rows[leadership.LEADER_TABLE, leadership.LEADER_KEY][1]
        self.assertNotEqual(before, after)

    def test_released_leadership_has_no_leader(self):
        """Guards against waiting for a planner that shut down and released the leadership."""
        planner = self.acquire_leadership()
        result_of(planner.release())
        self.assertEqual("", result_of(self.leadership("vm-2").read()).vm)
