"""Decides about retries of each call, and returns the reply."""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol

from celerystack import ids
from celerystack.gateway import attempts, calls, config, refusals, retries
from celerystack.limits import crash_suspects
from celerystack.ranges import model

REJECTIONS_MAX = 3
"""Maximum number of times that servers may reject a call, after which it is refused."""
UNPLACED_MAX = 3
"""Maximum number of attempts for which no server was chosen, such as at a queue owner that was
lost, after which a call is refused."""
_UNSENT_REASONS = (calls.NotRunReason.NOT_SENT, calls.NotRunReason.KEY_MOVED)


class Attempts(Protocol):
    """Makes attempts of calls."""

    async def run(
        self,
        call: calls.Call,
        policy: config.ServicePolicy,
        tried: frozenset[model.ServerIncarnation],
    ) -> attempts.Tried | calls.Refused:
        """Make one attempt at a server that is not among the tried ones."""


class Dispatcher:
    """Makes the attempts of a call until one of them is final.

    Parameters
    ----------
    now : callable
        Clock in seconds to which deadlines refer.
    """

    def __init__(
        self,
        *,
        attempts: Attempts,
        key_routing: attempts.KeyRouting,
        budget: retries.RetryBudgetShare,
        now: Callable[[], float],
    ) -> None:
        self._attempts = attempts
        self._key_routing = key_routing
        self._budget = budget
        self._now = now
        self._policies: dict[ids.ServiceName, config.ServicePolicy] = {}

    def apply(self, policies: dict[ids.ServiceName, config.ServicePolicy]) -> None:
        """Apply the service policies of a new configuration."""
        self._policies = policies

    def policy(self, service: ids.ServiceName) -> config.ServicePolicy | None:
        """Return the policy of a service; None if it is not configured."""
        return self._policies.get(service)

    async def dispatch(self, call: calls.Call) -> calls.Reply:
        """Forward a call and return the reply, at the latest shortly after the call's deadline."""
        policy = self._policies.get(call.service)
        if policy is None:
            return refusals.refuse("the service is not configured", refusals.RETRY_AFTER_UNREADY_S)
        quarantine = self._key_routing.quarantine
        if quarantine.rejects(call.method, call.target, call.body, self._now()):
            return refusals.refuse("the request crashes servers", refusals.RETRY_AFTER_QUARANTINE_S)
        self._budget.on_request(call.service, self._now())
        if policy.sharded:
            if call.key is None:
                raise calls.BadRequestError(
                    400, "the request has no key", request_id=call.request_id
                )
            self._key_routing.count_request(call.service, call.key)
        return await self._run_attempts(call, policy)

    async def _run_attempts(self, call: calls.Call, policy: config.ServicePolicy) -> calls.Reply:
        tried: set[model.ServerIncarnation] = set()
        possible_runs = rejections = unplaced = 0
        fallback: calls.Reply | None = None
        while True:
            result = await self._attempts.run(call, policy, frozenset(tried))
            if isinstance(result, calls.Refused):
                return fallback or result
            incarnation, attempt = result.incarnation, result.attempt
            if incarnation is None:
                unplaced += 1
            elif not _has_moved(attempt):
                tried.add(incarnation)
            self._record(call, policy, result)
            match attempt:
                case calls.Refused():
                    return fallback or attempt
                case calls.Answered(response=response):
                    if response.status < 500:
                        self._record_completion(call)
                        return attempt
                    possible_runs += 1
                    fallback = attempt
                case calls.NotRun(reason=reason):
                    rejections += reason not in _UNSENT_REASONS
                case calls.OutcomeUnknown(detail=detail, broken=broken):
                    possible_runs += 1
                    if broken and incarnation is not None:
                        self._note_broken(call, incarnation)
                    fallback = self._failed_reply(call, detail)
            if rejections >= REJECTIONS_MAX or unplaced >= UNPLACED_MAX:
                return fallback or refusals.refuse_overload(call, "no server has run the request")
            final = self._final_reply(call, policy, attempt, possible_runs, fallback)
            if final is not None:
                return final

    def _record(
        self, call: calls.Call, policy: config.ServicePolicy, tried: attempts.Tried
    ) -> None:
        """Add an attempt, and the range map on which it was based, to the steps of a call."""
        version, confirmed_at = 0, 0.0
        token = 0
        now = self._now()
        if policy.sharded:
            version, confirmed_at = self._key_routing.map_version_and_confirmation(call.service)
            segment = self._key_routing.find(call.service, call.key or 0)
            token = 0 if segment is None else segment.token
        call.steps.append(
            calls.Step(
                at=now,
                outcome=_describe(tried.attempt),
                server=tried.incarnation,
                token=token,
                map_version=version,
                map_age_s=now - confirmed_at if version else 0.0,
            )
        )

    def _record_completion(self, call: calls.Call) -> None:
        quarantine = self._key_routing.quarantine
        quarantine.record_completion(call.method, call.target, call.body, self._now())

    def _note_broken(self, call: calls.Call, incarnation: model.ServerIncarnation) -> None:
        suspect = crash_suspects.fingerprint(call.method, call.target, call.body)
        self._key_routing.quarantine.note_broken(suspect, incarnation)

    def _final_reply(
        self,
        call: calls.Call,
        policy: config.ServicePolicy,
        attempt: calls.Attempt,
        possible_runs: int,
        fallback: calls.Reply | None,
    ) -> calls.Reply | None:
        """Return the reply if the call must not be retried, otherwise None.

        A retry after an attempt that was never sent does not use the retry budget.
        """
        now = self._now()
        may_have_run = not isinstance(attempt, calls.NotRun)
        if may_have_run and not call.route.idempotent:
            return fallback
        if may_have_run and policy.sharded and isinstance(attempt, calls.Answered):
            return fallback
        if possible_runs >= call.route.attempts_max or now >= call.deadline:
            return fallback or refusals.refuse(
                "no time or attempt is left", refusals.RETRY_AFTER_MINIMUM_S
            )
        arrived = not (isinstance(attempt, calls.NotRun) and attempt.reason in _UNSENT_REASONS)
        vms = self._key_routing.entry_vms
        if arrived and not self._budget.try_retry(call.service, now, entry_vms=vms):
            return fallback or refusals.refuse_overload(call, "the retry budget is used up")
        return None

    def _failed_reply(self, call: calls.Call, detail: str) -> calls.Failed:
        status = 504 if self._now() >= call.deadline else 502
        return calls.Failed(reason=detail, status=status)


def _has_moved(attempt: calls.Attempt | calls.Refused) -> bool:
    return isinstance(attempt, calls.NotRun) and attempt.reason is calls.NotRunReason.KEY_MOVED


def _describe(attempt: calls.Attempt | calls.Refused) -> str:
    match attempt:
        case calls.Answered(response=response):
            return f"answered {response.status}"
        case calls.NotRun(reason=reason, detail=detail):
            return f"not run: {reason.value} {detail}".rstrip()
        case calls.OutcomeUnknown(detail=detail):
            return f"may have run: {detail}"
    return attempt.reason
