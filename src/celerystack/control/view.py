"""State derived from the row cache: configuration, server rows, shard maps and grants."""

from __future__ import annotations

import dataclasses
import logging
import types
from collections.abc import Callable, Mapping

from celerystack import errors, ids, model
from celerystack.config import derive, loader
from celerystack.state import cache as row_cache
from celerystack.state import codec, keys, shard_map, shards_digest
from celerystack.store import ports

UNDIVIDED_SHARD = ids.ShardId(0)
"""The one shard of a service that is not divided by key; each of its servers is granted it."""
UNDIVIDED_EPOCH = ids.Epoch(1)
"""Epoch at which that shard is granted."""

_log = logging.getLogger(__name__)


@dataclasses.dataclass(frozen=True)
class ViewChange:
    """Parts of the view that changed when new rows were merged into the row cache.

    A transaction that changes which shards a server owns also writes that server's row.

    Attributes
    ----------
    servers : frozenset of ServerId
        Servers whose row or drain request has changed.
    services : frozenset of ServiceName
        Services whose shard map has changed.
    configuration : bool
        Whether a new configuration version is in force.
    zones : frozenset of ZoneName
        Zones whose evacuation was requested or withdrawn.
    """

    servers: frozenset[ids.ServerId]
    services: frozenset[ids.ServiceName]
    configuration: bool
    zones: frozenset[ids.ZoneName] = frozenset()


class ClusterView:
    """State shared by all tasks of one entry VM, updated only when the row cache changes.

    A server or service is declared if it is in the configuration that is in force.
    """

    def __init__(self, cache: row_cache.RowCache) -> None:
        self._cache = cache
        self._listeners: list[Callable[[ViewChange], None]] = []
        self._merger = loader.Merger()
        self._chunks_by_key: dict[ids.RowKey, shard_map.ShardMapChunk] = {}
        self.configuration = model.Configuration()
        self.server_rows_by_id: dict[ids.ServerId, model.ServerRow] = {}
        self._requested_zones: frozenset[ids.ZoneName] = frozenset()
        cache.add_listener(self._rows_changed)

    def add_listener(self, listener: Callable[[ViewChange], None]) -> None:
        """Call ``listener`` after every merge of rows."""
        self._listeners.append(listener)

    def row_version(self, key: ids.RowKey) -> ids.RowVersion:
        """Return the newest known version of a row."""
        return self._cache.get(key).version

    def declared_server(self, server: ids.ServerId) -> model.BackendServer | None:
        """Return a server's entry in the configuration; None if it is not declared."""
        return self.configuration.servers_by_id.get(server)

    def service_of(self, server: ids.ServerId) -> model.Service | None:
        """Return the service of a server; None if the server is not declared."""
        declared = self.declared_server(server)
        return self.configuration.services_by_name.get(declared.service) if declared else None

    def known_servers(self) -> list[ids.ServerId]:
        """Return all servers that are declared or have a row, by id."""
        return sorted({*self.configuration.servers_by_id, *self.server_rows_by_id})

    def servers_of(self, service: ids.ServiceName) -> list[model.BackendServer]:
        """Return the declared servers of a service, by id."""
        servers = self.configuration.servers_by_id.values()
        return sorted((s for s in servers if s.service == service), key=lambda s: s.server)

    def checks_token(self, server: ids.ServerId) -> bool:
        """Return whether a server checks tokens.

        False if it is not declared, because sending to it is then subject to the stricter rules.
        """
        declared, service = self.declared_server(server), self.service_of(server)
        if declared is not None and declared.checks_token is not None:
            return declared.checks_token
        return service is not None and service.checks_token

    def is_draining(self, server: ids.ServerId) -> bool:
        """Return whether an operator has asked for the server to be drained."""
        return self._cache.get(keys.drain(server)).value is not None

    def is_evacuated(self, server: ids.ServerId) -> bool:
        """Return whether a server is declared in a zone that an operator has evacuated."""
        declared = self.declared_server(server)
        return declared is not None and declared.zone in self._requested_zones

    def evacuated_zones(self) -> frozenset[ids.ZoneName]:
        """Return the evacuated zones in which servers are declared."""
        return self._requested_zones & self.configuration.server_zones()

    def evacuated_services(self) -> frozenset[ids.ServiceName]:
        """Return the services whose declared servers are all in evacuated zones."""
        return self.configuration.services_confined_to(self._requested_zones)

    def release_row(self, server: ids.ServerId) -> ports.Row:
        """Return the row with the operator's evidence that the server's process is gone."""
        return self._cache.get(keys.release(server))

    def chunk(
        self, service: ids.ServiceName, number: int
    ) -> tuple[ids.RowKey, shard_map.ShardMapChunk | None]:
        """Return the row key of a chunk of a shard map, and the chunk; None if it is not known."""
        key = keys.shard_map(service, number)
        return key, self._chunks_by_key.get(key)

    def chunks(self, service: ids.ServiceName) -> list[tuple[ids.RowKey, shard_map.ShardMapChunk]]:
        """Return all known chunks of a service's shard map, in order."""
        prefix = f"{keys.MAP_PREFIX}{service}/"
        known_chunks = [(k, c) for k, c in self._chunks_by_key.items() if k.startswith(prefix)]
        return sorted(known_chunks, key=lambda pair: pair[0])

    def assigned_shards(
        self,
        server: ids.ServerId,
        *,
        changed: Mapping[ids.RowKey, shard_map.ShardMapChunk] = types.MappingProxyType({}),
    ) -> list[model.ShardGrant]:
        """Return the shards that the shard maps assign to a server.

        Computed on demand: at a million shards, one object per shard and service would not fit into
        the memory of an entry VM.

        Parameters
        ----------
        changed : mapping
            Chunks that replace the known ones, by row key.
        """
        chunks = {**self._chunks_by_key, **changed}
        return [
            grant
            for key in sorted(chunks)
            for grant in shard_map.owned_shard_grants(key, chunks[key], server)
        ]

    def is_consistent(self, row: model.ServerRow) -> bool:
        """Return whether the known maps belong to the row's token, by the digest of its shards."""
        return shards_digest.compute(self.assigned_shards(row.server)) == row.shards_digest

    def granted_shards(self, server: ids.ServerId) -> tuple[model.ShardGrant, ...]:
        """Return the shards to grant to a server under the newest known rows."""
        shards = self.assigned_shards(server)
        service = self.service_of(server)
        if service is not None and not service.divided:
            shards.append(model.ShardGrant(service.name, UNDIVIDED_SHARD, UNDIVIDED_EPOCH))
        return tuple(shards)

    def _rows_changed(self, rows: list[ports.Row]) -> None:
        servers: set[ids.ServerId] = set()
        zones: set[ids.ZoneName] = set()
        services: set[ids.ServiceName] = set()
        configuration = False
        for row in rows:
            if row.key.startswith(keys.SERVER_PREFIX):
                servers |= self._load_server(row)
            elif row.key.startswith(keys.MAP_PREFIX):
                services |= self._load_chunk(row)
            elif row.key.startswith(keys.DRAIN_PREFIX):
                servers.add(ids.ServerId(row.key.removeprefix(keys.DRAIN_PREFIX)))
            elif row.key.startswith(keys.EVACUATE_PREFIX):
                zones.add(self._load_evacuation(row))
            elif row.key.startswith("config/"):
                configuration = True
        if configuration:
            configuration = self._load_configuration()
        change = ViewChange(
            frozenset(servers), frozenset(services), configuration, frozenset(zones)
        )
        for listener in self._listeners:
            listener(change)

    def _load_server(self, row: ports.Row) -> set[ids.ServerId]:
        server = ids.ServerId(row.key.removeprefix(keys.SERVER_PREFIX))
        if row.value is None:
            self.server_rows_by_id.pop(server, None)
            return {server}
        try:
            self.server_rows_by_id[server] = codec.decode_server(row.value, key=row.key)
        except errors.CorruptRowError as error:
            _log.error("ignoring corrupt row: %s", error, extra={"step": error.step})
            return set()
        return {server}

    def _load_evacuation(self, row: ports.Row) -> ids.ZoneName:
        zone = ids.ZoneName(row.key.removeprefix(keys.EVACUATE_PREFIX))
        if row.value is None:
            self._requested_zones -= {zone}
        else:
            self._requested_zones |= {zone}
        return zone

    def _load_chunk(self, row: ports.Row) -> set[ids.ServiceName]:
        service = shard_map.service_of_row_key(row.key)
        if row.value is None:
            self._chunks_by_key.pop(row.key, None)
            return {service}
        try:
            self._chunks_by_key[row.key] = shard_map.ShardMapChunk.decode(row.value, key=row.key)
        except errors.CorruptRowError as error:
            _log.error("ignoring corrupt row: %s", error, extra={"step": error.step})
            return set()
        return {service}

    def _load_configuration(self) -> bool:
        try:
            configuration = derive.configuration_from_rows(self._cache, merger=self._merger)
        except errors.CelerystackError as error:
            _log.error("ignoring invalid configuration: %s", error, extra={"step": error.step})
            return False
        if configuration is None or configuration.version <= self.configuration.version:
            return False
        self.configuration = configuration
        return True
