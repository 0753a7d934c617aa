from __future__ import annotations

import testtools

from standins import lease_state

SHARD = lease_state.ShardEpoch("atlas-browse", 3, 7)


def _order(token: int, echo: float, **fields: object) -> dict:
    return {"incarnation": "inc", "token": token, "echo_stamp": echo, "lessor": "vm", **fields}


def _grant(token: int, echo: float, *shards: lease_state.ShardEpoch) -> dict:
    entries = [[shard.service, shard.shard, shard.epoch] for shard in shards]
    return _order(token, echo, shards=entries)


class LeaseStateTest(testtools.TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.lease = lease_state.LeaseState(incarnation="inc", checked=True)

    def test_runs_only_with_lease_and_exact_epoch(self) -> None:
        """Guards against a run without a valid lease, without a shard or under another epoch."""
        self.assertEqual("no-lease", self.lease.refusal(SHARD, stamp=10.0))
        self.assertEqual("ok", self.lease.grant(_grant(1, 10.0, SHARD), stamp=10.1))
        self.assertIsNone(self.lease.refusal(SHARD, stamp=10.99))
        self.assertEqual("no-lease", self.lease.refusal(SHARD, stamp=11.0))
        older = lease_state.ShardEpoch("atlas-browse", 3, 6)
        self.assertEqual("stale-epoch", self.lease.refusal(older, stamp=10.5))
        self.assertEqual("stale-epoch", self.lease.refusal(None, stamp=10.5))

    def test_delayed_renewal_does_not_extend(self) -> None:
        """Guards against a lease that is measured from the arrival of a delayed renewal."""
        self.lease.grant(_grant(1, 10.0, SHARD), stamp=10.0)
        self.assertEqual("ok", self.lease.renew(_order(1, 10.1), stamp=10.9))
        self.assertEqual(11.1, self.lease.lease_until)

    def test_renewal_never_shortens(self) -> None:
        """Guards against a reordered renewal with an older echo that shortens the lease."""
        self.lease.grant(_grant(1, 10.5, SHARD), stamp=10.5)
        self.lease.renew(_order(1, 10.0), stamp=10.6)
        self.assertEqual(11.5, self.lease.lease_until)

    def test_renewal_after_expiry_is_rejected(self) -> None:
        """Guards against a renewal that restores a lease after its expiry; only a grant may."""
        self.lease.grant(_grant(1, 10.0, SHARD), stamp=10.0)
        self.assertEqual("no_grant", self.lease.renew(_order(1, 11.0), stamp=11.0))
        self.assertEqual("no-lease", self.lease.refusal(SHARD, stamp=11.0))

    def test_renewal_under_a_newer_token_does_not_extend_the_old_grant(self) -> None:
        """Guards against a new lessor that extends the shards granted under an older token."""
        self.lease.grant(_grant(1, 10.0, SHARD), stamp=10.0)
        self.assertEqual("no_grant", self.lease.renew(_order(2, 10.5), stamp=10.5))
        self.assertEqual(11.0, self.lease.lease_until)
        self.assertEqual("stale_token", self.lease.renew(_order(1, 10.6), stamp=10.6))

    def test_orders_for_another_incarnation_are_rejected(self) -> None:
        """Guards against a grant for an earlier process that reaches a new one at its address."""
        order = {**_grant(5, 10.0, SHARD), "incarnation": "other"}
        self.assertEqual("wrong_incarnation", self.lease.grant(order, stamp=10.0))
        self.assertEqual(0, self.lease.token)

    def test_stale_grant_is_rejected(self) -> None:
        """Guards against a grant by a replaced lessor, which still has the older token."""
        self.lease.grant(_grant(2, 10.0), stamp=10.0)
        self.assertEqual("stale_token", self.lease.grant(_grant(1, 10.0, SHARD), stamp=10.0))

    def test_stamp_from_the_future_does_not_lengthen_the_lease(self) -> None:
        """Guards against an unbounded lease from an echoed stamp that this process never sent."""
        self.lease.grant(_grant(1, 99.0, SHARD), stamp=10.0)
        self.assertEqual(11.0, self.lease.lease_until)

    def test_unchecked_server_ignores_tokens_and_leases(self) -> None:
        """Guards against an unchecked server that enforces tokens or leases."""
        lease = lease_state.LeaseState(incarnation="inc", checked=False)
        self.assertIsNone(lease.refusal(SHARD, stamp=10.0))
        lease.grant(_grant(2, 10.0), stamp=10.0)
        self.assertEqual("ok", lease.grant(_grant(1, 10.0), stamp=10.0))
        self.assertEqual("ok", lease.renew(_order(1, 10.0), stamp=99.0))


class ClockTest(testtools.TestCase):
    def test_stamp_and_back(self) -> None:
        """Guards against wrong times in the journal if the server clock has another rate."""
        clock = lease_state.Clock(offset_s=500.0, rate=1.01)
        self.assertAlmostEqual(601.0, clock.stamp(100.0))
        self.assertAlmostEqual(100.0, clock.monotonic(clock.stamp(100.0)))
