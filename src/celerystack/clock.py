"""Monotonic time source for Twisted tasks.

The reactor's own ``seconds()`` is the wall clock, which may be stepped; leases and deadlines need
monotonic time.
"""

from __future__ import annotations

import time
from collections.abc import Callable
from typing import Any

from twisted.internet import interfaces
from zope.interface import implementer


@implementer(interfaces.IReactorTime)
class MonotonicClock:
    """The reactor's timers, with ``time.monotonic`` as the time source."""

    def __init__(self, reactor: interfaces.IReactorTime) -> None:
        self._reactor = reactor

    def seconds(self) -> float:
        """Return monotonic time in seconds."""
        return time.monotonic()

    def callLater(  # noqa: N802
        self, delay: float, callable: Callable[..., Any], *args: object, **kwargs: object
    ) -> interfaces.IDelayedCall:
        """Call after ``delay`` seconds."""
        return self._reactor.callLater(delay, callable, *args, **kwargs)

    def getDelayedCalls(self) -> Any:  # noqa: N802
        """Return the reactor's pending calls."""
        return self._reactor.getDelayedCalls()
