"""Reads the admin pages of a running entry VM."""

from __future__ import annotations

import json
import urllib.parse
from collections.abc import Mapping
from typing import Any

from twisted.internet import defer, interfaces

from celerystack import errors
from celerystack.store import http


class HttpAdmin:
    """Admin pages over HTTP; implements `ports.AdminPort`.

    Parameters
    ----------
    address : str
        ``IP:port`` of the admin listener.
    timeout_s : float
        Timeout of each call in seconds.
    """

    def __init__(self, reactor: interfaces.IReactorTCP, address: str, *, timeout_s: float) -> None:
        self._http = http.PlatformHttp(reactor, address=address, timeout_s=timeout_s)

    def get(self, page: str, fields: Mapping[str, str]) -> defer.Deferred[tuple[int, Any]]:
        """Return HTTP status and JSON content of a page."""
        return defer.Deferred.fromCoroutine(self._get(page, fields))

    async def _get(self, page: str, fields: Mapping[str, str]) -> tuple[int, Any]:
        step, peer = f"admin.{page}", self._http.address
        path = f"/{page}?{urllib.parse.urlencode(fields)}"
        try:
            response = await self._http.call("GET", path, step=step)
        except errors.PlatformError as error:
            raise errors.CelerystackError(
                f"no entry VM answers: {error.reason}", step=step, peer=peer
            ) from error
        try:
            content = json.loads(response.body)
        except ValueError:
            content = None
        # Every JSON page of an entry VM names it; a page without it is of another service.
        if not isinstance(content, dict) or "vm" not in content:
            raise errors.CelerystackError(
                f"no page of an entry VM: status {response.status}", step=step, peer=peer
            )
        return response.status, content
