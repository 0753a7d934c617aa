"""Responses to requests that are not read to their end, and the close of their connections."""

from __future__ import annotations

import dataclasses
from collections.abc import Callable
from typing import Any

from twisted.web import http

from celerystack.requests import caller_limits

LINGER_S = 1.0
"""Time in seconds without further bytes after which a rejected connection is closed."""
LINGER_MAX_S = 5.0
"""Longest time in seconds for which the rest of a rejected request is read and discarded."""
RETRY_AFTER_S = 1
"""Retry time in seconds for callers that find no room."""


@dataclasses.dataclass(frozen=True, slots=True)
class Rejection:
    """Status and reason of the response to a request that is not read to its end."""

    status: int
    reason: bytes
    limit: caller_limits.Limit = caller_limits.Limit.MALFORMED

    def encode(self) -> bytes:
        """Return the response."""
        retry = b"Retry-After: %d\r\n" % RETRY_AFTER_S if self.status == 503 else b""
        body = self.reason + b"\n"
        return (
            b"HTTP/1.1 %d %s\r\nX-Celerystack-Outcome: not-run\r\n%sContent-Length: %d\r\n"
            b"Connection: close\r\n\r\n%s"
            % (self.status, http.RESPONSES[self.status], retry, len(body), body)
        )


class Linger:
    """Closes a rejected connection once its caller has sent nothing for `LINGER_S`.

    Closing a socket with unread bytes resets the connection, and the caller might lose the
    response.
    """

    def __init__(
        self,
        call_later: Callable[..., Any],
        close: Callable[[], None],
        *,
        now: Callable[[], float],
    ) -> None:
        self._now = now
        self._until = now() + LINGER_MAX_S
        self._timer = call_later(LINGER_S, close)

    def extend(self) -> None:
        """Wait longer, because bytes have arrived."""
        if self._timer.active() and self._now() + LINGER_S <= self._until:
            self._timer.reset(LINGER_S)

    def cancel(self) -> None:
        """Stop waiting, because the connection is closed."""
        if self._timer.active():
            self._timer.cancel()
