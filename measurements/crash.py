"""Requests that crash servers: servers lost per request, and other requests refused meanwhile.

Entry VMs send requests to servers with two slots. A crashing request takes down the server that
runs it, with all requests in flight there; its caller resends it until the end of the run. All
other requests are harmless: their callers resend them until they complete. Some of them are
popular, so that one fingerprint is often in flight at several servers. Servers are also lost for
other reasons.
"""

from __future__ import annotations

import dataclasses
import heapq
import random

from celerystack import ids
from celerystack.requests import quarantine
from measurements import figures

ENTRY_VMS = 9
SERVERS = 20
SLOTS = 2
SERVICE_S = 0.02
REQUESTS_PER_S = 1000.0
POPULAR_SHARE = 0.3
POPULAR_COUNT = 20
PEER_DELAY_S = 0.0015
DETECTION_S = 0.001
RESTART_S = 3.0
RESEND_DELAY_S = 0.3
CRASHING_AT_S = (5.0, 25.0, 45.0, 65.0, 85.0)
OTHER_LOSS_INTERVAL_S = 10.0
DURATION_S = 150.0
UNPROTECTED_DURATION_S = 60.0
SEED = 5


def run() -> list[figures.Figure]:
    """Run with the quarantine, and for a shorter time without it as the baseline."""
    protected = Simulation(protected=True, duration_s=DURATION_S)
    protected.run()
    unprotected = Simulation(protected=False, duration_s=UNPROTECTED_DURATION_S)
    unprotected.run()
    refused = list(protected.refused_s_by_request.values())
    return [
        figures.Figure(
            "servers_lost_per_crashing_request",
            protected.losses_per_request(0.0, 60.0),
            "servers/60s",
            unprotected.losses_per_request(0.0, UNPROTECTED_DURATION_S),
        ),
        figures.Figure(
            "servers_lost_in_second_minute",
            protected.losses_per_request(60.0, 120.0),
            "servers/60s",
        ),
        figures.Figure("innocent_requests", protected.harmless_requests, "requests"),
        figures.Figure("innocent_refused", len(refused), "requests"),
        figures.Figure("innocent_refused_mean_s", sum(refused) / max(1, len(refused)), "s"),
        figures.Figure("innocent_refused_max_s", max(refused, default=0.0), "s"),
    ]


@dataclasses.dataclass
class _Server:
    name: ids.ServerId
    incarnation: int = 0
    up_at: float = 0.0
    running: dict[int, tuple[int, ids.Fingerprint]] = dataclasses.field(default_factory=dict)


class Simulation:
    """Discrete-event simulation; events are ``(time, sequence number, kind, arguments)``."""

    def __init__(self, *, protected: bool, duration_s: float) -> None:
        self._rng = random.Random(SEED)
        self._protected = protected
        self._duration_s = duration_s
        self._quarantines = [quarantine.Quarantine() for _ in range(ENTRY_VMS)]
        self._servers = [_Server(ids.ServerId(f"s{index}")) for index in range(SERVERS)]
        self._events: list[tuple] = []
        self._sequence = 0
        self._popular_fingerprints = [self._fingerprint() for _ in range(POPULAR_COUNT)]
        self._first_sent_at_by_crashing: dict[ids.Fingerprint, float] = {}
        self._crash_times_by_request: dict[ids.Fingerprint, list[float]] = {}
        self._first_refused_at_by_request: dict[tuple[ids.Fingerprint, int], float] = {}
        self.refused_s_by_request: dict[tuple[ids.Fingerprint, int], float] = {}
        self.harmless_requests = 0

    def run(self) -> None:
        """Process events until the duration has passed."""
        for at in CRASHING_AT_S:
            request = self._fingerprint()
            self._first_sent_at_by_crashing[request] = at
            self._crash_times_by_request[request] = []
            self._schedule(at, "arrive", (request, 0))
        self._schedule(0.0, "source", ())
        self._schedule(OTHER_LOSS_INTERVAL_S, "other_loss", ())
        while self._events:
            now, _, kind, arguments = heapq.heappop(self._events)
            if now > self._duration_s:
                break
            getattr(self, f"_on_{kind}")(now, *arguments)

    def losses_per_request(self, start_s: float, end_s: float) -> float:
        """Return the mean number of servers lost per request in an interval of the request's age.

        Leaves out requests that miss the age ``end_s`` by more than ``CRASHING_AT_S[0]``.
        """
        ages_per_request = [
            [time - at for time in self._crash_times_by_request[request]]
            for request, at in self._first_sent_at_by_crashing.items()
            if at + end_s <= self._duration_s + CRASHING_AT_S[0]
        ]
        return sum(
            start_s <= age < end_s for request_ages in ages_per_request for age in request_ages
        ) / len(ages_per_request)

    def _fingerprint(self) -> ids.Fingerprint:
        return ids.Fingerprint(self._rng.randbytes(16))

    def _schedule(self, at: float, kind: str, arguments: tuple) -> None:
        self._sequence += 1
        heapq.heappush(self._events, (at, self._sequence, kind, arguments))

    def _on_source(self, now: float) -> None:
        popular = self._rng.random() < POPULAR_SHARE
        request = self._rng.choice(self._popular_fingerprints) if popular else self._fingerprint()
        self.harmless_requests += 1
        self._schedule(now, "arrive", (request, self.harmless_requests))
        self._schedule(now + self._rng.expovariate(REQUESTS_PER_S), "source", ())

    def _on_other_loss(self, now: float) -> None:
        self._lose(self._rng.choice(self._servers), now)
        self._schedule(now + OTHER_LOSS_INTERVAL_S, "other_loss", ())

    def _on_arrive(self, now: float, request: ids.Fingerprint, number: int) -> None:
        vm = self._rng.randrange(ENTRY_VMS)
        if self._protected and self._quarantines[vm].is_quarantined(request, now):
            if request not in self._first_sent_at_by_crashing:
                self._first_refused_at_by_request.setdefault((request, number), now)
            self._schedule(now + RESEND_DELAY_S, "arrive", (request, number))
            return
        usable = [s for s in self._servers if s.up_at <= now and len(s.running) < SLOTS]
        if not usable:
            self._schedule(now + 0.05, "arrive", (request, number))
            return
        server = self._rng.choice(usable)
        self._sequence += 1
        run = self._sequence
        server.running[run] = (vm, request)
        service_time_s = self._rng.expovariate(1.0 / SERVICE_S)
        self._schedule(now + service_time_s, "done", (server, run, vm, request, number))

    def _on_done(
        self, now: float, server: _Server, run: int, vm: int, request: ids.Fingerprint, number: int
    ) -> None:
        if run not in server.running:
            self._schedule(now + RESEND_DELAY_S, "arrive", (request, number))
            return
        if request in self._first_sent_at_by_crashing:
            self._crash_times_by_request[request].append(now)
            self._lose(server, now)
            self._schedule(now + RESEND_DELAY_S, "arrive", (request, number))
            return
        del server.running[run]
        self._resolve(request, number, now)
        for report in self._quarantines[vm].record_completion(request, now):
            self._share(vm, report, now)

    def _resolve(self, request: ids.Fingerprint, number: int, now: float) -> None:
        refused_at = self._first_refused_at_by_request.pop((request, number), None)
        if refused_at is not None:
            self.refused_s_by_request[request, number] = now - refused_at

    def _lose(self, server: _Server, now: float) -> None:
        incarnation = ids.Incarnation(str(server.incarnation))
        requests_by_vm: dict[int, list[ids.Fingerprint]] = {}
        for vm, request in server.running.values():
            requests_by_vm.setdefault(vm, []).append(request)
        server.running = {}
        server.incarnation += 1
        server.up_at = now + RESTART_S
        for vm, requests in requests_by_vm.items():
            self._schedule(now + DETECTION_S, "lost", (vm, server.name, incarnation, requests))

    def _on_lost(
        self,
        now: float,
        vm: int,
        server: ids.ServerId,
        incarnation: ids.Incarnation,
        requests: list[ids.Fingerprint],
    ) -> None:
        report = self._quarantines[vm].record_loss(server, incarnation, requests, now)
        self._share(vm, report, now)

    def _share(self, sender: int, report: object, now: float) -> None:
        for vm in range(ENTRY_VMS):
            if vm != sender:
                self._schedule(now + PEER_DELAY_S, "report", (vm, report))

    def _on_report(self, now: float, vm: int, report: object) -> None:
        answer = self._quarantines[vm].merge(report, now)
        if answer is not None:
            self._share(vm, answer, now)
