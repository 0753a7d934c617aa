"""Orders to backend servers and their replies."""

from __future__ import annotations

import dataclasses
import enum

from celerystack import ids, model


@dataclasses.dataclass(frozen=True)
class Probe:
    """Requests the incarnation, token and timestamp of the server; changes nothing."""

    server: ids.ServerId


@dataclasses.dataclass(frozen=True, kw_only=True)
class Renew:
    """Extends the lease to ``echo_stamp`` plus the lease duration, on the server's clock."""

    server: ids.ServerId
    incarnation: ids.Incarnation
    token: ids.Token
    echo_stamp: float


@dataclasses.dataclass(frozen=True, kw_only=True)
class Grant:
    """Replaces the server's shards by the full list ``shards`` and starts or extends its lease."""

    server: ids.ServerId
    incarnation: ids.Incarnation
    token: ids.Token
    echo_stamp: float
    shards: tuple[model.ShardGrant, ...]


Order = Probe | Renew | Grant


class OrderResult(enum.Enum):
    """Result of an order."""

    OK = "ok"
    STALE_TOKEN = "stale_token"
    NO_GRANT = "no_grant"
    WRONG_INCARNATION = "wrong_incarnation"


@dataclasses.dataclass(frozen=True, kw_only=True)
class OrderReply:
    """A server's reply to an order.

    Attributes
    ----------
    token : Token
        Newest token that the server has seen.
    stamp : float
        Time of the server's monotonic clock in seconds.
    running_dropped : int
        Number of requests still running for shards that are no longer granted.
    load : float
        Running requests divided by slots, as reported by the server; may be outdated or wrong.
    """

    server: ids.ServerId
    result: OrderResult
    incarnation: ids.Incarnation
    token: ids.Token
    stamp: float
    running_dropped: int = 0
    load: float = 0.0
