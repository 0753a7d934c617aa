"""Calls that wait until a limit on the calls in flight permits them."""

from __future__ import annotations

import enum
from collections.abc import Callable, Iterable
from typing import Any

from twisted.internet import defer

from celerystack.gateway import calls
from celerystack.limits import concurrency, deadline_queue, retry_times, route_work

SERVICE_TIME_WEIGHT = 0.15
"""Weight of one answer in the moving average of a route's service time."""
TARGET_SHARE = 0.9
"""Fraction of a route's target latency within which a call should be answered; the rest allows for
service times above the average."""


class WaitOutcome(enum.Enum):
    """Outcome of a wait in the queue."""

    TAKEN = "taken"
    SHED = "shed"
    KEY_MOVED = "key moved"
    SERVER_LEFT = "server left"
    NOT_OWNED = "queue not owned"
    SERVER_PAUSED = "server paused"


class _WaitingCall:
    """A call in the queue."""

    __slots__ = ("call", "turn")

    def __init__(self, call: calls.Call, turn: defer.Deferred[WaitOutcome]) -> None:
        self.call = call
        self.turn = turn


class CallQueue:
    """Lets calls start by priority and deadline, as a concurrency limit permits.

    Calls that are not expected to be answered before their deadline are shed, those of the least
    urgent routes first.

    Parameters
    ----------
    now : callable
        Clock in seconds to which deadlines refer.
    ordering : Ordering
        Order in which calls start.
    route_work : RouteWork or None
        Expected work of routes of which this queue has seen no answer yet.
    length_max : int
        Maximum number of waiting calls.
    """

    def __init__(
        self,
        reactor: Any,
        limit: concurrency.Limit,
        *,
        now: Callable[[], float],
        ordering: deadline_queue.Ordering = deadline_queue.BY_PRIORITY,
        route_work: route_work.RouteWork | None = None,
        length_max: int = deadline_queue.LENGTH_MAX,
    ) -> None:
        self.limit = limit
        self._reactor = reactor
        self._now = now
        self._route_work = route_work
        self._queue: deadline_queue.DeadlineQueue[_WaitingCall] = deadline_queue.DeadlineQueue(
            ordering=ordering, length_max=length_max
        )
        self._service_time_s_by_route: dict[str, float] = {}
        self._is_starting = False
        self._expiry_timer: Any = None
        self._expiry_at = 0.0

    def set_ordering(self, ordering: deadline_queue.Ordering) -> None:
        """Change the order of the calls that wait from now on."""
        self._queue.set_ordering(ordering)

    @property
    def load(self) -> int:
        """Number of calls that are in flight or queued."""
        return self.limit.in_flight + len(self._queue)

    @property
    def has_room(self) -> bool:
        """Whether a call would start at once."""
        return not self._queue and self.limit.in_flight < self.limit.limit

    def wait_estimate_s(self, latency_s: float) -> float:
        """Return the expected time that a new call would wait, given the mean latency."""
        ahead = self.load - self.limit.limit + 1
        return max(0, ahead) * latency_s / self.limit.limit

    @property
    def mean_service_time_s(self) -> float:
        """Mean latency of the answered calls of all routes in seconds."""
        return self._queue.service_time_s

    def retry_after_s(self, call: calls.Call) -> float:
        """Return when a call that was shed should come back, in seconds from now."""
        return retry_times.retry_after_s(
            calls_ahead=self._queue.count_up_to(call.route.priority),
            concurrency=self.limit.limit,
            service_time_s=self._queue.service_time_s,
            target_latency_s=call.route.target_latency_s,
            remaining_s=max(0.0, call.deadline - self._now()),
        )

    def observe(self, call: calls.Call, latency_s: float) -> None:
        """Record the latency of an answered call, to estimate that of others of its route."""
        self._queue.observe(latency_s)
        route = call.route.name
        known = self._service_time_s_by_route.get(route, latency_s)
        self._service_time_s_by_route[route] = known + SERVICE_TIME_WEIGHT * (latency_s - known)

    def service_time_s(self, call: calls.Call) -> float:
        """Return the mean latency of a call's route; of all routes before its first answer."""
        route = call.route.name
        known = self._service_time_s_by_route.get(route)
        if known is None and self._route_work is not None:
            known = self._route_work.expected_s(route)
        return self._queue.service_time_s if known is None else known

    def _due(self, call: calls.Call) -> float:
        """Return by when an answer is wanted.

        In a queue that sees all requests for its servers a repeated request is due earlier than a
        new one. Otherwise repetitions would take the places of those that can still be in time.
        """
        due = call.arrived_at + TARGET_SHARE * call.route.target_latency_s
        return due - call.repeats_for_s if self._queue.ordering.late_behind_all else due

    async def wait_for_turn(self, call: calls.Call) -> WaitOutcome:
        """Wait until the call may start; if it was taken, `release` must be called at its end."""
        if not self._queue and self.limit.try_start():
            self._queue.note_started(kind=call.route.name, priority=call.route.priority)
            return WaitOutcome.TAKEN
        turn: defer.Deferred[WaitOutcome] = defer.Deferred()
        waiting = _WaitingCall(call, turn)
        shed = self._queue.push(
            waiting,
            priority=call.route.priority,
            due=self._due(call),
            deadline=call.deadline,
            service_time_s=self.service_time_s(call),
            kind=call.route.name,
            now=self._now(),
            concurrency=self.limit.limit,
        )
        self._end_waits(shed, WaitOutcome.SHED)
        if not turn.called:
            self._expire_by(call.deadline - self.service_time_s(call))
        try:
            return await turn
        except defer.CancelledError:
            # Without a place: a call that has taken one is no longer cancelled here.
            self._queue.remove(waiting)
            raise

    def release(self) -> None:
        """Record that a call is no longer in flight, and start waiting ones."""
        self.limit.release()
        self.start_waiting_calls()

    def start_waiting_calls(self) -> None:
        """Start as many waiting calls as the limit permits.

        A call that ends at once releases its place while it is being started. The outermost loop
        then starts the next one: a loop of its own would nest as deeply as there are such calls.
        """
        if self._is_starting:
            return
        self._is_starting = True
        try:
            while self._queue and self.limit.try_start():
                self._start_next()
        finally:
            self._is_starting = False
        self._cancel_timer_if_empty()

    def _start_next(self) -> None:
        waiting = self._queue.pop(self._now())
        if waiting is None or waiting.turn.called:
            self.limit.release()
        else:
            waiting.turn.callback(WaitOutcome.TAKEN)

    def remove_where(self, predicate: Callable[[calls.Call], bool], outcome: WaitOutcome) -> None:
        """End the wait of the calls for which ``predicate`` is true."""
        removed = self._queue.remove_where(lambda waiting: predicate(waiting.call))
        self._end_waits(removed, outcome)
        self._cancel_timer_if_empty()

    def _end_waits(self, waiting_calls: Iterable[_WaitingCall], outcome: WaitOutcome) -> None:
        for waiting in waiting_calls:
            if not waiting.turn.called:
                waiting.turn.callback(outcome)

    def _expire_by(self, at: float) -> None:
        """Look for expired calls at the time ``at`` or before.

        The timer stays when the call for which it was set starts: looking for the next expiry at
        each start would cost time in proportion to the length of the queue.
        """
        if self._expiry_timer is not None:
            if self._expiry_at <= at:
                return
            self._expiry_timer.cancel()
        self._expiry_at = at
        self._expiry_timer = self._reactor.callLater(max(0.0, at - self._now()), self._expire)

    def _cancel_timer_if_empty(self) -> None:
        if self._expiry_timer is not None and not self._queue:
            self._expiry_timer.cancel()
            self._expiry_timer = None

    def _expire(self) -> None:
        self._expiry_timer = None
        self._end_waits(self._queue.expire(self._now()), WaitOutcome.SHED)
        expiry = self._queue.next_expiry()
        if expiry is not None:
            self._expire_by(expiry)
