"""Exchanges with one server, and the detection of its loss."""

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
"""Connections of a killed process break within a few ms of each other; a longer window would merge
the losses of a server that restarts quickly."""

Answer = http.HttpResponse | exchange.StreamedResponse
OnLoss = Callable[[ids.ServerId, tuple[ids.Fingerprint, ...]], None]


@dataclasses.dataclass(slots=True, eq=False)
class PendingAttempt:
    """One attempt at a server, from the write to the end of its answer.

    Implements `exchange.Watcher`.

    Attributes
    ----------
    is_current : callable
        Returns whether the server is still the one to send to.
    permitted : callable
        Returns whether a request may be written to the server now.
    outdated : bool
        Whether the write was dropped because the server is no longer the one to send to.
    sent : bool
        Whether the write was permitted, so that bytes may have left.
    ending : exchange.Ending
        How the attempt ended.
    """

    dispatcher: Dispatcher
    shard: ids.ShardId | None
    fingerprint: ids.Fingerprint
    is_current: Callable[[], bool]
    permitted: Callable[[model.BackendServer], bool]
    outdated: bool = False
    sent: bool = False
    ending: exchange.Ending = exchange.Ending.INTACT

    def may_write(self) -> bool:
        """Check the permission to send and join the pending attempts."""
        if not self.is_current():
            self.outdated = True
            return False
        if not self.permitted(self.dispatcher.server):
            return False
        self.sent = True
        self.dispatcher.pending.add(self)
        return True

    def ended(self, ending: exchange.Ending) -> None:
        """Leave the pending attempts and give back the place."""
        self.ending = ending
        self.dispatcher.ended(self)


@dataclasses.dataclass(slots=True)
class _Break:
    """Flights when a connection broke, and those of them that broke since."""

    expected: set[PendingAttempt]
    broken: set[PendingAttempt]


class Dispatcher:
    """All requests of this entry VM to one server.

    Parameters
    ----------
    entry_vms : int
        Entry VMs that share the server's connections and slots; 0 if this one has no share yet.
    on_loss : callable
        Called with the server id and the fingerprints in flight when every attempt in flight broke
        within `LOSS_WINDOW_S`.

    Attributes
    ----------
    pending : set of PendingAttempt
        Attempts that are unanswered on an open connection.
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
        self._break: _Break | None = None
        self._break_timer: Any = None
        self._pumping = False
        self._timer: Any = None
        self._timer_at = 0.0
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
        self._pump()

    def admit(self, deadline: float) -> defer.Deferred[bool] | None:
        """Take a place for one attempt; None if it is granted at once.

        The Deferred fires with True when the place is granted, with False if the dispatcher was
        retired, and fails with `errors.NotRunError` if the attempt cannot be answered before
        its deadline. A granted place is given back by the end of the attempt that is passed to
        `exchange`, which must be called in the same reactor turn.
        """
        if not self._queue and self._limit.try_start():
            return None
        waiting: defer.Deferred[bool] = defer.Deferred(self._queue.remove)
        shed = self._queue.push(
            waiting, deadline=deadline, now=self._now(), concurrency=self._limit.limit
        )
        self._fail(shed, "the request cannot be answered before its deadline")
        self._arm()
        return waiting

    def _fail(self, waiting: list[defer.Deferred[bool]], reason: str) -> None:
        for item in waiting:
            item.errback(errors.NotRunError(reason, step="requests.queue", peer=self.server.server))

    def _arm(self) -> None:
        """Wake up when the first waiting request can no longer be answered in time."""
        earliest = self._queue.next_expiry()
        if earliest is None:
            return
        if self._timer is not None:
            if self._timer_at <= earliest:
                return
            self._timer.cancel()
        self._timer_at = earliest
        delay_s = max(0.0, earliest - self._now())
        self._timer = self._reactor.callLater(delay_s, self._expire)

    def _expire(self) -> None:
        self._timer = None
        self._fail(self._queue.expire(self._now()), "the deadline passed in the queue")
        self._arm()

    def _pump(self) -> None:
        # An attempt that ends at once calls this again; the outer call continues the loop, so the
        # stack does not grow with the queue.
        if self._pumping:
            return
        self._pumping = True
        try:
            self._fail(self._queue.expire(self._now()), "the deadline passed in the queue")
            while self._queue and self._limit.try_start():
                self._queue.pop().callback(True)
        finally:
            self._pumping = False

    def observe(self, latency_s: float, *, shed: bool) -> None:
        """Record how an attempt ended: answered in ``latency_s`` seconds, or shed."""
        if shed:
            self._limit.on_shed(self._now())
        else:
            self._limit.on_answer(latency_s, self._now())
            self._queue.observe(latency_s)

    def exchange(
        self, request: http.HttpRequest, attempt: PendingAttempt, deadline: float
    ) -> defer.Deferred[Answer]:
        """Send a request; fails as `client.ServerPool.exchange_streaming` does."""
        return self.pool.exchange_streaming(request, deadline=deadline, watcher=attempt)

    def ended(self, attempt: PendingAttempt) -> None:
        """Remove an attempt, note whether its connection broke, and start waiting attempts."""
        if attempt.ending is not exchange.Ending.INTACT:
            if self._break is None:
                self._break = _Break(set(self.pending), set())
                self._break_timer = self._reactor.callLater(LOSS_WINDOW_S, self._judge_break)
            self._break.broken.add(attempt)
        self.pending.discard(attempt)
        self._limit.release()
        if self._queue:
            self._pump()

    def _judge_break(self) -> None:
        self._break_timer = None
        seen, self._break = self._break, None
        if seen is None or not seen.expected <= seen.broken:
            return
        fingerprints = tuple({attempt.fingerprint for attempt in seen.broken})
        if any(attempt.ending is exchange.Ending.BROKEN for attempt in seen.broken):
            self._on_loss(self.server.server, fingerprints)
            return
        self.pool.check_reachable().addCallback(self._report_unless, fingerprints)

    def _report_unless(self, reachable: bool, fingerprints: tuple[ids.Fingerprint, ...]) -> None:
        """Report a loss unless the server accepts connections, so only closed an idle one."""
        if not reachable:
            self._on_loss(self.server.server, fingerprints)

    def lose(self, reason: str) -> None:
        """Close all connections at once; pending attempts end with an unknown outcome."""
        self.pool.close_connections(reason)

    def retire(self) -> None:
        """Close the connections as they become idle and send the waiting attempts away."""
        self.pool.set_limit(0)
        for item in self._queue.expire(float("inf")):
            item.callback(False)

    def close(self) -> None:
        """Close the pool; nothing can be sent afterwards."""
        for timer in (self._timer, self._break_timer):
            if timer is not None:
                timer.cancel()
        self._timer = self._break_timer = None
        self._fail(self._queue.expire(float("inf")), "the server is no longer used")
        self.pool.close()
