"""Forwards calls to backend servers, with claims and retries."""

from __future__ import annotations

import dataclasses
import time
from collections.abc import Callable
from typing import Any

from twisted.internet import defer, task

from celerystack import errors, ids, model
from celerystack.backend import exchange, http
from celerystack.peers import messages
from celerystack.requests import (
    abandoned,
    calls,
    dispatch,
    encoding,
    ports,
    replies,
    retries,
    targets,
)

BROKEN_ATTEMPTS_MAX = 2
"""Attempts of one call whose connections may break; a request that crashes servers would otherwise
be retried on one server after another."""

LOSS_REPORT_DELAY_S = dispatch.LOSS_WINDOW_S + 0.03
"""Time in seconds for a loss to be detected (`dispatch.LOSS_WINDOW_S`) and to be reported to the
peers (0.03 s)."""
QUARANTINED_REASON = "the request is quarantined: servers were lost while it ran"


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Dependencies:
    """Implementations of the protocols in `requests.ports`, which the forwarder uses."""

    routes: ports.RouteSource
    claims: ports.ClaimPort
    losses: ports.LossPort
    chooser: ports.Chooser
    budget: ports.RetryBudget


@dataclasses.dataclass(slots=True)
class _Progress:
    """State of a call across its attempts.

    Attributes
    ----------
    sent_at : float or None
        Clock time in seconds at which the current attempt left the queue for its server, before
        the write was permitted; None while it waits.
    """

    may_have_run: bool = False
    claimed: bool = False
    home_zones: tuple[ids.ZoneName, ...] = ()
    attempts: int = 0
    broken_attempts: int = 0
    sent_at: float | None = None
    avoid_until_by_server: dict[ids.ServerId, float] = dataclasses.field(default_factory=dict)


class Forwarder:
    """Forwards calls; one dispatcher per server.

    Parameters
    ----------
    dependencies : Dependencies
        Routes, claims, losses, chooser and retry budget.
    entry_vms : int
        Entry VMs that share the servers; see `set_entry_vms`.
    now : callable
        Monotonic clock in seconds; deadlines refer to it.
    """

    def __init__(
        self,
        reactor: Any,
        dependencies: Dependencies,
        *,
        entry_vms: int = 1,
        now: Callable[[], float] = time.monotonic,
    ) -> None:
        self._reactor = reactor
        self._dependencies = dependencies
        self._now = now
        self._finder = targets.TargetFinder(
            reactor, dependencies.routes, dependencies.chooser, now=now
        )
        self._dispatchers_by_server: dict[ids.ServerId, dispatch.Dispatcher] = {}
        self._abandoned = abandoned.AbandonedRequests()
        self._retired_dispatchers: list[dispatch.Dispatcher] = []
        self._entry_vms = entry_vms

    def forward(self, call: calls.Call) -> defer.Deferred[replies.Reply]:
        """Forward a call and return the reply; cancelling the Deferred closes its connection."""
        return defer.Deferred.fromCoroutine(self._forward(call))

    def close_connections_to(self, server_id: ids.ServerId) -> None:
        """Close all connections to a server whose keys were taken over.

        Every request in flight on it ends with an unknown outcome.
        """
        for dispatcher in self._dispatchers_of(server_id):
            dispatcher.close_connections("the server was taken over")

    def set_entry_vms(self, entry_vms: int) -> None:
        """Set the number of entry VMs that share the servers; see `shares.EntryVmCount.count`."""
        if entry_vms == self._entry_vms:
            return
        self._entry_vms = entry_vms
        for dispatcher in self._dispatchers_by_server.values():
            dispatcher.set_entry_vms(entry_vms)

    def in_flight(self, server_id: ids.ServerId) -> tuple[dispatch.PendingAttempt, ...]:
        """Return the attempts on open connections to a server that have not ended."""
        return tuple(
            attempt
            for dispatcher in self._dispatchers_of(server_id)
            for attempt in dispatcher.pending
        )

    def queue_state(self, server_id: ids.ServerId, deadline: float) -> dispatch.QueueState | None:
        """Return the queue for a server; None if this entry VM has not sent it any request."""
        dispatcher = self._dispatchers_by_server.get(server_id)
        return None if dispatcher is None else dispatcher.queue_state(deadline)

    def possibly_running_count(self, server_id: ids.ServerId) -> int:
        """Return how many attempts may still run on a server.

        All abandoned attempts together count as one.
        """
        return len(self.in_flight(server_id)) + int(self._abandoned.has(server_id))

    def forget_abandoned(self, server_id: ids.ServerId) -> None:
        """Record that the process of a server has ended, so no abandoned request runs on it."""
        self._abandoned.forget(server_id)

    def forget(self, server_id: ids.ServerId) -> None:
        """Drop a server that left the configuration or changed its address.

        Requests in flight on it finish; requests that wait for it look for another server.
        """
        dispatcher = self._dispatchers_by_server.pop(server_id, None)
        self._retired_dispatchers = [old for old in self._retired_dispatchers if old.pending]
        if dispatcher is not None:
            self._retired_dispatchers.append(dispatcher)
            dispatcher.retire()

    def close(self) -> None:
        """Close all connections to servers."""
        for dispatcher in (*self._dispatchers_by_server.values(), *self._retired_dispatchers):
            dispatcher.close()
        self._dispatchers_by_server.clear()
        self._retired_dispatchers.clear()

    async def _forward(self, call: calls.Call) -> replies.Reply:
        self._dependencies.budget.on_request(self._now())
        fingerprint = call.fingerprint()
        if self._dependencies.losses.is_quarantined(fingerprint):
            return replies.NotRun(QUARANTINED_REASON)
        progress = _Progress()
        state = messages.ClaimState.UNKNOWN
        try:
            reply = await self._run(call, fingerprint, progress)
            state = messages.ClaimState(replies.outcome_of(reply).value)
        except defer.CancelledError:
            if not progress.may_have_run:
                state = messages.ClaimState.NOT_RUN
            raise
        finally:
            if progress.claimed:
                self._dependencies.claims.record_final_state(
                    call.request_id, progress.home_zones, state
                )
        # A streamed response may still be truncated, so it does not count as completed.
        if isinstance(reply, replies.Answered) and isinstance(reply.response, http.HttpResponse):
            self._dependencies.losses.record_completion(fingerprint)
        return reply

    async def _run(
        self, call: calls.Call, fingerprint: ids.Fingerprint, progress: _Progress
    ) -> replies.Reply:
        while True:
            try:
                target = await self._finder.find(call, progress.avoid_until_by_server)
                if call.needs_claim and not progress.claimed:
                    earlier_state = await self._claim(call, target, progress)
                    if earlier_state is not None:
                        return replies.AlreadyClaimed(earlier_state)
                    continue
            except errors.NotRunError as error:
                return self._final_reply(call, progress, error.reason)
            attempt = await self._attempt(call, fingerprint, target, progress)
            if isinstance(attempt, replies.Answered):
                return attempt
            final = await self._prepare_retry(call, target, attempt, progress)
            if final is not None:
                return final

    async def _claim(
        self, call: calls.Call, target: targets.Target, progress: _Progress
    ) -> messages.ClaimState | None:
        zones: tuple[ids.ZoneName, ...] = ()
        if target.route is not None:
            zones = (target.server.zone, *target.route.previous_owner_zones)
        try:
            state = await self._dependencies.claims.claim(call.request_id, zones, call.deadline)
        except errors.CelerystackError as error:
            raise errors.NotRunError(
                f"the request id could not be claimed: {error.reason}", step="requests.claim"
            ) from error
        if state is not messages.ClaimState.ACCEPTED:
            return state
        progress.claimed = True
        progress.home_zones = zones
        return None

    async def _attempt(
        self,
        call: calls.Call,
        fingerprint: ids.Fingerprint,
        target: targets.Target,
        progress: _Progress,
    ) -> replies.Attempt:
        progress.attempts += 1
        progress.sent_at = None
        outcome = model.Outcome.UNKNOWN
        # Counted before it waits in the queue, so that the chooser takes the queues into account.
        self._dependencies.chooser.started(target.server, self._now())
        try:
            attempt = await self._send(call, fingerprint, target, progress)
            outcome = _attempt_outcome(attempt)
        finally:
            now = self._now()
            latency_s = 0.0 if progress.sent_at is None else now - progress.sent_at
            self._dependencies.chooser.finished(target.server, latency_s, outcome, now)
        progress.may_have_run |= isinstance(attempt, replies.Lost)
        return attempt

    async def _send(
        self,
        call: calls.Call,
        fingerprint: ids.Fingerprint,
        target: targets.Target,
        progress: _Progress,
    ) -> replies.Attempt:
        dispatcher = self._dispatcher(target.server, call.service)
        try:
            waiting = dispatcher.admit(call.deadline)
            if waiting is not None and not await waiting:
                return replies.Outdated()
        except errors.NotRunError as error:
            return replies.Shed(error.reason)
        pending = dispatch.PendingAttempt(
            dispatcher,
            None if target.route is None else target.route.shard,
            fingerprint,
            is_current=lambda: self._finder.is_current(call, target),
            may_send=self._dependencies.routes.may_send,
        )
        now = self._now()
        progress.sent_at = now
        try:
            sent = dispatcher.exchange(encoding.encode(call, target, now), pending, call.deadline)
            attempt = replies.classify_answer(await sent)
        except errors.NotRunError as error:
            return replies.Outdated() if pending.outdated else replies.NotSent(error.reason)
        except errors.OutcomeUnknownError as error:
            progress.broken_attempts += (
                pending.connection_outcome is not exchange.ConnectionOutcome.INTACT
            )
            self._record_abandoned(target.server.server, pending)
            return replies.Lost(error.reason)
        except defer.CancelledError:
            progress.may_have_run |= pending.sent
            self._record_abandoned(target.server.server, pending)
            raise
        self._abandoned.answered(target.server.server, self._now())
        _record_result(dispatcher, attempt, self._now() - now)
        return attempt

    def _record_abandoned(self, server: ids.ServerId, pending: dispatch.PendingAttempt) -> None:
        """Record an attempt that was sent and whose connection this entry VM closed."""
        if pending.sent and pending.connection_outcome is exchange.ConnectionOutcome.INTACT:
            self._abandoned.add(server, self._now())

    async def _prepare_retry(
        self,
        call: calls.Call,
        target: targets.Target,
        attempt: replies.Attempt,
        progress: _Progress,
    ) -> replies.Reply | None:
        """Wait as the retry rule says; return the final reply, or None if the call is retried."""
        if isinstance(attempt, replies.Lost) and progress.broken_attempts:
            # The loss must be detected and reported to the peers before this entry VM, or the
            # caller through another entry VM, sends the request to the next server.
            await task.deferLater(self._reactor, LOSS_REPORT_DELAY_S)
        if progress.broken_attempts >= BROKEN_ATTEMPTS_MAX:
            return self._final_reply(call, progress, "two servers broke off the request")
        rule = retries.rule_for(attempt, idempotent=call.idempotent, divided=call.service.divided)
        reason = retries.reason_of(attempt)
        now = self._now()
        if not rule.retry or now >= call.deadline:
            return self._final_reply(call, progress, reason)
        if rule.uses_budget and not self._dependencies.budget.try_retry(now):
            return self._final_reply(call, progress, f"{reason}; the retry budget is exhausted")
        if rule.avoid_server:
            progress.avoid_until_by_server[target.server.server] = now + retries.AVOID_S
        if rule.wait_first or progress.attempts > retries.IMMEDIATE_ATTEMPTS_MAX:
            delay_s = min(retries.backoff_s(progress.attempts), call.deadline - now)
            await targets.wait_for_route_change(
                self._reactor, self._dependencies.routes, call.service, delay_s
            )
        return None

    def _final_reply(self, call: calls.Call, progress: _Progress, reason: str) -> replies.Reply:
        if not progress.may_have_run:
            return replies.NotRun(reason)
        deadline_passed = self._now() >= call.deadline
        return replies.Unknown(reason, 504 if deadline_passed else 502)

    def _dispatcher(
        self, server: model.BackendServer, service: model.Service
    ) -> dispatch.Dispatcher:
        dispatcher = self._dispatchers_by_server.get(server.server)
        if dispatcher is not None and dispatcher.server.address == server.address:
            dispatcher.server = server
            return dispatcher
        self.forget(server.server)
        dispatcher = dispatch.Dispatcher(
            self._reactor,
            server,
            service,
            entry_vms=self._entry_vms,
            on_loss=self._dependencies.losses.record_loss,
            now=self._now,
        )
        self._dispatchers_by_server[server.server] = dispatcher
        return dispatcher

    def _dispatchers_of(self, server_id: ids.ServerId) -> list[dispatch.Dispatcher]:
        found = [
            dispatcher
            for dispatcher in self._retired_dispatchers
            if dispatcher.server.server == server_id
        ]
        current = self._dispatchers_by_server.get(server_id)
        return found if current is None else [*found, current]


def _record_result(
    dispatcher: dispatch.Dispatcher, attempt: replies.Attempt, latency_s: float
) -> None:
    match attempt:
        case replies.Answered(response=http.HttpResponse()):
            dispatcher.observe(latency_s, shed=False)
        case replies.Refused(kind=replies.RefusalKind.SHEDDING):
            dispatcher.observe(latency_s, shed=True)


def _attempt_outcome(attempt: replies.Attempt) -> model.Outcome:
    match attempt:
        case replies.Answered():
            return model.Outcome.ANSWERED
        case replies.Lost():
            return model.Outcome.UNKNOWN
        case _:
            return model.Outcome.NOT_RUN
