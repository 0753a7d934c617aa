"""Ways to choose a server that the comparison in measurements.choice runs; only one is shipped."""

from __future__ import annotations

import itertools
import random
import statistics
from typing import Protocol

from celerystack import ids, model
from celerystack.requests import choice


class Policy(Protocol):
    """What a router needs; servers are positions. ``choose`` returns None to let it wait."""

    def choose(self, now: float, waiting: int) -> int | None:
        """Return the server for the next request."""

    def started(self, server: int, now: float) -> None:
        """Record a request that was sent."""

    def finished(self, server: int, latency_s: float, answered: bool, now: float) -> None:
        """Record the end of a request."""


class RoundRobin:
    """Every server in turn."""

    def __init__(self, servers: int, slots: int, rng: random.Random, zones: list[str]) -> None:
        order = list(range(servers))
        rng.shuffle(order)
        self._order = itertools.cycle(order)

    def choose(self, now: float, waiting: int) -> int | None:
        """Return the next server in turn."""
        return next(self._order)

    def started(self, server: int, now: float) -> None:
        """Ignore the start."""

    def finished(self, server: int, latency_s: float, answered: bool, now: float) -> None:
        """Ignore the end."""


class LeastOutstanding:
    """The server with the fewest own requests in flight."""

    def __init__(self, servers: int, slots: int, rng: random.Random, zones: list[str]) -> None:
        self._rng = rng
        self._slots = slots
        self._outstanding = [0] * servers

    def choose(self, now: float, waiting: int) -> int | None:
        """Return one of the least used servers."""
        least = min(self._outstanding)
        return self._rng.choice([s for s, o in enumerate(self._outstanding) if o == least])

    def started(self, server: int, now: float) -> None:
        """Count the request."""
        self._outstanding[server] += 1

    def finished(self, server: int, latency_s: float, answered: bool, now: float) -> None:
        """Discount the request."""
        self._outstanding[server] -= 1


class TwoChoices(LeastOutstanding):
    """The less used of two random servers."""

    def choose(self, now: float, waiting: int) -> int | None:
        """Return the less used of a random pair."""
        pair = self._rng.sample(range(len(self._outstanding)), 2)
        return min(pair, key=lambda server: self._outstanding[server])


class ReportedLoad(LeastOutstanding):
    """The server with the least load by its own report, polled by the simulation."""

    def __init__(self, servers: int, slots: int, rng: random.Random, zones: list[str]) -> None:
        super().__init__(servers, slots, rng, zones)
        self.reported = [0.0] * servers

    def choose(self, now: float, waiting: int) -> int | None:
        """Return one of the servers with the least reported load."""
        least = min(self.reported)
        return self._rng.choice([s for s, load in enumerate(self.reported) if load == least])


class Temperature(LeastOutstanding):
    """The least used server, a hot server counting as more used.

    The temperature is a moving average of the latency's relative deviation from the median of the
    servers (idea: Rahad Bhuiya, "A load balancer inspired by how Emperor Penguins survive Antarctic
    winters", DEV Community, 2026). Temperatures below zero count as zero. Choosing between two
    random servers instead of all was worse: 27,534 ms at the 99th percentile with half of the
    servers slow (seeds 1 to 3), because one pair in five has slow servers only.
    """

    GAIN = 0.1
    COOLING_S = 5.0

    def __init__(self, servers: int, slots: int, rng: random.Random, zones: list[str]) -> None:
        super().__init__(servers, slots, rng, zones)
        self._latencies: list[float | None] = [None] * servers
        self._temperatures = [0.0] * servers
        self._at = [0.0] * servers

    def choose(self, now: float, waiting: int) -> int | None:
        """Return one of the servers with the lowest score."""
        scores = [self._score(server, now) for server in range(len(self._outstanding))]
        least = min(scores)
        return self._rng.choice([s for s, score in enumerate(scores) if score <= least])

    def finished(self, server: int, latency_s: float, answered: bool, now: float) -> None:
        """Update the temperature."""
        super().finished(server, latency_s, answered, now)
        last = self._latencies[server]
        self._latencies[server] = latency_s if last is None else last + 0.1 * (latency_s - last)
        median = statistics.median(latency for latency in self._latencies if latency is not None)
        anomaly = latency_s / median - 1.0
        self._temperatures[server] += self.GAIN * (anomaly - self._temperatures[server])
        self._at[server] = now

    def _score(self, server: int, now: float) -> float:
        cooled = max(0.0, 1.0 - (now - self._at[server]) / self.COOLING_S)
        heat = max(0.0, self._temperatures[server]) * cooled
        return (self._outstanding[server] + 1) * (1.0 + heat)


class Shipped:
    """The shipped `choice.ServerChooser`."""

    def __init__(self, servers: int, slots: int, rng: random.Random, zones: list[str]) -> None:
        name = ids.ServiceName("service")
        self._service = model.Service(name=name, prefixes=("/",), divided=False, slots=slots)
        self._servers = [
            model.BackendServer(
                server=ids.ServerId(str(index)),
                service=name,
                zone=ids.ZoneName(zones[index]),
                address="",
            )
            for index in range(servers)
        ]
        self._chooser = choice.ServerChooser(
            zone=ids.ZoneName(zones[servers]), seed=rng.getrandbits(32)
        )

    def choose(self, now: float, waiting: int) -> int | None:
        """Return the chosen server's position."""
        chosen = self._chooser.choose(self._service, self._servers, now, waiting=waiting)
        return None if chosen is None else int(chosen.server)

    def started(self, server: int, now: float) -> None:
        """Pass the start on."""
        self._chooser.started(ids.ServerId(str(server)), now)

    def finished(self, server: int, latency_s: float, answered: bool, now: float) -> None:
        """Pass the end on."""
        outcome = model.Outcome.ANSWERED if answered else model.Outcome.UNKNOWN
        self._chooser.finished(ids.ServerId(str(server)), latency_s, outcome, now)


class ShippedServerQueues(Shipped):
    """The shipped chooser with a queue per server, which a request joins at once."""

    def choose(self, now: float, waiting: int) -> int | None:
        """Return the server whose queue to join."""
        chosen = self._chooser.choose_queue(self._servers, now)
        return None if chosen is None else int(chosen.server)
