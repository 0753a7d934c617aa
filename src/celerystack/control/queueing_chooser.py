"""Implements `requests.ports.Chooser` with `requests.server_choice.ServerChooser`."""

from __future__ import annotations

from celerystack import model
from celerystack.requests import server_choice


class QueueingChooser:
    """Adapts `ServerChooser` to the forwarder, which has one queue per server.

    A request joins the queue of the chosen server; there is no common queue.
    """

    def __init__(self, chooser: server_choice.ServerChooser) -> None:
        self._chooser = chooser

    def choose(
        self, service: model.Service, servers: tuple[model.BackendServer, ...], now: float
    ) -> model.BackendServer | None:
        """Return the server for the next request; None only if there are no candidates."""
        return self._chooser.choose_for_queue(servers, now)

    def scores(self, servers: tuple[model.BackendServer, ...], now: float) -> list[float]:
        """Return the score of each server; `choose` returns one with the lowest."""
        return self._chooser.scores(servers, now)

    def started(self, server: model.BackendServer, now: float) -> None:
        """Record that a request joined the queue of a server."""
        self._chooser.started(server.server, now)

    def finished(
        self, server: model.BackendServer, latency_s: float, outcome: model.Outcome, now: float
    ) -> None:
        """Record the latency and outcome of a request that was started."""
        self._chooser.finished(server.server, latency_s, outcome, now)
