"""Differential test of `ShardMapChunk` against a dictionary of shards."""

from __future__ import annotations

import dataclasses

import testtools
from hypothesis import given, settings
from hypothesis import strategies as st

from celerystack import errors, ids, model
from celerystack.state import shard_map

SHARDS = 4
FIRST = 8
SERVERS = ("a", "b", "c")
ZONES = ("z1", "z2", "z3")

OPERATIONS = st.lists(
    st.tuples(
        st.sampled_from(("assign", "move", "split", "merge", "former", "recode", "copy")),
        st.integers(0, 50),
        st.sampled_from((None, *SERVERS)),
        st.integers(0, 10),
    ),
    max_size=40,
)


@dataclasses.dataclass
class NaiveShard:
    owner: str | None = None
    epoch: int = 0
    move: tuple[str, str] | None = None
    key_hash: int | None = None
    former: list[tuple[str, int]] = dataclasses.field(default_factory=list)


class NaiveMap:
    """Reference implementation: a dictionary of shards; the caller chooses hot shard ids."""

    def __init__(self) -> None:
        self.shards = {FIRST + n: NaiveShard() for n in range(SHARDS)}

    def assign(self, shard: int, owner: str | None) -> None:
        entry = self.shards[shard]
        entry.owner, entry.move = owner, None
        entry.epoch += 1

    def start_move(self, shard: int, target: str) -> None:
        source = self.shards[shard].owner
        self.assign(shard, None)
        self.shards[shard].move = (source, target)

    def split(self, key_hash: int, base: int, shard: int) -> None:
        entry = self.shards[base]
        self.assign(base, entry.owner)
        self.shards[shard] = NaiveShard(entry.owner, 1, None, key_hash, list(entry.former))

    def merge(self, shard: int, base: int) -> None:
        self.shards[base].former += self.shards.pop(shard).former
        self.assign(base, self.shards[base].owner)

    def note_former(self, shard: int, zone: str, expires_at_ms: int, now_ms: int) -> None:
        entry = self.shards[shard]
        entry.former = [f for f in entry.former if f[1] > now_ms and f[0] != zone]
        entry.former.append((zone, expires_at_ms))

    def base_of_hot(self, shard: int) -> int:
        return FIRST + self.shards[shard].key_hash % SHARDS


class Pair:
    """Applies each operation to the chunk and to the reference implementation."""

    def __init__(self) -> None:
        self.chunk = shard_map.ShardMapChunk(first_shard=FIRST, shard_count=SHARDS)
        self.naive = NaiveMap()
        self.now_ms = 0

    def apply(self, kind: str, number: int, server: str | None, extra: int) -> None:
        shards = list(self.naive.shards)
        shard = shards[number % len(shards)]
        self.now_ms += 1
        match kind:
            case "assign":
                self.chunk.assign(shard, server)
                self.naive.assign(shard, server)
            case "move":
                self._move(shard, server or "a")
            case "split":
                self._split(1000 + number)
            case "merge":
                self._merge(shard)
            case "former":
                zone, expires_at_ms = ZONES[extra % 3], self.now_ms + extra
                former = shard_map.FormerZone(ids.ZoneName(zone), expires_at_ms)
                self.chunk.record_former_zone(shard, former, now_ms=self.now_ms)
                self.naive.note_former(shard, zone, expires_at_ms, self.now_ms)
            case "recode":
                self.chunk = shard_map.ShardMapChunk.decode(self.chunk.encode(), key="k")
            case "copy":
                old, self.chunk = self.chunk, self.chunk.copy()
                old.assign(ids.ShardId(FIRST), ids.ServerId("changed after the copy"))

    def _move(self, shard: int, target: str) -> None:
        if self.naive.shards[shard].owner is None:
            try:
                self.chunk.start_move(shard, target)
            except errors.CelerystackError:
                return
            raise AssertionError("a shard without an owner was moved")
        self.chunk.start_move(shard, target)
        self.naive.start_move(shard, target)

    def _split(self, key_hash: int) -> None:
        if any(entry.key_hash == key_hash for entry in self.naive.shards.values()):
            return
        base = FIRST + key_hash % SHARDS
        shard = self.chunk.split_key(ids.KeyHash(key_hash), ids.ShardId(base))
        if shard in self.naive.shards or shard < model.HOT_SHARD_BASE:
            raise AssertionError(
                f"hot shard id {shard} is already in use or not that of a hot shard"
            )
        self.naive.split(key_hash, base, shard)

    def _merge(self, shard: int) -> None:
        if self.naive.shards[shard].key_hash is None:
            return
        base = self.naive.base_of_hot(shard)
        hot, base_entry = self.naive.shards[shard], self.naive.shards[base]
        try:
            self.chunk.merge_hot_shard(shard, base)
        except errors.CelerystackError:
            if hot.move is None and hot.owner == base_entry.owner:
                raise
            return
        if hot.move is not None or hot.owner != base_entry.owner:
            raise AssertionError(
                "shards of different owners were merged, or one that is being moved"
            )
        self.naive.merge(shard, base)

    def snapshot(self) -> dict[int, tuple]:
        chunk = self.chunk
        result = {}
        for shard in chunk.shards():
            move = chunk.moves_by_shard.get(shard)
            hot = chunk.hot_by_shard.get(shard)
            result[shard] = (
                chunk.owner(shard),
                chunk.epoch(shard),
                (move.source, move.target) if move else None,
                hot.key_hash if hot else None,
                [(f.zone, f.expires_at_ms) for f in chunk.former_zones_by_shard.get(shard, ())],
            )
        return result


class ShardMapTest(testtools.TestCase):
    @settings(max_examples=300)
    @given(OPERATIONS)
    def test_operations(self, operations) -> None:
        """Guards against a wrong owner, epoch, move or former zone after any operations."""
        pair = Pair()
        for operation in operations:
            pair.apply(*operation)
            expected = {s: dataclasses.astuple(e) for s, e in pair.naive.shards.items()}
            self.assertEqual(expected, pair.snapshot(), operation)
        for server in SERVERS:
            owned = [s for s, entry in pair.naive.shards.items() if entry.owner == server]
            self.assertEqual(sorted(owned), sorted(pair.chunk.owned_by(server)))
        for key_hash in range(1000, 1051):
            base = FIRST + key_hash % SHARDS
            hot = [s for s, e in pair.naive.shards.items() if e.key_hash == key_hash]
            self.assertEqual((hot or [base])[0], pair.chunk.shard_for(key_hash, base))
