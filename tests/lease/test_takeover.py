from __future__ import annotations

import dataclasses

import testtools

from celerystack import ids, model
from celerystack.lease import evidence, records, takeover
from celerystack.peers import messages
from standins.lease_model import builders

A, B, C, D, E = builders.A, builders.B, builders.C, builders.D, builders.E


def started(row: model.ServerRow | None = None) -> takeover.Takeover:
    return takeover.Takeover(row or builders.row(), now=10.0)


def promise(it: takeover.Takeover, *lessors: model.LessorRef, now: float = 10.1) -> None:
    for lessor in lessors:
        it.on_promise(builders.promise(lessor, remaining_s=0.3), now)


class UnanimityTest(testtools.TestCase):
    def test_asks_every_lessor_until_it_promises(self) -> None:
        """Guards against a lost request that is never sent again."""
        it = started()
        self.assertEqual({A, B, C}, set(it.requests()))
        self.assertEqual(builders.promise_request(), it.requests()[A])
        promise(it, A)
        self.assertEqual({B, C}, set(it.requests()))
        self.assertEqual(takeover.Asking(frozenset({B, C})), it.state(10.2))

    def test_majority_is_not_enough(self) -> None:
        """Guards against a takeover while one lessor still renews."""
        it = started()
        promise(it, A, B)
        self.assertNotIsInstance(it.state(60.0), takeover.Ready)

    def test_waits_for_the_longest_remaining_time(self) -> None:
        """Guards against a commit before the last lease has expired."""
        it = started()
        promise(it, A, B)
        it.on_promise(builders.promise(C, remaining_s=0.7), 10.2)
        self.assertEqual(takeover.Waiting(10.2 + 0.7), it.state(10.5))
        self.assertEqual(takeover.Ready(None), it.state(10.2 + 0.7))

    def test_repeated_promise_does_not_shorten_the_wait(self) -> None:
        """Guards against a reordered copy with a shorter remaining time."""
        it = started()
        it.on_promise(builders.promise(A, remaining_s=0.9), 10.1)
        promise(it, A, B, C, now=10.11)
        self.assertEqual(takeover.Waiting(10.1 + 0.9), it.state(10.5))

    def test_previous_lessors_are_asked(self) -> None:
        """Guards against a previous lessor whose server has not seen the new token yet."""
        it = started(builders.row(2, lessors=(B, C, D), previous_lessors=(A, B, C)))
        self.assertEqual({A, B, C, D}, set(it.requests()))

    def test_deputies_are_asked_transitively(self) -> None:
        """Guards against a deputy of a deputy that still renews."""
        it = started()
        promise(it, B, C)
        it.on_promise(builders.promise(A, deputies=(D,)), 10.1)
        self.assertEqual({D}, set(it.requests()))
        it.on_promise(builders.promise(D, deputies=(E,)), 10.2)
        self.assertEqual({E}, set(it.requests()))
        promise(it, E, now=10.3)
        self.assertIsInstance(it.state(11.0), takeover.Ready)

    def test_restarted_lessor_does_not_count(self) -> None:
        """Guards against a promise by a process that does not know the earlier one's orders."""
        it = started()
        promise(it, A, B, model.LessorRef(C.vm, ids.Incarnation("c2")))
        self.assertEqual({C}, set(it.requests()))

    def test_replies_of_other_tokens_are_ignored(self) -> None:
        """Guards against promises from an earlier takeover of the same server."""
        it = started(builders.row(2))
        it.on_promise(builders.promise(A, token=1), 10.1)
        self.assertIn(A, it.requests())

    def test_row_without_lessors_is_ready(self) -> None:
        """Guards against a server that nobody leases and that is never taken over."""
        self.assertEqual(takeover.Ready(None), started(builders.row(lessors=())).state(10.0))


class ObstacleTest(testtools.TestCase):
    def test_refusal_is_named(self) -> None:
        """Guards against a takeover of a server that another lessor reaches."""
        it = started()
        promise(it, A, B)
        it.on_promise(builders.promise(C, promised=False), 10.1)
        self.assertEqual(takeover.Refused(frozenset({C})), it.state(10.2))
        self.assertEqual({C}, set(it.requests()))

    def test_later_promise_replaces_refusal(self) -> None:
        """Guards against a server lost after the refusal whose takeover never goes on."""
        it = started()
        promise(it, A, B)
        it.on_promise(builders.promise(C, promised=False), 10.1)
        promise(it, C, now=10.4)
        self.assertIsInstance(it.state(11.0), takeover.Ready)

    def test_late_refusal_does_not_undo_promise(self) -> None:
        """Guards against a reordered refusal that hides a promise, which is sticky."""
        it = started()
        promise(it, A, B, C)
        it.on_promise(builders.promise(C, promised=False), 10.2)
        self.assertIsInstance(it.state(11.0), takeover.Ready)

    def test_silent_lessor_blocks_and_is_named(self) -> None:
        """Guards against a status that does not tell the operator what a takeover waits for."""
        it = started()
        promise(it, A, B)
        self.assertEqual(takeover.Blocked(frozenset({C})), it.state(10.0 + takeover.ANSWER_S))
        promise(it, C, now=20.0)
        self.assertIsInstance(it.state(21.0), takeover.Ready)

    def test_lessor_silent_after_refusal_blocks(self) -> None:
        """Guards against a refusal that is reported long after its lessor was lost."""
        it = started()
        promise(it, A, B)
        it.on_promise(builders.promise(C, promised=False), 10.5)
        self.assertEqual(takeover.Blocked(frozenset({C})), it.state(10.5 + takeover.ANSWER_S))

    def test_evidence_replaces_promises(self) -> None:
        """Guards against keys without an owner although the process is known to be gone."""
        it = started()
        it.on_evidence(evidence.Evidence.RELEASED_BY_OPERATOR)
        self.assertEqual(takeover.Ready(evidence.Evidence.RELEASED_BY_OPERATOR), it.state(10.0))

    def test_void_when_the_row_changes(self) -> None:
        """Guards against promises that are used under a token they do not cover."""
        it = started()
        self.assertFalse(it.is_void(builders.row()))
        self.assertTrue(it.is_void(builders.row(2)))
        self.assertTrue(it.is_void(builders.row(lessors=(A, B, D))))
        self.assertTrue(it.is_void(builders.row(previous_lessors=(D,))))
        lost = dataclasses.replace(builders.row(), state=model.ServerState.LOST)
        self.assertTrue(it.is_void(lost))


class EndedLessorTest(testtools.TestCase):
    """A lessor whose process has ended counts like one that promised."""

    def setUp(self):
        super().setUp()
        self.row = builders.row()
        self.it = takeover.Takeover(self.row, now=10.0)

    def promise(self, lessor, now):
        self.it.on_promise(
            messages.PromiseReply(
                server=self.row.server, token=self.row.token, lessor=lessor, promised=True
            ),
            now,
        )

    def test_lease_of_an_ended_lessor_is_waited_for(self):
        """Guards against a takeover while the last order of an ended lessor may still count."""
        first, *others = self.row.lessors
        for lessor in others:
            self.promise(lessor, 10.0)
        self.it.on_ended(first, others, 10.0)
        self.assertIsInstance(self.it.state(10.5), takeover.Waiting)
        self.assertIsInstance(self.it.state(10.0 + records.LEASE_BOUND_S), takeover.Ready)

    def test_entry_vms_of_the_zone_must_promise(self):
        """Guards against an unknown deputy of an ended lessor that renews on."""
        first, *others = self.row.lessors
        deputy = model.LessorRef("deputy", "1")
        for lessor in others:
            self.promise(lessor, 10.0)
        self.it.on_ended(first, (*others, deputy), 10.0)
        self.assertIn(deputy, self.it.requests())
        self.assertNotIsInstance(self.it.state(12.0), takeover.Ready)
        self.promise(deputy, 12.0)
        self.assertIsInstance(self.it.state(12.1), takeover.Ready)

    def test_end_of_a_stranger_changes_nothing(self):
        """Guards against counting a process that never was a lessor."""
        self.it.on_ended(model.LessorRef("stranger", "1"), (), 10.0)
        self.assertEqual(frozenset(self.row.lessors), self.it.missing())
