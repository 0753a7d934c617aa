from __future__ import annotations

import dataclasses

import testtools

from celerystack import ids, model
from celerystack.lease import evidence, records, takeover
from celerystack.peers import messages
from standins.lease_model import builders

A, B, C, D, E = builders.A, builders.B, builders.C, builders.D, builders.E


def start_takeover(row: model.ServerRow | None = None) -> takeover.Takeover:
    return takeover.Takeover(row or builders.row(), now=10.0)


def record_promises(
    attempt: takeover.Takeover, *lessors: model.LessorRef, now: float = 10.1
) -> None:
    for lessor in lessors:
        attempt.on_promise(builders.promise(lessor, remaining_s=0.3), now)


class UnanimityTest(testtools.TestCase):
    def test_asks_every_lessor_until_it_promises(self) -> None:
        """Guards against a lost request for a promise that is never resent."""
        attempt = start_takeover()
        self.assertEqual({A, B, C}, set(attempt.requests()))
        self.assertEqual(builders.promise_request(), attempt.requests()[A])
        record_promises(attempt, A)
        self.assertEqual({B, C}, set(attempt.requests()))
        self.assertEqual(takeover.AwaitingPromises(frozenset({B, C})), attempt.state(10.2))

    def test_majority_is_not_enough(self) -> None:
        """Guards against a takeover while one lessor has not promised and may still renew."""
        attempt = start_takeover()
        record_promises(attempt, A, B)
        self.assertNotIsInstance(attempt.state(60.0), takeover.Ready)

    def test_waits_for_the_longest_remaining_time(self) -> None:
        """Guards against a commit before the last lease has expired."""
        attempt = start_takeover()
        record_promises(attempt, A, B)
        attempt.on_promise(builders.promise(C, remaining_s=0.7), 10.2)
        self.assertEqual(takeover.AwaitingLeaseExpiry(10.2 + 0.7), attempt.state(10.5))
        self.assertEqual(takeover.Ready(None), attempt.state(10.2 + 0.7))

    def test_repeated_promise_does_not_shorten_the_wait(self) -> None:
        """Guards against a duplicate or reordered reply that shortens the wait for expiry."""
        attempt = start_takeover()
        attempt.on_promise(builders.promise(A, remaining_s=0.9), 10.1)
        record_promises(attempt, A, B, C, now=10.11)
        self.assertEqual(takeover.AwaitingLeaseExpiry(10.1 + 0.9), attempt.state(10.5))

    def test_previous_lessors_are_asked(self) -> None:
        """Guards against a previous lessor that renews until the server sees the new token."""
        attempt = start_takeover(builders.row(2, lessors=(B, C, D), previous_lessors=(A, B, C)))
        self.assertEqual({A, B, C, D}, set(attempt.requests()))

    def test_deputies_are_asked_transitively(self) -> None:
        """Guards against a deputy of a deputy that still renews."""
        attempt = start_takeover()
        record_promises(attempt, B, C)
        attempt.on_promise(builders.promise(A, deputies=(D,)), 10.1)
        self.assertEqual({D}, set(attempt.requests()))
        attempt.on_promise(builders.promise(D, deputies=(E,)), 10.2)
        self.assertEqual({E}, set(attempt.requests()))
        record_promises(attempt, E, now=10.3)
        self.assertIsInstance(attempt.state(11.0), takeover.Ready)

    def test_restarted_lessor_does_not_count(self) -> None:
        """Guards against a promise by a restarted process, which does not know earlier orders."""
        attempt = start_takeover()
        record_promises(attempt, A, B, model.LessorRef(C.vm, ids.Incarnation("c2")))
        self.assertEqual({C}, set(attempt.requests()))

    def test_replies_of_other_tokens_are_ignored(self) -> None:
        """Guards against promises from an earlier takeover of the same server."""
        attempt = start_takeover(builders.row(2))
        attempt.on_promise(builders.promise(A, token=1), 10.1)
        self.assertIn(A, attempt.requests())

    def test_row_without_lessors_is_ready(self) -> None:
        """Guards against a takeover that never ends because the row names no lessors."""
        self.assertEqual(takeover.Ready(None), start_takeover(builders.row(lessors=())).state(10.0))


class ObstacleTest(testtools.TestCase):
    def test_refusal_is_named(self) -> None:
        """Guards against a takeover of a server that another lessor reaches."""
        attempt = start_takeover()
        record_promises(attempt, A, B)
        attempt.on_promise(builders.promise(C, promised=False), 10.1)
        self.assertEqual(takeover.Refused(frozenset({C})), attempt.state(10.2))
        self.assertEqual({C}, set(attempt.requests()))

    def test_later_promise_replaces_refusal(self) -> None:
        """Guards against a takeover that stays refused although the server is lost later."""
        attempt = start_takeover()
        record_promises(attempt, A, B)
        attempt.on_promise(builders.promise(C, promised=False), 10.1)
        record_promises(attempt, C, now=10.4)
        self.assertIsInstance(attempt.state(11.0), takeover.Ready)

    def test_late_refusal_does_not_undo_promise(self) -> None:
        """Guards against a reordered refusal that cancels a promise, which cannot be withdrawn."""
        attempt = start_takeover()
        record_promises(attempt, A, B, C)
        attempt.on_promise(builders.promise(C, promised=False), 10.2)
        self.assertIsInstance(attempt.state(11.0), takeover.Ready)

    def test_silent_lessor_blocks_and_is_named(self) -> None:
        """Guards against a status that does not name the lessors that block a takeover."""
        attempt = start_takeover()
        record_promises(attempt, A, B)
        self.assertEqual(
            takeover.Blocked(frozenset({C})), attempt.state(10.0 + takeover.PROMISE_TIMEOUT_S)
        )
        record_promises(attempt, C, now=20.0)
        self.assertIsInstance(attempt.state(21.0), takeover.Ready)

    def test_lessor_silent_after_refusal_blocks(self) -> None:
        """Guards against reporting a refusal long after the lessor that sent it was lost."""
        attempt = start_takeover()
        record_promises(attempt, A, B)
        attempt.on_promise(builders.promise(C, promised=False), 10.5)
        self.assertEqual(
            takeover.Blocked(frozenset({C})), attempt.state(10.5 + takeover.PROMISE_TIMEOUT_S)
        )

    def test_evidence_replaces_promises(self) -> None:
        """Guards against waiting for promises although the server's process has provably ended."""
        attempt = start_takeover()
        attempt.on_evidence(evidence.Evidence.RELEASED_BY_OPERATOR)
        self.assertEqual(
            takeover.Ready(evidence.Evidence.RELEASED_BY_OPERATOR), attempt.state(10.0)
        )

    def test_void_when_the_row_changes(self) -> None:
        """Guards against a takeover with promises that do not cover the current row."""
        attempt = start_takeover()
        self.assertFalse(attempt.is_superseded(builders.row()))
        self.assertTrue(attempt.is_superseded(builders.row(2)))
        self.assertTrue(attempt.is_superseded(builders.row(lessors=(A, B, D))))
        self.assertTrue(attempt.is_superseded(builders.row(previous_lessors=(D,))))
        lost = dataclasses.replace(builders.row(), state=model.ServerState.LOST)
        self.assertTrue(attempt.is_superseded(lost))


class EndedLessorTest(testtools.TestCase):
    """A lessor whose process has ended counts as one that promised."""

    def setUp(self):
        super().setUp()
        self.row = builders.row()
        self.attempt = takeover.Takeover(self.row, now=10.0)

    def promise(self, lessor, now):
        self.attempt.on_promise(
            messages.PromiseReply(
                server=self.row.server, token=self.row.token, lessor=lessor, promised=True
            ),
            now,
        )

    def test_lease_of_an_ended_lessor_is_waited_for(self):
        """Guards against a takeover while a lease from an ended lessor's last order is valid."""
        first, *others = self.row.lessors
        for lessor in others:
            self.promise(lessor, 10.0)
        self.attempt.on_ended(first, others, 10.0)
        self.assertIsInstance(self.attempt.state(10.5), takeover.AwaitingLeaseExpiry)
        self.assertIsInstance(self.attempt.state(10.0 + records.LEASE_BOUND_S), takeover.Ready)

    def test_entry_vms_of_the_zone_must_promise(self):
        """Guards against an unknown deputy that an ended lessor appointed and that still renews."""
        first, *others = self.row.lessors
        deputy = model.LessorRef("deputy", "1")
        for lessor in others:
            self.promise(lessor, 10.0)
        self.attempt.on_ended(first, (*others, deputy), 10.0)
        self.assertIn(deputy, self.attempt.requests())
        self.assertNotIsInstance(self.attempt.state(12.0), takeover.Ready)
        self.promise(deputy, 12.0)
        self.assertIsInstance(self.attempt.state(12.1), takeover.Ready)

    def test_end_of_a_stranger_changes_nothing(self):
        """Guards against counting the end of a process that was never a lessor."""
        self.attempt.on_ended(model.LessorRef("stranger", "1"), (), 10.0)
        self.assertEqual(frozenset(self.row.lessors), self.attempt.missing())
