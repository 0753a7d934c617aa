"""Results of calls and of the attempts that they consist of."""

from __future__ import annotations

import dataclasses
import enum

from celerystack import model
from celerystack.backend import exchange, http
from celerystack.peers import messages


@dataclasses.dataclass(frozen=True, slots=True)
class Answered:
    """The server's response, complete or as a stream."""

    response: http.HttpResponse | exchange.StreamedResponse


@dataclasses.dataclass(frozen=True, slots=True)
class NotRun:
    """The request was certainly not run."""

    reason: str
    status: int = 503


@dataclasses.dataclass(frozen=True, slots=True)
class Unknown:
    """The request may have run."""

    reason: str
    status: int = 502


@dataclasses.dataclass(frozen=True, slots=True)
class AlreadyClaimed:
    """The request id was claimed before; ``state`` is the state of the earlier claim."""

    state: messages.ClaimState


Reply = Answered | NotRun | Unknown | AlreadyClaimed


class RefusalKind(enum.Enum):
    """Reason for which a server refused a request before running it."""

    STALE_EPOCH = "stale-epoch"
    NO_LEASE = "no-lease"
    DRAINING = "draining"
    SHEDDING = "shedding"
    DEADLINE = "deadline"


@dataclasses.dataclass(frozen=True, slots=True)
class Refused:
    """The server refused the attempt explicitly; it was certainly not run."""

    kind: RefusalKind


@dataclasses.dataclass(frozen=True, slots=True)
class NotSent:
    """No byte of the attempt reached the server."""

    reason: str


@dataclasses.dataclass(frozen=True, slots=True)
class Lost:
    """The attempt may have run: no complete response arrived, or an unknown kind of refusal."""

    reason: str


@dataclasses.dataclass(frozen=True, slots=True)
class Shed:
    """The attempt was shed from this entry VM's queue for its server."""

    reason: str


@dataclasses.dataclass(frozen=True, slots=True)
class Outdated:
    """The attempt was not written because its server is no longer the target of the call."""


Attempt = Answered | Refused | NotSent | Outdated | Shed | Lost

REFUSAL_HEADER = b"x-celerystack-refusal"
_REFUSAL_STATUSES = (409, 503)


def classify_answer(response: http.HttpResponse | exchange.StreamedResponse) -> Attempt:
    """Classify a server's response.

    A refusal with an unknown reason counts as `Lost`: it proves neither that the request ran nor
    that it did not.
    """
    if response.status not in _REFUSAL_STATUSES:
        return Answered(response)
    value = response.header(REFUSAL_HEADER)
    if value is None:
        return Answered(response)
    if isinstance(response, exchange.StreamedResponse):
        response.abandon()
    try:
        return Refused(RefusalKind(value.decode("ascii", "replace").strip().lower()))
    except ValueError:
        return Lost(f"the server refused the request for an unknown reason {value!r}")


def outcome_of(reply: Reply) -> model.Outcome:
    """Return the outcome that is reported to the caller."""
    match reply:
        case Answered():
            return model.Outcome.ANSWERED
        case NotRun():
            return model.Outcome.NOT_RUN
    return model.Outcome.UNKNOWN
