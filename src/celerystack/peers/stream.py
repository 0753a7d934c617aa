"""One direction of a peer stream: the dialling side sends messages, the listening side receives.

The listener sends its nonce as the first frame. The dialler answers with its own nonce and then
sends authenticated frames; both nonces are part of every frame's authentication.
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
    """Listening side of a stream."""

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
        """Send the nonce."""
        address = self.transport.getPeer()
        self.peer = f"{address.host}:{address.port}"
        self.transport.setTcpNoDelay(True)
        self.sendString(self._nonce)

    def stringReceived(self, string: bytes) -> None:  # noqa: N802
        """Verify and decode one frame; closes the connection if it is bad."""
        try:
            self._receive(string)
        except errors.BadFrameError as error:
            _log.warning("closing peer stream", extra={"step": error.step, "peer": self.peer})
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
                "first message is not Hello", step="peers.receive", peer=self.peer
            )
        self._on_message(self, message)

    def _make_verifier(self, dialler_nonce: bytes) -> auth.FrameVerifier:
        if len(dialler_nonce) != auth.NONCE_BYTES:
            raise errors.BadFrameError("bad nonce", step="peers.auth", peer=self.peer)
        context = self._nonce + dialler_nonce
        return auth.FrameVerifier(self._secrets, context=context, peer=self.peer)

    def lengthLimitExceeded(self, length: int) -> None:  # noqa: N802
        """Close the connection of a peer that announces an oversized frame."""
        _log.warning("peer %s announced a frame of %d bytes; closing", self.peer, length)
        self.transport.abortConnection()


@implementer(interfaces.IPushProducer)
class PeerSender(basic.Int32StringReceiver):
    """Dialling side of a stream.

    Messages are dropped while the peer does not read: each of them is repeated by its sender or
    repaired by the comparison of row versions.
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
        self._blocked = False

    def connectionMade(self) -> None:  # noqa: N802
        """Watch the send buffer."""
        self.transport.setTcpNoDelay(True)
        self.transport.registerProducer(self, True)

    def stringReceived(self, string: bytes) -> None:  # noqa: N802
        """Answer the listener's nonce and introduce this entry VM."""
        if self._signer is not None:
            self.transport.abortConnection()
            return
        nonce = auth.new_nonce()
        self._signer = auth.FrameSigner(self._secret, context=string + nonce)
        self.sendString(nonce)
        self.send(self._hello)
        self._on_ready(self)

    def send(self, message: messages.Message) -> None:
        """Send a message, or drop it if the stream is not ready or the peer does not read."""
        if self._signer is None or self._blocked:
            return
        self.sendString(self._signer.sign(codec.encode(message)))

    def pauseProducing(self) -> None:  # noqa: N802
        """Note that the send buffer is full."""
        self._blocked = True

    def resumeProducing(self) -> None:  # noqa: N802
        """Note that the send buffer has room."""
        self._blocked = False

    def stopProducing(self) -> None:  # noqa: N802
        """Do nothing: the end of the connection is reported by `connectionLost`."""

    def connectionLost(self, reason: object = protocol.connectionDone) -> None:  # noqa: N802
        """Report the end of the stream."""
        self._signer = None
        self._on_lost(self)
