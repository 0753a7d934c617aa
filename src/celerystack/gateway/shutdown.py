"""End of the callers' connections when a process shuts down."""

from __future__ import annotations

import logging
from collections.abc import Awaitable, Callable
from typing import Protocol

_log = logging.getLogger(__name__)

POLL_INTERVAL_S = 0.05


class Connections(Protocol):
    """The callers' connections."""

    @property
    def open_count(self) -> int:
        """Connections that are open or still have bytes of an answer to send."""

    def close_idle(self) -> None:
        """Close the connections on which no request is being received or answered."""


async def finish_connections(
    connections: Connections,
    *,
    deadline: float,
    now: Callable[[], float],
    sleep: Callable[[float], Awaitable[None]],
) -> None:
    """Close connections as they become idle, until none is left or ``end`` has come.

    What was read is answered; a request that crosses the close was not read. An answer that is
    written may still be in this process's buffer, so a connection counts until it is closed.
    """
    while True:
        connections.close_idle()
        if not connections.open_count:
            return
        if now() >= deadline:
            break
        await sleep(POLL_INTERVAL_S)
    _log.warning(
        "%d connections were still open at the end",
        connections.open_count,
        extra={"step": "stop"},
    )
