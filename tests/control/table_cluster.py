"""Cluster view over an in-memory table, for tests of the control tasks."""

from __future__ import annotations

from celerystack import ids, model
from celerystack.control import change_builder, changes, view
from celerystack.state import cache, codec, keys
from celerystack.store import ports

CONFIG = """
[service.browse]
prefixes = ["/browse/"]
shards = 4
checks_token = true

[service.desk]
prefixes = ["/desk/"]
divided = false

[server.b1]
service = "browse"
zone = "z1"
address = "127.0.1.1:9001"

[server.b2]
service = "browse"
zone = "z2"
address = "127.0.2.1:9002"

[server.d1]
service = "desk"
zone = "z1"
address = "127.0.1.1:9003"
"""
BROWSE = ids.ServiceName("browse")
B1, B2, D1 = ids.ServerId("b1"), ids.ServerId("b2"), ids.ServerId("d1")
LESSORS = (model.LessorRef(ids.EntryVmId("e1"), ids.Incarnation("i1")),)


class ConflictError(Exception):
    """A row of a change no longer has the expected version."""


class TableCluster:
    """Applies changes and checks their conditions as the table service would."""

    def __init__(self) -> None:
        self.cache = cache.RowCache()
        self.view = view.ClusterView(self.cache)
        self._versions_by_key: dict[ids.RowKey, int] = {}
        self.write(keys.config_file("10.toml"), CONFIG.encode())
        from celerystack.config import derive

        head = codec.ConfigHead(
            version=ids.ConfigVersion(1),
            sha256_by_file={"10.toml": derive.sha256(CONFIG)},
            snapshot="",
        )
        self.write(keys.CONFIG_HEAD, codec.encode_fields(head))

    def write(self, key: ids.RowKey, value: bytes | None) -> None:
        version = self._versions_by_key.get(key, 0) + 1
        self._versions_by_key[key] = version
        self.cache.merge([ports.Row(key, ids.RowVersion(version), value)])

    def commit(self, change: change_builder.Change) -> None:
        for key, expected in change.expected_versions_by_key.items():
            if self._versions_by_key.get(key, 0) != expected:
                raise ConflictError(key)
        for write in change.writes:
            self.write(write.key, write.value)

    def create_servers(self) -> None:
        for server in (B1, B2, D1):
            self.commit(changes.create_server(self.view, server, LESSORS, ids.Incarnation("s1")))

    def assign_all(self, owner: ids.ServerId = B1) -> None:
        self.commit(changes.create_map(self.view, self.view.configuration.services_by_name[BROWSE]))
        targets = {ids.ShardId(shard): owner for shard in range(4)}
        self.commit(changes.assign(self.view, BROWSE, targets))

    def row(self, server: ids.ServerId) -> model.ServerRow:
        return self.view.server_rows_by_id[server]

    def shards_of(self, server: ids.ServerId) -> list[int]:
        return [grant.shard for grant in self.view.granted_shards(server)]
