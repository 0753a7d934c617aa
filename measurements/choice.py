"""Choice of server in a queueing simulation: latency when servers are slow, lie or fail."""

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
FAILURE_S = 0.001
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
    """What is wrong in one run.

    Attributes
    ----------
    load : float
        Requests/s relative to what all servers can do when none is slow.
    slow : int
        Number of servers that are `SLOW_FACTOR` times slower; the first ones.
    lies : bool
        Whether slow servers report no load.
    fails : int
        Number of servers that fail every request after `FAILURE_S`; the first ones.
    routers : int
        Routers that share the traffic, each knowing its own requests only.
    zones : int
        Zones over which routers and servers are spread.
    first_router_share : float or None
        Share of the traffic of the first router; None for equal shares.
    """

    load: float = 0.4
    slow: int = 0
    lies: bool = False
    fails: int = 0
    routers: int = 1
    zones: int = 1
    first_router_share: float | None = None


SCENARIOS = {
    "all_equal": Scenario(),
    "slow_server": Scenario(slow=1),
    "half_slow": Scenario(slow=SERVERS // 2),
    "half_slow_busy": Scenario(slow=SERVERS // 2, load=0.5),
    "lying_server": Scenario(slow=1, lies=True),
    "nine_routers": Scenario(routers=9),
    "nine_routers_slow_server": Scenario(slow=1, routers=9),
    "nine_routers_half_slow": Scenario(slow=SERVERS // 2, routers=9),
    "failing_server": Scenario(fails=1, routers=3),
    "zones": Scenario(routers=3, zones=3),
    "uneven_zones": Scenario(routers=3, zones=3, first_router_share=0.7),
}


@dataclasses.dataclass
class Result:
    """Latencies in seconds, and shares of requests that failed or crossed zones."""

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
    """Run the shipped policy and least outstanding, the best naive one, in every scenario."""
    found = []
    for name, scenario in SCENARIOS.items():
        shipped = simulate("shipped", scenario)
        base = simulate("least_outstanding", scenario)
        found.append(figures.Figure(f"{name}_p99_ms", shipped.p99_ms(), "ms", base.p99_ms()))
        if scenario.slow and not scenario.lies:
            queues = simulate("shipped_server_queues", scenario)
            found.append(
                figures.Figure(f"{name}_server_queues_p99_ms", queues.p99_ms(), "ms", base.p99_ms())
            )
        if scenario.fails:
            found.append(figures.Figure(f"{name}_failed", shipped.failed, "1", base.failed))
        if scenario.zones > 1:
            found.append(
                figures.Figure(f"{name}_other_zone", shipped.other_zone, "1", base.other_zone)
            )
    return found


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
            if scenario.fails:
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
    """Discrete events; requests wait in their router if the policy says so, else in the server."""

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
            self._push(at, self._arrive, (router, at))
        self._push(0.0, self._poll, ())
        while self._events:
            now, _, handler, arguments = heapq.heappop(self._events)
            handler(now, *arguments)
        sent = max(1, self._sent)
        return Result(self._latencies, self._failed / sent, self._other_zone / sent)

    def _push(self, at: float, handler: Callable, arguments: tuple) -> None:
        self._sequence += 1
        heapq.heappush(self._events, (at, self._sequence, handler, arguments))

    def _poll(self, now: float) -> None:
        for policy in self._routers:
            if isinstance(policy, choice_policies.ReportedLoad):
                policy.reported = [
                    0.0
                    if self._scenario.lies and server < self._scenario.slow
                    else self._running[server] + len(self._queues[server])
                    for server in range(SERVERS)
                ]
        if now < DURATION_S:
            self._push(now + POLL_S, self._poll, ())

    def _arrive(self, now: float, router: int, arrived_at: float) -> None:
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
            if server < self._scenario.fails:
                self._push(now + FAILURE_S + rtt, self._fail, (server, request))
            else:
                self._push(now + rtt / 2, self._reach, (server, request))

    def _reach(self, now: float, server: int, request: tuple) -> None:
        if self._running[server] < SLOTS:
            self._start(now, server, request)
        else:
            self._queues[server].append(request)

    def _start(self, now: float, server: int, request: tuple) -> None:
        self._running[server] += 1
        factor = SLOW_FACTOR if server < self._scenario.slow else 1.0
        took = factor * (0.5 * SERVICE_S + self._rng.expovariate(2.0 / SERVICE_S))
        self._push(now + took, self._finish, (server, request))

    def _finish(self, now: float, server: int, request: tuple) -> None:
        self._running[server] -= 1
        if self._queues[server]:
            self._start(now, server, self._queues[server].popleft())
        self._push(now + request[3] / 2, self._answer, (server, request))

    def _answer(self, now: float, server: int, request: tuple) -> None:
        router, arrived_at, sent_at, _ = request
        if arrived_at >= WARM_UP_S:
            self._latencies.append(now - arrived_at)
        self._routers[router].finished(server, now - sent_at, True, now)
        self._dispatch(router, now)

    def _fail(self, now: float, server: int, request: tuple) -> None:
        router, arrived_at, sent_at, _ = request
        self._failed += arrived_at >= WARM_UP_S
        self._routers[router].finished(server, now - sent_at, False, now)
        self._dispatch(router, now)
