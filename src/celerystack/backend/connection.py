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

WRITE_CHUNK = 65536
HEADER_MAX = 64 * 1024
_BODYLESS_STATUS = (204, 304)
_END = h11.EndOfMessage()
_KEEP_ALIVE_TIMEOUT = re.compile(rb"timeout=(\d+)", re.IGNORECASE)


@functools.lru_cache(maxsize=64)
def _request_event(method: bytes) -> h11.Request:
    """Return the event that tells h11 the method; the bytes it makes of it are not sent."""
    return h11.Request(method=method, target=b"/", headers=((b"Host", b"x"),))


def _is_permitted(watcher: exchanges.Watcher | None) -> bool:
    if watcher is None:
        return True
    try:
        return watcher.may_write()
    except Exception:
        # The connection must return to the pool and the caller must get its answer.
        _log.exception("the check before the write failed; the request is not sent")
        return False


@implementer(interfaces.IPullProducer)
class _Remainder:
    """Writes the part of a request that the socket buffer did not take at once."""

    def __init__(self, owner: ClientConnection, data: bytes) -> None:
        self._owner = owner
        self._data = memoryview(data)

    def resumeProducing(self) -> None:  # noqa: N802
        if not self._data:
            self._owner.remainder_written()
            return
        chunk, self._data = self._data[:WRITE_CHUNK], self._data[WRITE_CHUNK:]
        self._owner.transport.write(bytes(chunk))

    def stopProducing(self) -> None:  # noqa: N802
        self._data = memoryview(b"")


class ClientConnection(protocol.Protocol):
    """A connection with at most one exchange in flight.

    Parameters
    ----------
    on_idle, on_closed : callable
        Called with the connection when it can take another exchange, and when it is gone.

    Attributes
    ----------
    closing : bool
        Whether this side has closed the connection; the socket may still be open.
    idle_since : float
        Monotonic time in seconds at which the connection last became idle.
    idle_until : float
        Monotonic time in seconds after which an idle connection must not be used.
    keep_alive_s : int or None
        Idle timeout that the server last stated.
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
        self._h11 = h11.Connection(h11.CLIENT, max_incomplete_event_size=HEADER_MAX)
        self._exchange: exchanges.Exchange | None = None
        self._remainder = False
        self.closing = False
        self._paused = False
        self._kept = False
        self._answering = False
        self._skipping = False
        self.idle_since = 0.0
        self.idle_until = 0.0
        self.keep_alive_s: int | None = None

    def connectionMade(self) -> None:  # noqa: N802
        """Turn off Nagle's algorithm and offer the connection to the pool."""
        self.transport.setTcpNoDelay(True)
        self._on_idle(self)

    def is_quiet(self) -> bool:
        """Return whether the socket is open and has no unread bytes.

        A kept connection that the server has closed, or on which it has sent bytes that nobody
        asked for, shows here before a request is written.
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
        """Write the request of an exchange; the connection must be quiet."""
        if not _is_permitted(exchange.watcher):
            self._on_idle(self)
            exchange.fail(self._not_run("the send was not permitted"))
            return
        try:
            data = self._encode(exchange.request)
        except ValueError as caught:
            self._on_idle(self)
            exchange.fail(self._not_run(str(caught)))
            return
        # Writes directly: transport.write would delay the first byte to a later reactor turn, and
        # an error of this first send proves that no byte has left.
        try:
            sent = self.transport.getHandle().send(data)
        except BlockingIOError:
            sent = 0
        except OSError as caught:
            self.abort()
            exchange.fail(self._not_run(f"the connection is closed: {caught}"))
            return
        self._answering = False
        exchange.state = exchanges.ExchangeState.WRITTEN
        exchange.connection = self
        self._exchange = exchange
        if sent < len(data):
            self._remainder = True
            self.transport.registerProducer(_Remainder(self, data[sent:]), False)

    def _not_run(self, reason: str) -> errors.NotRunError:
        return errors.NotRunError(reason, step="backend.exchange", peer=self._peer)

    def _encode(self, request: http.HttpRequest) -> bytes:
        data = wire.encode(request)
        self._h11.send(_request_event(request.method))
        self._h11.send(_END)
        return data

    def remainder_written(self) -> None:
        """Take the notice that the whole request is in the socket buffer."""
        self._remainder = False
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
        """Feed the parser; bytes outside an exchange close the connection."""
        if self.closing:
            return
        if self._exchange is None:
            self.abort()
            return
        self._answering = True
        try:
            self._h11.receive_data(data)
            self._read_events()
        except h11.RemoteProtocolError as caught:
            self._fail_answer(f"malformed answer: {caught}")

    def _read_events(self) -> None:
        while self._exchange is not None and not self.closing:
            event = self._h11.next_event()
            if event is h11.NEED_DATA:
                return
            if event is h11.PAUSED:
                self._fail_answer("the server switched protocols or sent bytes after the answer")
                return
            if isinstance(event, h11.Data):
                if not self._skipping:
                    self._exchange.receive(bytes(event.data))
            elif isinstance(event, h11.Response):
                self._begin_answer(event)
            elif isinstance(event, h11.EndOfMessage):
                if self._skipping:
                    self._await_next_answer()
                else:
                    self._end_answer()

    def _begin_answer(self, event: h11.Response) -> None:
        exchange = self._exchange
        headers = tuple((bytes(name), bytes(value)) for name, value in event.headers)
        if exchange.belongs is not None and not exchange.belongs(headers):
            _log.info(
                "skipped an answer to another request",
                extra={"step": "backend.exchange", "peer": self._peer},
            )
            self._skipping = True
            return
        self._read_keep_alive(headers)
        exchange.begin_answer(event.status_code, bytes(event.reason), headers)
        if exchange.request.method == b"HEAD" or event.status_code in _BODYLESS_STATUS:
            return
        framed = any(name in (b"content-length", b"transfer-encoding") for name, _ in headers)
        if not framed and not exchange.until_close:
            # A killed process closes its connections like a finished answer, so an answer that
            # only the close delimits can never be known to be complete.
            self._fail_answer("the answer has no length; its end cannot be verified")

    def _read_keep_alive(self, headers: http.HeaderList) -> None:
        stated = http.first_value(headers, b"keep-alive")
        found = _KEEP_ALIVE_TIMEOUT.search(stated) if stated else None
        if found is not None:
            self.keep_alive_s = int(found.group(1))

    def _await_next_answer(self) -> None:
        """Parse on as if the request had just been sent: the skipped answer was an extra one."""
        self._skipping = False
        rest, closed = self._h11.trailing_data
        self._h11 = h11.Connection(h11.CLIENT, max_incomplete_event_size=HEADER_MAX)
        self._h11.send(_request_event(self._exchange.request.method))
        self._h11.send(_END)
        if rest:
            self._h11.receive_data(rest)
        if closed:
            self._fail_answer("the connection ended after an answer to another request")

    def _end_answer(self) -> None:
        exchange, self._exchange = self._exchange, None
        exchange.connection = None
        reusable = (
            self._h11.our_state is h11.DONE
            and self._h11.their_state is h11.DONE
            and not self._remainder
            and not self._h11.trailing_data[0]
        )
        self._kept = True
        if reusable:
            self._h11.start_next_cycle()
            self.resume_reading()
            self._on_idle(self)
        else:
            self.abort()
        exchange.complete()

    def _fail_answer(self, reason: str, ending: exchanges.Ending = exchanges.Ending.INTACT) -> None:
        exchange, self._exchange = self._exchange, None
        self.abort()
        if exchange is None:
            return
        exchange.connection = None
        kind = errors.TruncatedAnswerError if exchange.status else errors.OutcomeUnknownError
        exchange.fail(
            kind(reason, step="backend.exchange", peer=self._peer),
            ending,
        )

    def connectionLost(self, reason: failure.Failure = protocol.connectionDone) -> None:  # noqa: N802
        """Fail the exchange in flight and leave the pool."""
        if self._ends_answer(reason):
            self._on_closed(self)
            return
        self.closing = True
        ending = exchanges.Ending.BROKEN
        if self._kept and not self._answering:
            ending = exchanges.Ending.MAYBE_IDLE_CLOSE
        self._fail_answer(f"the connection was lost: {reason.getErrorMessage()}", ending)
        self._on_closed(self)

    def _ends_answer(self, reason: failure.Failure) -> bool:
        """Return whether an orderly close completed an answer without a length."""
        exchange = self._exchange
        if exchange is None or self.closing or not exchange.until_close or self._skipping:
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

    def release(self, exchange: exchanges.Exchange) -> None:
        """Close because an exchange ended without a complete answer."""
        if self._exchange is exchange:
            self._exchange = None
            exchange.connection = None
            self.abort()

    def lose(self, error: errors.CelerystackError) -> None:
        """Close at once and fail the exchange in flight with ``error``."""
        exchange, self._exchange = self._exchange, None
        self.abort()
        if exchange is not None:
            exchange.connection = None
            exchange.fail(error)

    def abort(self) -> None:
        """Close the connection at once; safe to call again."""
        if not self.closing:
            self.closing = True
            self.transport.abortConnection()
