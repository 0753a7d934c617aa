"""Answers that arrive in one piece with a plain head.

h11 took about a fifth of the router's time per request. The common answer is read here by one
regular expression that accepts less than h11 does; everything else is left to h11.
"""

from __future__ import annotations

import re

from celerystack.backend import http

_HEAD = re.compile(
    rb"HTTP/1\.1 ([2-5][0-9]{2}) ([\x20-\x7e]*)\r\n"
    rb"((?:[!#$%&'*+\-.^_`|~0-9A-Za-z]+:[\t\x20-\x7e]*\r\n)+)\r\n"
)
_LENGTH = re.compile(rb"[0-9]{1,20}")
_LEFT_TO_H11 = frozenset((b"connection", b"transfer-encoding", b"upgrade"))
_BODYLESS_STATUS = (204, 304)


def read(data: bytes, *, body_max: int) -> http.HttpResponse | None:
    """Return the answer to a request other than HEAD if ``data`` is exactly one plain answer.

    None means nothing but that h11 must read it: the answer may be partial, malformed, larger than
    ``body_max`` bytes, followed by other bytes, or framed by anything but one Content-Length.
    """
    found = _HEAD.match(data)
    if found is None:
        return None
    status = int(found[1])
    headers = []
    lengths = []
    for line in found[3].split(b"\r\n")[:-1]:
        name, _, value = line.partition(b":")
        name = name.lower()
        value = value.strip(b" \t")
        if name in _LEFT_TO_H11:
            return None
        if name == b"content-length":
            lengths.append(value)
        headers.append((name, value))
    if status in _BODYLESS_STATUS or len(lengths) != 1 or not _LENGTH.fullmatch(lengths[0]):
        return None
    body = data[found.end() :]
    if len(body) != int(lengths[0]) or len(body) > body_max:
        return None
    return http.HttpResponse(status=status, reason=found[2], headers=tuple(headers), body=body)
