"""Sends grants and releases of key ranges to servers over HTTP."""

from __future__ import annotations

import json
import logging
from collections.abc import Callable
from typing import Any

from twisted.internet import defer

from celerystack import errors
from celerystack.backend import client, http
from celerystack.platform import wire
from celerystack.ranges import model, orders

_log = logging.getLogger(__name__)

GRANT_CONNECTIONS = 1
RELEASE_CONNECTIONS = 4
CONNECT_TIMEOUT_S = 0.4
IDLE_S = 8.0
HANDOVER_LENGTH_MAX = 200
"""Largest number of characters of a handover, which the row and the datagrams of a map hold."""
_HANDOVER_HEADER = b"celerystack-handover"
_EXPECTED_INSTANCE_HEADER = b"Celerystack-Expected-Instance"


class HttpOrders:
    """Implements `orders.OrderPort`.

    Grants and releases use separate connection pools, because a server responds to a release only
    when its work on the keys has ended. Responses to orders carry no id, so each release has a
    connection of its own: an earlier response that the server writes once more must not end the
    wait for the keys. A repeated response to a grant is harmless, because a lease counts from the
    moment at which its grant is sent.
    """

    def __init__(self, reactor: Any, *, now: Callable[[], float]) -> None:
        self._reactor = reactor
        self._now = now
        self._pools_by_address_and_limit: dict[tuple[str, int], client.ServerPool] = {}

    def grant(
        self, address: str, segment: model.Segment, *, lease_s: float, timeout_s: float
    ) -> defer.Deferred[orders.GrantResult]:
        """Grant the keys of a segment to its owner."""
        fields = _segment_fields(segment) | {"hold_time": wire.milliseconds(lease_s)}
        if segment.handover:
            fields["handover"] = segment.handover
        # A server that started at the address of a lost server must not accept that server's keys.
        expected = (
            ()
            if segment.owner is None
            else ((_EXPECTED_INSTANCE_HEADER, segment.owner.server.encode()),)
        )
        sent = self._post(address, GRANT_CONNECTIONS, "/grant", fields, timeout_s, expected)
        return sent.addCallback(self._decode_grant, address)

    def is_connected(self, address: str) -> bool:
        """Return whether the connection of the last grant to an address is still open."""
        pool = self._pools_by_address_and_limit.get((address, GRANT_CONNECTIONS))
        return pool is not None and pool.is_connected()

    def release(
        self, address: str, segment: model.Segment, *, timeout_s: float
    ) -> defer.Deferred[str]:
        """Release the keys of a segment; fires with the handover."""
        sent = self._post(
            address, RELEASE_CONNECTIONS, "/release", _segment_fields(segment), timeout_s
        )
        return sent.addCallback(self._decode_release, address)

    def _post(
        self,
        address: str,
        connections: int,
        path: str,
        fields: dict[str, object],
        timeout_s: float,
        extra_headers: http.HeaderList = (),
    ) -> defer.Deferred[http.HttpResponse]:
        request = http.HttpRequest(
            method=b"POST",
            target=path.encode(),
            headers=(
                (b"Host", address.encode()),
                (b"Content-Type", b"application/json"),
                *extra_headers,
            ),
            body=json.dumps(fields).encode(),
        )
        return self._pool(address, connections).exchange(request, deadline=self._now() + timeout_s)

    def _pool(self, address: str, connections: int) -> client.ServerPool:
        pool = self._pools_by_address_and_limit.get((address, connections))
        if pool is None:
            for key in [
                k for k, old in self._pools_by_address_and_limit.items() if not old.open_count
            ]:
                del self._pools_by_address_and_limit[key]
            pool = self._pools_by_address_and_limit[address, connections] = client.ServerPool(
                self._reactor,
                address=address,
                limit=connections,
                connect_timeout_s=CONNECT_TIMEOUT_S,
                idle_timeout_s=IDLE_S,
                keeps_connections=connections == GRANT_CONNECTIONS,
                now=self._now,
            )
        return pool

    def _decode_grant(self, response: http.HttpResponse, address: str) -> orders.GrantResult:
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

    def _decode_release(self, response: http.HttpResponse, address: str) -> str:
        if response.status != 200:
            raise errors.OutcomeUnknownError(
                f"unexpected status {response.status}", step="orders.release", peer=address
            )
        handover = (response.header(_HANDOVER_HEADER) or b"").decode("latin-1")
        if len(handover) > HANDOVER_LENGTH_MAX:
            _log.warning(
                "dropped a handover of %d characters",
                len(handover),
                extra={"step": "orders.release", "peer": address},
            )
            return ""
        return handover


def _segment_fields(segment: model.Segment) -> dict[str, object]:
    return {"start_key": segment.start, "to": segment.end, "fence": segment.token}
