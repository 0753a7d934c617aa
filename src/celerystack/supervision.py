"""Tasks that run for the life of a process and go on after unexpected errors.

An error that nobody expected must not end such a task in silence: it is logged with its traceback
and counted in `error_count_by_task`, which the process exposes as a metric.
"""

from __future__ import annotations

import collections
import logging
from collections.abc import Callable, Coroutine
from typing import Any

from twisted.internet import interfaces, task
from twisted.python import failure as failures

_log = logging.getLogger(__name__)

RESTART_PAUSE_S = 0.5
"""Time in seconds between an unexpected error in a task and its next start."""

error_count_by_task: collections.Counter[str] = collections.Counter()
"""Number of unexpected errors of this process, by task."""


def record_error(name: str, failure: failures.Failure) -> None:
    """Log and count an unexpected error in a task."""
    error_count_by_task[name] += 1
    _log.error(
        "unexpected error in %s: %s",
        name,
        failure.getTraceback(),
        extra={"step": "supervision"},
    )


def run_step(name: str, step: Callable[[], object]) -> bool:
    """Run one step of a task; return whether it ended without an unexpected error."""
    try:
        step()
    except Exception:
        record_error(name, failures.Failure())
        return False
    return True


async def run_forever(
    clock: interfaces.IReactorTime,
    name: str,
    run: Callable[[], Coroutine[Any, Any, None]],
    *,
    on_error: Callable[[], object] = lambda: None,
) -> None:
    """Run a task, and start it again after each unexpected error or if it ends.

    Parameters
    ----------
    run : callable
        Runs the task from its start.
    on_error : callable
        Called after an error, before the task is started again.
    """
    while True:
        try:
            await run()
        except Exception:
            record_error(name, failures.Failure())
            run_step(name, on_error)
        await task.deferLater(clock, RESTART_PAUSE_S, lambda: None)
