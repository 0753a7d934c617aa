"""Choice of server for services that are not divided by key.

docs/choice.md compares the rule with alternatives.
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
LATENCY_DECAY_S = 5.0
"""Time constant with which the average latency of an unused server returns to the median, so that a
server that was slow is tried again."""
FAILURE_FACTOR = 10.0
"""A request without a response counts as at least this multiple of the median latency. Otherwise a
server that fails fast looks like the fastest one."""
LATENCY_MAX_S = 60.0
"""Bound on the latency that a failure counts as. Each failure raises the median from which the next
one is computed; unbounded averages overflow, and the scores become NaN."""
OTHER_ZONE_FACTOR = 1.5
"""Factor on the score of servers in other zones."""


@dataclasses.dataclass(slots=True)
class _ServerStats:
    outstanding: int = 0
    latency_s: float = math.nan
    updated_at: float = 0.0


class ServerChooser:
    """Chooses the server with the lowest expected latency, as observed by this entry VM.

    The score of a server is its average latency times the number of this entry VM's requests on
    it, including the new one; the lowest score is chosen. Load from other entry VMs shows in the
    latency. The load that servers report is not used, because it may be wrong.

    Parameters
    ----------
    zone : ZoneName
        Zone of this entry VM; servers in it are preferred.
    seed : int or None
        Seed for breaking ties; None for a different one in each process, so that entry VMs do not
        all choose the same server.
    """

    def __init__(self, *, zone: ids.ZoneName, seed: int | None = None) -> None:
        self._zone = zone
        self._random = random.Random(seed)
        self._stats_by_server: dict[ids.ServerId, _ServerStats] = {}

    def choose(
        self,
        service: model.Service,
        servers: Sequence[model.BackendServer],
        now: float,
        *,
        waiting: int | None = None,
    ) -> model.BackendServer | None:
        """Return the server for the next request; None if it should wait in this entry VM's queue.

        A request waits if this entry VM alone already uses all slots of every candidate, so that it
        can go to whichever server becomes free first. It also waits if the free servers are so slow
        that a faster server would probably finish it earlier, even after the wait for a slot. Call
        again after every `finished`.

        Parameters
        ----------
        servers : sequence of BackendServer
            Candidates, without servers that are draining, lost or to be avoided by this request.
        waiting : int or None
            Number of requests already waiting in the common queue, from which the wait for a slot
            is estimated; None to take any free slot.
        """
        median_s = self._median_s([self._stats(server.server) for server in servers])
        free: list[model.BackendServer] = []
        full: list[model.BackendServer] = []
        for server in servers:
            is_free = self._stats(server.server).outstanding < service.slots
            (free if is_free else full).append(server)
        if not free:
            return None
        chosen = self._choose_lowest_score(free, median_s, now)
        if full and waiting is not None:
            rounds = 1.0 + (1.0 + waiting) / service.slots
            wait_s = rounds * min(
                self._weighted_latency_s(server, median_s, now) for server in full
            )
            if wait_s < self._weighted_latency_s(chosen, median_s, now):
                return None
        return chosen

    def choose_for_queue(
        self, servers: Sequence[model.BackendServer], now: float
    ) -> model.BackendServer | None:
        """Return the server whose queue the request should join; None without candidates.

        For users of this class that keep one queue per server instead of a common one, such as the
        router, which does not call `choose`. Every request that joins a queue must be reported to
        `started` at once, so that it counts as outstanding.
        """
        if not servers:
            return None
        return self._choose_lowest_score(
            servers, self._median_s([self._stats(s.server) for s in servers]), now
        )

    def scores(self, servers: Sequence[model.BackendServer], now: float) -> list[float]:
        """Return the score of each server, of which `choose_for_queue` takes the lowest."""
        median_s = self._median_s([self._stats(server.server) for server in servers])
        return self._scores(servers, median_s, now)

    def started(self, server: ids.ServerId, now: float) -> None:
        """Record that a request was assigned to ``server``."""
        self._stats(server).outstanding += 1

    def finished(
        self, server: ids.ServerId, latency_s: float, outcome: model.Outcome, now: float
    ) -> None:
        """Record the end of a request that was reported to `started`.

        Parameters
        ----------
        latency_s : float
            Does not include the wait in this entry VM; 0 if the request was not sent.
        """
        stats = self._stats(server)
        stats.outstanding = max(0, stats.outstanding - 1)
        median = self._median_s(list(self._stats_by_server.values()))
        if outcome is not model.Outcome.ANSWERED:
            latency_s = min(max(latency_s, FAILURE_FACTOR * median), LATENCY_MAX_S)
        current = self._expected_latency_s(stats, median, now)
        stats.latency_s = current + (latency_s - current) / AVERAGE_SAMPLES
        stats.updated_at = now

    def forget(self, server: ids.ServerId) -> None:
        """Drop the statistics of a server that was removed or has restarted."""
        self._stats_by_server.pop(server, None)

    def _stats(self, server: ids.ServerId) -> _ServerStats:
        stats = self._stats_by_server.get(server)
        if stats is None:
            stats = self._stats_by_server[server] = _ServerStats()
        return stats

    def _choose_lowest_score(
        self, servers: Sequence[model.BackendServer], median_s: float, now: float
    ) -> model.BackendServer:
        scores = self._scores(servers, median_s, now)
        lowest = min(scores)
        ties = [s for s, score in zip(servers, scores, strict=True) if score <= lowest]
        return self._random.choice(ties)

    def _scores(
        self, servers: Sequence[model.BackendServer], median_s: float, now: float
    ) -> list[float]:
        return [
            self._weighted_latency_s(server, median_s, now)
            * (self._stats(server.server).outstanding + 1)
            for server in servers
        ]

    def _weighted_latency_s(
        self, server: model.BackendServer, median_s: float, now: float
    ) -> float:
        latency_s = self._expected_latency_s(self._stats(server.server), median_s, now)
        factor = 1.0 if server.zone == self._zone else OTHER_ZONE_FACTOR
        return factor * latency_s / server.weight

    @staticmethod
    def _expected_latency_s(stats: _ServerStats, median_s: float, now: float) -> float:
        if math.isnan(stats.latency_s):
            return median_s
        decay = math.exp(-max(0.0, now - stats.updated_at) / LATENCY_DECAY_S)
        return median_s + (stats.latency_s - median_s) * decay

    @staticmethod
    def _median_s(all_stats: Sequence[_ServerStats]) -> float:
        known = [s.latency_s for s in all_stats if not math.isnan(s.latency_s)]
        return statistics.median(known) if known else 0.001
