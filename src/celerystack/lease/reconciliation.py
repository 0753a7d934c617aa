"""Choice of a server's reconciler and lessors, and the reconciler's decisions.

The reconciler is the entry VM that commits changes of a server's row. Every commit is conditional
on the row's version, so concurrent reconcilers cannot overwrite each other's changes.
"""

from __future__ import annotations

import dataclasses
from collections.abc import Iterable

from celerystack import ids, model, timing
from celerystack.lease import records, rendezvous

LESSORS_PER_SERVER = 3
"""Largest number of lessors of a server; a zone with fewer entry VMs has fewer."""


@dataclasses.dataclass(frozen=True, kw_only=True)
class PeerView:
    """What the reconciler knows about one entry VM.

    Attributes
    ----------
    last_heard_at : float
        Local time at which its last heartbeat arrived; ``now`` for the reconciler itself.
    draining : bool
        Whether it announced that it will shut down; it is then no longer chosen as a lessor.
    """

    peer: model.EntryVm
    last_heard_at: float
    draining: bool = False


@dataclasses.dataclass(frozen=True, kw_only=True)
class ServerView:
    """What the reconciler knows about one server.

    Attributes
    ----------
    row : ServerRow or None
        Newest row; None if the server has none.
    peers : tuple of PeerView
        All known entry VMs, including the reconciler.
    observed_since : float
        When the reconciler began to probe the server and to receive heartbeats of its peers. Must
        be set to ``now`` after a pause of the reconciler's own process, because messages that
        arrived during the pause may still be unread.
    last_reply_at : float or None
        When the server's newest reply arrived at the reconciler.
    seen_incarnation : Incarnation or None
        Incarnation in that reply.
    acknowledged_token : Token or None
        Newest token that the recorded server process has acknowledged to the reconciler.
    acknowledged_at : float or None
        When that acknowledgement first arrived.
    promised_lessors : frozenset of LessorRef
        Lessors that are known to have promised under the row's token.
    table_reachable : bool
        Whether the reconciler's last call to the table succeeded. A promise can only be lifted by a
        new token in the table, so none is requested while no takeover could be committed.
    has_deputies : bool
        Whether deputies under the row's token are known. A lost deputy would block a takeover, so
        a new token ends their role as soon as the table can be written again.
    """

    server: ids.ServerId
    zone: ids.ZoneName
    row: model.ServerRow | None
    peers: tuple[PeerView, ...]
    observed_since: float
    last_reply_at: float | None = None
    seen_incarnation: ids.Incarnation | None = None
    acknowledged_token: ids.Token | None = None
    acknowledged_at: float | None = None
    promised_lessors: frozenset[model.LessorRef] = frozenset()
    table_reachable: bool = True
    has_deputies: bool = False


@dataclasses.dataclass(frozen=True)
class NoChange:
    """No change is needed."""


@dataclasses.dataclass(frozen=True)
class CreateRow:
    """Create the row with token 1; ``incarnation`` is empty if the server has not answered yet."""

    lessors: tuple[model.LessorRef, ...]
    incarnation: ids.Incarnation


@dataclasses.dataclass(frozen=True)
class ReplaceLessors:
    """Commit token + 1 with these lessors; those in ``previous_lessors`` may still renew leases."""

    lessors: tuple[model.LessorRef, ...]
    previous_lessors: tuple[model.LessorRef, ...]


@dataclasses.dataclass(frozen=True)
class ClearPreviousLessors:
    """Commit the row without previous lessors and with the same token."""


@dataclasses.dataclass(frozen=True)
class StartTakeover:
    """Start a takeover or continue it: request promises from the lessors.

    Returned at every decision while the server does not reply, its row is not LOST and the table is
    reachable.
    """


@dataclasses.dataclass(frozen=True)
class Reactivate:
    """Commit token + 1, the incarnation that replies and new lessors; the row becomes ACTIVE.

    Used for rows in state LOST or SUSPENDED, for a new incarnation of an ACTIVE server, and if none
    of the row's lessors may stay. The row keeps its shards; a LOST server has none.
    """

    lessors: tuple[model.LessorRef, ...]
    previous_lessors: tuple[model.LessorRef, ...]
    incarnation: ids.Incarnation


Decision = NoChange | CreateRow | ReplaceLessors | ClearPreviousLessors | StartTakeover | Reactivate


def reconciler_of(
    row: model.ServerRow | None,
    zone: ids.ZoneName,
    live: list[model.EntryVm],
    *,
    server: ids.ServerId | None = None,
) -> ids.EntryVmId | None:
    """Return the entry VM that is the reconciler of a server; None if no entry VM is live.

    Parameters
    ----------
    zone : ZoneName
        Zone of the server.
    live : list of EntryVm
        Live entry VMs of all zones, including this one.
    server : ServerId, optional
        Required if there is no row yet, ignored otherwise.
    """
    live_refs = {model.LessorRef(entry.vm, entry.incarnation) for entry in live}
    for lessor in row.lessors if row is not None else ():
        if lessor in live_refs:
            return lessor.vm
    key = row.server if row is not None else server or ""
    in_zone = [entry.vm for entry in live if entry.zone == zone]
    candidates = rendezvous.ranked(key, in_zone or [entry.vm for entry in live])
    return ids.EntryVmId(candidates[0]) if candidates else None


def choose_lessors(
    server: ids.ServerId,
    zone_vms: Iterable[model.EntryVm],
    count: int = LESSORS_PER_SERVER,
    *,
    keep: Iterable[model.LessorRef] = (),
) -> tuple[model.LessorRef, ...]:
    """Return up to ``count`` lessors: those in ``keep`` first, then by rendezvous hash."""
    chosen_by_vm = {lessor.vm: lessor for lessor in keep}
    refs_by_vm = {entry.vm: model.LessorRef(entry.vm, entry.incarnation) for entry in zone_vms}
    for vm in rendezvous.ranked(server, refs_by_vm):
        chosen_by_vm.setdefault(ids.EntryVmId(vm), refs_by_vm[ids.EntryVmId(vm)])
    return tuple(chosen_by_vm.values())[:count]


def decide(view: ServerView, now: float) -> Decision:
    """Return what the reconciler should do next for one server."""
    row = view.row
    if row is None:
        return _create(view, now)
    if _is_reachable(view, now):
        return _decide_reachable(view, row, now)
    heard_at = view.observed_since if view.last_reply_at is None else view.last_reply_at
    is_suspected = now - max(heard_at, view.observed_since) >= timing.SUSPECT_S
    if is_suspected and view.table_reachable and row.state is not model.ServerState.LOST:
        return StartTakeover()
    return NoChange()


def _create(view: ServerView, now: float) -> Decision:
    lessors = choose_lessors(view.server, _candidates(view, now))
    # A row committed before all peers are connected would soon have to be replaced.
    if not lessors or (len(lessors) < LESSORS_PER_SERVER and _is_starting(view, now)):
        return NoChange()
    return CreateRow(lessors, view.seen_incarnation or ids.Incarnation(""))


def _decide_reachable(view: ServerView, row: model.ServerRow, now: float) -> Decision:
    usable = _usable_lessors(view, row, now)
    chosen = choose_lessors(view.server, _candidates(view, now), keep=usable)
    if not chosen:
        return NoChange()
    previous = tuple(dict.fromkeys([*row.lessors, *row.previous_lessors]))
    if (
        row.state is not model.ServerState.ACTIVE
        or not usable
        or view.seen_incarnation != row.incarnation
    ):
        return Reactivate(chosen, previous, view.seen_incarnation or ids.Incarnation(""))
    promised_lessors = view.promised_lessors & frozenset(row.lessors)
    if set(chosen) != set(row.lessors) or promised_lessors or view.has_deputies:
        return ReplaceLessors(chosen, previous)
    if row.previous_lessors and _have_earlier_leases_expired(view, row, now):
        return ClearPreviousLessors()
    return NoChange()


def _is_reachable(view: ServerView, now: float) -> bool:
    return view.last_reply_at is not None and now - view.last_reply_at < timing.SUSPECT_S


def _have_earlier_leases_expired(view: ServerView, row: model.ServerRow, now: float) -> bool:
    """Return whether leases from before the row's token have expired on the server.

    The server never shortens a lease, so one that a previous lessor renewed just before the
    acknowledgement is still valid after it.
    """
    return (
        view.acknowledged_token == row.token
        and view.acknowledged_at is not None
        and now >= view.acknowledged_at + records.LEASE_BOUND_S
    )


def _is_starting(view: ServerView, now: float) -> bool:
    return now - view.observed_since < timing.PEER_DOWN_S


def _is_silent(peer: PeerView, now: float) -> bool:
    return now - peer.last_heard_at >= timing.PEER_DOWN_S


def _candidates(view: ServerView, now: float) -> list[model.EntryVm]:
    """Return the live entry VMs of the server's zone; those of other zones if it has none."""
    live = [p.peer for p in view.peers if not p.draining and not _is_silent(p, now)]
    return [entry for entry in live if entry.zone == view.zone] or live


def _usable_lessors(view: ServerView, row: model.ServerRow, now: float) -> list[model.LessorRef]:
    """Return the row's lessors that may stay: live, not draining and in the preferred zone.

    A lessor that was not heard yet may stay until `timing.PEER_DOWN_S` after ``observed_since``.
    """
    peers_by_vm = {peer.peer.vm: peer for peer in view.peers}
    zones = {entry.zone for entry in _candidates(view, now)}
    usable = []
    for lessor in row.lessors:
        peer = peers_by_vm.get(lessor.vm)
        if peer is None:
            if _is_starting(view, now):
                usable.append(lessor)
            continue
        same_process = peer.peer.incarnation == lessor.incarnation
        may_be_live = _is_starting(view, now) or not _is_silent(peer, now)
        # Lessors of other zones are replaced as soon as the server's zone has an entry VM again.
        in_zone = peer.peer.zone == view.zone or view.zone not in zones
        if same_process and not peer.draining and may_be_live and in_zone:
            usable.append(lessor)
    return usable
