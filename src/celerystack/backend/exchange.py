"""One request and its response on one connection, and the stream of a large response."""

from __future__ import annotations

import dataclasses
import enum
from collections.abc import Callable
from typing import TYPE_CHECKING, Any, Protocol

from twisted.internet import defer, interfaces
from zope.interface import implementer

from celerystack import errors
from celerystack.backend import http
from celerystack.limits import byte_budget

if TYPE_CHECKING:
    from celerystack.backend import connection


class ExchangeState(enum.Enum):
    """Progress of an exchange."""

    WAITING = "waiting"
    WRITTEN = "written"
    STREAMING = "streaming"
    DONE = "done"


class ConnectionOutcome(enum.Enum):
    """Whether the connection was lost during an exchange without this side closing it.

    INTACT is therefore also the outcome if this side closed or aborted the connection. BROKEN means
    that the connection was lost after the request was written and that this side did not close it.
    MAYBE_IDLE_CLOSE means the same for a reused connection before the first byte of the response:
    the server may have closed an idle connection while the request was in flight.
    """

    INTACT = "intact"
    BROKEN = "broken"
    MAYBE_IDLE_CLOSE = "maybe-idle-close"


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class SlowTransfer:
    """Lets a body arrive after the deadline of its exchange as long as it makes progress.

    Attributes
    ----------
    pause_max_s : float
        Longest time in seconds without a piece of the body.
    deadline : float
        Monotonic time in seconds after which the exchange fails nevertheless.
    """

    pause_max_s: float
    deadline: float


class ExchangeObserver(Protocol):
    """Observes one exchange."""

    def may_write(self) -> bool:
        """Return whether the request may be written; called in the reactor turn of the write."""

    def on_end(self, connection_outcome: ConnectionOutcome) -> None:
        """Handle the end of the exchange; called once, before the result is delivered."""


@implementer(interfaces.IPushProducer)
class StreamedResponse:
    """A large response: the head, the first bytes of the body, and the rest on demand.

    The connection is not read until `deliver` is called.
    """

    def __init__(self, exchange: Exchange) -> None:
        self._exchange = exchange
        self._consumer: Any = None
        self._done: defer.Deferred[None] | None = None
        self._error: errors.CelerystackError | None = None
        self._complete = False
        self.status = exchange.status
        self.reason = exchange.reason
        self.headers = exchange.headers

    def header(self, name: bytes) -> bytes | None:
        """Return the first value of a header given in lower case; None if it is absent."""
        return http.first_value(self.headers, name)

    def deliver(self, consumer: Any) -> defer.Deferred[None]:
        """Write the body to an `IConsumer`; the Deferred fires when the body is complete.

        The Deferred fails with `errors.TruncatedAnswerError` if the body ends early, and with
        `errors.OutcomeUnknownError` if the deadline passes. Cancelling it closes the connection.
        """
        done: defer.Deferred[None] = defer.Deferred(lambda _: self._exchange.abort())
        self._done = done
        self._consumer = consumer
        consumer.registerProducer(self, True)
        received = self._exchange.take_body()
        if received:
            consumer.write(received)
        if self._complete or self._error is not None:
            self._fire_done()
        elif self._exchange.connection is not None:
            self._exchange.connection.resume_reading()
        return done

    def abandon(self) -> None:
        """Close the connection without delivering the rest."""
        self._exchange.abort()

    def receive(self, data: bytes) -> None:
        """Receive body bytes from the connection."""
        if self._consumer is None:
            self._exchange.body += data
        else:
            self._consumer.write(data)

    def finish(self, error: errors.CelerystackError | None) -> None:
        """Handle the end of the response; ``error`` is None if it is complete."""
        self._error = error
        self._complete = error is None
        if self._done is not None:
            self._fire_done()

    def _fire_done(self) -> None:
        done, self._done = self._done, None
        self._consumer.unregisterProducer()
        if done.called:
            return
        if self._error is None:
            done.callback(None)
        else:
            done.errback(self._error)

    def pauseProducing(self) -> None:  # noqa: N802
        """Stop reading from the backend server."""
        if self._exchange.connection is not None:
            self._exchange.connection.pause_reading()

    def resumeProducing(self) -> None:  # noqa: N802
        """Continue reading from the backend server."""
        if self._exchange.connection is not None:
            self._exchange.connection.resume_reading()

    def stopProducing(self) -> None:  # noqa: N802
        """Close the connection, because the consumer no longer takes data."""
        self._exchange.abort()


class Exchange:
    """A request, the part of its response that has arrived, and their state.

    Parameters
    ----------
    whole_body_bytes_max : int
        Largest body that is buffered and returned as a whole.
    stream : bool
        Whether a larger response becomes a `StreamedResponse`; otherwise it is an error.
    observer : ExchangeObserver or None
        Permits the write and is notified of the end.
    matches_request : callable or None
        Returns whether a response with these headers answers this request; others are skipped.
    allow_close_delimited : bool
        Whether a response without a length is complete when the server closes its connection.
    needs_new_connection : bool
        Whether the request may only be sent on a connection that has carried no exchange before.
    budget : ByteBudget or None
        Budget from which body bytes are reserved while the exchange holds them.

    Attributes
    ----------
    on_progress : callable or None
        Called after each piece of the body.
    """

    __slots__ = (
        "_reserved_bytes",
        "allow_close_delimited",
        "body",
        "budget",
        "connection",
        "deferred",
        "headers",
        "matches_request",
        "needs_new_connection",
        "observer",
        "on_abort",
        "on_progress",
        "peer",
        "reason",
        "request",
        "state",
        "status",
        "stream",
        "streamed",
        "timer",
        "whole_body_bytes_max",
    )

    def __init__(
        self,
        request: http.HttpRequest,
        *,
        peer: str,
        whole_body_bytes_max: int,
        stream: bool,
        observer: ExchangeObserver | None,
        on_abort: Callable[[Exchange], None],
        matches_request: Callable[[http.HeaderList], bool] | None = None,
        allow_close_delimited: bool = False,
        needs_new_connection: bool = False,
        budget: byte_budget.ByteBudget | None = None,
    ) -> None:
        self.request = request
        self.peer = peer
        self.whole_body_bytes_max = whole_body_bytes_max
        self.stream = stream
        self.observer = observer
        self.on_abort = on_abort
        self.matches_request = matches_request
        self.allow_close_delimited = allow_close_delimited
        self.needs_new_connection = needs_new_connection
        self.budget = budget
        self.on_progress: Callable[[], None] | None = None
        self._reserved_bytes = 0
        self.state = ExchangeState.WAITING
        self.deferred: defer.Deferred[Any] = defer.Deferred(self._on_deferred_cancelled)
        self.timer: interfaces.IDelayedCall | None = None
        self.connection: connection.ClientConnection | None = None
        self.status = 0
        self.reason = b""
        self.headers: http.HeaderList = ()
        self.body = bytearray()
        self.streamed: StreamedResponse | None = None

    def _on_deferred_cancelled(self, _deferred: defer.Deferred[Any]) -> None:
        # Twisted fails the Deferred with CancelledError.
        if self.state is not ExchangeState.DONE:
            self._finish()
            self.on_abort(self)

    def abort(self) -> None:
        """Fail the exchange; closes the connection if the request was written."""
        if self.state is ExchangeState.DONE:
            return
        self.fail(errors.OutcomeUnknownError("cancelled", step="backend.exchange", peer=self.peer))
        self.on_abort(self)

    def expire(self) -> None:
        """Fail because the deadline has passed."""
        self.timer = None
        error_class = (
            errors.NotRunError
            if self.state is ExchangeState.WAITING
            else errors.OutcomeUnknownError
        )
        self.fail(error_class("the deadline passed", step="backend.exchange", peer=self.peer))
        self.on_abort(self)

    def take_body(self) -> bytes:
        """Return and remove the bytes of the body received so far."""
        body, self.body = bytes(self.body), bytearray()
        return body

    def begin_response(self, status: int, reason: bytes, headers: http.HeaderList) -> None:
        """Store the head of the response."""
        self.status = status
        self.reason = reason
        self.headers = headers

    def receive(self, data: bytes) -> None:
        """Store body bytes; starts the stream when the body exceeds ``whole_body_bytes_max``."""
        if self.streamed is not None:
            self.streamed.receive(data)
            return
        if self.budget is not None:
            if not self.budget.try_reserve(len(data)):
                self._reject_body("the memory for answers is used up")
                return
            self._reserved_bytes += len(data)
        self.body += data
        if self.on_progress is not None:
            self.on_progress()
        if len(self.body) <= self.whole_body_bytes_max:
            return
        if not self.stream:
            self._reject_body(f"the answer exceeds {self.whole_body_bytes_max} bytes")
            return
        self.state = ExchangeState.STREAMING
        self.streamed = StreamedResponse(self)
        if self.connection is not None:
            self.connection.pause_reading()
        self.deferred.callback(self.streamed)

    def _reject_body(self, reason: str) -> None:
        """Fail and close the connection, because the body is too large to be held."""
        self.fail(errors.OutcomeUnknownError(reason, step="backend.exchange", peer=self.peer))
        self.on_abort(self)

    def complete(self) -> None:
        """End the exchange with a complete response."""
        if self.state is ExchangeState.DONE:
            return
        self._finish()
        if self.streamed is not None:
            self.streamed.finish(None)
            return
        self.deferred.callback(
            http.HttpResponse(
                status=self.status,
                reason=self.reason,
                headers=self.headers,
                body=self.take_body(),
            )
        )

    def fail(
        self,
        error: errors.CelerystackError,
        connection_outcome: ConnectionOutcome = ConnectionOutcome.INTACT,
    ) -> None:
        """End the exchange with an error."""
        if self.state is ExchangeState.DONE:
            return
        self._finish(connection_outcome)
        if self.streamed is not None:
            self.streamed.finish(error)
        elif not self.deferred.called:
            self.deferred.errback(error)

    def _finish(self, connection_outcome: ConnectionOutcome = ConnectionOutcome.INTACT) -> None:
        self.state = ExchangeState.DONE
        if self.budget is not None:
            self.budget.release(self._reserved_bytes)
        if self.observer is not None:
            self.observer.on_end(connection_outcome)
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None
