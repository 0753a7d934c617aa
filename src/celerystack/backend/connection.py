"""One HTTP/1.1 connection to a backend server."""

from __future__ import annotations

import functools
import logging
import re
import socket
from collections.abc import Callable

import h11
from twisted.internet import error, interfaces, protocol
from twisted.python import failure
from zope.interface import implementer

from celerystack import errors
from celerystack.backend import exchange as exchanges
from celerystack.backend import http, wire

_log = logging.getLogger(__name__)

WRITE_CHUNK_BYTES = 65536
"""Bytes passed to the transport at once of a request that did not fit into the socket buffer."""
HEAD_BYTES_MAX = 64 * 1024
"""Largest head of a response in bytes."""
OVERHEAD_BYTES_MAX = 1024 * 1024
"""Largest number of bytes received during an exchange that are not part of its body: heads, skipped
responses, chunk framing and trailers. Framing may be up to `FRAMING_BYTES_PER_BODY_BYTE` longer."""
FRAMING_BYTES_PER_BODY_BYTE = 8
"""Framing of a chunk with a single byte is 5 bytes long; a short extension also fits."""
STATUS_MAX = 599
"""Largest status of a response."""
_BODYLESS_STATUSES = (204, 304)
_END_OF_MESSAGE = h11.EndOfMessage()
_KEEP_ALIVE_TIMEOUT = re.compile(rb"timeout=(\d+)", re.IGNORECASE)


@functools.lru_cache(maxsize=64)
def _request_event(method: bytes) -> h11.Request:
    """Return the event that tells h11 the method; the bytes that h11 encodes are not sent."""
    return h11.Request(method=method, target=b"/", headers=((b"Host", b"x"),))


def _may_write(observer: exchanges.ExchangeObserver | None) -> bool:
    if observer is None:
        return True
    try:
        return observer.may_write()
    except Exception:
        # The connection must return to the pool and the caller must get a response.
        _log.exception("the check before writing a request raised; the request is not sent")
        return False


@implementer(interfaces.IPullProducer)
class _RemainderProducer:
    """Writes the part of a request that did not fit into the socket buffer at first."""

    def __init__(self, owner: ClientConnection, *parts: memoryview) -> None:
        self._owner = owner
        self._parts = [part for part in parts if part]

    def resumeProducing(self) -> None:  # noqa: N802
        if not self._parts:
            self._owner.on_remainder_written()
            return
        part = self._parts[0]
        chunk, self._parts[0] = part[:WRITE_CHUNK_BYTES], part[WRITE_CHUNK_BYTES:]
        if not self._parts[0]:
            del self._parts[0]
        self._owner.transport.write(bytes(chunk))

    def stopProducing(self) -> None:  # noqa: N802
        self._parts = []


class ClientConnection(protocol.Protocol):
    """A connection with at most one exchange in flight.

    Parameters
    ----------
    on_idle, on_closed : callable
        Called with the connection when it can start another exchange, and when it is closed.

    Attributes
    ----------
    closing : bool
        Whether this side is closing the connection; the socket may still be open.
    idle_since : float
        Monotonic time in seconds at which the connection last became idle.
    idle_until : float
        Monotonic time in seconds after which the idle connection must not be reused.
    is_reused : bool
        Whether the connection has carried an exchange before.
    keep_alive_s : int or None
        Timeout in the ``Keep-Alive`` header that the server last sent.
    """

    def __init__(
        self,
        *,
        peer: str,
        on_idle: Callable[[ClientConnection], None],
        on_closed: Callable[[ClientConnection], None],
    ) -> None:
        self._peer = peer
        self._on_idle = on_idle
        self._on_closed = on_closed
        self._h11 = h11.Connection(h11.CLIENT, max_incomplete_event_size=HEAD_BYTES_MAX)
        self._exchange: exchanges.Exchange | None = None
        self._has_remainder = False
        self.closing = False
        self._paused = False
        self.is_reused = False
        self._overhead_bytes = 0
        self._response_started = False
        self._skipping_response = False
        self.idle_since = 0.0
        self.idle_until = 0.0
        self.keep_alive_s: int | None = None

    def connectionMade(self) -> None:  # noqa: N802
        """Turn off Nagle's algorithm and offer the connection to the pool."""
        self.transport.setTcpNoDelay(True)
        self._on_idle(self)

    def is_reusable(self) -> bool:
        """Return whether the socket is open and has no unread bytes.

        Detects, before a request is written, that the server has closed an idle connection or
        sent unsolicited bytes on it.
        """
        if self.closing:
            return False
        try:
            self.transport.getHandle().recv(1, socket.MSG_PEEK)
        except BlockingIOError:
            return True
        except OSError:
            return False
        return False

    def start(self, exchange: exchanges.Exchange) -> None:
        """Write the request of an exchange; the connection must be reusable."""
        if not _may_write(exchange.observer):
            self._on_idle(self)
            exchange.fail(self._not_run("the send was not permitted"))
            return
        try:
            head = self._encode_head(exchange.request)
        except ValueError as caught:
            self._on_idle(self)
            exchange.fail(self._not_run(str(caught)))
            return
        # Only the start of the body is joined to the head, so that a large body is not copied.
        body = memoryview(exchange.request.body)
        data, rest = head + body[:WRITE_CHUNK_BYTES], body[WRITE_CHUNK_BYTES:]
        # Bypasses transport.write, which would delay the first byte to a later reactor turn. An
        # error of this direct send proves that no byte was sent.
        try:
            sent = self.transport.getHandle().send(data)
        except BlockingIOError:
            sent = 0
        except OSError as caught:
            self.abort()
            exchange.fail(self._not_run(f"the connection is closed: {caught}"))
            return
        self._response_started = False
        self._overhead_bytes = 0
        exchange.state = exchanges.ExchangeState.WRITTEN
        exchange.connection = self
        self._exchange = exchange
        if sent < len(data) or rest:
            self._has_remainder = True
            remainder = _RemainderProducer(self, memoryview(data)[sent:], rest)
            self.transport.registerProducer(remainder, False)

    def _not_run(self, reason: str) -> errors.NotRunError:
        return errors.NotRunError(reason, step="backend.exchange", peer=self._peer)

    def _encode_head(self, request: http.HttpRequest) -> bytes:
        head = wire.encode_head(request)
        self._h11.send(_request_event(request.method))
        self._h11.send(_END_OF_MESSAGE)
        return head

    def on_remainder_written(self) -> None:
        """Unregister the producer, because the whole request is in the socket buffer."""
        self._has_remainder = False
        self.transport.unregisterProducer()

    def pause_reading(self) -> None:
        """Stop reading from the socket."""
        if not self.closing and not self._paused:
            self._paused = True
            self.transport.pauseProducing()

    def resume_reading(self) -> None:
        """Continue reading from the socket."""
        if not self.closing and self._paused:
            self._paused = False
            self.transport.resumeProducing()

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Parse received bytes; bytes outside an exchange close the connection."""
        if self.closing:
            return
        if self._exchange is None:
            self.abort()
            return
        self._response_started = True
        self._overhead_bytes += len(data)
        try:
            self._h11.receive_data(data)
            self._read_events()
        except h11.RemoteProtocolError as caught:
            self._fail_exchange(f"malformed answer: {caught}")
            return
        if self._exchange is not None and self._overhead_bytes > OVERHEAD_BYTES_MAX:
            self._fail_exchange("the server sent too many bytes that are not part of the answer")

    def _read_events(self) -> None:
        while self._exchange is not None and not self.closing:
            event = self._h11.next_event()
            if event is h11.NEED_DATA:
                return
            if event is h11.PAUSED:
                self._fail_exchange("the server switched protocols or sent bytes after the answer")
                return
            if isinstance(event, h11.Data):
                if not self._skipping_response:
                    self._overhead_bytes -= len(event.data) * (1 + FRAMING_BYTES_PER_BODY_BYTE)
                    self._exchange.receive(bytes(event.data))
            elif isinstance(event, h11.Response):
                self._begin_response(event)
            elif isinstance(event, h11.EndOfMessage):
                if self._skipping_response:
                    self._await_next_response()
                else:
                    self._end_response()

    def _begin_response(self, event: h11.Response) -> None:
        exchange = self._exchange
        if event.status_code > STATUS_MAX:
            # h11 rejects what is below 100, not of three digits, and a 101 that was not asked for.
            self._fail_exchange(f"malformed answer: {event.status_code} is no status")
            return
        headers = tuple((bytes(name), bytes(value)) for name, value in event.headers)
        if exchange.matches_request is not None and not exchange.matches_request(headers):
            _log.info(
                "skipped a response that does not belong to the request in flight",
                extra={"step": "backend.exchange", "peer": self._peer},
            )
            self._skipping_response = True
            return
        self._read_keep_alive(headers)
        exchange.begin_response(event.status_code, bytes(event.reason), headers)
        if exchange.request.method == b"HEAD" or event.status_code in _BODYLESS_STATUSES:
            return
        has_length = any(name in (b"content-length", b"transfer-encoding") for name, _ in headers)
        if not has_length and not exchange.allow_close_delimited:
            # The connections of a killed process close in the same way as after a complete
            # response, so a response delimited only by the close may be truncated.
            self._fail_exchange("the answer has no length; its end cannot be verified")

    def _read_keep_alive(self, headers: http.HeaderList) -> None:
        stated = http.first_value(headers, b"keep-alive")
        found = _KEEP_ALIVE_TIMEOUT.search(stated) if stated else None
        if found is not None:
            self.keep_alive_s = int(found.group(1))

    def _await_next_response(self) -> None:
        """Reset the parser to await the response to the request in flight, after a skipped one."""
        self._skipping_response = False
        rest, closed = self._h11.trailing_data
        self._h11 = h11.Connection(h11.CLIENT, max_incomplete_event_size=HEAD_BYTES_MAX)
        self._h11.send(_request_event(self._exchange.request.method))
        self._h11.send(_END_OF_MESSAGE)
        if rest:
            self._h11.receive_data(rest)
        if closed:
            self._fail_exchange("the connection ended after an answer to another request")

    def _end_response(self) -> None:
        exchange, self._exchange = self._exchange, None
        exchange.connection = None
        reusable = (
            self._h11.our_state is h11.DONE
            and self._h11.their_state is h11.DONE
            and not self._has_remainder
            and not self._h11.trailing_data[0]
        )
        self.is_reused = True
        if reusable:
            self._h11.start_next_cycle()
            self.resume_reading()
            self._on_idle(self)
        else:
            self.abort()
        exchange.complete()

    def _fail_exchange(
        self,
        reason: str,
        connection_outcome: exchanges.ConnectionOutcome = exchanges.ConnectionOutcome.INTACT,
    ) -> None:
        exchange, self._exchange = self._exchange, None
        self.abort()
        if exchange is None:
            return
        exchange.connection = None
        error_class = errors.TruncatedAnswerError if exchange.status else errors.OutcomeUnknownError
        exchange.fail(
            error_class(reason, step="backend.exchange", peer=self._peer),
            connection_outcome,
        )

    def connectionLost(self, reason: failure.Failure = protocol.connectionDone) -> None:  # noqa: N802
        """End the exchange in flight and leave the pool."""
        if self._complete_at_close(reason):
            self._on_closed(self)
            return
        self.closing = True
        connection_outcome = exchanges.ConnectionOutcome.BROKEN
        if self.is_reused and not self._response_started:
            connection_outcome = exchanges.ConnectionOutcome.MAYBE_IDLE_CLOSE
        self._fail_exchange(
            f"the connection was lost: {reason.getErrorMessage()}", connection_outcome
        )
        self._on_closed(self)

    def _complete_at_close(self, reason: failure.Failure) -> bool:
        """Complete a response without a length if the close was orderly; return whether it was."""
        exchange = self._exchange
        if (
            exchange is None
            or self.closing
            or not exchange.allow_close_delimited
            or self._skipping_response
        ):
            return False
        if not exchange.status or not reason.check(error.ConnectionDone):
            return False
        try:
            self._h11.receive_data(b"")
            event = self._h11.next_event()
        except h11.RemoteProtocolError:
            return False
        if not isinstance(event, h11.EndOfMessage):
            return False
        self.closing = True
        self._exchange = None
        exchange.connection = None
        exchange.complete()
        return True

    def abort_exchange(self, exchange: exchanges.Exchange) -> None:
        """Close because ``exchange`` ended without a complete response."""
        if self._exchange is exchange:
            self._exchange = None
            exchange.connection = None
            self.abort()

    def abort_with_error(self, error: errors.CelerystackError) -> None:
        """Close at once and fail the exchange in flight with ``error``."""
        exchange, self._exchange = self._exchange, None
        self.abort()
        if exchange is not None:
            exchange.connection = None
            exchange.fail(error)

    def abort(self) -> None:
        """Close the connection at once; idempotent."""
        if not self.closing:
            self.closing = True
            self.transport.abortConnection()
