"""Closes the connections of callers when a process shuts down."""

from __future__ import annotations

import logging
from collections.abc import Awaitable, Callable
from typing import Protocol

_log = logging.getLogger(__name__)

POLL_INTERVAL_S = 0.05


class Connections(Protocol):
    """Open connections of callers."""

    @property
    def open_connections(self) -> int:
        """Number of connections that are open or still have unsent bytes of an answer."""

    def close_idle(self) -> None:
        """Close connections on which no request is being received or answered."""


async def finish_connections(
    connections: Connections,
    *,
    deadline: float,
    now: Callable[[], float],
    sleep: Callable[[float], Awaitable[None]],
) -> None:
    """Close connections as they become idle, until none is left or the deadline has passed.

    Requests that were read are answered; a request that arrives at a closed connection was not
    read and has not run. A connection counts until it is closed, because the end of an answer may
    still be in the send buffer of this process.
    """
    while True:
        connections.close_idle()
        if not connections.open_connections:
            return
        if now() >= deadline:
            break
        await sleep(POLL_INTERVAL_S)
    _log.warning(
        "%d connections were still open at the shutdown deadline",
        connections.open_connections,
        extra={"step": "stop"},
    )
