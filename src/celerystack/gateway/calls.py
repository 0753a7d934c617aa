"""Requests of callers and what becomes of them."""

from __future__ import annotations

import dataclasses
import enum
from typing import Protocol

from celerystack import ids
from celerystack.backend import http
from celerystack.gateway import config
from celerystack.ranges import model
from celerystack.requests import callerhttp


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Step:
    """One decision about a call, for its log line.

    Attributes
    ----------
    at : float
        Clock time in seconds.
    server : Life or None
        Where the call was sent; None if it was not.
    token : int
        Fencing token of the key's range; 0 for a service that is not divided.
    map_version : int
        Row version of the range map that decided.
    map_age_s : float
        How long before it was last known to be current; infinite if it was not confirmed yet.
    """

    at: float
    outcome: str
    server: model.Life | None = None
    token: int = 0
    map_version: int = 0
    map_age_s: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Call:
    """One attempt of a caller.

    Attributes
    ----------
    key : int or None
        Key of the request; None if it has none.
    arrived_at : float
        Clock time in seconds.
    deadline : float
        When this VM gives up: the caller's deadline or the route's timeout, whichever is first.
    steps : list of Step
        What was decided so far.
    """

    request_id: ids.RequestId
    route: config.Route
    service: ids.ServiceName
    method: bytes
    target: bytes
    headers: http.HeaderList
    body: bytes
    key: int | None
    arrived_at: float
    deadline: float
    steps: list[Step] = dataclasses.field(default_factory=list)


@dataclasses.dataclass(frozen=True, slots=True)
class Answered:
    """The server's own answer, whole."""

    response: http.HttpResponse


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Refused:
    """The request has not run and will not; the caller may come back."""

    reason: str
    retry_after_s: float
    status: int = 503


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Failed:
    """The request may have run."""

    reason: str
    status: int = 502


Reply = Answered | Refused | Failed


class NotRunReason(enum.Enum):
    """Why a server did not run a request."""

    FULL = "full"
    KEY_NOT_HELD = "key not held"
    OTHER_SERVER = "another server has the address"
    NOT_SENT = "not sent"
    KEY_MOVED = "its key moved while it waited"


@dataclasses.dataclass(frozen=True, slots=True)
class NotRun:
    """An attempt that surely did not run."""

    why: NotRunReason
    detail: str = ""


@dataclasses.dataclass(frozen=True, slots=True)
class Lost:
    """An attempt that may have run and has no usable answer.

    ``broken`` means that the connection was lost before any byte of an answer.
    """

    detail: str
    broken: bool = False


Attempt = Answered | NotRun | Lost


class BadRequestError(Exception):
    """A caller's request cannot be forwarded.

    Parameters
    ----------
    status : int
        Status of the answer.
    request_id : RequestId or None
        Id of the request, if it was read.
    """

    def __init__(
        self, status: int, reason: str, *, request_id: ids.RequestId | None = None
    ) -> None:
        super().__init__(reason)
        self.status = status
        self.reason = reason
        self.request_id = request_id


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class CallerHeaders:
    """What the headers of a caller's request say."""

    request_id: ids.RequestId
    host: str
    remaining_s: float | None
    key: int | None
    forwarded: http.HeaderList


class Dialect(Protocol):
    """Header names and status codes between callers, this VM and the servers."""

    def read(self, request: callerhttp.CallerRequest) -> CallerHeaders:
        """Return what the headers of a request say.

        Raises
        ------
        BadRequestError
            A header is malformed.
        """

    def encode(self, call: Call, server: model.Life, remaining_s: float) -> http.HttpRequest:
        """Return the request for a server, which only that server may run."""

    def belongs(self, call: Call, headers: http.HeaderList) -> bool:
        """Return whether an answer with these headers may be the one to this call."""

    def classify(self, call: Call, server: model.Life, response: http.HttpResponse) -> Attempt:
        """Return what an answer says about the attempt."""

    def answer_headers(self, response: http.HttpResponse) -> http.HeaderList:
        """Return the headers of a server's answer that the caller gets."""

    def reply_headers(self, reply: Refused | Failed, call: Call | None) -> http.HeaderList:
        """Return the headers of an answer of this VM's own."""
