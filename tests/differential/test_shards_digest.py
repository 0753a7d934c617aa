"""Differential test of the digest in a server's row against one computed from all maps."""

from __future__ import annotations

import testtools
from hypothesis import given, settings
from hypothesis import strategies as st

from celerystack import ids, model
from celerystack.config import derive
from celerystack.control import change_builder, changes
from celerystack.state import codec, keys, shard_map, shards_digest
from tests.control import table_cluster

SERVERS = tuple(ids.ServerId(name) for name in ("b1", "b2", "c1", "c2"))
SERVICES = tuple(ids.ServiceName(name) for name in ("browse", "cart"))
CONFIG = "".join(
    f'[service.{name}]\nprefixes = ["/{name}/"]\nshards = 4\nchecks_token = true\n'
    for name in SERVICES
) + "".join(
    f'[server.{name}]\nservice = "{"browse" if name[0] == "b" else "cart"}"\n'
    f'zone = "z{name[1]}"\naddress = "127.0.0.1:{9000 + index}"\n'
    for index, name in enumerate(SERVERS)
)
STEPS = st.lists(
    st.tuples(
        st.sampled_from(("move", "finish", "split", "merge", "take_over", "assign", "lessors")),
        st.integers(0, 1),
        st.sets(st.integers(0, 7), min_size=1, max_size=3),
        st.integers(0, 3),
    ),
    max_size=15,
)


class TwoServiceCluster(table_cluster.TableCluster):
    """Two services, each with shards on several servers."""

    def __init__(self) -> None:
        super().__init__()
        self.write(keys.config_file("10.toml"), CONFIG.encode())
        head = codec.ConfigHead(
            version=ids.ConfigVersion(2),
            sha256_by_file={"10.toml": derive.sha256(CONFIG)},
            snapshot="",
        )
        self.write(keys.CONFIG_HEAD, codec.encode_fields(head))
        for server in SERVERS:
            incarnation = ids.Incarnation("p1")
            self.commit(
                changes.create_server(self.view, server, table_cluster.LESSORS, incarnation)
            )
        for service in self.view.configuration.services_by_name.values():
            self.commit(changes.create_map(self.view, service))
            targets = {ids.ShardId(s): SERVERS[s] for s in range(4)}
            self.commit(changes.assign(self.view, service.name, targets))

    def chunk(self, service: ids.ServiceName) -> shard_map.ShardMapChunk:
        return self.view.chunk(service, 0)[1]

    def change(
        self, kind: str, service: ids.ServiceName, numbers: set[int], server: ids.ServerId
    ) -> change_builder.Change | None:
        """Return the change that a step makes; None if no shard is in the required state."""
        chunk = self.chunk(service)
        known = chunk.shards()
        shards = sorted({known[number % len(known)] for number in numbers})
        owned = [shard for shard in shards if chunk.owner(shard) is not None]
        moving = {s: m.target for s, m in chunk.moves_by_shard.items()}
        hot = {s: ids.ShardId(h.key_hash >> 62) for s, h in chunk.hot_by_shard.items()}
        match kind:
            case "move" if owned:
                return changes.start_moves(
                    self.view, service, dict.fromkeys(owned, server), reason="test"
                )
            case "finish" if moving:
                return changes.finish_moves(self.view, service, moving)
            case "assign" if len(owned) < len(shards):
                free = dict.fromkeys(set(shards) - set(owned), server)
                return changes.assign(self.view, service, free)
            case "split":
                split = {(n % 4 << 62) + 1 + len(hot) * 8 + n: n % 4 for n in numbers}
                return changes.split_hot_keys(self.view, service, split)
            case "merge" if hot:
                mergeable = {
                    s: b
                    for s, b in hot.items()
                    if chunk.owner(s) == chunk.owner(b) and chunk.owner(s)
                }
                return (
                    changes.merge_hot_shards(self.view, service, mergeable) if mergeable else None
                )
            case "take_over":
                return self._take_over(server, numbers)
            case "lessors":
                row = self.row(server)
                return changes.replace_lessors(
                    self.view,
                    row,
                    lessors=table_cluster.LESSORS,
                    previous=row.lessors,
                    incarnation=row.incarnation,
                    reason="test",
                )
        return None

    def _take_over(self, lost: ids.ServerId, numbers: set[int]) -> change_builder.Change:
        targets: dict = {}
        for service in SERVICES:
            for shard in self.chunk(service).owned_by(lost):
                receiver = SERVERS[(shard + min(numbers)) % 4]
                targets[service, shard] = None if receiver == lost else receiver
        return changes.take_over(self.view, self.row(lost), targets_by_shard=targets, reason="test")

    def compute_digest(self, server: ids.ServerId) -> int:
        """Return the digest, computed from each shard of each map row."""
        shard_grants = []
        for row in self.cache.rows_with_prefix(keys.MAP_PREFIX):
            chunk = shard_map.ShardMapChunk.decode(row.value, key=row.key)
            service = ids.ServiceName(row.key.split("/")[1])
            for shard in chunk.shards():
                if chunk.owner(shard) == server:
                    shard_grants.append(model.ShardGrant(service, shard, chunk.epoch(shard)))
        return shards_digest.compute(shard_grants)


class ShardsDigestTest(testtools.TestCase):
    @settings(max_examples=150)
    @given(STEPS)
    def test_random_changes(self, steps) -> None:
        """Guards against a digest that differs from the maps, so that a server gets no lease."""
        cluster = TwoServiceCluster()
        for kind, service, numbers, server in steps:
            change = cluster.change(kind, SERVICES[service], numbers, SERVERS[server])
            if change is None:
                continue
            tokens = {s: cluster.row(s).token for s in SERVERS}
            before = {s: cluster.compute_digest(s) for s in SERVERS}
            cluster.commit(change)
            for each in SERVERS:
                digest = cluster.compute_digest(each)
                row = cluster.row(each)
                self.assertEqual(digest, row.shards_digest, (kind, each))
                self.assertTrue(cluster.view.is_consistent(row))
                if digest != before[each]:
                    self.assertGreater(row.token, tokens[each], (kind, each))
