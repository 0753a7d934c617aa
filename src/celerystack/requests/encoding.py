"""Header rules for requests to backend servers and responses to callers."""

from __future__ import annotations

from celerystack.backend import http
from celerystack.requests import calls, targets

CELERYSTACK_PREFIX = b"x-celerystack-"
_HOP_BY_HOP = frozenset(
    (
        b"connection",
        b"keep-alive",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
    )
)
_NOT_FORWARDED = _HOP_BY_HOP | {b"content-length", b"expect", b"x-deadline-ms"}


def _connection_options(headers: http.HeaderList) -> set[bytes]:
    names: set[bytes] = set()
    for name, value in headers:
        if name == b"connection":
            names.update(part.strip().lower() for part in value.split(b","))
    return names


def _without(headers: http.HeaderList, dropped: frozenset[bytes]) -> http.HeaderList:
    connection_options = _connection_options(headers)
    if connection_options:
        dropped |= connection_options
    return tuple(
        [
            header
            for header in headers
            if header[0] not in dropped and not header[0].startswith(CELERYSTACK_PREFIX)
        ]
    )


def request_headers(headers: http.HeaderList) -> http.HeaderList:
    """Return the end-to-end headers of a caller's request; names are in lower case."""
    return _without(headers, _NOT_FORWARDED)


def answer_headers(headers: http.HeaderList) -> http.HeaderList:
    """Return the end-to-end headers of a server's response; names are in lower case.

    A ``Content-Length`` next to a ``Transfer-Encoding`` is not the length of the body and is
    dropped.
    """
    if any(name == b"transfer-encoding" for name, _ in headers):
        return _without(headers, _HOP_BY_HOP | {b"content-length"})
    return _without(headers, _HOP_BY_HOP)


def encode(call: calls.Call, target: targets.Target, now: float) -> http.HttpRequest:
    """Return the request for one attempt; its deadline header is the remaining time in ms."""
    remaining_ms = max(1, int((call.deadline - now) * 1000))
    added = [
        (b"X-Celerystack-Service", call.service.name.encode()),
        (b"X-Celerystack-Deadline-Ms", b"%d" % remaining_ms),
    ]
    if target.route is not None:
        added += [
            (b"X-Celerystack-Key", call.key.encode("utf-8", "surrogateescape")),
            (b"X-Celerystack-Shard", b"%d" % target.route.shard),
            (b"X-Celerystack-Epoch", b"%d" % target.route.epoch),
        ]
    if call.request_id:
        added.append((b"X-Celerystack-Request-Id", call.request_id.encode("latin-1")))
    if http.first_value(call.headers, b"host") is None:
        added.append((b"Host", target.server.address.encode()))
    return http.HttpRequest(
        method=call.method.encode("ascii"),
        target=call.target,
        headers=(*call.headers, *added),
        body=call.body,
    )
