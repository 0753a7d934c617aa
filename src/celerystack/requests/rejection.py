"""Responses to requests that are not read to their end."""

from __future__ import annotations

import dataclasses

from twisted.web import http

from celerystack.requests import caller_limits

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
