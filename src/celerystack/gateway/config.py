"""Routing configuration: routes, services and limits on callers."""

from __future__ import annotations

import dataclasses
from collections.abc import Iterable

from celerystack import ids
from celerystack.limits import cold_starts


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Target:
    """A service that receives a weighted share of a route's requests."""

    service: ids.ServiceName
    weight: float


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Route:
    """Routing and retry rules for a path prefix of one host.

    Attributes
    ----------
    idempotent : bool
        Whether a request may run more than once.
    timeout_s : float
        Maximum time until a caller gets a reply.
    target_latency_s : float
        Latency up to which an answer has its full value to the caller; not used yet.
    attempts_max : int
        Maximum number of attempts per request that may have run on a server.
    priority : int
        Priority class; 0 is the most urgent.
    """

    name: str
    host: str
    prefix: str
    targets: tuple[Target, ...]
    idempotent: bool
    timeout_s: float
    target_latency_s: float
    attempts_max: int
    priority: int


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ServicePolicy:
    """How the servers of a service are used.

    Attributes
    ----------
    sharded : bool
        Whether each key is owned exclusively by one server.
    connections_max : int
        Maximum number of connections that one server accepts in total.
    cold : ColdPolicy
        How long servers are cold after their start, and what they tolerate meanwhile.
    """

    name: ids.ServiceName
    sharded: bool
    connections_max: int
    health_path: str
    cold: cold_starts.ColdPolicy = cold_starts.ColdPolicy()


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class CallerLimits:
    """Limits on the connections and requests of callers, in bytes and seconds."""

    header_bytes_max: int
    body_bytes_max: int
    header_timeout_s: float
    idle_timeout_s: float


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class RoutingConfig:
    """One version of the routing configuration."""

    version: ids.ConfigVersion
    routes: tuple[Route, ...]
    services_by_name: dict[ids.ServiceName, ServicePolicy]
    limits: CallerLimits


class RouteTable:
    """Finds the route with the longest matching path prefix."""

    def __init__(self, routes: Iterable[Route]) -> None:
        self._by_prefix_by_host: dict[str, dict[str, Route]] = {}
        for route in routes:
            self._by_prefix_by_host.setdefault(route.host, {})[route.prefix] = route

    def find(self, host: str, path: str) -> Route | None:
        """Return the route for a request; None if no route matches."""
        by_prefix = self._by_prefix_by_host.get(host)
        if by_prefix is None:
            return None
        end = len(path)
        while (slash := path.rfind("/", 0, end)) >= 0:
            route = by_prefix.get(path[: slash + 1])
            if route is not None:
                return route
            end = slash
        return None


class Splitter:
    """Distributes requests of split routes in proportion to the weights.

    Smooth weighted round robin: with each request every target is credited with its weight, the
    target with the highest credit is picked, and the sum of the weights is deducted from it. The
    proportions therefore also hold over short sequences of requests.
    """

    def __init__(self) -> None:
        self._credit_by_route: dict[tuple[str, tuple[Target, ...]], list[float]] = {}

    def pick(self, route: Route) -> ids.ServiceName:
        """Return the service that receives the next request of a route."""
        if len(route.targets) == 1:
            return route.targets[0].service
        key = (route.name, route.targets)
        credits = self._credit_by_route.setdefault(key, [0.0] * len(route.targets))
        total = 0.0
        for index, target in enumerate(route.targets):
            credits[index] += target.weight
            total += target.weight
        best = max(range(len(credits)), key=credits.__getitem__)
        credits[best] -= total
        return route.targets[best].service

    def retain(self, routes: Iterable[Route]) -> None:
        """Discard the credits of routes that are no longer configured."""
        kept = {(route.name, route.targets) for route in routes}
        for key in [key for key in self._credit_by_route if key not in kept]:
            del self._credit_by_route[key]
