from __future__ import annotations

import testtools

from celerystack import ids, model
from celerystack.backend import messages as orders
from standins.lease_model import builders


class GrantTest(testtools.TestCase):
    def test_first_contact_probes_then_grants(self) -> None:
        """Guards against a grant without an echoed stamp, whose lease would have no known end."""
        lessor = builders.make_lessor()
        self.assertEqual(
            [orders.Probe(builders.SERVER)], lessor.update(builders.row(), builders.SHARDS, 10.0)
        )
        [grant] = lessor.on_reply(builders.reply(99.0, token=0), 10.01)
        self.assertEqual(
            orders.Grant(
                server=builders.SERVER,
                incarnation=builders.PROCESS,
                token=ids.Token(1),
                echo_stamp=99.0,
                shards=builders.SHARDS,
            ),
            grant,
        )

    def test_higher_token_grants_at_once(self) -> None:
        """Guards against moved keys that have no owner until the next renewal."""
        lessor = builders.granted_lessor()
        [grant] = lessor.update(builders.row(2), (), 10.1)
        self.assertIsInstance(grant, orders.Grant)
        self.assertEqual((2, 100.0, ()), (grant.token, grant.echo_stamp, grant.shards))

    def test_older_row_is_ignored(self) -> None:
        """Guards against a delayed row that restores an outdated list of shards."""
        lessor = builders.granted_lessor()
        lessor.update(builders.row(2), (), 10.1)
        self.assertEqual([], lessor.update(builders.row(1), builders.SHARDS, 10.11))
        [order] = lessor.tick(10.4)
        self.assertEqual((2, ()), (order.token, order.shards))

    def test_same_row_again_sends_nothing(self) -> None:
        """Guards against a grant for every received copy of a row."""
        lessor = builders.granted_lessor()
        self.assertEqual([], lessor.update(builders.row(), builders.SHARDS, 10.05))

    def test_no_grant_leads_to_grant(self) -> None:
        """Guards against a resumed server that gets no new lease after its old one expired."""
        lessor = builders.granted_lessor()
        no_grant = builders.reply(103.0, result=orders.OrderResult.NO_GRANT)
        [grant] = lessor.on_reply(no_grant, 13.0)
        self.assertEqual((1, 103.0), (grant.token, grant.echo_stamp))

    def test_probe_after_silence_leads_to_grant(self) -> None:
        """Guards against renewing a lease that expired while the server did not reply."""
        lessor = builders.granted_lessor()
        self.assertEqual([orders.Probe(builders.SERVER)], lessor.tick(15.0))
        [grant] = lessor.on_reply(builders.reply(105.0), 15.01)
        self.assertIsInstance(grant, orders.Grant)

    def test_other_process_gets_no_grant(self) -> None:
        """Guards against granting to a restarted process, which cannot reject outdated tokens."""
        lessor = builders.granted_lessor()
        wrong = orders.OrderResult.WRONG_INCARNATION
        restarted = builders.reply(
            5.0, token=0, result=wrong, incarnation=ids.Incarnation("process-2")
        )
        self.assertEqual([], lessor.on_reply(restarted, 10.1))
        self.assertEqual("process-2", lessor.seen_incarnation(builders.SERVER))
        recorded = builders.row(2, incarnation=ids.Incarnation("process-2"))
        [grant] = lessor.update(recorded, builders.SHARDS, 10.2)
        self.assertEqual(("process-2", 5.0), (grant.incarnation, grant.echo_stamp))

    def test_stale_token_stops(self) -> None:
        """Guards against a replaced lessor that continues to renew under its outdated row."""
        lessor = builders.granted_lessor()
        stale = builders.reply(100.2, token=2, result=orders.OrderResult.STALE_TOKEN)
        self.assertEqual([], lessor.on_reply(stale, 10.2))
        self.assertFalse(lessor.may_grant_or_renew(builders.SERVER))
        self.assertEqual([orders.Probe(builders.SERVER)], lessor.tick(10.5))
        lessor.update(builders.row(2), builders.SHARDS, 10.6)
        self.assertTrue(lessor.may_grant_or_renew(builders.SERVER))

    def test_late_reply_to_older_token_does_not_stop(self) -> None:
        """Guards against a lessor that stops because of a delayed reply with an older token."""
        lessor = builders.granted_lessor()
        lessor.update(builders.row(2), builders.SHARDS, 10.1)
        late = builders.reply(100.1, token=1)
        [grant] = lessor.on_reply(late, 10.15)
        self.assertEqual(2, grant.token)

    def test_follow_ups_are_limited(self) -> None:
        """Guards against an endless loop of grants to a server that always replies ``no_grant``."""
        lessor = builders.granted_lessor()
        sent = 0
        for number in range(50):
            no_grant = builders.reply(101.0 + number, result=orders.OrderResult.NO_GRANT)
            sent += len(lessor.on_reply(no_grant, 10.1))
        self.assertLess(sent, 5)

    def test_previous_lessor_stops(self) -> None:
        """Guards against orders from a lessor that the row names only as a previous one."""
        lessor = builders.granted_lessor()
        new = builders.row(
            2, lessors=(builders.B, builders.C), previous_lessors=(builders.A, builders.B)
        )
        self.assertEqual([], lessor.update(new, builders.SHARDS, 10.1))
        self.assertEqual([], lessor.tick(11.0))

    def test_lost_row_stops(self) -> None:
        """Guards against grants to a server that was taken over."""
        lessor = builders.granted_lessor()
        lost = builders.row(2, state=model.ServerState.LOST)
        self.assertEqual([], lessor.update(lost, (), 10.1))
        self.assertFalse(lessor.may_grant_or_renew(builders.SERVER))


class RenewalTest(testtools.TestCase):
    def test_renews_with_newest_stamp(self) -> None:
        """Guards against a renewal that echoes an older stamp and so extends the lease less."""
        lessor = builders.granted_lessor()
        lessor.on_reply(builders.reply(100.15), 10.15)
        lessor.on_reply(builders.reply(100.1), 10.16)
        [renewal] = lessor.tick(10.25)
        self.assertIsInstance(renewal, orders.Renew)
        self.assertEqual((1, 100.15), (renewal.token, renewal.echo_stamp))

    def test_renews_once_per_interval(self) -> None:
        """Guards against renewing more often than once per `timing.RENEW_S`."""
        lessor = builders.granted_lessor()
        sent = sum(len(lessor.tick(10.2 + 0.01 * step)) for step in range(100))
        self.assertEqual(5, sent)

    def test_repeated_reply_is_no_sign_of_life(self) -> None:
        """Guards against a duplicate reply that makes a dead server appear reachable."""
        lessor = builders.granted_lessor(10.0)
        lessor.on_reply(builders.reply(100.0), 12.0)
        self.assertEqual(10.0, lessor.last_reply_at(builders.SERVER))

    def test_acknowledgement_and_running_requests(self) -> None:
        """Guards against a move that finishes before the old owner has released the shard."""
        lessor = builders.granted_lessor()
        lessor.update(builders.row(2), (), 10.1)
        self.assertIsNone(lessor.running_dropped(builders.SERVER))
        self.assertIsNone(lessor.acknowledged_token(builders.SERVER))
        lessor.on_reply(builders.reply(100.1, token=2, running_dropped=2), 10.11)
        self.assertEqual(2, lessor.running_dropped(builders.SERVER))
        self.assertEqual(2, lessor.acknowledged_token(builders.SERVER))
        lessor.on_reply(builders.reply(100.2, token=2), 10.2)
        self.assertEqual(0, lessor.running_dropped(builders.SERVER))
        self.assertEqual(10.11, lessor.acknowledged_at(builders.SERVER))

    def test_changed_shards_reset_acknowledgement(self) -> None:
        """Guards against taking the reply to an earlier list of shards as an acknowledgement."""
        lessor = builders.granted_lessor()
        [grant] = lessor.update(builders.row(), (), 10.05)
        self.assertEqual((), grant.shards)
        self.assertIsNone(lessor.acknowledged_token(builders.SERVER))

    def test_probed_servers_get_probes(self) -> None:
        """Guards against a server that could reply but is probed by no entry VM."""
        lessor = builders.make_lessor(builders.D)
        lessor.update(builders.row(), builders.SHARDS, 10.0)
        self.assertEqual([], lessor.tick(10.0))
        lessor.set_probed_servers(frozenset({builders.SERVER}))
        self.assertEqual([orders.Probe(builders.SERVER)], lessor.tick(10.0))
        self.assertEqual([], lessor.on_reply(builders.reply(100.0), 10.01))
        lessor.set_probed_servers(frozenset())
        self.assertEqual([], lessor.tick(11.0))

    def test_forgotten_server_gets_no_orders(self) -> None:
        """Guards against renewals for a server that the configuration no longer declares."""
        lessor = builders.granted_lessor()
        lessor.forget(builders.SERVER)
        self.assertEqual([], lessor.tick(11.0))
