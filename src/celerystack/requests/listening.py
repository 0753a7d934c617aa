"""Listener of callers: stops accepting at a limit, and closes without losing connections."""

from __future__ import annotations

from typing import Any

from twisted.internet import defer, protocol, tcp

ACCEPT_ROUNDS_MAX = 100
"""Largest number of accept rounds, so that callers who keep connecting cannot delay the close."""


def stop_listening(port: tcp.Port) -> defer.Deferred[None]:
    """Accept the connections that wait in the backlog, then close the listener.

    The system has accepted these connections for this process and would reset them, although their
    callers may have sent requests already.
    """
    for _ in range(ACCEPT_ROUNDS_MAX):
        accepted_before = port.sessionno
        port.doRead()
        if port.sessionno == accepted_before:
            break
    return defer.maybeDeferred(port.stopListening)


class CallerPort(tcp.Port):
    """Listener that stops accepting while its factory has no free connection."""

    def doRead(self) -> None:  # noqa: N802
        """Accept as many connections as are free."""
        free = self.factory.free_connections()
        if free > 0:
            self.numberAccepts = min(self.numberAccepts, free)
            super().doRead()
        if self.factory.free_connections() <= 0 and self.connected:
            self.stopReading()
            self.factory.checks.pause_accepting(self._continue)

    def _continue(self) -> None:
        if self.connected and not self.disconnecting:
            self.startReading()


def listen(
    reactor: Any, factory: protocol.ServerFactory, host: str, port: int, *, backlog: int
) -> CallerPort:
    """Listen for callers of a `callerhttp.CallerFactory`."""
    listener = CallerPort(port, factory, backlog, host, reactor)
    listener.startListening()
    return listener
