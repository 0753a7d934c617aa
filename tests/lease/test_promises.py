from __future__ import annotations

import testtools

from celerystack import timing
from celerystack.backend import messages as orders
from celerystack.lease import lessor as lessor_module
from standins.lease_model import builders

LEASE_BOUND_S = timing.LEASE_S * (1 + timing.CLOCK_DRIFT)


def acting_deputy() -> lessor_module.Lessor:
    lessor = builders.make_lessor(builders.D)
    lessor.update(builders.row(), builders.SHARDS, 10.0)
    lessor.on_deputize(builders.deputize(), 10.0)
    return lessor


class PromiseTest(testtools.TestCase):
    def test_refuses_while_server_replies(self) -> None:
        """Guards against a takeover of a server that is unreachable only for the reconciler."""
        lessor = builders.granted_lessor(10.0)
        reply = lessor.on_promise_request(builders.promise_request(), 10.49)
        self.assertFalse(reply.promised)
        self.assertTrue(lessor.may_grant_or_renew(builders.SERVER))

    def test_remaining_time_counts_from_last_reply(self) -> None:
        """Guards against a takeover before a lease from a delayed order has expired."""
        lessor = builders.granted_lessor(10.0)
        reply = lessor.on_promise_request(builders.promise_request(), 10.6)
        self.assertTrue(reply.promised)
        self.assertAlmostEqual(LEASE_BOUND_S - 0.6, reply.remaining_s)
        self.assertEqual(builders.A, reply.lessor)

    def test_order_sent_before_promise_is_covered(self) -> None:
        """Guards against a lease from a renewal that was in flight when the promise was given."""
        lessor = builders.granted_lessor(10.0)
        [renewal] = lessor.tick(10.31)
        reply = lessor.on_promise_request(builders.promise_request(), 10.51)
        # Both clocks run at the same rate; stamp 100 was taken at local time 10.0 or earlier.
        lease_end = 10.0 + (renewal.echo_stamp + timing.LEASE_S - 100.0)
        self.assertGreaterEqual(10.51 + reply.remaining_s, lease_end)

    def test_late_reply_after_promise_causes_no_order(self) -> None:
        """Guards against a grant that follows from a reply in flight when the promise was given."""
        lessor = builders.granted_lessor(10.0)
        lessor.on_promise_request(builders.promise_request(), 10.6)
        no_grant = builders.reply(101.0, result=orders.OrderResult.NO_GRANT)
        self.assertEqual([], lessor.on_reply(no_grant, 10.61))
        self.assertEqual([orders.Probe(builders.SERVER)], lessor.tick(10.9))

    def test_promise_ends_with_higher_token_only(self) -> None:
        """Guards against a promise that is lifted because the same row is received again."""
        lessor = builders.granted_lessor(10.0)
        lessor.on_promise_request(builders.promise_request(), 10.6)
        self.assertTrue(lessor.has_promised(builders.SERVER))
        self.assertEqual([], lessor.update(builders.row(), (), 10.7))
        self.assertFalse(lessor.may_grant_or_renew(builders.SERVER))
        lessor.update(builders.row(2), builders.SHARDS, 10.8)
        self.assertTrue(lessor.may_grant_or_renew(builders.SERVER))
        self.assertFalse(lessor.has_promised(builders.SERVER))

    def test_promise_covers_token_that_is_not_known_yet(self) -> None:
        """Guards against a lessor that renews under a promised token once it receives the row."""
        lessor = builders.granted_lessor(10.0)
        lessor.on_promise_request(builders.promise_request(2), 10.6)
        self.assertEqual([], lessor.update(builders.row(2), builders.SHARDS, 10.7))
        self.assertFalse(lessor.may_grant_or_renew(builders.SERVER))

    def test_refusal_keeps_earlier_promise(self) -> None:
        """Guards against a refusal that cancels an earlier promise."""
        lessor = builders.granted_lessor(10.0)
        lessor.on_promise_request(builders.promise_request(), 10.6)
        lessor.on_reply(builders.reply(101.0), 10.7)
        self.assertFalse(lessor.on_promise_request(builders.promise_request(), 10.8).promised)
        self.assertFalse(lessor.may_grant_or_renew(builders.SERVER))

    def test_superseded_request_is_refused(self) -> None:
        """Guards against a takeover with an outdated row that stops the current lessors."""
        lessor = builders.granted_lessor(10.0)
        lessor.update(builders.row(2), builders.SHARDS, 10.1)
        self.assertFalse(lessor.on_promise_request(builders.promise_request(1), 12.0).promised)

    def test_process_without_role_promises(self) -> None:
        """Guards against a takeover that waits for a deputy whose appointment was lost."""
        lessor = builders.make_lessor(builders.D)
        reply = lessor.on_promise_request(builders.promise_request(), 10.0)
        self.assertEqual((True, 0.0, ()), (reply.promised, reply.remaining_s, reply.deputies))


class DeputyTest(testtools.TestCase):
    def test_deputy_acts_like_a_lessor(self) -> None:
        """Guards against leases that expire because all lessors are lost in a table outage."""
        lessor = acting_deputy()
        [grant] = lessor.on_reply(builders.reply(100.0), 10.01)
        self.assertIsInstance(grant, orders.Grant)

    def test_new_deputy_refuses_until_it_knows_more(self) -> None:
        """Guards against a new deputy that promises before the reachable server's first reply."""
        lessor = acting_deputy()
        early = lessor.on_promise_request(builders.promise_request(), 10.49)
        self.assertFalse(early.promised)
        self.assertTrue(lessor.on_promise_request(builders.promise_request(), 10.51).promised)

    def test_role_waits_for_the_row(self) -> None:
        """Guards against losing an appointment that arrives before the row with its token."""
        lessor = builders.make_lessor(builders.D)
        self.assertEqual([], lessor.on_deputize(builders.deputize(), 10.0))
        lessor.update(builders.row(), builders.SHARDS, 10.1)
        self.assertTrue(lessor.may_grant_or_renew(builders.SERVER))

    def test_role_ends_with_next_token(self) -> None:
        """Guards against deputies that renew under a newer token than that of their appointment."""
        lessor = acting_deputy()
        lessor.update(builders.row(2), builders.SHARDS, 10.2)
        self.assertFalse(lessor.may_grant_or_renew(builders.SERVER))

    def test_promise_holds_against_later_appointment(self) -> None:
        """Guards against an appointment that was in flight when the promise was given."""
        lessor = builders.make_lessor(builders.D)
        lessor.update(builders.row(), builders.SHARDS, 10.0)
        lessor.on_promise_request(builders.promise_request(), 10.1)
        self.assertEqual([], lessor.on_deputize(builders.deputize(), 10.2))
        self.assertFalse(lessor.may_grant_or_renew(builders.SERVER))

    def test_deputies_are_named_in_the_promise(self) -> None:
        """Guards against a takeover while a deputy that it does not know of still renews."""
        lessor = builders.granted_lessor(10.0)
        self.assertEqual(builders.deputize(), lessor.deputize(builders.SERVER, builders.D))
        reply = lessor.on_promise_request(builders.promise_request(), 10.6)
        self.assertEqual((builders.D,), reply.deputies)

    def test_no_appointment_after_promise(self) -> None:
        """Guards against a deputy appointed after the promise, which could not name it."""
        lessor = builders.granted_lessor(10.0)
        lessor.on_promise_request(builders.promise_request(), 10.6)
        self.assertIsNone(lessor.deputize(builders.SERVER, builders.D))

    def test_only_lessors_and_deputies_appoint(self) -> None:
        """Guards against a deputy that no promise will name."""
        lessor = builders.make_lessor(builders.D)
        lessor.update(builders.row(), builders.SHARDS, 10.0)
        self.assertIsNone(lessor.deputize(builders.SERVER, builders.A))

    def test_deputy_appoints_deputies(self) -> None:
        """Guards against leases that expire when deputies are replaced too during a long outage."""
        lessor = acting_deputy()
        self.assertEqual(builders.deputize(), lessor.deputize(builders.SERVER, builders.E))
        reply = lessor.on_promise_request(builders.promise_request(), 10.6)
        self.assertEqual((builders.E,), reply.deputies)

    def test_deputy_of_older_token_is_named_until_fenced(self) -> None:
        """Guards against an unnamed deputy that renews the old token until a newer one arrives."""
        lessor = builders.granted_lessor(10.0)
        lessor.deputize(builders.SERVER, builders.D)
        lessor.update(builders.row(2), builders.SHARDS, 10.1)
        early = lessor.on_promise_request(builders.promise_request(2), 10.6)
        self.assertEqual((builders.D,), early.deputies)

    def test_fenced_deputy_is_no_longer_named(self) -> None:
        """Guards against a takeover blocked by a lost deputy whose token the server rejects."""
        lessor = builders.granted_lessor(10.0)
        lessor.deputize(builders.SERVER, builders.D)
        lessor.update(builders.row(2), builders.SHARDS, 10.1)
        lessor.on_reply(builders.reply(100.2, token=2), 10.2)
        self.assertEqual((), lessor.deputies(builders.SERVER))
        soon = lessor.on_promise_request(builders.promise_request(2), 10.2 + LEASE_BOUND_S - 0.01)
        self.assertEqual((builders.D,), soon.deputies)
        late = lessor.on_promise_request(builders.promise_request(2), 10.2 + LEASE_BOUND_S)
        self.assertEqual((), late.deputies)
