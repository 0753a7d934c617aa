"""Peer stream: a connection on which the dialling side sends messages to the listening side.

The listening side sends its nonce as the first frame. The dialling side replies with its own nonce
and then sends authenticated frames; the MAC of each frame covers both nonces.
"""

from __future__ import annotations

import logging
from collections.abc import Callable

from twisted.internet import interfaces, protocol
from twisted.protocols import basic
from zope.interface import implementer

from celerystack import errors
from celerystack.peers import auth, codec, messages

FRAME_BYTES_MAX = 16 << 20
_log = logging.getLogger(__name__)


class PeerReceiver(basic.Int32StringReceiver):
    """Listening side of a stream: verifies and decodes messages."""

    MAX_LENGTH = FRAME_BYTES_MAX

    def __init__(
        self,
        *,
        secrets: tuple[bytes, ...],
        on_message: Callable[[PeerReceiver, messages.Message], None],
    ) -> None:
        self._secrets = secrets
        self._on_message = on_message
        self._nonce = auth.new_nonce()
        self._verifier: auth.FrameVerifier | None = None
        self.peer = ""
        self.hello: messages.Hello | None = None

    def connectionMade(self) -> None:  # noqa: N802
        """Send the nonce of the listening side."""
        address = self.transport.getPeer()
        self.peer = f"{address.host}:{address.port}"
        self.transport.setTcpNoDelay(True)
        self.sendString(self._nonce)

    def stringReceived(self, string: bytes) -> None:  # noqa: N802
        """Process one frame; close the connection if it is invalid."""
        try:
            self._receive(string)
        except errors.BadFrameError as error:
            _log.warning(
                "closing peer stream after an invalid frame",
                extra={"step": error.step, "peer": self.peer},
            )
            _log.warning("%s", error)
            self.transport.abortConnection()

    def _receive(self, frame: bytes) -> None:
        if self._verifier is None:
            self._verifier = self._make_verifier(frame)
            return
        message = codec.decode(self._verifier.verify(frame), peer=self.peer)
        if isinstance(message, messages.Hello):
            self.hello = message
        elif self.hello is None:
            raise errors.BadFrameError(
                "first message is not a Hello", step="peers.receive", peer=self.peer
            )
        self._on_message(self, message)

    def _make_verifier(self, dialler_nonce: bytes) -> auth.FrameVerifier:
        if len(dialler_nonce) != auth.NONCE_BYTES:
            raise errors.BadFrameError(
                "nonce has the wrong length", step="peers.auth", peer=self.peer
            )
        context = self._nonce + dialler_nonce
        return auth.FrameVerifier(self._secrets, context=context, peer=self.peer)

    def lengthLimitExceeded(self, length: int) -> None:  # noqa: N802
        """Close the connection because a frame exceeds `FRAME_BYTES_MAX`."""
        _log.warning("closing stream of peer %s: frame of %d bytes is too long", self.peer, length)
        self.transport.abortConnection()


@implementer(interfaces.IPushProducer)
class PeerSender(basic.Int32StringReceiver):
    """Dialling side of a stream: encodes and signs messages.

    Messages are dropped while the peer does not read. Their senders repeat them, and comparing row
    versions restores lost rows.
    """

    MAX_LENGTH = auth.NONCE_BYTES

    def __init__(
        self,
        *,
        secret: bytes,
        hello: messages.Hello,
        on_ready: Callable[[PeerSender], None],
        on_lost: Callable[[PeerSender], None],
    ) -> None:
        self._secret = secret
        self._hello = hello
        self._on_ready = on_ready
        self._on_lost = on_lost
        self._signer: auth.FrameSigner | None = None
        self._send_buffer_full = False

    def connectionMade(self) -> None:  # noqa: N802
        """Register for notifications about the send buffer."""
        self.transport.setTcpNoDelay(True)
        self.transport.registerProducer(self, True)

    def stringReceived(self, string: bytes) -> None:  # noqa: N802
        """Reply to the nonce of the listening side with the own nonce and `Hello`."""
        if self._signer is not None:
            self.transport.abortConnection()
            return
        nonce = auth.new_nonce()
        self._signer = auth.FrameSigner(self._secret, context=string + nonce)
        self.sendString(nonce)
        self.send(self._hello)
        self._on_ready(self)

    def send(self, message: messages.Message) -> None:
        """Send a message; drop it if the stream is not ready or the peer does not read."""
        if self._signer is None or self._send_buffer_full:
            return
        self.sendString(self._signer.sign(codec.encode(message)))

    def pauseProducing(self) -> None:  # noqa: N802
        """Drop messages from now on, because the send buffer is full."""
        self._send_buffer_full = True

    def resumeProducing(self) -> None:  # noqa: N802
        """Send messages again, because the send buffer has drained."""
        self._send_buffer_full = False

    def stopProducing(self) -> None:  # noqa: N802
        """Do nothing; `connectionLost` reports the end of the connection."""

    def connectionLost(self, reason: object = protocol.connectionDone) -> None:  # noqa: N802
        """Report the end of the stream."""
        self._signer = None
        self._on_lost(self)
