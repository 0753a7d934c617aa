"""HTTP site of the admin listener: metrics, health, readiness, status and routing queries."""

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
        Returns HTTP status code, content type and body, given the fields of the query.
    """

    isLeaf = True  # noqa: N815 (name set by twisted.web)

    def __init__(self, render_body: Callable[[dict[str, str]], tuple[int, bytes, bytes]]) -> None:
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
            return self._render_body(_query_fields(request))
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
    where: Callable[[Mapping[str, str]], tuple[int, Mapping[str, Any]]],
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
    where : callable
        Returns HTTP status code and content of ``/where`` as JSON types, given the query's fields.

    Returns
    -------
    server.Site
        Site for the caller to listen with. A page whose callable raises responds with 500.
    """
    root = resource.Resource()
    root.putChild(b"metrics", _Page(lambda _: _render_metrics(registry)))
    root.putChild(b"healthz", _Page(lambda _: (http.OK, TEXT_TYPE, b"ok\n")))
    root.putChild(b"readyz", _Page(lambda _: _render_readiness(ready())))
    root.putChild(b"status", _Page(lambda _: _render_json(http.OK, status())))
    root.putChild(b"where", _Page(lambda fields: _render_json(*where(fields))))
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


def _render_json(code: int, content: Mapping[str, Any]) -> tuple[int, bytes, bytes]:
    return code, JSON_TYPE, json.dumps(content, indent=2, sort_keys=True).encode() + b"\n"


def _query_fields(request: server.Request) -> dict[str, str]:
    """Return the last value of each field of the query."""
    return {
        name.decode("utf-8", "replace"): values[-1].decode("utf-8", "replace")
        for name, values in request.args.items()
    }
