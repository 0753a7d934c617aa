"""Distributes lengthy work for connections over turns of the event loop."""

from __future__ import annotations

import collections
from collections.abc import Callable
from typing import Any

TASKS_PER_TURN = 4
"""Number of tasks that continue in one turn."""


class TurnQueue:
    """Runs tasks in rotation, a few in each turn of the event loop, until they are done."""

    def __init__(self, reactor: Any) -> None:
        self._reactor = reactor
        self._tasks: collections.deque[Callable[[], bool]] = collections.deque()
        self._timer: Any = None

    @property
    def is_busy(self) -> bool:
        """Whether a task waits for its turn."""
        return bool(self._tasks)

    def add(self, task: Callable[[], bool]) -> None:
        """Add a task that returns whether it needs a further turn."""
        self._tasks.append(task)
        self._schedule()

    def _schedule(self) -> None:
        if self._timer is None and self._tasks:
            self._timer = self._reactor.callLater(0, self._run)

    def _run(self) -> None:
        self._timer = None
        try:
            for _ in range(min(TASKS_PER_TURN, len(self._tasks))):
                task = self._tasks.popleft()
                if task():
                    self._tasks.append(task)
        finally:
            # An error of one task must not hold up the tasks of other connections.
            self._schedule()
