"""Messages between entry VMs."""

from __future__ import annotations

import dataclasses
import enum

from celerystack import ids, model


@dataclasses.dataclass(frozen=True, kw_only=True)
class Hello:
    """First message on a stream."""

    vm: ids.EntryVmId
    incarnation: ids.Incarnation
    zone: ids.ZoneName
    address: str


@dataclasses.dataclass(frozen=True, kw_only=True)
class Heartbeat:
    """Sent to each peer every heartbeat interval.

    Attributes
    ----------
    digest : int
        Digest of the sender's row cache.
    stamp : float
        The sender's monotonic clock in seconds.
    echo : float
        Newest stamp that the sender received from the addressed peer; 0 if none. Time limits run
        from the echoed stamp, so that a delayed heartbeat cannot extend them.
    uptime_s : float
        Seconds since the sender's process started.
    draining : bool
        The sender shuts down and takes no new work.
    store_reachable : bool
        The sender's last call to the table service succeeded.
    silent_servers : tuple of ServerId
        Servers whose leases the sender renews and that do not reply.
    unanswered_by_server : dict
        Requests without an answer on open connections, for servers that do not check tokens.
    """

    digest: int
    config_version: ids.ConfigVersion
    stamp: float = 0.0
    echo: float = 0.0
    uptime_s: float = 0.0
    draining: bool = False
    store_reachable: bool = True
    silent_servers: tuple[ids.ServerId, ...] = ()
    unanswered_by_server: dict[ids.ServerId, int] = dataclasses.field(default_factory=dict)


@dataclasses.dataclass(frozen=True)
class RowVersions:
    """The sender's row versions, sent when digests differ."""

    versions_by_key: dict[ids.RowKey, ids.RowVersion]


@dataclasses.dataclass(frozen=True)
class RowsWanted:
    """Asks for rows by key."""

    keys: tuple[ids.RowKey, ...]


@dataclasses.dataclass(frozen=True)
class Rows:
    """Rows as ``(key, version, value)``."""

    rows: tuple[tuple[ids.RowKey, ids.RowVersion, bytes | None], ...]


@dataclasses.dataclass(frozen=True)
class PromiseRequest:
    """Asks a lessor not to grant or renew ``server`` under tokens up to ``token``."""

    server: ids.ServerId
    token: ids.Token


@dataclasses.dataclass(frozen=True, kw_only=True)
class PromiseReply:
    """Answer to `PromiseRequest`.

    Attributes
    ----------
    lessor : LessorRef
        The process that answers.
    remaining_s : float
        Seconds from sending until every lease that this lessor can have caused has lapsed.
    deputies : tuple of LessorRef
        Entry VMs that this lessor made deputies; they must be asked too.
    """

    server: ids.ServerId
    token: ids.Token
    lessor: model.LessorRef
    promised: bool
    remaining_s: float = 0.0
    deputies: tuple[model.LessorRef, ...] = ()


@dataclasses.dataclass(frozen=True)
class Deputize:
    """Allows the receiver to renew and grant ``server`` under ``token``."""

    server: ids.ServerId
    token: ids.Token


class ClaimState(enum.Enum):
    """State of a request id at a holder."""

    ACCEPTED = "accepted"
    RUNNING = "running"
    ANSWERED = "answered"
    NOT_RUN = "not-run"
    UNKNOWN = "unknown"


@dataclasses.dataclass(frozen=True, kw_only=True)
class Claim:
    """Claims a request id for one run.

    Attributes
    ----------
    remaining_ms : int
        Time left to the request's deadline.
    attempt : int
        Number of the claim at its claimant, so that a late reply does not answer a later claim.
    """

    request: ids.RequestId
    claimant: ids.EntryVmId
    remaining_ms: int
    attempt: int


@dataclasses.dataclass(frozen=True)
class ClaimReply:
    """Answer to `Claim`: ACCEPTED, or the state of the earlier claim."""

    request: ids.RequestId
    state: ClaimState
    attempt: int


@dataclasses.dataclass(frozen=True)
class ClaimResult:
    """Final state of a claimed request; NOT_RUN releases the claim."""

    request: ids.RequestId
    state: ClaimState


@dataclasses.dataclass(frozen=True)
class Suspects:
    """Fingerprints that were in flight on a lost server, with their weights.

    Attributes
    ----------
    weights_by_fingerprint : dict
        2 for the only fingerprint in flight, 1 for one of several, 0 for one that has completed
        since then and is no longer suspect.
    server, incarnation
        The loss that is reported; reports of the same loss by several entry VMs count once.
    """

    weights_by_fingerprint: dict[ids.Fingerprint, int]
    server: ids.ServerId
    incarnation: ids.Incarnation


@dataclasses.dataclass(frozen=True, kw_only=True)
class Traffic:
    """Request rates of one service at the sender, for its placer.

    Attributes
    ----------
    rate_by_shard : dict
        Requests/s by shard.
    rates_by_key : dict
        Rate and largest error in requests/s by key hash, for the most frequent keys.
    floor : float
        Largest possible rate of a key that is not listed.
    """

    service: ids.ServiceName
    rate_by_shard: dict[ids.ShardId, float]
    rates_by_key: dict[ids.KeyHash, tuple[float, float]]
    floor: float


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
