"""Finds the server for a call, and lets the call wait while no server is available."""

from __future__ import annotations

import dataclasses
import time
from collections.abc import Callable
from typing import Any

from twisted.internet import defer

from celerystack import errors, ids, model, timing
from celerystack.requests import calls, ports

NO_SERVER_REASON = "no server is usable"
MOVING_REASON = "the key's shard is being moved"
NO_OWNER_REASON = "no server owned the key before the deadline"


@dataclasses.dataclass(frozen=True, slots=True)
class Target:
    """The server for one attempt.

    Attributes
    ----------
    route : Route or None
        None for a service that is not divided.
    key_hash : KeyHash or None
        Hash of the key that ``route`` belongs to.
    """

    server: model.BackendServer
    route: model.Route | None
    key_hash: ids.KeyHash | None = None


async def wait_for_route_change(
    reactor: Any, routes: ports.RouteSource, service: model.Service, delay_s: float
) -> None:
    """Wait for the next change of a service's routes, for at most ``delay_s`` seconds."""
    changed = routes.wait_for_change(service)
    changed.addTimeout(max(0.0, delay_s), reactor)
    try:
        await changed
    except defer.TimeoutError:
        return


class TargetFinder:
    """Looks up routes and waits for their changes.

    Parameters
    ----------
    now : callable
        Monotonic clock in seconds.
    """

    def __init__(
        self,
        reactor: Any,
        routes: ports.RouteSource,
        chooser: ports.Chooser,
        *,
        now: Callable[[], float] = time.monotonic,
    ) -> None:
        self._reactor = reactor
        self._routes = routes
        self._chooser = chooser
        self._now = now

    async def find(
        self, call: calls.Call, avoid_until_by_server: dict[ids.ServerId, float]
    ) -> Target:
        """Return the server for the next attempt.

        The call waits for at most `timing.MOVE_WAIT_MAX_S` while its shard is moving, and at most
        until its deadline while the shard has no owner or the owner must be avoided.

        Parameters
        ----------
        avoid_until_by_server : dict of ServerId to float
            Monotonic time in seconds until which the call must not go to a server.

        Raises
        ------
        errors.NotRunError
            No server became available in time.
        """
        if not call.service.divided:
            return self._choose_server(call, avoid_until_by_server)
        return await self._find_owner(call, avoid_until_by_server)

    def is_current(self, call: calls.Call, target: Target) -> bool:
        """Return whether a server is still the target of a call.

        The shard can move while the call waits in the queue of the server. A server that does not
        check epochs would run the call although it no longer owns the key.
        """
        if target.route is None or target.key_hash is None:
            usable = self._routes.servers(call.service)
            return any(server.server == target.server.server for server in usable)
        return self._routes.current_route(call.service, target.key_hash) == target.route

    def _choose_server(
        self, call: calls.Call, avoid_until_by_server: dict[ids.ServerId, float]
    ) -> Target:
        servers = self._routes.servers(call.service)
        if avoid_until_by_server:
            now = self._now()
            servers = tuple(s for s in servers if avoid_until_by_server.get(s.server, now) <= now)
        server = self._chooser.choose(call.service, servers, self._now()) if servers else None
        if server is None:
            raise self._not_run(NO_SERVER_REASON)
        return Target(server, None)

    async def _find_owner(
        self, call: calls.Call, avoid_until_by_server: dict[ids.ServerId, float]
    ) -> Target:
        key_hash = call.key_hash()
        hold_deadline = 0.0
        while True:
            now = self._now()
            if now >= call.deadline:
                raise self._not_run(NO_OWNER_REASON)
            wait_deadline = call.deadline
            match self._routes.route(call.service, key_hash):
                case model.Route(server=owner) if avoid_until_by_server.get(owner, now) > now:
                    wait_deadline = min(wait_deadline, avoid_until_by_server[owner])
                case model.Route(server=owner) as route:
                    server = self._routes.server(owner)
                    if server is not None:
                        return Target(server, route, key_hash)
                case model.Moving():
                    hold_deadline = hold_deadline or now + timing.MOVE_WAIT_MAX_S
                    if now >= hold_deadline:
                        raise self._not_run(MOVING_REASON)
                    wait_deadline = min(wait_deadline, hold_deadline)
                case _:
                    hold_deadline = 0.0
            await wait_for_route_change(
                self._reactor, self._routes, call.service, wait_deadline - now
            )

    def _not_run(self, reason: str) -> errors.NotRunError:
        return errors.NotRunError(reason, step="requests.target")
