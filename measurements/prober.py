"""Probes single keys at short intervals and finds the periods without service."""

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
"""The router holds a request for an unserved key until its deadline, so a longer one would only
increase the number of probes in flight."""

TIMEOUT_MARGIN_S = 0.2
ANSWERED = "answered"


@dataclasses.dataclass(frozen=True)
class AnsweredProbe:
    """An answered probe; times are `time.monotonic` in seconds."""

    start: float
    end: float
    server: str


@dataclasses.dataclass(frozen=True)
class FailedProbe:
    """A probe that was not answered; ``reason`` is the status and body or the error."""

    start: float
    end: float
    key: str
    address: str
    reason: str


class Prober:
    """Sends GET requests for each key at a fixed interval, each to the next entry VM in turn.

    A probe does not wait for the previous one, so unanswered probes do not lower the resolution.

    Parameters
    ----------
    targets : sequence of load.Target
        Entry VMs to send to.
    prefix : str
        Path prefix of the service.
    interval_s : float
        Interval between probes of a key.
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
        self.answered_by_key: dict[str, list[AnsweredProbe]] = {key: [] for key in keys}
        self.failed: list[FailedProbe] = []

    def __enter__(self) -> Self:
        self._thread.start()
        return self

    def __exit__(self, *_: object) -> None:
        self._stop.set()
        self._thread.join()

    def answered_since(self, at: float) -> bool:
        """Return whether each key has an answered probe that started at ``at`` or later."""
        return all(
            any(probe.start >= at for probe in reversed(probes[-50:]))
            for probes in self.answered_by_key.values()
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

    async def _probe(self, key: str, address: str, request_id: str) -> None:
        idle = self._idle_by_address.setdefault(address, [])
        connection = idle.pop() if idle else load.Connection(address)
        request = h11.Request(
            method="GET",
            target=f"{self._prefix}{key}/{request_id}",
            headers=[("Host", "router"), ("X-Deadline-Ms", str(DEADLINE_MS))],
        )
        answer = load.Answer()
        start = time.monotonic()
        try:
            async with asyncio.timeout(DEADLINE_MS / 1000 + TIMEOUT_MARGIN_S):
                await connection.exchange(request, b"", answer)
            reason = f"{answer.status} {answer.body.decode(errors='replace')}"
            idle.append(connection)
        except (OSError, TimeoutError, h11.ProtocolError, load.NotConnectedError) as error:
            connection.close()
            reason = repr(error)
        end = time.monotonic()
        if answer.complete and answer.headers.get("x-celerystack-outcome") == ANSWERED:
            server = json.loads(answer.body)["server"]
            self.answered_by_key[key].append(AnsweredProbe(start, end, server))
        else:
            self.failed.append(FailedProbe(start, end, key, address, reason))


@dataclasses.dataclass(frozen=True)
class Gap:
    """A period without an answered probe; times are `time.monotonic` in seconds."""

    begin: float
    end: float

    @property
    def seconds(self) -> float:
        """Length of the gap."""
        return self.end - self.begin


def longest_gap(answered: Sequence[AnsweredProbe], *, fault_at: float, until: float) -> Gap:
    """Return the longest period without an answer, starting with the last answer before the fault.

    This is usually the period between the last answer before the fault and the first one after it;
    if the key is lost again later, the longer gap counts. A key that is never served again counts
    until ``until``.
    """
    ends = sorted(probe.end for probe in answered)
    first = bisect.bisect_right(ends, fault_at) - 1
    if first < 0:
        raise ValueError("the key was not served before the fault")
    gaps = itertools.starmap(Gap, itertools.pairwise([*ends[first:], until]))
    return max(gaps, key=lambda gap: gap.seconds)
