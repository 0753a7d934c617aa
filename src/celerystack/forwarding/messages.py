"""Messages between an entry VM and the queue owners to which it forwards calls."""

from __future__ import annotations

import dataclasses
import enum
from typing import Any

import msgpack

from celerystack import errors, ids
from celerystack.backend import http
from celerystack.ranges import codec, model


class ResultKind(enum.Enum):
    """How an attempt ended at the queue owner."""

    ANSWERED = "answered"
    REFUSED = "refused"
    NOT_RUN = "not run"
    UNKNOWN = "unknown"


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ForwardedCall:
    """One attempt of a call that the owner should make.

    Attributes
    ----------
    number : int
        Identifies the call on its stream.
    priority, target_latency_s, timeout_s, attempts_max, idempotent
        Rules of the call's route.
    age_s, remaining_s : float
        Time in seconds since the arrival of the call, and until its deadline.
    repeats_for_s : float
        Time in seconds before the arrival at which the caller first asked.
    tried : tuple of ServerIncarnation
        Servers that must not be chosen again.
    """

    number: int
    request_id: ids.RequestId
    service: ids.ServiceName
    route: str
    priority: int
    idempotent: bool
    target_latency_s: float
    timeout_s: float
    attempts_max: int
    method: bytes
    target: bytes
    headers: http.HeaderList
    body: bytes
    key: int | None
    age_s: float
    repeats_for_s: float
    remaining_s: float
    tried: tuple[model.ServerIncarnation, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class CancelledCall:
    """The caller has left or its deadline has passed; the attempt with this number should end."""

    number: int


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Result:
    """Outcome of an attempt.

    Attributes
    ----------
    number : int
        Number of the call.
    incarnation : ServerIncarnation or None
        The server that was chosen; None if there was none.
    reason : str
        Reason of a refusal, or why the request has not run or may have run.
    detail : str
        Further explanation of `ResultKind.NOT_RUN`.
    is_broken : bool
        Whether the connection was lost before the first byte of an answer.
    response : HttpResponse or None
        The server's complete response, for `ResultKind.ANSWERED`.
    """

    number: int
    kind: ResultKind
    incarnation: model.ServerIncarnation | None = None
    reason: str = ""
    detail: str = ""
    retry_after_s: float = 0.0
    is_broken: bool = False
    response: http.HttpResponse | None = None


class Signal(enum.Enum):
    """Messages without content.

    A side that receives `PING` sends `PONG`. An owner that shuts down sends `DRAINING`, after which
    it gets no new calls.
    """

    PING = "ping"
    PONG = "pong"
    DRAINING = "draining"


Message = ForwardedCall | CancelledCall | Result | Signal


def _pairs(headers: http.HeaderList) -> list[list[bytes]]:
    return [[name, value] for name, value in headers]


def encode(message: Message) -> bytes:
    """Return a message as a msgpack array of its kind and its fields in order."""
    match message:
        case ForwardedCall():
            fields = [getattr(message, field.name) for field in dataclasses.fields(message)]
            fields[_HEADERS_INDEX] = _pairs(message.headers)
            fields[-1] = [[tried.server, tried.started_ms] for tried in message.tried]
            return msgpack.packb(["call", *fields])
        case CancelledCall(number=number):
            return msgpack.packb(["cancel", number])
        case Result():
            return msgpack.packb(["result", *_result_fields(message)])
        case Signal():
            return msgpack.packb([message.value])


_HEADERS_INDEX = [field.name for field in dataclasses.fields(ForwardedCall)].index("headers")


def _result_fields(result: Result) -> list[Any]:
    chosen, response = result.incarnation, result.response
    return [
        result.number,
        result.kind.value,
        None if chosen is None else [chosen.server, chosen.started_ms],
        result.reason,
        result.detail,
        result.retry_after_s,
        result.is_broken,
        None
        if response is None
        else [response.status, response.reason, _pairs(response.headers), response.body],
    ]


def decode(data: bytes, *, peer: str) -> Message:
    """Decode a message.

    Raises
    ------
    errors.BadFrameError
        The bytes are not a valid message.
    """
    try:
        kind, *fields = msgpack.unpackb(data)
        match kind:
            case "call":
                return _decode_call(*fields)
            case "cancel":
                return CancelledCall(int(*fields))
            case "result":
                return _decode_result(*fields)
        return Signal(kind)
    except Exception as error:
        raise errors.BadFrameError(
            f"malformed message: {error!r:.200}", step="forwarding.decode", peer=peer
        ) from error


def _decode_headers(pairs: Any) -> http.HeaderList:
    return tuple((bytes(name), bytes(value)) for name, value in pairs)


def _decode_call(*fields: Any) -> ForwardedCall:
    names = [field.name for field in dataclasses.fields(ForwardedCall)]
    call = ForwardedCall(**dict(zip(names, fields, strict=True)))
    return dataclasses.replace(
        call,
        number=int(call.number),
        priority=int(call.priority),
        target_latency_s=float(call.target_latency_s),
        timeout_s=float(call.timeout_s),
        method=bytes(call.method),
        target=bytes(call.target),
        body=bytes(call.body),
        key=None if call.key is None else int(call.key),
        age_s=float(call.age_s),
        repeats_for_s=float(call.repeats_for_s),
        remaining_s=float(call.remaining_s),
        headers=_decode_headers(call.headers),
        tried=tuple(codec.decode_incarnation(tried) for tried in call.tried),
    )


def _decode_result(*fields: Any) -> Result:
    number, kind, chosen, reason, detail, retry_after_s, is_broken, response = fields
    return Result(
        number=int(number),
        kind=ResultKind(kind),
        incarnation=None if chosen is None else codec.decode_incarnation(chosen),
        reason=str(reason),
        detail=str(detail),
        retry_after_s=float(retry_after_s),
        is_broken=bool(is_broken),
        response=None if response is None else _decode_response(*response),
    )


def _decode_response(status: Any, reason: Any, headers: Any, body: Any) -> http.HttpResponse:
    return http.HttpResponse(
        status=int(status),
        reason=bytes(reason),
        headers=_decode_headers(headers),
        body=bytes(body),
    )
