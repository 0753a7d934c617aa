"""Requests whose connections this entry VM closed before a response arrived.

A suspended server process may still run them when it resumes, because their bytes wait in its
socket buffers. The keys of a server that does not check tokens may be reassigned without evidence
of its loss only when no such request can still run.
"""

from __future__ import annotations

from celerystack import ids

ABANDONED_RUN_MAX_S = 5.0
"""When a server answers this many seconds after a request was abandoned, that request is taken to
have ended, because servers read requests in the order of their arrival. This is not a bound on how
long the request runs: if the caller disconnects, the deadline that the request carries may still
be up to `frontend.DEADLINE_MAX_MS` (600 s) away."""


class AbandonedRequests:
    """Time of the latest abandoned request, for each server."""

    def __init__(self) -> None:
        self._newest_at_by_server: dict[ids.ServerId, float] = {}

    def add(self, server: ids.ServerId, now: float) -> None:
        """Record that an attempt was abandoned after bytes of it may have been sent."""
        self._newest_at_by_server[server] = now

    def answered(self, server: ids.ServerId, now: float) -> None:
        """Record that a server answered or refused a request, which shows that it is running."""
        newest_at = self._newest_at_by_server.get(server)
        if newest_at is not None and now - newest_at >= ABANDONED_RUN_MAX_S:
            del self._newest_at_by_server[server]

    def has(self, server: ids.ServerId) -> bool:
        """Return whether an abandoned request may still run on a server."""
        return server in self._newest_at_by_server

    def forget(self, server: ids.ServerId) -> None:
        """Drop the record of a server whose process is known to have ended."""
        self._newest_at_by_server.pop(server, None)
