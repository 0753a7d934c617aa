"""Probes of single keys at a fine grain, and the times for which the keys were not served."""

from __future__ import annotations

import asyncio
import bisect
import dataclasses
import itertools
import json
import random
import threading
import time
from collections.abc import Sequence
from typing import Self

import h11

from standins import load

DEADLINE_MS = 200
"""Deadline of a probe. The router holds a request for an unserved key until its deadline, so a
longer one would leave more probes open at a time and not change when the key is served again."""

GRACE_S = 0.2
ANSWERED = "answered"


@dataclasses.dataclass(frozen=True)
class Answered:
    """An answered probe; times are `time.monotonic` in seconds."""

    start: float
    end: float
    server: str


@dataclasses.dataclass(frozen=True)
class Failed:
    """A probe that was not answered; ``reason`` is the status and body or the error."""

    start: float
    end: float
    key: str
    address: str
    reason: str


class Prober:
    """Sends GET requests for each key at a fixed interval, each to the next entry VM in turn.

    A probe does not wait for the one before it, so an unanswered probe does not coarsen the grain.

    Parameters
    ----------
    targets : sequence of load.Target
        Entry VMs to send to.
    prefix : str
        Path prefix of the service.
    interval_s : float
        Time between two probes of one key.
    """

    def __init__(
        self,
        targets: Sequence[load.Target],
        *,
        prefix: str,
        keys: Sequence[str],
        interval_s: float,
    ) -> None:
        self._targets = tuple(targets)
        self._prefix = prefix
        self._interval_s = interval_s
        self._stop = threading.Event()
        self._run_id = f"{random.getrandbits(48):012x}"
        self._idle_by_address: dict[str, list[load.Connection]] = {}
        self._thread = threading.Thread(target=self._run, daemon=True)
        self.answered_by_key: dict[str, list[Answered]] = {key: [] for key in keys}
        self.failed: list[Failed] = []

    def __enter__(self) -> Self:
        self._thread.start()
        return self

    def __exit__(self, *_: object) -> None:
        self._stop.set()
        self._thread.join()

    def answered_since(self, at: float) -> bool:
        """Return whether each key has an answered probe that started at ``at`` or later."""
        return all(
            any(probe.start >= at for probe in reversed(found[-50:]))
            for found in self.answered_by_key.values()
        )

    def _run(self) -> None:
        asyncio.run(self._probe_all())

    async def _probe_all(self) -> None:
        await asyncio.gather(*(self._probe_key(key) for key in self.answered_by_key))
        for idle in self._idle_by_address.values():
            for connection in idle:
                connection.close()

    async def _probe_key(self, key: str) -> None:
        offset_s = random.uniform(0, self._interval_s)
        next_at = time.monotonic() + offset_s
        number = random.randrange(len(self._targets))
        async with asyncio.TaskGroup() as group:
            while not self._stop.is_set():
                await asyncio.sleep(max(0.0, next_at - time.monotonic()))
                next_at = max(next_at + self._interval_s, time.monotonic())
                number += 1
                target = self._targets[number % len(self._targets)]
                group.create_task(self._probe(key, target.address, f"{self._run_id}-{number}"))

    async def _probe(self, key: str, address: str, number: str) -> None:
        idle = self._idle_by_address.setdefault(address, [])
        connection = idle.pop() if idle else load.Connection(address)
        request = h11.Request(
            method="GET",
            target=f"{self._prefix}{key}/{number}",
            headers=[("Host", "router"), ("X-Deadline-Ms", str(DEADLINE_MS))],
        )
        answer = load.Answer()
        start = time.monotonic()
        try:
            async with asyncio.timeout(DEADLINE_MS / 1000 + GRACE_S):
                await connection.exchange(request, b"", answer)
            reason = f"{answer.status} {answer.body.decode(errors='replace')}"
            idle.append(connection)
        except (OSError, TimeoutError, h11.ProtocolError, load.NotConnectedError) as error:
            connection.close()
            reason = repr(error)
        end = time.monotonic()
        if answer.complete and answer.headers.get("x-celerystack-outcome") == ANSWERED:
            server = json.loads(answer.body)["server"]
            self.answered_by_key[key].append(Answered(start, end, server))
        else:
            self.failed.append(Failed(start, end, key, address, reason))


@dataclasses.dataclass(frozen=True)
class Gap:
    """A time without an answer; `time.monotonic` in seconds."""

    begin: float
    end: float

    @property
    def seconds(self) -> float:
        """Length of the gap."""
        return self.end - self.begin


def longest_gap(answered: Sequence[Answered], *, fault_at: float, until: float) -> Gap:
    """Return the longest time without an answer from the last one before the fault on.

    This is the time between the last answer before the fault and the first answer after it, unless
    the key is served, lost again and served again; then the longer gap counts. A key that is not
    served again counts until ``until``.
    """
    ends = sorted(probe.end for probe in answered)
    first = bisect.bisect_right(ends, fault_at) - 1
    if first < 0:
        raise ValueError("the key was not served before the fault")
    gaps = itertools.starmap(Gap, itertools.pairwise([*ends[first:], until]))
    return max(gaps, key=lambda gap: gap.seconds)
