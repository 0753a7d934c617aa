"""In-process ports for ownership tests."""

from __future__ import annotations

from twisted.internet import defer

from celerystack import errors, ids
from celerystack.fleet import servers
from celerystack.ranges import model, orders

SERVICE = ids.ServiceName("rota")
ZONE = ids.ZoneName("z1")


def life(name: str, born_ms: int = 1) -> model.Life:
    return model.Life(ids.ServerId(name), born_ms)


def entry(name: str, born_ms: int = 1, *, address: str = "", **changes) -> servers.ServerEntry:
    fields = {
        "server": ids.ServerId(name),
        "service": SERVICE,
        "address": address or f"10.0.0.1:{8000 + sum(name.encode())}",
        "zone": ZONE,
        "slots": 2,
        "state": servers.ServerState.READY,
        "cold_s": 0.0,
        "born_ms": born_ms,
    }
    return servers.ServerEntry(**(fields | changes))


def whole(owner: model.Life, token: int = 1) -> model.RangeMap:
    segment = model.Segment(start=0, end=model.KEY_MAX, token=ids.Token(token), owner=owner)
    return model.RangeMap(service=SERVICE, next_token=ids.Token(token + 1), segments=(segment,))


class Orders:
    """Answers orders at once, unless ``failing`` is set."""

    def __init__(self) -> None:
        self.granted: list[tuple[str, model.Segment]] = []
        self.released: list[tuple[str, model.Segment]] = []
        self.failing = False

    def grant(self, address, segment, *, hold_s, timeout_s):
        self.granted.append((address, segment))
        if self.failing:
            return defer.fail(
                errors.OutcomeUnknownError("connection lost", step="grant", peer=address)
            )
        return defer.succeed(orders.GrantResult.GRANTED)

    def release(self, address, segment, *, timeout_s):
        self.released.append((address, segment))
        if self.failing:
            return defer.fail(
                errors.OutcomeUnknownError("connection lost", step="release", peer=address)
            )
        return defer.succeed("handover-1")
