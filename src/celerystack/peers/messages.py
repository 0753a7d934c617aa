"""Messages between entry VMs; the names of the classes are part of the encoding."""

from __future__ import annotations

import dataclasses
import enum

from celerystack import ids, model


@dataclasses.dataclass(frozen=True, kw_only=True)
class Hello:
    """First message on a stream; identifies the sender."""

    vm: ids.EntryVmId
    incarnation: ids.Incarnation
    zone: ids.ZoneName
    address: str


@dataclasses.dataclass(frozen=True, kw_only=True)
class Heartbeat:
    """Liveness and status of the sender, sent every `timing.PEER_HEARTBEAT_S` seconds.

    Attributes
    ----------
    digest : int
        Digest of the sender's row cache.
    stamp : float
        The sender's monotonic clock in seconds.
    echo_stamp : float
        Newest stamp that the sender received from the addressed peer; 0 if none. Time limits run
        from the echoed stamp, so that a delayed heartbeat cannot extend them.
    uptime_s : float
        Seconds since the sender's process started.
    draining : bool
        Whether the sender is shutting down and takes no new work.
    store_reachable : bool
        Whether the sender's last call to the table service succeeded.
    silent_servers : tuple of ServerId
        Servers whose leases the sender renews and that do not respond.
    unanswered_by_server : dict
        Number of unanswered requests on open connections, for servers that do not check tokens.
    """

    digest: int
    config_version: ids.ConfigVersion
    stamp: float = 0.0
    echo_stamp: float = 0.0
    uptime_s: float = 0.0
    draining: bool = False
    store_reachable: bool = True
    silent_servers: tuple[ids.ServerId, ...] = ()
    unanswered_by_server: dict[ids.ServerId, int] = dataclasses.field(default_factory=dict)


@dataclasses.dataclass(frozen=True)
class RowVersions:
    """Versions of all rows in the sender's cache, sent when digests differ."""

    versions_by_key: dict[ids.RowKey, ids.RowVersion]


@dataclasses.dataclass(frozen=True)
class RowsWanted:
    """Requests rows by key."""

    keys: tuple[ids.RowKey, ...]


@dataclasses.dataclass(frozen=True)
class Rows:
    """Rows as ``(key, version, value)``; the value of a deleted row is None."""

    rows: tuple[tuple[ids.RowKey, ids.RowVersion, bytes | None], ...]


@dataclasses.dataclass(frozen=True)
class PromiseRequest:
    """Asks a lessor to promise not to grant or renew leases of ``server``.

    The promise covers all tokens up to ``token``.
    """

    server: ids.ServerId
    token: ids.Token


@dataclasses.dataclass(frozen=True, kw_only=True)
class PromiseReply:
    """Reply to `PromiseRequest`.

    Attributes
    ----------
    lessor : LessorRef
        The replying process.
    remaining_s : float
        Seconds from sending until all leases that this lessor may have caused have expired.
    deputies : tuple of LessorRef
        Entry VMs that this lessor allowed to grant leases; they must be asked as well.
    """

    server: ids.ServerId
    token: ids.Token
    lessor: model.LessorRef
    promised: bool
    remaining_s: float = 0.0
    deputies: tuple[model.LessorRef, ...] = ()


@dataclasses.dataclass(frozen=True)
class Deputize:
    """Allows the receiver to grant and renew leases of ``server`` under ``token``."""

    server: ids.ServerId
    token: ids.Token


class ClaimState(enum.Enum):
    """State of a request id at an entry VM that holds its claim."""

    ACCEPTED = "accepted"
    RUNNING = "running"
    ANSWERED = "answered"
    NOT_RUN = "not-run"
    UNKNOWN = "unknown"


@dataclasses.dataclass(frozen=True, kw_only=True)
class Claim:
    """Claims a request id for a single run of its request.

    Attributes
    ----------
    remaining_ms : int
        Time until the deadline of the request.
    attempt : int
        Number of the claim at its claimant, so that a late reply is not taken for that to a
        later claim.
    """

    request: ids.RequestId
    claimant: ids.EntryVmId
    remaining_ms: int
    attempt: int


@dataclasses.dataclass(frozen=True)
class ClaimReply:
    """Reply to `Claim`: ACCEPTED, or the state of an earlier claim of the request id."""

    request: ids.RequestId
    state: ClaimState
    attempt: int


@dataclasses.dataclass(frozen=True)
class ClaimResult:
    """Reports the final state of a claimed request; NOT_RUN releases the claim."""

    request: ids.RequestId
    state: ClaimState


@dataclasses.dataclass(frozen=True)
class Suspects:
    """Fingerprints of the requests that were in flight on a lost server, with weights.

    Attributes
    ----------
    weights_by_fingerprint : dict
        2 for the only fingerprint in flight, 1 for one of several, 0 for one that has completed
        since and is no longer suspected.
    server, incarnation
        The lost process; reports of the same loss by several entry VMs count once.
    """

    weights_by_fingerprint: dict[ids.Fingerprint, int]
    server: ids.ServerId
    incarnation: ids.Incarnation


@dataclasses.dataclass(frozen=True, kw_only=True)
class Traffic:
    """Request rates of one service as seen by the sender, for the placer of the service.

    Attributes
    ----------
    rate_by_shard : dict
        Requests/s by shard.
    rates_by_key : dict
        Rate and maximum error in requests/s by key hash, for the most frequent keys.
    unlisted_rate_max : float
        Largest possible rate, in requests/s, of a key that is not listed.
    """

    service: ids.ServiceName
    rate_by_shard: dict[ids.ShardId, float]
    rates_by_key: dict[ids.KeyHash, tuple[float, float]]
    unlisted_rate_max: float


Message = (
    Hello
    | Heartbeat
    | RowVersions
    | RowsWanted
    | Rows
    | PromiseRequest
    | PromiseReply
    | Deputize
    | Claim
    | ClaimReply
    | ClaimResult
    | Suspects
    | Traffic
)
