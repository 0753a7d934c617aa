"""Decides when a planner that cannot act as one gives up the leadership."""

from __future__ import annotations

import collections
import logging
from collections.abc import Callable

_log = logging.getLogger(__name__)

ERRORS_TO_RESIGN = 5
"""Number of unexpected errors in a row after which a planner gives up the leadership."""
RESIGNED_S = 30.0
"""Time in seconds for which it leaves the leadership to other entry VMs then."""


class Resignation:
    """Counts the unexpected errors of a planner's tasks.

    The other entry VMs would go on following a planner that renews its row but sends no heartbeats.

    Parameters
    ----------
    is_planner : callable
        Returns whether this VM is the planner.
    release : callable
        Gives up the leadership.
    now : callable
        Clock in seconds.
    """

    def __init__(
        self,
        *,
        is_planner: Callable[[], bool],
        release: Callable[[], object],
        now: Callable[[], float],
    ) -> None:
        self._is_planner = is_planner
        self._release = release
        self._now = now
        self._errors_by_task: collections.Counter[str] = collections.Counter()
        self._resigned_until = float("-inf")

    def is_in_force(self) -> bool:
        """Return whether this VM leaves the leadership to others for now."""
        return self._now() < self._resigned_until

    def note(self, task: str, *, succeeded: bool) -> None:
        """Record how a task of the planner ended, and resign if it keeps failing."""
        if succeeded:
            self._errors_by_task.pop(task, None)
            return
        self._errors_by_task[task] += 1
        if not self._is_planner() or self._errors_by_task[task] < ERRORS_TO_RESIGN:
            return
        self._errors_by_task.clear()
        self._resigned_until = self._now() + RESIGNED_S
        _log.critical(
            "giving up the leadership after %d unexpected errors in %s",
            ERRORS_TO_RESIGN,
            task,
            extra={"step": "planner"},
        )
        self._release()
