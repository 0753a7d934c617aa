"""HTTP/1.1 channel for callers, based on twisted.web: limits, framing, pipelining and draining."""

from __future__ import annotations

import contextlib
import time
from collections.abc import Callable
from typing import Any

from twisted.internet import defer, protocol
from twisted.protocols import basic
from twisted.python import failure

from celerystack.limits import body_account
from celerystack.requests import (
    body_intake,
    bounded_channel,
    caller_limits,
    caller_request,
    connection_checks,
    lingering,
    pipeline,
    rejection,
    transports,
    turns,
    unread_responses,
)

DRAIN_IDLE_S = 1.5
"""While draining, idle connections stay open this long after the last response, so that a
request that is already on its way is still answered."""

DRAIN_POLL_S = 0.05
"""Interval in seconds at which a drain looks for connections that have become idle."""

FIRST_REQUEST_S = 0.5
"""While draining, a new connection stays open this long for its first request."""

COUNTED_HEADER_BYTES = 2048
"""Headers up to this size are part of what is counted for each connection."""

MEMORY_BYTES = 512_000_000
"""Memory that is assumed for the default account of a factory."""

Limits = caller_limits.Limits
CallerRequest = caller_request.CallerRequest


_LATE_HEAD = rejection.Rejection(
    408, b"the request head took too long", caller_limits.Limit.HEADER_TIME
)
_LONG_LINE = rejection.Rejection(400, b"a header line is too long")
_MALFORMED = rejection.Rejection(400, b"malformed request")


class CallerChannel(bounded_channel.BoundedChannel):
    """HTTP/1.1 connection of a caller, with the limits of its factory."""

    requestFactory = CallerRequest  # noqa: N815
    factory: CallerFactory
    _rejection: rejection.Rejection | None = None
    _linger: lingering.Linger | None = None
    _head_until: float | None = None

    def connectionMade(self) -> None:  # noqa: N802
        """Apply the header limits and register the connection."""
        limits = self.factory.limits
        self.totalHeadersSize = limits.header_bytes_max
        self.maxHeaders = limits.header_count_max
        self.received_at = self.factory.now()
        self._first_request_until = self.received_at + FIRST_REQUEST_S
        self._pipeline: pipeline.Pipeline[CallerRequest] = pipeline.Pipeline(
            self.factory.may_overlap
        )
        self._unparsed_since: list[float] = []
        self._is_replaying = False
        self._unread = unread_responses.UnreadResponses(self.factory.account)
        self._state = body_account.Hold(self.factory.account, body_account.Part.CONNECTIONS)
        self._state.set(body_account.CONNECTION_BYTES)
        super().connectionMade()
        self.factory.checks.opened(self)

    def connectionLost(self, reason: failure.Failure) -> None:  # noqa: N802
        """Unregister the connection."""
        self.factory.checks.closed(self)
        if self._linger is not None:
            self._linger.cancel()
        super().connectionLost(reason)
        # Requests and channel refer to each other, so their memory would wait for the collector.
        self.requests = []
        self._pipeline.clear()
        transports.discard_unsent(self.transport)
        self._unread.release()
        self._state.release()
        self.factory.check_drained()

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
        if self._linger is not None:
            self._linger.extend()
        if self.is_input_closed:
            return
        super().dataReceived(data)
        self._note_head()

    def _note_head(self) -> None:
        """Record until when the head must be complete, if a part of one has arrived."""
        if not self.line_mode or not (self._buffer or self._receivedHeaderSize):
            self._head_until = None
        elif self._head_until is None:
            self._head_until = self.received_at + self.factory.limits.header_s
        if self._buffer or self._state.count != body_account.CONNECTION_BYTES:
            self.count_input()

    @property
    def header_bytes(self) -> int:
        """Size of the head that is being received."""
        return self._receivedHeaderSize

    @property
    def is_input_closed(self) -> bool:
        """Whether no more requests are read, because one was rejected or the connection closes."""
        return self._rejection is not None or self._linger is not None

    def rawDataReceived(self, data: bytes) -> None:  # noqa: N802
        """Read on while earlier requests are not answered, as far as the pipeline permits."""
        if not self._handlingRequest:
            self.receive_body(data)
        elif self._is_replaying or not self._dataBuffer:
            if self._may_read_on():
                self._parse(data)
            else:
                self._keep_unparsed(data)
        else:
            self._keep_unparsed(data)
            self._replay_unparsed()

    @property
    def unparsed_bytes(self) -> int:
        """Bytes beyond the state of a connection with a small request."""
        return self._state.count - body_account.CONNECTION_BYTES

    def count_input(self) -> None:
        """Count the state of the connection, long headers and bytes that are not parsed yet."""
        headers = sum(request.header_bytes for request in self.requests)
        unparsed = len(self._buffer) + sum(map(len, self._dataBuffer))
        unparsed += self.undecoded_bytes
        count = body_account.CONNECTION_BYTES + unparsed + max(0, headers - COUNTED_HEADER_BYTES)
        has_grown = count > self._state.count
        self._state.set(count)
        if has_grown:
            self.factory.checks.make_room_for_input()

    def _may_read_on(self) -> bool:
        if not self.persistent or self.is_input_closed:
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
        """Return whether no request is being received, answered or about to be read.

        A connection on which the caller still reads its last response is not idle.
        """
        if self.requests or self._buffer or self._dataBuffer or self._linger is not None:
            return False
        if not self._has_waited_for_first_request():
            return False
        is_delivered = not transports.unacknowledged_bytes(self.transport)
        return is_delivered and not transports.has_unread_bytes(self.transport)

    def _has_waited_for_first_request(self) -> bool:
        return self.factory.now() >= self._first_request_until

    def _keep_unparsed(self, data: bytes) -> None:
        """Keep bytes for a later request; beyond a limit nothing more is received."""
        # Bytes that are left over from a replay are older than the ones that are kept.
        position = 0 if self._is_replaying else len(self._dataBuffer)
        self._dataBuffer.insert(position, data)
        self._unparsed_since.insert(position, self.received_at)
        self.count_input()
        is_full = sum(map(len, self._dataBuffer)) > self._optimisticEagerReadSize
        if is_full and not self._waitingForTransport:
            self._networkProducer.pauseProducing()

    def _finishRequestBody(self, data: bytes) -> None:  # noqa: N802
        """Keep what follows a body, because it belongs to further requests."""
        if data:
            self._keep_unparsed(data)
        self.allContentReceived()
        self._replay_unparsed()

    def parse_kept(self) -> None:
        """Parse bytes that were kept for later requests."""
        self._replay_unparsed()
        self._note_head()

    def _replay_unparsed(self) -> None:
        """Parse the bytes that were kept, as far as the pipeline permits."""
        was_replaying, self._is_replaying = self._is_replaying, True
        while self._dataBuffer and (not self._handlingRequest or self._may_read_on()):
            self.received_at = self._unparsed_since.pop(0)
            self._parse(self._dataBuffer.pop(0))
        self._is_replaying = was_replaying
        if not was_replaying and self.unparsed_bytes:
            self.count_input()

    def request_read(self, request: CallerRequest) -> None:
        """Start a complete request, or keep it until the requests before it allow it."""
        self._pipeline.add(request, request.content.tell())
        if request.header_bytes > COUNTED_HEADER_BYTES:
            self.count_input()
        self.count_request()
        self._start_requests()

    def _start_requests(self) -> None:
        while not self._waitingForTransport:
            request = self._pipeline.take_startable()
            if request is None:
                return
            request.start()

    def is_last(self, request: CallerRequest) -> bool:
        """Return whether nothing that is still served was read after this request."""
        has_more = bool(self._dataBuffer or self._buffer)
        if has_more and self.factory.now() < self.factory.serve_read_until:
            return False
        return self._pipeline.is_last(request)

    def send_in_order(self, request: CallerRequest, response: bytes) -> None:
        """Send a whole response once all earlier ones are sent, and finish its request."""
        if not self._pipeline.is_first(request):
            self._pipeline.hold(request, response)
            self._count_unsent()
            return
        self.send(response)
        request.finish()
        if self._unread.held_bytes or transports.held_bytes(self.transport):
            self._count_unsent()

    def _count_unsent(self) -> None:
        """Count responses that wait for earlier ones or for the caller to read."""
        in_transport = transports.held_bytes(self.transport)
        waiting = self._pipeline.held_bytes
        if not in_transport + waiting + self._unread.held_bytes:
            return
        left = transports.unsent_bytes(self.transport) + waiting
        if self._unread.update(in_transport + waiting, left, self.factory.now()):
            self.factory.checks.make_room_for_responses()

    @property
    def unread_since(self) -> float:
        """Clock time in seconds since when the caller reads nothing; infinite if it need not."""
        return self._unread.since

    @property
    def silent_since(self) -> float:
        """Clock time in seconds since when the caller owes the rest of a request; else infinite.

        It is infinite also while earlier requests of the caller are answered.
        """
        is_in_body = not self.line_mode and not self._handlingRequest
        is_incomplete = is_in_body or self._head_until is not None
        if self.is_input_closed or self._pipeline or not is_incomplete:
            return float("inf")
        return self.received_at

    def abort_excessive(self, limit: caller_limits.Limit, reason: str) -> None:
        """Close the connection at once and return what it holds to the account."""
        self._unread.release()
        self._state.set(body_account.CONNECTION_BYTES)
        self.factory.exceeded.note(limit, reason)
        self.transport.abortConnection()
        transports.discard_unsent(self.transport)

    def check_limits(self, now: float) -> None:
        """Close or reject what makes too little progress."""
        self._count_unsent()
        if now - self.unread_since > self.factory.limits.idle_s:
            reason = "the caller does not read its responses"
            self.abort_excessive(caller_limits.Limit.UNREAD_RESPONSES, reason)
        if self.is_input_closed:
            return
        if self._head_until is not None and now >= self._head_until:
            self.reject(_LATE_HEAD)
        elif self.requests:
            self.requests[-1].body_intake.check_pace(now)

    def requestDone(self, request: CallerRequest) -> None:  # noqa: N802
        """Send held responses, start further requests and read on, after a response was sent."""
        if not self._busyReceiving:
            self.begin_turn()
        if not self._pipeline.is_first(request):
            raise TypeError("a response was finished before those of earlier requests")
        self._pipeline.remove_first()
        self.requests.remove(request)
        if request.closes_connection:
            self._abandon_requests()
            if request.is_last_of_caller:
                self.loseConnection()
            else:
                self.close_orderly(quiet_s=lingering.ANSWERED_QUIET_S)
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
        if self._awaits_parsing and not self._busyReceiving:
            self.continue_requests()

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

    def reject(self, rejected: rejection.Rejection) -> None:
        """Reject a request that cannot be read, once those before it are answered."""
        if self.is_input_closed:
            return
        self._rejection = rejected
        self.factory.exceeded.note(rejected.limit, rejected.reason.decode())
        self.paused = True
        self._discard_input()
        if not self._pipeline:
            self._send_rejection()

    def _discard_input(self) -> None:
        """Discard what has arrived of an incomplete request and behind it."""
        self._buffer = b""
        self._dataBuffer, self._unparsed_since = [], []
        self.stop_decoding()
        if self.requests:
            self.requests[-1].discard_incomplete()

    def _send_rejection(self) -> None:
        """Send the rejection, and close the connection when the caller has stopped sending."""
        self.transport.write(self._rejection.encode())
        self.close_orderly(quiet_s=lingering.REJECTED_QUIET_S)

    def close_orderly(self, *, quiet_s: float) -> None:
        """Send no more, and close the connection when the caller has closed it or sends no more.

        ``quiet_s`` is the time in seconds without further bytes that shows this; see `lingering`.
        """
        if self._linger is not None:
            return
        self.paused = True
        self._discard_input()
        self.persistent = False
        self.setTimeout(None)
        self._networkProducer.resumeProducing()
        self._networkProducer.unregisterProducer()
        self.transport.loseWriteConnection()
        self._linger = lingering.Linger(
            self.callLater,
            close=self.transport.loseConnection,
            unsent_bytes=lambda: transports.unacknowledged_bytes(self.transport),
            quiet_s=quiet_s,
            reading_max_s=max(quiet_s, lingering.REJECTED_MAX_S),
            stall_s=self.factory.limits.idle_s,
            now=self.factory.now,
        )

    def timeoutConnection(self) -> None:  # noqa: N802
        """Close a connection that has been idle for too long.

        A request that crosses the close must not be read, so the connection is closed at once
        unless its caller still reads the last response.
        """
        if transports.unacknowledged_bytes(self.transport):
            self.close_orderly(quiet_s=lingering.REJECTED_QUIET_S)
        else:
            super().timeoutConnection()

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
        self.reject(_LONG_LINE)

    def _respondToBadRequestAndDisconnect(self) -> None:  # noqa: N802
        # The response of twisted.web has no outcome header.
        self.reject(_MALFORMED)


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

    Attributes
    ----------
    serve_read_until : float
        Clock time in seconds up to which, while draining, requests are served that were read behind
        the one that is answered. Later, and by default, the connection closes before them.
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
        self.serve_read_until = float("-inf")
        self.account = account or body_account.ByteAccount(
            body_account.limits_for(MEMORY_BYTES, body_bytes_max=limits.body_bytes_max)
        )
        self.exceeded = caller_limits.ExceededLimits(on_exceeded, now=now)
        self.turns = turns.TurnQueue(reactor)
        self.open_bodies = body_intake.OpenBodies(self.account, now=now)
        self.checks = connection_checks.ConnectionChecks(
            reactor, account=self.account, exceeded=self.exceeded, now=now
        )
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
        request.body_intake.release()
        self.check_drained()

    @property
    def channels(self) -> set[CallerChannel]:
        """Open connections."""
        return self.checks.connections

    def free_connections(self) -> int:
        """Return the number of connections that may be accepted now."""
        return self.checks.free_connections(self.limits)

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
