"""Data classes shared by all packages: declarations, table rows and routes."""

from __future__ import annotations

import dataclasses
import enum
from collections.abc import Set

from celerystack import ids

HASH_BITS = 64
BASE_SHARDS_MAX = 1 << 20
HOT_SHARD_BASE = 1 << 32
"""First id of hot shards; lower ids are those of base shards."""


class ZoneLossPolicy(enum.Enum):
    """Whether delisting proves the loss of a server while no entry VM of its zone is reachable."""

    WAIT = "wait"
    TAKE = "take"


@dataclasses.dataclass(frozen=True, kw_only=True)
class Service:
    """A declared service.

    Attributes
    ----------
    prefixes : tuple of str
        URL path prefixes that the service owns, each starting and ending with ``/``.
    key_header : str
        Header that carries the key; empty if the key is the path segment after the prefix.
    shards : int
        Number of base shards; 1 for a service that is not divided by key.
    slots, connections : int
        Concurrent executions and connections that each server allows.
    deadline_ms : int
        Default request deadline in milliseconds.
    churn_per_minute : float
        Largest fraction of shards that balancing may move per minute, 0 to 1.
    """

    name: ids.ServiceName
    prefixes: tuple[str, ...]
    divided: bool = True
    key_header: str = ""
    shards: int = 64
    slots: int = 2
    connections: int = 110
    deadline_ms: int = 2000
    idempotent_methods: tuple[str, ...] = ("GET", "HEAD", "OPTIONS")
    checks_token: bool = False
    zone_loss: ZoneLossPolicy = ZoneLossPolicy.WAIT
    churn_per_minute: float = 0.1
    hot_keys: bool = True


@dataclasses.dataclass(frozen=True, kw_only=True)
class BackendServer:
    """A declared backend server.

    Attributes
    ----------
    address : str
        ``IP:port`` of the server's HTTP listener.
    weight : float
        Relative capacity, greater than 0.
    checks_token : bool or None
        Whether the server checks fencing tokens and epochs; None for the service's value.
    """

    server: ids.ServerId
    service: ids.ServiceName
    zone: ids.ZoneName
    address: str
    weight: float = 1.0
    checks_token: bool | None = None


@dataclasses.dataclass(frozen=True, kw_only=True)
class Configuration:
    """The merged, valid configuration of one version."""

    version: ids.ConfigVersion = ids.ConfigVersion(0)
    services_by_name: dict[ids.ServiceName, Service] = dataclasses.field(default_factory=dict)
    servers_by_id: dict[ids.ServerId, BackendServer] = dataclasses.field(default_factory=dict)

    def server_zones(self) -> frozenset[ids.ZoneName]:
        """Return the zones in which servers are declared."""
        return frozenset(server.zone for server in self.servers_by_id.values())

    def services_confined_to(self, zones: Set[ids.ZoneName]) -> frozenset[ids.ServiceName]:
        """Return the services that have servers, all of them in the given zones."""
        servers = self.servers_by_id.values()
        elsewhere = {server.service for server in servers if server.zone not in zones}
        return frozenset(server.service for server in servers) - elsewhere


@dataclasses.dataclass(frozen=True)
class LessorRef:
    """An entry VM process that may renew a server's lease."""

    vm: ids.EntryVmId
    incarnation: ids.Incarnation


class ServerState(enum.Enum):
    """State of a server's row."""

    ACTIVE = "active"
    SUSPENDED = "suspended"
    """Owns its shards, but no entry VM sends requests to it: the first step of the takeover of a
    server that does not check fencing tokens."""
    LOST = "lost"


@dataclasses.dataclass(frozen=True, kw_only=True)
class ServerRow:
    """Content of row ``server/<id>``.

    Attributes
    ----------
    incarnation : Incarnation
        Last known incarnation of the server's process; empty if none is known.
    previous_lessors : tuple of LessorRef
        Lessors that may still renew the lease, until the server has acknowledged ``token``.
    shards_digest : int
        `state.shards_digest.compute` of the shards that the maps assign to the server under
        ``token``.
    """

    server: ids.ServerId
    state: ServerState
    token: ids.Token
    incarnation: ids.Incarnation = ids.Incarnation("")
    lessors: tuple[LessorRef, ...] = ()
    previous_lessors: tuple[LessorRef, ...] = ()
    shards_digest: int = 0


@dataclasses.dataclass(frozen=True)
class ShardGrant:
    """One shard in a grant, with the epoch that requests must carry."""

    service: ids.ServiceName
    shard: ids.ShardId
    epoch: ids.Epoch


@dataclasses.dataclass(frozen=True, kw_only=True)
class EntryVm:
    """An entry VM as its peers see it."""

    vm: ids.EntryVmId
    incarnation: ids.Incarnation
    zone: ids.ZoneName
    peer_address: str


@dataclasses.dataclass(frozen=True)
class Route:
    """Current owner of a key.

    Attributes
    ----------
    previous_owner_zones : tuple of ZoneName
        Zones of previous owners, whose entry VMs may still hold claims of request ids.
    """

    server: ids.ServerId
    shard: ids.ShardId
    epoch: ids.Epoch
    previous_owner_zones: tuple[ids.ZoneName, ...] = ()


@dataclasses.dataclass(frozen=True)
class Moving:
    """The key's shard is being moved; requests wait until the move ends."""

    shard: ids.ShardId


@dataclasses.dataclass(frozen=True)
class NoOwner:
    """The key has no owner that can serve."""

    shard: ids.ShardId


RouteResult = Route | Moving | NoOwner


class Outcome(enum.Enum):
    """What a caller is told about its request."""

    ANSWERED = "answered"
    NOT_RUN = "not-run"
    UNKNOWN = "unknown"
