from __future__ import annotations

import testtools

from celerystack import ids, model
from celerystack.backend import messages as orders
from standins.lease_model import builders


class GrantTest(testtools.TestCase):
    def test_first_contact_probes_then_grants(self) -> None:
        """Guards against a grant without an echoed stamp, which could not be bounded in time."""
        it = builders.make_lessor()
        self.assertEqual(
            [orders.Probe(builders.SERVER)], it.update(builders.row(), builders.SHARDS, 10.0)
        )
        [grant] = it.on_reply(builders.reply(99.0, token=0), 10.01)
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
        """Guards against keys without an owner until the next renewal after a move."""
        it = builders.granted_lessor()
        [grant] = it.update(builders.row(2), (), 10.1)
        self.assertIsInstance(grant, orders.Grant)
        self.assertEqual((2, 100.0, ()), (grant.token, grant.echo_stamp, grant.shards))

    def test_older_row_is_ignored(self) -> None:
        """Guards against a late row that brings back an old list of shards."""
        it = builders.granted_lessor()
        it.update(builders.row(2), (), 10.1)
        self.assertEqual([], it.update(builders.row(1), builders.SHARDS, 10.11))
        [order] = it.tick(10.4)
        self.assertEqual((2, ()), (order.token, order.shards))

    def test_same_row_again_sends_nothing(self) -> None:
        """Guards against a grant for every received copy of a row."""
        it = builders.granted_lessor()
        self.assertEqual([], it.update(builders.row(), builders.SHARDS, 10.05))

    def test_no_grant_leads_to_grant(self) -> None:
        """Guards against a server that resumes after its lease expired and stays without one."""
        it = builders.granted_lessor()
        no_grant = builders.reply(103.0, result=orders.OrderResult.NO_GRANT)
        [grant] = it.on_reply(no_grant, 13.0)
        self.assertEqual((1, 103.0), (grant.token, grant.echo_stamp))

    def test_probe_after_silence_leads_to_grant(self) -> None:
        """Guards against a renewal of a lease that has expired in the meantime."""
        it = builders.granted_lessor()
        self.assertEqual([orders.Probe(builders.SERVER)], it.tick(15.0))
        [grant] = it.on_reply(builders.reply(105.0), 15.01)
        self.assertIsInstance(grant, orders.Grant)

    def test_other_process_gets_no_grant(self) -> None:
        """Guards against an old list of shards on a process that does not know newer tokens."""
        it = builders.granted_lessor()
        wrong = orders.OrderResult.WRONG_INCARNATION
        restarted = builders.reply(
            5.0, token=0, result=wrong, incarnation=ids.Incarnation("process-2")
        )
        self.assertEqual([], it.on_reply(restarted, 10.1))
        self.assertEqual("process-2", it.seen_incarnation(builders.SERVER))
        recorded = builders.row(2, incarnation=ids.Incarnation("process-2"))
        [grant] = it.update(recorded, builders.SHARDS, 10.2)
        self.assertEqual(("process-2", 5.0), (grant.incarnation, grant.echo_stamp))

    def test_stale_token_stops(self) -> None:
        """Guards against a replaced lessor that goes on under its old row."""
        it = builders.granted_lessor()
        stale = builders.reply(100.2, token=2, result=orders.OrderResult.STALE_TOKEN)
        self.assertEqual([], it.on_reply(stale, 10.2))
        self.assertFalse(it.is_acting(builders.SERVER))
        self.assertEqual([orders.Probe(builders.SERVER)], it.tick(10.5))
        it.update(builders.row(2), builders.SHARDS, 10.6)
        self.assertTrue(it.is_acting(builders.SERVER))

    def test_late_reply_to_older_token_does_not_stop(self) -> None:
        """Guards against a lessor that stops because of a reply from before its token."""
        it = builders.granted_lessor()
        it.update(builders.row(2), builders.SHARDS, 10.1)
        late = builders.reply(100.1, token=1)
        [grant] = it.on_reply(late, 10.15)
        self.assertEqual(2, grant.token)

    def test_follow_ups_are_limited(self) -> None:
        """Guards against an endless loop with a server that always replies ``no_grant``."""
        it = builders.granted_lessor()
        sent = 0
        for number in range(50):
            no_grant = builders.reply(101.0 + number, result=orders.OrderResult.NO_GRANT)
            sent += len(it.on_reply(no_grant, 10.1))
        self.assertLess(sent, 5)

    def test_previous_lessor_stops(self) -> None:
        """Guards against a lessor that acts under a token whose row names it as previous only."""
        it = builders.granted_lessor()
        new = builders.row(
            2, lessors=(builders.B, builders.C), previous_lessors=(builders.A, builders.B)
        )
        self.assertEqual([], it.update(new, builders.SHARDS, 10.1))
        self.assertEqual([], it.tick(11.0))

    def test_lost_row_stops(self) -> None:
        """Guards against grants to a server that was taken over."""
        it = builders.granted_lessor()
        lost = builders.row(2, state=model.ServerState.LOST)
        self.assertEqual([], it.update(lost, (), 10.1))
        self.assertFalse(it.is_acting(builders.SERVER))


class RenewalTest(testtools.TestCase):
    def test_renews_with_newest_stamp(self) -> None:
        """Guards against a renewal that echoes an older stamp and so shortens the lease."""
        it = builders.granted_lessor()
        it.on_reply(builders.reply(100.15), 10.15)
        it.on_reply(builders.reply(100.1), 10.16)
        [renewal] = it.tick(10.25)
        self.assertIsInstance(renewal, orders.Renew)
        self.assertEqual((1, 100.15), (renewal.token, renewal.echo_stamp))

    def test_renews_once_per_interval(self) -> None:
        """Guards against more renewals than the control overhead allows."""
        it = builders.granted_lessor()
        sent = sum(len(it.tick(10.2 + 0.01 * step)) for step in range(100))
        self.assertEqual(5, sent)

    def test_repeated_reply_is_no_sign_of_life(self) -> None:
        """Guards against a duplicate that makes a dead server look reachable."""
        it = builders.granted_lessor(10.0)
        it.on_reply(builders.reply(100.0), 12.0)
        self.assertEqual(10.0, it.last_reply_at(builders.SERVER))

    def test_acknowledgement_and_running_requests(self) -> None:
        """Guards against a move that finishes before the old owner dropped the shard."""
        it = builders.granted_lessor()
        it.update(builders.row(2), (), 10.1)
        self.assertIsNone(it.running_dropped(builders.SERVER))
        self.assertIsNone(it.acknowledged_token(builders.SERVER))
        it.on_reply(builders.reply(100.1, token=2, running_dropped=2), 10.11)
        self.assertEqual(2, it.running_dropped(builders.SERVER))
        self.assertEqual(2, it.acknowledged_token(builders.SERVER))
        it.on_reply(builders.reply(100.2, token=2), 10.2)
        self.assertEqual(0, it.running_dropped(builders.SERVER))
        self.assertEqual(10.11, it.acknowledged_at(builders.SERVER))

    def test_changed_shards_reset_acknowledgement(self) -> None:
        """Guards against counting the reply to an earlier list of the same token."""
        it = builders.granted_lessor()
        [grant] = it.update(builders.row(), (), 10.05)
        self.assertEqual((), grant.shards)
        self.assertIsNone(it.acknowledged_token(builders.SERVER))

    def test_watched_server_is_probed(self) -> None:
        """Guards against a server that answers while nobody notices it."""
        it = builders.make_lessor(builders.D)
        it.update(builders.row(), builders.SHARDS, 10.0)
        self.assertEqual([], it.tick(10.0))
        it.watch(frozenset({builders.SERVER}))
        self.assertEqual([orders.Probe(builders.SERVER)], it.tick(10.0))
        self.assertEqual([], it.on_reply(builders.reply(100.0), 10.01))
        it.watch(frozenset())
        self.assertEqual([], it.tick(11.0))

    def test_forgotten_server_gets_no_orders(self) -> None:
        """Guards against renewals for a server that the configuration no longer declares."""
        it = builders.granted_lessor()
        it.forget(builders.SERVER)
        self.assertEqual([], it.tick(11.0))
