"""Retry rules for attempts that ended without a response."""

from __future__ import annotations

import dataclasses

from celerystack.requests import replies

BACKOFF_INITIAL_S = 0.02
"""Base of the exponential backoff in seconds; `backoff_s` doubles it with every attempt."""
BACKOFF_MAX_S = 0.2
"""Longest backoff in seconds."""
AVOID_S = 1.0
"""Time in seconds for which a call is not sent again to a server that failed it. Within this time
it is known whether a server whose connection broke has ended or is running."""

IMMEDIATE_ATTEMPTS_MAX = 8
"""After this many attempts every retry of a call is delayed, so that inconsistent routes cannot
cause a busy loop."""


@dataclasses.dataclass(frozen=True, slots=True)
class RetryRule:
    """Whether and how a call is retried after an attempt.

    Attributes
    ----------
    retry : bool
        Whether another attempt is allowed.
    uses_budget : bool
        Whether the retry must be covered by the retry budget.
    avoid_server : bool
        Whether the call must not go to the same server again for `AVOID_S`.
    wait_first : bool
        Whether to wait for a change of routes, or for the backoff, before the retry.
    """

    retry: bool = False
    uses_budget: bool = False
    avoid_server: bool = False
    wait_first: bool = False


_NO_RETRY = RetryRule()


def rule_for(attempt: replies.Attempt, *, idempotent: bool, divided: bool) -> RetryRule:
    """Return the retry rule for the result of an attempt.

    An attempt that was certainly not run may be retried whatever its method is, with two
    exceptions: a refusal because of the deadline, and an attempt of a divided service that was shed
    from this entry VM's queue. Attempts that were shed, and idempotent ones that may have run, are
    retried only within the retry budget.
    """
    match attempt:
        case replies.Refused(kind=replies.RefusalKind.DEADLINE):
            return _NO_RETRY
        case replies.Outdated():
            return RetryRule(retry=True)
        case replies.Shed():
            return RetryRule(retry=not divided, uses_budget=True, avoid_server=True)
        case replies.Refused(kind=replies.RefusalKind.SHEDDING):
            return RetryRule(
                retry=True, uses_budget=True, avoid_server=not divided, wait_first=divided
            )
        case replies.Refused() | replies.NotSent():
            return RetryRule(retry=True, avoid_server=not divided, wait_first=divided)
        case replies.Lost() if idempotent:
            return RetryRule(retry=True, uses_budget=True, avoid_server=True)
        case _:
            return _NO_RETRY


def backoff_s(attempts: int) -> float:
    """Return the longest wait before the next attempt, in seconds; exponential backoff."""
    return min(BACKOFF_MAX_S, BACKOFF_INITIAL_S * 2 ** min(attempts, 10))


def reason_of(attempt: replies.Attempt) -> str:
    """Return the reason to report if the attempt is not retried."""
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
