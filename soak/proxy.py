"""Loopback TCP proxy that delays, resets, silences or cuts one way."""

from __future__ import annotations

import enum

from twisted.internet import protocol, reactor


class Mode(enum.Enum):
    """What happens to the bytes that pass."""

    OPEN = "open"
    DELAY = "delay"
    RESET = "reset"
    SILENT = "silent"
    ONE_WAY = "one way"


DELAY_S = 0.25


class _Side(protocol.Protocol):
    """One of the two connections of a link; bytes wait until the other one is open."""

    noisy = False

    def __init__(self, proxy: Proxy, other: _Side | None) -> None:
        self.proxy = proxy
        self.other = other
        self.from_client = other is None
        self.held: list[bytes] = []

    def connectionMade(self) -> None:  # noqa: N802
        self.transport.setTcpNoDelay(True)
        self.proxy.sides.add(self)
        if self.other is None:
            self.proxy.open_upstream(self)
            return
        self.other.other = self
        self.other.forward()

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        self.held.append(data)
        if self.proxy.mode is Mode.DELAY:
            reactor.callLater(DELAY_S, self.forward)
        else:
            self.forward()

    def is_held(self) -> bool:
        mode = self.proxy.mode
        return mode is Mode.SILENT or (mode is Mode.ONE_WAY and not self.from_client)

    def forward(self) -> None:
        """Pass on what was received, unless the link is cut."""
        if self.other is None or self.other.transport is None or self.is_held():
            return
        held, self.held = self.held, []
        for data in held:
            self.other.transport.write(data)

    def connectionLost(self, reason: object = protocol.connectionDone) -> None:  # noqa: N802
        """Break the other side too; what a cut held back is lost, as on a real link."""
        self.proxy.sides.discard(self)
        if self.other is not None and self.other.transport is not None:
            self.other.transport.abortConnection()


class _Upstream(protocol.ClientFactory):
    noisy = False

    def __init__(self, proxy: Proxy, client: _Side) -> None:
        self._proxy, self._client = proxy, client

    def buildProtocol(self, addr: object) -> _Side:  # noqa: N802
        return _Side(self._proxy, self._client)

    def clientConnectionFailed(self, connector: object, reason: object) -> None:  # noqa: N802
        self._client.transport.abortConnection()


class Proxy(protocol.ServerFactory):
    """Forwards connections to an address, which may change.

    Attributes
    ----------
    mode : Mode
        Fault in force; set it with `set_mode`.
    """

    noisy = False

    def __init__(self, target: str) -> None:
        self.target = target
        self.mode = Mode.OPEN
        self.sides: set[_Side] = set()
        self._port = reactor.listenTCP(0, self, interface="127.0.0.1")
        self.address = f"127.0.0.1:{self._port.getHost().port}"

    def buildProtocol(self, addr: object) -> _Side:  # noqa: N802
        return _Side(self, None)

    def open_upstream(self, client: _Side) -> None:
        """Connect a client's connection to the target, unless connections are reset."""
        if self.mode is Mode.RESET:
            client.transport.abortConnection()
            return
        host, _, port = self.target.rpartition(":")
        reactor.connectTCP(host, int(port), _Upstream(self, client), timeout=2)

    def set_mode(self, mode: Mode) -> None:
        """Change the fault; a reset breaks all connections, the end of a cut delivers late."""
        self.mode = mode
        for side in list(self.sides):
            if mode is Mode.RESET:
                side.transport.abortConnection()
            else:
                side.forward()

    async def stop(self) -> None:
        """Close the listener and all connections."""
        await self._port.stopListening()
        for side in list(self.sides):
            side.transport.abortConnection()
