"""Assembles the parts that take a call from its caller to a server."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from celerystack import ids
from celerystack.backend import client
from celerystack.fleet import servers
from celerystack.forwarding import links, listener, messages, owners
from celerystack.gateway import (
    attempts,
    calls,
    config,
    dispatch,
    forwarded,
    retries,
    server_queues,
    server_statements,
)
from celerystack.limits import byte_budget, cold_starts, rate_limits
from celerystack.ranges import model


class RequestPath:
    """Dispatcher, attempts, server queues and links to queue owners of one entry VM.

    Parameters
    ----------
    vm, zone
        This entry VM and its availability zone, whose servers are preferred.
    answer_budget : ByteBudget
        Budget for the bodies of all responses that are being received.
    on_forwarded : callable
        Called with the result of each attempt that was forwarded to a queue owner.
    now : callable
        Clock in seconds to which deadlines refer.
    open_pool : callable
        Creates the connection pool of a server, with the parameters of `client.ServerPool`.
    """

    def __init__(
        self,
        reactor: Any,
        *,
        vm: ids.EntryVmId,
        zone: ids.ZoneName,
        directory: servers.Directory,
        key_routing: attempts.KeyRouting,
        queue_owners: owners.QueueOwners,
        cold_tolerance: cold_starts.ColdTolerance,
        request_codec: calls.RequestCodec,
        budget: retries.RetryBudgetShare,
        answer_budget: byte_budget.ByteBudget,
        on_forwarded: Callable[[messages.ResultKind], None] = lambda _: None,
        now: Callable[[], float],
        open_pool: Callable[..., client.ServerPool] = client.ServerPool,
    ) -> None:
        self._reactor = reactor
        self.rate_limits = rate_limits.RateLimits(now=now)
        self._cold = cold_starts.ColdStarts(
            tolerance=cold_tolerance, is_sender=queue_owners.is_only_sender, now=now
        )
        statements = server_statements.ServerStatements(
            directory=directory, request_codec=request_codec, limits=self.rate_limits
        )
        self.server_queues = server_queues.ServerQueues(
            reactor,
            directory=directory,
            queue_owners=queue_owners,
            cold=self._cold,
            request_codec=request_codec,
            answer_budget=answer_budget,
            entry_vms=lambda: key_routing.entry_vms,
            statements=statements,
            on_service_time=key_routing.record_service_time,
            now=now,
            open_pool=open_pool,
        )
        local = attempts.LocalAttempts(
            reactor,
            zone=zone,
            directory=directory,
            key_routing=key_routing,
            queues=self.server_queues,
            limits=self.rate_limits,
            now=now,
        )
        self._links = links.OwnerLinks(reactor, queue_owners, own_vm=vm, now=now)
        forwarding = forwarded.ForwardedAttempts(
            vm=vm,
            queue_owners=queue_owners,
            owner_links=self._links,
            directory=directory,
            key_routing=key_routing,
            local=local,
            cold=self._cold,
            on_forwarded=on_forwarded,
            now=now,
        )
        self.dispatcher = dispatch.Dispatcher(
            attempts=forwarding, key_routing=key_routing, budget=budget, now=now
        )
        owned = forwarded.OwnedAttempts(local=local, policy=self.dispatcher.policy, now=now)
        self.listener = listener.CallListener(owned.run)

    def start(self, address: tuple[str, int]) -> None:
        """Accept forwarded calls at an address, and open the streams to the queue owners."""
        host, port = address
        self._reactor.listenTCP(port, self.listener, 128, host)
        self._links.start()

    def apply(self, policies: dict[ids.ServiceName, config.ServicePolicy]) -> None:
        """Apply the service policies of a new configuration."""
        self.dispatcher.apply(policies)
        self.server_queues.apply(policies)
        self._cold.set_policies({name: policy.cold for name, policy in policies.items()})

    def owned_servers(self) -> int:
        """Return the number of servers whose queues this VM owns."""
        return sum(map(self.server_queues.is_owned, self.server_queues.by_incarnation.values()))

    def owned_calls(self) -> int:
        """Return the number of calls in flight or queued at the servers whose queues it owns."""
        return sum(
            queue.load
            for queue in self.server_queues.by_incarnation.values()
            if self.server_queues.is_owned(queue)
        )

    def cold_rejections(self) -> int:
        """Return how many requests were not sent to cold servers."""
        return self._cold.rejections

    def refusing_servers(self) -> list[model.ServerIncarnation]:
        """Return the server incarnations whose recent connection attempts failed."""
        return [
            incarnation
            for incarnation, queue in self.server_queues.by_incarnation.items()
            if queue.is_refusing
        ]
