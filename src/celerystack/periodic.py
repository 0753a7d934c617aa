"""Periodic calls that survive errors."""

from __future__ import annotations

import logging
from collections.abc import Callable
from typing import Any

from twisted.internet import defer, interfaces, task
from twisted.python import failure as failures

_log = logging.getLogger(__name__)


class Periodic:
    """Calls a function at an interval in seconds; an error is logged and the calls go on.

    A plain ``LoopingCall`` ends with the first error, which would silently end the renewal of
    leases.
    """

    def __init__(
        self, clock: interfaces.IReactorTime, function: Callable[[], Any], *, interval_s: float
    ) -> None:
        self._function = function
        self._interval_s = interval_s
        self._loop = task.LoopingCall(self._call)
        self._loop.clock = clock

    def start(self) -> None:
        """Start; the first call comes at once."""
        self._loop.start(self._interval_s, now=True)

    def stop(self) -> None:
        """Stop; may be called at any time."""
        if self._loop.running:
            self._loop.stop()

    def _call(self) -> defer.Deferred[Any]:
        return defer.maybeDeferred(self._function).addErrback(self._failed)

    def _failed(self, failure: failures.Failure) -> None:
        _log.error(
            "periodic call failed: %s",
            failure.getTraceback(),
            extra={"step": self._function.__qualname__},
        )
