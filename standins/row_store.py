"""Stand-in for the platform's row store, over HTTP on loopback.

Faults are injected by attributes and methods: ``refusing`` answers 503 to every call,
``lose_answers`` drops the answers to that many writes after they took effect, ``late_writes`` holds
that many writes back until `apply_late`, `compact` discards the history, and `come_back` restores
an earlier `copy`.
"""

from __future__ import annotations

import base64
import dataclasses
import json
import urllib.parse
from typing import Any

from twisted.internet import reactor

from standins import scripted_backend

_STATUS_LINES = {200: b"200 OK", 410: b"410 Gone", 412: b"412 Precondition Failed"}


@dataclasses.dataclass(frozen=True, slots=True)
class Copy:
    """Whole content of the store at one moment."""

    version: int
    rows: dict[tuple[str, str], tuple[bytes, int]]
    history: tuple[tuple[int, str, str], ...]
    compacted_version: int


_REWRITTEN_TABLES = ("op", "servers")


class RowStore:
    """Versioned rows and their change history, served on a loopback port."""

    def __init__(self) -> None:
        self.http = scripted_backend.FakeServer()
        self.http.handler = self._handle
        self.address = self.http.address
        self.version = 0
        self.era = 1
        self.rows: dict[tuple[str, str], tuple[bytes, int]] = {}
        self.history: list[tuple[int, str, str]] = []
        self.compacted_version = 0
        self.refusing = False
        self.lose_answers = 0
        self.late_writes = 0
        self.calls: list[str] = []
        self._delayed_writes: list[dict[str, Any]] = []
        self._feed_timers: set[Any] = set()

    async def stop(self) -> None:
        """Close the listener and all connections."""
        for timer in self._feed_timers:
            if timer.active():
                timer.cancel()
        await self.http.stop()

    def put(self, table: str, key: str, value: bytes) -> int:
        """Write a row without conditions, as another client; returns its version."""
        self.version += 1
        self.rows[table, key] = (value, self.version)
        self.history.append((self.version, table, key))
        return self.version

    def remove(self, table: str, key: str) -> None:
        """Remove a row without conditions, as another client."""
        self.version += 1
        self.rows.pop((table, key), None)
        self.history.append((self.version, table, key))

    def compact(self) -> None:
        """Discard the history; a feed that starts before the current version is answered 410."""
        self.history.clear()
        self.compacted_version = self.version

    def copy(self) -> Copy:
        """Return a copy of the whole content."""
        return Copy(self.version, dict(self.rows), tuple(self.history), self.compacted_version)

    def come_back(self, copy: Copy) -> None:
        """Lose everything since a copy; operators and servers write their rows again at once."""
        before = self.rows
        self.version, self.rows, self.history = copy.version, dict(copy.rows), list(copy.history)
        self.compacted_version = copy.compacted_version
        self.era += 1
        self.refusing = False
        for table, key in sorted(before.keys() | copy.rows.keys()):
            value = before.get((table, key), (None, 0))[0]
            if table not in _REWRITTEN_TABLES or value == copy.rows.get((table, key), (None, 0))[0]:
                continue
            if value is None:
                self.remove(table, key)
            else:
                self.put(table, key, value)

    def apply_late(self) -> list[int]:
        """Apply the writes that were held back; returns a status each, 412 for a conflict."""
        delayed, self._delayed_writes = self._delayed_writes, []
        return [self._transact(body)[0] for body in delayed]

    def _handle(self, request: scripted_backend.Received) -> None:
        method, target, _ = request.line.decode().split(" ", 2)
        path, _, query = target.partition("?")
        self.calls.append(f"{method} {path}")
        if self.refusing:
            self._answer(request, 503, {})
            return
        fields = dict(urllib.parse.parse_qsl(query, keep_blank_values=True))
        match path:
            case "/rows-get":
                self._answer(request, 200, self._scan(fields["table_name"]))
            case "/rows-feed":
                wait_ms = int(fields["wait_ms"])
                self._feed(request, fields["table_name"], int(fields["after"]), wait_ms)
            case "/rows-tx":
                self._write(request)
            case _:
                self._answer(request, 404, {})

    def _write(self, request: scripted_backend.Received) -> None:
        body = json.loads(request.body)
        if self.late_writes:
            self.late_writes -= 1
            self._delayed_writes.append(body)
            request.connection.transport.abortConnection()
            return
        status, answer = self._transact(body)
        if self.lose_answers and status == 200:
            self.lose_answers -= 1
            request.connection.transport.abortConnection()
            return
        self._answer(request, status, answer)

    def _transact(self, body: dict[str, Any]) -> tuple[int, dict[str, Any]]:
        for condition in body["precondition"]:
            row_id = condition["table_name"], condition["key"]
            if self.rows.get(row_id, (b"", 0))[1] != condition["row_version"]:
                return 412, {"rows": [], "row_version": self.version}
        self.version += 1
        for put in body["put"]:
            row_id = put["table_name"], put["key"]
            self.rows[row_id] = (base64.b64decode(put["value"]), self.version)
            self.history.append((self.version, *row_id))
        for removed in body["remove"]:
            row_id = removed["table_name"], removed["key"]
            self.rows.pop(row_id, None)
            self.history.append((self.version, *row_id))
        return 200, {"row_version": self.version}

    def _scan(self, table: str) -> dict[str, Any]:
        rows = [
            self._row(table, key) for (row_table, key) in sorted(self.rows) if row_table == table
        ]
        return {"rows": rows, "has_more": False, "row_version": self.version}

    def _feed(
        self, request: scripted_backend.Received, table: str, after: int, remaining_ms: int
    ) -> None:
        if not request.connection.transport.connected:
            return
        if after < self.compacted_version or after > self.version:
            self._answer(request, 410, {})
            return
        keys = {
            key
            for version, row_table, key in self.history
            if row_table == table and version > after
        }
        if keys or remaining_ms <= 0:
            rows = [self._row(table, key) for key in sorted(keys)]
            self._answer(request, 200, {"rows": rows, "row_version": self.version})
            return
        step_ms = min(20, remaining_ms)
        self._feed_timers = {timer for timer in self._feed_timers if timer.active()}
        self._feed_timers.add(
            reactor.callLater(
                step_ms / 1000, self._feed, request, table, after, remaining_ms - step_ms
            )
        )

    def _row(self, table: str, key: str) -> dict[str, Any]:
        row: dict[str, Any] = {"table_name": table, "part": "", "key": key}
        if (table, key) not in self.rows:
            return row | {"deleted": True, "row_version": self.version}
        value, version = self.rows[table, key]
        return row | {"value": base64.b64encode(value).decode(), "row_version": version}

    def _answer(
        self, request: scripted_backend.Received, status: int, fields: dict[str, Any]
    ) -> None:
        line = _STATUS_LINES.get(status, b"%d Status" % status)
        body = json.dumps(fields).encode()
        era = b"Store-Era: %d\r\n" % self.era
        answer = scripted_backend.answer(body, status=line, headers=era)
        request.connection.transport.write(answer)
