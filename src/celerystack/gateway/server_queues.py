"""The queues of this VM for the servers and services that it sends calls to."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from celerystack import ids
from celerystack.backend import client
from celerystack.fleet import servers
from celerystack.forwarding import owners
from celerystack.gateway import calls, config, server_queue, server_statements, service_queue
from celerystack.limits import byte_budget, cold_starts, deadline_queue, route_work
from celerystack.ranges import model

CONNECTIONS_SHARE = 0.7
"""Fraction of a server's connections that all entry VMs together may use for requests."""
CONNECTIONS_MINIMUM = 3
"""Connections to a server that an entry VM may use even if its share is smaller."""
OWNED_CALLS_MAX = 2048
"""Maximum number of calls in an owned queue, which waits for many servers."""
IDLE_CONNECTION_S = 8.0
"""Idle time in seconds after which a connection to a server is closed."""
CONNECT_TIMEOUT_S = 0.4
"""Timeout of a connection attempt to a server in seconds."""


class ServerQueues:
    """Opens and closes server queues as the directory changes, and sizes them.

    A queue that this VM owns uses all slots of its server. Any other one uses this VM's equal share
    of them, because other entry VMs send to the server, too.

    Parameters
    ----------
    queue_owners : QueueOwners
        Which queues this VM owns.
    entry_vms : callable
        Returns the number of entry VMs that share the servers.
    statements : ServerStatements
        Takes what servers state of themselves in their responses.
    on_service_time : callable
        Called with a server and the latency in seconds of its answer.
    open_pool : callable
        Creates the connection pool of a server, with the parameters of `client.ServerPool`.
    """

    def __init__(
        self,
        reactor: Any,
        *,
        directory: servers.Directory,
        queue_owners: owners.QueueOwners,
        cold: cold_starts.ColdStarts,
        request_codec: calls.RequestCodec,
        answer_budget: byte_budget.ByteBudget,
        entry_vms: Callable[[], int],
        statements: server_statements.ServerStatements,
        on_service_time: Callable[[ids.ServerId, float], None],
        now: Callable[[], float],
        open_pool: Callable[..., client.ServerPool] = client.ServerPool,
    ) -> None:
        self._reactor = reactor
        self._directory = directory
        self._queue_owners = queue_owners
        self._cold = cold
        self._request_codec = request_codec
        self._answer_budget = answer_budget
        self._entry_vms = entry_vms
        self._statements = statements
        self._on_service_time = on_service_time
        self._now = now
        self._open_pool = open_pool
        self._route_work = route_work.RouteWork()
        self._policies: dict[ids.ServiceName, config.ServicePolicy] = {}
        self._by_service: dict[ids.ServiceName, list[server_queue.ServerQueue]] = {}
        self._owned_by_service: dict[ids.ServiceName, list[server_queue.ServerQueue]] = {}
        self._shared_queue_by_service: dict[ids.ServiceName, service_queue.ServiceQueue] = {}
        self._owned_queue_by_service: dict[ids.ServiceName, service_queue.ServiceQueue] = {}
        self._directory_version = -1
        self._sized_for: tuple[int, int, bool] | None = None
        self.by_incarnation: dict[model.ServerIncarnation, server_queue.ServerQueue] = {}

    def apply(self, policies: dict[ids.ServiceName, config.ServicePolicy]) -> None:
        """Apply the service policies of a new configuration."""
        self._policies = policies
        self._directory_version = -1

    def of_service(self, service: ids.ServiceName) -> list[server_queue.ServerQueue]:
        """Return the queues of all servers of a service."""
        return self._by_service.get(service, [])

    def owned(self, service: ids.ServiceName) -> list[server_queue.ServerQueue]:
        """Return the queues of a service's servers that this VM owns."""
        return self._owned_by_service.get(service, [])

    def is_owned(self, queue: server_queue.ServerQueue) -> bool:
        """Return whether this VM owns a queue, so that other VMs forward their calls to it."""
        entry = queue.record.entry
        owners_of = self._queue_owners
        return owners_of.is_forwarding and owners_of.owns(entry.server, entry.zone)

    def sharers(self, queue: server_queue.ServerQueue) -> int:
        """Return the number of entry VMs among which a server's limits are divided."""
        return 1 if self.is_owned(queue) else self._entry_vms()

    def owned_wait_by_service(self) -> dict[ids.ServiceName, float]:
        """Return the expected wait in seconds in the queues that this VM owns, where there is one.

        Only of unsharded services, whose calls can go to another owner.
        """
        waits = {
            service: queue.mean_wait_s() for service, queue in self._owned_queue_by_service.items()
        }
        return {service: wait_s for service, wait_s in waits.items() if wait_s > 0}

    def service_queue(self, service: ids.ServiceName, *, owned: bool) -> service_queue.ServiceQueue:
        """Return the queue of a service's calls for the owned servers, or for all servers."""
        by_service = self._owned_queue_by_service if owned else self._shared_queue_by_service
        found = by_service.get(service)
        if found is None:
            ordering = deadline_queue.IN_TIME_FIRST if owned else deadline_queue.BY_PRIORITY
            found = service_queue.ServiceQueue(
                self._reactor,
                now=self._now,
                ordering=ordering,
                route_work=self._route_work,
                length_max=OWNED_CALLS_MAX if owned else deadline_queue.LENGTH_MAX,
            )
            by_service[service] = found
            self._size_service_queues()
        return found

    def refresh(self) -> None:
        """Reconcile the server queues with the usable servers, and their sizes with the fleet."""
        if self._directory_version != self._directory.version:
            self._directory_version = self._directory.version
            self._reconcile()
            self._sized_for = None
        sized_for = (
            self._entry_vms(),
            self._queue_owners.version,
            self._queue_owners.is_forwarding,
        )
        if sized_for != self._sized_for:
            self._sized_for = sized_for
            self._resize()

    def _reconcile(self) -> None:
        usable: dict[model.ServerIncarnation, servers.ServerRecord] = {}
        for service, policy in self._policies.items():
            # Servers of an evacuated zone get requests for keys that have not moved yet.
            find = self._directory.serving if policy.sharded else self._directory.usable
            for record in find(service):
                usable[record.entry.incarnation] = record
        for incarnation in [known for known in self.by_incarnation if known not in usable]:
            closing = self.by_incarnation.pop(incarnation)
            closing.close("the server left")
        for incarnation, record in usable.items():
            existing = self.by_incarnation.get(incarnation)
            if existing is None:
                self.by_incarnation[incarnation] = self._open(record)
            else:
                existing.record = record
        self._cold.retain(usable)
        self._statements.retain(usable)
        self._by_service = {}
        for queue in self.by_incarnation.values():
            self._by_service.setdefault(queue.record.entry.service, []).append(queue)

    def _resize(self) -> None:
        """Apply the number of entry VMs and the owners to the limits."""
        self._owned_by_service = {}
        for queue in self.by_incarnation.values():
            entry = queue.record.entry
            is_owned = self.is_owned(queue)
            queue.set_sharing(entry_vms=self.sharers(queue), is_owned=is_owned)
            queue.pool.set_limit(self._connection_limit(queue.record, is_owned=is_owned))
            if is_owned:
                self._owned_by_service.setdefault(entry.service, []).append(queue)
        self._size_service_queues()

    def _size_service_queues(self) -> None:
        for service, queue in self._shared_queue_by_service.items():
            queue.set_slots(_slots(self.of_service(service)), entry_vms=self._entry_vms())
        for service, queue in self._owned_queue_by_service.items():
            queue.set_owned_slots(_slots(self.owned(service)))

    def _connection_limit(self, record: servers.ServerRecord, *, is_owned: bool) -> int:
        policy = self._policies.get(record.entry.service)
        allowed = 0.0 if policy is None else policy.connections_max * CONNECTIONS_SHARE
        minimum = max(CONNECTIONS_MINIMUM, record.entry.slots if is_owned else 0)
        return max(minimum, int(allowed / self._entry_vms()))

    def _open(self, record: servers.ServerRecord) -> server_queue.ServerQueue:
        pool = self._open_pool(
            self._reactor,
            address=record.entry.address,
            limit=self._connection_limit(record, is_owned=False),
            connect_timeout_s=CONNECT_TIMEOUT_S,
            idle_timeout_s=IDLE_CONNECTION_S,
            budget=self._answer_budget,
            now=self._now,
        )
        return server_queue.ServerQueue(
            self._reactor,
            record,
            pool=pool,
            request_codec=self._request_codec,
            entry_vms=self._entry_vms(),
            cold=self._cold,
            route_work=self._route_work,
            on_answer=self._on_answer,
            on_response=self._statements.take,
            now=self._now,
        )

    def _on_answer(
        self, answered: server_queue.ServerQueue, call: calls.Call, latency_s: float
    ) -> None:
        self._route_work.observe(call.route.name, latency_s)
        for by_service in (self._shared_queue_by_service, self._owned_queue_by_service):
            queue = by_service.get(call.service)
            if queue is not None:
                queue.observe(call, latency_s)
        self._on_service_time(answered.incarnation.server, latency_s)


def _slots(queues: list[server_queue.ServerQueue]) -> int:
    return sum(queue.record.entry.slots for queue in queues)
