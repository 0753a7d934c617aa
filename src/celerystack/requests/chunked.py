"""Decoder of chunked request bodies that does a bounded amount of work per call."""

from __future__ import annotations

import enum
import re
from collections.abc import Callable

SIZE_LINE_BYTES_MAX = 1024
"""Longest line with the size of a chunk and its extensions."""
TRAILER_BYTES_MAX = 64 * 1024
"""Largest size of all trailers together."""
_SIZE_LINE = re.compile(rb"([0-9A-Fa-f]{1,16})(?:;[\t\x20-\x7e\x80-\xff]*)?\r\n")


class MalformedChunksError(ValueError):
    """The body does not follow the syntax of chunked transfer coding."""


class _State(enum.Enum):
    SIZE = "size"
    DATA = "data"
    DATA_END = "data end"
    TRAILERS = "trailers"
    FINISHED = "finished"
    STOPPED = "stopped"


class Decoder:
    """Decodes one chunked body; extensions and trailers are discarded.

    Parameters
    ----------
    on_data : callable
        Called with the data of all chunks that one call of `decode` has decoded.
    on_end : callable
        Called with the bytes that follow the body.
    """

    def __init__(self, on_data: Callable[[bytes], None], on_end: Callable[[bytes], None]) -> None:
        self._on_data = on_data
        self._on_end = on_end
        self._buffer = b""
        self._position = 0
        self._state = _State.SIZE
        self._chunk_bytes_left = 0
        self._trailer_bytes = 0

    @property
    def unread_bytes(self) -> int:
        """Number of bytes that are not decoded yet."""
        return len(self._buffer) - self._position

    def receive(self, data: bytes) -> None:
        """Take received bytes, which `decode` decodes."""
        self._buffer = self._buffer[self._position :] + data if self.unread_bytes else data
        self._position = 0

    def stop(self) -> None:
        """Discard the input; nothing more is decoded."""
        self._state = _State.STOPPED
        self._buffer, self._position = b"", 0

    def decode(self, chunks_max: int) -> bool:
        """Decode at most ``chunks_max`` chunks; return whether more can be decoded now.

        Raises
        ------
        MalformedChunksError
            The syntax is wrong, or a line or the trailers are too long.
        """
        pieces: list[bytes] = []
        has_more = self._read_chunks(chunks_max, pieces)
        if pieces:
            self._on_data(b"".join(pieces))
        if self._state is _State.FINISHED:
            rest = self._buffer[self._position :]
            self.stop()
            self._on_end(rest)
        return has_more and self._state is not _State.STOPPED

    def _read_chunks(self, chunks_max: int, pieces: list[bytes]) -> bool:
        for _ in range(chunks_max):
            if self._state is _State.SIZE and not self._read_size():
                return False
            if self._state is _State.DATA and not self._read_data(pieces):
                return False
            if self._state is _State.DATA_END and not self._read_data_end():
                return False
            if self._state is _State.TRAILERS and not self._read_trailer():
                return False
            if self._state in (_State.FINISHED, _State.STOPPED):
                return False
        return self.unread_bytes > 0

    def _read_size(self) -> bool:
        match = _SIZE_LINE.match(self._buffer, self._position)
        if match is None:
            self._check_partial_size()
            return False
        if match.end() - self._position > SIZE_LINE_BYTES_MAX:
            raise MalformedChunksError("the line with the size of a chunk is too long")
        self._position = match.end()
        self._chunk_bytes_left = int(match[1], 16)
        self._state = _State.DATA if self._chunk_bytes_left else _State.TRAILERS
        return True

    def _check_partial_size(self) -> None:
        if self.unread_bytes > SIZE_LINE_BYTES_MAX:
            raise MalformedChunksError("the line with the size of a chunk is too long")
        if self._buffer.find(b"\r\n", self._position) >= 0:
            raise MalformedChunksError("the size of a chunk is malformed")

    def _read_data(self, pieces: list[bytes]) -> bool:
        piece = self._buffer[self._position : self._position + self._chunk_bytes_left]
        self._position += len(piece)
        self._chunk_bytes_left -= len(piece)
        pieces.append(piece)
        if self._chunk_bytes_left:
            return False
        self._state = _State.DATA_END
        return True

    def _read_data_end(self) -> bool:
        end = self._buffer[self._position : self._position + 2]
        if end != b"\r\n"[: len(end)]:
            raise MalformedChunksError("a chunk does not end with a line break")
        if len(end) < 2:
            return False
        self._position += 2
        self._state = _State.SIZE
        return True

    def _read_trailer(self) -> bool:
        end = self._buffer.find(b"\r\n", self._position)
        line_bytes = self.unread_bytes if end < 0 else end + 2 - self._position
        if self._trailer_bytes + line_bytes > TRAILER_BYTES_MAX:
            raise MalformedChunksError("the trailers are too long")
        if end < 0:
            return False
        if end == self._position:
            self._state = _State.FINISHED
        self._trailer_bytes += line_bytes
        self._position = end + 2
        return True
