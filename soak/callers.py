"""Callers that keep their connections until the other process is gone."""

from __future__ import annotations

import itertools
from collections.abc import Callable

from twisted.internet import defer, protocol, reactor

from soak import promises

DEADLINE_S = 1.5
HOST = "rota.example"
_numbers = itertools.count(1)


class Caller(protocol.Protocol):
    """One connection with one request at a time."""

    def __init__(self) -> None:
        self._buffer = b""
        self._waiting: defer.Deferred[tuple[int, dict[str, str], str] | None] | None = None
        self.is_open = True

    def ask(self, data: bytes) -> defer.Deferred[tuple[int, dict[str, str], str] | None]:
        """Send a request; fires with status, headers and body, or None without an answer."""
        self._waiting = defer.Deferred()
        self.transport.write(data)
        return self._waiting

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
        self._end((int(lines[0].split(" ")[1]), headers, body[:length].decode("latin-1")))

    def connectionLost(self, reason: object = protocol.connectionDone) -> None:  # noqa: N802
        self.is_open = False
        self._end(None)

    def _end(self, result: tuple[int, dict[str, str], str] | None) -> None:
        waiting, self._waiting = self._waiting, None
        if waiting is not None and not waiting.called:
            waiting.callback(result)


class Session:
    """Sends requests to one entry VM on a connection that is kept as long as possible.

    Parameters
    ----------
    address : tuple
        Host and port of the entry VM's listener for callers.
    """

    def __init__(self, address: tuple[str, int], seen: promises.Promises) -> None:
        self._address = address
        self._seen = seen
        self._caller: Caller | None = None

    async def request(self, path: str, key: int | None) -> int | None:
        """Send one request and return the status of its answer; None if there was none."""
        if self._caller is None or not self._caller.is_open:
            creator = protocol.ClientCreator(reactor, Caller)
            try:
                self._caller = await creator.connectTCP(*self._address, timeout=1)
            except Exception:
                # The VM is down; its callers come back later.
                return None
        idempotent = key is not None
        request_id = f"soak-{next(_numbers)}"
        self._seen.sent(request_id)
        answer = self._caller.ask(_encode(request_id, path, key))
        answer.addTimeout(DEADLINE_S + 1, reactor, onTimeoutCancel=self._give_up)
        found = await answer
        status, headers, body = (None, {}, "") if found is None else found
        self._seen.replied(
            promises.Reply(
                request_id=request_id,
                idempotent=idempotent,
                status=status,
                echoed_id=headers.get("celerystack-request-attempt-id", ""),
                signature=headers.get("celerystack-server-signature", ""),
                body=body,
            )
        )
        return status

    def _give_up(self, *_: object) -> None:
        if self._caller is not None:
            self._caller.is_open = False
            self._caller.transport.abortConnection()

    def close(self) -> None:
        """Close the connection."""
        if self._caller is not None and self._caller.is_open:
            self._caller.transport.abortConnection()


async def keep_asking(
    session: Session, paths: Callable[[], tuple[str, int | None]], *, is_over: Callable[[], bool]
) -> None:
    """Send requests one after the other until the run is over."""
    while not is_over():
        await session.request(*paths())
        pause: defer.Deferred[None] = defer.Deferred()
        reactor.callLater(0.02, pause.callback, None)
        await pause


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
