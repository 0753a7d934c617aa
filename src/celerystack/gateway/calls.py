"""Requests of callers, the attempts to run them and the replies."""

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
    """One attempt of a call, written to the log line of the call.

    Attributes
    ----------
    at : float
        Clock time in seconds.
    server : ServerIncarnation or None
        Server incarnation that was chosen, also if the call was not sent; None if there was none.
    token : int
        Fencing token of the key's range; 0 for a service that is not sharded.
    map_version : int
        Row version of the range map at the end of the attempt.
    map_age_s : float
        Time since the map was last known to be current; infinite if it was never confirmed.
    """

    at: float
    outcome: str
    server: model.ServerIncarnation | None = None
    token: int = 0
    map_version: int = 0
    map_age_s: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Call:
    """One request of a caller.

    Attributes
    ----------
    key : int or None
        Key of the request; None if it has none.
    arrived_at : float
        Clock time in seconds.
    deadline : float
        Clock time in seconds at which this VM gives up: the earlier of the caller's deadline and
        the route's timeout.
    repeats_for_s : float
        Time in seconds before the arrival at which the caller first asked, as far as its deadline
        shows; 0 for a new request.
    steps : list of Step
        Attempts and decisions so far, for the log line.
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
    repeats_for_s: float = 0.0
    steps: list[Step] = dataclasses.field(default_factory=list)


@dataclasses.dataclass(frozen=True, slots=True)
class Answered:
    """A complete answer from the server."""

    response: http.HttpResponse


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Refused:
    """The request has not run and will not run; the caller may retry."""

    reason: str
    retry_after_s: float
    status: int = 503


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Failed:
    """The call ended without a usable answer; the request may have run."""

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
    """An attempt that is known not to have run."""

    reason: NotRunReason
    detail: str = ""


@dataclasses.dataclass(frozen=True, slots=True)
class OutcomeUnknown:
    """An attempt that may have run but has no usable answer.

    ``broken`` is True if the connection was lost before the first byte of an answer.
    """

    detail: str
    broken: bool = False


Attempt = Answered | NotRun | OutcomeUnknown


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ServerLoad:
    """Load that a server states in an answer.

    Attributes
    ----------
    running, waiting, slots : int
        Requests that run and wait at the server, and its slots.
    pace_percent : int or None
        How long work takes at this moment; 100 is usual. None if it is not stated.
    """

    running: int
    waiting: int
    slots: int
    pace_percent: int | None = None


class UnreadableHeaderError(Exception):
    """A header of a server's answer cannot be decoded."""


class BadRequestError(Exception):
    """A caller's request cannot be forwarded.

    Parameters
    ----------
    status : int
        Status of the answer.
    request_id : RequestId or None
        Id of the request, or None if the error occurred before it was read.
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
    """Parsed headers of a caller's request, and the headers to forward."""

    request_id: ids.RequestId
    host: str
    remaining_s: float | None
    key: int | None
    forwarded: http.HeaderList


class RequestCodec(Protocol):
    """Header names and status codes between callers, this VM and the servers."""

    def read(self, request: callerhttp.CallerRequest) -> CallerHeaders:
        """Parse the headers of a request.

        Raises
        ------
        BadRequestError
            A header is malformed.
        """

    def encode(
        self, call: Call, server: model.ServerIncarnation, remaining_s: float
    ) -> http.HttpRequest:
        """Return the request for a server, marked so that only that server incarnation runs it."""

    def matches_request(self, call: Call, headers: http.HeaderList) -> bool:
        """Return whether an answer with these headers can be the answer to this call."""

    def classify(
        self, call: Call, server: model.ServerIncarnation, response: http.HttpResponse
    ) -> Attempt:
        """Return the outcome of an attempt, according to the server's answer."""

    def is_leaving(self, response: http.HttpResponse) -> bool:
        """Return whether the server states that it leaves."""

    def rate_limit(self, response: http.HttpResponse) -> float | None:
        """Return the requests/s that the server accepts from all VMs; None if it states no limit.

        Raises
        ------
        UnreadableHeaderError
            The limit is not a number.
        """

    def pause_s(self, response: http.HttpResponse) -> float:
        """Return for how long the server wants no requests from this VM, in seconds; 0 if it may.

        Raises
        ------
        UnreadableHeaderError
            The time is not a number.
        """

    def server_load(self, response: http.HttpResponse) -> ServerLoad | None:
        """Return the load that the server states; None if it states none.

        Raises
        ------
        UnreadableHeaderError
            The figures are not whole numbers, or cannot be true.
        """

    def answer_headers(self, response: http.HttpResponse) -> http.HeaderList:
        """Return the headers of a server's answer that are passed on to the caller."""

    def reply_headers(self, reply: Refused | Failed, call: Call | None) -> http.HeaderList:
        """Return the headers of a reply that this VM generates itself."""
