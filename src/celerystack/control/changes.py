"""Changes to server rows and shard maps; each is one conditional transaction."""

from __future__ import annotations

import dataclasses

from celerystack import ids, model
from celerystack.control import change_builder
from celerystack.control import view as cluster_view
from celerystack.observe import audit
from celerystack.state import keys, shard_map


def _format_lessors(lessors: tuple[model.LessorRef, ...]) -> str:
    return ",".join(lessor.vm for lessor in lessors)


def create_server(
    view: cluster_view.ClusterView,
    server: ids.ServerId,
    lessors: tuple[model.LessorRef, ...],
    incarnation: ids.Incarnation,
) -> change_builder.Change:
    """Create a server's row with token 1."""
    builder = change_builder.ChangeBuilder(view)
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
        after=_format_lessors(lessors),
    )


def replace_lessors(
    view: cluster_view.ClusterView,
    row: model.ServerRow,
    *,
    lessors: tuple[model.LessorRef, ...],
    previous: tuple[model.LessorRef, ...],
    incarnation: ids.Incarnation,
    reason: str,
) -> change_builder.Change:
    """Record new lessors under a new token.

    The previous lessors stay recorded until leases from before the token have expired. The evidence
    of loss from an operator is withdrawn, because it was about a process that did not answer.
    """
    builder = change_builder.ChangeBuilder(view)
    if view.release_row(row.server).value:
        builder.put_value(keys.release(row.server), b"")
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
        before=_format_lessors(row.lessors),
        after=_format_lessors(lessors),
    )


def clear_previous_lessors(
    view: cluster_view.ClusterView, row: model.ServerRow
) -> change_builder.Change:
    """Remove the previous lessors, after all leases from before the row's token have expired.

    The server must have acknowledged the token at least a lease duration ago.
    """
    builder = change_builder.ChangeBuilder(view)
    builder.put_server(dataclasses.replace(row, previous_lessors=()))
    return builder.build(
        action=audit.Action.LESSORS,
        subject=f"server/{row.server}",
        reason=f"server acknowledged token {row.token}",
        before=_format_lessors(row.previous_lessors),
    )


def withdraw_release(view: cluster_view.ClusterView, server: ids.ServerId) -> change_builder.Change:
    """Withdraw an operator's evidence of loss after the server has answered."""
    builder = change_builder.ChangeBuilder(view)
    builder.put_value(keys.release(server), b"")
    return builder.build(
        action=audit.Action.RELEASE,
        subject=f"server/{server}",
        reason="server answers",
        before="released",
        after="withdrawn",
    )


def suspend(view: cluster_view.ClusterView, row: model.ServerRow) -> change_builder.Change:
    """Stop all entry VMs from sending to a server that does not check tokens."""
    builder = change_builder.ChangeBuilder(view)
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
) -> change_builder.Change:
    """Mark a server lost and assign its shards to other servers in the same transaction.

    A shard whose target is None is left without an owner.
    """
    builder = change_builder.ChangeBuilder(view)
    lost = dataclasses.replace(
        row,
        state=model.ServerState.LOST,
        token=ids.Token(row.token + 1),
        lessors=(),
        previous_lessors=(),
    )
    builder.put_server(lost)
    if view.release_row(row.server).value:
        builder.put_value(keys.release(row.server), b"")
    for (service, shard), target in targets_by_shard.items():
        chunk = builder.chunk(service, change_builder.chunk_number(view, service, shard))
        chunk.assign(shard, target)
        builder.record_previous_owner(chunk, shard, owner=row.server, receiver=target)
        if target is not None:
            builder.raise_token(target)
    return builder.build(
        action=audit.Action.TAKEOVER,
        subject=f"server/{row.server}",
        reason=reason,
        before=f"token {row.token}, {len(targets_by_shard)} shards",
        after=_format_target_counts(targets_by_shard),
        shards=len(targets_by_shard),
    )


def _format_target_counts(
    targets_by_shard: dict[tuple[ids.ServiceName, ids.ShardId], ids.ServerId | None],
) -> str:
    counts: dict[str, int] = {}
    for target in targets_by_shard.values():
        counts[target or "none"] = counts.get(target or "none", 0) + 1
    return ",".join(f"{server}:{count}" for server, count in sorted(counts.items()))


def create_map(view: cluster_view.ClusterView, service: model.Service) -> change_builder.Change:
    """Create the shard map of a service, with no shard owned."""
    builder = change_builder.ChangeBuilder(view)
    for number, chunk in enumerate(shard_map.new_chunks(service.shards)):
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
) -> change_builder.Change:
    """Assign shards without an owner to servers."""
    builder = change_builder.ChangeBuilder(view)
    for shard, target in targets_by_shard.items():
        chunk = builder.chunk(service, change_builder.chunk_number(view, service, shard))
        move = chunk.moves_by_shard.get(shard)
        chunk.assign(shard, target)
        if move is not None:
            builder.record_previous_owner(chunk, shard, owner=move.source, receiver=target)
        builder.raise_token(target)
    qualified = {(service, shard): target for shard, target in targets_by_shard.items()}
    return builder.build(
        action=audit.Action.ASSIGN,
        subject=f"map/{service}",
        reason="shards without owner",
        before=f"{len(targets_by_shard)} shards",
        after=_format_target_counts(qualified),
        shards=len(targets_by_shard),
    )


def start_moves(
    view: cluster_view.ClusterView,
    service: ids.ServiceName,
    targets_by_shard: dict[ids.ShardId, ids.ServerId],
    *,
    reason: str,
) -> change_builder.Change:
    """Take shards from their owners and record the servers that will receive them.

    A shard that is already moving has no owner and cannot be moved; a move is never redirected.
    """
    builder = change_builder.ChangeBuilder(view)
    for shard, target in targets_by_shard.items():
        chunk = builder.chunk(service, change_builder.chunk_number(view, service, shard))
        # `start_move` raises if the shard has no owner, so the source is never None after it.
        source = chunk.owner(shard)
        chunk.start_move(shard, target)
        builder.raise_token(chunk.moves_by_shard[shard].source if source is None else source)
    qualified = {(service, shard): target for shard, target in targets_by_shard.items()}
    return builder.build(
        action=audit.Action.MOVE_START,
        subject=f"map/{service}",
        reason=reason,
        before=f"{len(targets_by_shard)} shards",
        after=_format_target_counts(qualified),
        shards=len(targets_by_shard),
    )


def split_hot_keys(
    view: cluster_view.ClusterView,
    service: ids.ServiceName,
    base_by_key: dict[ids.KeyHash, ids.ShardId],
) -> change_builder.Change:
    """Split hot keys off into shards of their own, which stay with their current owners."""
    builder = change_builder.ChangeBuilder(view)
    for key_hash, base in base_by_key.items():
        chunk = builder.chunk(service, shard_map.chunk_index(base))
        owner = chunk.owner(base)
        if owner is not None:
            chunk.split_key(key_hash, base)
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
) -> change_builder.Change:
    """Merge hot shards back into their base shards; both must have the same owner."""
    builder = change_builder.ChangeBuilder(view)
    for shard, base in base_by_shard.items():
        chunk = builder.chunk(service, shard_map.chunk_index(base))
        owner = chunk.owner(base)
        if owner is not None:
            chunk.merge_hot_shard(shard, base)
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
) -> change_builder.Change:
    """Assign moved shards to their receivers, after their previous owners have released them."""
    change = assign(view, service, targets_by_shard)
    return dataclasses.replace(change, action=audit.Action.MOVE_END, reason="old owner released")
