"""Choice of server for services that are not partitioned by key.

docs/choice.md has the comparison behind the rule.
"""

from __future__ import annotations

import dataclasses
import math
import random
import statistics
from collections.abc import Sequence

from celerystack import ids, model

AVERAGE_SAMPLES = 10
"""Number of responses over which the latency of a server is averaged."""
FORGET_S = 5.0
"""Time constant with which the average of an unused server returns to the median, so that a server
that was slow is tried again."""
FAILURE_FACTOR = 10.0
"""A response without answer counts as this multiple of the median latency at least. Otherwise a
server that fails fast looks like the fastest one."""
LATENCY_MAX_S = 60.0
"""Failures raise the median that the next failures are multiplied with; without a bound the average
grows until no score can be compared."""
OTHER_ZONE_FACTOR = 1.5
"""Factor on the score of servers in other zones."""


@dataclasses.dataclass(slots=True)
class _Observed:
    outstanding: int = 0
    latency_s: float = math.nan
    at: float = 0.0


class ServerChooser:
    """Picks the server with the least expected latency, by what this entry VM has observed.

    The score of a server is its average latency times the number of this entry VM's requests on
    it, the new one included; the lowest is chosen. Load that other entry VMs cause shows in the
    latency. What servers report about their load is not used, because it may be wrong.

    Parameters
    ----------
    zone : ZoneName
        Zone of this entry VM; servers in it are preferred.
    seed : int or None
        Seed for breaking ties; None for a different one in each process, so that entry VMs do not
        all pick the same server.
    """

    def __init__(self, *, zone: ids.ZoneName, seed: int | None = None) -> None:
        self._zone = zone
        self._random = random.Random(seed)
        self._observed_by_server: dict[ids.ServerId, _Observed] = {}

    def choose(
        self,
        service: model.Service,
        servers: Sequence[model.BackendServer],
        now: float,
        *,
        waiting: int | None = None,
    ) -> model.BackendServer | None:
        """Return the server for the next request; None if it should wait in this entry VM's queue.

        A request waits if this entry VM itself already uses all slots of every candidate, so that
        it can go to whichever server becomes free first. It also waits if the free servers are so
        slow that the slot of a faster one is likely to be free sooner. Ask again after every
        `finished`.

        Parameters
        ----------
        servers : sequence of BackendServer
            Candidates: not draining, not lost, and none that this request must avoid.
        waiting : int or None
            Number of requests already waiting in the queue; None to take any free slot. Without
            the number it is unknown how long waiting takes.
        """
        median_s = self._median_s([self._get(server.server) for server in servers])
        free: list[model.BackendServer] = []
        full: list[model.BackendServer] = []
        for server in servers:
            is_free = self._get(server.server).outstanding < service.slots
            (free if is_free else full).append(server)
        if not free:
            return None
        chosen = self._least(free, median_s, now)
        if full and waiting is not None:
            turns = 1.0 + (1.0 + waiting) / service.slots
            wait_s = turns * min(self._cost_s(server, median_s, now) for server in full)
            if wait_s < self._cost_s(chosen, median_s, now):
                return None
        return chosen

    def choose_queue(
        self, servers: Sequence[model.BackendServer], now: float
    ) -> model.BackendServer | None:
        """Return the server whose queue the request should join; None without candidates.

        For callers that keep one queue per server instead of one for all. Every request that joins
        a queue must be reported to `started` at once, so that it counts as outstanding.
        """
        if not servers:
            return None
        return self._least(servers, self._median_s([self._get(s.server) for s in servers]), now)

    def started(self, server: ids.ServerId, now: float) -> None:
        """Record that a request was sent to ``server``."""
        self._get(server).outstanding += 1

    def finished(
        self, server: ids.ServerId, latency_s: float, outcome: model.Outcome, now: float
    ) -> None:
        """Record the end of a request that was reported to `started`.

        Parameters
        ----------
        latency_s : float
            Time since `started`, in seconds.
        """
        observed = self._get(server)
        observed.outstanding = max(0, observed.outstanding - 1)
        median = self._median_s(list(self._observed_by_server.values()))
        if outcome is not model.Outcome.ANSWERED:
            latency_s = min(max(latency_s, FAILURE_FACTOR * median), LATENCY_MAX_S)
        current = self._latency_s(observed, median, now)
        observed.latency_s = current + (latency_s - current) / AVERAGE_SAMPLES
        observed.at = now

    def forget(self, server: ids.ServerId) -> None:
        """Drop what is known about a server that was removed or has restarted."""
        self._observed_by_server.pop(server, None)

    def _get(self, server: ids.ServerId) -> _Observed:
        observed = self._observed_by_server.get(server)
        if observed is None:
            observed = self._observed_by_server[server] = _Observed()
        return observed

    def _least(
        self, servers: Sequence[model.BackendServer], median_s: float, now: float
    ) -> model.BackendServer:
        scores = [
            self._cost_s(server, median_s, now) * (self._get(server.server).outstanding + 1)
            for server in servers
        ]
        least = min(scores)
        ties = [s for s, score in zip(servers, scores, strict=True) if score <= least]
        return self._random.choice(ties)

    def _cost_s(self, server: model.BackendServer, median_s: float, now: float) -> float:
        latency_s = self._latency_s(self._get(server.server), median_s, now)
        factor = 1.0 if server.zone == self._zone else OTHER_ZONE_FACTOR
        return factor * latency_s / server.weight

    @staticmethod
    def _latency_s(observed: _Observed, median_s: float, now: float) -> float:
        if math.isnan(observed.latency_s):
            return median_s
        kept = math.exp(-max(0.0, now - observed.at) / FORGET_S)
        return median_s + (observed.latency_s - median_s) * kept

    @staticmethod
    def _median_s(observed: Sequence[_Observed]) -> float:
        known = [o.latency_s for o in observed if not math.isnan(o.latency_s)]
        return statistics.median(known) if known else 0.001
