"""Bounded pool of HTTP/1.1 connections to one backend server."""

from __future__ import annotations

import collections
import functools
import time
from collections.abc import Callable
from typing import Any

from twisted.internet import defer, protocol
from twisted.python import failure

from celerystack import errors
from celerystack.backend import connection as connections
from celerystack.backend import exchange as exchanges
from celerystack.backend import http
from celerystack.limits import byte_budget

CONNECT_TIMEOUT_S = 0.5
"""Time in seconds after which an attempt to connect fails."""
IDLE_TIMEOUT_S = 4.0
"""Longest idle time of a connection; shorter than common server keep-alive timeouts of 5 s."""

KEEP_ALIVE_MARGIN_S = 1.5
"""A connection is not reused this close to the end of its server's stated keep-alive timeout."""

RESPONSE_BYTES_MAX = 4 * 1024 * 1024
"""Largest body in bytes of a response that is not streamed; the head does not count."""
WHOLE_BODY_BYTES_MAX = 64 * 1024
"""Body size in bytes above which a response is returned as a stream."""


class _ConnectFactory(protocol.ClientFactory):
    noisy = False

    def __init__(self, pool: ServerPool) -> None:
        self._pool = pool

    def buildProtocol(self, addr: Any) -> connections.ClientConnection:  # noqa: N802
        return self._pool.build_connection()

    def clientConnectionFailed(self, connector: Any, reason: failure.Failure) -> None:  # noqa: N802
        self._pool.connect_failed(reason)


class ServerPool:
    """Connections to one server, each with at most one exchange in flight.

    Parameters
    ----------
    reactor : IReactorTCP and IReactorTime
        Reactor that runs the connections.
    address : str
        ``IP:port`` of the server.
    limit : int
        Largest number of open connections; further exchanges wait in order of arrival.
    keeps_connections : bool
        Whether a connection is used for more than one exchange.
    budget : ByteBudget or None
        Budget for the bodies of responses that `exchange` receives.
    now : callable
        Monotonic clock in seconds that deadlines refer to.
    """

    def __init__(
        self,
        reactor: Any,
        *,
        address: str,
        limit: int,
        connect_timeout_s: float = CONNECT_TIMEOUT_S,
        idle_timeout_s: float = IDLE_TIMEOUT_S,
        keeps_connections: bool = True,
        budget: byte_budget.ByteBudget | None = None,
        now: Callable[[], float] = time.monotonic,
    ) -> None:
        self._reactor = reactor
        self.address = address
        host, _, port = address.rpartition(":")
        self._host = host.strip("[]")
        self._port = int(port)
        self._limit = limit
        self._connect_timeout_s = connect_timeout_s
        self._idle_timeout_s = idle_timeout_s
        self._keeps_connections = keeps_connections
        self._budget = budget
        self._now = now
        self._factory = _ConnectFactory(self)
        self._open: set[connections.ClientConnection] = set()
        self._idle: list[connections.ClientConnection] = []
        self._waiting: collections.deque[exchanges.Exchange] = collections.deque()
        self._connecting_count = 0
        self._idle_timer: Any = None
        self._closed = False

    @property
    def open_count(self) -> int:
        """Number of connections that are open or being opened."""
        return len(self._open) + self._connecting_count

    @property
    def idle_count(self) -> int:
        """Number of open connections without an exchange."""
        return len(self._idle)

    def is_connected(self) -> bool:
        """Return whether a connection is in use, or idle and still open on both sides."""
        return any(
            connection.is_reusable() if connection in self._idle else not connection.closing
            for connection in self._open
        )

    def set_limit(self, limit: int) -> None:
        """Change the limit; excess idle connections close now, busy ones when they finish."""
        self._limit = limit
        while self._idle and self._exceeds_limit():
            self._drop(self._idle.pop(0))
        self._start_waiting_exchanges()

    def _exceeds_limit(self) -> bool:
        """Return whether the connections that are not closing exceed the limit."""
        if self.open_count <= self._limit:
            return False
        closing = sum(connection.closing for connection in self._open)
        return self.open_count - closing > self._limit

    def exchange(
        self,
        request: http.HttpRequest,
        *,
        deadline: float,
        observer: exchanges.ExchangeObserver | None = None,
        response_bytes_max: int = RESPONSE_BYTES_MAX,
        matches_request: Callable[[http.HeaderList], bool] | None = None,
        allow_close_delimited: bool = False,
        needs_new_connection: bool = False,
        slow_transfer: exchanges.SlowTransfer | None = None,
    ) -> defer.Deferred[http.HttpResponse]:
        """Send a request and return the complete response.

        Parameters
        ----------
        deadline : float
            Monotonic time in seconds after which the exchange fails and its connection closes.
        observer : ExchangeObserver or None
            Permits the write in the reactor turn of the write, and is notified of the end.
        matches_request : callable or None
            Returns whether a response with these headers answers this request; others are skipped.
        allow_close_delimited : bool
            Whether a response without a length may be delimited by the close of its connection.
        needs_new_connection : bool
            Whether the request may only be sent on a connection that has carried no exchange
            before. For a request that was sent to this server before: an earlier response to it
            that the server writes once more cannot arrive there.
        slow_transfer : SlowTransfer or None
            Limits of a body that may arrive after the deadline; None if it may not.

        Raises
        ------
        errors.NotRunError
            No byte of the request reached the server.
        errors.TruncatedAnswerError
            The response ended before it was complete.
        errors.OutcomeUnknownError
            Any other failure, including a body larger than ``response_bytes_max`` bytes.
        """
        return self._submit(
            request,
            deadline,
            observer=observer,
            whole_body_bytes_max=response_bytes_max,
            stream=False,
            matches_request=matches_request,
            allow_close_delimited=allow_close_delimited,
            needs_new_connection=needs_new_connection,
            budget=self._budget,
            slow_transfer=slow_transfer,
        )

    def exchange_streaming(
        self,
        request: http.HttpRequest,
        *,
        deadline: float,
        observer: exchanges.ExchangeObserver | None = None,
        whole_body_bytes_max: int = WHOLE_BODY_BYTES_MAX,
    ) -> defer.Deferred[http.HttpResponse | exchanges.StreamedResponse]:
        """Like `exchange`, but a body above ``whole_body_bytes_max`` is returned as a stream."""
        return self._submit(
            request,
            deadline,
            observer=observer,
            whole_body_bytes_max=whole_body_bytes_max,
            stream=True,
        )

    def _submit(
        self,
        request: http.HttpRequest,
        deadline: float,
        *,
        observer: exchanges.ExchangeObserver | None,
        whole_body_bytes_max: int,
        stream: bool,
        matches_request: Callable[[http.HeaderList], bool] | None = None,
        allow_close_delimited: bool = False,
        needs_new_connection: bool = False,
        budget: byte_budget.ByteBudget | None = None,
        slow_transfer: exchanges.SlowTransfer | None = None,
    ) -> defer.Deferred[Any]:
        exchange = exchanges.Exchange(
            request,
            peer=self.address,
            whole_body_bytes_max=whole_body_bytes_max,
            stream=stream,
            observer=observer,
            on_abort=self._on_exchange_abort,
            matches_request=matches_request,
            allow_close_delimited=allow_close_delimited,
            needs_new_connection=needs_new_connection,
            budget=budget,
        )
        remaining = deadline - self._now()
        if self._closed or remaining <= 0:
            reason = "the pool is closed" if self._closed else "the deadline passed"
            exchange.fail(self._not_run(reason))
            return exchange.deferred
        exchange.timer = self._reactor.callLater(remaining, exchange.expire)
        if slow_transfer is not None:
            exchange.on_progress = functools.partial(self._defer_expiry, exchange, slow_transfer)
        self._waiting.append(exchange)
        self._start_waiting_exchanges()
        return exchange.deferred

    def _defer_expiry(
        self, exchange: exchanges.Exchange, slow_transfer: exchanges.SlowTransfer
    ) -> None:
        """Give the rest of a body time to arrive, because a piece of it has arrived."""
        allowed_s = min(slow_transfer.pause_max_s, slow_transfer.deadline - self._now())
        timer = exchange.timer
        if timer is not None and self._reactor.seconds() + allowed_s > timer.getTime():
            timer.reset(allowed_s)

    def _not_run(self, reason: str) -> errors.NotRunError:
        return errors.NotRunError(reason, step="backend.exchange", peer=self.address)

    def _take_idle(self) -> connections.ClientConnection | None:
        while self._idle:
            connection = self._idle.pop()
            if connection.idle_until >= self._now() and connection.is_reusable():
                return connection
            self._drop(connection)
        return None

    def _drop(self, connection: connections.ClientConnection) -> None:
        connection.abort()

    def _start_waiting_exchanges(self) -> None:
        while self._waiting:
            connection = self._take_idle()
            if connection is None:
                break
            exchange = self._take_waiting(connection)
            if exchange is None:
                self._keep_or_replace(connection)
                break
            connection.start(exchange)
        self._open_connections()

    def _take_waiting(self, connection: connections.ClientConnection) -> exchanges.Exchange | None:
        """Remove and return the first waiting exchange that may use a connection."""
        for exchange in self._waiting:
            if not (connection.is_reused and exchange.needs_new_connection):
                self._waiting.remove(exchange)
                return exchange
        return None

    def _keep_or_replace(self, connection: connections.ClientConnection) -> None:
        """Keep an idle connection that no waiting exchange may use, or close it for a new one."""
        if self.open_count < self._limit:
            self._idle.append(connection)
        else:
            self._drop(connection)

    def _open_connections(self) -> None:
        while len(self._waiting) > self._connecting_count and self.open_count < self._limit:
            self._connecting_count += 1
            self._reactor.connectTCP(
                self._host, self._port, self._factory, timeout=self._connect_timeout_s
            )

    def build_connection(self) -> connections.ClientConnection:
        """Return the protocol for a connection that has just been established."""
        self._connecting_count -= 1
        connection = connections.ClientConnection(
            peer=self.address, on_idle=self._became_idle, on_closed=self._remove_connection
        )
        self._open.add(connection)
        return connection

    def connect_failed(self, reason: failure.Failure) -> None:
        """Fail the exchange that has waited longest; other exchanges trigger their own attempts."""
        self._connecting_count -= 1
        if self._waiting:
            error = errors.ConnectFailedError(
                f"cannot connect: {reason.getErrorMessage()}",
                step="backend.exchange",
                peer=self.address,
            )
            self._waiting.popleft().fail(error)
        self._start_waiting_exchanges()

    def _became_idle(self, connection: connections.ClientConnection) -> None:
        is_spent = connection.is_reused and not self._keeps_connections
        if self._closed or is_spent or self._exceeds_limit():
            self._drop(connection)
            return
        connection.idle_since = self._now()
        connection.idle_until = connection.idle_since + self._idle_limit_s(connection)
        self._idle.append(connection)
        if self._idle_timer is None:
            self._idle_timer = self._reactor.callLater(
                self._idle_timeout_s, self._close_expired_idle
            )
        if self._waiting:
            self._start_waiting_exchanges()

    def _idle_limit_s(self, connection: connections.ClientConnection) -> float:
        """Return how long a connection may stay idle, given its server's keep-alive timeout."""
        if connection.keep_alive_s is None:
            return self._idle_timeout_s
        return min(self._idle_timeout_s, connection.keep_alive_s - KEEP_ALIVE_MARGIN_S)

    def _remove_connection(self, connection: connections.ClientConnection) -> None:
        self._open.discard(connection)
        if connection in self._idle:
            self._idle.remove(connection)
        self._start_waiting_exchanges()

    def _on_exchange_abort(self, exchange: exchanges.Exchange) -> None:
        if exchange.connection is not None:
            exchange.connection.abort_exchange(exchange)
        elif exchange in self._waiting:
            self._waiting.remove(exchange)

    def _close_expired_idle(self) -> None:
        self._idle_timer = None
        now = self._now()
        for connection in [c for c in self._idle if c.idle_until <= now]:
            self._idle.remove(connection)
            self._drop(connection)
        if self._idle:
            wait_s = max(0.1, min(c.idle_until for c in self._idle) - now)
            self._idle_timer = self._reactor.callLater(wait_s, self._close_expired_idle)

    def check_reachable(self) -> defer.Deferred[bool]:
        """Open and close a connection; fires with whether the server accepted it.

        The connection is not counted against the limit.
        """
        creator = protocol.ClientCreator(self._reactor, protocol.Protocol)
        opened = creator.connectTCP(self._host, self._port, timeout=self._connect_timeout_s)

        def accepted(connected_protocol: protocol.Protocol) -> bool:
            connected_protocol.transport.abortConnection()
            return True

        return opened.addCallbacks(accepted, lambda _: False)

    def close_connections(self, reason: str) -> None:
        """Close all connections at once; exchanges in flight fail with an unknown outcome."""
        self._idle.clear()
        for connection in list(self._open):
            connection.abort_with_error(
                errors.OutcomeUnknownError(reason, step="backend.exchange", peer=self.address)
            )

    def close(self, reason: str = "the pool is closed") -> None:
        """Close all connections; waiting and further exchanges fail as not run."""
        self._closed = True
        while self._waiting:
            self._waiting.popleft().fail(self._not_run(reason))
        self.close_connections(reason)
        if self._idle_timer is not None:
            self._idle_timer.cancel()
            self._idle_timer = None
