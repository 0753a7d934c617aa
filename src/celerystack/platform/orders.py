"""Orders to servers that hold keys."""

from __future__ import annotations

import json
from collections.abc import Callable
from typing import Any

from twisted.internet import defer

from celerystack import errors
from celerystack.backend import client, http
from celerystack.platform import wire
from celerystack.ranges import model, orders

GRANT_CONNECTIONS = 1
RELEASE_CONNECTIONS = 4
CONNECT_TIMEOUT_S = 0.4
IDLE_S = 8.0
_HANDOVER = b"celerystack-handover"
_EXPECTED = b"Celerystack-Expected-Instance"


class HttpOrders:
    """Implements `orders.OrderPort`.

    Grants and releases have connections of their own, because a release is answered only when the
    server's work has ended.
    """

    def __init__(self, reactor: Any, *, now: Callable[[], float]) -> None:
        self._reactor = reactor
        self._now = now
        self._pools: dict[tuple[str, int], client.ServerPool] = {}

    def grant(
        self, address: str, segment: model.Segment, *, lease_s: float, timeout_s: float
    ) -> defer.Deferred[orders.GrantResult]:
        """Grant the keys of a segment."""
        fields = _range(segment) | {"hold_time": wire.milliseconds(lease_s)}
        if segment.handover:
            fields["handover"] = segment.handover
        # A server that started at the address of a lost one must not take the old one's keys.
        expected = () if segment.owner is None else ((_EXPECTED, segment.owner.server.encode()),)
        sent = self._send(address, GRANT_CONNECTIONS, "/grant", fields, timeout_s, expected)
        return sent.addCallback(self._read_grant, address)

    def is_connected(self, address: str) -> bool:
        """Return whether the connection of the last grant to an address is still open."""
        pool = self._pools.get((address, GRANT_CONNECTIONS))
        return pool is not None and pool.is_connected()

    def release(
        self, address: str, segment: model.Segment, *, timeout_s: float
    ) -> defer.Deferred[str]:
        """Take the keys of a segment back."""
        sent = self._send(address, RELEASE_CONNECTIONS, "/release", _range(segment), timeout_s)
        return sent.addCallback(self._read_release, address)

    def _send(
        self,
        address: str,
        connections: int,
        path: str,
        fields: dict[str, object],
        timeout_s: float,
        more: http.HeaderList = (),
    ) -> defer.Deferred[http.HttpResponse]:
        request = http.HttpRequest(
            method=b"POST",
            target=path.encode(),
            headers=(
                (b"Host", address.encode()),
                (b"Content-Type", b"application/json"),
                *more,
            ),
            body=json.dumps(fields).encode(),
        )
        return self._pool(address, connections).exchange(request, deadline=self._now() + timeout_s)

    def _pool(self, address: str, connections: int) -> client.ServerPool:
        pool = self._pools.get((address, connections))
        if pool is None:
            for key in [k for k, old in self._pools.items() if not old.open_count]:
                del self._pools[key]
            pool = self._pools[address, connections] = client.ServerPool(
                self._reactor,
                address=address,
                limit=connections,
                connect_timeout_s=CONNECT_TIMEOUT_S,
                idle_timeout_s=IDLE_S,
                now=self._now,
            )
        return pool

    def _read_grant(self, response: http.HttpResponse, address: str) -> orders.GrantResult:
        match response.status:
            case 200:
                return orders.GrantResult.GRANTED
            case 409:
                return orders.GrantResult.TOKEN_TOO_OLD
            case 400:
                return orders.GrantResult.INVALID
            case 421:
                return orders.GrantResult.OTHER_SERVER
        raise errors.OutcomeUnknownError(
            f"unexpected status {response.status}", step="orders.grant", peer=address
        )

    def _read_release(self, response: http.HttpResponse, address: str) -> str:
        if response.status != 200:
            raise errors.OutcomeUnknownError(
                f"unexpected status {response.status}", step="orders.release", peer=address
            )
        return (response.header(_HANDOVER) or b"").decode("latin-1")


def _range(segment: model.Segment) -> dict[str, object]:
    return {"start_key": segment.start, "to": segment.end, "fence": segment.token}
