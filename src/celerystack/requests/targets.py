"""Finds the server for a call and holds the call while there is none."""

from __future__ import annotations

import dataclasses
import time
from collections.abc import Callable
from typing import Any

from twisted.internet import defer

from celerystack import errors, ids, model, timing
from celerystack.requests import calls, ports


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


async def change_or_delay(
    reactor: Any, source: ports.RouteSource, service: model.Service, delay_s: float
) -> None:
    """Return at the next change of a service's routes, at the latest after ``delay_s`` seconds."""
    changed = source.wait_for_change(service)
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
        source: ports.RouteSource,
        chooser: ports.Chooser,
        *,
        now: Callable[[], float] = time.monotonic,
    ) -> None:
        self._reactor = reactor
        self._source = source
        self._chooser = chooser
        self._now = now

    async def find(self, call: calls.Call, avoid_until: dict[ids.ServerId, float]) -> Target:
        """Return the server for the next attempt.

        Holds the call while its shard is moving, for at most `timing.HOLD_MAX_S`, and until the
        deadline while it has no owner or its owner is to be avoided until later.

        Raises
        ------
        errors.NotRunError
            There is no server in time.
        """
        if not call.service.divided:
            return self._choose(call, avoid_until)
        return await self._owner(call, avoid_until)

    def is_current(self, call: calls.Call, target: Target) -> bool:
        """Return whether a target is still the one to send to.

        A call can wait for a place at the server while its shard moves away. A server that does
        not check epochs would run it although it no longer owns the key.
        """
        if target.route is None or target.key_hash is None:
            usable = self._source.servers(call.service)
            return any(server.server == target.server.server for server in usable)
        return self._source.current_route(call.service, target.key_hash) == target.route

    def _choose(self, call: calls.Call, avoid_until: dict[ids.ServerId, float]) -> Target:
        servers = self._source.servers(call.service)
        if avoid_until:
            now = self._now()
            servers = tuple(s for s in servers if avoid_until.get(s.server, now) <= now)
        server = self._chooser.choose(call.service, servers, self._now()) if servers else None
        if server is None:
            raise self._none("no server is usable")
        return Target(server, None)

    async def _owner(self, call: calls.Call, avoid_until: dict[ids.ServerId, float]) -> Target:
        hashed = call.key_hash()
        hold_until = 0.0
        while True:
            now = self._now()
            if now >= call.deadline:
                raise self._none("no server owned the key before the deadline")
            until = call.deadline
            match self._source.route(call.service, hashed):
                case model.Route(server=owner) if avoid_until.get(owner, now) > now:
                    until = min(until, avoid_until[owner])
                case model.Route(server=owner) as route:
                    server = self._source.server(owner)
                    if server is not None:
                        return Target(server, route, hashed)
                case model.Moving():
                    hold_until = hold_until or now + timing.HOLD_MAX_S
                    if now >= hold_until:
                        raise self._none("the key's shard is being moved")
                    until = min(until, hold_until)
                case _:
                    hold_until = 0.0
            await change_or_delay(self._reactor, self._source, call.service, until - now)

    def _none(self, reason: str) -> errors.NotRunError:
        return errors.NotRunError(reason, step="requests.target")
