"""Watches the open connections of callers: their progress, memory and number."""

from __future__ import annotations

import functools
import sys
from collections.abc import Callable
from typing import Any, Protocol

from celerystack import supervision
from celerystack.limits import body_account
from celerystack.requests import caller_limits

CHECK_TASK = "the checks of callers' connections"
CHECK_INTERVAL_S = 1.0
SILENT_S = 1.0
"""Time in seconds for which a caller may stop in the midst of a request while others wait for a
connection."""
ROOM_SHARE = 0.25
"""Largest share of the connections that is closed at once to make room for others."""
PAUSE_MAX_S = 1.5
"""Time in seconds without a new connection after which a listener counts as full."""
"""Interval in seconds at which the progress of bodies, heads and responses is checked."""


class Connection(Protocol):
    """A connection of a caller."""

    @property
    def unread_since(self) -> float:
        """Clock time in seconds since when the caller reads nothing; infinite if it need not."""

    @property
    def unparsed_bytes(self) -> int:
        """Bytes that were received and not parsed."""

    @property
    def silent_since(self) -> float:
        """Clock time in seconds since when the caller owes the rest of a request; else infinite."""

    def check_limits(self, now: float) -> None:
        """Close or reject what makes too little progress."""

    def abort_excessive(self, limit: caller_limits.Limit, reason: str) -> None:
        """Close the connection at once and return what it holds to the account."""


class ConnectionChecks:
    """Checks the connections of one listener while any is open."""

    def __init__(
        self,
        reactor: Any,
        *,
        account: body_account.ByteAccount,
        exceeded: caller_limits.ExceededLimits,
        now: Callable[[], float],
    ) -> None:
        self._reactor = reactor
        self._account = account
        self._exceeded = exceeded
        self._now = now
        self._timer: Any = None
        self._resume_accepting: Callable[[], None] | None = None
        self._paused_since = float("inf")
        self.connections: set[Connection] = set()

    def free_connections(self, limits: caller_limits.Limits) -> int:
        """Return the number of connections that may be accepted now."""
        if limits.connections_max is None:
            return sys.maxsize
        return limits.connections_max - len(self.connections)

    def pause_accepting(self, resume: Callable[[], None]) -> None:
        """Call ``resume`` after the next close of a connection."""
        self._resume_accepting = resume
        self._paused_since = self._now()
        self._make_room_for_connections(self._paused_since)
        self._exceeded.note(
            caller_limits.Limit.CONNECTIONS, f"{len(self.connections)} connections are open"
        )

    def opened(self, connection: Connection) -> None:
        """Add a connection."""
        self.connections.add(connection)
        if self._timer is None:
            self._timer = self._reactor.callLater(CHECK_INTERVAL_S, self._check)

    def closed(self, connection: Connection) -> None:
        """Remove a connection, and accept again if that was paused."""
        self.connections.discard(connection)
        resume, self._resume_accepting = self._resume_accepting, None
        if resume is not None:
            self._paused_since = float("inf")
            resume()
        if not self.connections and self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def _check(self) -> None:
        self._timer = self._reactor.callLater(CHECK_INTERVAL_S, self._check)
        now = self._now()
        for connection in list(self.connections):
            supervision.run_step(CHECK_TASK, functools.partial(connection.check_limits, now))
        if self._resume_accepting is not None:
            self._make_room_for_connections(now)

    def accepts(self) -> bool:
        """Return whether new connections are accepted, or were until a moment ago."""
        return self._now() - self._paused_since < PAUSE_MAX_S

    def _make_room_for_connections(self, now: float) -> None:
        """Close connections whose callers have not gone on with a request, longest first.

        Callers who stop just short of a body's end would else keep all others out.
        """
        silent = [one for one in self.connections if now - one.silent_since >= SILENT_S]
        silent.sort(key=lambda one: one.silent_since)
        for connection in silent[: max(1, int(len(self.connections) * ROOM_SHARE))]:
            connection.abort_excessive(
                caller_limits.Limit.CONNECTIONS,
                "the caller does not go on with its request, and others wait",
            )

    def make_room_for_responses(self) -> None:
        """Close connections whose callers do not read, longest first, while there is no room."""
        while self._account.is_over(body_account.Part.UNSENT):
            unread = min(self.connections, key=lambda one: one.unread_since, default=None)
            if unread is None or unread.unread_since == float("inf"):
                return
            unread.abort_excessive(
                caller_limits.Limit.UNREAD_RESPONSES, "the caller does not read its responses"
            )

    def make_room_for_input(self) -> None:
        """Close connections with the most unparsed bytes while there is no room."""
        while self._account.is_over(body_account.Part.CONNECTIONS):
            largest = max(self.connections, key=lambda one: one.unparsed_bytes, default=None)
            if largest is None or not largest.unparsed_bytes:
                return
            largest.abort_excessive(
                caller_limits.Limit.MEMORY, "there is no room for unparsed bytes"
            )
