"""Stand-in for a backend server that holds key ranges, over HTTP on loopback.

It records the requests that it ran and the highest fencing token of each key. To inject a fault,
set ``unanswered_orders_left``: that many orders get no answer and take no effect until
`apply_late`. Answers have ``padding_bytes`` bytes behind the name of the server.
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
    """A key range, both ends included, held until ``expires_at`` (`time.monotonic`)."""

    start: int
    end: int
    token: int
    expires_at: float


class KeyServer:
    """One process of a backend server, which ends with `stop`."""

    def __init__(
        self,
        server: str,
        service: str,
        zone: str,
        *,
        run_s: float = 0.005,
        port: int = 0,
        clock_step_ms: int = 0,
    ) -> None:
        self.http = scripted_backend.FakeServer(port=port)
        self.http.handler = self._handle
        self.address = self.http.address
        self.server = server
        self.service = service
        self.zone = zone
        self.started_ms = int(time.time() * 1000) + clock_step_ms
        self.sequence = 0
        self.state = "ready"
        self.run_s = run_s
        self.grants: list[Grant] = []
        self.highest_token = [0] * KEYS
        self.executed: list[tuple[str, int | None]] = []
        self.running: list[int | None] = []
        self.unanswered_orders_left = 0
        self.padding_bytes = 0
        self.on_run: Callable[[KeyServer, str, int | None], None] = lambda *_: None
        self.on_grant: Callable[[KeyServer, Grant], None] = lambda *_: None
        self._unanswered_orders: list[tuple[float, str, dict[str, Any]]] = []
        self._timers: set[Any] = set()

    async def stop(self) -> None:
        """End the process: cancel pending answers and close all connections."""
        for timer in self._timers:
            if timer.active():
                timer.cancel()
        await self.http.stop()

    def _call_later(self, delay_s: float, function: Any, *args: Any) -> None:
        self._timers = {timer for timer in self._timers if timer.active()}
        self._timers.add(reactor.callLater(delay_s, function, *args))

    def entry(self) -> bytes:
        """Return the next heartbeat row that the server writes about itself."""
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
        """Return whether the server holds a key now, so that it runs requests for it."""
        now = time.monotonic()
        return any(g.start <= key <= g.end and g.expires_at > now for g in self.grants)

    def apply_late(self) -> None:
        """Apply the unanswered orders; a lease time counts from the arrival of its order."""
        unanswered, self._unanswered_orders = self._unanswered_orders, []
        for arrived_at, path, fields in unanswered:
            self._apply_order(path, fields, arrived_at)

    def _handle(self, request: scripted_backend.Received) -> None:
        method, path, _ = request.line.decode().split(" ", 2)
        expected = request.header(b"Celerystack-Expected-Instance")
        if expected is not None and expected.decode() != self.server:
            header = b"Celerystack-Instance-Id: %s\r\n" % self.server.encode()
            self._answer(request, b"421 Misdirected Request", header)
            return
        if method == "POST" and path in ("/grant", "/release"):
            self._receive_order(request, path)
            return
        self._run(request)

    def _receive_order(self, request: scripted_backend.Received, path: str) -> None:
        fields = json.loads(request.body)
        if self.unanswered_orders_left:
            self.unanswered_orders_left -= 1
            self._unanswered_orders.append((time.monotonic(), path, fields))
            return
        status = self._apply_order(path, fields, time.monotonic())
        if path == "/grant":
            self._answer(request, status, b"")
        else:
            self._answer_release(request, fields)

    def _apply_order(self, path: str, fields: dict[str, Any], arrived_at: float) -> bytes:
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
            self._remove_range(start, end)
        for key in keys:
            self.highest_token[key] = max(self.highest_token[key], token)
        return b"200 OK"

    def _remove_range(self, start: int, end: int) -> None:
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
            self._call_later(0.005, self._answer_release, request, fields)
            return
        self._answer(request, b"200 OK", b"Celerystack-Handover: handover-%d\r\n" % start)

    def _run(self, request: scripted_backend.Received) -> None:
        request_id = (request.header(b"Celerystack-Request-Attempt-Id") or b"").decode()
        key_text = request.header(b"Celerystack-Shard-Key")
        key = None if key_text is None else int(key_text)
        if key is not None and not self.holds(key):
            self._answer(request, b"421 Misdirected Request", b"Celerystack-Request-Not-Run: 1\r\n")
            return
        self.executed.append((request_id, key))
        self.on_run(self, request_id, key)
        self.running.append(key)
        self._call_later(self.run_s, self._finish, request, request_id, key)

    def _finish(self, request: scripted_backend.Received, request_id: str, key: int | None) -> None:
        self.running.remove(key)
        headers = b"Celerystack-Request-Attempt-Id: %s\r\nCelerystack-Server-Signature: %s\r\n" % (
            request_id.encode(),
            self.server.encode(),
        )
        self._answer(request, b"200 OK", headers)

    def _answer(self, request: scripted_backend.Received, status: bytes, headers: bytes) -> None:
        if request.connection.transport.connected:
            body = self.server.encode() + b"." * self.padding_bytes
            request.connection.transport.write(
                scripted_backend.answer(body, status=status, headers=headers)
            )
