"""HTTP headers and status codes that the platform's callers and servers use."""

from __future__ import annotations

import re

from celerystack import ids
from celerystack.backend import http
from celerystack.gateway import calls
from celerystack.ranges import model
from celerystack.requests import callerhttp, encoding

ATTEMPT_ID = b"celerystack-request-attempt-id"
REMAINING_MS = b"celerystack-deadline-remaining-ms"
EXPECTED_SERVER = b"celerystack-expected-instance"
SIGNATURE = b"celerystack-server-signature"
NOT_RUN = b"celerystack-request-not-run"
SERVER_ID = b"celerystack-instance-id"
KEY = b"celerystack-shard-key"
RATE_LIMIT = b"server-limit"
LEAVING = b"server-leaving"
RETRY_AFTER = b"retry-after"
LOAD = b"celerystack-server-load"

_REMAINING_MS_MAX = 600_000
_STATUS_MISDIRECTED = 421
_STATUS_UNAVAILABLE = 503
_LOAD = re.compile(rb"(\d{1,6}),(\d{1,6}),(\d{1,6})(?:,(\d{1,6}))?")
_NUMBER = re.compile(rb"\d{1,9}(?:\.\d{1,9})?")


class HeaderRequestCodec:
    """Implements `calls.RequestCodec`."""

    def read(self, request: callerhttp.CallerRequest) -> calls.CallerHeaders:
        """Decode the headers of a caller's request."""
        headers = request.header_list()
        hosts = [value for name, value in headers if name == b"host"]
        if len(hosts) != 1:
            raise calls.BadRequestError(400, "the request must have one Host header")
        forwarded = tuple(
            header
            for header in encoding.request_headers(headers)
            if header[0] not in (REMAINING_MS, EXPECTED_SERVER)
        )
        return calls.CallerHeaders(
            request_id=ids.RequestId(
                (http.first_value(headers, ATTEMPT_ID) or b"").decode("latin-1")
            ),
            host=_host_without_port(hosts[0].decode("latin-1")),
            remaining_s=_decode_remaining_s(http.first_value(headers, REMAINING_MS)),
            key=_decode_key(http.first_value(headers, KEY)),
            forwarded=forwarded,
        )

    def encode(
        self, call: calls.Call, server: model.ServerIncarnation, remaining_s: float
    ) -> http.HttpRequest:
        """Build the request to a server."""
        attempt_headers = (
            (REMAINING_MS, b"%d" % max(1, int(remaining_s * 1000))),
            (EXPECTED_SERVER, server.server.encode()),
        )
        return http.HttpRequest(
            method=call.method,
            target=call.target,
            headers=(*call.headers, *attempt_headers),
            body=call.body,
        )

    def matches_request(self, call: calls.Call, headers: http.HeaderList) -> bool:
        """Return whether the response echoes the id of the call or no id."""
        echoed = http.first_value(headers, ATTEMPT_ID)
        return echoed is None or echoed.decode("latin-1") == call.request_id

    def classify(
        self, call: calls.Call, server: model.ServerIncarnation, response: http.HttpResponse
    ) -> calls.Attempt:
        """Classify the outcome of an attempt by its response."""
        # A response without the id may be an earlier one that the server wrote once more.
        if response.header(ATTEMPT_ID) is None:
            return calls.OutcomeUnknown(f"an answer {response.status} without the request's id")
        if response.status == _STATUS_MISDIRECTED:
            server_id = response.header(SERVER_ID)
            if server_id is not None and server_id.decode("latin-1") != server.server:
                return calls.NotRun(calls.NotRunReason.OTHER_SERVER, server_id.decode("latin-1"))
            return calls.NotRun(calls.NotRunReason.KEY_NOT_HELD)
        if response.header(NOT_RUN) is not None:
            return calls.NotRun(calls.NotRunReason.FULL, f"status {response.status}")
        if response.header(SIGNATURE) is None:
            return calls.OutcomeUnknown(f"an answer {response.status} without a signature")
        if response.header(b"content-encoding") is not None:
            return calls.OutcomeUnknown(
                "an answer with a content encoding, which was not asked for"
            )
        return calls.Answered(response)

    def is_leaving(self, response: http.HttpResponse) -> bool:
        """Return whether the server states that it leaves; one statement among others counts."""
        return any(name == LEAVING and value.strip() == b"1" for name, value in response.headers)

    def rate_limit(self, response: http.HttpResponse) -> float | None:
        """Decode the server's limit on the requests of all VMs; the lowest one if it names several.

        Raises
        ------
        calls.UnreadableHeaderError
            A value is not a decimal number.
        """
        return min(_decode_numbers(response, RATE_LIMIT), default=None)

    def pause_s(self, response: http.HttpResponse) -> float:
        """Decode the server's request for a pause; the longest one if it states several.

        Raises
        ------
        calls.UnreadableHeaderError
            A value is not a decimal number, such as a date.
        """
        if response.status != _STATUS_UNAVAILABLE:
            return 0.0
        return max(_decode_numbers(response, RETRY_AFTER), default=0.0)

    def server_load(self, response: http.HttpResponse) -> calls.ServerLoad | None:
        """Decode the server's load, of which the pace is optional.

        Raises
        ------
        calls.UnreadableHeaderError
            The figures are not whole numbers, or more requests run than there are slots.
        """
        value = response.header(LOAD)
        if value is None:
            return None
        found = _LOAD.fullmatch(value.replace(b" ", b""))
        if found is None:
            raise calls.UnreadableHeaderError(f"{LOAD.decode()} is {value[:40]!r}, not a load")
        running, waiting, slots = (int(figure) for figure in found.groups()[:3])
        if running > slots or slots == 0:
            raise calls.UnreadableHeaderError(
                f"{LOAD.decode()} states {running} running requests in {slots} slots"
            )
        pace = found.group(4)
        return calls.ServerLoad(
            running=running,
            waiting=waiting,
            slots=slots,
            pace_percent=None if pace is None else int(pace),
        )

    def answer_headers(self, response: http.HttpResponse) -> http.HeaderList:
        """Return the end-to-end headers of a response, without its content length."""
        return tuple(
            header
            for header in encoding.answer_headers(response.headers)
            if header[0] != b"content-length"
        )

    def reply_headers(
        self, reply: calls.Refused | calls.Failed, call: calls.Call | None
    ) -> http.HeaderList:
        """Return the headers of a response that this VM generates."""
        match reply:
            case calls.Refused(retry_after_s=retry_after_s):
                return ((b"Retry-After", b"%.2f" % retry_after_s),)
        return ()


def _decode_numbers(response: http.HttpResponse, name: bytes) -> list[float]:
    """Return the values of a header that holds decimal numbers."""
    values = [value.strip() for found, value in response.headers if found == name]
    for value in values:
        if not _NUMBER.fullmatch(value):
            raise calls.UnreadableHeaderError(f"{name.decode()} is {value[:40]!r}, not a number")
    return [float(value) for value in values]


def _host_without_port(value: str) -> str:
    """Return the host of a ``Host`` header in lower case; an IPv6 address keeps its brackets."""
    if value.startswith("["):
        address, bracket, _ = value.partition("]")
        return (address + bracket).lower()
    return value.partition(":")[0].lower()


def _decode_remaining_s(value: bytes | None) -> float | None:
    if value is None or not value.isdigit() or len(value) > 9:
        return None
    return min(int(value), _REMAINING_MS_MAX) / 1000


def _decode_key(value: bytes | None) -> int | None:
    if value is None or not value.isdigit() or len(value) > 5:
        return None
    key = int(value)
    return key if key <= model.KEY_MAX else None
