"""Periodic calls that continue after errors."""

from __future__ import annotations

import logging
from collections.abc import Callable
from typing import Any

from twisted.internet import defer, interfaces, task
from twisted.python import failure as failures

_log = logging.getLogger(__name__)


class Periodic:
    """Calls a function at a fixed interval; errors are logged and do not end the calls.

    A plain ``LoopingCall`` stops at the first error, which would silently stop lease renewals.
    """

    def __init__(
        self, clock: interfaces.IReactorTime, function: Callable[[], Any], *, interval_s: float
    ) -> None:
        self._function = function
        self._interval_s = interval_s
        self._loop = task.LoopingCall(self._call)
        self._loop.clock = clock

    def start(self) -> None:
        """Start; the first call is made immediately."""
        self._loop.start(self._interval_s, now=True)

    def stop(self) -> None:
        """Stop; does nothing if not started."""
        if self._loop.running:
            self._loop.stop()

    def _call(self) -> defer.Deferred[Any]:
        return defer.maybeDeferred(self._function).addErrback(self._log_failure)

    def _log_failure(self, failure: failures.Failure) -> None:
        _log.error(
            "periodic call failed: %s",
            failure.getTraceback(),
            extra={"step": self._function.__qualname__},
        )
