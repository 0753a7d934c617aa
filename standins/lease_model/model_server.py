"""Lease logic of a backend server as defined in section 4.1 of the design page, without I/O."""

from __future__ import annotations

from celerystack import ids, model, timing
from celerystack.backend import messages


class ModelServer:
    """One server process; all times are readings of its monotonic clock."""

    def __init__(self, server: ids.ServerId, incarnation: ids.Incarnation) -> None:
        self.server = server
        self.incarnation = incarnation
        self.token = ids.Token(0)
        self.lease_until = float("-inf")
        self.epochs_by_shard: dict[tuple[ids.ServiceName, ids.ShardId], ids.Epoch] = {}

    def handle(self, order: messages.Order, clock: float) -> messages.OrderReply:
        """Apply an order that arrives at the server time ``clock``."""
        return messages.OrderReply(
            server=self.server,
            result=self._result(order, clock),
            incarnation=self.incarnation,
            token=self.token,
            stamp=clock,
        )

    def _result(self, order: messages.Order, clock: float) -> messages.OrderResult:
        if isinstance(order, messages.Probe):
            return messages.OrderResult.OK
        if order.incarnation != self.incarnation:
            return messages.OrderResult.WRONG_INCARNATION
        if order.token < self.token:
            return messages.OrderResult.STALE_TOKEN
        if isinstance(order, messages.Grant):
            self.token = order.token
            self.epochs_by_shard = {(g.service, g.shard): g.epoch for g in order.shards}
        elif order.token > self.token or not self.has_lease(clock):
            return messages.OrderResult.NO_GRANT
        self.lease_until = max(self.lease_until, self.lease_end(order, clock))
        if not self.has_lease(clock):
            return messages.OrderResult.NO_GRANT
        return messages.OrderResult.OK

    def lease_end(self, order: messages.Renew | messages.Grant, clock: float) -> float:
        """Return the end of the lease that the order grants or renews."""
        return order.echo_stamp + timing.LEASE_S

    def has_lease(self, clock: float) -> bool:
        """Return whether the lease is valid at ``clock``."""
        return clock < self.lease_until

    def accepts(self, grant: model.ShardGrant, clock: float) -> bool:
        """Return whether a request for this shard and epoch would run."""
        held = self.epochs_by_shard.get((grant.service, grant.shard))
        return self.has_lease(clock) and held == grant.epoch

    def shards(self, clock: float) -> set[tuple[ids.ServiceName, ids.ShardId]]:
        """Return the shards whose requests would run if they carry the granted epoch."""
        return set(self.epochs_by_shard) if self.has_lease(clock) else set()
