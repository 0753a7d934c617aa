"""HTTP listener for callers."""

from __future__ import annotations

import dataclasses
import logging
import re
from collections.abc import Callable
from typing import Any

from twisted.internet import defer
from twisted.python import failure
from twisted.web import http as twisted_http

from celerystack.backend import http
from celerystack.gateway import calls, config, dispatch
from celerystack.limits import body_account, usual_deadlines
from celerystack.requests import caller_limits, callerhttp, listening

_log = logging.getLogger(__name__)

RETRY_AFTER_UNREADY_S = 0.3
DEADLINE_DEFAULT_S = 30.0
_TARGET = re.compile(rb"/[\x21-\x7e]*")
_METHOD = re.compile(rb"[A-Z]{1,32}")
_CONTROL = re.compile(rb"[\x00-\x08\x0a-\x1f\x7f]")


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class _Drain:
    """Clock times in seconds until which all requests are taken, and at which the process ends."""

    take_until: float
    deadline: float


class FrontEnd:
    """Parses requests of callers, dispatches them and writes the replies.

    Parameters
    ----------
    on_finished : callable
        Called with call, reply and clock time in seconds before a reply is written.
    limits : Limits or None
        Limits on callers, of which a configuration replaces those that it sets.
    account : ByteAccount or None
        Account for everything that is held for callers; None for one of this front end alone.
    on_exceeded : callable
        Called each time a caller exceeded a limit.
    """

    def __init__(
        self,
        reactor: Any,
        *,
        dispatcher: dispatch.Dispatcher,
        request_codec: calls.RequestCodec,
        on_finished: Callable[[calls.Call, calls.Reply, float], None],
        limits: callerhttp.Limits | None = None,
        account: body_account.ByteAccount | None = None,
        on_exceeded: Callable[[caller_limits.Limit], None] = lambda _: None,
        now: Callable[[], float],
    ) -> None:
        self._reactor = reactor
        self._dispatcher = dispatcher
        self._request_codec = request_codec
        self._on_finished = on_finished
        self._now = now
        self._routes: config.RouteTable | None = None
        self._splitter = config.Splitter()
        self._deadlines = usual_deadlines.UsualDeadlines()
        self._factory = callerhttp.CallerFactory(
            reactor,
            self._on_request,
            limits=limits or callerhttp.Limits(),
            may_overlap=self._may_overlap,
            account=account,
            on_exceeded=on_exceeded,
            now=now,
        )
        self._port: Any = None
        self._drain: _Drain | None = None

    def apply(self, routing: config.RoutingConfig) -> None:
        """Apply a new configuration."""
        self._routes = config.RouteTable(routing.routes)
        self._splitter.retain(routing.routes)
        self._deadlines.retain({route.name for route in routing.routes})
        self._factory.limits = dataclasses.replace(
            self._factory.limits,
            body_bytes_max=routing.limits.body_bytes_max,
            header_bytes_max=routing.limits.header_bytes_max,
            header_s=routing.limits.header_timeout_s,
            idle_s=routing.limits.idle_timeout_s,
        )

    def listen(self, host: str, port: int) -> None:
        """Start to accept connections of callers."""
        self._port = listening.listen(self._reactor, self._factory, host, port, backlog=1024)

    def announce_drain(self, *, take_until: float, deadline: float) -> None:
        """Send ``Connection: close`` with every reply from now on.

        Parameters
        ----------
        take_until : float
            Clock time in seconds from which requests are rejected that may not be finished.
        deadline : float
            Clock time in seconds at which the process ends.
        """
        self._factory.draining = True
        self._factory.serve_read_until = take_until
        self._drain = _Drain(take_until=take_until, deadline=deadline)

    def stop_accepting(self) -> None:
        """Close the listener; open connections are still served."""
        port, self._port = self._port, None
        if port is not None:
            listening.stop_listening(port)

    def close_idle(self) -> None:
        """Close connections on which no request is being received or answered."""
        self._factory.close_idle()

    @property
    def open_connections(self) -> int:
        """Number of connections that are open or still have unsent bytes of an answer."""
        return len(self._factory.channels)

    @property
    def accepts_connections(self) -> bool:
        """Whether new connections are accepted, or were until a moment ago."""
        return self._factory.checks.accepts()

    def _on_request(self, request: callerhttp.CallerRequest) -> None:
        try:
            call = self._read_call(request)
        except calls.BadRequestError as error:
            self._reject(request, error)
            return
        if call is None:
            refused = calls.Refused(
                reason="no configuration is known yet", retry_after_s=RETRY_AFTER_UNREADY_S
            )
            self._write_gateway_reply(request, refused, None)
            return
        if self._may_end_before(call):
            refused = calls.Refused(
                reason="the entry VM is shutting down", retry_after_s=RETRY_AFTER_UNREADY_S
            )
            self._write_gateway_reply(request, refused, call)
            return
        running = defer.Deferred.fromCoroutine(self._dispatcher.dispatch(call))
        request.on_disconnect(running.cancel)
        running.addCallback(lambda reply: self._on_reply(request, call, reply))
        running.addErrback(self._on_dispatch_error, request)

    def _may_end_before(self, call: calls.Call) -> bool:
        """Return whether the process may end before a late call has an outcome."""
        drain = self._drain
        if drain is None or self._now() < drain.take_until:
            return False
        return call.deadline > drain.deadline

    def _reject(self, request: callerhttp.CallerRequest, error: calls.BadRequestError) -> None:
        _log.info(
            "%d: %s",
            error.status,
            error.reason,
            extra={"step": "rejected", "request_id": error.request_id},
        )
        if error.status == 400:
            request.close_after_answer()
        body = error.reason.encode() + b"\n"
        headers = ((b"Content-Length", b"%d" % len(body)),)
        request.answer(error.status, twisted_http.RESPONSES[error.status], headers, body)

    def _may_overlap(self, request: callerhttp.CallerRequest) -> bool:
        """Return whether a pipelined request may run beside others: whether it is idempotent."""
        if self._routes is None:
            return False
        try:
            route = self._find_route(request, self._read_headers(request), self._routes)
        except calls.BadRequestError:
            return False
        return route.idempotent

    def _read_headers(self, request: callerhttp.CallerRequest) -> calls.CallerHeaders:
        if not _TARGET.fullmatch(request.uri):
            raise calls.BadRequestError(400, "the target must be a path of visible characters")
        if not _METHOD.fullmatch(request.method) or request.method == b"CONNECT":
            raise calls.BadRequestError(400, "the method is not supported")
        parsed = self._request_codec.read(request)
        if any(_CONTROL.search(value) for _, value in parsed.forwarded):
            raise calls.BadRequestError(
                400, "a header value contains a control character", request_id=parsed.request_id
            )
        return parsed

    def _find_route(
        self,
        request: callerhttp.CallerRequest,
        parsed: calls.CallerHeaders,
        routes: config.RouteTable,
    ) -> config.Route:
        route = routes.find(parsed.host, request.path.decode("ascii"))
        if route is None:
            raise calls.BadRequestError(404, "no route matches", request_id=parsed.request_id)
        return route

    def _read_call(self, request: callerhttp.CallerRequest) -> calls.Call | None:
        """Parse and route a request; return None if there is no configuration yet."""
        parsed = self._read_headers(request)
        if self._routes is None:
            return None
        route = self._find_route(request, parsed, self._routes)
        arrived = request.received_at
        remaining_s = DEADLINE_DEFAULT_S if parsed.remaining_s is None else parsed.remaining_s
        repeats_for_s = 0.0
        if parsed.remaining_s is not None:
            repeats_for_s = self._deadlines.age_s(route.name, parsed.remaining_s, arrived)
        return calls.Call(
            request_id=parsed.request_id,
            route=route,
            service=self._splitter.pick(route),
            method=request.method,
            target=request.uri,
            headers=parsed.forwarded,
            body=request.body(),
            key=parsed.key,
            arrived_at=arrived,
            deadline=arrived + min(remaining_s, route.timeout_s),
            repeats_for_s=repeats_for_s,
        )

    def _on_reply(
        self, request: callerhttp.CallerRequest, call: calls.Call, reply: calls.Reply
    ) -> None:
        self._on_finished(call, reply, self._now())
        if request.is_disconnected():
            return
        match reply:
            case calls.Answered(response=response):
                self._write_answer(request, response)
            case calls.Refused() | calls.Failed():
                self._write_gateway_reply(request, reply, call)

    def _write_answer(self, request: callerhttp.CallerRequest, response: http.HttpResponse) -> None:
        headers = self._request_codec.answer_headers(response)
        if request.method != b"HEAD" and response.status not in twisted_http.NO_BODY_CODES:
            headers = (*headers, (b"Content-Length", b"%d" % len(response.body)))
        request.answer(response.status, response.reason or b"OK", headers, response.body)

    def _write_gateway_reply(
        self,
        request: callerhttp.CallerRequest,
        reply: calls.Refused | calls.Failed,
        call: calls.Call | None,
    ) -> None:
        body = reply.reason.encode("utf-8", "replace") + b"\n"
        headers = (
            *self._request_codec.reply_headers(reply, call),
            (b"Content-Type", b"text/plain; charset=utf-8"),
            (b"Content-Length", b"%d" % len(body)),
        )
        request.answer(reply.status, twisted_http.RESPONSES[reply.status], headers, body)

    def _on_dispatch_error(
        self, problem: failure.Failure, request: callerhttp.CallerRequest
    ) -> None:
        if problem.check(defer.CancelledError) and request.is_disconnected():
            return
        if problem.check(calls.BadRequestError) and not request.startedWriting:
            self._reject(request, problem.value)
            return
        _log.error(
            "an unexpected error occurred while a call was dispatched: %s",
            problem.getTraceback(),
            extra={"step": "frontend"},
        )
        if not request.is_disconnected() and not request.startedWriting:
            self._write_gateway_reply(
                request, calls.Failed(reason="internal error", status=502), None
            )
