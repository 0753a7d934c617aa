"""Tells repeated requests from new ones by the time that their callers still wait."""

from __future__ import annotations

import dataclasses

PERIOD_S = 5.0
"""Time in seconds after which the longest time is learned anew; the one before still counts."""


@dataclasses.dataclass(slots=True)
class _Longest:
    """Longest remaining times of a route's requests, in the present and the previous period."""

    ends_at: float
    present_s: float = 0.0
    previous_s: float = 0.0


class UsualDeadlines:
    """Learns for how long the callers of each route wait at most.

    A caller that repeats a refused request waits no longer in total, so its repetition arrives
    with less time left than a new request. Its answer is due earlier by the difference: the target
    latency counts from the first request. Callers with shorter deadlines than others of their
    route are taken for repeating ones; they only lose their place among requests in time.
    """

    def __init__(self) -> None:
        self._longest_by_route: dict[str, _Longest] = {}

    def age_s(self, route: str, remaining_s: float, now: float) -> float:
        """Return how long ago the caller first asked, in seconds, and learn from the request.

        Parameters
        ----------
        remaining_s : float
            Time for which the caller still waits, as its request states.
        """
        longest = self._longest_by_route.get(route)
        if longest is None:
            longest = self._longest_by_route[route] = _Longest(now + PERIOD_S)
        if now >= longest.ends_at:
            is_recent = now < longest.ends_at + PERIOD_S
            longest.previous_s = longest.present_s if is_recent else 0.0
            longest.present_s, longest.ends_at = 0.0, now + PERIOD_S
        longest.present_s = max(longest.present_s, remaining_s)
        return max(longest.present_s, longest.previous_s) - remaining_s

    def retain(self, routes: set[str]) -> None:
        """Forget the routes that are not among the given ones."""
        for route in [known for known in self._longest_by_route if known not in routes]:
            del self._longest_by_route[route]
