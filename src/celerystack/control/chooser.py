"""Connects the choice of server to the forwarder; implements `requests.ports.Chooser`."""

from __future__ import annotations

from celerystack import ids, model
from celerystack.requests import choice


class QueueingChooser:
    """Chooses a free server, or the one with the shortest queue here if none is free.

    The forwarder queues per server in deadline order, so a request that finds all slots taken joins
    the queue of the server with the fewest requests of this entry VM.
    """

    def __init__(self, chooser: choice.ServerChooser) -> None:
        self._chooser = chooser
        self._outstanding_by_server: dict[ids.ServerId, int] = {}

    def choose(
        self, service: model.Service, servers: tuple[model.BackendServer, ...], now: float
    ) -> model.BackendServer | None:
        """Return the server for the next request; None only if there are no candidates."""
        chosen = self._chooser.choose(service, servers, now)
        if chosen is not None or not servers:
            return chosen
        return min(servers, key=lambda s: (self._outstanding_by_server.get(s.server, 0), s.server))

    def started(self, server: model.BackendServer, now: float) -> None:
        """Record that a request was started at a server."""
        count = self._outstanding_by_server.get(server.server, 0)
        self._outstanding_by_server[server.server] = count + 1
        self._chooser.started(server.server, now)

    def finished(
        self, server: model.BackendServer, latency_s: float, outcome: model.Outcome, now: float
    ) -> None:
        """Record the end of a request that was started."""
        self._outstanding_by_server[server.server] -= 1
        self._chooser.finished(server.server, latency_s, outcome, now)
