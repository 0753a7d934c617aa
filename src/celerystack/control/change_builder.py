"""Builds conditional transactions on the newest known rows."""

from __future__ import annotations

import dataclasses
import time

from celerystack import errors, ids, model
from celerystack.control import view as cluster_view
from celerystack.observe import audit
from celerystack.requests import claims
from celerystack.state import codec, keys, shard_map, shards_digest
from celerystack.store import ports


@dataclasses.dataclass(frozen=True, kw_only=True)
class Change:
    """A transaction to commit, and the texts of its audit row.

    Attributes
    ----------
    shards : int
        Number of shards that are assigned, taken over or moved; for `audit.Action.HOT_SPLIT` the
        number of keys that are split off, although their owners stay the same.
    """

    expected_versions_by_key: dict[ids.RowKey, ids.RowVersion]
    writes: tuple[ports.Write, ...]
    action: audit.Action
    subject: str
    reason: str
    before: str
    after: str
    shards: int = 0


class ChangeBuilder:
    """Collects the edits of one transaction.

    Every row that it writes is conditional on the version that this entry VM knows.
    """

    def __init__(self, view: cluster_view.ClusterView) -> None:
        self._view = view
        self._expected_by_key: dict[ids.RowKey, ids.RowVersion] = {}
        self._rows_by_server: dict[ids.ServerId, model.ServerRow] = {}
        self._chunks_by_key: dict[ids.RowKey, shard_map.ShardMapChunk] = {}
        self._values_by_key: dict[ids.RowKey, bytes] = {}

    def expect(self, key: ids.RowKey) -> None:
        """Make the commit conditional on the known version of a row."""
        self._expected_by_key.setdefault(key, self._view.row_version(key))

    def server_row(self, server: ids.ServerId) -> model.ServerRow | None:
        """Return a server's row with the edits made so far; None if there is no row."""
        return self._rows_by_server.get(server) or self._view.server_rows_by_id.get(server)

    def put_server(self, row: model.ServerRow) -> None:
        """Write a server's row."""
        self.expect(keys.server(row.server))
        self._rows_by_server[row.server] = row

    def record_previous_owner(
        self,
        chunk: shard_map.ShardMapChunk,
        shard: ids.ShardId,
        *,
        owner: ids.ServerId,
        receiver: ids.ServerId | None,
    ) -> None:
        """Record the zone of a shard's previous owner, because request ids may be claimed there.

        The record expires when these claims have expired. Does nothing if the receiver is in the
        same zone or the previous owner is not declared.
        """
        zone = self._zone(owner)
        if zone is None or (receiver is not None and self._zone(receiver) == zone):
            return
        now_ms = int(time.time() * 1000)
        former = shard_map.FormerZone(zone, now_ms + int(claims.RECENT_ENTRY_VM_AGE_S * 1000))
        chunk.record_former_zone(shard, former, now_ms=now_ms)

    def _zone(self, server: ids.ServerId) -> ids.ZoneName | None:
        declared = self._view.declared_server(server)
        return None if declared is None else declared.zone

    def raise_token(self, server: ids.ServerId) -> None:
        """Raise a server's token by one.

        Does nothing if this transaction already writes the server's row: whoever called
        `put_server` has then set the token, and a token rises only once per transaction.
        """
        if server in self._rows_by_server:
            return
        row = self._view.server_rows_by_id.get(server)
        if row is None:
            raise errors.CelerystackError(
                f"server {server} has no row", step="change_builder.raise_token"
            )
        self.put_server(dataclasses.replace(row, token=ids.Token(row.token + 1)))

    def chunk(self, service: ids.ServiceName, number: int) -> shard_map.ShardMapChunk:
        """Return a copy of a chunk; edits to it become part of the transaction."""
        key, known = self._view.chunk(service, number)
        if key not in self._chunks_by_key:
            if known is None:
                raise errors.CelerystackError(f"no row {key}", step="change_builder.chunk")
            self.put_chunk(key, known.copy())
        return self._chunks_by_key[key]

    def put_chunk(self, key: ids.RowKey, chunk: shard_map.ShardMapChunk) -> None:
        """Write a chunk of a shard map; later edits to ``chunk`` are included."""
        self.expect(key)
        self._chunks_by_key[key] = chunk

    def put_value(self, key: ids.RowKey, value: bytes) -> None:
        """Write a row whose value is already encoded."""
        self.expect(key)
        self._values_by_key[key] = value

    def _rows_with_digests(self) -> dict[ids.ServerId, model.ServerRow]:
        """Return the edited server rows with the digests of their shards after the transaction."""
        if not self._chunks_by_key:
            return self._rows_by_server
        result = {}
        for server, row in self._rows_by_server.items():
            shards = self._view.assigned_shards(server, changed=self._chunks_by_key)
            result[server] = dataclasses.replace(row, shards_digest=shards_digest.compute(shards))
        return result

    def build(
        self,
        *,
        action: audit.Action,
        subject: str,
        reason: str,
        before: str = "",
        after: str = "",
        shards: int = 0,
    ) -> Change:
        """Return the transaction that writes all edits."""
        writes = [
            ports.Write(keys.server(server), codec.encode_server(row))
            for server, row in self._rows_with_digests().items()
        ]
        writes += [ports.Write(key, chunk.encode()) for key, chunk in self._chunks_by_key.items()]
        writes += [ports.Write(key, value) for key, value in self._values_by_key.items()]
        return Change(
            expected_versions_by_key=dict(self._expected_by_key),
            writes=tuple(writes),
            action=action,
            subject=subject,
            reason=reason,
            before=before,
            after=after,
            shards=shards,
        )


def chunk_number(
    view: cluster_view.ClusterView, service: ids.ServiceName, shard: ids.ShardId
) -> int:
    """Return the number of the chunk that holds a base or hot shard."""
    if shard < model.HOT_SHARD_BASE:
        return shard_map.chunk_index(shard)
    for number, (_, chunk) in enumerate(view.chunks(service)):
        if shard in chunk.hot_by_shard:
            return number
    raise errors.CelerystackError(f"unknown hot shard {shard}", step="change_builder.chunk_number")
