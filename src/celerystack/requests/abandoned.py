"""Requests whose connections this entry VM closed without an answer.

A frozen server may still run them when it resumes: their bytes wait in its socket. Before a server
that does not check tokens loses its keys without evidence, they must be known to be over.
"""

from __future__ import annotations

from celerystack import ids

SETTLE_S = 5.0
"""A server that answers this long after a request was abandoned has come to its end, because it
takes requests from its sockets in the order of their arrival, and they carry short deadlines."""


class AbandonedRequests:
    """Time of the newest abandoned request by server."""

    def __init__(self) -> None:
        self._newest_at_by_server: dict[ids.ServerId, float] = {}

    def add(self, server: ids.ServerId, now: float) -> None:
        """Record that an attempt was given up after its bytes were sent."""
        self._newest_at_by_server[server] = now

    def answered(self, server: ids.ServerId, now: float) -> None:
        """Record a sign of life: an answer or a refusal."""
        newest_at = self._newest_at_by_server.get(server)
        if newest_at is not None and now - newest_at >= SETTLE_S:
            del self._newest_at_by_server[server]

    def has(self, server: ids.ServerId) -> bool:
        """Return whether an abandoned request may still run at a server."""
        return server in self._newest_at_by_server

    def forget(self, server: ids.ServerId) -> None:
        """Drop the record of a server whose process is known to have ended."""
        self._newest_at_by_server.pop(server, None)
