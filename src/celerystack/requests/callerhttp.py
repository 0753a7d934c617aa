"""HTTP/1.1 channel for callers, based on twisted.web: limits, framing, pipelining and draining."""

from __future__ import annotations

import contextlib
import dataclasses
import io
import sys
import time
from collections.abc import Callable
from typing import Any

from twisted.internet import defer, protocol
from twisted.protocols import basic
from twisted.python import failure
from twisted.web import http, iweb
from zope.interface import provider

from celerystack.backend import http as backend_http
from celerystack.limits import body_account, body_pace
from celerystack.requests import caller_limits, chunked, pipeline, transports, turns

DRAIN_IDLE_S = 1.5
"""While draining, idle connections stay open this long after the last response, so that a
request that is already on its way is still answered."""

DRAIN_POLL_S = 0.05
"""Interval in seconds at which a drain looks for connections that have become idle."""

FIRST_REQUEST_S = 0.5
"""While draining, a new connection stays open this long for its first request."""

LINGER_S = 1.0
"""Time in seconds without further bytes after which a rejected connection is closed."""

LINGER_MAX_S = 5.0
"""Longest time in seconds for which the rest of a rejected request is read and discarded."""

CONNECTION_BYTES = 12 * 1024
"""Memory that the objects of one connection and its request take, without body and headers."""

CHUNKS_PER_TURN = 1000
"""Largest number of chunks of one connection that are decoded in one turn of the event loop."""

CHUNKED_STEP_BYTES = 1024 * 1024
"""A large body of unknown length reserves memory in steps of this size."""

CHECK_INTERVAL_S = 1.0
"""Interval in seconds at which the progress of bodies, heads and responses is checked."""

STALLED_S = 3.0
"""Time in seconds without progress after which a body may be dropped to make room for another."""

RETRY_AFTER_S = 1
"""Retry time in seconds for callers whose body finds no room."""

MEMORY_BYTES = 512_000_000
"""Memory that is assumed for the default account of a factory."""

Limits = caller_limits.Limits


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
        self._is_complete = False
        self._body_bytes_received = 0
        self._body_hold = body_account.BodyHold(self.factory.account)
        self._pace: body_pace.BodyPace | None = None
        self._on_disconnect: Callable[[], None] | None = None
        self.factory.request_started(self)

    def gotLength(self, length: int | None) -> None:  # noqa: N802
        """Create the body buffer, or reject a declared length above the limit or without room.

        The body stays in memory, because entry VMs have no disk for twisted.web's temporary files.
        """
        self.content = io.BytesIO()
        if length == 0:
            return
        limits = self.factory.limits
        if length is not None and length > limits.body_bytes_max:
            self._reject_size()
            return
        self._pace = body_pace.BodyPace(limits.body_pace, now=self.factory.now())
        self.factory.open_bodies.add(self)
        if length is not None and not self._try_hold(length):
            self._reject_for_memory()

    def parseCookies(self) -> None:  # noqa: N802
        """Do nothing; cookies are forwarded unparsed."""

    def handleContentChunk(self, data: bytes) -> None:  # noqa: N802
        """Append body bytes, or reject a chunked body above the limit or without room."""
        if self._rejected:
            return
        self._body_bytes_received += len(data)
        if self._body_bytes_received > self.factory.limits.body_bytes_max:
            self._reject_size()
            return
        if self._body_bytes_received > self._body_hold.count and not self._try_hold(
            self._next_step(self._body_bytes_received)
        ):
            self._reject_for_memory()
            return
        self._pace.advanced_at = self.factory.now()
        self.content.write(data)

    def _next_step(self, count: int) -> int:
        """Return the bytes to hold for a body of unknown length that has ``count`` so far."""
        if count <= body_account.SMALL_BODY_BYTES_MAX:
            return count
        return min(count + CHUNKED_STEP_BYTES, self.factory.limits.body_bytes_max)

    def _try_hold(self, count: int) -> bool:
        while not self._body_hold.try_grow(count):
            if not self.factory.drop_stalled_body():
                return False
        return True

    def _reject_size(self) -> None:
        reason = "the request body is too large"
        self.channel.reject(413, reason.encode(), limit=caller_limits.Limit.BODY_SIZE)

    def _reject_for_memory(self) -> None:
        reason = "there is no room for the request body now"
        self.channel.reject(503, reason.encode(), limit=caller_limits.Limit.MEMORY)

    @property
    def body_advanced_at(self) -> float:
        """Clock time in seconds at which the last bytes of the body arrived."""
        return float("inf") if self._pace is None else self._pace.advanced_at

    def check_pace(self, now: float) -> None:
        """Reject the request if its body arrives too slowly."""
        if self._pace is None:
            return
        match self._pace.check(self._body_bytes_received, now):
            case body_pace.Lateness.PROGRESS as lateness:
                self._reject_late(lateness.value, caller_limits.Limit.BODY_PROGRESS)
            case body_pace.Lateness.WHOLE as lateness:
                self._reject_late(lateness.value, caller_limits.Limit.BODY_TIME)

    def drop_stalled(self) -> None:
        """Reject the request to make room for others, because its body does not advance."""
        self._reject_late("the request body did not advance", caller_limits.Limit.BODY_PROGRESS)

    def _reject_late(self, reason: str, limit: caller_limits.Limit) -> None:
        self.channel.reject(408, reason.encode(), limit=limit)

    def discard_incomplete(self) -> None:
        """Discard the body if it is not complete; the request is not passed on."""
        if self._is_complete:
            return
        self._rejected = True
        self.content = io.BytesIO()
        self.release()

    def release(self) -> None:
        """Return the memory of the body to the account; idempotent."""
        self._pace = None
        self.factory.open_bodies.discard(self)
        self._body_hold.release()

    def requestReceived(self, command: bytes, path: bytes, version: bytes) -> None:  # noqa: N802
        """Pass on the complete request; query and form data are not parsed."""
        if self._rejected:
            return
        self._is_complete = True
        self._pace = None
        self.factory.open_bodies.discard(self)
        self._body_hold.complete(self.content.tell())
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
    _linger_until = 0.0
    _head_until: float | None = None
    _awaits_turn = False
    _unsent_progress_at = 0.0
    _unsent_left = 0
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
        self._unsent = body_account.Hold(self.factory.account, body_account.Part.UNSENT)
        self._state = body_account.Hold(self.factory.account, body_account.Part.SMALL)
        self._state.set(CONNECTION_BYTES)
        super().connectionMade()
        self.factory.connection_opened()

    def connectionLost(self, reason: failure.Failure) -> None:  # noqa: N802
        """Unregister the connection."""
        self.factory.channels.discard(self)
        if self._linger_timer is not None and self._linger_timer.active():
            self._linger_timer.cancel()
        super().connectionLost(reason)
        self._transferDecoder = None
        self._dataBuffer = []
        self._unsent.release()
        self._state.release()
        self.factory.connection_closed()

    def send(self, data: bytes) -> None:
        """Send at once what the socket accepts; the transport buffers only the rest.

        `write` would wait for the next reactor turn and change the epoll registration twice per
        response.
        """
        if transports.can_send_directly(self.transport):
            # The transport handles a full socket buffer and reports other errors.
            with contextlib.suppress(OSError):
                data = data[self.transport.getHandle().send(data) :]
        if data:
            self.write(data)

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Record when the bytes were received, from which the deadlines of requests count."""
        self.received_at = self.factory.now()
        if self._rejection is not None:
            self._linger_on()
            return
        super().dataReceived(data)
        self._note_head()

    def _note_head(self) -> None:
        """Record until when the head must be complete, if a part of one has arrived."""
        if not self.line_mode or not (self._buffer or self._receivedHeaderSize):
            self._head_until = None
        elif self._head_until is None:
            self._head_until = self.received_at + self.factory.limits.header_s

    def rawDataReceived(self, data: bytes) -> None:  # noqa: N802
        """Read on while earlier requests are not answered, as far as the pipeline permits."""
        if not self._handlingRequest:
            self._receive_body(data)
        elif self._is_replaying or not self._dataBuffer:
            if self._may_read_on():
                self._parse(data)
            else:
                self._keep_unparsed(data)
        else:
            self._keep_unparsed(data)
            self._replay_unparsed()

    def _maybeChooseTransferDecoder(self, header: bytes, data: bytes) -> bool:  # noqa: N802
        if not super()._maybeChooseTransferDecoder(header, data):
            return False
        if isinstance(self._transferDecoder, http._ChunkedTransferDecoder):
            self._transferDecoder = chunked.Decoder(
                self.requests[-1].handleContentChunk, self._finishRequestBody
            )
        return True

    def _receive_body(self, data: bytes) -> None:
        """Decode body bytes; a chunked body that takes long continues in later turns."""
        if not isinstance(self._transferDecoder, chunked.Decoder):
            super().rawDataReceived(data)
            return
        self._transferDecoder.receive(data)
        if self._awaits_turn:
            return
        if self.factory.turns.is_busy or self._decode_body():
            self._awaits_turn = True
            self._networkProducer.pauseProducing()
            self.factory.turns.add(self._continue_body)
        self._count_state()

    def _decode_body(self) -> bool:
        """Decode a bounded part of a chunked body; return whether more can be decoded now."""
        try:
            return self._transferDecoder.decode(CHUNKS_PER_TURN)
        except chunked.MalformedChunksError:
            self._respondToBadRequestAndDisconnect()
            return False

    def _continue_body(self) -> bool:
        """Decode a further part in a later turn; return whether more can be decoded now."""
        if isinstance(self._transferDecoder, chunked.Decoder) and self._rejection is None:
            self.resetTimeout()
            has_more = self._decode_body()
            self._count_state()
            if has_more:
                return True
            if self._rejection is None and not self._waitingForTransport:
                self._networkProducer.resumeProducing()
        self._awaits_turn = False
        return False

    def _count_state(self) -> None:
        """Count the memory of the connection and of bytes that are not parsed yet."""
        decoder = self._transferDecoder
        undecoded = decoder.unread_bytes if isinstance(decoder, chunked.Decoder) else 0
        self._state.set(CONNECTION_BYTES + undecoded + sum(map(len, self._dataBuffer)))

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
        return self._has_waited_for_first_request() and not transports.has_unread_bytes(
            self.transport
        )

    def _has_waited_for_first_request(self) -> bool:
        return self.factory.now() >= self._first_request_until

    def _keep_unparsed(self, data: bytes) -> None:
        """Keep bytes for a later request; beyond a limit nothing more is received."""
        # Bytes that are left over from a replay are older than the ones that are kept.
        position = 0 if self._is_replaying else len(self._dataBuffer)
        self._dataBuffer.insert(position, data)
        self._unparsed_since.insert(position, self.received_at)
        self._count_state()
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
        if not was_replaying:
            self._count_state()

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
            self._count_unsent()
            return
        self.send(response)
        request.finish()
        self._count_unsent()

    def _count_unsent(self) -> None:
        """Count responses that wait for earlier ones or for the caller to read."""
        held = transports.held_bytes(self.transport) + self._pipeline.held_bytes
        if not held and not self._unsent.count:
            return
        left = transports.unsent_bytes(self.transport) + self._pipeline.held_bytes
        if left < self._unsent_left or not self._unsent.count:
            self._unsent_progress_at = self.factory.now()
        self._unsent_left = left
        has_grown = held > self._unsent.count
        self._unsent.set(held)
        if has_grown:
            self.factory.make_room_for_responses()

    @property
    def unread_since(self) -> float:
        """Clock time in seconds since when the caller has not read; infinite if nothing waits."""
        return self._unsent_progress_at if self._unsent.count else float("inf")

    def abort_unread(self) -> None:
        """Close the connection, because its caller does not read its responses."""
        self._unsent.release()
        self.factory.exceeded.note(
            caller_limits.Limit.UNREAD_RESPONSES, "closed a connection whose responses are not read"
        )
        self.transport.abortConnection()

    def check_limits(self, now: float) -> None:
        """Close or reject what makes too little progress."""
        if self._unsent.count:
            self._count_unsent()
            if now - self.unread_since > self.factory.limits.idle_s:
                self.abort_unread()
        if self._rejection is not None:
            return
        if self._head_until is not None and now >= self._head_until:
            reason = b"the request head took too long"
            self.reject(408, reason, limit=caller_limits.Limit.HEADER_TIME)
        elif self.requests:
            self.requests[-1].check_pace(now)

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
        self._count_unsent()
        self._start_requests()
        self._replay_unparsed()

    def reject(
        self,
        status: int,
        reason: bytes,
        *,
        limit: caller_limits.Limit = caller_limits.Limit.MALFORMED,
    ) -> None:
        """Reject a request that cannot be read, once those before it are answered."""
        if self._linger_timer is not None or self._rejection is not None:
            return
        self._rejection = _Rejection(status, reason)
        self.factory.exceeded.note(limit, reason.decode())
        self.paused = True
        self._discard_input()
        if not self._pipeline:
            self._send_rejection()

    def _discard_input(self) -> None:
        """Discard what has arrived of the rejected request and behind it."""
        self._buffer = b""
        if isinstance(self._transferDecoder, chunked.Decoder):
            self._transferDecoder.stop()
        if self.requests:
            self.requests[-1].discard_incomplete()

    def _send_rejection(self) -> None:
        """Send the rejection and close the connection.

        Discards what the caller sends until it pauses for `LINGER_S`, because closing a socket with
        unread bytes resets the connection and the caller might lose the response.
        """
        status, body = self._rejection.status, self._rejection.reason + b"\n"
        retry = b"Retry-After: %d\r\n" % RETRY_AFTER_S if status == 503 else b""
        self.transport.write(
            b"HTTP/1.1 %d %s\r\nX-Celerystack-Outcome: not-run\r\n%sContent-Length: %d\r\n"
            b"Connection: close\r\n\r\n%s"
            % (status, http.RESPONSES[status], retry, len(body), body)
        )
        self.persistent = False
        self.setTimeout(None)
        self._networkProducer.resumeProducing()
        self._networkProducer.unregisterProducer()
        self.transport.loseWriteConnection()
        self._linger_until = self.factory.now() + LINGER_MAX_S
        self._linger_timer = self.callLater(LINGER_S, self.transport.abortConnection)

    def _linger_on(self) -> None:
        """Extend the time for which bytes are discarded, because some have arrived."""
        timer = self._linger_timer
        if timer is None or not timer.active() or self.factory.draining:
            return
        if self.received_at + LINGER_S <= self._linger_until:
            timer.reset(LINGER_S)

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
        # Between the responses to earlier requests it would belong to one of those, and a rejected
        # body is not wanted.
        if not self._pipeline and self._rejection is None:
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
    account : ByteAccount or None
        Account for everything that is held for callers; None for one of this factory alone.
    on_exceeded : callable
        Called each time a caller exceeded a limit.
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
        account: body_account.ByteAccount | None = None,
        on_exceeded: Callable[[caller_limits.Limit], None] = lambda _: None,
        now: Callable[[], float] = time.monotonic,
    ) -> None:
        self.on_request = on_request
        self.may_overlap = may_overlap
        self.limits = limits
        self.now = now
        self.draining = False
        self.channels: set[CallerChannel] = set()
        self.open_bodies: set[CallerRequest] = set()
        self.account = account or body_account.ByteAccount(
            body_account.limits_for(MEMORY_BYTES, body_bytes_max=limits.body_bytes_max)
        )
        self.exceeded = caller_limits.ExceededLimits(on_exceeded, now=now)
        self.turns = turns.TurnQueue(reactor)
        self._check_timer: Any = None
        self._resume_accepting: Callable[[], None] | None = None
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
        request.release()
        self.check_drained()

    @property
    def free_connections(self) -> int:
        """Number of connections that may be accepted now."""
        connections_max = self.limits.connections_max
        return sys.maxsize if connections_max is None else connections_max - len(self.channels)

    def pause_accepting(self, resume: Callable[[], None]) -> None:
        """Call ``resume`` once a connection is free."""
        self._resume_accepting = resume
        self.exceeded.note(
            caller_limits.Limit.CONNECTIONS, f"{len(self.channels)} connections are open"
        )

    def connection_opened(self) -> None:
        """Start the checks of open connections."""
        if self._check_timer is None:
            self._check_timer = self._reactor.callLater(CHECK_INTERVAL_S, self._check_channels)

    def connection_closed(self) -> None:
        """Accept again, and end the checks if no connection is open."""
        resume = self._resume_accepting
        if resume is not None and self.free_connections > 0:
            self._resume_accepting = None
            resume()
        if not self.channels and self._check_timer is not None:
            self._check_timer.cancel()
            self._check_timer = None
        self.check_drained()

    def _check_channels(self) -> None:
        self._check_timer = self._reactor.callLater(CHECK_INTERVAL_S, self._check_channels)
        now = self.now()
        for channel in list(self.channels):
            channel.check_limits(now)

    def drop_stalled_body(self) -> bool:
        """Reject the body that has not advanced for longest; return whether there was one."""
        stalled = min(self.open_bodies, key=lambda request: request.body_advanced_at, default=None)
        if stalled is None or self.now() - stalled.body_advanced_at < STALLED_S:
            return False
        stalled.drop_stalled()
        return True

    def make_room_for_responses(self) -> None:
        """Close connections whose callers do not read, longest first, while there is no room."""
        while self.account.is_over(body_account.Part.UNSENT):
            unread = min(self.channels, key=lambda channel: channel.unread_since, default=None)
            if unread is None or unread.unread_since == float("inf"):
                return
            unread.abort_unread()

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
