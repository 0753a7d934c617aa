"""Callers with persistent connections to the entry VMs."""

from __future__ import annotations

import itertools
import socket
from collections.abc import Callable

from twisted.internet import defer, protocol, reactor

from soak import invariants

DEADLINE_S = 1.5
HOST = "rota.example"
_request_numbers = itertools.count(1)


class CallerConnection(protocol.Protocol):
    """Client connection with at most one request in flight."""

    def __init__(self) -> None:
        self._buffer = b""
        self._pending_reply: defer.Deferred[tuple[int, dict[str, str], str] | None] | None = None
        self.is_open = True

    def send(self, data: bytes) -> defer.Deferred[tuple[int, dict[str, str], str] | None]:
        """Send a request; fires with status, headers and body, or None if the connection closes."""
        self._pending_reply = defer.Deferred()
        self.transport.write(data)
        return self._pending_reply

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        self._buffer += data
        head, separator, body = self._buffer.partition(b"\r\n\r\n")
        if not separator:
            return
        lines = head.decode("latin-1").split("\r\n")
        headers = dict(line.lower().split(": ", 1) for line in lines[1:])
        length = int(headers.get("content-length", 0))
        if len(body) < length:
            return
        self._buffer = body[length:]
        if headers.get("connection") == "close":
            self.is_open = False
        self._finish((int(lines[0].split(" ")[1]), headers, body[:length].decode("latin-1")))

    def connectionLost(self, reason: object = protocol.connectionDone) -> None:  # noqa: N802
        self.is_open = False
        self._finish(None)

    def _finish(self, result: tuple[int, dict[str, str], str] | None) -> None:
        pending, self._pending_reply = self._pending_reply, None
        if pending is not None and not pending.called:
            pending.callback(result)


class Session:
    """Sends requests to one entry VM on a persistent connection, reconnecting when it is closed.

    Parameters
    ----------
    address : tuple
        Host and port of the entry VM's listener for callers.
    """

    def __init__(self, address: tuple[str, int], checker: invariants.InvariantChecker) -> None:
        self._address = address
        self._checker = checker
        self._connection: CallerConnection | None = None

    async def request(self, path: str, key: int | None) -> int | None:
        """Send one request and return the status of its reply; None if there was none."""
        if self._connection is None or not self._connection.is_open:
            creator = protocol.ClientCreator(reactor, CallerConnection)
            try:
                self._connection = await creator.connectTCP(*self._address, timeout=1)
            except Exception:
                # The VM may be down as an injected fault; the next request connects again.
                return None
        idempotent = key is not None
        request_id = f"soak-{next(_request_numbers)}"
        self._checker.record_request(request_id)
        pending_reply = self._connection.send(_encode(request_id, path, key))
        pending_reply.addTimeout(DEADLINE_S + 1, reactor, onTimeoutCancel=self._abort)
        reply = await pending_reply
        status, headers, body = (None, {}, "") if reply is None else reply
        self._checker.record_reply(
            invariants.Reply(
                request_id=request_id,
                idempotent=idempotent,
                status=status,
                echoed_id=headers.get("celerystack-request-attempt-id", ""),
                signature=headers.get("celerystack-server-signature", ""),
                body=body,
            )
        )
        return status

    def _abort(self, *_: object) -> None:
        if self._connection is not None:
            self._connection.is_open = False
            self._connection.transport.abortConnection()

    def close(self) -> None:
        """Close the connection."""
        if self._connection is not None and self._connection.is_open:
            self._connection.transport.abortConnection()


async def send_requests(
    session: Session,
    choose_request: Callable[[], tuple[str, int | None]],
    *,
    is_over: Callable[[], bool],
) -> None:
    """Send requests one after another until the run is over."""
    while not is_over():
        await session.request(*choose_request())
        delay: defer.Deferred[None] = defer.Deferred()
        reactor.callLater(0.02, delay.callback, None)
        await delay


def _encode(request_id: str, path: str, key: int | None) -> bytes:
    method = "POST" if key is None else "GET"
    lines = [
        f"{method} {path} HTTP/1.1",
        f"Host: {HOST}",
        f"Celerystack-Request-Attempt-Id: {request_id}",
        f"Celerystack-Deadline-Remaining-Ms: {DEADLINE_S * 1000:.0f}",
    ]
    lines += ["Content-Length: 0"] if key is None else [f"Celerystack-Shard-Key: {key}"]
    return "\r\n".join([*lines, "", ""]).encode()


class SlowCaller(protocol.Protocol):
    """Sends further requests before the first is answered, and reads slowly.

    It stops sending when it has read that the connection closes, and closes it then.

    Attributes
    ----------
    unanswered : list of str
        Ids of the requests without a complete answer, in order.
    ended : Deferred
        Fires when the connection has ended.
    """

    OUTSTANDING_MAX = 3
    RECEIVE_BUFFER_BYTES = 4096
    READ_INTERVAL_S = 0.02

    def __init__(self, checker: invariants.InvariantChecker, key: int) -> None:
        self._checker = checker
        self._key = key
        self._buffer = b""
        self._is_closing = False
        self._is_lost = False
        self.unanswered: list[str] = []
        self.ended: defer.Deferred[None] = defer.Deferred()

    def connectionMade(self) -> None:  # noqa: N802
        handle = self.transport.getHandle()
        handle.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, self.RECEIVE_BUFFER_BYTES)
        self.transport.pauseProducing()
        self._step()

    def _step(self) -> None:
        """Send what is allowed and read once."""
        if self._is_lost:
            return
        reactor.callLater(self.READ_INTERVAL_S, self._step)
        while not self._is_closing and len(self.unanswered) < self.OUTSTANDING_MAX:
            request_id = f"slow-{next(_request_numbers)}"
            self._checker.record_request(request_id)
            self.unanswered.append(request_id)
            self.transport.write(_encode(request_id, "/view/a", self._key))
        self.transport.resumeProducing()

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        self.transport.pauseProducing()
        self._buffer += data
        while True:
            head, separator, body = self._buffer.partition(b"\r\n\r\n")
            if not separator:
                return
            headers = head.lower()
            self._is_closing |= b"connection: close" in headers
            length = int(headers.partition(b"content-length: ")[2].split(b"\r\n")[0])
            if len(body) < length:
                return
            self._buffer = body[length:]
            self.unanswered.pop(0)
            if self._is_closing and not self.unanswered:
                self.transport.loseConnection()

    def connectionLost(self, reason: object = protocol.connectionDone) -> None:  # noqa: N802
        self._is_lost = True
        self.ended.callback(None)
