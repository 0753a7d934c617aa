"""Simulated time, clocks, network and table for the randomized lease tests."""

from __future__ import annotations

import dataclasses
import heapq
import itertools
import random
from collections.abc import Callable
from typing import Any

CLOCK_RATE_MAX = 1.0049
"""The rates of clocks at this rate and its inverse differ by less than `timing.CLOCK_DRIFT`."""


class Scheduler:
    """Runs callbacks in the order of the simulated global time."""

    def __init__(self) -> None:
        self.time = 0.0
        self._queue: list[tuple[float, int, Callable[[], None]]] = []
        self._numbers = itertools.count()

    def call_later(self, delay_s: float, callback: Callable[[], None]) -> None:
        heapq.heappush(self._queue, (self.time + delay_s, next(self._numbers), callback))

    def run_until(self, end: float, after_each: Callable[[], None]) -> None:
        while self._queue and self._queue[0][0] <= end:
            self.time, _, callback = heapq.heappop(self._queue)
            callback()
            after_each()
        self.time = end


class Clock:
    """A monotonic clock of one VM with its own origin and rate; it can be stopped."""

    def __init__(self, scheduler: Scheduler, rng: random.Random) -> None:
        self._scheduler = scheduler
        self._origin = rng.uniform(0.0, 1000.0)
        self._rate = rng.choice((1 / CLOCK_RATE_MAX, 1.0, CLOCK_RATE_MAX))
        self._stopped_s = 0.0
        self._stopped_at: float | None = None

    def read(self) -> float:
        time = self._scheduler.time if self._stopped_at is None else self._stopped_at
        return self._origin + self._rate * (time - self._stopped_s)

    def stop(self) -> None:
        self._stopped_at = self._scheduler.time

    def resume(self) -> None:
        if self._stopped_at is not None:
            self._stopped_s += self._scheduler.time - self._stopped_at
            self._stopped_at = None


class Network:
    """Delays, duplicates, reorders and loses messages; links between hosts can be cut."""

    def __init__(self, scheduler: Scheduler, rng: random.Random, *, loss: float) -> None:
        self._scheduler = scheduler
        self._rng = rng
        self._loss = loss
        self._cut_until_by_pair: dict[frozenset[str], float] = {}

    def cut(self, left: str, right: str, duration_s: float) -> None:
        pair = frozenset((left, right))
        end = self._scheduler.time + duration_s
        self._cut_until_by_pair[pair] = max(end, self._cut_until_by_pair.get(pair, 0.0))

    def is_cut(self, left: str, right: str) -> bool:
        return self._cut_until_by_pair.get(frozenset((left, right)), 0.0) > self._scheduler.time

    def send(self, source: str, target: str, deliver: Callable[[], None]) -> None:
        if self.is_cut(source, target) or self._rng.random() < self._loss:
            return
        copies = 2 if self._rng.random() < self._loss else 1
        for _ in range(copies):
            self._scheduler.call_later(self._delay_s(), deliver)

    def _delay_s(self) -> float:
        if self._rng.random() < self._loss:
            return self._rng.uniform(0.02, 1.2)
        return self._rng.uniform(0.0005, 0.004)


@dataclasses.dataclass(frozen=True)
class Snapshot:
    """The table after commit ``number``: (version, value) by key."""

    number: int
    rows_by_key: dict[tuple[str, Any], tuple[int, Any]]

    def version(self, key: tuple[str, Any]) -> int:
        return self.rows_by_key.get(key, (0, None))[0]

    def value(self, key: tuple[str, Any]) -> Any:
        return self.rows_by_key.get(key, (0, None))[1]


@dataclasses.dataclass(frozen=True)
class Transaction:
    """Writes that are applied only if every row has the expected version."""

    versions_by_key: dict[tuple[str, Any], int]
    values_by_key: dict[tuple[str, Any], Any]


class Table:
    """A table service with conditional transactions and outages."""

    def __init__(self, scheduler: Scheduler) -> None:
        self._scheduler = scheduler
        self._down_until = 0.0
        self.snapshot = Snapshot(0, {})

    def start_outage(self, duration_s: float) -> None:
        self._down_until = max(self._down_until, self._scheduler.time + duration_s)

    @property
    def is_up(self) -> bool:
        return self._scheduler.time >= self._down_until

    def commit(self, transaction: Transaction) -> bool:
        old = self.snapshot
        expected = transaction.versions_by_key.items()
        if not self.is_up or any(old.version(key) != version for key, version in expected):
            return False
        rows = dict(old.rows_by_key)
        for key, value in transaction.values_by_key.items():
            rows[key] = (old.version(key) + 1, value)
        self.snapshot = Snapshot(old.number + 1, rows)
        return True
