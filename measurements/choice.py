"""Queueing simulation of server choice when servers are slow, fail or misreport their load."""

from __future__ import annotations

import collections
import dataclasses
import heapq
import random
from collections.abc import Callable

from measurements import choice_policies, figures

SERVERS = 8
SLOTS = 2
SERVICE_S = 0.02
SLOW_FACTOR = 10.0
POLL_S = 0.5
DURATION_S = 40.0
WARM_UP_S = 10.0
OTHER_ZONE_RTT_S = 0.003
FAILURE_LATENCY_S = 0.001
SEED = 3

PolicyType = Callable[[int, int, random.Random, list[str]], choice_policies.Policy]
POLICIES: dict[str, PolicyType] = {
    "round_robin": choice_policies.RoundRobin,
    "least_outstanding": choice_policies.LeastOutstanding,
    "two_choices": choice_policies.TwoChoices,
    "reported_load": choice_policies.ReportedLoad,
    "temperature": choice_policies.Temperature,
    "shipped": choice_policies.Shipped,
    "shipped_server_queues": choice_policies.ShippedServerQueues,
}


@dataclasses.dataclass(frozen=True, kw_only=True)
class Scenario:
    """Load, faults and topology of one run.

    Attributes
    ----------
    load : float
        Requests/s as a fraction of the capacity of all servers when none is slow.
    slow_servers : int
        Number of servers, from the first one on, that are `SLOW_FACTOR` times slower.
    misreports_load : bool
        Whether slow servers report no load.
    failing_servers : int
        Number of servers, from the first one on, that fail each request after
        `FAILURE_LATENCY_S`.
    routers : int
        Routers that share the traffic; each knows only its own requests.
    zones : int
        Zones over which routers and servers are spread.
    first_router_share : float or None
        Share of the traffic of the first router; None for equal shares.
    """

    load: float = 0.4
    slow_servers: int = 0
    misreports_load: bool = False
    failing_servers: int = 0
    routers: int = 1
    zones: int = 1
    first_router_share: float | None = None


SCENARIOS = {
    "all_equal": Scenario(),
    "slow_server": Scenario(slow_servers=1),
    "half_slow": Scenario(slow_servers=SERVERS // 2),
    "half_slow_busy": Scenario(slow_servers=SERVERS // 2, load=0.5),
    "lying_server": Scenario(slow_servers=1, misreports_load=True),
    "nine_routers": Scenario(routers=9),
    "nine_routers_slow_server": Scenario(slow_servers=1, routers=9),
    "nine_routers_half_slow": Scenario(slow_servers=SERVERS // 2, routers=9),
    "failing_server": Scenario(failing_servers=1, routers=3),
    "zones": Scenario(routers=3, zones=3),
    "uneven_zones": Scenario(routers=3, zones=3, first_router_share=0.7),
}


@dataclasses.dataclass
class Result:
    """Latencies, and fractions of the requests that failed or were sent to another zone."""

    latencies_s: list[float]
    failed: float
    other_zone: float

    def p99_ms(self) -> float:
        """Return the 99th percentile in ms."""
        return 1000.0 * figures.percentile(self.latencies_s, 0.99)

    def median_ms(self) -> float:
        """Return the median in ms."""
        return 1000.0 * figures.percentile(self.latencies_s, 0.5)


def run() -> list[figures.Figure]:
    """Compare the shipped policy with least outstanding, the best naive one, in all scenarios."""
    result_figures = []
    for name, scenario in SCENARIOS.items():
        shipped = simulate("shipped", scenario)
        baseline = simulate("least_outstanding", scenario)
        result_figures.append(
            figures.Figure(f"{name}_p99_ms", shipped.p99_ms(), "ms", baseline.p99_ms())
        )
        if scenario.slow_servers and not scenario.misreports_load:
            queues = simulate("shipped_server_queues", scenario)
            result_figures.append(
                figures.Figure(
                    f"{name}_server_queues_p99_ms", queues.p99_ms(), "ms", baseline.p99_ms()
                )
            )
        if scenario.failing_servers:
            result_figures.append(
                figures.Figure(f"{name}_failed", shipped.failed, "1", baseline.failed)
            )
        if scenario.zones > 1:
            result_figures.append(
                figures.Figure(f"{name}_other_zone", shipped.other_zone, "1", baseline.other_zone)
            )
    return result_figures


def table(seeds: tuple[int, ...] = (SEED,)) -> str:
    """Return the full comparison (p99 and median in ms, mean over seeds) as a Markdown table."""
    lines = ["| scenario | " + " | ".join(POLICIES) + " |", "|---" * (len(POLICIES) + 1) + "|"]
    for name, scenario in SCENARIOS.items():
        cells = []
        for policy in POLICIES:
            results = [simulate(policy, scenario, seed=seed) for seed in seeds]
            p99 = sum(result.p99_ms() for result in results) / len(seeds)
            median = sum(result.median_ms() for result in results) / len(seeds)
            cell = f"{p99:.0f} / {median:.0f}"
            if scenario.failing_servers:
                cell += f" (failed {sum(r.failed for r in results) / len(seeds):.1%})"
            if scenario.zones > 1:
                cell += f" (other zone {sum(r.other_zone for r in results) / len(seeds):.0%})"
            cells.append(cell)
        lines.append(f"| {name} | " + " | ".join(cells) + " |")
    return "\n".join(lines)


def simulate(policy: str, scenario: Scenario, *, seed: int = SEED) -> Result:
    """Run one policy in one scenario."""
    return _Simulation(POLICIES[policy], scenario, seed).run()


class _Simulation:
    """Discrete-event simulation; a request waits in the router if the policy chooses no server."""

    def __init__(self, policy_type: PolicyType, scenario: Scenario, seed: int) -> None:
        self._scenario = scenario
        self._rng = random.Random(seed)
        zones = [f"z{index % scenario.zones}" for index in range(SERVERS)]
        self._routers = [
            policy_type(SERVERS, SLOTS, self._rng, [*zones, f"z{index % scenario.zones}"])
            for index in range(scenario.routers)
        ]
        self._waiting: list[collections.deque[float]] = [
            collections.deque() for _ in range(scenario.routers)
        ]
        self._queues: list[collections.deque[tuple]] = [collections.deque() for _ in range(SERVERS)]
        self._running = [0] * SERVERS
        self._events: list[tuple] = []
        self._sequence = 0
        self._latencies: list[float] = []
        self._sent = self._failed = self._other_zone = 0

    def run(self) -> Result:
        rate = self._scenario.load * SERVERS * SLOTS / SERVICE_S
        share = self._scenario.first_router_share
        weights = [1.0] * len(self._routers)
        if share is not None:
            others = len(self._routers) - 1
            weights = [share, *[(1.0 - share) / others] * others]
        at = 0.0
        while at < DURATION_S:
            at += self._rng.expovariate(rate)
            router = self._rng.choices(range(len(self._routers)), weights)[0]
            self._schedule(at, self._arrive_at_router, (router, at))
        self._schedule(0.0, self._poll_reports, ())
        while self._events:
            now, _, handler, arguments = heapq.heappop(self._events)
            handler(now, *arguments)
        sent = max(1, self._sent)
        return Result(self._latencies, self._failed / sent, self._other_zone / sent)

    def _schedule(self, at: float, handler: Callable, arguments: tuple) -> None:
        self._sequence += 1
        heapq.heappush(self._events, (at, self._sequence, handler, arguments))

    def _poll_reports(self, now: float) -> None:
        for policy in self._routers:
            if isinstance(policy, choice_policies.ReportedLoad):
                policy.reported = [
                    0.0
                    if self._scenario.misreports_load and server < self._scenario.slow_servers
                    else self._running[server] + len(self._queues[server])
                    for server in range(SERVERS)
                ]
        if now < DURATION_S:
            self._schedule(now + POLL_S, self._poll_reports, ())

    def _arrive_at_router(self, now: float, router: int, arrived_at: float) -> None:
        self._waiting[router].append(arrived_at)
        self._dispatch(router, now)

    def _dispatch(self, router: int, now: float) -> None:
        policy = self._routers[router]
        while self._waiting[router]:
            server = policy.choose(now, len(self._waiting[router]) - 1)
            if server is None:
                return
            arrived_at = self._waiting[router].popleft()
            policy.started(server, now)
            zones = self._scenario.zones
            rtt = OTHER_ZONE_RTT_S if server % zones != router % zones else 0.0
            request = (router, arrived_at, now, rtt)
            if arrived_at >= WARM_UP_S:
                self._sent += 1
                self._other_zone += rtt > 0.0
            if server < self._scenario.failing_servers:
                self._schedule(now + FAILURE_LATENCY_S + rtt, self._on_failure, (server, request))
            else:
                self._schedule(now + rtt / 2, self._arrive_at_server, (server, request))

    def _arrive_at_server(self, now: float, server: int, request: tuple) -> None:
        if self._running[server] < SLOTS:
            self._start(now, server, request)
        else:
            self._queues[server].append(request)

    def _start(self, now: float, server: int, request: tuple) -> None:
        self._running[server] += 1
        factor = SLOW_FACTOR if server < self._scenario.slow_servers else 1.0
        service_time_s = factor * (0.5 * SERVICE_S + self._rng.expovariate(2.0 / SERVICE_S))
        self._schedule(now + service_time_s, self._on_finish, (server, request))

    def _on_finish(self, now: float, server: int, request: tuple) -> None:
        self._running[server] -= 1
        if self._queues[server]:
            self._start(now, server, self._queues[server].popleft())
        self._schedule(now + request[3] / 2, self._on_answer, (server, request))

    def _on_answer(self, now: float, server: int, request: tuple) -> None:
        router, arrived_at, sent_at, _ = request
        if arrived_at >= WARM_UP_S:
            self._latencies.append(now - arrived_at)
        self._routers[router].finished(server, now - sent_at, True, now)
        self._dispatch(router, now)

    def _on_failure(self, now: float, server: int, request: tuple) -> None:
        router, arrived_at, sent_at, _ = request
        self._failed += arrived_at >= WARM_UP_S
        self._routers[router].finished(server, now - sent_at, False, now)
        self._dispatch(router, now)
