"""In-process fake backend server that gives a scripted answer to each request."""

from __future__ import annotations

import dataclasses
from collections.abc import Callable

from twisted.internet import defer, protocol, reactor


@dataclasses.dataclass
class Received:
    """A request that the fake server has read, and the connection it arrived on."""

    head: bytes
    body: bytes
    connection: FakeConnection

    @property
    def line(self) -> bytes:
        return self.head.split(b"\r\n", 1)[0]

    def header(self, name: bytes) -> bytes | None:
        for line in self.head.split(b"\r\n")[1:]:
            key, _, value = line.partition(b":")
            if key.lower() == name.lower():
                return value.strip()
        return None


def answer(body: bytes = b"ok", *, status: bytes = b"200 OK", headers: bytes = b"") -> bytes:
    """Return the bytes of a complete answer."""
    return b"HTTP/1.1 %s\r\nContent-Length: %d\r\n%s\r\n%s" % (status, len(body), headers, body)


def refusal(kind: bytes) -> bytes:
    return answer(b"", status=b"409 Conflict", headers=b"X-Celerystack-Refusal: %s\r\n" % kind)


class FakeConnection(protocol.Protocol):
    def connectionMade(self):  # noqa: N802
        self.buffer = bytearray()
        self._needed_bytes = 0
        self.lost = defer.Deferred()
        self.factory.connections.append(self)
        self.factory.accepted += 1
        if self.factory.on_connect is not None:
            self.factory.on_connect(self)

    def dataReceived(self, data):  # noqa: N802
        self.buffer += data
        self.factory.bytes_received += len(data)
        while len(self.buffer) >= self._needed_bytes:
            head_bytes = self.buffer.find(b"\r\n\r\n")
            if head_bytes < 0:
                return
            request = Received(bytes(self.buffer[:head_bytes]), b"", self)
            body_at = head_bytes + 4
            end = body_at + int(request.header(b"Content-Length") or 0)
            if len(self.buffer) < end:
                # A large body is not searched again with each piece that arrives.
                self._needed_bytes = end
                return
            request.body = bytes(self.buffer[body_at:end])
            del self.buffer[:end]
            self._needed_bytes = 0
            self.factory.requests.append(request)
            self.factory.handler(request)

    def connectionLost(self, reason=protocol.connectionDone):  # noqa: N802
        self.factory.connections.remove(self)
        self.lost.callback(None)

    def send(self, data: bytes) -> None:
        self.transport.write(data)

    def close(self) -> None:
        self.transport.loseConnection()

    def abort(self) -> None:
        self.transport.abortConnection()


class FakeServer(protocol.ServerFactory):
    """Listens on loopback; ``handler`` is called with each complete request."""

    protocol = FakeConnection
    noisy = False

    def __init__(self, handler: Callable[[Received], None] | None = None, *, port: int = 0) -> None:
        self.handler = handler or (lambda request: request.connection.send(answer()))
        self.on_connect: Callable[[FakeConnection], None] | None = None
        self.connections: list[FakeConnection] = []
        self.requests: list[Received] = []
        self.accepted = 0
        self.bytes_received = 0
        self._port = reactor.listenTCP(port, self, interface="127.0.0.1")
        self.port = self._port.getHost().port
        self.address = f"127.0.0.1:{self.port}"

    def script_answers(self, *scripts: bytes | Callable[[Received], None]) -> None:
        """Answer each request by the next script; the last one serves all further requests."""
        remaining = list(scripts)

        def handle(request: Received) -> None:
            script = remaining.pop(0) if len(remaining) > 1 else remaining[0]
            if callable(script):
                script(request)
            else:
                request.connection.send(script)

        self.handler = handle

    async def stop_listening(self) -> None:
        await defer.maybeDeferred(self._port.stopListening)

    async def stop(self) -> None:
        await self.stop_listening()
        for connection in list(self.connections):
            connection.abort()
        await wait_until(until=lambda: not self.connections)

    def kill(self) -> None:
        """Reset all connections at once, as the loss of the process does."""
        for connection in list(self.connections):
            connection.abort()


async def sleep(seconds: float) -> None:
    done = defer.Deferred()
    reactor.callLater(seconds, done.callback, None)
    await done


async def wait_until(*, until: Callable[[], bool], timeout_s: float = 5.0, what: str = "") -> None:
    """Wait until a condition holds; raises AssertionError after ``timeout_s`` seconds."""
    end = reactor.seconds() + timeout_s
    while not until():
        if reactor.seconds() > end:
            raise AssertionError(f"the condition did not hold in time {what}")
        await sleep(0.002)


class RawCaller(protocol.Protocol):
    """A caller connection that sends raw bytes and records what it receives."""

    def __init__(self):
        self.parts = []
        self.closed = False
        self.clean = None

    @property
    def received(self) -> bytes:
        self.parts = [b"".join(self.parts)]
        return self.parts[0]

    def dataReceived(self, data):  # noqa: N802
        self.parts.append(data)

    def connectionLost(self, reason=protocol.connectionDone):  # noqa: N802
        self.closed = True
        self.clean = reason.check(defer.CancelledError) is None and "cleanly" in str(reason.value)


async def connect_raw(port: int) -> RawCaller:
    creator = protocol.ClientCreator(reactor, RawCaller)
    return await creator.connectTCP("127.0.0.1", port)
