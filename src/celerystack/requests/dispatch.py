"""Exchanges of requests with one server: admission, connections and detection of its loss."""

from __future__ import annotations

import dataclasses
import time
from collections.abc import Callable
from typing import Any

from twisted.internet import defer

from celerystack import errors, ids, model
from celerystack.backend import client, exchange, http
from celerystack.limits import concurrency, deadline_queue, shares

LOSS_WINDOW_S = 0.05
"""Connections to a killed process break within a few ms of each other; a longer window would merge
two losses of a server that restarts quickly."""

SHED_REASON = "the request cannot be answered before its deadline"

Answer = http.HttpResponse | exchange.StreamedResponse
OnLoss = Callable[[ids.ServerId, tuple[ids.Fingerprint, ...]], None]


@dataclasses.dataclass(slots=True, eq=False)
class PendingAttempt:
    """One attempt on a server, from its write to the end of its response.

    Implements `exchange.ExchangeObserver`.

    Attributes
    ----------
    is_current : callable
        Returns whether the server is still the target of the request.
    may_send : callable
        Returns whether a request may be written to the server now.
    outdated : bool
        Whether the write was omitted because the server is no longer the target.
    sent : bool
        Whether the write was permitted, so that bytes may have been sent; set just before the
        write.
    connection_outcome : exchange.ConnectionOutcome
        Whether the connection broke during the attempt.
    """

    dispatcher: Dispatcher
    shard: ids.ShardId | None
    fingerprint: ids.Fingerprint
    is_current: Callable[[], bool]
    may_send: Callable[[model.BackendServer], bool]
    outdated: bool = False
    sent: bool = False
    connection_outcome: exchange.ConnectionOutcome = exchange.ConnectionOutcome.INTACT

    def may_write(self) -> bool:
        """Return whether to write the request; if so, add the attempt to the pending ones."""
        if not self.is_current():
            self.outdated = True
            return False
        if not self.may_send(self.dispatcher.server):
            return False
        self.sent = True
        self.dispatcher.pending.add(self)
        return True

    def on_end(self, connection_outcome: exchange.ConnectionOutcome) -> None:
        """Record the outcome and report it to the dispatcher."""
        self.connection_outcome = connection_outcome
        self.dispatcher.on_end(self)


@dataclasses.dataclass(slots=True)
class _PossibleLoss:
    """Attempts in flight when a first connection broke, and attempts that broke since then."""

    in_flight: set[PendingAttempt]
    broken: set[PendingAttempt]


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class QueueState:
    """The queue of this entry VM for one server, as an attempt that starts now would find it.

    Attributes
    ----------
    running : int
        Attempts that count against the concurrency limit.
    limit : int
        The concurrency limit.
    waiting : int
        Attempts that wait.
    service_time_s : float
        Moving average of the time that the server needs; 0 before any response.
    prospect : Prospect or None
        None if the attempt would be admitted at once.
    """

    running: int
    limit: int
    waiting: int
    service_time_s: float
    prospect: deadline_queue.Prospect | None


class Dispatcher:
    """Sends the requests of this entry VM to one server, within its concurrency limit.

    Parameters
    ----------
    entry_vms : int
        Entry VMs that share the server's connections and slots; 0 if this one has no share yet.
    on_loss : callable
        Called with the server id and the fingerprints of the broken attempts when every attempt in
        flight broke within `LOSS_WINDOW_S`.

    Attributes
    ----------
    pending : set of PendingAttempt
        Attempts that were written to an open connection and have not ended.
    """

    def __init__(
        self,
        reactor: Any,
        server: model.BackendServer,
        service: model.Service,
        *,
        entry_vms: int,
        on_loss: OnLoss,
        now: Callable[[], float] = time.monotonic,
    ) -> None:
        self.server = server
        self.pending: set[PendingAttempt] = set()
        self._service = service
        self._reactor = reactor
        self._on_loss = on_loss
        self._now = now
        self._possible_loss: _PossibleLoss | None = None
        self._loss_timer: Any = None
        self._admitting = False
        self._expiry_timer: Any = None
        self._expiry_at = 0.0
        share = shares.equal_share(connections=service.connections, entry_vms=entry_vms)
        self._queue: deadline_queue.DeadlineQueue[defer.Deferred[bool]] = (
            deadline_queue.DeadlineQueue()
        )
        self._limit = concurrency.ConcurrencyLimit(
            slots=service.slots, entry_vms=entry_vms, maximum=share
        )
        self.pool = client.ServerPool(reactor, address=server.address, limit=share, now=now)

    def set_entry_vms(self, entry_vms: int) -> None:
        """Change the number of entry VMs that share the server."""
        share = shares.equal_share(connections=self._service.connections, entry_vms=entry_vms)
        self._limit.set_sharing(entry_vms=entry_vms, maximum=share)
        self.pool.set_limit(share)
        self._admit_waiting()

    def admit(self, deadline: float) -> defer.Deferred[bool] | None:
        """Admit one attempt under the concurrency limit; None if it is admitted at once.

        The Deferred fires with True when the attempt is admitted, with False if the dispatcher was
        retired, and fails with `errors.NotRunError` if the attempt cannot be answered before its
        deadline. An admitted attempt must be passed to `exchange` in the same reactor turn; it
        counts against the limit until it ends.
        """
        if not self._queue and self._limit.try_start():
            return None
        waiting: defer.Deferred[bool] = defer.Deferred(self._queue.remove)
        shed = self._queue.push(
            waiting, deadline=deadline, now=self._now(), concurrency=self._limit.limit
        )
        self._fail_waiting(shed, SHED_REASON)
        self._schedule_expiry()
        return waiting

    def queue_state(self, deadline: float) -> QueueState:
        """Return what `admit` would do with an attempt; changes nothing."""
        limit = self._limit
        is_free = not self._queue and limit.in_flight < limit.limit
        return QueueState(
            running=limit.in_flight,
            limit=limit.limit,
            waiting=len(self._queue),
            service_time_s=self._queue.service_time_s,
            prospect=None
            if is_free
            else self._queue.prospect(deadline=deadline, now=self._now(), concurrency=limit.limit),
        )

    def _fail_waiting(self, waiting: list[defer.Deferred[bool]], reason: str) -> None:
        for item in waiting:
            item.errback(errors.NotRunError(reason, step="requests.queue", peer=self.server.server))

    def _schedule_expiry(self) -> None:
        """Set the timer to when the first waiting attempt can no longer be answered in time."""
        earliest = self._queue.next_expiry()
        if earliest is None:
            return
        if self._expiry_timer is not None:
            if self._expiry_at <= earliest:
                return
            self._expiry_timer.cancel()
        self._expiry_at = earliest
        delay_s = max(0.0, earliest - self._now())
        self._expiry_timer = self._reactor.callLater(delay_s, self._expire_waiting)

    def _expire_waiting(self) -> None:
        self._expiry_timer = None
        self._fail_waiting(self._queue.expire(self._now()), "the deadline passed in the queue")
        self._schedule_expiry()

    def _admit_waiting(self) -> None:
        # An attempt that ends at once calls this method again. Only the outer call runs the loop,
        # so that the stack does not grow with the queue.
        if self._admitting:
            return
        self._admitting = True
        try:
            self._fail_waiting(self._queue.expire(self._now()), "the deadline passed in the queue")
            while self._queue and self._limit.try_start():
                self._queue.pop().callback(True)
        finally:
            self._admitting = False

    def observe(self, latency_s: float, *, shed: bool) -> None:
        """Record that an attempt was answered in ``latency_s`` seconds, or shed by the server."""
        if shed:
            self._limit.on_shed(self._now())
        else:
            self._limit.on_answer(latency_s, self._now())
            self._queue.observe(latency_s)

    def exchange(
        self, request: http.HttpRequest, attempt: PendingAttempt, deadline: float
    ) -> defer.Deferred[Answer]:
        """Send a request; fails like `client.ServerPool.exchange_streaming`."""
        return self.pool.exchange_streaming(request, deadline=deadline, observer=attempt)

    def on_end(self, attempt: PendingAttempt) -> None:
        """Remove an attempt, record whether its connection broke, and admit waiting attempts."""
        if attempt.connection_outcome is not exchange.ConnectionOutcome.INTACT:
            if self._possible_loss is None:
                self._possible_loss = _PossibleLoss(set(self.pending), set())
                self._loss_timer = self._reactor.callLater(
                    LOSS_WINDOW_S, self._evaluate_possible_loss
                )
            self._possible_loss.broken.add(attempt)
        self.pending.discard(attempt)
        self._limit.release()
        if self._queue:
            self._admit_waiting()

    def _evaluate_possible_loss(self) -> None:
        self._loss_timer = None
        loss, self._possible_loss = self._possible_loss, None
        if loss is None or not loss.in_flight <= loss.broken:
            return
        fingerprints = tuple({attempt.fingerprint for attempt in loss.broken})
        if any(
            attempt.connection_outcome is exchange.ConnectionOutcome.BROKEN
            for attempt in loss.broken
        ):
            self._on_loss(self.server.server, fingerprints)
            return
        self.pool.check_reachable().addCallback(self._report_loss_unless_reachable, fingerprints)

    def _report_loss_unless_reachable(
        self, reachable: bool, fingerprints: tuple[ids.Fingerprint, ...]
    ) -> None:
        """Report a loss unless the server still accepts connections.

        A server that still accepts connections has only closed idle ones.
        """
        if not reachable:
            self._on_loss(self.server.server, fingerprints)

    def close_connections(self, reason: str) -> None:
        """Close all connections at once; pending attempts end with an unknown outcome."""
        self.pool.close_connections(reason)

    def retire(self) -> None:
        """Close connections as they become idle; waiting attempts must find another server."""
        self.pool.set_limit(0)
        for item in self._queue.expire(float("inf")):
            item.callback(False)

    def close(self) -> None:
        """Close the pool and fail the waiting attempts; nothing can be sent afterwards.

        Used at the shutdown of this entry VM; the attempts fail with the same reason then.
        """
        for timer in (self._expiry_timer, self._loss_timer):
            if timer is not None:
                timer.cancel()
        self._expiry_timer = self._loss_timer = None
        self._fail_waiting(self._queue.expire(float("inf")), "the server is no longer used")
        self.pool.close()
