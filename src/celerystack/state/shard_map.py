"""Compact shard map of one service: owner and epoch per shard in arrays.

A map is divided into chunks of `CHUNK_SHARDS` base shards; each chunk is one table row. A hot shard
is stored in the chunk of the base shard that contains its key, a move in the chunk of its shard.
"""

from __future__ import annotations

import array
import copy
import dataclasses
import hashlib

import msgpack

from celerystack import errors, ids, model
from celerystack.state import codec, keys

CHUNK_SHARDS = 4096
NO_OWNER = 0xFFFF_FFFF
_EPOCH_TYPECODE = "I"
_OWNER_TYPECODE = "I"


def key_hash(key: str) -> ids.KeyHash:
    """Return the 64-bit hash of a key (BLAKE2b, 8 bytes, big endian)."""
    digest = hashlib.blake2b(key.encode("utf-8", "surrogateescape"), digest_size=8).digest()
    return ids.KeyHash(int.from_bytes(digest, "big"))


def base_shard(hashed: ids.KeyHash, shards: int) -> ids.ShardId:
    """Return the base shard of a key hash; base shards are equal ranges of the hash space."""
    return ids.ShardId((hashed * shards) >> model.HASH_BITS)


def chunk_index(shard: ids.ShardId) -> int:
    """Return the index of the chunk that holds a base shard."""
    return shard // CHUNK_SHARDS


@dataclasses.dataclass(frozen=True)
class Move:
    """A move of a shard in progress, during which the shard has no owner."""

    source: ids.ServerId
    target: ids.ServerId


@dataclasses.dataclass(frozen=True)
class FormerZone:
    """Zone of a former owner, kept until all claims of request ids there have expired.

    Attributes
    ----------
    expires_at_ms : int
        Expiry in milliseconds since 1970; the wall clock is the only one that entry VMs share.
    """

    zone: ids.ZoneName
    expires_at_ms: int


@dataclasses.dataclass
class HotShard:
    """Key, owner and epoch of a hot shard, which holds one key only."""

    key_hash: ids.KeyHash
    owner: ids.ServerId | None
    epoch: ids.Epoch


class ShardMapChunk:
    """Owners, epochs, moves and hot shards of one chunk.

    Attributes
    ----------
    first_shard, shard_count : int
        Base shards covered: ``first_shard`` up to ``first_shard + shard_count``, exclusive.
    hot_by_shard : dict
        Hot shards by id.
    moves_by_shard : dict
        Moves in progress by shard id.
    former_zones_by_shard : dict
        Zones of former owners by shard id.
    """

    def __init__(self, *, first_shard: int, shard_count: int) -> None:
        self.first_shard = first_shard
        self.shard_count = shard_count
        self.hot_by_shard: dict[ids.ShardId, HotShard] = {}
        self.moves_by_shard: dict[ids.ShardId, Move] = {}
        self.former_zones_by_shard: dict[ids.ShardId, tuple[FormerZone, ...]] = {}
        self._servers: list[ids.ServerId] = []
        self._index_by_server: dict[ids.ServerId, int] = {}
        self._owners = array.array(_OWNER_TYPECODE, [NO_OWNER]) * shard_count
        self._epochs = array.array(_EPOCH_TYPECODE, [0]) * shard_count
        self._hot_shard_by_hash: dict[ids.KeyHash, ids.ShardId] = {}
        self._next_hot_shard = model.HOT_SHARD_BASE + first_shard

    def copy(self) -> ShardMapChunk:
        """Return a deep copy, which a transaction can change."""
        return copy.deepcopy(self)

    def shards(self) -> list[ids.ShardId]:
        """Return all shard ids, base shards first."""
        base = range(self.first_shard, self.first_shard + self.shard_count)
        return [*map(ids.ShardId, base), *self.hot_by_shard]

    def shard_for(self, hashed: ids.KeyHash, base: ids.ShardId) -> ids.ShardId:
        """Return the hot shard of a key hash; ``base`` if it has none."""
        return self._hot_shard_by_hash.get(hashed, base)

    def owner(self, shard: ids.ShardId) -> ids.ServerId | None:
        """Return the owner; None if the shard has none."""
        if shard >= model.HOT_SHARD_BASE:
            return self.hot_by_shard[shard].owner
        index = self._owners[shard - self.first_shard]
        return None if index == NO_OWNER else self._servers[index]

    def owned_by(self, server: ids.ServerId) -> list[ids.ShardId]:
        """Return the shards of one server; takes time proportional to the number of shards."""
        index = self._index_by_server.get(server)
        hot = [shard for shard, entry in self.hot_by_shard.items() if entry.owner == server]
        if index is None:
            return hot
        first = self.first_shard
        base = [ids.ShardId(first + i) for i, o in enumerate(self._owners) if o == index]
        return base + hot

    def epoch(self, shard: ids.ShardId) -> ids.Epoch:
        """Return the epoch that requests for the shard must carry."""
        if shard >= model.HOT_SHARD_BASE:
            return self.hot_by_shard[shard].epoch
        return ids.Epoch(self._epochs[shard - self.first_shard])

    def assign(self, shard: ids.ShardId, owner: ids.ServerId | None) -> None:
        """Set the owner, increment the epoch and end any move of the shard."""
        self.moves_by_shard.pop(shard, None)
        if shard >= model.HOT_SHARD_BASE:
            hot = self.hot_by_shard[shard]
            hot.owner = owner
            hot.epoch = ids.Epoch(hot.epoch + 1)
            return
        position = shard - self.first_shard
        self._owners[position] = NO_OWNER if owner is None else self._server_index(owner)
        self._epochs[position] += 1

    def record_former_zone(self, shard: ids.ShardId, former: FormerZone, *, now_ms: int) -> None:
        """Add the zone of a former owner and drop those that have expired."""
        known = self.former_zones_by_shard.get(shard, ())
        kept = [f for f in known if f.expires_at_ms > now_ms and f.zone != former.zone]
        self.former_zones_by_shard[shard] = (*kept, former)

    def start_move(self, shard: ids.ShardId, target: ids.ServerId) -> None:
        """Take the shard from its owner, increment the epoch and record the move."""
        source = self.owner(shard)
        if source is None:
            raise errors.CelerystackError(
                f"cannot move shard {shard}: it has no owner", step="shardmap.start_move"
            )
        self.assign(shard, None)
        self.moves_by_shard[shard] = Move(source, target)

    def split_key(self, hashed: ids.KeyHash, base: ids.ShardId) -> ids.ShardId:
        """Split a key off into a hot shard with the owner of its base shard; return the new shard.

        Increments the epoch of the base shard, so that servers refuse requests for the key that
        were routed by the old map.
        """
        owner = self.owner(base)
        self.assign(base, owner)
        shard = ids.ShardId(self._next_hot_shard)
        self._next_hot_shard += model.BASE_SHARDS_MAX
        self.hot_by_shard[shard] = HotShard(hashed, owner, ids.Epoch(1))
        self._hot_shard_by_hash[hashed] = shard
        if base in self.former_zones_by_shard:
            self.former_zones_by_shard[shard] = self.former_zones_by_shard[base]
        return shard

    def merge_hot_shard(self, shard: ids.ShardId, base: ids.ShardId) -> None:
        """Merge a hot shard into its base shard and increment the epoch of the base shard.

        Raises
        ------
        errors.CelerystackError
            If the owners differ or a move of the hot shard is in progress.
        """
        if self.owner(shard) != self.owner(base) or shard in self.moves_by_shard:
            raise errors.CelerystackError(
                f"cannot merge hot shard {shard} into {base}: owners differ or it is being moved",
                step="shardmap.merge_hot",
            )
        self._hot_shard_by_hash.pop(self.hot_by_shard.pop(shard).key_hash)
        former = self.former_zones_by_shard.pop(shard, ())
        if former:
            known = self.former_zones_by_shard.get(base, ())
            self.former_zones_by_shard[base] = (*known, *former)
        self.assign(base, self.owner(base))

    def _server_index(self, server: ids.ServerId) -> int:
        index = self._index_by_server.get(server)
        if index is None:
            index = len(self._servers)
            self._servers.append(server)
            self._index_by_server[server] = index
        return index

    def encode(self) -> bytes:
        """Return the value of the chunk's row."""
        hot = [[s, h.key_hash, h.owner, h.epoch] for s, h in self.hot_by_shard.items()]
        moves = [[s, m.source, m.target] for s, m in self.moves_by_shard.items()]
        former = [
            [shard, [[f.zone, f.expires_at_ms] for f in zones]]
            for shard, zones in self.former_zones_by_shard.items()
        ]
        return msgpack.packb(
            [
                self.first_shard,
                self.shard_count,
                self._servers,
                self._owners.tobytes(),
                self._epochs.tobytes(),
                hot,
                moves,
                self._next_hot_shard,
                former,
            ]
        )

    @classmethod
    def decode(cls, data: bytes | None, *, key: str) -> ShardMapChunk:
        """Decode a row value; raises `errors.CorruptRowError` if it is malformed."""
        fields = codec.unpack(data, key=key)
        try:
            return cls._from_fields(fields)
        except (TypeError, ValueError, IndexError) as error:
            raise errors.CorruptRowError(
                f"row {key} is malformed: {error}", step="shardmap.decode", peer="table"
            ) from error

    @classmethod
    def _from_fields(cls, fields: list) -> ShardMapChunk:
        first, count, servers, owners, epochs, hot, moves, next_hot_shard, former = fields
        chunk = cls(first_shard=first, shard_count=count)
        chunk._servers = list(servers)
        chunk._index_by_server = {server: index for index, server in enumerate(servers)}
        chunk._owners = array.array(_OWNER_TYPECODE, owners)
        chunk._epochs = array.array(_EPOCH_TYPECODE, epochs)
        if len(chunk._owners) != count or len(chunk._epochs) != count:
            raise ValueError("array length differs from the shard count")
        if any(index != NO_OWNER and index >= len(servers) for index in chunk._owners):
            raise ValueError("owner index out of range")
        for shard, hashed, owner, epoch in hot:
            chunk.hot_by_shard[shard] = HotShard(hashed, owner, epoch)
            chunk._hot_shard_by_hash[hashed] = shard
        chunk.moves_by_shard = {shard: Move(source, target) for shard, source, target in moves}
        chunk._next_hot_shard = next_hot_shard
        chunk.former_zones_by_shard = {
            shard: tuple(FormerZone(zone, int(expires_at_ms)) for zone, expires_at_ms in zones)
            for shard, zones in former
        }
        return chunk


def service_of_row_key(key: ids.RowKey) -> ids.ServiceName:
    """Return the service that the row key of a chunk names."""
    return ids.ServiceName(key.removeprefix(keys.MAP_PREFIX).rpartition("/")[0])


def owned_shard_grants(
    key: ids.RowKey, chunk: ShardMapChunk, server: ids.ServerId
) -> list[model.ShardGrant]:
    """Return the shards of one chunk that a server owns, with their epochs."""
    service = service_of_row_key(key)
    return [
        model.ShardGrant(service, shard, chunk.epoch(shard)) for shard in chunk.owned_by(server)
    ]


def new_chunks(shards: int) -> list[ShardMapChunk]:
    """Return empty chunks for a service with ``shards`` base shards."""
    starts = range(0, shards, CHUNK_SHARDS)
    return [ShardMapChunk(first_shard=s, shard_count=min(CHUNK_SHARDS, shards - s)) for s in starts]
