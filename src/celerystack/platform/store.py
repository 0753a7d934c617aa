"""Adapter for the platform's row store over HTTP."""

from __future__ import annotations

import base64
import dataclasses
import json
import logging
import urllib.parse
from collections.abc import Callable, Sequence
from typing import Any

from twisted.internet import defer

from celerystack import errors, ids
from celerystack.backend import client, exchange, http
from celerystack.fleet import rows

_log = logging.getLogger(__name__)

CALL_TIMEOUT_S = 1.5
TIMEOUT_AFTER_NO_RESPONSE_S = 0.6
"""Timeout of a call after one without a response, so that the store's recovery is noticed soon."""
FULL_TIMEOUT_EVERY_CALLS = 4
"""After every so many unanswered calls, one has the full timeout, for a store that is only slow."""
TRANSFER_PAUSE_MAX_S = 1.0
"""Longest time without a further piece of a response that has begun to arrive."""
TRANSFER_MAX_S = 15.0
"""Time after which a response that still arrives is given up; a table of 4 MB takes less than half
of it on a link of 5 Mbit/s."""
CONNECTIONS_MAX = 5
IDLE_S = 20.0
CONNECT_TIMEOUT_S = 0.4
_PAGE_ROWS = 500
_STEP = "store"
_ERA_HEADER = b"store-era"
_ERA_DIGITS_MAX = 5


@dataclasses.dataclass(frozen=True, slots=True)
class _Answer:
    """Fields of a successful response, and the store's era in which it was given."""

    fields: dict[str, Any]
    era: ids.StoreEra


class HttpRowStore:
    """Implements `rows.RowStore`; all rows have the empty string as ``part``.

    Attributes
    ----------
    era : StoreEra
        Newest era of the store that a response has named; 0 if none has.
    """

    def __init__(self, reactor: Any, address: tuple[str, int], *, now: Callable[[], float]) -> None:
        self._now = now
        self._unanswered_calls = 0
        self.era = ids.StoreEra(0)
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
            answer = await self._call("GET", "/rows-get", query=query)
            page = _decode_rows(answer, table)
            if first_version is not None and rows.era_of(first_version) != answer.era:
                raise self._copy_error()
            found.extend(page.rows)
            # The change feed from the version of the first page includes changes during the scan.
            first_version = page.version if first_version is None else first_version
            if not answer.fields.get("has_more") or not page.rows:
                return rows.Rows(rows=tuple(found), version=first_version)
            start_key = f"{page.rows[-1].key}\x00"

    def changes(
        self, table: str, after: ids.RowVersion, *, wait_s: float
    ) -> defer.Deferred[rows.Rows]:
        """Return the rows changed after a version."""
        return defer.Deferred.fromCoroutine(self._changes(table, after, wait_s))

    async def _changes(self, table: str, after: ids.RowVersion, wait_s: float) -> rows.Rows:
        self._check_position(after, self.era)
        number = rows.number_of(after)
        query = {"table_name": table, "after": number, "wait_ms": round(wait_s * 1000)}
        answer = await self._call("GET", "/rows-feed", query=query, extra_timeout_s=wait_s)
        self._check_position(after, answer.era)
        return _decode_rows(answer, table)

    def _check_position(self, position: ids.RowVersion, era: ids.StoreEra) -> None:
        """Raise an error if a position in the changes is not from an era."""
        if rows.era_of(position) != era:
            raise rows.HistoryLostError(
                "the position is from before the store came back from an earlier copy",
                step=_STEP,
                peer=self._peer,
            )

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
        conditions = (*conditions, *removes)
        era = self.era
        if any(c.version != rows.ABSENT and rows.era_of(c.version) != era for c in conditions):
            raise errors.TransactionConflictError(
                "a condition is from before the store came back from an earlier copy",
                step=_STEP,
                peer=self._peer,
            )
        body = {
            "precondition": [
                {
                    **_row_address(condition.table, condition.key),
                    "row_version": rows.number_of(condition.version),
                }
                for condition in conditions
            ],
            "put": [
                {**_row_address(put.table, put.key), "value": base64.b64encode(put.value).decode()}
                for put in puts
            ],
            "remove": [_row_address(remove.table, remove.key) for remove in removes],
        }
        answer = await self._call("POST", "/rows-tx", body=json.dumps(body).encode())
        if conditions and answer.era != era:
            raise self._copy_error()
        return _decode_version(answer)

    def _copy_error(self) -> errors.AnswerLostError:
        return errors.AnswerLostError(
            "the store came back from an earlier copy during the call", step=_STEP, peer=self._peer
        )

    async def _call(
        self,
        method: str,
        path: str,
        *,
        query: dict[str, object] | None = None,
        body: bytes = b"",
        extra_timeout_s: float = 0.0,
    ) -> _Answer:
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
                request,
                deadline=self._now() + self._timeout_s() + extra_timeout_s,
                slow_transfer=exchange.SlowTransfer(
                    pause_max_s=TRANSFER_PAUSE_MAX_S, deadline=self._now() + TRANSFER_MAX_S
                ),
            )
        except errors.NotRunError as error:
            self._unanswered_calls += 1
            raise errors.PlatformUnavailableError(
                error.reason, step=step, peer=self._peer
            ) from error
        except errors.BackendError as error:
            self._unanswered_calls += 1
            raise errors.AnswerLostError(error.reason, step=step, peer=self._peer) from error
        self._unanswered_calls = 0
        era = self._note_era(response)
        return _Answer(self._decode_response(response, step), era)

    def _note_era(self, response: http.HttpResponse) -> ids.StoreEra:
        """Return the store's era in which a response was given; that of before if it has none.

        Raises
        ------
        errors.AnswerLostError
            A response of a later era has arrived before, so what this one says may be lost.
        """
        era = _decode_era(response, default=self.era)
        if era < self.era:
            raise self._copy_error()
        if era > self.era:
            if self.era:
                _log.warning(
                    "the store came back from an earlier copy; its era is %d after %d",
                    era,
                    self.era,
                    extra={"step": _STEP},
                )
            self.era = era
        return era

    def _timeout_s(self) -> float:
        return (
            TIMEOUT_AFTER_NO_RESPONSE_S
            if self._unanswered_calls % FULL_TIMEOUT_EVERY_CALLS
            else CALL_TIMEOUT_S
        )

    def _decode_response(self, response: http.HttpResponse, step: str) -> dict[str, Any]:
        match response.status:
            case 200:
                pass
            case 410:
                raise rows.HistoryLostError(
                    "the store no longer has the requested changes", step=step, peer=self._peer
                )
            case 412:
                raise errors.TransactionConflictError(
                    "a condition of the transaction does not hold", step=step, peer=self._peer
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
            body_fields = json.loads(response.body)
        except ValueError as error:
            raise errors.AnswerLostError(
                f"malformed response: {error}", step=step, peer=self._peer
            ) from error
        if not isinstance(body_fields, dict):
            raise errors.AnswerLostError(
                "malformed response: not a JSON object", step=step, peer=self._peer
            )
        return body_fields


def _row_address(table: str, key: ids.RowKey) -> dict[str, object]:
    return {"table_name": table, "part": "", "key": key}


def _decode_era(response: http.HttpResponse, *, default: ids.StoreEra) -> ids.StoreEra:
    for name, value in response.headers:
        if name.lower() == _ERA_HEADER and value.isdigit() and len(value) <= _ERA_DIGITS_MAX:
            return ids.StoreEra(int(value))
    return default


def _decode_version(answer: _Answer) -> ids.RowVersion:
    version = answer.fields.get("row_version")
    if not isinstance(version, int):
        raise errors.AnswerLostError(
            f"malformed row_version in the response: {version!r}", step=_STEP
        )
    return rows.version_in(answer.era, version)


def _decode_rows(answer: _Answer, table: str) -> rows.Rows:
    """Decode the rows of a response; a value that is not base64 becomes empty.

    Raises
    ------
    errors.AnswerLostError
        If the response has no version, or a row without a key or with a malformed field.
    """
    try:
        found = tuple(
            _decode_row(fields, answer.era)
            for fields in answer.fields.get("rows", ())
            if fields.get("table_name", table) == table and not fields.get("part", "")
        )
    except (KeyError, ValueError, TypeError, AttributeError) as error:
        raise errors.AnswerLostError(
            f"malformed row in the response: {error!r}", step=_STEP
        ) from error
    return rows.Rows(rows=found, version=_decode_version(answer))


def _decode_row(fields: dict[str, Any], era: ids.StoreEra) -> rows.Row:
    return rows.Row(
        key=ids.RowKey(str(fields["key"])),
        value=None if fields.get("deleted") else _decode_value(fields),
        version=rows.version_in(era, int(fields.get("row_version", 0))),
    )


def _decode_value(fields: dict[str, Any]) -> bytes:
    try:
        return base64.b64decode(fields.get("value") or "", validate=True)
    except ValueError:
        # The row's decoder rejects the empty value and reports the row.
        return b""
