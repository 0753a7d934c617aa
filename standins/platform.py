"""Platform stand-in: table service, object store and membership list in one HTTP process.

Control endpoints, which the injected faults do not affect:

- ``GET /control`` returns the current switches.
- ``POST /control`` sets any of ``outage`` (``none``; ``refuse``: answer 503; ``hang``: no answer),
  ``delay_s``, ``lose_answers`` (number of writes whose answer is dropped after the write took
  effect) and ``membership_lag_s``.
- ``POST /control/members`` with ``{"op": "add", "member": {...}}``,
  ``{"op": "leave", "vm": ...}`` or ``{"op": "remove", "vm": ...}``.
"""

from __future__ import annotations

import argparse
import dataclasses
import json
import sys
import time
import urllib.parse
from collections.abc import Callable
from typing import Any

from twisted.internet import defer, reactor, task
from twisted.python import log
from twisted.web import http, resource, server

from standins import lifetime, platform_state

OUTAGES = ("none", "refuse", "hang")


@dataclasses.dataclass
class Switches:
    """Faults that can be injected at run time."""

    outage: str = "none"
    delay_s: float = 0.0
    lose_answers: int = 0
    membership_lag_s: float = 0.0

    def update(self, fields: dict[str, Any]) -> None:
        """Set the given switches; raises ValueError for an unknown one."""
        for name, value in fields.items():
            if name not in self.__dataclass_fields__ or (name == "outage" and value not in OUTAGES):
                raise ValueError(f"unknown switch {name}={value!r}")
        for name, value in fields.items():
            setattr(self, name, value)


@dataclasses.dataclass(frozen=True)
class Reply:
    """Status and body of an HTTP answer."""

    status: int
    body: bytes


def _json_reply(value: object, status: int = http.OK) -> Reply:
    return Reply(status, json.dumps(value).encode())


class Platform:
    """Executes platform calls and control requests synchronously."""

    def __init__(self) -> None:
        self.switches = Switches()
        self.table = platform_state.Table()
        self.membership = platform_state.Membership()
        self._bodies_by_name: dict[str, bytes] = {}

    def execute(self, method: str, path: str, body: bytes) -> Reply:
        """Execute a call of the table service, object store or membership list."""
        if path.startswith("/objects/"):
            return self._object(method, urllib.parse.unquote(path[len("/objects/") :]), body)
        if path == "/membership":
            self.membership.lag_s = self.switches.membership_lag_s
            return _json_reply({"members": self.membership.members(now=time.monotonic())})
        handlers_by_path: dict[str, Callable[[dict[str, Any]], Reply]] = {
            "/table/get": lambda f: _json_reply({"rows": self.table.get(f["keys"])}),
            "/table/scan": lambda f: _json_reply({"rows": self.table.scan(f["prefix"])}),
            "/table/changes": self._changes,
            "/table/transact": self._transact,
        }
        if path not in handlers_by_path:
            return _json_reply({"error": f"no such path {path}"}, http.NOT_FOUND)
        return handlers_by_path[path](json.loads(body))

    def _changes(self, fields: dict[str, Any]) -> Reply:
        newest, rows = self.table.changes(fields["since"])
        return _json_reply({"newest": newest, "rows": rows})

    def _transact(self, fields: dict[str, Any]) -> Reply:
        writes = [(key, value) for key, value in fields["writes"]]
        try:
            rows = self.table.transact(fields["expected_versions_by_key"], writes)
        except platform_state.ConflictError as error:
            return Reply(http.CONFLICT, str(error).encode())
        return _json_reply({"rows": rows})

    def _object(self, method: str, name: str, body: bytes) -> Reply:
        if method == "PUT":
            if self._bodies_by_name.setdefault(name, body) != body:
                return Reply(http.CONFLICT, b"objects are immutable")
            return Reply(http.NO_CONTENT, b"")
        stored_body = self._bodies_by_name.get(name)
        return Reply(http.NOT_FOUND, b"") if stored_body is None else Reply(http.OK, stored_body)

    def control(self, method: str, path: str, body: bytes) -> Reply:
        """Read or set the switches and the membership list."""
        if method == "POST":
            try:
                fields = json.loads(body)
                if path == "/control/members":
                    self._change_members(fields)
                else:
                    self.switches.update(fields)
            except (ValueError, KeyError) as error:
                return _json_reply({"error": repr(error)}, http.BAD_REQUEST)
        return _json_reply(dataclasses.asdict(self.switches))

    def _change_members(self, fields: dict[str, Any]) -> None:
        now = time.monotonic()
        match fields["op"]:
            case "add":
                self.membership.put(fields["member"], now=now)
            case "leave":
                self.membership.leave(fields["vm"], now=now)
            case "remove":
                self.membership.remove(fields["vm"], now=now)
            case other:
                raise ValueError(f"unknown operation {other!r}")


class PlatformResource(resource.Resource):
    """Applies the injected faults to every call except those under ``/control``."""

    isLeaf = True  # noqa: N815

    def __init__(self, platform: Platform) -> None:
        super().__init__()
        self._platform = platform

    def render(self, request: server.Request) -> int | bytes:
        method, path = request.method.decode(), request.path.decode()
        body = request.content.read()
        if path.startswith("/control"):
            self._send(request, self._platform.control(method, path, body))
            return server.NOT_DONE_YET
        match self._platform.switches.outage:
            case "hang":
                return server.NOT_DONE_YET
            case "refuse":
                self._send(request, Reply(http.SERVICE_UNAVAILABLE, b""))
                return server.NOT_DONE_YET
        closed: list[object] = []
        request.notifyFinish().addBoth(closed.append)
        running = defer.ensureDeferred(
            self._execute_with_faults(request, method, path, body, closed)
        )
        running.addErrback(log.err)
        return server.NOT_DONE_YET

    async def _execute_with_faults(
        self, request: server.Request, method: str, path: str, body: bytes, closed: list[object]
    ) -> None:
        # As in a real store, a delayed call takes effect although its caller has given up.
        delay_s = self._platform.switches.delay_s
        if delay_s:
            await task.deferLater(reactor, delay_s / 2)
        try:
            reply = self._platform.execute(method, path, body)
        except (ValueError, KeyError, TypeError) as error:
            reply = _json_reply({"error": repr(error)}, http.BAD_REQUEST)
        if delay_s:
            await task.deferLater(reactor, delay_s / 2)
        if closed:
            return
        is_write = method == "PUT" or path == "/table/transact"
        if is_write and reply.status < http.BAD_REQUEST and self._platform.switches.lose_answers:
            self._platform.switches.lose_answers -= 1
            request.transport.abortConnection()
            return
        self._send(request, reply)

    def _send(self, request: server.Request, reply: Reply) -> None:
        request.setResponseCode(reply.status)
        request.setHeader(b"content-type", b"application/json")
        if reply.status != http.NO_CONTENT:
            request.setHeader(b"content-length", str(len(reply.body)).encode())
            request.write(reply.body)
        request.finish()


def main(argv: list[str]) -> None:
    """Serve until the process is terminated."""
    parser = argparse.ArgumentParser(description="Platform stand-in")
    parser.add_argument("--host", required=True)
    parser.add_argument("--port", type=int, required=True)
    options = parser.parse_args(argv)
    site = server.Site(PlatformResource(Platform()))
    site.displayTracebacks = False
    reactor.listenTCP(options.port, site, backlog=512, interface=options.host)
    lifetime.exit_with_parent(reactor)
    reactor.run()


if __name__ == "__main__":
    main(sys.argv[1:])
