from __future__ import annotations

import testtools

from celerystack import ids, model, timing
from celerystack.backend import messages
from standins.lease_model import builders, model_server

OK, NO_GRANT = messages.OrderResult.OK, messages.OrderResult.NO_GRANT


def grant(token: int = 1, echo: float = 100.0, **changes: object) -> messages.Grant:
    fields = {"incarnation": builders.PROCESS, "shards": builders.SHARDS} | changes
    return messages.Grant(server=builders.SERVER, token=ids.Token(token), echo_stamp=echo, **fields)


def renewal(token: int = 1, echo: float = 100.0) -> messages.Renew:
    return messages.Renew(
        server=builders.SERVER,
        incarnation=builders.PROCESS,
        token=ids.Token(token),
        echo_stamp=echo,
    )


class ModelServerTest(testtools.TestCase):
    """The server model of the simulation follows section 4.1 of the design page."""

    def setUp(self) -> None:
        super().setUp()
        self.server = model_server.ModelServer(builders.SERVER, builders.PROCESS)

    def result(self, order: messages.Order, clock: float) -> messages.OrderResult:
        return self.server.handle(order, clock).result

    def test_lease_counts_from_echoed_stamp(self) -> None:
        """Guards against a model that extends a lease from the receipt of a delayed order."""
        self.assertIs(OK, self.result(grant(echo=100.0), 100.6))
        self.assertTrue(self.server.accepts(builders.SHARDS[0], 100.99))
        self.assertFalse(self.server.accepts(builders.SHARDS[0], 100.0 + timing.LEASE_S))
        self.assertIs(NO_GRANT, self.result(renewal(echo=100.0), 101.0))

    def test_lease_is_never_shortened(self) -> None:
        """Guards against a model that ends a lease early when it sees a newer token."""
        self.result(grant(echo=100.5), 100.6)
        self.result(grant(2, echo=100.0), 100.7)
        self.assertTrue(self.server.has_lease(101.4))

    def test_renewal_creates_no_grant(self) -> None:
        """Guards against a model that keeps an outdated list of shards under a newer token."""
        self.assertIs(NO_GRANT, self.result(renewal(), 100.1))
        self.result(grant(), 100.1)
        self.assertIs(NO_GRANT, self.result(renewal(2), 100.2))
        self.assertEqual(1, self.server.token)

    def test_older_token_and_other_process_are_rejected(self) -> None:
        """Guards against a model that accepts orders with an older token or for another process."""
        self.result(grant(2), 100.1)
        self.assertIs(messages.OrderResult.STALE_TOKEN, self.result(grant(1), 100.2))
        other = grant(3, incarnation=ids.Incarnation("process-0"))
        self.assertIs(messages.OrderResult.WRONG_INCARNATION, self.result(other, 100.2))

    def test_other_epoch_is_rejected(self) -> None:
        """Guards against a model that accepts requests from routers with an outdated map."""
        self.result(grant(), 100.1)
        old = model.ShardGrant(builders.SHARDS[0].service, builders.SHARDS[0].shard, ids.Epoch(2))
        self.assertFalse(self.server.accepts(old, 100.2))
