"""Policies of server choice that `measurements.choice` compares; only one is shipped."""

from __future__ import annotations

import itertools
import random
import statistics
from typing import Protocol

from celerystack import ids, model
from celerystack.requests import server_choice


class Policy(Protocol):
    """Interface of a policy; servers are indices. ``choose`` returns None to queue the request."""

    def choose(self, now: float, waiting: int) -> int | None:
        """Return the server for the next request."""

    def started(self, server: int, now: float) -> None:
        """Record a request that was sent."""

    def finished(self, server: int, latency_s: float, answered: bool, now: float) -> None:
        """Record the end of a request."""


class RoundRobin:
    """Chooses the servers in turn."""

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
    """Chooses a server with the fewest requests of this router in flight."""

    def __init__(self, servers: int, slots: int, rng: random.Random, zones: list[str]) -> None:
        self._rng = rng
        self._slots = slots
        self._outstanding = [0] * servers

    def choose(self, now: float, waiting: int) -> int | None:
        """Return a random one of the least loaded servers."""
        least = min(self._outstanding)
        return self._rng.choice([s for s, o in enumerate(self._outstanding) if o == least])

    def started(self, server: int, now: float) -> None:
        """Count the request."""
        self._outstanding[server] += 1

    def finished(self, server: int, latency_s: float, answered: bool, now: float) -> None:
        """Subtract the request."""
        self._outstanding[server] -= 1


class TwoChoices(LeastOutstanding):
    """Chooses the less loaded of two random servers."""

    def choose(self, now: float, waiting: int) -> int | None:
        """Return the less loaded server of a random pair."""
        pair = self._rng.sample(range(len(self._outstanding)), 2)
        return min(pair, key=lambda server: self._outstanding[server])


class ReportedLoad(LeastOutstanding):
    """Chooses a server with the least reported load; the simulation polls the reports."""

    def __init__(self, servers: int, slots: int, rng: random.Random, zones: list[str]) -> None:
        super().__init__(servers, slots, rng, zones)
        self.reported = [0.0] * servers

    def choose(self, now: float, waiting: int) -> int | None:
        """Return a random one of the servers with the least reported load."""
        least = min(self.reported)
        return self._rng.choice([s for s, load in enumerate(self.reported) if load == least])


class Temperature(LeastOutstanding):
    """Chooses the least loaded server, with the load weighted by the server's temperature.

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
        self._updated_at = [0.0] * servers

    def choose(self, now: float, waiting: int) -> int | None:
        """Return a random one of the servers with the lowest score."""
        scores = [self._score(server, now) for server in range(len(self._outstanding))]
        least = min(scores)
        return self._rng.choice([s for s, score in enumerate(scores) if score <= least])

    def finished(self, server: int, latency_s: float, answered: bool, now: float) -> None:
        """Update the temperature."""
        super().finished(server, latency_s, answered, now)
        last = self._latencies[server]
        self._latencies[server] = latency_s if last is None else last + 0.1 * (latency_s - last)
        median = statistics.median(latency for latency in self._latencies if latency is not None)
        deviation = latency_s / median - 1.0
        self._temperatures[server] += self.GAIN * (deviation - self._temperatures[server])
        self._updated_at[server] = now

    def _score(self, server: int, now: float) -> float:
        cooled = max(0.0, 1.0 - (now - self._updated_at[server]) / self.COOLING_S)
        heat = max(0.0, self._temperatures[server]) * cooled
        return (self._outstanding[server] + 1) * (1.0 + heat)


class Shipped:
    """Adapter of the shipped `choice.ServerChooser`."""

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
        self._chooser = server_choice.ServerChooser(
            zone=ids.ZoneName(zones[servers]), seed=rng.getrandbits(32)
        )

    def choose(self, now: float, waiting: int) -> int | None:
        """Return the index of the chosen server."""
        chosen = self._chooser.choose(self._service, self._servers, now, waiting=waiting)
        return None if chosen is None else int(chosen.server)

    def started(self, server: int, now: float) -> None:
        """Report the start to the chooser."""
        self._chooser.started(ids.ServerId(str(server)), now)

    def finished(self, server: int, latency_s: float, answered: bool, now: float) -> None:
        """Report the end to the chooser."""
        outcome = model.Outcome.ANSWERED if answered else model.Outcome.UNKNOWN
        self._chooser.finished(ids.ServerId(str(server)), latency_s, outcome, now)


class ShippedServerQueues(Shipped):
    """The shipped chooser with one queue per server, which a request joins immediately."""

    def choose(self, now: float, waiting: int) -> int | None:
        """Return the server whose queue to join."""
        chosen = self._chooser.choose_for_queue(self._servers, now)
        return None if chosen is None else int(chosen.server)
