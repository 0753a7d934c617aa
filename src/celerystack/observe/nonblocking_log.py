"""Writes log lines to a pipe or file without blocking, and limits their rate."""

from __future__ import annotations

import collections
import contextlib
import logging
import os
import time
from collections.abc import Callable

LINES_PER_S_MAX = 150
"""Limit for lines of answered, refused or rejected requests; lines of failed ones always pass."""
BUFFER_BYTES_MAX = 512 * 1024
_LIMITED_STEPS = frozenset({"answered", "refused", "rejected"})


class VolumeFilter(logging.Filter):
    """Passes at most `LINES_PER_S_MAX` lines per second about requests that did not fail.

    The next line that passes carries the number of dropped lines in ``suppressed``.
    """

    def __init__(self, now: Callable[[], float] = time.monotonic) -> None:
        super().__init__()
        self._now = now
        self._second = 0
        self._passed = 0
        self._dropped = 0

    def filter(self, record: logging.LogRecord) -> bool:
        """Return whether the record is to be logged."""
        if getattr(record, "step", None) not in _LIMITED_STEPS:
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
    """Writes lines to a file descriptor; drops lines while the buffer for a slow reader is full.

    Parameters
    ----------
    descriptor : int
        File descriptor, which is switched to non-blocking mode.
    """

    def __init__(self, descriptor: int) -> None:
        super().__init__()
        self._descriptor = descriptor
        self._buffer: collections.deque[bytes] = collections.deque()
        self._buffered_bytes = 0
        self.dropped = 0
        with contextlib.suppress(OSError):
            os.set_blocking(descriptor, False)

    def emit(self, record: logging.LogRecord) -> None:
        """Write a record, or buffer it until the descriptor accepts more bytes."""
        if self.dropped and self._buffered_bytes < BUFFER_BYTES_MAX // 2:
            record.suppressed = getattr(record, "suppressed", 0) + self.dropped
            self.dropped = 0
        line = self.format(record).encode("utf-8", "replace") + b"\n"
        if self._buffered_bytes + len(line) > BUFFER_BYTES_MAX:
            self.dropped += 1
        else:
            self._buffer.append(line)
            self._buffered_bytes += len(line)
        self.flush()

    def flush(self) -> None:
        """Write as much of the buffer as the descriptor accepts without blocking."""
        while self._buffer:
            line = self._buffer[0]
            try:
                written = os.write(self._descriptor, line)
            except BlockingIOError:
                return
            except OSError:
                # The reader has closed the log, and there is no other place to report the error.
                self._buffer.clear()
                self._buffered_bytes = 0
                return
            self._buffered_bytes -= written
            if written < len(line):
                self._buffer[0] = line[written:]
                return
            self._buffer.popleft()
