"""Routes of requests, derived from the cluster view; implements `requests.ports.RouteSource`."""

from __future__ import annotations

import time
from collections.abc import Callable

from twisted.internet import defer

from celerystack import ids, model
from celerystack.control import view as cluster_view
from celerystack.state import shard_map


class Routes:
    """Looks up the service, key and owner of a request, and announces changes of routes.

    Parameters
    ----------
    may_send : callable
        Whether a request may be written to a server now; see
        `send_permission.SendPermission.may_send`.
    is_usable : callable
        Whether a server may receive new requests; used for services that are not divided by key.
    on_route : callable
        Called with the service name, key hash and shard at each lookup of `route` that finds an
        owner; retries of a request are lookups of their own.
    """

    def __init__(
        self,
        view: cluster_view.ClusterView,
        *,
        may_send: Callable[[ids.ServerId], bool],
        is_usable: Callable[[ids.ServerId], bool],
        on_route: Callable[[ids.ServiceName, ids.KeyHash, ids.ShardId], None],
    ) -> None:
        self._view = view
        self._may_send = may_send
        self._is_usable = is_usable
        self._on_route = on_route
        self._services_by_prefix: dict[str, model.Service] = {}
        self._prefix_lengths: list[int] = []
        self._evacuated_services: frozenset[ids.ServiceName] = frozenset()
        self._chunks_by_service: dict[ids.ServiceName, list[shard_map.ShardMapChunk]] = {}
        self._waiters_by_service: dict[ids.ServiceName, set[defer.Deferred[None]]] = {}
        view.add_listener(self._view_changed)

    def service_for(self, path: str) -> model.Service | None:
        """Return the service with the longest path prefix that matches; None if none does."""
        for length in self._prefix_lengths:
            service = self._services_by_prefix.get(path[:length])
            if service is not None:
                return service
        return None

    def request_key(
        self, service: model.Service, path: str, headers: tuple[tuple[bytes, bytes], ...]
    ) -> str | None:
        """Return a request's key: the key header's value, or the path segment after the prefix.

        None if the request has no key or repeats the key header.
        """
        if service.key_header:
            header_name = service.key_header.lower().encode()
            values = [value for name, value in headers if name.lower() == header_name]
            return values[0].decode("latin-1") if len(values) == 1 and values[0] else None
        prefix = max((p for p in service.prefixes if path.startswith(p)), key=len, default=None)
        if prefix is None:
            return None
        return path[len(prefix) :].split("?", 1)[0].split("/", 1)[0] or None

    def route(self, service: model.Service, key_hash: ids.KeyHash) -> model.RouteResult:
        """Return the owner of a key hash; each lookup that finds one is counted as traffic."""
        result = self.current_route(service, key_hash)
        if isinstance(result, model.Route):
            self._on_route(service.name, key_hash, result.shard)
        return result

    def current_route(self, service: model.Service, key_hash: ids.KeyHash) -> model.RouteResult:
        """Return the owner of a key hash without counting the lookup.

        If all servers of a service are in evacuated zones, no server may receive its shards. They
        stay with their owners, which get no requests.
        """
        chunks = self._chunks_by_service.get(service.name)
        if not chunks:
            return model.NoOwner(ids.ShardId(0))
        # The number of shards is fixed when the map is created; later declarations do not count.
        base = shard_map.base_shard(key_hash, chunks[-1].first_shard + chunks[-1].shard_count)
        number = shard_map.chunk_index(base)
        if number >= len(chunks):
            return model.NoOwner(base)
        chunk = chunks[number]
        shard = chunk.shard_for(key_hash, base)
        if shard in chunk.moves_by_shard:
            return model.Moving(shard)
        owner = chunk.owner(shard)
        if owner is None or service.name in self._evacuated_services:
            return model.NoOwner(shard)
        return model.Route(owner, shard, chunk.epoch(shard), _former_zones(chunk, shard))

    def servers(self, service: model.Service) -> tuple[model.BackendServer, ...]:
        """Return the servers of a service that may receive new requests."""
        servers = self._view.servers_of(service.name)
        return tuple(server for server in servers if self._is_usable(server.server))

    def server(self, server_id: ids.ServerId) -> model.BackendServer | None:
        """Return a declared server; None if it is not declared."""
        return self._view.declared_server(server_id)

    def may_send(self, server: model.BackendServer) -> bool:
        """Return whether a request may be written to a server in this reactor turn."""
        return self._may_send(server.server)

    def wait_for_change(self, service: model.Service) -> defer.Deferred[None]:
        """Return a Deferred that fires at the next change of a service's routes."""
        waiters = self._waiters_by_service.setdefault(service.name, set())
        changed: defer.Deferred[None] = defer.Deferred(waiters.discard)
        waiters.add(changed)
        return changed

    def wake(self, service: ids.ServiceName) -> None:
        """Fire the Deferreds of `wait_for_change` for a service."""
        for changed in self._waiters_by_service.pop(service, set()):
            changed.callback(None)

    def _view_changed(self, change: cluster_view.ViewChange) -> None:
        services_by_name = self._view.configuration.services_by_name
        if change.configuration:
            self._services_by_prefix = {
                prefix: service
                for service in services_by_name.values()
                for prefix in service.prefixes
            }
            lengths = {len(prefix) for prefix in self._services_by_prefix}
            self._prefix_lengths = sorted(lengths, reverse=True)
        for name in change.services:
            self._chunks_by_service[name] = [chunk for _, chunk in self._view.chunks(name)]
        if change.configuration or change.zones:
            self._evacuated_services = self._view.evacuated_services()
        for name in services_by_name if change.configuration or change.zones else change.services:
            self.wake(name)


def _former_zones(chunk: shard_map.ShardMapChunk, shard: ids.ShardId) -> tuple[ids.ZoneName, ...]:
    former = chunk.former_zones_by_shard.get(shard)
    if not former:
        return ()
    now_ms = time.time() * 1000
    return tuple(entry.zone for entry in former if entry.expires_at_ms > now_ms)
