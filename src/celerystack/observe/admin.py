"""HTTP site of the admin listener: metrics, health, readiness and status."""

from __future__ import annotations

import json
import logging
from collections.abc import Callable, Mapping
from typing import Any

import prometheus_client
from twisted.web import http, resource, server

_log = logging.getLogger(__name__)

TEXT_TYPE = b"text/plain; charset=utf-8"
JSON_TYPE = b"application/json"


class _Page(resource.Resource):
    """A leaf resource that serves GET and HEAD.

    Parameters
    ----------
    render_body : callable
        Returns HTTP status code, content type and body.
    """

    isLeaf = True  # noqa: N815 (name set by twisted.web)

    def __init__(self, render_body: Callable[[], tuple[int, bytes, bytes]]) -> None:
        super().__init__()
        self._render_body = render_body

    def render_GET(self, request: server.Request) -> bytes:  # noqa: N802 (name set by twisted.web)
        if request.postpath:
            code, content_type, body = http.NOT_FOUND, TEXT_TYPE, b"not found\n"
        else:
            code, content_type, body = self._body(request)
        request.setResponseCode(code)
        request.setHeader(b"content-type", content_type)
        request.setHeader(b"cache-control", b"no-store")
        return body

    def _body(self, request: server.Request) -> tuple[int, bytes, bytes]:
        try:
            return self._render_body()
        except Exception:
            path = request.path.decode("ascii", "replace")
            _log.exception("admin page could not be rendered", extra={"step": f"admin {path}"})
            return http.INTERNAL_SERVER_ERROR, TEXT_TYPE, b"internal error\n"


class _Site(server.Site):
    """Site without an access log, which probes every second would fill."""

    def log(self, request: http.Request) -> None:
        return


def site(
    *,
    registry: prometheus_client.CollectorRegistry,
    ready: Callable[[], bool],
    status: Callable[[], Mapping[str, Any]],
) -> server.Site:
    """Build the site of the admin listener.

    Parameters
    ----------
    registry : prometheus_client.CollectorRegistry
        Metrics that ``/metrics`` exposes.
    ready : callable
        Returns whether ``/readyz`` responds with 200; otherwise it responds with 503.
    status : callable
        Returns the content of ``/status`` as JSON types.

    Returns
    -------
    server.Site
        Site for the caller to listen with. A page whose callable raises responds with 500.
    """
    root = resource.Resource()
    root.putChild(b"metrics", _Page(lambda: _render_metrics(registry)))
    root.putChild(b"healthz", _Page(lambda: (http.OK, TEXT_TYPE, b"ok\n")))
    root.putChild(b"readyz", _Page(lambda: _render_readiness(ready())))
    root.putChild(b"status", _Page(lambda: _render_status(status())))
    result = _Site(root)
    result.displayTracebacks = False
    return result


def _render_metrics(registry: prometheus_client.CollectorRegistry) -> tuple[int, bytes, bytes]:
    content_type = prometheus_client.CONTENT_TYPE_LATEST.encode()
    return http.OK, content_type, prometheus_client.generate_latest(registry)


def _render_readiness(ready: bool) -> tuple[int, bytes, bytes]:
    if ready:
        return http.OK, TEXT_TYPE, b"ready\n"
    return http.SERVICE_UNAVAILABLE, TEXT_TYPE, b"not ready\n"


def _render_status(status: Mapping[str, Any]) -> tuple[int, bytes, bytes]:
    return http.OK, JSON_TYPE, json.dumps(status, indent=2, sort_keys=True).encode() + b"\n"
