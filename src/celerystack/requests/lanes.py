"""Exchanges with one server, and the detection of its loss."""

from __future__ import annotations

import dataclasses
import time
from collections.abc import Callable
from typing import Any

from twisted.internet import defer

from celerystack import ids, model
from celerystack.backend import client, exchange, http

LOSS_WINDOW_S = 0.05
"""Connections of a killed process break within a few ms of each other; a longer window would merge
the losses of a server that restarts quickly."""

Answer = http.HttpResponse | exchange.StreamedResponse
OnLoss = Callable[[ids.ServerId, tuple[ids.Fingerprint, ...]], None]


@dataclasses.dataclass(slots=True, eq=False)
class Flight:
    """One attempt at a server, from the write to the end of its answer.

    Implements `exchange.Watcher`.

    Attributes
    ----------
    sent : bool
        Whether the write was permitted, so that bytes may have left.
    broken : bool
        Whether the connection was lost while the attempt was in flight.
    """

    lane: Lane
    shard: ids.ShardId | None
    fingerprint: ids.Fingerprint
    permitted: Callable[[model.BackendServer], bool]
    sent: bool = False
    broken: bool = False

    def may_write(self) -> bool:
        """Check the permission to send and enter the set of flights."""
        if not self.permitted(self.lane.server):
            return False
        self.sent = True
        self.lane.flights.add(self)
        return True

    def ended(self, *, broken: bool) -> None:
        """Leave the set of flights."""
        if self.sent:
            self.broken = broken
            self.lane.ended(self)


@dataclasses.dataclass(slots=True)
class _Break:
    """Flights when a connection broke, and those of them that broke since."""

    expected: set[Flight]
    broken: set[Flight]


class Lane:
    """All requests of this entry VM to one server.

    Parameters
    ----------
    on_loss : callable
        Called with the server id and the fingerprints in flight when every attempt in flight broke
        within `LOSS_WINDOW_S`.

    Attributes
    ----------
    flights : set of Flight
        Attempts that are unanswered on an open connection.
    """

    def __init__(
        self,
        reactor: Any,
        server: model.BackendServer,
        *,
        connection_limit: int,
        on_loss: OnLoss,
        now: Callable[[], float] = time.monotonic,
    ) -> None:
        self.server = server
        self.flights: set[Flight] = set()
        self._reactor = reactor
        self._on_loss = on_loss
        self._break: _Break | None = None
        self.pool = client.ServerPool(
            reactor, address=server.address, limit=connection_limit, now=now
        )

    def exchange(
        self, request: http.HttpRequest, flight: Flight, *, deadline: float
    ) -> defer.Deferred[Answer]:
        """Send a request; fails as `client.ServerPool.exchange_streaming` does."""
        return self.pool.exchange_streaming(request, deadline=deadline, watcher=flight)

    def ended(self, flight: Flight) -> None:
        """Remove a flight and note whether its connection broke."""
        if flight.broken:
            if self._break is None:
                self._break = _Break(set(self.flights), set())
                self._reactor.callLater(LOSS_WINDOW_S, self._judge_break)
            self._break.broken.add(flight)
        self.flights.discard(flight)

    def _judge_break(self) -> None:
        seen, self._break = self._break, None
        if seen is not None and seen.expected <= seen.broken:
            self._on_loss(self.server.server, tuple({flight.fingerprint for flight in seen.broken}))

    def lose(self, reason: str) -> None:
        """Close all connections at once; flights end with an unknown outcome."""
        self.pool.close_connections(reason)

    def close(self) -> None:
        """Close the pool; nothing can be sent afterwards."""
        self.pool.close()
