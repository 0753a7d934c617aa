"""Adapter for the platform's object store."""

from __future__ import annotations

import urllib.parse
from typing import Any

from twisted.internet import defer

from celerystack.store import http


def _path(name: str) -> str:
    return "/objects/" + urllib.parse.quote(name)


class HttpObjects:
    """The object store over HTTP; implements `ports.ObjectPort`.

    Parameters
    ----------
    address : str
        ``IP:port`` of the service.
    timeout_s : float
        Limit of each call in seconds.
    """

    def __init__(self, reactor: Any, address: str, *, timeout_s: float) -> None:
        self._http = http.PlatformHttp(reactor, address=address, timeout_s=timeout_s)

    def put(self, name: str, body: bytes) -> defer.Deferred[None]:
        """Store an object; storing the same bytes again succeeds."""
        return defer.Deferred.fromCoroutine(self._put(name, body))

    def get(self, name: str) -> defer.Deferred[bytes | None]:
        """Read an object; None if it does not exist."""
        return defer.Deferred.fromCoroutine(self._get(name))

    def close(self) -> defer.Deferred[None]:
        """Close the idle connections."""
        return self._http.close()

    async def _put(self, name: str, body: bytes) -> None:
        step = "objects.put"
        answer = await self._http.call("PUT", _path(name), body, step=step)
        if answer.status not in (http.STATUS_OK, http.STATUS_NO_CONTENT):
            raise self._http.unexpected(answer, step=step)

    async def _get(self, name: str) -> bytes | None:
        step = "objects.get"
        answer = await self._http.call("GET", _path(name), step=step)
        if answer.status == http.STATUS_NOT_FOUND:
            return None
        if answer.status != http.STATUS_OK:
            raise self._http.unexpected(answer, step=step)
        return answer.body
