"""Simulates network partitions: cuts a Twisted process off from address prefixes.

While a prefix is cut, bytes to and from its addresses are held back, connections that either side
opens do not complete, and a close by this side is not seen by the other. No connection is closed.
When the cut is healed, everything that was held back is delivered in order.

The wrappers replace the sockets of Twisted's transports, because celerystack sends the first bytes
of a request on the socket itself.
"""

from __future__ import annotations

import contextlib
import errno
import json
import socket
from collections.abc import Callable, Iterable
from typing import Any

from twisted.internet import abstract, protocol, tcp

HELD_BYTES_MAX = 8 << 20
FLUSH_RETRY_S = 0.005


def _would_block() -> BlockingIOError:
    return BlockingIOError(errno.EWOULDBLOCK, "held back by a cut")


class Network:
    """The cut prefixes, and the sockets and connections that wait until a cut is healed."""

    def __init__(self, reactor: Any) -> None:
        self._reactor = reactor
        self._prefixes: tuple[str, ...] = ()
        self._paused: set[tcp.Connection] = set()
        self._connecting: set[tcp.BaseClient] = set()
        self._held_sockets: dict[CutSocket, None] = {}
        self._ports: list[tcp.Port] = []
        self._flush_retry: Any = None

    @property
    def prefixes(self) -> tuple[str, ...]:
        return self._prefixes

    def is_cut(self, host: str) -> bool:
        return bool(self._prefixes) and host.startswith(self._prefixes)

    def set_cuts(self, prefixes: Iterable[str]) -> None:
        """Replace the cut prefixes and deliver what was held back for prefixes no longer cut."""
        self._prefixes = tuple(prefixes)
        self._flush()
        for transport in tuple(self._paused):
            if not self.is_cut(transport.socket.host):
                self._paused.discard(transport)
                transport.startReading()
        for client in tuple(self._connecting):
            if not self.is_cut(client.realAddress[0]):
                self._connecting.discard(client)
                client.doConnect()
        for port in tuple(self._ports):
            if port.connected:
                port.doRead()

    def pause(self, transport: tcp.Connection) -> None:
        """Stop reading until the cut is healed; unread bytes would keep waking the reactor."""
        transport.stopReading()
        self._paused.add(transport)

    def forget(self, transport: tcp.Connection) -> None:
        self._paused.discard(transport)
        self._connecting.discard(transport)

    def connect_later(self, client: tcp.BaseClient) -> None:
        self._connecting.add(client)

    def add_port(self, port: tcp.Port) -> None:
        self._ports.append(port)

    def hold(self, cut_socket: CutSocket) -> None:
        self._held_sockets[cut_socket] = None

    def _flush(self) -> None:
        if self._flush_retry is not None and self._flush_retry.active():
            self._flush_retry.cancel()
        self._flush_retry = None
        for cut_socket in tuple(self._held_sockets):
            if not self.is_cut(cut_socket.host) and cut_socket.flush():
                del self._held_sockets[cut_socket]
        if any(not self.is_cut(cut_socket.host) for cut_socket in self._held_sockets):
            self._flush_retry = self._reactor.callLater(FLUSH_RETRY_S, self._flush)


class CutSocket:
    """A connected socket whose traffic is held back while its peer is cut."""

    def __init__(self, real: socket.socket, network: Network) -> None:
        self._socket = real
        self._network = network
        self._held_bytes = bytearray()
        self._shutdown: int | None = None
        self._closed = False
        self.host = ""
        # For a client socket that is not connected yet, `_do_connect` sets the host.
        with contextlib.suppress(OSError):
            self.host = real.getpeername()[0]

    def __getattr__(self, name: str) -> Any:
        return getattr(self._socket, name)

    @property
    def _is_holding(self) -> bool:
        return bool(self._held_bytes) or self._network.is_cut(self.host)

    def send(self, data: bytes | memoryview, flags: int = 0) -> int:
        if not self._is_holding:
            return self._socket.send(data, flags)
        if len(self._held_bytes) >= HELD_BYTES_MAX:
            raise _would_block()
        self._held_bytes += data
        self._network.hold(self)
        return len(data)

    def recv(self, size: int, flags: int = 0) -> bytes:
        if self._network.is_cut(self.host):
            raise _would_block()
        return self._socket.recv(size, flags)

    def shutdown(self, how: int) -> None:
        if self._is_holding:
            self._shutdown = how
            self._network.hold(self)
        else:
            self._socket.shutdown(how)

    def close(self) -> None:
        if self._is_holding:
            self._closed = True
            self._network.hold(self)
        else:
            self._socket.close()

    def flush(self) -> bool:
        """Send what was held back; returns False if the socket would block."""
        try:
            while self._held_bytes:
                del self._held_bytes[: self._socket.send(self._held_bytes)]
            if self._shutdown is not None:
                self._socket.shutdown(self._shutdown)
                self._shutdown = None
        except BlockingIOError:
            return False
        except OSError:
            self._held_bytes.clear()
        if self._closed:
            self._socket.close()
        return True


class CutListener:
    """A listening socket that holds connections from cut peers back."""

    def __init__(self, real: socket.socket, network: Network) -> None:
        self._socket = real
        self._network = network
        self._held_connections: list[tuple[socket.socket, Any]] = []

    def __getattr__(self, name: str) -> Any:
        return getattr(self._socket, name)

    def accept(self) -> tuple[socket.socket, Any]:
        for position, (_, address) in enumerate(self._held_connections):
            if not self._network.is_cut(address[0]):
                return self._held_connections.pop(position)
        while True:
            accepted, address = self._socket.accept()
            if not self._network.is_cut(address[0]):
                return accepted, address
            self._held_connections.append((accepted, address))


def _wrap_connections(network: Network) -> None:
    original_init, original_do_read = tcp.Connection.__init__, tcp.Connection.doRead
    original_do_connect = tcp.BaseClient.doConnect

    def _initialize(self: Any, skt: Any, *rest: Any, **options: Any) -> None:
        original_init(self, CutSocket(skt, network), *rest, **options)

    def _do_read(self: Any) -> Any:
        if network.is_cut(self.socket.host):
            network.pause(self)
            return None
        return original_do_read(self)

    def _stop_reading(self: Any) -> None:
        network.forget(self)
        abstract.FileDescriptor.stopReading(self)

    def _do_connect(self: Any) -> None:
        if not hasattr(self, "connector"):
            return
        self.socket.host = self.realAddress[0]
        if network.is_cut(self.socket.host):
            self.stopReading()
            self.stopWriting()
            network.connect_later(self)
        else:
            original_do_connect(self)

    tcp.Connection.__init__ = _initialize
    tcp.Connection.doRead = _do_read
    tcp.Connection.stopReading = _stop_reading
    tcp.BaseClient.doConnect = _do_connect


def _wrap_listeners(network: Network) -> None:
    original_create_socket: Callable[[Any], socket.socket] = tcp.Port.createInternetSocket

    def _create(self: Any) -> CutListener:
        network.add_port(self)
        return CutListener(original_create_socket(self), network)

    tcp.Port.createInternetSocket = _create


def _bind_clients(source_ip: str) -> None:
    original_init = tcp.Client.__init__

    def _initialize(
        self: Any, host: str, port: int, bind: Any, connector: Any, reactor: Any = None
    ) -> None:
        original_init(self, host, port, bind or (source_ip, 0), connector, reactor)

    tcp.Client.__init__ = _initialize


def install(reactor: Any, *, source_ip: str) -> Network:
    """Wrap all TCP transports that this process creates from now on.

    Parameters
    ----------
    source_ip : str
        Address that outgoing connections are bound to, so that the other side can cut them by
        prefix; loopback connections would otherwise all come from 127.0.0.1.
    """
    network = Network(reactor)
    _wrap_connections(network)
    _wrap_listeners(network)
    _bind_clients(source_ip)
    return network


class ControlProtocol(protocol.DatagramProtocol):
    """Control endpoint: takes JSON ``{"cut": [prefix, ...]}``, answers with the cut prefixes."""

    def __init__(self, network: Network) -> None:
        self._network = network

    def datagramReceived(self, datagram: bytes, addr: Any) -> None:  # noqa: N802
        self._network.set_cuts(json.loads(datagram)["cut"])
        self.transport.write(json.dumps({"cut": self._network.prefixes}).encode(), addr)
