from __future__ import annotations

import testtools

from celerystack import timing
from celerystack.backend import messages as orders
from celerystack.lease import lessor
from standins.lease_model import builders

LEASE_BOUND_S = timing.LEASE_S * (1 + timing.CLOCK_DRIFT)


def acting_deputy() -> lessor.Lessor:
    it = builders.make_lessor(builders.D)
    it.update(builders.row(), builders.SHARDS, 10.0)
    it.on_deputize(builders.deputize(), 10.0)
    return it


class PromiseTest(testtools.TestCase):
    def test_refuses_while_server_replies(self) -> None:
        """Guards against a takeover of a server that only the steward cannot reach."""
        it = builders.granted_lessor(10.0)
        answer = it.on_promise_request(builders.promise_request(), 10.49)
        self.assertFalse(answer.promised)
        self.assertTrue(it.is_acting(builders.SERVER))

    def test_remaining_time_counts_from_last_reply(self) -> None:
        """Guards against a takeover before a lease from a delayed order has expired."""
        it = builders.granted_lessor(10.0)
        answer = it.on_promise_request(builders.promise_request(), 10.6)
        self.assertTrue(answer.promised)
        self.assertAlmostEqual(LEASE_BOUND_S - 0.6, answer.remaining_s)
        self.assertEqual(builders.A, answer.lessor)

    def test_order_sent_before_promise_is_covered(self) -> None:
        """Guards against a renewal that was issued before the promise and arrives after it."""
        it = builders.granted_lessor(10.0)
        [renewal] = it.tick(10.31)
        answer = it.on_promise_request(builders.promise_request(), 10.51)
        # Server and lessor clocks run alike here: stamp 100 was taken at 10.0 or before.
        lease_end = 10.0 + (renewal.echo_stamp + timing.LEASE_S - 100.0)
        self.assertGreaterEqual(10.51 + answer.remaining_s, lease_end)

    def test_late_reply_after_promise_causes_no_order(self) -> None:
        """Guards against a follow-up to a reply that was in flight when the promise was given."""
        it = builders.granted_lessor(10.0)
        it.on_promise_request(builders.promise_request(), 10.6)
        no_grant = builders.reply(101.0, result=orders.OrderResult.NO_GRANT)
        self.assertEqual([], it.on_reply(no_grant, 10.61))
        self.assertEqual([orders.Probe(builders.SERVER)], it.tick(10.9))

    def test_promise_ends_with_higher_token_only(self) -> None:
        """Guards against a promise that ends because the same row is received again."""
        it = builders.granted_lessor(10.0)
        it.on_promise_request(builders.promise_request(), 10.6)
        self.assertTrue(it.has_promised(builders.SERVER))
        self.assertEqual([], it.update(builders.row(), (), 10.7))
        self.assertFalse(it.is_acting(builders.SERVER))
        it.update(builders.row(2), builders.SHARDS, 10.8)
        self.assertTrue(it.is_acting(builders.SERVER))
        self.assertFalse(it.has_promised(builders.SERVER))

    def test_promise_covers_token_that_is_not_known_yet(self) -> None:
        """Guards against a previous lessor that promised and then learns that it is one again."""
        it = builders.granted_lessor(10.0)
        it.on_promise_request(builders.promise_request(2), 10.6)
        self.assertEqual([], it.update(builders.row(2), builders.SHARDS, 10.7))
        self.assertFalse(it.is_acting(builders.SERVER))

    def test_refusal_keeps_earlier_promise(self) -> None:
        """Guards against a refusal that silently takes back a promise."""
        it = builders.granted_lessor(10.0)
        it.on_promise_request(builders.promise_request(), 10.6)
        it.on_reply(builders.reply(101.0), 10.7)
        self.assertFalse(it.on_promise_request(builders.promise_request(), 10.8).promised)
        self.assertFalse(it.is_acting(builders.SERVER))

    def test_superseded_request_is_refused(self) -> None:
        """Guards against a taker with an old row that stops the present lessors."""
        it = builders.granted_lessor(10.0)
        it.update(builders.row(2), builders.SHARDS, 10.1)
        self.assertFalse(it.on_promise_request(builders.promise_request(1), 12.0).promised)

    def test_process_without_role_promises(self) -> None:
        """Guards against a takeover that waits for a deputy whose appointment was lost."""
        it = builders.make_lessor(builders.D)
        answer = it.on_promise_request(builders.promise_request(), 10.0)
        self.assertEqual((True, 0.0, ()), (answer.promised, answer.remaining_s, answer.deputies))


class DeputyTest(testtools.TestCase):
    def test_deputy_acts_like_a_lessor(self) -> None:
        """Guards against leases that end with the last lessor during an outage."""
        it = acting_deputy()
        [grant] = it.on_reply(builders.reply(100.0), 10.01)
        self.assertIsInstance(grant, orders.Grant)

    def test_new_deputy_refuses_until_it_knows_more(self) -> None:
        """Guards against deputies that stop for a reachable server before its first reply."""
        it = acting_deputy()
        early = it.on_promise_request(builders.promise_request(), 10.49)
        self.assertFalse(early.promised)
        self.assertTrue(it.on_promise_request(builders.promise_request(), 10.51).promised)

    def test_role_waits_for_the_row(self) -> None:
        """Guards against an appointment that is lost because the row arrives later."""
        it = builders.make_lessor(builders.D)
        self.assertEqual([], it.on_deputize(builders.deputize(), 10.0))
        it.update(builders.row(), builders.SHARDS, 10.1)
        self.assertTrue(it.is_acting(builders.SERVER))

    def test_role_ends_with_next_token(self) -> None:
        """Guards against deputies that outlive the token for which they were appointed."""
        it = acting_deputy()
        it.update(builders.row(2), builders.SHARDS, 10.2)
        self.assertFalse(it.is_acting(builders.SERVER))

    def test_promise_holds_against_later_appointment(self) -> None:
        """Guards against an appointment that was in flight when the promise was given."""
        it = builders.make_lessor(builders.D)
        it.update(builders.row(), builders.SHARDS, 10.0)
        it.on_promise_request(builders.promise_request(), 10.1)
        self.assertEqual([], it.on_deputize(builders.deputize(), 10.2))
        self.assertFalse(it.is_acting(builders.SERVER))

    def test_deputies_are_named_in_the_promise(self) -> None:
        """Guards against a takeover that does not know of a deputy."""
        it = builders.granted_lessor(10.0)
        self.assertEqual(builders.deputize(), it.deputize(builders.SERVER, builders.D))
        answer = it.on_promise_request(builders.promise_request(), 10.6)
        self.assertEqual((builders.D,), answer.deputies)

    def test_no_appointment_after_promise(self) -> None:
        """Guards against a deputy that the promise could not name."""
        it = builders.granted_lessor(10.0)
        it.on_promise_request(builders.promise_request(), 10.6)
        self.assertIsNone(it.deputize(builders.SERVER, builders.D))

    def test_only_lessors_and_deputies_appoint(self) -> None:
        """Guards against an appointment that no promise will name."""
        it = builders.make_lessor(builders.D)
        it.update(builders.row(), builders.SHARDS, 10.0)
        self.assertIsNone(it.deputize(builders.SERVER, builders.A))

    def test_deputy_appoints_deputies(self) -> None:
        """Guards against leases that end in an outage longer than one rolling replacement."""
        it = acting_deputy()
        self.assertEqual(builders.deputize(), it.deputize(builders.SERVER, builders.E))
        answer = it.on_promise_request(builders.promise_request(), 10.6)
        self.assertEqual((builders.E,), answer.deputies)

    def test_deputy_of_older_token_is_named_until_fenced(self) -> None:
        """Guards against a deputy that renews the old token while the server knows no newer one."""
        it = builders.granted_lessor(10.0)
        it.deputize(builders.SERVER, builders.D)
        it.update(builders.row(2), builders.SHARDS, 10.1)
        early = it.on_promise_request(builders.promise_request(2), 10.6)
        self.assertEqual((builders.D,), early.deputies)

    def test_fenced_deputy_is_no_longer_named(self) -> None:
        """Guards against a takeover that a long gone deputy blocks."""
        it = builders.granted_lessor(10.0)
        it.deputize(builders.SERVER, builders.D)
        it.update(builders.row(2), builders.SHARDS, 10.1)
        it.on_reply(builders.reply(100.2, token=2), 10.2)
        self.assertEqual((), it.deputies(builders.SERVER))
        soon = it.on_promise_request(builders.promise_request(2), 10.2 + LEASE_BOUND_S - 0.01)
        self.assertEqual((builders.D,), soon.deputies)
        late = it.on_promise_request(builders.promise_request(2), 10.2 + LEASE_BOUND_S)
        self.assertEqual((), late.deputies)
