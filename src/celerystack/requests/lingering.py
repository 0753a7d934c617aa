"""Orderly close of a connection whose caller may still be sending or reading.

Closing a socket with unread bytes, or bytes that arrive afterwards, reset the connection, and the
caller loses what it has not read of its responses. So only the sending side is closed at first;
what the caller sends is read and discarded until it closes its side or sends nothing for a time.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

REJECTED_QUIET_S = 1.0
"""Time in seconds without further bytes after which the connection of a rejected request, or one
that was idle while its caller still read, is closed."""
REJECTED_MAX_S = 5.0
"""Longest time in seconds for which such a connection is read."""
ANSWERED_QUIET_S = 5.0
"""Time in seconds without further bytes after which a connection is closed whose last response has
just been sent. A caller closes it when it has read the response."""


class Linger:
    """Closes a connection when its caller has sent nothing for a time and has been sent everything.

    Parameters
    ----------
    call_later : callable
        Schedules a call after a time in seconds.
    close : callable
        Closes the connection.
    unsent_bytes : callable
        Returns how many bytes the peer has not acknowledged yet.
    quiet_s : float
        Time in seconds without further bytes after which the connection is closed.
    reading_max_s : float
        Longest time in seconds for which further bytes keep the connection open.
    stall_s : float
        Time in seconds after which a caller that takes no bytes is given up.
    now : callable
        Clock in seconds.
    """

    def __init__(
        self,
        call_later: Callable[..., Any],
        *,
        close: Callable[[], None],
        unsent_bytes: Callable[[], int],
        quiet_s: float,
        reading_max_s: float,
        stall_s: float,
        now: Callable[[], float],
    ) -> None:
        self._call_later = call_later
        self._close = close
        self._unsent_bytes = unsent_bytes
        self._quiet_s = quiet_s
        self._stall_s = stall_s
        self._now = now
        self._read_until = now() + reading_max_s
        self._left_bytes = unsent_bytes()
        self._stalled_at = now() + stall_s
        self._timer = call_later(quiet_s, self._check)

    def extend(self) -> None:
        """Wait longer, because bytes have arrived."""
        if self._timer.active() and self._now() + self._quiet_s <= self._read_until:
            self._timer.reset(self._quiet_s)

    def cancel(self) -> None:
        """Stop waiting, because the connection is closed."""
        if self._timer.active():
            self._timer.cancel()

    def _check(self) -> None:
        left_bytes = self._unsent_bytes()
        if left_bytes < self._left_bytes:
            self._left_bytes, self._stalled_at = left_bytes, self._now() + self._stall_s
        if left_bytes and self._now() < self._stalled_at:
            self._timer = self._call_later(self._quiet_s, self._check)
        else:
            self._close()
