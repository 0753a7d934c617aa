"""Shard ownership in the simulated table, and the transactions that change it."""

from __future__ import annotations

import dataclasses

from celerystack import ids, model
from celerystack.lease import rendezvous
from standins.lease_model import sim_core

SERVICE = ids.ServiceName("rota-view")


@dataclasses.dataclass(frozen=True)
class ShardState:
    """Owner and epoch of a shard; ``source`` and ``target`` are set only during a move."""

    owner: ids.ServerId | None
    epoch: int
    source: ids.ServerId | None = None
    target: ids.ServerId | None = None


def server_key(server: ids.ServerId) -> tuple[str, str]:
    return ("server", server)


def server_row(snapshot: sim_core.Snapshot, server: ids.ServerId) -> model.ServerRow | None:
    return snapshot.value(server_key(server))


def states_by_shard(snapshot: sim_core.Snapshot) -> dict[int, ShardState]:
    return {key[1]: row[1] for key, row in snapshot.rows_by_key.items() if key[0] == "shard"}


def grants(snapshot: sim_core.Snapshot, server: ids.ServerId) -> tuple[model.ShardGrant, ...]:
    return tuple(
        model.ShardGrant(SERVICE, ids.ShardId(shard), ids.Epoch(state.epoch))
        for shard, state in sorted(states_by_shard(snapshot).items())
        if state.owner == server
    )


def next_token(row: model.ServerRow, **changes: object) -> model.ServerRow:
    return dataclasses.replace(row, token=ids.Token(row.token + 1), **changes)


class Change:
    """Builds a transaction on the row versions of one snapshot."""

    def __init__(self, snapshot: sim_core.Snapshot) -> None:
        self._snapshot = snapshot
        self._values_by_key: dict[tuple[str, object], object] = {}

    def put_row(self, row: model.ServerRow) -> None:
        self._values_by_key[server_key(row.server)] = row

    def put_shard(self, shard: int, state: ShardState) -> None:
        self._values_by_key[("shard", shard)] = state

    def raise_token(self, server: ids.ServerId) -> None:
        """Raise the token of a server once per transaction, since its shards change."""
        if server_key(server) not in self._values_by_key:
            row = server_row(self._snapshot, server)
            assert row is not None
            self.put_row(next_token(row))

    def transaction(self) -> sim_core.Transaction:
        versions = {key: self._snapshot.version(key) for key in self._values_by_key}
        return sim_core.Transaction(versions, self._values_by_key)


def choose_receiver(
    snapshot: sim_core.Snapshot, shard: int, exclude: ids.ServerId
) -> ids.ServerId | None:
    rows = [row[1] for key, row in snapshot.rows_by_key.items() if key[0] == "server"]
    active = [
        row.server
        for row in rows
        if row.state is model.ServerState.ACTIVE and row.server != exclude
    ]
    names = rendezvous.ranked(str(shard), active)
    return ids.ServerId(names[0]) if names else None


def take_over(snapshot: sim_core.Snapshot, lost: ids.ServerId) -> sim_core.Transaction | None:
    """Return the transaction that gives the shards of ``lost`` to others; None if impossible."""
    row = server_row(snapshot, lost)
    change = Change(snapshot)
    assert row is not None
    change.put_row(next_token(row, state=model.ServerState.LOST, lessors=(), previous_lessors=()))
    for shard, state in states_by_shard(snapshot).items():
        if lost not in (state.owner, state.source):
            continue
        owner = choose_receiver(snapshot, shard, lost)
        if owner is None:
            return None
        change.raise_token(owner)
        change.put_shard(shard, ShardState(owner, state.epoch + 1))
    return change.transaction()


def start_move(
    snapshot: sim_core.Snapshot, shard: int, target: ids.ServerId
) -> sim_core.Transaction | None:
    """Return transaction A of a planned move, which withdraws the shard; None if not possible."""
    state = states_by_shard(snapshot)[shard]
    target_row = server_row(snapshot, target)
    if state.owner in (None, target) or target_row is None:
        return None
    if target_row.state is not model.ServerState.ACTIVE:
        return None
    change = Change(snapshot)
    change.raise_token(state.owner)
    change.put_shard(shard, ShardState(None, state.epoch + 1, state.owner, target))
    return change.transaction()


def finish_move(snapshot: sim_core.Snapshot, shard: int) -> sim_core.Transaction | None:
    """Return transaction B of a planned move, which gives the shard to the target.

    If the target was lost, another receiver is chosen; None if there is none.
    """
    state = states_by_shard(snapshot)[shard]
    assert state.source is not None and state.target is not None
    target_row = server_row(snapshot, state.target)
    target: ids.ServerId | None = state.target
    if target_row is None or target_row.state is not model.ServerState.ACTIVE:
        target = choose_receiver(snapshot, shard, ids.ServerId(""))
    if target is None:
        return None
    change = Change(snapshot)
    change.raise_token(target)
    # Writing the source's row makes its version a condition, so that a concurrent takeover or
    # move conflicts.
    source_row = server_row(snapshot, state.source)
    assert source_row is not None
    if target != state.source:
        change.put_row(source_row)
    change.put_shard(shard, ShardState(target, state.epoch + 1))
    return change.transaction()
