"""Stream of framed messages between two entry VMs."""

from __future__ import annotations

import logging
from collections.abc import Callable

from twisted.internet import interfaces, protocol
from twisted.protocols import basic
from zope.interface import implementer

from celerystack import errors
from celerystack.forwarding import messages

FRAME_BYTES_MAX = 24 * 1024 * 1024
"""Largest frame in bytes: the largest response of a server, and its headers."""
_log = logging.getLogger(__name__)


@implementer(interfaces.IPushProducer)
class Stream(basic.Int32StringReceiver):
    """One end of a stream, each frame of which is one message.

    Parameters
    ----------
    on_message, on_lost : callable
        Called with the stream and a message, and with the stream when it has ended.

    Attributes
    ----------
    is_open : bool
        Whether messages can be sent.
    is_congested : bool
        Whether sent bytes wait because the peer or the link does not take them.
    """

    MAX_LENGTH = FRAME_BYTES_MAX

    def __init__(
        self,
        *,
        on_message: Callable[[Stream, messages.Message], None],
        on_lost: Callable[[Stream], None],
    ) -> None:
        self._on_message = on_message
        self._on_lost = on_lost
        self.is_open = False
        self.is_congested = False
        self.peer = ""

    def connectionMade(self) -> None:  # noqa: N802
        """Turn off Nagle's algorithm and watch the send buffer."""
        address = self.transport.getPeer()
        self.peer = f"{address.host}:{address.port}"
        self.transport.setTcpNoDelay(True)
        self.transport.registerProducer(self, True)
        self.is_open = True

    def send(self, message: messages.Message) -> None:
        """Send a message; it is dropped if the stream has ended."""
        if self.is_open:
            self.sendString(messages.encode(message))

    def stringReceived(self, string: bytes) -> None:  # noqa: N802
        """Decode one frame and pass it on; close the stream if it is invalid."""
        try:
            message = messages.decode(string, peer=self.peer)
        except errors.BadFrameError as error:
            _log.warning("%s", error, extra={"step": error.step, "peer": self.peer})
            self.abort()
            return
        if message is messages.Signal.PING:
            self.send(messages.Signal.PONG)
            return
        self._on_message(self, message)

    def lengthLimitExceeded(self, length: int) -> None:  # noqa: N802
        """Close the stream because a frame exceeds `FRAME_BYTES_MAX`."""
        _log.warning(
            "closing a stream because of a frame of %d bytes",
            length,
            extra={"step": "forwarding", "peer": self.peer},
        )
        self.abort()

    def pauseProducing(self) -> None:  # noqa: N802
        """Record that the send buffer is full."""
        self.is_congested = True

    def resumeProducing(self) -> None:  # noqa: N802
        """Record that the send buffer has drained."""
        self.is_congested = False

    def stopProducing(self) -> None:  # noqa: N802
        """Do nothing; `connectionLost` reports the end of the stream."""

    def connectionLost(self, reason: object = protocol.connectionDone) -> None:  # noqa: N802
        """Report the end of the stream."""
        if self.is_open:
            self.is_open = False
            self._on_lost(self)

    def abort(self) -> None:
        """Close the stream at once."""
        self.transport.abortConnection()
