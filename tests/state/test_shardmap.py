from __future__ import annotations

import msgpack
import testtools
from hypothesis import given, settings
from hypothesis import strategies as st

from celerystack import errors, ids, model
from celerystack.state import shardmap


def chunk(shards: int = 8) -> shardmap.ShardMapChunk:
    return shardmap.new_chunks(shards)[0]


class ShardMapTest(testtools.TestCase):
    def test_assignment_raises_epoch(self):
        """Guards against requests with an old epoch being accepted after a move and back."""
        shards = chunk()
        shards.assign(ids.ShardId(3), ids.ServerId("a"))
        first = shards.epoch(ids.ShardId(3))
        shards.assign(ids.ShardId(3), ids.ServerId("b"))
        shards.assign(ids.ShardId(3), ids.ServerId("a"))
        self.assertEqual("a", shards.owner(ids.ShardId(3)))
        self.assertGreater(shards.epoch(ids.ShardId(3)), first)

    def test_moving_shard_has_no_owner(self):
        """Guards against two owners while a move is in progress."""
        shards = chunk()
        shards.assign(ids.ShardId(1), ids.ServerId("a"))
        shards.start_move(ids.ShardId(1), ids.ServerId("b"))
        self.assertIsNone(shards.owner(ids.ShardId(1)))
        self.assertEqual(shardmap.Move("a", "b"), shards.moves_by_shard[1])

    def test_split_raises_epoch_of_base_shard(self):
        """Guards against routers with the older map that send the key with its old range."""
        shards = chunk()
        shards.assign(ids.ShardId(2), ids.ServerId("a"))
        before = shards.epoch(ids.ShardId(2))
        hot = shards.split_hot(ids.KeyHash(99), ids.ShardId(2))
        self.assertEqual(hot, shards.shard_for(ids.KeyHash(99), ids.ShardId(2)))
        self.assertGreater(shards.epoch(ids.ShardId(2)), before)
        self.assertEqual("a", shards.owner(hot))

    def test_hot_shard_ids_are_not_reused(self):
        """Guards against an old grant of a merged hot shard matching a later one."""
        shards = chunk()
        shards.assign(ids.ShardId(2), ids.ServerId("a"))
        first = shards.split_hot(ids.KeyHash(99), ids.ShardId(2))
        shards.merge_hot(first, ids.ShardId(2))
        second = shards.split_hot(ids.KeyHash(99), ids.ShardId(2))
        self.assertNotEqual(first, second)

    def test_merge_is_refused_between_different_owners(self):
        """Guards against giving a key to a second owner."""
        shards = chunk()
        shards.assign(ids.ShardId(2), ids.ServerId("a"))
        hot = shards.split_hot(ids.KeyHash(99), ids.ShardId(2))
        shards.assign(hot, ids.ServerId("b"))
        self.assertRaises(errors.CelerystackError, shards.merge_hot, hot, ids.ShardId(2))

    def test_encoding_round_trip(self):
        """Guards against losing owners, epochs, moves or hot shards in the table."""
        shards = chunk()
        shards.assign(ids.ShardId(0), ids.ServerId("a"))
        shards.assign(ids.ShardId(1), ids.ServerId("b"))
        shards.start_move(ids.ShardId(1), ids.ServerId("a"))
        hot = shards.split_hot(ids.KeyHash((1 << 64) - 1), ids.ShardId(0))
        copy = shardmap.ShardMapChunk.decode(shards.encode(), key="map/s/0")
        self.assertEqual(shards.encode(), copy.encode())
        self.assertEqual("a", copy.owner(hot))
        self.assertEqual(shards.split_hot(ids.KeyHash(5), ids.ShardId(0)), copy.split_hot(5, 0))

    def test_corrupt_rows_are_errors(self):
        """Guards against a crash or a wrong owner from a corrupt row."""
        good = msgpack.unpackb(chunk().encode(), strict_map_key=False)
        owners = [*good[:3], b"\x05\x00\x00\x00" * 8, *good[4:]]
        short = [*good[:4], b"", *good[5:]]
        for data in (None, b"", b"\xc1", msgpack.packb([1]), msgpack.packb(owners)):
            self.assertRaises(
                errors.CorruptRowError, shardmap.ShardMapChunk.decode, data, key="map/s/0"
            )
        self.assertRaises(
            errors.CorruptRowError, shardmap.ShardMapChunk.decode, msgpack.packb(short), key="m"
        )


@settings(derandomize=True, max_examples=200)
@given(st.integers(0, (1 << 64) - 1), st.integers(1, model.BASE_SHARDS_MAX))
def test_base_shard_is_in_range(hashed: int, shards: int) -> None:
    """Guards against a key hash outside the map."""
    assert 0 <= shardmap.base_shard(ids.KeyHash(hashed), shards) < shards
