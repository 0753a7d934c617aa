"""The platform's row store over HTTP."""

from __future__ import annotations

import base64
import json
import urllib.parse
from collections.abc import Callable, Sequence
from typing import Any

from twisted.internet import defer

from celerystack import errors, ids
from celerystack.backend import client, http
from celerystack.fleet import rows

CALL_TIMEOUT_S = 1.5
RETRY_TIMEOUT_S = 0.6
"""Limit of a call after one without an answer, so that the store's return shows soon."""
LONG_EVERY = 4
"""Every such call has the long limit nevertheless, for a store that is only slow."""
SCAN_EXTRA_S = 0.8
"""A whole table may be some 500 KB, which takes this long on a small link."""
CONNECTIONS_MAX = 5
IDLE_S = 20.0
CONNECT_TIMEOUT_S = 0.4
_PAGE_ROWS = 500
_STEP = "store"


class HttpRowStore:
    """Implements `rows.RowStore`; all rows are in the empty part of their table."""

    def __init__(self, reactor: Any, address: tuple[str, int], *, now: Callable[[], float]) -> None:
        self._now = now
        self._unanswered = 0
        self._peer = f"{address[0]}:{address[1]}"
        self._pool = client.ServerPool(
            reactor,
            address=self._peer,
            limit=CONNECTIONS_MAX,
            connect_timeout_s=CONNECT_TIMEOUT_S,
            idle_timeout_s=IDLE_S,
            now=now,
        )

    def scan(self, table: str) -> defer.Deferred[rows.Rows]:
        """Return all rows of a table."""
        return defer.Deferred.fromCoroutine(self._scan(table))

    async def _scan(self, table: str) -> rows.Rows:
        found: list[rows.Row] = []
        first_version: ids.RowVersion | None = None
        start_key = ""
        while True:
            query = {"table_name": table, "part": "", "start_key": start_key, "limit": _PAGE_ROWS}
            answer = await self._call("GET", "/rows-get", query=query, extra_s=SCAN_EXTRA_S)
            page = _rows(answer, table)
            found.extend(page.rows)
            # Changes after the first page are in the feed from its version on.
            first_version = page.version if first_version is None else first_version
            if not answer.get("has_more") or not page.rows:
                return rows.Rows(rows=tuple(found), version=first_version)
            start_key = f"{page.rows[-1].key}\x00"

    def changes(
        self, table: str, after: ids.RowVersion, *, wait_s: float
    ) -> defer.Deferred[rows.Rows]:
        """Return the rows changed after a version."""
        return defer.Deferred.fromCoroutine(self._changes(table, after, wait_s))

    async def _changes(self, table: str, after: ids.RowVersion, wait_s: float) -> rows.Rows:
        query = {"table_name": table, "after": after, "wait_ms": round(wait_s * 1000)}
        answer = await self._call("GET", "/rows-feed", query=query, extra_s=wait_s)
        return _rows(answer, table)

    def transact(
        self,
        conditions: Sequence[rows.Condition],
        puts: Sequence[rows.Put],
        removes: Sequence[rows.Condition],
    ) -> defer.Deferred[ids.RowVersion]:
        """Apply all changes if all conditions hold."""
        return defer.Deferred.fromCoroutine(self._transact(conditions, puts, removes))

    async def _transact(
        self,
        conditions: Sequence[rows.Condition],
        puts: Sequence[rows.Put],
        removes: Sequence[rows.Condition],
    ) -> ids.RowVersion:
        body = {
            "precondition": [
                {**_place(condition.table, condition.key), "row_version": condition.version}
                for condition in conditions
            ],
            "put": [
                {**_place(put.table, put.key), "value": base64.b64encode(put.value).decode()}
                for put in puts
            ],
            "remove": [_place(remove.table, remove.key) for remove in removes],
        }
        answer = await self._call("POST", "/rows-tx", body=json.dumps(body).encode())
        return _version(answer)

    async def _call(
        self,
        method: str,
        path: str,
        *,
        query: dict[str, object] | None = None,
        body: bytes = b"",
        extra_s: float = 0.0,
    ) -> dict[str, Any]:
        target = f"{path}?{urllib.parse.urlencode(query)}" if query else path
        headers = [(b"Host", self._peer.encode())]
        if body:
            headers.append((b"Content-Type", b"application/json"))
        request = http.HttpRequest(
            method=method.encode(), target=target.encode(), headers=tuple(headers), body=body
        )
        step = f"{_STEP} {path}"
        try:
            response = await self._pool.exchange(
                request, deadline=self._now() + self._timeout_s() + extra_s
            )
        except errors.NotRunError as error:
            self._unanswered += 1
            raise errors.PlatformUnavailableError(
                error.reason, step=step, peer=self._peer
            ) from error
        except errors.BackendError as error:
            self._unanswered += 1
            raise errors.AnswerLostError(error.reason, step=step, peer=self._peer) from error
        self._unanswered = 0
        return self._read(response, step)

    def _timeout_s(self) -> float:
        return RETRY_TIMEOUT_S if self._unanswered % LONG_EVERY else CALL_TIMEOUT_S

    def _read(self, response: http.HttpResponse, step: str) -> dict[str, Any]:
        match response.status:
            case 200:
                pass
            case 410:
                raise rows.HistoryLostError("history is lost", step=step, peer=self._peer)
            case 412:
                raise errors.TransactionConflictError(
                    "a condition does not hold", step=step, peer=self._peer
                )
            case 400 | 413 | 429 | 503:
                raise errors.PlatformUnavailableError(
                    f"rejected with {response.status}: {response.body[:200]!r}",
                    step=step,
                    peer=self._peer,
                )
            case _:
                raise errors.AnswerLostError(
                    f"unexpected status {response.status}: {response.body[:200]!r}",
                    step=step,
                    peer=self._peer,
                )
        try:
            answer = json.loads(response.body)
        except ValueError as error:
            raise errors.AnswerLostError(
                f"malformed answer: {error}", step=step, peer=self._peer
            ) from error
        if not isinstance(answer, dict):
            raise errors.AnswerLostError("malformed answer", step=step, peer=self._peer)
        return answer


def _place(table: str, key: ids.RowKey) -> dict[str, object]:
    return {"table_name": table, "part": "", "key": key}


def _version(answer: dict[str, Any]) -> ids.RowVersion:
    version = answer.get("row_version")
    if not isinstance(version, int):
        raise errors.AnswerLostError(f"no version in the answer: {version!r}", step=_STEP)
    return ids.RowVersion(version)


def _rows(answer: dict[str, Any], table: str) -> rows.Rows:
    """Return the rows of an answer; a row that cannot be read has an empty value."""
    found: list[rows.Row] = []
    for fields in answer.get("rows", ()):
        if fields.get("table_name", table) != table or fields.get("part", ""):
            continue
        found.append(
            rows.Row(
                key=ids.RowKey(str(fields["key"])),
                value=None if fields.get("deleted") else _value(fields),
                version=ids.RowVersion(int(fields.get("row_version", 0))),
            )
        )
    return rows.Rows(rows=tuple(found), version=_version(answer))


def _value(fields: dict[str, Any]) -> bytes:
    try:
        return base64.b64decode(fields.get("value") or "", validate=True)
    except ValueError:
        # The decoder of the row rejects and reports it.
        return b""
