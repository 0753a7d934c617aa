"""Data classes for HTTP requests to backend servers and for their responses."""

from __future__ import annotations

import dataclasses

HeaderList = tuple[tuple[bytes, bytes], ...]


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class HttpRequest:
    """A complete request.

    Attributes
    ----------
    target : bytes
        Path and query as sent in the request line.
    headers : tuple of (bytes, bytes)
        End-to-end headers including ``Host``; framing headers are added by the client.
    """

    method: bytes
    target: bytes
    headers: HeaderList = ()
    body: bytes = b""


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class HttpResponse:
    """A complete response; header names are in lower case."""

    status: int
    reason: bytes = b""
    headers: HeaderList = ()
    body: bytes = b""

    def header(self, name: bytes) -> bytes | None:
        """Return the first value of a header given in lower case; None if it is absent."""
        return first_value(self.headers, name)


def first_value(headers: HeaderList, name: bytes) -> bytes | None:
    """Return the first value of a header given in lower case; None if it is absent."""
    for key, value in headers:
        if key == name:
            return value
    return None
