"""Expected work of each route, learned from the answers of all servers."""

from __future__ import annotations

WEIGHT = 0.05
"""Weight of one answer in the moving average of a route's work."""


class RouteWork:
    """Moving average of the time that servers need for the requests of each route.

    A queue that has seen no answer of a route yet takes this estimate. With the average of its
    other routes, a request with little work would count as late beside those with much work, wait
    behind them, and so never be measured.
    """

    def __init__(self) -> None:
        self._work_s_by_route: dict[str, float] = {}

    def observe(self, route: str, work_s: float) -> None:
        """Record the time in seconds that a server needed for a request."""
        known = self._work_s_by_route.get(route, work_s)
        self._work_s_by_route[route] = known + WEIGHT * (work_s - known)

    def expected_s(self, route: str) -> float | None:
        """Return the expected work in seconds; None before the first answer of the route."""
        return self._work_s_by_route.get(route)
