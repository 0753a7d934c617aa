"""Rules for what follows an attempt that brought no answer."""

from __future__ import annotations

import dataclasses

from celerystack.requests import replies

DELAY_FIRST_S = 0.02
DELAY_MAX_S = 0.2
AVOID_S = 1.0
"""A server that broke off an attempt has been found lost, or has shown that it runs, by then."""

ATTEMPTS_AT_ONCE = 8
"""Further attempts of a call wait first, so that a fault in the routes cannot cause a busy loop."""


@dataclasses.dataclass(frozen=True, slots=True)
class Rule:
    """What follows an attempt.

    Attributes
    ----------
    retry : bool
        Whether another attempt is allowed.
    budget : bool
        Whether the attempt must be covered by the retry budget.
    avoid_server : bool
        for `AVOID_S`.
        Whether the call must not go to the same server again
    wait : bool
        Whether to wait for a change of routes or a short delay first.
    """

    retry: bool = False
    budget: bool = False
    avoid_server: bool = False
    wait: bool = False


_STOP = Rule()


def rule_for(attempt: replies.Attempt, *, idempotent: bool, divided: bool) -> Rule:
    """Return what follows an attempt.

    An attempt that was surely not run may be repeated whatever the method. Load that a server
    sheds, and attempts that may have run, are repeated only within the retry budget.
    """
    match attempt:
        case replies.Refused(kind=replies.RefusalKind.DEADLINE):
            return _STOP
        case replies.Outdated():
            return Rule(retry=True)
        case replies.Shed():
            return Rule(retry=not divided, budget=True, avoid_server=True)
        case replies.Refused(kind=replies.RefusalKind.SHEDDING):
            return Rule(retry=True, budget=True, avoid_server=not divided, wait=divided)
        case replies.Refused() | replies.NotSent():
            return Rule(retry=True, avoid_server=not divided, wait=divided)
        case replies.Lost() if idempotent:
            return Rule(retry=True, budget=True, avoid_server=True)
        case _:
            return _STOP


def delay_s(attempts: int) -> float:
    """Return the longest wait before the next attempt, in seconds; doubles per attempt."""
    return min(DELAY_MAX_S, DELAY_FIRST_S * 2 ** min(attempts, 10))


def reason_of(attempt: replies.Attempt) -> str:
    """Return the reason to report if no further attempt follows."""
    match attempt:
        case replies.Refused(kind=kind):
            return f"the server refused the request: {kind.value}"
        case replies.NotSent(reason=reason) | replies.Shed(reason=reason):
            return reason
        case replies.Lost(reason=reason):
            return reason
        case replies.Outdated():
            return "the server is no longer the one to send to"
        case _:
            return ""
