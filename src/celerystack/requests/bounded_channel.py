"""HTTP channel that does a bounded amount of work in each turn of the event loop."""

from __future__ import annotations

from typing import TYPE_CHECKING

from twisted.protocols import basic
from twisted.python import failure
from twisted.web import http

from celerystack.requests import chunked

if TYPE_CHECKING:
    from celerystack.requests import callerhttp

CHUNKS_PER_TURN = 1000
"""Largest number of chunks of one connection that are decoded in one turn of the event loop."""

REQUESTS_PER_TURN = 16
"""Largest number of requests of one connection that are parsed in one turn of the event loop."""


class BoundedChannel(http.HTTPChannel):
    """Decodes chunked bodies and parses requests, and continues in later turns if they are many."""

    factory: callerhttp.CallerFactory
    _awaits_turn = False
    _is_lost = False
    _awaits_parsing = False
    _requests_in_turn = 0

    @property
    def is_input_closed(self) -> bool:
        """Whether no more requests are read, because one was rejected or the connection closes."""
        raise NotImplementedError

    def count_input(self) -> None:
        """Count the bytes that are not parsed yet."""
        raise NotImplementedError

    def parse_kept(self) -> None:
        """Parse bytes that were kept for later requests."""
        raise NotImplementedError

    @property
    def undecoded_bytes(self) -> int:
        """Bytes of a chunked body that are not decoded yet."""
        decoder = self._transferDecoder
        return decoder.unread_bytes if isinstance(decoder, chunked.Decoder) else 0

    def stop_decoding(self) -> None:
        """Discard the input of a chunked body."""
        if isinstance(self._transferDecoder, chunked.Decoder):
            self._transferDecoder.stop()

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Parse received bytes."""
        self.begin_turn()
        super().dataReceived(data)

    def connectionLost(self, reason: failure.Failure) -> None:  # noqa: N802
        """End the work that waits for later turns."""
        self._is_lost = True
        super().connectionLost(reason)
        self._transferDecoder = None
        self._dataBuffer = []
        self._buffer = b""

    def begin_turn(self) -> None:
        """Permit further requests, because the event loop has turned since the last ones."""
        self._requests_in_turn = 0

    def count_request(self) -> None:
        """Count a complete request; parsing pauses after `REQUESTS_PER_TURN`."""
        self._requests_in_turn += 1
        if self._requests_in_turn == REQUESTS_PER_TURN:
            self.paused = self._awaits_parsing = True
            self._networkProducer.pauseProducing()
            self.factory.turns.add(self.continue_requests)

    def continue_requests(self) -> bool:
        """Parse further requests in a later turn; return False, because that is all."""
        if self._awaits_parsing and not self.is_input_closed and not self._is_lost:
            self.paused = self._awaits_parsing = False
            self.begin_turn()
            if not self._waitingForTransport:
                self._networkProducer.resumeProducing()
            # Not `self.dataReceived`, which records when bytes were received.
            basic.LineReceiver.dataReceived(self, b"")
            self.parse_kept()
        return False

    def _maybeChooseTransferDecoder(self, header: bytes, data: bytes) -> bool:  # noqa: N802
        if not super()._maybeChooseTransferDecoder(header, data):
            return False
        is_chunked = self.length is None and self._transferDecoder is not None
        if is_chunked and header == b"Transfer-Encoding":
            self._transferDecoder = chunked.Decoder(
                self.requests[-1].handleContentChunk, self._finishRequestBody
            )
        return True

    def receive_body(self, data: bytes) -> None:
        """Decode body bytes; a chunked body that takes long continues in later turns."""
        if not isinstance(self._transferDecoder, chunked.Decoder):
            super().rawDataReceived(data)
            return
        self._transferDecoder.receive(data)
        if self._awaits_turn:
            return
        if self.factory.turns.is_busy or self._decode_body():
            self._awaits_turn = True
            self._networkProducer.pauseProducing()
            self.factory.turns.add(self._continue_body)
            self.count_input()

    def _decode_body(self) -> bool:
        """Decode a bounded part of a chunked body; return whether more can be decoded now."""
        try:
            return self._transferDecoder.decode(CHUNKS_PER_TURN)
        except chunked.MalformedChunksError:
            self._respondToBadRequestAndDisconnect()
            return False

    def _continue_body(self) -> bool:
        """Decode a further part in a later turn; return whether more can be decoded now."""
        if isinstance(self._transferDecoder, chunked.Decoder) and not self.is_input_closed:
            self.resetTimeout()
            has_more = self._decode_body()
            self.count_input()
            if has_more:
                return True
            if not self.is_input_closed and not self._waitingForTransport:
                self._networkProducer.resumeProducing()
        self._awaits_turn = False
        return False
