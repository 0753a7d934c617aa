"""Loopback TCP proxy that delays, resets or blocks connections, or blocks replies only."""

from __future__ import annotations

import enum

from twisted.internet import protocol, reactor


class Mode(enum.Enum):
    """Treatment of the traffic on a link."""

    OPEN = "open"
    DELAY = "delay"
    RESET = "reset"
    SILENT = "silent"
    ONE_WAY = "one way"


DELAY_S = 0.25


class _ProxyConnection(protocol.Protocol):
    """One of the two connections of a link; buffers data until its peer is connected."""

    noisy = False

    def __init__(self, proxy: Proxy, peer: _ProxyConnection | None) -> None:
        self.proxy = proxy
        self.peer = peer
        self.from_client = peer is None
        self.pending: list[bytes] = []

    def connectionMade(self) -> None:  # noqa: N802
        self.transport.setTcpNoDelay(True)
        self.proxy.connections.add(self)
        if self.peer is None:
            self.proxy.open_upstream(self)
            return
        self.peer.peer = self
        self.peer.forward()

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        self.pending.append(data)
        if self.proxy.mode is Mode.DELAY:
            reactor.callLater(DELAY_S, self.forward)
        else:
            self.forward()

    def is_blocked(self) -> bool:
        mode = self.proxy.mode
        return mode is Mode.SILENT or (mode is Mode.ONE_WAY and not self.from_client)

    def forward(self) -> None:
        """Send the buffered data to the peer, unless the mode blocks it."""
        if self.peer is None or self.peer.transport is None or self.is_blocked():
            return
        pending, self.pending = self.pending, []
        for data in pending:
            self.peer.transport.write(data)

    def connectionLost(self, reason: object = protocol.connectionDone) -> None:  # noqa: N802
        """Abort the peer too; data buffered by a blocked link is lost, as on a real one."""
        self.proxy.connections.discard(self)
        if self.peer is not None and self.peer.transport is not None:
            self.peer.transport.abortConnection()


class _Upstream(protocol.ClientFactory):
    noisy = False

    def __init__(self, proxy: Proxy, client: _ProxyConnection) -> None:
        self._proxy, self._client = proxy, client

    def buildProtocol(self, addr: object) -> _ProxyConnection:  # noqa: N802
        return _ProxyConnection(self._proxy, self._client)

    def clientConnectionFailed(self, connector: object, reason: object) -> None:  # noqa: N802
        self._client.transport.abortConnection()


class Proxy(protocol.ServerFactory):
    """Forwards connections to a target address, which may change.

    Attributes
    ----------
    mode : Mode
        Current fault; change it with `set_mode`.
    """

    noisy = False

    def __init__(self, target: str) -> None:
        self.target = target
        self.mode = Mode.OPEN
        self.connections: set[_ProxyConnection] = set()
        self._port = reactor.listenTCP(0, self, interface="127.0.0.1")
        self.address = f"127.0.0.1:{self._port.getHost().port}"

    def buildProtocol(self, addr: object) -> _ProxyConnection:  # noqa: N802
        return _ProxyConnection(self, None)

    def open_upstream(self, client: _ProxyConnection) -> None:
        """Connect to the target for a client, or abort the client if connections are reset."""
        if self.mode is Mode.RESET:
            client.transport.abortConnection()
            return
        host, _, port = self.target.rpartition(":")
        reactor.connectTCP(host, int(port), _Upstream(self, client), timeout=2)

    def set_mode(self, mode: Mode) -> None:
        """Change the mode: a reset aborts all connections, unblocking sends buffered data."""
        self.mode = mode
        for connection in list(self.connections):
            if mode is Mode.RESET:
                connection.transport.abortConnection()
            else:
                connection.forward()

    async def stop(self) -> None:
        """Close the listener and all connections."""
        await self._port.stopListening()
        for connection in list(self.connections):
            connection.transport.abortConnection()
