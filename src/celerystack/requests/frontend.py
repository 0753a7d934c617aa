"""HTTP front end for callers: validates requests and writes replies."""

from __future__ import annotations

import logging
import re
import time
from collections.abc import Callable
from typing import Any

from twisted.internet import defer
from twisted.python import failure
from twisted.web import http as twisted_http

from celerystack import ids, model
from celerystack.backend import exchange, http
from celerystack.requests import (
    caller_limits,
    callerhttp,
    calls,
    encoding,
    forwarder,
    listening,
    ports,
    replies,
)

_log = logging.getLogger(__name__)

DEADLINE_MAX_MS = 600_000
"""Longest time in milliseconds that a caller can set as the deadline of an idempotent request."""
NON_IDEMPOTENT_DEADLINE_MAX_MS = 60_000
"""The same in milliseconds for other requests; shorter, because entry VMs keep each claim in memory
until a fixed time after the deadline of the request."""
REQUEST_ID_BYTES_MAX = 200
_TARGET_PATTERN = re.compile(rb"/[\x21-\x7e]*")
_METHOD_PATTERN = re.compile(rb"[A-Z]{1,32}")
_CONTROL_CHARACTER = re.compile(rb"[\x00-\x08\x0a-\x1f\x7f]")
OUTCOME_HEADER = b"X-Celerystack-Outcome"
CLAIM_HEADER = b"X-Celerystack-Claim"
_ANSWERED_HEADER = (OUTCOME_HEADER, b"answered")


class RequestError(Exception):
    """A caller's request is invalid and not forwarded; ``status`` is the status of the response."""

    def __init__(self, status: int, reason: str) -> None:
        super().__init__(reason)
        self.status = status
        self.reason = reason


class FrontEnd:
    """Accepts callers' requests, passes them to the forwarder and writes the replies.

    Parameters
    ----------
    now : callable
        Monotonic clock in seconds.
    on_finished : callable
        Called when the forwarder has returned a reply, before the response is written, with the
        service, the outcome and the time in seconds since the request arrived. Not called for
        requests that are rejected before they are forwarded, or whose forwarding raised an error.
    on_exceeded : callable
        Called each time a caller exceeded a limit.
    """

    def __init__(
        self,
        reactor: Any,
        routes: ports.RouteSource,
        request_forwarder: forwarder.Forwarder,
        *,
        limits: callerhttp.Limits | None = None,
        on_exceeded: Callable[[caller_limits.Limit], None] = lambda _: None,
        now: Callable[[], float] = time.monotonic,
        on_finished: Callable[[ids.ServiceName, model.Outcome, float], None] | None = None,
    ) -> None:
        self._reactor = reactor
        self._routes = routes
        self._on_finished = on_finished
        self._forwarder = request_forwarder
        self._now = now
        self._port: Any = None
        self._factory = callerhttp.CallerFactory(
            reactor,
            self._on_request,
            limits=limits or callerhttp.Limits(),
            on_exceeded=on_exceeded,
            now=now,
        )

    def listen(self, host: str, port: int, *, backlog: int = 1024) -> int:
        """Start listening and return the port number."""
        self._port = listening.listen(self._reactor, self._factory, host, port, backlog=backlog)
        return self._port.getHost().port

    def announce_drain(self) -> None:
        """Add ``Connection: close`` to all further responses; the listener stays open."""
        self._factory.draining = True

    def stop_accepting(self) -> defer.Deferred[None]:
        """Close the listener; open connections are closed after their next response."""
        self.announce_drain()
        port, self._port = self._port, None
        if port is None:
            return defer.succeed(None)
        return listening.stop_listening(port)

    def drained(self) -> defer.Deferred[None]:
        """Return a Deferred that fires when no call is being received or answered."""
        return self._factory.drained()

    def _on_request(self, request: callerhttp.CallerRequest) -> None:
        try:
            call = self._parse_call(request)
        except RequestError as error:
            if error.status == 400:
                request.close_after_answer()
            self._answer(request, replies.NotRun(error.reason, error.status))
            return
        pending_reply = self._forwarder.forward(call)
        request.on_disconnect(pending_reply.cancel)
        pending_reply.addCallback(lambda reply: self._on_reply(request, call, reply))
        pending_reply.addErrback(self._on_failure, request)

    def _on_reply(
        self, request: callerhttp.CallerRequest, call: calls.Call, reply: replies.Reply
    ) -> None:
        if self._on_finished is not None:
            duration_s = self._now() - request.received_at
            self._on_finished(call.service.name, replies.outcome_of(reply), duration_s)
        self._answer(request, reply)

    def _parse_call(self, request: callerhttp.CallerRequest) -> calls.Call:
        headers = request.header_list()
        target = request.uri
        check_request_line(request.method, target)
        names = [name for name, _ in headers]
        if b"transfer-encoding" in names and not _is_chunked(headers):
            # twisted.web ignores "identity", but a server may delimit such a request differently.
            raise RequestError(400, "the transfer encoding is not supported")
        if _CONTROL_CHARACTER.search(b"".join([value for _, value in headers])):
            raise RequestError(400, "a header value contains a control character")
        service = find_service(self._routes, target)
        if names.count(b"host") > 1:
            raise RequestError(400, "repeated Host header")
        key = find_key(self._routes, service, target, headers)
        return calls.Call(
            service=service,
            method=request.method.decode("ascii"),
            target=target,
            headers=encoding.request_headers(headers),
            body=request.body(),
            deadline=request.received_at + deadline_ms(request.method, headers, service) / 1000,
            key=key,
            request_id=_request_id(headers),
        )

    def _on_failure(self, problem: failure.Failure, request: callerhttp.CallerRequest) -> None:
        if problem.check(defer.CancelledError) and request.is_disconnected():
            return
        _log.error(
            "forwarding a request failed unexpectedly: %s",
            problem.getTraceback(),
            extra={"step": "forward"},
        )
        if not request.is_disconnected() and not request.startedWriting:
            self._answer(request, replies.Unknown("internal error", 502))

    def _answer(self, request: callerhttp.CallerRequest, reply: replies.Reply) -> None:
        if request.is_disconnected():
            if isinstance(reply, replies.Answered) and isinstance(
                reply.response, exchange.StreamedResponse
            ):
                reply.response.abandon()
            return
        match reply:
            case replies.Answered(response=response):
                self._write_answer(request, response)
            case replies.NotRun(reason=reason, status=status):
                _write_text(request, status, model.Outcome.NOT_RUN, reason)
            case replies.Unknown(reason=reason, status=status):
                _write_text(request, status, model.Outcome.UNKNOWN, reason)
            case replies.AlreadyClaimed(state=state):
                _write_text(
                    request,
                    409,
                    model.Outcome.UNKNOWN,
                    f"this request id was claimed before; state: {state.value}",
                    (CLAIM_HEADER, state.value.encode()),
                )

    def _write_answer(
        self,
        request: callerhttp.CallerRequest,
        response: http.HttpResponse | exchange.StreamedResponse,
    ) -> None:
        headers = (*encoding.answer_headers(response.headers), _ANSWERED_HEADER)
        if isinstance(response, http.HttpResponse):
            if request.method != b"HEAD" and response.status not in (204, 304):
                length = (b"Content-Length", b"%d" % len(response.body))
                headers = (*(h for h in headers if h[0] != b"content-length"), length)
            request.answer(response.status, response.reason, headers, response.body)
            return
        request.setResponseCode(response.status, response.reason)
        for name, value in headers:
            request.responseHeaders.addRawHeader(name, value)
        delivery = response.deliver(request)
        delivery.addCallbacks(
            lambda _: request.finish(), self._on_stream_failure, errbackArgs=(request,)
        )

    def _on_stream_failure(
        self, problem: failure.Failure, request: callerhttp.CallerRequest
    ) -> None:
        if request.is_disconnected():
            return
        _log.warning(
            "closing the caller's connection, because the streamed answer is incomplete: %s",
            problem.getErrorMessage(),
            extra={"step": "stream"},
        )
        request.abort()


def _write_text(
    request: callerhttp.CallerRequest,
    status: int,
    outcome: model.Outcome,
    reason: str,
    *extra_headers: tuple[bytes, bytes],
) -> None:
    body = reason.encode("utf-8", "replace") + b"\n"
    headers = (
        (OUTCOME_HEADER, outcome.value.encode()),
        (b"Content-Type", b"text/plain; charset=utf-8"),
        (b"Content-Length", b"%d" % len(body)),
        *extra_headers,
    )
    request.answer(status, twisted_http.RESPONSES[status], headers, body)


def _is_chunked(headers: http.HeaderList) -> bool:
    codings = [value.lower() for name, value in headers if name == b"transfer-encoding"]
    return codings == [b"chunked"]


def check_request_line(method: bytes, target: bytes) -> None:
    """Raise `RequestError` if the method or the request target is not supported."""
    if not _TARGET_PATTERN.fullmatch(target):
        raise RequestError(400, "the request target must be a path of visible characters")
    if not _METHOD_PATTERN.fullmatch(method) or method == b"CONNECT":
        raise RequestError(400, "the method is not supported")


def find_service(routes: ports.RouteSource, target: bytes) -> model.Service:
    """Return the service of a valid request target; raises `RequestError` if there is none."""
    service = routes.service_for(_path(target))
    if service is None:
        raise RequestError(404, "no service owns this path")
    return service


def find_key(
    routes: ports.RouteSource, service: model.Service, target: bytes, headers: http.HeaderList
) -> str:
    """Return the key of a request, empty if its service has none; raises `RequestError`."""
    if not service.divided:
        return ""
    key = routes.request_key(service, _path(target), headers) or ""
    if not key or not key.isprintable():
        raise RequestError(400, "the request has no key, or one that is not printable")
    return key


def _path(target: bytes) -> str:
    return target.partition(b"?")[0].decode("ascii")


def deadline_ms(method: bytes, headers: http.HeaderList, service: model.Service) -> int:
    """Return the time in milliseconds that a request has; raises `RequestError`."""
    idempotent = method.decode("ascii", "replace") in service.idempotent_methods
    limit_ms = DEADLINE_MAX_MS if idempotent else NON_IDEMPOTENT_DEADLINE_MAX_MS
    values = [value for name, value in headers if name == b"x-deadline-ms"]
    if not values:
        return min(service.deadline_ms, limit_ms)
    if len(values) > 1 or not values[0].isdigit() or len(values[0]) > 9 or int(values[0]) == 0:
        raise RequestError(400, "X-Deadline-Ms must be one positive integer")
    return min(int(values[0]), limit_ms)


def _request_id(headers: http.HeaderList) -> ids.RequestId:
    values = [value for name, value in headers if name == b"x-request-id"]
    if not values:
        return ids.RequestId("")
    if len(values) > 1 or not 0 < len(values[0]) <= REQUEST_ID_BYTES_MAX:
        raise RequestError(
            400, f"X-Request-Id must be one value of 1 to {REQUEST_ID_BYTES_MAX} bytes"
        )
    return ids.RequestId(values[0].decode("latin-1"))
