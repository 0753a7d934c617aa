"""Routes and services in force."""

from __future__ import annotations

import dataclasses
from collections.abc import Iterable

from celerystack import ids


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Target:
    """A service that takes part of a route's requests."""

    service: ids.ServiceName
    weight: float


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Route:
    """A path prefix of one host.

    Attributes
    ----------
    idempotent : bool
        Whether a request may run more than once.
    timeout_s : float
        Longest time that a caller is kept waiting.
    target_latency_s : float
        Time within which an answer has its full worth.
    attempts_max : int
        Largest number of servers to which one request may be sent.
    priority : int
        Rank; 0 is the most urgent.
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
        Whether each key has one owner.
    connections_max : int
        Connections that one server accepts from all callers together.
    """

    name: ids.ServiceName
    sharded: bool
    connections_max: int
    health_path: str


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class CallerLimits:
    """Bounds on callers, in bytes and seconds."""

    header_bytes_max: int
    body_bytes_max: int
    header_timeout_s: float
    idle_timeout_s: float


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class RoutingConfig:
    """One version of the configuration."""

    version: ids.ConfigVersion
    routes: tuple[Route, ...]
    services_by_name: dict[ids.ServiceName, ServicePolicy]
    limits: CallerLimits


class RouteTable:
    """Finds the route with the longest prefix."""

    def __init__(self, routes: Iterable[Route]) -> None:
        self._by_prefix_by_host: dict[str, dict[str, Route]] = {}
        for route in routes:
            self._by_prefix_by_host.setdefault(route.host, {})[route.prefix] = route

    def find(self, host: str, path: str) -> Route | None:
        """Return the route of a request; None if there is none."""
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

    Smooth weighted round robin: each target gains its weight per request, and the one with the
    most pays the total, so that the proportions also hold over short spans.
    """

    def __init__(self) -> None:
        self._credit_by_route: dict[tuple[str, tuple[Target, ...]], list[float]] = {}

    def pick(self, route: Route) -> ids.ServiceName:
        """Return the service of the next request of a route."""
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
        """Forget routes that are not in force any more."""
        kept = {(route.name, route.targets) for route in routes}
        for key in [key for key in self._credit_by_route if key not in kept]:
            del self._credit_by_route[key]
