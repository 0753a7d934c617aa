"""Adapter for the platform's object store."""

from __future__ import annotations

import urllib.parse
from typing import Any

from twisted.internet import defer

from celerystack.store import http


def _object_path(name: str) -> str:
    return "/objects/" + urllib.parse.quote(name)


class HttpObjects:
    """The object store over HTTP; implements `ports.ObjectPort`.

    Parameters
    ----------
    address : str
        ``IP:port`` of the service.
    timeout_s : float
        Timeout of each call in seconds.
    """

    def __init__(self, reactor: Any, address: str, *, timeout_s: float) -> None:
        self._http = http.PlatformHttp(reactor, address=address, timeout_s=timeout_s)

    def put(self, name: str, body: bytes) -> defer.Deferred[None]:
        """Store an object; idempotent for the same bytes."""
        return defer.Deferred.fromCoroutine(self._put(name, body))

    def get(self, name: str) -> defer.Deferred[bytes | None]:
        """Read an object; None if it does not exist."""
        return defer.Deferred.fromCoroutine(self._get(name))

    def close(self) -> defer.Deferred[None]:
        """Close the idle connections."""
        return self._http.close()

    async def _put(self, name: str, body: bytes) -> None:
        step = "objects.put"
        response = await self._http.call("PUT", _object_path(name), body, step=step)
        if response.status not in (http.STATUS_OK, http.STATUS_NO_CONTENT):
            raise self._http.unexpected(response, step=step)

    async def _get(self, name: str) -> bytes | None:
        step = "objects.get"
        response = await self._http.call("GET", _object_path(name), step=step)
        if response.status == http.STATUS_NOT_FOUND:
            return None
        if response.status != http.STATUS_OK:
            raise self._http.unexpected(response, step=step)
        return response.body
