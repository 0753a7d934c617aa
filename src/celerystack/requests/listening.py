"""Closes the listener of callers without losing connections that wait for it."""

from __future__ import annotations

from twisted.internet import defer, tcp

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
