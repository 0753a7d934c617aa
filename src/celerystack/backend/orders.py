"""Client that sends orders to backend servers as JSON over HTTP."""

from __future__ import annotations

import json
import math
import time
from collections.abc import Callable
from typing import Any

from twisted.internet import defer

from celerystack import errors, ids
from celerystack.backend import client, http, messages

ORDER_TIMEOUT_S = 0.4
"""Time in seconds after which an order without a reply fails."""
ORDER_POOL_LIMIT = 2
"""Connections per server and entry VM: one for renewals, one for concurrent probes and grants."""

REPLY_BYTES_MAX = 64 * 1024
"""Largest body of a reply in bytes."""
_MALFORMED_REPLY_ERRORS = (ValueError, TypeError, KeyError, OverflowError, RecursionError)


def _path_and_body(order: messages.Order, lessor: ids.EntryVmId) -> tuple[bytes, dict[str, Any]]:
    match order:
        case messages.Probe():
            return b"/orders/probe", {}
        case messages.Renew():
            return b"/orders/renew", _lease_fields(order, lessor)
        case messages.Grant(shards=shards):
            rows = [[grant.service, grant.shard, grant.epoch] for grant in shards]
            return b"/orders/grant", {**_lease_fields(order, lessor), "shards": rows}
    raise TypeError(f"not an order: {order!r}")


def _lease_fields(order: messages.Renew | messages.Grant, lessor: ids.EntryVmId) -> dict[str, Any]:
    return {
        "incarnation": order.incarnation,
        "token": order.token,
        "echo_stamp": order.echo_stamp,
        "lessor": lessor,
    }


def _integer(value: Any) -> int:
    if isinstance(value, bool) or not isinstance(value, int):
        raise TypeError(f"{value!r} is not an integer")
    return value


def _finite(value: Any) -> float:
    # json accepts NaN and Infinity; as a stamp, either would defeat the comparisons of lease times.
    if isinstance(value, bool) or not isinstance(value, int | float) or not math.isfinite(value):
        raise TypeError(f"{value!r} is not a finite number")
    return float(value)


def decode_reply(server: ids.ServerId, body: bytes) -> messages.OrderReply:
    """Decode the JSON reply to an order.

    Raises
    ------
    ValueError, TypeError, KeyError, OverflowError, RecursionError
        The reply is malformed.
    """
    fields = json.loads(body)
    incarnation = fields["incarnation"]
    if not isinstance(incarnation, str):
        raise TypeError("incarnation is not a string")
    return messages.OrderReply(
        server=server,
        result=messages.OrderResult(fields["result"]),
        incarnation=ids.Incarnation(incarnation),
        token=ids.Token(_integer(fields["token"])),
        stamp=_finite(fields["stamp"]),
        running_dropped=_integer(fields.get("running_dropped", 0)),
        load=_finite(fields.get("load", 0.0)),
    )


class OrderSender:
    """Sends orders; each server has a small connection pool for orders, separate from requests.

    Parameters
    ----------
    lessor : EntryVmId
        Id of this entry VM, sent in renewals and grants.
    address_of : callable
        Returns the ``IP:port`` of a server, or None if the server is not declared.
    """

    def __init__(
        self,
        reactor: Any,
        *,
        lessor: ids.EntryVmId,
        address_of: Callable[[ids.ServerId], str | None],
        timeout_s: float = ORDER_TIMEOUT_S,
        pool_limit: int = ORDER_POOL_LIMIT,
        now: Callable[[], float] = time.monotonic,
    ) -> None:
        self._reactor = reactor
        self._lessor = lessor
        self._address_of = address_of
        self._timeout_s = timeout_s
        self._pool_limit = pool_limit
        self._now = now
        self._pools_by_server: dict[ids.ServerId, client.ServerPool] = {}

    def send(
        self, order: messages.Order, *, timeout_s: float | None = None
    ) -> defer.Deferred[messages.OrderReply]:
        """Send an order and return the server's reply.

        Raises
        ------
        errors.NotRunError
            The server certainly did not receive the order.
        errors.OutcomeUnknownError
            The server may have executed the order: no reply in time, or a malformed one.
        """
        path, fields = _path_and_body(order, self._lessor)
        pool = self._pool(order.server)
        if pool is None:
            return defer.fail(
                errors.NotRunError(
                    "the server is not declared", step="backend.order", peer=order.server
                )
            )
        request = http.HttpRequest(
            method=b"POST",
            target=path,
            headers=(
                (b"Host", pool.address.encode()),
                (b"Content-Type", b"application/json"),
            ),
            body=json.dumps(fields, separators=(",", ":")).encode(),
        )
        deadline = self._now() + (self._timeout_s if timeout_s is None else timeout_s)
        sent = pool.exchange(request, deadline=deadline, response_bytes_max=REPLY_BYTES_MAX)
        return sent.addCallback(self._decode, order.server)

    def _decode(self, response: http.HttpResponse, server: ids.ServerId) -> messages.OrderReply:
        if response.status != 200:
            raise errors.OutcomeUnknownError(
                f"the server replied to the order with HTTP status {response.status}",
                step="backend.order",
                peer=server,
            )
        try:
            return decode_reply(server, response.body)
        except _MALFORMED_REPLY_ERRORS as error:
            raise errors.OutcomeUnknownError(
                f"malformed reply to the order: {error}", step="backend.order", peer=server
            ) from error

    def _pool(self, server: ids.ServerId) -> client.ServerPool | None:
        address = self._address_of(server)
        pool = self._pools_by_server.get(server)
        if pool is not None and pool.address == address:
            return pool
        if pool is not None:
            self._pools_by_server.pop(server).close("the server's address changed")
        if address is None:
            return None
        pool = client.ServerPool(
            self._reactor, address=address, limit=self._pool_limit, now=self._now
        )
        self._pools_by_server[server] = pool
        return pool

    def forget(self, server: ids.ServerId) -> None:
        """Close the pool of a server that is no longer declared.

        `close` also calls this, so the reason in the failures is the same at shutdown.
        """
        pool = self._pools_by_server.pop(server, None)
        if pool is not None:
            pool.close("the server is no longer declared")

    def close(self) -> None:
        """Close all pools."""
        for server in list(self._pools_by_server):
            self.forget(server)
