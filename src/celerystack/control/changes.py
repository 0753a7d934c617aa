"""Builds the rows of one conditional transaction from the newest known state."""

from __future__ import annotations

import dataclasses
import time

from celerystack import errors, ids, model
from celerystack.control import view as cluster_view
from celerystack.observe import audit
from celerystack.platform import ports
from celerystack.requests import claims
from celerystack.state import codec, grants, keys, shardmap


@dataclasses.dataclass(frozen=True, kw_only=True)
class Change:
    """A transaction to commit, with the texts of its audit row.

    Attributes
    ----------
    shards : int
        Number of shards whose owner changes.
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
    """Collects edits; every row that is read or written becomes a condition."""

    def __init__(self, view: cluster_view.ClusterView) -> None:
        self._view = view
        self._expected_by_key: dict[ids.RowKey, ids.RowVersion] = {}
        self._rows_by_server: dict[ids.ServerId, model.ServerRow] = {}
        self._chunks_by_key: dict[ids.RowKey, shardmap.ShardMapChunk] = {}
        self._plain_by_key: dict[ids.RowKey, bytes] = {}

    def expect(self, key: ids.RowKey) -> None:
        """Make the present version of a row a condition."""
        self._expected_by_key.setdefault(key, self._view.row_version(key))

    def server_row(self, server: ids.ServerId) -> model.ServerRow | None:
        """Return the row as edited so far."""
        return self._rows_by_server.get(server) or self._view.server_rows_by_id.get(server)

    def put_server(self, row: model.ServerRow) -> None:
        """Write a server's row."""
        self.expect(keys.server(row.server))
        self._rows_by_server[row.server] = row

    def note_former_owner(
        self,
        chunk: shardmap.ShardMapChunk,
        shard: ids.ShardId,
        *,
        owner: ids.ServerId,
        receiver: ids.ServerId | None,
    ) -> None:
        """Keep the zone of a former owner while request ids may be claimed there."""
        zone = self._zone(owner)
        if zone is None or (receiver is not None and self._zone(receiver) == zone):
            return
        now_ms = int(time.time() * 1000)
        former = shardmap.FormerZone(zone, now_ms + int(claims.RECENT_S * 1000))
        chunk.note_former_zone(shard, former, now_ms=now_ms)

    def _zone(self, server: ids.ServerId) -> ids.ZoneName | None:
        declared = self._view.declared(server)
        return None if declared is None else declared.zone

    def raise_token(self, server: ids.ServerId) -> None:
        """Raise a server's token by one; at most once per transaction."""
        if server in self._rows_by_server:
            return
        row = self._view.server_rows_by_id.get(server)
        if row is None:
            raise errors.CelerystackError(f"server {server} has no row", step="changes.raise_token")
        self.put_server(dataclasses.replace(row, token=ids.Token(row.token + 1)))

    def chunk(self, service: ids.ServiceName, number: int) -> shardmap.ShardMapChunk:
        """Return an editable copy of a chunk."""
        key, known = self._view.chunk(service, number)
        if key not in self._chunks_by_key:
            if known is None:
                raise errors.CelerystackError(f"no row {key}", step="changes.chunk")
            self.put_chunk(key, known.copy())
        return self._chunks_by_key[key]

    def put_chunk(self, key: ids.RowKey, chunk: shardmap.ShardMapChunk) -> None:
        """Write a chunk of a shard map."""
        self.expect(key)
        self._chunks_by_key[key] = chunk

    def put_plain(self, key: ids.RowKey, value: bytes) -> None:
        """Write a row with the given value."""
        self.expect(key)
        self._plain_by_key[key] = value

    def _rows_with_digests(self) -> dict[ids.ServerId, model.ServerRow]:
        """Return the edited rows, each with the digest of its shards after the transaction."""
        if not self._chunks_by_key:
            return self._rows_by_server
        result = {}
        for server, row in self._rows_by_server.items():
            shards = self._view.mapped(server, changed=self._chunks_by_key)
            result[server] = dataclasses.replace(row, shards_digest=grants.digest(shards))
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
        """Return the transaction."""
        writes = [
            ports.Write(keys.server(server), codec.encode_server(row))
            for server, row in self._rows_with_digests().items()
        ]
        writes += [ports.Write(key, chunk.encode()) for key, chunk in self._chunks_by_key.items()]
        writes += [ports.Write(key, value) for key, value in self._plain_by_key.items()]
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


def _lessor_text(lessors: tuple[model.LessorRef, ...]) -> str:
    return ",".join(lessor.vm for lessor in lessors)


def create_server(
    view: cluster_view.ClusterView,
    server: ids.ServerId,
    lessors: tuple[model.LessorRef, ...],
    incarnation: ids.Incarnation,
) -> Change:
    """Create a server's row with token 1."""
    builder = ChangeBuilder(view)
    builder.put_server(
        model.ServerRow(
            server=server,
            state=model.ServerState.ACTIVE,
            token=ids.Token(1),
            incarnation=incarnation,
            lessors=lessors,
        )
    )
    return builder.build(
        action=audit.Action.CREATE_SERVER,
        subject=f"server/{server}",
        reason="declared",
        after=_lessor_text(lessors),
    )


def replace_lessors(
    view: cluster_view.ClusterView,
    row: model.ServerRow,
    *,
    lessors: tuple[model.LessorRef, ...],
    previous: tuple[model.LessorRef, ...],
    incarnation: ids.Incarnation,
    reason: str,
) -> Change:
    """Record new lessors under a new token; the old set stays until the server acknowledges.

    An operator's evidence of loss ends here, because it spoke of a process that did not answer.
    """
    builder = ChangeBuilder(view)
    if view.release_row(row.server).value:
        builder.put_plain(keys.release(row.server), b"")
    builder.put_server(
        dataclasses.replace(
            row,
            state=model.ServerState.ACTIVE,
            token=ids.Token(row.token + 1),
            incarnation=incarnation,
            lessors=lessors,
            previous_lessors=previous,
        )
    )
    return builder.build(
        action=audit.Action.LESSORS,
        subject=f"server/{row.server}",
        reason=reason,
        before=_lessor_text(row.lessors),
        after=_lessor_text(lessors),
    )


def clear_previous_lessors(view: cluster_view.ClusterView, row: model.ServerRow) -> Change:
    """Drop the previous lessors after the server acknowledged the token."""
    builder = ChangeBuilder(view)
    builder.put_server(dataclasses.replace(row, previous_lessors=()))
    return builder.build(
        action=audit.Action.LESSORS,
        subject=f"server/{row.server}",
        reason=f"server acknowledged token {row.token}",
        before=_lessor_text(row.previous_lessors),
    )


def end_release(view: cluster_view.ClusterView, server: ids.ServerId) -> Change:
    """Withdraw an operator's evidence of loss, because the server has answered since."""
    builder = ChangeBuilder(view)
    builder.put_plain(keys.release(server), b"")
    return builder.build(
        action=audit.Action.RELEASE,
        subject=f"server/{server}",
        reason="server answers",
        before="released",
        after="withdrawn",
    )


def suspend(view: cluster_view.ClusterView, row: model.ServerRow) -> Change:
    """Stop all entry VMs from sending to a server that does not check tokens."""
    builder = ChangeBuilder(view)
    builder.put_server(
        dataclasses.replace(row, state=model.ServerState.SUSPENDED, token=ids.Token(row.token + 1))
    )
    return builder.build(
        action=audit.Action.SUSPEND,
        subject=f"server/{row.server}",
        reason="does not answer, checks no tokens",
    )


def take_over(
    view: cluster_view.ClusterView,
    row: model.ServerRow,
    *,
    targets_by_shard: dict[tuple[ids.ServiceName, ids.ShardId], ids.ServerId | None],
    reason: str,
) -> Change:
    """Mark a server lost and give its shards to others in the same transaction."""
    builder = ChangeBuilder(view)
    lost = dataclasses.replace(
        row,
        state=model.ServerState.LOST,
        token=ids.Token(row.token + 1),
        lessors=(),
        previous_lessors=(),
    )
    builder.put_server(lost)
    if view.release_row(row.server).value:
        builder.put_plain(keys.release(row.server), b"")
    for (service, shard), target in targets_by_shard.items():
        chunk = builder.chunk(service, chunk_number(view, service, shard))
        chunk.assign(shard, target)
        builder.note_former_owner(chunk, shard, owner=row.server, receiver=target)
        if target is not None:
            builder.raise_token(target)
    return builder.build(
        action=audit.Action.TAKEOVER,
        subject=f"server/{row.server}",
        reason=reason,
        before=f"token {row.token}, {len(targets_by_shard)} shards",
        after=_count_text(targets_by_shard),
        shards=len(targets_by_shard),
    )


def _count_text(
    targets_by_shard: dict[tuple[ids.ServiceName, ids.ShardId], ids.ServerId | None],
) -> str:
    counts: dict[str, int] = {}
    for target in targets_by_shard.values():
        counts[target or "none"] = counts.get(target or "none", 0) + 1
    return ",".join(f"{server}:{count}" for server, count in sorted(counts.items()))


def chunk_number(
    view: cluster_view.ClusterView, service: ids.ServiceName, shard: ids.ShardId
) -> int:
    """Return the number of the chunk that holds a base or hot shard."""
    if shard < model.HOT_SHARD_BASE:
        return shardmap.chunk_of(shard)
    for number, (_, chunk) in enumerate(view.chunks(service)):
        if shard in chunk.hot_by_shard:
            return number
    raise errors.CelerystackError(f"unknown hot shard {shard}", step="changes.chunk_number")


def create_map(view: cluster_view.ClusterView, service: model.Service) -> Change:
    """Create the shard map of a service; no shard has an owner."""
    builder = ChangeBuilder(view)
    for number, chunk in enumerate(shardmap.new_chunks(service.shards)):
        builder.put_chunk(keys.shard_map(service.name, number), chunk)
    return builder.build(
        action=audit.Action.CREATE_MAP,
        subject=f"map/{service.name}",
        reason="declared",
        after=f"{service.shards} shards",
    )


def assign(
    view: cluster_view.ClusterView,
    service: ids.ServiceName,
    targets_by_shard: dict[ids.ShardId, ids.ServerId],
) -> Change:
    """Give shards without an owner to servers."""
    builder = ChangeBuilder(view)
    for shard, target in targets_by_shard.items():
        chunk = builder.chunk(service, chunk_number(view, service, shard))
        move = chunk.moves_by_shard.get(shard)
        chunk.assign(shard, target)
        if move is not None:
            builder.note_former_owner(chunk, shard, owner=move.source, receiver=target)
        builder.raise_token(target)
    qualified = {(service, shard): target for shard, target in targets_by_shard.items()}
    return builder.build(
        action=audit.Action.ASSIGN,
        subject=f"map/{service}",
        reason="shards without owner",
        before=f"{len(targets_by_shard)} shards",
        after=_count_text(qualified),
        shards=len(targets_by_shard),
    )


def start_moves(
    view: cluster_view.ClusterView,
    service: ids.ServiceName,
    targets_by_shard: dict[ids.ShardId, ids.ServerId],
    *,
    reason: str,
) -> Change:
    """Take shards from their owners and record where they go."""
    builder = ChangeBuilder(view)
    for shard, target in targets_by_shard.items():
        chunk = builder.chunk(service, chunk_number(view, service, shard))
        source = chunk.owner(shard)
        chunk.start_move(shard, target)
        builder.raise_token(chunk.moves_by_shard[shard].source if source is None else source)
    qualified = {(service, shard): target for shard, target in targets_by_shard.items()}
    return builder.build(
        action=audit.Action.MOVE_START,
        subject=f"map/{service}",
        reason=reason,
        before=f"{len(targets_by_shard)} shards",
        after=_count_text(qualified),
        shards=len(targets_by_shard),
    )


def split_hot_keys(
    view: cluster_view.ClusterView,
    service: ids.ServiceName,
    base_by_key: dict[ids.KeyHash, ids.ShardId],
) -> Change:
    """Give hot keys shards of their own on their present owners."""
    builder = ChangeBuilder(view)
    for key_hash, base in base_by_key.items():
        chunk = builder.chunk(service, shardmap.chunk_of(base))
        owner = chunk.owner(base)
        if owner is not None:
            chunk.split_hot(key_hash, base)
            builder.raise_token(owner)
    return builder.build(
        action=audit.Action.HOT_SPLIT,
        subject=f"map/{service}",
        reason="hot keys",
        after=f"{len(base_by_key)} keys with shards of their own",
        shards=len(base_by_key),
    )


def merge_hot_shards(
    view: cluster_view.ClusterView,
    service: ids.ServiceName,
    base_by_shard: dict[ids.ShardId, ids.ShardId],
) -> Change:
    """Fold hot shards back into their base shards; both must have the same owner."""
    builder = ChangeBuilder(view)
    for shard, base in base_by_shard.items():
        chunk = builder.chunk(service, shardmap.chunk_of(base))
        owner = chunk.owner(base)
        if owner is not None:
            chunk.merge_hot(shard, base)
            builder.raise_token(owner)
    return builder.build(
        action=audit.Action.HOT_MERGE,
        subject=f"map/{service}",
        reason="keys have cooled down",
        before=f"{len(base_by_shard)} keys with shards of their own",
    )


def finish_moves(
    view: cluster_view.ClusterView,
    service: ids.ServiceName,
    targets_by_shard: dict[ids.ShardId, ids.ServerId],
) -> Change:
    """Give released shards to their receivers."""
    change = assign(view, service, targets_by_shard)
    return dataclasses.replace(change, action=audit.Action.MOVE_END, reason="old owner released")
