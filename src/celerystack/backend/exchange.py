"""One request and its answer on one connection, and the stream of a large answer."""

from __future__ import annotations

import enum
from collections.abc import Callable
from typing import TYPE_CHECKING, Any, Protocol

from twisted.internet import defer, interfaces
from zope.interface import implementer

from celerystack import errors
from celerystack.backend import http

if TYPE_CHECKING:
    from celerystack.backend import connection


class ExchangeState(enum.Enum):
    """Progress of an exchange."""

    WAITING = "waiting"
    WRITTEN = "written"
    STREAMING = "streaming"
    DONE = "done"


class Ending(enum.Enum):
    """How an exchange ended, as far as its connection is concerned.

    BROKEN means that the request was written and the connection was then lost without an action of
    this side. MAYBE_IDLE_CLOSE is the same on a kept connection, before any byte of the answer: the
    server may only have closed an idle connection while the request was on its way.
    """

    INTACT = "intact"
    BROKEN = "broken"
    MAYBE_IDLE_CLOSE = "maybe-idle-close"


class Watcher(Protocol):
    """Follows one exchange."""

    def may_write(self) -> bool:
        """Return whether the request may be written; called in the reactor turn of the write."""

    def ended(self, ending: Ending) -> None:
        """Take the end of the exchange; called once, before the result is delivered."""


@implementer(interfaces.IPushProducer)
class StreamedResponse:
    """A large answer: the head, the first bytes of the body, and the rest on demand.

    The connection does not read until `deliver` is called.
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
        """Write the body to an `IConsumer` and fire when it is complete.

        The Deferred fails with `errors.TruncatedAnswerError` if the answer ends early, and with
        `errors.OutcomeUnknownError` if the deadline passes. Cancelling it closes the connection.
        """
        done: defer.Deferred[None] = defer.Deferred(lambda _: self._exchange.abort())
        self._done = done
        self._consumer = consumer
        consumer.registerProducer(self, True)
        for chunk in self._exchange.take_body():
            consumer.write(chunk)
        if self._complete or self._error is not None:
            self._settle()
        elif self._exchange.connection is not None:
            self._exchange.connection.resume_reading()
        return done

    def abandon(self) -> None:
        """Close the connection without delivering the rest."""
        self._exchange.abort()

    def receive(self, data: bytes) -> None:
        """Take body bytes from the connection."""
        if self._consumer is None:
            self._exchange.body_parts.append(data)
        else:
            self._consumer.write(data)

    def finish(self, error: errors.CelerystackError | None) -> None:
        """Take the end of the answer; ``error`` is None if it is complete."""
        self._error = error
        self._complete = error is None
        if self._done is not None:
            self._settle()

    def _settle(self) -> None:
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
        """Close the connection: the consumer is gone."""
        self._exchange.abort()


class Exchange:
    """State of one exchange.

    Parameters
    ----------
    whole_max : int
        Largest body in bytes that is read whole.
    stream : bool
        Whether a larger answer becomes a `StreamedResponse`; otherwise it is an error.
    watcher : Watcher or None
        Permits the write and is told of the end.
    belongs : callable or None
        Tells from the head of an answer whether it answers this request; others are skipped.
    until_close : bool
        Whether an answer without a length is complete when the server closes its connection.
    """

    __slots__ = (
        "belongs",
        "body_parts",
        "body_size",
        "connection",
        "deferred",
        "headers",
        "on_cancel",
        "peer",
        "reason",
        "request",
        "state",
        "status",
        "stream",
        "streamed",
        "timer",
        "until_close",
        "watcher",
        "whole_max",
    )

    def __init__(
        self,
        request: http.HttpRequest,
        *,
        peer: str,
        whole_max: int,
        stream: bool,
        watcher: Watcher | None,
        on_cancel: Callable[[Exchange], None],
        belongs: Callable[[http.HeaderList], bool] | None = None,
        until_close: bool = False,
    ) -> None:
        self.request = request
        self.peer = peer
        self.whole_max = whole_max
        self.stream = stream
        self.watcher = watcher
        self.on_cancel = on_cancel
        self.belongs = belongs
        self.until_close = until_close
        self.state = ExchangeState.WAITING
        self.deferred: defer.Deferred[Any] = defer.Deferred(self._cancelled)
        self.timer: interfaces.IDelayedCall | None = None
        self.connection: connection.ClientConnection | None = None
        self.status = 0
        self.reason = b""
        self.headers: http.HeaderList = ()
        self.body_parts: list[bytes] = []
        self.body_size = 0
        self.streamed: StreamedResponse | None = None

    def _cancelled(self, _deferred: defer.Deferred[Any]) -> None:
        # The Deferred fails with CancelledError by itself.
        if self.state is not ExchangeState.DONE:
            self._finish()
            self.on_cancel(self)

    def abort(self) -> None:
        """Give up; closes the connection if the request was written."""
        if self.state is ExchangeState.DONE:
            return
        self.fail(errors.OutcomeUnknownError("cancelled", step="backend.exchange", peer=self.peer))
        self.on_cancel(self)

    def expire(self) -> None:
        """Fail because the deadline has passed."""
        self.timer = None
        kind = (
            errors.NotRunError
            if self.state is ExchangeState.WAITING
            else errors.OutcomeUnknownError
        )
        self.fail(kind("the deadline passed", step="backend.exchange", peer=self.peer))
        self.on_cancel(self)

    def take_body(self) -> list[bytes]:
        """Return and forget the body parts received so far."""
        parts, self.body_parts = self.body_parts, []
        return parts

    def begin_answer(self, status: int, reason: bytes, headers: http.HeaderList) -> None:
        """Take the head of the answer."""
        self.status = status
        self.reason = reason
        self.headers = headers

    def receive(self, data: bytes) -> None:
        """Take body bytes; starts the stream when the body exceeds ``whole_max``."""
        if self.streamed is not None:
            self.streamed.receive(data)
            return
        self.body_parts.append(data)
        self.body_size += len(data)
        if self.body_size <= self.whole_max:
            return
        if not self.stream:
            self.fail(
                errors.OutcomeUnknownError(
                    f"the answer exceeds {self.whole_max} bytes",
                    step="backend.exchange",
                    peer=self.peer,
                )
            )
            self.on_cancel(self)
            return
        self.state = ExchangeState.STREAMING
        self.streamed = StreamedResponse(self)
        if self.connection is not None:
            self.connection.pause_reading()
        self.deferred.callback(self.streamed)

    def complete(self) -> None:
        """Take the end of the answer."""
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
                body=b"".join(self.take_body()),
            )
        )

    def fail(self, error: errors.CelerystackError, ending: Ending = Ending.INTACT) -> None:
        """End the exchange with an error."""
        if self.state is ExchangeState.DONE:
            return
        self._finish(ending)
        if self.streamed is not None:
            self.streamed.finish(error)
        elif not self.deferred.called:
            self.deferred.errback(error)

    def _finish(self, ending: Ending = Ending.INTACT) -> None:
        self.state = ExchangeState.DONE
        if self.watcher is not None:
            self.watcher.ended(ending)
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None
