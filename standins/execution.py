"""Execution of requests in the backend stand-in: slots, a bounded queue and runs."""

from __future__ import annotations

import collections
import dataclasses
import itertools
import random
import time
from collections.abc import Callable
from typing import Any

from standins import journal, lease_state


@dataclasses.dataclass(frozen=True, kw_only=True)
class Limits:
    """Capacity and speed of a server.

    Attributes
    ----------
    jitter : float
        Largest relative deviation of the service time, 0 to 1.
    cold_s, cold_factor : float
        For ``cold_s`` seconds after the start a run takes ``cold_factor`` times as long.
    """

    slots: int = 2
    queue: int = 16
    service_s: float = 0.005
    jitter: float = 0.0
    cold_s: float = 0.0
    cold_factor: float = 4.0


@dataclasses.dataclass(eq=False, kw_only=True)
class Job:
    """A request that is queued or running.

    Attributes
    ----------
    deadline : float or None
        `time.monotonic` time after which the request must not start.
    service_s : float or None
        Service time that replaces the configured one.
    on_refused : callable
        Called with the reason if the request is refused.
    on_done : callable
        Called with the `journal.Ending` of the run.
    before_end : callable
        Called when the service time is over, before the end is recorded.
    run : journal.Run or None
        None until the run starts.
    timer : IDelayedCall
        Ends the run after its service time.
    """

    service: str
    key: str
    shard: lease_state.ShardEpoch | None
    request_id: str
    method: str
    deadline: float | None
    service_s: float | None
    on_refused: Callable[[str], None]
    on_done: Callable[[journal.Ending], None]
    before_end: Callable[[], None] = lambda: None
    run: journal.Run | None = None
    timer: Any = None


class Executor:
    """Runs jobs in a fixed number of slots; a bounded queue holds the others.

    A server that checks leases ends its runs when its lease expires; otherwise a run could go on
    while the next owner serves the same key. If the process was paused past the expiry, the run is
    recorded as having ended at the expiry, since a paused process has no effect.
    """

    def __init__(
        self,
        reactor: Any,
        *,
        server: str,
        lease: lease_state.LeaseState,
        clock: lease_state.Clock,
        limits: Limits,
        writer: journal.Writer,
        divided: bool,
    ) -> None:
        self._reactor = reactor
        self._server = server
        self._lease = lease
        self._clock = clock
        self._limits = limits
        self._writer = writer
        self._divided = divided
        self._queued: collections.deque[Job] = collections.deque()
        self._running: list[Job] = []
        self._run_numbers = itertools.count(1)
        self._started_at = time.monotonic()

    @property
    def load(self) -> float:
        """Number of running requests divided by the number of slots."""
        return len(self._running) / self._limits.slots

    @property
    def waiting(self) -> int:
        """Number of queued requests."""
        return len(self._queued)

    def running_dropped(self) -> int:
        """Return the number of runs whose shard and epoch are no longer granted.

        The epoch is compared too: after a hot key got a shard of its own, a run that started under
        the base shard must prevent the hot shard from moving. A server of a service that is not
        divided counts all its runs while it drains.
        """
        if not self._divided:
            return len(self._running) if self._lease.draining else 0
        return sum(job.shard not in self._lease.granted for job in self._running)

    def submit(self, job: Job) -> None:
        """Start, queue or refuse a job; sheds load when the queue is full."""
        refusal = self._refusal(job, time.monotonic())
        if refusal is None and len(self._queued) >= self._limits.queue:
            refusal = "shedding"
        if refusal is not None:
            job.on_refused(refusal)
            return
        self._queued.append(job)
        self._start_next()

    def cancel(self, job: Job) -> None:
        """Cancel a queued or running job whose caller has closed its connection."""
        if job in self._running:
            self._end(job, journal.Ending.CANCELLED)
        elif job in self._queued:
            self._queued.remove(job)

    def end_expired(self) -> None:
        """End all runs if the lease has expired."""
        if not self._needs_lease:
            return
        if not self._lease.lease_valid(self._clock.stamp(time.monotonic())):
            for job in tuple(self._running):
                self._end(job, journal.Ending.LEASE_EXPIRED)

    def _refusal(self, job: Job, now: float) -> str | None:
        if self._lease.draining:
            return "draining"
        if job.deadline is not None and now >= job.deadline:
            return "deadline"
        if not self._divided:
            return None
        return self._lease.refusal(job.shard, stamp=self._clock.stamp(now))

    @property
    def _needs_lease(self) -> bool:
        return self._divided and self._lease.checked

    def _start_next(self) -> None:
        while self._queued and len(self._running) < self._limits.slots:
            job = self._queued.popleft()
            # The check and the recorded start use one time: a pause between them would otherwise
            # make the run appear to start under an expired lease.
            now = time.monotonic()
            refusal = self._refusal(job, now)
            if refusal is not None:
                job.on_refused(refusal)
                continue
            self._start(job, now)

    def _start(self, job: Job, now: float) -> None:
        shard = job.shard or lease_state.ShardEpoch(job.service, -1, -1)
        job.run = journal.Run(
            server=self._server,
            incarnation=self._lease.incarnation,
            run=next(self._run_numbers),
            service=job.service,
            key=job.key,
            shard=shard.shard,
            epoch=shard.epoch,
            token=self._lease.token,
            request_id=job.request_id,
            method=job.method,
            divided=self._divided,
            start=now,
        )
        self._writer.start(job.run)
        self._running.append(job)
        job.timer = self._reactor.callLater(self._duration_s(job), self._complete, job)

    def _duration_s(self, job: Job) -> float:
        limits = self._limits
        duration_s = limits.service_s if job.service_s is None else job.service_s
        if time.monotonic() < self._started_at + limits.cold_s:
            duration_s *= limits.cold_factor
        return duration_s * (1 + limits.jitter * random.uniform(-1, 1))

    def _complete(self, job: Job) -> None:
        self.end_expired()
        if job in self._running:
            job.before_end()
            self._end(job, journal.Ending.DONE)

    def _end(self, job: Job, ending: journal.Ending) -> None:
        end = time.monotonic()
        if self._needs_lease:
            expiry = self._clock.monotonic(self._lease.lease_until)
            end = max(job.run.start, min(end, expiry))
        self._running.remove(job)
        if job.timer.active():
            job.timer.cancel()
        self._writer.end(job.run, end=end, ending=ending)
        job.on_done(ending)
        self._start_next()

    def crash(self, job: Job) -> None:
        """Record that the run is ended by a crash of the process."""
        self._writer.end(job.run, end=time.monotonic(), ending=journal.Ending.CRASHED)
