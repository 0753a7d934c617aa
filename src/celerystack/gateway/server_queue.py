"""Requests of this VM to one server: concurrency limit, queue, and latency and failure tracking."""

from __future__ import annotations

import random
from collections.abc import Callable
from typing import Any

from celerystack import errors
from celerystack.backend import client, http
from celerystack.fleet import servers
from celerystack.gateway import call_queue, calls
from celerystack.limits import cold_starts, concurrency, deadline_queue, route_work

IN_FLIGHT_MAX = 4
"""Largest number of requests in flight from this VM to a server whose queue it does not own."""
RESPONSE_BYTES_MAX = 16 * 1024 * 1024
"""Largest response of a server in bytes."""
SILENT_FACTOR = 5.0
"""Multiple of the mean latency without an answer after which a server is suspected."""
SILENT_MINIMUM_S = 0.7
"""A server is suspected to be silent when its oldest request has been in flight for longer than
`SILENT_MINIMUM_S` and than `SILENT_FACTOR` mean latencies, and no answer has arrived in the
meantime."""
FAILURES_TO_SUSPECT = 2
"""Number of failures in a row after which a server is suspected, and of failed connection attempts
in a row after which it counts as unreachable."""
SUSPECT_S = 1.0
"""Time in seconds after the last failure for which a server is suspected, and after the last failed
connection attempt for which `ServerQueue.is_refusing` holds."""
LATENCY_WEIGHT = 0.15
"""Weight of one answer in the moving average of the latency."""
INITIAL_LATENCY_S = 0.12
"""Latency in seconds assumed before the first answer."""
PAUSE_MAX_S = 300.0
"""Longest pause in seconds that a server can ask for."""
STATED_LOAD_VALID_S = 0.5
"""Time in seconds for which the load that a server states counts."""
UNANSWERED_HALF_LIFE_S = 4.0
"""Time in seconds in which the effect of an unanswered call on the choice of servers halves.

A server that answers again is therefore tried again."""


class ServerQueue:
    """Queues calls for one incarnation of a server and sends them within a concurrency limit.

    Parameters
    ----------
    now : callable
        Clock in seconds to which deadlines refer.
    ordering : Ordering
        Order in which queued calls start.
    """

    def __init__(
        self,
        reactor: Any,
        record: servers.ServerRecord,
        *,
        pool: client.ServerPool,
        request_codec: calls.RequestCodec,
        entry_vms: int,
        cold: cold_starts.ColdStarts,
        on_answer: Callable[[ServerQueue, calls.Call, float], None],
        on_response: Callable[[ServerQueue, http.HttpResponse], None],
        now: Callable[[], float],
        ordering: deadline_queue.Ordering = deadline_queue.BY_PRIORITY,
        route_work: route_work.RouteWork | None = None,
    ) -> None:
        self.record = record
        self.incarnation = record.entry.incarnation
        self.pool = pool
        self._request_codec = request_codec
        self._cold = cold
        self._on_answer = on_answer
        self._on_response = on_response
        self._now = now
        self._limit = concurrency.ConcurrencyLimit(
            slots=record.entry.slots, entry_vms=entry_vms, maximum=IN_FLIGHT_MAX
        )
        self._calls = call_queue.CallQueue(
            reactor, self._limit, now=now, ordering=ordering, route_work=route_work
        )
        self._started_at: dict[int, float] = {}
        self._sequence = 0
        self._last_answer_at = now()
        self._failures = 0
        self._suspect_until = 0.0
        self._connect_failed_at = float("-inf")
        self._failed_connects = 0
        self._close_reason: str | None = None
        self.paused_until = float("-inf")
        self._is_owned = False
        self._foreign_load = 0
        self._foreign_load_until = float("-inf")
        self._unanswered_s = 0.0
        self._unanswered_at = now()
        self.latency_s = INITIAL_LATENCY_S
        self.tie_breaker = random.random()

    @property
    def load(self) -> int:
        """Number of calls that are in flight or queued."""
        return self._calls.load

    @property
    def foreign_load(self) -> int:
        """Number of requests of other senders that the server stated recently."""
        return self._foreign_load if self._now() < self._foreign_load_until else 0

    def note_stated_load(self, load: calls.ServerLoad) -> None:
        """Take the load that the server states, of which this VM knows its own part."""
        foreign = load.running + load.waiting - self._limit.in_flight
        self._foreign_load = max(0, foreign)
        self._foreign_load_until = self._now() + STATED_LOAD_VALID_S

    @property
    def has_room(self) -> bool:
        """Whether a call would be sent, and run by the server, at once."""
        if not self._calls.has_room:
            return False
        foreign = self.foreign_load
        return not foreign or self._limit.in_flight + foreign < self.record.entry.slots

    def wait_estimate_s(self) -> float:
        """Return the expected time that a new call would spend in the queue."""
        return self._calls.wait_estimate_s(self.latency_s)

    def expected_latency_s(self) -> float:
        """Return the mean latency, plus the time for which recent calls waited in vain.

        Without the latter a server that never answers would look as fast as an unknown one.
        """
        age_s = self._now() - self._unanswered_at
        return self.latency_s + self._unanswered_s * 0.5 ** (age_s / UNANSWERED_HALF_LIFE_S)

    def _note_unanswered(self, waited_s: float) -> None:
        """Record that a call was not answered before its deadline."""
        self._unanswered_s = self.expected_latency_s() - self.latency_s + waited_s
        self._unanswered_at = self._now()

    def set_sharing(self, *, entry_vms: int, is_owned: bool) -> None:
        """Set the number of entry VMs that share the server.

        Parameters
        ----------
        is_owned : bool
            Whether this VM owns the queue and so uses all slots of the server, but no more, because
            the server's own queue has no order.
        """
        self._is_owned = is_owned
        maximum = self.record.entry.slots if is_owned else IN_FLIGHT_MAX
        self._limit.set_sharing(entry_vms=entry_vms, maximum=maximum)
        self._calls.set_ordering(
            deadline_queue.IN_TIME_FIRST if is_owned else deadline_queue.BY_PRIORITY
        )

    @property
    def cold_until(self) -> float:
        """Clock time in seconds until which the server may be cold.

        A server that refused a connection may have restarted under its id, which its entry shows
        only later.
        """
        cold_s = self._cold.policy(self.record.entry.service).cold_s
        return max(self.record.warm_at, self._connect_failed_at + cold_s)

    def tolerates_request(self) -> bool:
        """Return whether the bound on requests to cold servers permits one more."""
        entry = self.record.entry
        return self._cold.may_send(
            self.incarnation, service=entry.service, zone=entry.zone, cold_until=self.cold_until
        )

    def _use_cold_bound(self) -> bool:
        """Count a request against the bound of cold servers; return whether it may be sent."""
        entry = self.record.entry
        return self._cold.try_send(
            self.incarnation, service=entry.service, zone=entry.zone, cold_until=self.cold_until
        )

    def is_suspect(self) -> bool:
        """Return whether recent failures or a missing answer suggest that the server is down."""
        now = self._now()
        if now < self._suspect_until:
            return True
        if not self._started_at:
            return False
        oldest = max(min(self._started_at.values()), self._last_answer_at)
        return now - oldest > max(SILENT_MINIMUM_S, SILENT_FACTOR * self.latency_s)

    @property
    def is_silent(self) -> bool:
        """Whether the server is suspected while calls are in flight."""
        return bool(self._started_at) and self.is_suspect()

    @property
    def is_refusing(self) -> bool:
        """Whether a connection attempt to the server failed recently."""
        return self._now() - self._connect_failed_at < SUSPECT_S

    @property
    def is_unreachable(self) -> bool:
        """Whether several connection attempts in a row failed, the last of them recently."""
        return self._failed_connects >= FAILURES_TO_SUSPECT and self.is_refusing

    def note_failure(self) -> None:
        """Record a failed connection attempt or a broken exchange."""
        self._failures += 1
        if self._failures >= FAILURES_TO_SUSPECT:
            self._suspect_until = self._now() + SUSPECT_S

    async def run(self, call: calls.Call) -> calls.Attempt | calls.Refused:
        """Wait in the queue, send the call and return the outcome."""
        match await self._calls.wait_for_turn(call):
            case call_queue.WaitOutcome.SHED:
                retry_after_s = (
                    self._calls.retry_after_s(call) if self._is_owned else self.wait_estimate_s()
                )
                return calls.Refused(
                    reason="the server's queue is too long", retry_after_s=retry_after_s
                )
            case call_queue.WaitOutcome.KEY_MOVED:
                return calls.NotRun(calls.NotRunReason.KEY_MOVED)
            case call_queue.WaitOutcome.SERVER_PAUSED:
                return calls.NotRun(calls.NotRunReason.NOT_SENT, "the server asked for a pause")
            case call_queue.WaitOutcome.SERVER_LEFT:
                return calls.NotRun(calls.NotRunReason.NOT_SENT, "the server left")
        self._sequence += 1
        attempt_number = self._sequence
        try:
            return await self._send(call, attempt_number)
        finally:
            self._started_at.pop(attempt_number, None)
            self._calls.release()
            self._close_pool_if_idle()

    @property
    def is_paused(self) -> bool:
        """Whether the server has asked this VM to send nothing now."""
        return self._now() < self.paused_until

    def pause(self, pause_s: float) -> None:
        """Send nothing for a time that the server has asked for; queued calls go elsewhere."""
        until = self._now() + min(pause_s, PAUSE_MAX_S)
        self.paused_until = max(self.paused_until, until)
        self._calls.remove_where(lambda _: True, call_queue.WaitOutcome.SERVER_PAUSED)

    def release_moved_calls(self, is_owned: Callable[[calls.Call], bool]) -> None:
        """Remove calls from the queue whose keys this server no longer owns."""
        self._calls.remove_where(lambda call: not is_owned(call), call_queue.WaitOutcome.KEY_MOVED)

    async def _send(self, call: calls.Call, attempt_number: int) -> calls.Attempt:
        started = self._now()
        remaining_s = call.deadline - started
        if remaining_s <= 0:
            return calls.NotRun(calls.NotRunReason.NOT_SENT, "the deadline has passed")
        if not self._use_cold_bound():
            return calls.NotRun(calls.NotRunReason.NOT_SENT, "the server is still cold")
        request = self._request_codec.encode(call, self.incarnation, remaining_s)
        self._started_at[attempt_number] = started
        try:
            response = await self.pool.exchange(
                request,
                deadline=call.deadline,
                response_bytes_max=RESPONSE_BYTES_MAX,
                matches_request=lambda headers: self._request_codec.matches_request(call, headers),
                allow_close_delimited=True,
                needs_new_connection=self._was_sent_before(call),
            )
        except errors.NotRunError as error:
            if isinstance(error, errors.ConnectFailedError):
                self._connect_failed_at = self._now()
                self._failed_connects += 1
                self.note_failure()
            return calls.NotRun(calls.NotRunReason.NOT_SENT, error.reason)
        except errors.TruncatedAnswerError as error:
            return calls.OutcomeUnknown(error.reason)
        except errors.BackendError as error:
            broken = self._now() < call.deadline
            if broken:
                self.note_failure()
            else:
                self._note_unanswered(self._now() - started)
            return calls.OutcomeUnknown(error.reason, broken=broken)
        attempt = self._request_codec.classify(call, self.incarnation, response)
        if _is_from_this_server(attempt):
            self._on_response(self, response)
        self._record_answer(call, attempt, self._now() - started)
        return attempt

    def _was_sent_before(self, call: calls.Call) -> bool:
        """Return whether the call was sent to this incarnation, which may repeat its response."""
        return any(step.server == self.incarnation for step in call.steps)

    def _record_answer(self, call: calls.Call, attempt: calls.Attempt, latency_s: float) -> None:
        now = self._now()
        self._last_answer_at = now
        self._failed_connects = 0
        match attempt:
            case calls.Answered():
                self.latency_s += LATENCY_WEIGHT * (latency_s - self.latency_s)
                self._calls.observe(call, latency_s)
                self._limit.on_answer(latency_s, now)
                self._failures = 0
                self._suspect_until = 0.0
                self._unanswered_s = 0.0
                self._on_answer(self, call, latency_s)
            case calls.NotRun(reason=calls.NotRunReason.FULL):
                self._limit.on_shed(now)

    def close(self, reason: str) -> None:
        """Remove all calls from the queue; close the connections when no exchange is running."""
        self._close_reason = reason
        self._calls.remove_where(lambda _: True, call_queue.WaitOutcome.SERVER_LEFT)
        self._close_pool_if_idle()

    def _close_pool_if_idle(self) -> None:
        if self._close_reason is not None and not self._started_at:
            self.pool.close(self._close_reason)

    @property
    def is_idle(self) -> bool:
        """Whether no call is in flight."""
        return not self._started_at and self._limit.in_flight == 0


def _is_from_this_server(attempt: calls.Attempt) -> bool:
    """Return whether a response is certainly this server's response to the call."""
    match attempt:
        case calls.Answered():
            return True
        case calls.NotRun(reason=reason):
            return reason is not calls.NotRunReason.OTHER_SERVER
    return False


def best(server_queues: list[ServerQueue], *, zone: str, now: float) -> ServerQueue | None:
    """Return the server queue with the lowest expected latency; None if there is none.

    A server that is suspected or whose entry expired is only chosen if there is no other, and one
    for which the call would have to wait only if no server has room. The order of servers with the
    same expected latency differs between VMs, which would otherwise all choose the same one.
    """
    return min(server_queues, key=lambda server_queue: _cost(server_queue, zone, now), default=None)


REMOTE_ZONE_COST_FACTOR = 1.1
"""Factor on the expected latency of a server in another availability zone."""
COLD_COST_FACTOR = 2.0
"""Factor on the expected latency of a server that has not warmed up yet."""


def _cost(server_queue: ServerQueue, zone: str, now: float) -> tuple[bool, bool, float, float]:
    load = server_queue.load + server_queue.foreign_load
    cost = (load + 1) * server_queue.expected_latency_s()
    if server_queue.record.entry.zone != zone:
        cost *= REMOTE_ZONE_COST_FACTOR
    if now < server_queue.record.warm_at:
        cost *= COLD_COST_FACTOR
    return (
        server_queue.is_suspect() or server_queue.record.expired,
        not server_queue.has_room,
        cost,
        server_queue.tie_breaker,
    )
