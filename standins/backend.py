"""Backend stand-in: a server with leases, tokens, epochs, request slots and a connection limit.

The last path segment of a request selects special behaviour:

- ``crash``: the process exits at the end of the run;
- ``slow?s=2``: the run takes that many seconds;
- ``large?bytes=1000000``: the answer has a body of about that size;
- ``chunked?bytes=...``: like ``large``, but without a Content-Length;
- ``truncated``: the connection is closed after half of the declared body;
- ``stalled``: half of the declared body is sent and the connection stays open.

``GET /load`` and the ``load`` field of order replies show the load of `LOAD_LAG_S` ago; with
``--misleading-load`` it is also inverted. ``GET /health`` always answers 200.
"""

from __future__ import annotations

import argparse
import collections
import functools
import json
import os
import random
import sys
import time
import uuid
from typing import Any

from twisted.internet import reactor, task
from twisted.web import http, resource, server

from standins import execution, journal, lease_state, lifetime

CRASH_STATUS = 70
LOAD_LAG_S = 5.0
LEASE_CHECK_INTERVAL_S = 0.01
CLOCK_OFFSET_MAX_S = 100_000.0
HEADER_PREFIX = "X-Celerystack-"
STATUS_BY_REFUSAL = {
    "stale-epoch": http.CONFLICT,
    "no-lease": http.CONFLICT,
    "draining": http.SERVICE_UNAVAILABLE,
    "shedding": http.SERVICE_UNAVAILABLE,
    "deadline": http.SERVICE_UNAVAILABLE,
}
HALF_BODY_KINDS = ("truncated", "stalled")


class LimitedSite(server.Site):
    """Closes every connection beyond a limit as soon as it is accepted."""

    def __init__(self, root: resource.Resource, limit: int) -> None:
        super().__init__(root)
        self.displayTracebacks = False
        self._connection_limit = limit
        self._open_connections = 0

    def buildProtocol(self, addr: Any) -> Any:  # noqa: N802
        if self._open_connections >= self._connection_limit:
            return None
        channel = super().buildProtocol(addr)
        self._open_connections += 1
        original_connection_lost = channel.connectionLost

        def connection_lost(reason: Any) -> None:
            self._open_connections -= 1
            original_connection_lost(reason)

        channel.connectionLost = connection_lost
        return channel


class LoadReport:
    """Reports the load of `LOAD_LAG_S` ago, inverted if ``misleading`` is set."""

    def __init__(self, executor: execution.Executor, *, misleading: bool) -> None:
        self._executor = executor
        self._misleading = misleading
        self._samples: collections.deque[tuple[float, float]] = collections.deque([(0.0, 0.0)])

    def sample(self) -> None:
        now = time.monotonic()
        self._samples.append((now, self._executor.load))
        while len(self._samples) > 1 and self._samples[1][0] <= now - LOAD_LAG_S:
            self._samples.popleft()

    def read(self) -> float:
        load = self._samples[0][1]
        return max(0.0, 1.0 - load) if self._misleading else load


class Backend(resource.Resource):
    """Answers orders, health and load queries, and executes requests."""

    isLeaf = True  # noqa: N815

    def __init__(
        self,
        *,
        service: str,
        lease: lease_state.LeaseState,
        clock: lease_state.Clock,
        executor: execution.Executor,
        load: LoadReport,
    ) -> None:
        super().__init__()
        self._service = service
        self._lease = lease
        self._clock = clock
        self._executor = executor
        self._load = load

    def render(self, request: server.Request) -> int | bytes:
        self._executor.end_expired()
        path = request.path.decode()
        if path.startswith("/orders/"):
            return self._handle_order(request, path.removeprefix("/orders/"))
        if path == "/health":
            return b"ok\n"
        if path == "/load":
            return json.dumps({"load": self._load.read()}).encode()
        self._submit(request, path)
        return server.NOT_DONE_YET

    def _handle_order(self, request: server.Request, name: str) -> bytes:
        stamp = self._clock.stamp(time.monotonic())
        try:
            order = json.loads(request.content.read())
            match name:
                case "probe":
                    result = self._lease.probe()
                case "renew":
                    result = self._lease.renew(order, stamp=stamp)
                case "grant":
                    result = self._lease.grant(order, stamp=stamp)
                case "drain":
                    result = self._lease.drain(order)
                case _:
                    request.setResponseCode(http.NOT_FOUND)
                    return b""
        except (ValueError, KeyError, TypeError) as error:
            request.setResponseCode(http.BAD_REQUEST)
            return repr(error).encode()
        reply = {
            "result": result,
            "incarnation": self._lease.incarnation,
            "token": self._lease.token,
            "stamp": stamp,
            "running_dropped": self._executor.running_dropped(),
            "load": self._load.read(),
        }
        return json.dumps(reply).encode()

    def _submit(self, request: server.Request, path: str) -> None:
        kind = path.rsplit("/", 1)[-1]
        job = self._build_job(request, kind)
        closed = functools.partial(self._on_closed, job)
        request.notifyFinish().addErrback(closed)
        self._executor.submit(job)

    def _on_closed(self, job: execution.Job, _reason: object) -> None:
        self._executor.cancel(job)

    def _build_job(self, request: server.Request, kind: str) -> execution.Job:
        def header(name: str) -> str:
            return request.getHeader(HEADER_PREFIX + name) or ""

        service = header("Service") or self._service
        deadline_ms = header("Deadline-Ms")
        shard = None
        if header("Shard") and header("Epoch"):
            shard = lease_state.ShardEpoch(service, int(header("Shard")), int(header("Epoch")))
        job = execution.Job(
            service=service,
            key=header("Key") or _key_in_path(request, header("Request-Id")),
            shard=shard,
            request_id=header("Request-Id"),
            method=request.method.decode(),
            deadline=time.monotonic() + int(deadline_ms) / 1000 if deadline_ms else None,
            service_s=_query_number(request, "s") if kind == "slow" else None,
            on_refused=functools.partial(self._refuse, request),
            on_done=lambda ending: self._answer(request, kind, job, ending),
        )
        if kind == "crash":
            job.before_end = lambda: self._crash(job)
        return job

    def _crash(self, job: execution.Job) -> None:
        self._executor.crash(job)
        os._exit(CRASH_STATUS)

    def _refuse(self, request: server.Request, reason: str) -> None:
        request.setResponseCode(STATUS_BY_REFUSAL[reason])
        request.setHeader(HEADER_PREFIX + "Refusal", reason)
        request.setHeader("content-length", "0")
        request.finish()

    def _answer(
        self, request: server.Request, kind: str, job: execution.Job, ending: journal.Ending
    ) -> None:
        if ending is journal.Ending.CANCELLED:
            return
        if ending is journal.Ending.LEASE_EXPIRED:
            request.transport.abortConnection()
            return
        body = self._build_body(request, kind, job)
        request.setHeader("content-type", "application/json")
        if kind != "chunked":
            request.setHeader("content-length", str(len(body)))
        if kind in HALF_BODY_KINDS:
            request.write(body[: len(body) // 2])
            if kind == "truncated":
                request.transport.loseConnection()
            return
        if request.method != b"HEAD":
            request.write(body)
        request.finish()

    def _build_body(self, request: server.Request, kind: str, job: execution.Job) -> bytes:
        fields: dict[str, object] = {
            "request_id": job.request_id,
            "key": job.key,
            "server": job.run.server,
            "epoch": job.run.epoch,
            "token": job.run.token,
        }
        if kind in ("large", "chunked"):
            fields["fill"] = "x" * int(_query_number(request, "bytes"))
        return json.dumps(fields).encode()


def _key_in_path(request: server.Request, request_id: str) -> str:
    """Return the path segment before the request id, for a request without a key header."""
    segments = request.path.decode().split("/")
    return segments[segments.index(request_id) - 1] if request_id in segments else ""


def _query_number(request: server.Request, name: str) -> float:
    return float(request.args.get(name.encode(), [b"1"])[0])


def _parse_arguments(argv: list[str]) -> argparse.Namespace:
    parser = argparse.ArgumentParser(description="Backend server stand-in")
    parser.add_argument("--host", required=True)
    parser.add_argument("--port", type=int, required=True)
    parser.add_argument("--id", required=True)
    parser.add_argument("--service", default="", help="used for requests that name no service")
    parser.add_argument("--undivided", action="store_true", help="serve without shard and lease")
    parser.add_argument("--unchecked", action="store_true", help="ignore tokens, leases, epochs")
    parser.add_argument(
        "--journal", default="", help="file to which executed requests are appended"
    )
    parser.add_argument("--connections", type=int, default=110)
    parser.add_argument("--slots", type=int, default=2)
    parser.add_argument("--queue", type=int, default=16)
    parser.add_argument("--service-ms", type=float, default=5.0)
    parser.add_argument("--jitter", type=float, default=0.0)
    parser.add_argument("--cold-s", type=float, default=0.0)
    parser.add_argument("--cold-factor", type=float, default=4.0)
    parser.add_argument("--misleading-load", action="store_true")
    parser.add_argument("--clock-rate", type=float, default=1.0)
    return parser.parse_args(argv)


def build(options: argparse.Namespace) -> LimitedSite:
    """Return the HTTP site of a backend server and start its periodic tasks."""
    lease = lease_state.LeaseState(incarnation=uuid.uuid4().hex, checked=not options.unchecked)
    # A random offset reveals a router that compares stamps with its own clock.
    offset_s = random.uniform(0, CLOCK_OFFSET_MAX_S)
    clock = lease_state.Clock(offset_s=offset_s, rate=options.clock_rate)
    executor = execution.Executor(
        reactor,
        server=options.id,
        lease=lease,
        clock=clock,
        limits=execution.Limits(
            slots=options.slots,
            queue=options.queue,
            service_s=options.service_ms / 1000,
            jitter=options.jitter,
            cold_s=options.cold_s,
            cold_factor=options.cold_factor,
        ),
        writer=journal.Writer(options.journal),
        divided=not options.undivided,
    )
    load = LoadReport(executor, misleading=options.misleading_load)
    task.LoopingCall(executor.end_expired).start(LEASE_CHECK_INTERVAL_S)
    task.LoopingCall(load.sample).start(LOAD_LAG_S / 10)
    root = Backend(service=options.service, lease=lease, clock=clock, executor=executor, load=load)
    return LimitedSite(root, options.connections)


def main(argv: list[str]) -> None:
    """Serve until the process is terminated."""
    options = _parse_arguments(argv)
    reactor.listenTCP(options.port, build(options), backlog=512, interface=options.host)
    lifetime.exit_with_parent(reactor)
    reactor.run()


if __name__ == "__main__":
    main(sys.argv[1:])
