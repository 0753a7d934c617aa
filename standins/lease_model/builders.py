"""Builders of rows, messages and views for the unit tests of the lease logic."""

from __future__ import annotations

from typing import Any

from celerystack import ids, model
from celerystack.backend import messages as orders
from celerystack.lease import lessor as lessor_module
from celerystack.lease import reconciliation
from celerystack.peers import messages as peer_messages

SERVER = ids.ServerId("rota-1")
PROCESS = ids.Incarnation("process-1")
ZONE = ids.ZoneName("zone-1")
A = model.LessorRef(ids.EntryVmId("a"), ids.Incarnation("a1"))
B = model.LessorRef(ids.EntryVmId("b"), ids.Incarnation("b1"))
C = model.LessorRef(ids.EntryVmId("c"), ids.Incarnation("c1"))
D = model.LessorRef(ids.EntryVmId("d"), ids.Incarnation("d1"))
E = model.LessorRef(ids.EntryVmId("e"), ids.Incarnation("e1"))
SHARDS = (model.ShardGrant(ids.ServiceName("rota-view"), ids.ShardId(7), ids.Epoch(3)),)


def row(token: int = 1, **changes: Any) -> model.ServerRow:
    fields: dict[str, Any] = {
        "state": model.ServerState.ACTIVE,
        "incarnation": PROCESS,
        "lessors": (A, B, C),
    }
    return model.ServerRow(server=SERVER, token=ids.Token(token), **(fields | changes))


def reply(
    stamp: float,
    *,
    token: int = 1,
    result: orders.OrderResult = orders.OrderResult.OK,
    incarnation: ids.Incarnation = PROCESS,
    running_dropped: int = 0,
) -> orders.OrderReply:
    return orders.OrderReply(
        server=SERVER,
        result=result,
        incarnation=incarnation,
        token=ids.Token(token),
        stamp=stamp,
        running_dropped=running_dropped,
    )


def promise_request(token: int = 1) -> peer_messages.PromiseRequest:
    return peer_messages.PromiseRequest(SERVER, ids.Token(token))


def deputize(token: int = 1) -> peer_messages.Deputize:
    return peer_messages.Deputize(SERVER, ids.Token(token))


def promise(
    lessor: model.LessorRef,
    *,
    token: int = 1,
    promised: bool = True,
    remaining_s: float = 0.0,
    deputies: tuple[model.LessorRef, ...] = (),
) -> peer_messages.PromiseReply:
    return peer_messages.PromiseReply(
        server=SERVER,
        token=ids.Token(token),
        lessor=lessor,
        promised=promised,
        remaining_s=remaining_s,
        deputies=deputies,
    )


def entry(lessor: model.LessorRef, zone: ids.ZoneName = ZONE) -> model.EntryVm:
    return model.EntryVm(
        vm=lessor.vm, incarnation=lessor.incarnation, zone=zone, peer_address="127.0.0.1:1"
    )


def peer(lessor: model.LessorRef, heard_at: float, **changes: Any) -> reconciliation.PeerView:
    return reconciliation.PeerView(peer=entry(lessor), last_heard_at=heard_at, **changes)


def view(now: float, **changes: Any) -> reconciliation.ServerView:
    """Return a view of a reachable server whose lessors A, B and C are live."""
    fields: dict[str, Any] = {
        "row": row(),
        "peers": tuple(peer(lessor, now) for lessor in (A, B, C)),
        "observed_since": now - 100.0,
        "last_reply_at": now - 0.1,
        "seen_incarnation": PROCESS,
        "acknowledged_token": ids.Token(1),
        "acknowledged_at": now - 50.0,
    }
    return reconciliation.ServerView(server=SERVER, zone=ZONE, **(fields | changes))


def make_lessor(me: model.LessorRef = A) -> lessor_module.Lessor:
    return lessor_module.Lessor(self_ref=me)


def granted_lessor(now: float = 10.0) -> lessor_module.Lessor:
    """Return a lessor whose server acknowledged token 1 at ``now`` with stamp 100."""
    lessor = make_lessor()
    lessor.update(row(), SHARDS, now - 0.01)
    lessor.on_reply(reply(99.0, token=0), now - 0.005)
    lessor.on_reply(reply(100.0), now)
    return lessor
