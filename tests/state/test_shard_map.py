from __future__ import annotations

import msgpack
import testtools
from hypothesis import given, settings
from hypothesis import strategies as st

from celerystack import errors, ids, model
from celerystack.state import shard_map


def make_chunk(shards: int = 8) -> shard_map.ShardMapChunk:
    return shard_map.new_chunks(shards)[0]


class ShardMapTest(testtools.TestCase):
    def test_assignment_raises_epoch(self):
        """Guards against accepting a stale request after a shard moved away and back."""
        chunk = make_chunk()
        chunk.assign(ids.ShardId(3), ids.ServerId("a"))
        first = chunk.epoch(ids.ShardId(3))
        chunk.assign(ids.ShardId(3), ids.ServerId("b"))
        chunk.assign(ids.ShardId(3), ids.ServerId("a"))
        self.assertEqual("a", chunk.owner(ids.ShardId(3)))
        self.assertGreater(chunk.epoch(ids.ShardId(3)), first)

    def test_moving_shard_has_no_owner(self):
        """Guards against two owners of a shard while it is being moved."""
        chunk = make_chunk()
        chunk.assign(ids.ShardId(1), ids.ServerId("a"))
        chunk.start_move(ids.ShardId(1), ids.ServerId("b"))
        self.assertIsNone(chunk.owner(ids.ShardId(1)))
        self.assertEqual(shard_map.Move("a", "b"), chunk.moves_by_shard[1])

    def test_split_raises_epoch_of_base_shard(self):
        """Guards against accepting requests for a split key that were routed by the old map."""
        chunk = make_chunk()
        chunk.assign(ids.ShardId(2), ids.ServerId("a"))
        before = chunk.epoch(ids.ShardId(2))
        hot = chunk.split_key(ids.KeyHash(99), ids.ShardId(2))
        self.assertEqual(hot, chunk.shard_for(ids.KeyHash(99), ids.ShardId(2)))
        self.assertGreater(chunk.epoch(ids.ShardId(2)), before)
        self.assertEqual("a", chunk.owner(hot))

    def test_hot_shard_ids_are_not_reused(self):
        """Guards against a stale grant of a merged hot shard that matches a later hot shard."""
        chunk = make_chunk()
        chunk.assign(ids.ShardId(2), ids.ServerId("a"))
        first = chunk.split_key(ids.KeyHash(99), ids.ShardId(2))
        chunk.merge_hot_shard(first, ids.ShardId(2))
        second = chunk.split_key(ids.KeyHash(99), ids.ShardId(2))
        self.assertNotEqual(first, second)

    def test_merge_is_refused_between_different_owners(self):
        """Guards against two owners of a key: those of the hot shard and of the base shard."""
        chunk = make_chunk()
        chunk.assign(ids.ShardId(2), ids.ServerId("a"))
        hot = chunk.split_key(ids.KeyHash(99), ids.ShardId(2))
        chunk.assign(hot, ids.ServerId("b"))
        self.assertRaises(errors.CelerystackError, chunk.merge_hot_shard, hot, ids.ShardId(2))

    def test_encoding_round_trip(self):
        """Guards against an encoding that loses owners, epochs, moves or hot shards."""
        chunk = make_chunk()
        chunk.assign(ids.ShardId(0), ids.ServerId("a"))
        chunk.assign(ids.ShardId(1), ids.ServerId("b"))
        chunk.start_move(ids.ShardId(1), ids.ServerId("a"))
        hot = chunk.split_key(ids.KeyHash((1 << 64) - 1), ids.ShardId(0))
        copy = shard_map.ShardMapChunk.decode(chunk.encode(), key="map/s/0")
        self.assertEqual(chunk.encode(), copy.encode())
        self.assertEqual("a", copy.owner(hot))
        self.assertEqual(chunk.split_key(ids.KeyHash(5), ids.ShardId(0)), copy.split_key(5, 0))

    def test_corrupt_rows_are_errors(self):
        """Guards against a corrupt row that raises another error or yields a wrong owner."""
        good = msgpack.unpackb(make_chunk().encode(), strict_map_key=False)
        owners = [*good[:3], b"\x05\x00\x00\x00" * 8, *good[4:]]
        short = [*good[:4], b"", *good[5:]]
        for data in (None, b"", b"\xc1", msgpack.packb([1]), msgpack.packb(owners)):
            self.assertRaises(
                errors.CorruptRowError, shard_map.ShardMapChunk.decode, data, key="map/s/0"
            )
        self.assertRaises(
            errors.CorruptRowError, shard_map.ShardMapChunk.decode, msgpack.packb(short), key="m"
        )


@settings(derandomize=True, max_examples=200)
@given(st.integers(0, (1 << 64) - 1), st.integers(1, model.BASE_SHARDS_MAX))
def test_base_shard_is_in_range(hashed: int, shards: int) -> None:
    """Guards against a key hash that maps to a shard outside of the map."""
    assert 0 <= shard_map.base_shard(ids.KeyHash(hashed), shards) < shards
