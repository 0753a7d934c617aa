"""Stand-in for a backend server that holds key ranges, over HTTP on loopback.

It keeps its own record of what it ran, and of the tokens under which it held each range. Faults:
``silent_orders`` leaves that many orders without an answer and without effect until `apply_late`.
"""

from __future__ import annotations

import dataclasses
import json
import time
from collections.abc import Callable
from typing import Any

from twisted.internet import reactor

from standins import scripted_backend

KEYS = 65_536


@dataclasses.dataclass
class Grant:
    """A range held until a moment of the monotonic clock."""

    start: int
    end: int
    token: int
    until: float


class KeyServer:
    """One incarnation of a server."""

    def __init__(self, server: str, service: str, zone: str, *, run_s: float = 0.005) -> None:
        self.http = scripted_backend.FakeServer()
        self.http.handler = self._handle
        self.address = self.http.address
        self.server = server
        self.service = service
        self.zone = zone
        self.started_ms = int(time.time() * 1000)
        self.sequence = 0
        self.state = "ready"
        self.run_s = run_s
        self.grants: list[Grant] = []
        self.highest_token = [0] * KEYS
        self.ran: list[tuple[str, int | None]] = []
        self.running: list[int | None] = []
        self.silent_orders = 0
        self.on_run: Callable[[KeyServer, str, int | None], None] = lambda *_: None
        self.on_grant: Callable[[KeyServer, Grant], None] = lambda *_: None
        self._late: list[tuple[float, str, dict[str, Any]]] = []
        self._timers: set[Any] = set()

    async def stop(self) -> None:
        """End the process: nothing answers any more."""
        for timer in self._timers:
            if timer.active():
                timer.cancel()
        await self.http.stop()

    def _later(self, delay_s: float, call: Any, *args: Any) -> None:
        self._timers = {timer for timer in self._timers if timer.active()}
        self._timers.add(reactor.callLater(delay_s, call, *args))

    def entry(self) -> bytes:
        """Return the next entry that the server writes about itself."""
        self.sequence += 1
        fields = {
            "service": self.service,
            "address": self.address,
            "zone": self.zone,
            "version": "v1",
            "slots": 2,
            "state": self.state,
            "cold_remaining": "0ms",
            "sequence": self.sequence,
            "born": self.started_ms,
        }
        return json.dumps(fields).encode()

    def holds(self, key: int) -> bool:
        """Return whether the server runs requests for a key."""
        now = time.monotonic()
        return any(g.start <= key <= g.end and g.until > now for g in self.grants)

    def apply_late(self) -> None:
        """Carry out the orders that got no answer; their time counts from their arrival."""
        late, self._late = self._late, []
        for arrived_at, path, fields in late:
            self._order(path, fields, arrived_at)

    def _handle(self, request: scripted_backend.Received) -> None:
        method, path, _ = request.line.decode().split(" ", 2)
        expected = request.header(b"Celerystack-Expected-Instance")
        if expected is not None and expected.decode() != self.server:
            header = b"Celerystack-Instance-Id: %s\r\n" % self.server.encode()
            self._answer(request, b"421 Misdirected Request", header)
            return
        if method == "POST" and path in ("/grant", "/release"):
            self._take_order(request, path)
            return
        self._run(request)

    def _take_order(self, request: scripted_backend.Received, path: str) -> None:
        fields = json.loads(request.body)
        if self.silent_orders:
            self.silent_orders -= 1
            self._late.append((time.monotonic(), path, fields))
            return
        status = self._order(path, fields, time.monotonic())
        if path == "/grant":
            self._answer(request, status, b"")
        else:
            self._answer_release(request, fields)

    def _order(self, path: str, fields: dict[str, Any], arrived_at: float) -> bytes:
        start, end, token = fields["start_key"], fields["to"], fields["fence"]
        keys = range(start, end + 1)
        if path == "/grant":
            if any(self.highest_token[key] > token for key in keys):
                return b"409 Conflict"
            hold_s = int(fields["hold_time"].removesuffix("ms")) / 1000
            self.grants = [g for g in self.grants if (g.start, g.end) != (start, end)]
            grant = Grant(start, end, token, arrived_at + hold_s)
            self.grants.append(grant)
            self.on_grant(self, grant)
        else:
            self._cut(start, end)
        for key in keys:
            self.highest_token[key] = max(self.highest_token[key], token)
        return b"200 OK"

    def _cut(self, start: int, end: int) -> None:
        kept: list[Grant] = []
        for grant in self.grants:
            if grant.end < start or grant.start > end:
                kept.append(grant)
                continue
            if grant.start < start:
                kept.append(dataclasses.replace(grant, end=start - 1))
            if grant.end > end:
                kept.append(dataclasses.replace(grant, start=end + 1))
        self.grants = kept

    def _answer_release(self, request: scripted_backend.Received, fields: dict[str, Any]) -> None:
        start, end = fields["start_key"], fields["to"]
        if any(key is not None and start <= key <= end for key in self.running):
            self._later(0.005, self._answer_release, request, fields)
            return
        self._answer(request, b"200 OK", b"Celerystack-Handover: handover-%d\r\n" % start)

    def _run(self, request: scripted_backend.Received) -> None:
        request_id = (request.header(b"Celerystack-Request-Attempt-Id") or b"").decode()
        text = request.header(b"Celerystack-Shard-Key")
        key = None if text is None else int(text)
        if key is not None and not self.holds(key):
            self._answer(request, b"421 Misdirected Request", b"Celerystack-Request-Not-Run: 1\r\n")
            return
        self.ran.append((request_id, key))
        self.on_run(self, request_id, key)
        self.running.append(key)
        self._later(self.run_s, self._finish, request, request_id, key)

    def _finish(self, request: scripted_backend.Received, request_id: str, key: int | None) -> None:
        self.running.remove(key)
        headers = b"Celerystack-Request-Attempt-Id: %s\r\nCelerystack-Server-Signature: %s\r\n" % (
            request_id.encode(),
            self.server.encode(),
        )
        self._answer(request, b"200 OK", headers)

    def _answer(self, request: scripted_backend.Received, status: bytes, headers: bytes) -> None:
        if request.connection.transport.connected:
            request.connection.transport.write(
                scripted_backend.answer(self.server.encode(), status=status, headers=headers)
            )
