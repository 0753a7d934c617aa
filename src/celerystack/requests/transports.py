"""What the sockets and buffers of callers' connections hold."""

from __future__ import annotations

import fcntl
import socket
import struct
import termios
from typing import Any

from twisted.internet import tcp


def has_unread_bytes(transport: Any) -> bool:
    """Return whether bytes of the peer have arrived that the transport has not read yet."""
    if not isinstance(transport, tcp.Connection) or not transport.connected:
        return False
    try:
        return bool(transport.getHandle().recv(1, socket.MSG_PEEK))
    except OSError:
        return False


def can_send_directly(transport: Any) -> bool:
    """Return whether a TCP transport is open and has no buffered bytes to send first."""
    if not isinstance(transport, tcp.Connection):
        return False
    # Written bytes are in _tempDataBuffer until the transport moves them to dataBuffer.
    buffered = transport.dataBuffer or transport._tempDataBuffer
    return bool(transport.connected) and not transport.disconnecting and not buffered


def held_bytes(transport: Any) -> int:
    """Return the memory that a TCP transport uses for bytes to its peer.

    The sent part of a buffer is held until the whole of it is sent.
    """
    if not isinstance(transport, tcp.Connection):
        return 0
    held = len(transport.dataBuffer)
    if transport._tempDataBuffer:
        held += sum(map(len, transport._tempDataBuffer))
    return held


def unsent_bytes(transport: Any) -> int:
    """Return the number of bytes that a TCP transport has not sent to its peer yet."""
    held = held_bytes(transport)
    return held - transport.offset if held else 0


def unacknowledged_bytes(transport: Any) -> int:
    """Return the number of bytes that the peer of a TCP transport has not acknowledged yet.

    Where the system does not tell what its send buffer holds, only the transport's own count.
    """
    if not isinstance(transport, tcp.Connection) or not transport.connected:
        return 0
    return unsent_bytes(transport) + _bytes_in_send_buffer(transport)


def _bytes_in_send_buffer(transport: tcp.Connection) -> int:
    try:
        found = fcntl.ioctl(transport.getHandle(), termios.TIOCOUTQ, struct.pack("i", 0))
    except OSError:
        return 0
    return max(0, struct.unpack("i", found)[0])


def discard_unsent(transport: Any) -> None:
    """Free the buffers of a closed TCP transport, which keeps them as long as it exists."""
    if isinstance(transport, tcp.Connection):
        transport.dataBuffer, transport.offset = b"", 0
        transport._tempDataBuffer, transport._tempDataLen = [], 0
