"""twisted.web channel for callers: limits, strict framing and drain."""

from __future__ import annotations

import contextlib
import dataclasses
import io
import time
from collections.abc import Callable
from typing import Any

from twisted.internet import defer, protocol, tcp
from twisted.python import failure
from twisted.web import http, iweb
from zope.interface import provider

from celerystack.backend import http as backend_http

DRAIN_IDLE_S = 1.5
"""Idle connections stay open this long after the last answer, so that a request which is already
on its way is still answered."""

LINGER_S = 1.0


@dataclasses.dataclass(frozen=True, kw_only=True)
class Limits:
    """Bounds on a caller's request, in bytes and seconds."""

    body_max: int = 1024 * 1024
    header_bytes_max: int = 32 * 1024
    header_count_max: int = 100
    idle_s: float = 60.0


@provider(iweb.INonQueuedRequestFactory)
class CallerRequest(http.Request):
    """One request; ``factory.received`` is called when it is complete."""

    channel: CallerChannel

    def __init__(self, channel: CallerChannel) -> None:
        super().__init__(channel)
        self.factory = channel.factory
        self.received_at = self.factory.now()
        self._rejected = False
        self._size = 0
        self._on_disconnect: Callable[[], None] | None = None
        self.factory.started(self)

    def gotLength(self, length: int | None) -> None:  # noqa: N802
        """Prepare the body buffer; rejects a declared length above the limit.

        The body is kept in memory: entry VMs have no disk for twisted.web's temporary files.
        """
        self.content = io.BytesIO()
        if length is not None and length > self.factory.limits.body_max:
            self._reject()

    def parseCookies(self) -> None:  # noqa: N802
        """Leave cookies as they are."""

    def handleContentChunk(self, data: bytes) -> None:  # noqa: N802
        """Take body bytes; rejects a chunked body above the limit."""
        if self._rejected:
            return
        self._size += len(data)
        if self._size > self.factory.limits.body_max:
            self._reject()
            return
        self.content.write(data)

    def _reject(self) -> None:
        self._rejected = True
        self.channel.refuse(413, b"the request body is too large")

    def requestReceived(self, command: bytes, path: bytes, version: bytes) -> None:  # noqa: N802
        """Take the end of the request; query and form data are not parsed."""
        if self._rejected:
            return
        self.method, self.uri, self.clientproto = command, path, version
        self.path = path.partition(b"?")[0]
        self.factory.received(self)

    def header_list(self) -> backend_http.HeaderList:
        """Return the request headers with names in lower case."""
        return tuple(
            (name.lower(), value)
            for name, values in self.requestHeaders.getAllRawHeaders()
            for value in values
        )

    def body(self) -> bytes:
        """Return the request body."""
        return self.content.getvalue()

    def on_disconnect(self, call: Callable[[], None]) -> None:
        """Register what to call when the caller's connection is lost before the answer ends."""
        self._on_disconnect = call

    def is_disconnected(self) -> bool:
        """Return whether the caller's connection is lost."""
        return self._disconnected

    def close_after_answer(self) -> None:
        """Close the connection after this answer and say so in its head."""
        self.channel.persistent = False
        self.responseHeaders.setRawHeaders(b"Connection", [b"close"])

    def abort(self) -> None:
        """Close the caller's connection at once, so that a partial answer is seen as such."""
        self.channel.transport.abortConnection()

    def answer(
        self, status: int, reason: bytes, headers: backend_http.HeaderList, body: bytes
    ) -> None:
        """Write a whole answer and end it.

        Bypasses the header map of twisted.web, which normalizes each name and value again. The
        headers must be free of line breaks and say the length of the body.
        """
        if self.factory.draining:
            self.close_after_answer()
        self.startedWriting = 1
        parts = [b"%s %d %s" % (self.clientproto, status, reason)]
        parts += [b"%s: %s" % header for header in headers]
        for name, values in self.responseHeaders.getAllRawHeaders():
            parts += [b"%s: %s" % (name, value) for value in values]
        parts.append(b"")
        bodyless = self.method == b"HEAD" or status in http.NO_BODY_CODES
        parts.append(b"" if bodyless else body)
        self.channel.send(b"\r\n".join(parts))
        self.finish()

    def write(self, data: bytes) -> None:
        """Write body bytes; adds ``Connection: close`` to the head while draining."""
        if not self.startedWriting and self.factory.draining:
            self.close_after_answer()
        super().write(data)

    def finish(self) -> None:
        """End the answer."""
        super().finish()
        self.factory.ended(self)

    def connectionLost(self, reason: failure.Failure) -> None:  # noqa: N802
        """Tell the handler that the caller is gone."""
        super().connectionLost(reason)
        if not self.finished:
            self.factory.ended(self)
            if self._on_disconnect is not None:
                self._on_disconnect()


def _discard(data: bytes) -> None:
    """Ignore bytes that a caller sends after its request was refused."""


def _is_flushed(transport: Any) -> bool:
    """Return whether a TCP transport is open and holds no bytes that must be sent before others."""
    if not isinstance(transport, tcp.Connection):
        return False
    # Newly written bytes are in _tempDataBuffer until the transport joins them to dataBuffer.
    waiting = transport.dataBuffer or transport._tempDataBuffer
    return bool(transport.connected) and not transport.disconnecting and not waiting


class CallerChannel(http.HTTPChannel):
    """HTTP/1.1 connection of a caller."""

    requestFactory = CallerRequest  # noqa: N815
    factory: CallerFactory
    _lingering: Any = None

    def connectionMade(self) -> None:  # noqa: N802
        """Apply the limits."""
        limits = self.factory.limits
        self.totalHeadersSize = limits.header_bytes_max
        self.maxHeaders = limits.header_count_max
        self.factory.channels.add(self)
        super().connectionMade()

    def connectionLost(self, reason: failure.Failure) -> None:  # noqa: N802
        """Forget the connection."""
        self.factory.channels.discard(self)
        if self._lingering is not None and self._lingering.active():
            self._lingering.cancel()
        super().connectionLost(reason)
        self.factory.check_drained()

    def send(self, data: bytes) -> None:
        """Send at once what the socket takes; the transport buffers only the rest.

        `write` waits for the next reactor turn and registers with epoll twice per answer.
        """
        if _is_flushed(self.transport):
            # A full buffer is for the transport to wait for, and an error for it to report.
            with contextlib.suppress(OSError):
                data = data[self.transport.getHandle().send(data) :]
        if data:
            self.write(data)

    def refuse(self, status: int, reason: bytes) -> None:
        """Answer a request that cannot be read and close the connection.

        Discards what the caller still sends for up to `LINGER_S`: closing with unread bytes resets
        the connection, and the caller might lose the answer.
        """
        if self._lingering is not None:
            return
        body = reason + b"\n"
        self.transport.write(
            b"HTTP/1.1 %d %s\r\nX-Celerystack-Outcome: not-run\r\nContent-Length: %d\r\n"
            b"Connection: close\r\n\r\n%s" % (status, http.RESPONSES[status], len(body), body)
        )
        self.persistent = False
        self.paused = True
        self.dataReceived = _discard
        self.setTimeout(None)
        self._networkProducer.unregisterProducer()
        self.transport.loseWriteConnection()
        self._lingering = self.callLater(LINGER_S, self.transport.abortConnection)

    def checkPersistence(self, request: CallerRequest, version: bytes) -> bool:  # noqa: N802
        """Return whether the connection stays open after this request.

        twisted.web separates the values of ``Connection`` at spaces and so misses ``close, x``.
        """
        for value in request.requestHeaders.getRawHeaders(b"Connection", ()):
            if b"close" in (part.strip().lower() for part in value.split(b",")):
                return False
        return super().checkPersistence(request, version)

    def lineLengthExceeded(self, line: bytes) -> None:  # noqa: N802
        """Refuse a line above `MAX_LENGTH`; twisted.web would close without an answer."""
        self.refuse(400, b"a header line is too long")

    def _respondToBadRequestAndDisconnect(self) -> None:  # noqa: N802
        # Overrides twisted.web's bare answer, which has no outcome header.
        self.refuse(400, b"malformed request")


class CallerFactory(protocol.ServerFactory):
    """Builds caller connections and tracks the requests on them.

    Parameters
    ----------
    received : callable
        Called with each complete request.
    """

    protocol = CallerChannel
    noisy = False

    def __init__(
        self,
        reactor: Any,
        received: Callable[[CallerRequest], None],
        *,
        limits: Limits,
        now: Callable[[], float] = time.monotonic,
    ) -> None:
        self.received = received
        self.limits = limits
        self.now = now
        self.draining = False
        self.channels: set[CallerChannel] = set()
        self._reactor = reactor
        self._active: set[CallerRequest] = set()
        self._waiting: list[defer.Deferred[None]] = []
        self._linger: Any = None

    def buildProtocol(self, addr: Any) -> CallerChannel:  # noqa: N802
        """Return a channel with this factory's timeouts."""
        channel = super().buildProtocol(addr)
        channel.callLater = self._reactor.callLater
        channel.timeOut = self.limits.idle_s
        return channel

    def log(self, request: CallerRequest) -> None:
        """Ignore twisted.web's access log record."""

    def started(self, request: CallerRequest) -> None:
        """Record a request whose first line has arrived."""
        self._active.add(request)

    def ended(self, request: CallerRequest) -> None:
        """Record that a request was answered or its connection was lost."""
        self._active.discard(request)
        self.check_drained()

    def close_idle(self) -> None:
        """Close the connections on which no request is being received or answered."""
        for channel in list(self.channels):
            if not channel.requests:
                channel.loseConnection()

    def drained(self) -> defer.Deferred[None]:
        """Return a Deferred that fires when no request is being received or answered."""
        result: defer.Deferred[None] = defer.Deferred()
        self._waiting.append(result)
        self.check_drained()
        return result

    def check_drained(self) -> None:
        """Start or restart the idle time after which waiting Deferreds fire."""
        if not self._waiting:
            return
        if self._linger is not None:
            self._linger.cancel()
            self._linger = None
        if not self._active:
            delay_s = DRAIN_IDLE_S if self.channels else 0.0
            self._linger = self._reactor.callLater(delay_s, self._finish_drain)

    def _finish_drain(self) -> None:
        self._linger = None
        if self._active:
            return
        for channel in list(self.channels):
            channel.loseConnection()
        waiting, self._waiting = self._waiting, []
        for result in waiting:
            result.callback(None)
