"""Log lines to a pipe or file without ever blocking the process, in bounded volume."""

from __future__ import annotations

import collections
import contextlib
import logging
import os
import time
from collections.abc import Callable

LINES_PER_S_MAX = 150
"""Lines about requests that were answered or refused; those of failed requests always pass."""
BUFFER_BYTES_MAX = 512 * 1024
_SAMPLED = frozenset({"answered", "refused", "rejected"})


class VolumeFilter(logging.Filter):
    """Passes at most `LINES_PER_S_MAX` lines per second about requests that did not fail.

    The number of lines that were dropped is added to the next one that passes.
    """

    def __init__(self, now: Callable[[], float] = time.monotonic) -> None:
        super().__init__()
        self._now = now
        self._second = 0
        self._passed = 0
        self._dropped = 0

    def filter(self, record: logging.LogRecord) -> bool:
        """Return whether the record is to be logged."""
        if getattr(record, "step", None) not in _SAMPLED:
            return True
        second = int(self._now())
        if second != self._second:
            self._second, self._passed = second, 0
        self._passed += 1
        if self._passed > LINES_PER_S_MAX:
            self._dropped += 1
            return False
        if self._dropped:
            record.suppressed, self._dropped = self._dropped, 0
        return True


class NonBlockingHandler(logging.Handler):
    """Writes lines to a file descriptor; drops them when the reader is too slow.

    Parameters
    ----------
    descriptor : int
        File descriptor, which is switched to non-blocking mode.
    """

    def __init__(self, descriptor: int) -> None:
        super().__init__()
        self._descriptor = descriptor
        self._buffer: collections.deque[bytes] = collections.deque()
        self._buffered = 0
        self.dropped = 0
        with contextlib.suppress(OSError):
            os.set_blocking(descriptor, False)

    def emit(self, record: logging.LogRecord) -> None:
        """Write a record, or keep it until the descriptor takes bytes again."""
        if self.dropped and self._buffered < BUFFER_BYTES_MAX // 2:
            record.suppressed = getattr(record, "suppressed", 0) + self.dropped
            self.dropped = 0
        line = self.format(record).encode("utf-8", "replace") + b"\n"
        if self._buffered + len(line) > BUFFER_BYTES_MAX:
            self.dropped += 1
        else:
            self._buffer.append(line)
            self._buffered += len(line)
        self.flush()

    def flush(self) -> None:
        """Write what the descriptor takes without waiting."""
        while self._buffer:
            line = self._buffer[0]
            try:
                written = os.write(self._descriptor, line)
            except BlockingIOError:
                return
            except OSError:
                # Nobody reads the log any more; there is no other place to report it.
                self._buffer.clear()
                self._buffered = 0
                return
            self._buffered -= written
            if written < len(line):
                self._buffer[0] = line[written:]
                return
            self._buffer.popleft()
