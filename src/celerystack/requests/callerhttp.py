"""HTTP/1.1 channel for callers, based on twisted.web: limits, framing, pipelining and draining."""

from __future__ import annotations

import contextlib
import dataclasses
import io
import socket
import time
from collections.abc import Callable
from typing import Any

from twisted.internet import defer, protocol, tcp
from twisted.protocols import basic
from twisted.python import failure
from twisted.web import http, iweb
from zope.interface import provider

from celerystack.backend import http as backend_http
from celerystack.requests import pipeline

DRAIN_IDLE_S = 1.5
"""While draining, idle connections stay open this long after the last response, so that a
request that is already on its way is still answered."""

DRAIN_POLL_S = 0.05
"""Interval in seconds at which a drain looks for connections that have become idle."""

FIRST_REQUEST_S = 0.5
"""While draining, a new connection stays open this long for its first request."""

LINGER_S = 1.0
"""Longest time in seconds for which the rest of a rejected request is read and discarded."""


@dataclasses.dataclass(frozen=True, kw_only=True)
class Limits:
    """Limits on a caller's request and its connection, in bytes and seconds."""

    body_bytes_max: int = 1024 * 1024
    header_bytes_max: int = 32 * 1024
    header_count_max: int = 100
    idle_s: float = 60.0


@provider(iweb.INonQueuedRequestFactory)
class CallerRequest(http.Request):
    """One request of a caller; ``factory.on_request`` is called when it is complete."""

    channel: CallerChannel

    def __init__(self, channel: CallerChannel) -> None:
        super().__init__(channel)
        self.factory = channel.factory
        self.received_at = channel.received_at
        self._rejected = False
        self._closes_connection = False
        self._abandoned = False
        self._body_bytes_received = 0
        self._on_disconnect: Callable[[], None] | None = None
        self.factory.request_started(self)

    def gotLength(self, length: int | None) -> None:  # noqa: N802
        """Create the body buffer, or reject a declared length above the limit.

        The body stays in memory, because entry VMs have no disk for twisted.web's temporary files.
        """
        self.content = io.BytesIO()
        if length is not None and length > self.factory.limits.body_bytes_max:
            self._reject()

    def parseCookies(self) -> None:  # noqa: N802
        """Do nothing; cookies are forwarded unparsed."""

    def handleContentChunk(self, data: bytes) -> None:  # noqa: N802
        """Append body bytes, or reject a chunked body above the limit."""
        if self._rejected:
            return
        self._body_bytes_received += len(data)
        if self._body_bytes_received > self.factory.limits.body_bytes_max:
            self._reject()
            return
        self.content.write(data)

    def _reject(self) -> None:
        self._rejected = True
        self.channel.reject(413, b"the request body is too large")

    def requestReceived(self, command: bytes, path: bytes, version: bytes) -> None:  # noqa: N802
        """Pass on the complete request; query and form data are not parsed."""
        if self._rejected:
            return
        self.method, self.uri, self.clientproto = command, path, version
        self.path = path.partition(b"?")[0]
        self.channel.request_read(self)

    def start(self) -> None:
        """Pass on the request, because the requests before it allow it to run."""
        self.factory.on_request(self)

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

    def on_disconnect(self, callback: Callable[[], None]) -> None:
        """Register a callback for the loss of the caller's connection before the response ends."""
        self._on_disconnect = callback

    def is_disconnected(self) -> bool:
        """Return whether no response can reach the caller any more."""
        return self._disconnected or self._abandoned

    @property
    def closes_connection(self) -> bool:
        """Whether the connection is closed after the response."""
        return self._closes_connection

    def note_last(self) -> None:
        """Record that the caller sends no request after this one."""
        self._closes_connection = True

    def close_after_answer(self) -> None:
        """Close the connection after this response and add ``Connection: close`` to it."""
        self._closes_connection = True
        self.responseHeaders.setRawHeaders(b"Connection", [b"close"])

    def abort(self) -> None:
        """Close the caller's connection at once, so that the caller detects a partial response."""
        self.channel.transport.abortConnection()

    def answer(
        self, status: int, reason: bytes, headers: backend_http.HeaderList, body: bytes
    ) -> None:
        """Write a complete response and finish it.

        Bypasses the header map of twisted.web, which normalizes each name and value again. The
        headers must contain the length of the body and no line breaks.
        """
        if self.is_disconnected():
            return
        if self.factory.draining and self.channel.is_last(self):
            self.close_after_answer()
        self.startedWriting = 1
        parts = [b"%s %d %s" % (self.clientproto, status, reason)]
        parts += [b"%s: %s" % header for header in headers]
        for name, values in self.responseHeaders.getAllRawHeaders():
            parts += [b"%s: %s" % (name, value) for value in values]
        parts.append(b"")
        bodyless = self.method == b"HEAD" or status in http.NO_BODY_CODES
        parts.append(b"" if bodyless else body)
        self.channel.send_in_order(self, b"\r\n".join(parts))

    def write(self, data: bytes) -> None:
        """Write body bytes; while draining, the head gets ``Connection: close``."""
        if not self.startedWriting and self.factory.draining:
            self.close_after_answer()
        super().write(data)

    def finish(self) -> None:
        """Finish the response."""
        super().finish()
        self.factory.request_ended(self)

    def connectionLost(self, reason: failure.Failure) -> None:  # noqa: N802
        """Run the disconnect callback if the response was not finished."""
        super().connectionLost(reason)
        if not self.finished and not self._abandoned:
            self._end_unanswered()

    def abandon(self) -> None:
        """End a request whose response cannot be sent, because the connection closes before it."""
        self._abandoned = True
        self._end_unanswered()

    def _end_unanswered(self) -> None:
        self.factory.request_ended(self)
        if self._on_disconnect is not None:
            self._on_disconnect()


def _discard(data: bytes) -> None:
    """Discard bytes that a caller sends after its request was rejected."""


def _has_unread_bytes(transport: Any) -> bool:
    """Return whether bytes of the peer have arrived that the transport has not read yet."""
    if not isinstance(transport, tcp.Connection) or not transport.connected:
        return False
    try:
        return bool(transport.getHandle().recv(1, socket.MSG_PEEK))
    except OSError:
        return False


def _can_send_directly(transport: Any) -> bool:
    """Return whether a TCP transport is open and has no buffered bytes to send first."""
    if not isinstance(transport, tcp.Connection):
        return False
    # Written bytes are in _tempDataBuffer until the transport moves them to dataBuffer.
    buffered = transport.dataBuffer or transport._tempDataBuffer
    return bool(transport.connected) and not transport.disconnecting and not buffered


@dataclasses.dataclass(frozen=True, slots=True)
class _Rejection:
    """Status and reason of the response to a request that cannot be read."""

    status: int
    reason: bytes


class CallerChannel(http.HTTPChannel):
    """HTTP/1.1 connection of a caller, with the limits of its factory."""

    requestFactory = CallerRequest  # noqa: N815
    factory: CallerFactory
    _linger_timer: Any = None
    _rejection: _Rejection | None = None

    def connectionMade(self) -> None:  # noqa: N802
        """Apply the header limits and register the connection."""
        limits = self.factory.limits
        self.totalHeadersSize = limits.header_bytes_max
        self.maxHeaders = limits.header_count_max
        self.factory.channels.add(self)
        self.received_at = self.factory.now()
        self._first_request_until = self.received_at + FIRST_REQUEST_S
        self._pipeline: pipeline.Pipeline[CallerRequest] = pipeline.Pipeline(
            self.factory.may_overlap
        )
        self._unparsed_since: list[float] = []
        self._is_replaying = False
        super().connectionMade()

    def connectionLost(self, reason: failure.Failure) -> None:  # noqa: N802
        """Unregister the connection."""
        self.factory.channels.discard(self)
        if self._linger_timer is not None and self._linger_timer.active():
            self._linger_timer.cancel()
        super().connectionLost(reason)
        self.factory.check_drained()

    def send(self, data: bytes) -> None:
        """Send at once what the socket accepts; the transport buffers only the rest.

        `write` would wait for the next reactor turn and change the epoll registration twice per
        response.
        """
        if _can_send_directly(self.transport):
            # The transport handles a full socket buffer and reports other errors.
            with contextlib.suppress(OSError):
                data = data[self.transport.getHandle().send(data) :]
        if data:
            self.write(data)

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Record when the bytes were received, from which the deadlines of requests count."""
        self.received_at = self.factory.now()
        super().dataReceived(data)

    def rawDataReceived(self, data: bytes) -> None:  # noqa: N802
        """Read on while earlier requests are not answered, as far as the pipeline permits."""
        if not self._handlingRequest:
            super().rawDataReceived(data)
        elif self._is_replaying or not self._dataBuffer:
            if self._may_read_on():
                self._parse(data)
            else:
                self._keep_unparsed(data)
        else:
            self._keep_unparsed(data)
            self._replay_unparsed()

    def _may_read_on(self) -> bool:
        if not self.persistent or self._rejection is not None:
            return False
        if not self._pipeline:
            return True
        is_busy = self.factory.draining or self._waitingForTransport
        return not is_busy and self._pipeline.may_read_on

    def _parse(self, data: bytes) -> None:
        """Parse bytes that were received earlier; they may be in the middle of a request."""
        if self._handlingRequest:
            self._await_request()
        # Not `self.dataReceived`, which records the time.
        basic.LineReceiver.dataReceived(self, data)

    def _await_request(self) -> None:
        """Take the next bytes for the start of a request."""
        self._handlingRequest = False
        self.setLineMode()

    def is_idle(self) -> bool:
        """Return whether no request is being received, answered or about to be read."""
        if self.requests or self._buffer or self._dataBuffer:
            return False
        return self._has_waited_for_first_request() and not _has_unread_bytes(self.transport)

    def _has_waited_for_first_request(self) -> bool:
        return self.factory.now() >= self._first_request_until

    def _keep_unparsed(self, data: bytes) -> None:
        """Keep bytes for a later request; beyond a limit nothing more is received."""
        # Bytes that are left over from a replay are older than the ones that are kept.
        position = 0 if self._is_replaying else len(self._dataBuffer)
        self._dataBuffer.insert(position, data)
        self._unparsed_since.insert(position, self.received_at)
        is_full = sum(map(len, self._dataBuffer)) > self._optimisticEagerReadSize
        if is_full and not self._waitingForTransport:
            self._networkProducer.pauseProducing()

    def _finishRequestBody(self, data: bytes) -> None:  # noqa: N802
        """Keep what follows a body, because it belongs to further requests."""
        if data:
            self._keep_unparsed(data)
        self.allContentReceived()
        self._replay_unparsed()

    def _replay_unparsed(self) -> None:
        """Parse the bytes that were kept, as far as the pipeline permits."""
        was_replaying, self._is_replaying = self._is_replaying, True
        while self._dataBuffer and (not self._handlingRequest or self._may_read_on()):
            self.received_at = self._unparsed_since.pop(0)
            self._parse(self._dataBuffer.pop(0))
        self._is_replaying = was_replaying

    def request_read(self, request: CallerRequest) -> None:
        """Start a complete request, or keep it until the requests before it allow it."""
        self._pipeline.add(request, request.content.tell())
        self._start_requests()

    def _start_requests(self) -> None:
        while not self._waitingForTransport:
            request = self._pipeline.take_startable()
            if request is None:
                return
            request.start()

    def is_last(self, request: CallerRequest) -> bool:
        """Return whether no complete request of the connection was read after this one."""
        return self._pipeline.is_last(request)

    def send_in_order(self, request: CallerRequest, response: bytes) -> None:
        """Send a whole response once all earlier ones are sent, and finish its request."""
        if not self._pipeline.is_first(request):
            self._pipeline.hold(request, response)
            return
        self.send(response)
        request.finish()

    def requestDone(self, request: CallerRequest) -> None:  # noqa: N802
        """Send held responses, start further requests and read on, after a response was sent."""
        if not self._pipeline.is_first(request):
            raise TypeError("a response was finished before those of earlier requests")
        self._pipeline.remove_first()
        self.requests.remove(request)
        if request.closes_connection:
            self._abandon_requests()
            self.loseConnection()
            return
        held = self._pipeline.first_held()
        if held is not None:
            self.send_in_order(*held)
            return
        if self._rejection is not None and not self._pipeline:
            self._send_rejection()
            return
        if not self._waitingForTransport:
            self._networkProducer.resumeProducing()
        self._start_requests()
        self._replay_unparsed()
        if not self._pipeline and self._handlingRequest:
            self._await_request()
        if self._savedTimeOut and not self._pipeline.is_running:
            self.setTimeout(self._savedTimeOut)

    def _abandon_requests(self) -> None:
        """End the requests behind a response that closes the connection; they count as unread."""
        for request in self._pipeline.clear():
            request.abandon()

    def resumeProducing(self) -> None:  # noqa: N802
        """Start requests that waited because the caller did not read its responses."""
        super().resumeProducing()
        self._start_requests()
        self._replay_unparsed()

    def reject(self, status: int, reason: bytes) -> None:
        """Reject a request that cannot be read, once those before it are answered."""
        if self._linger_timer is not None or self._rejection is not None:
            return
        self._rejection = _Rejection(status, reason)
        self.paused = True
        self.dataReceived = _discard
        if not self._pipeline:
            self._send_rejection()

    def _send_rejection(self) -> None:
        """Send the rejection and close the connection.

        Discards what the caller sends for up to `LINGER_S`, because closing a socket with unread
        bytes resets the connection and the caller might lose the response.
        """
        status, body = self._rejection.status, self._rejection.reason + b"\n"
        self.transport.write(
            b"HTTP/1.1 %d %s\r\nX-Celerystack-Outcome: not-run\r\nContent-Length: %d\r\n"
            b"Connection: close\r\n\r\n%s" % (status, http.RESPONSES[status], len(body), body)
        )
        self.persistent = False
        self.setTimeout(None)
        self._networkProducer.unregisterProducer()
        self.transport.loseWriteConnection()
        self._linger_timer = self.callLater(LINGER_S, self.transport.abortConnection)

    def checkPersistence(self, request: CallerRequest, version: bytes) -> bool:  # noqa: N802
        """Return whether the connection stays open after this request.

        twisted.web splits the value of ``Connection`` at spaces and so misses ``close, x``.
        """
        for value in request.requestHeaders.getRawHeaders(b"Connection", ()):
            if b"close" in (part.strip().lower() for part in value.split(b",")):
                request.note_last()
                return False
        if super().checkPersistence(request, version):
            return True
        request.note_last()
        return False

    def _send100Continue(self) -> None:  # noqa: N802
        # Between the responses to earlier requests it would belong to one of those.
        if not self._pipeline:
            super()._send100Continue()

    def lineLengthExceeded(self, line: bytes) -> None:  # noqa: N802
        """Reject a line above `MAX_LENGTH`; twisted.web only closes the connection."""
        self.reject(400, b"a header line is too long")

    def _respondToBadRequestAndDisconnect(self) -> None:  # noqa: N802
        # The response of twisted.web has no outcome header.
        self.reject(400, b"malformed request")


def _never_overlaps(_request: CallerRequest) -> bool:
    """Let each request wait until all before it are answered."""
    return False


class CallerFactory(protocol.ServerFactory):
    """Creates caller connections and tracks the requests on them.

    Parameters
    ----------
    on_request : callable
        Called with each complete request.
    may_overlap : callable
        Returns whether a pipelined request may run beside other requests of its connection.
    """

    protocol = CallerChannel
    noisy = False

    def __init__(
        self,
        reactor: Any,
        on_request: Callable[[CallerRequest], None],
        *,
        limits: Limits,
        may_overlap: Callable[[CallerRequest], bool] = _never_overlaps,
        now: Callable[[], float] = time.monotonic,
    ) -> None:
        self.on_request = on_request
        self.may_overlap = may_overlap
        self.limits = limits
        self.now = now
        self.draining = False
        self.channels: set[CallerChannel] = set()
        self._reactor = reactor
        self._active: set[CallerRequest] = set()
        self._drain_waiters: list[defer.Deferred[None]] = []
        self._drain_timer: Any = None

    def buildProtocol(self, addr: Any) -> CallerChannel:  # noqa: N802
        """Return a channel with this factory's clock and idle timeout."""
        channel = super().buildProtocol(addr)
        channel.callLater = self._reactor.callLater
        channel.timeOut = self.limits.idle_s
        return channel

    def log(self, request: CallerRequest) -> None:
        """Do nothing; twisted.web would write an access log."""

    def request_started(self, request: CallerRequest) -> None:
        """Record a request whose first line was received."""
        self._active.add(request)

    def request_ended(self, request: CallerRequest) -> None:
        """Record that a request was answered or its connection was lost."""
        self._active.discard(request)
        self.check_drained()

    def close_idle(self) -> None:
        """Close connections on which no request is being received or answered."""
        for channel in list(self.channels):
            if channel.is_idle():
                channel.loseConnection()

    def drained(self) -> defer.Deferred[None]:
        """Return a Deferred that fires when no request is being received or answered."""
        result: defer.Deferred[None] = defer.Deferred()
        self._drain_waiters.append(result)
        self.check_drained()
        return result

    def check_drained(self) -> None:
        """Restart the timer that fires the Deferreds of `drained` once no request is active."""
        if not self._drain_waiters:
            return
        if self._drain_timer is not None:
            self._drain_timer.cancel()
            self._drain_timer = None
        if not self._active:
            delay_s = DRAIN_IDLE_S if self.channels else 0.0
            self._drain_timer = self._reactor.callLater(delay_s, self._finish_drain)

    def _finish_drain(self) -> None:
        self._drain_timer = None
        if self._active:
            return
        self.close_idle()
        if any(not channel.transport.disconnecting for channel in self.channels):
            self._drain_timer = self._reactor.callLater(DRAIN_POLL_S, self._finish_drain)
            return
        waiters, self._drain_waiters = self._drain_waiters, []
        for result in waiters:
            result.callback(None)
