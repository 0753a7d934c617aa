"""Adapter for the platform's transactional table service."""

from __future__ import annotations

import base64
from typing import Any

from twisted.internet import defer

from celerystack import errors, ids
from celerystack.store import http, ports


def encode_value(value: bytes | None) -> str | None:
    """Encode a row value for JSON: base64, or None for a deleted row."""
    return None if value is None else base64.b64encode(value).decode("ascii")


def decode_value(text: str | None) -> bytes | None:
    """Decode a row value encoded by `encode_value`; raises ValueError if it is malformed."""
    return None if text is None else base64.b64decode(text, validate=True)


def _decode_rows(body: dict[str, Any]) -> list[ports.Row]:
    return [
        ports.Row(ids.RowKey(key), ids.RowVersion(int(version)), decode_value(value))
        for key, version, value in body["rows"]
    ]


def _decode_changes(body: dict[str, Any]) -> tuple[int, list[ports.Row]]:
    return int(body["newest"]), _decode_rows(body)


class HttpTable:
    """The table service over HTTP and JSON; implements `ports.TablePort`.

    Parameters
    ----------
    address : str
        ``IP:port`` of the service.
    timeout_s : float
        Timeout of each call in seconds.
    """

    def __init__(self, reactor: Any, address: str, *, timeout_s: float) -> None:
        self._http = http.PlatformHttp(reactor, address=address, timeout_s=timeout_s)

    def get(self, keys: list[ids.RowKey]) -> defer.Deferred[list[ports.Row]]:
        """Read rows; a row that never existed has version 0."""
        return defer.Deferred.fromCoroutine(self._call_rows("get", {"keys": list(keys)}))

    def scan(self, prefix: str) -> defer.Deferred[list[ports.Row]]:
        """Read all rows whose key starts with ``prefix``, in key order."""
        return defer.Deferred.fromCoroutine(self._call_rows("scan", {"prefix": prefix}))

    def changes(self, since: int) -> defer.Deferred[tuple[int, list[ports.Row]]]:
        """Read rows written after commit number ``since``, without audit rows."""
        return defer.Deferred.fromCoroutine(self._changes(since))

    def transact(self, transaction: ports.Transaction) -> defer.Deferred[list[ports.Row]]:
        """Commit; fails with `errors.TransactionConflictError` if a condition does not hold."""
        return defer.Deferred.fromCoroutine(self._transact(transaction))

    def close(self) -> defer.Deferred[None]:
        """Close the idle connections."""
        return self._http.close()

    async def _call_rows(self, name: str, request: dict[str, Any]) -> list[ports.Row]:
        step = f"table.{name}"
        response = await self._http.call_json(f"/table/{name}", request, step=step)
        return self._http.decode(response, _decode_rows, step=step)

    async def _changes(self, since: int) -> tuple[int, list[ports.Row]]:
        step = "table.changes"
        response = await self._http.call_json("/table/changes", {"since": since}, step=step)
        return self._http.decode(response, _decode_changes, step=step)

    async def _transact(self, transaction: ports.Transaction) -> list[ports.Row]:
        step = "table.transact"
        request = {
            "transaction": transaction.transaction,
            "expected_versions_by_key": transaction.expected_versions_by_key,
            "writes": [[write.key, encode_value(write.value)] for write in transaction.writes],
        }
        response = await self._http.call_json("/table/transact", request, step=step)
        if response.status == http.STATUS_CONFLICT:
            raise errors.TransactionConflictError(
                response.body.decode("utf-8", "replace"), step=step, peer=self._http.address
            )
        return self._http.decode(response, _decode_rows, step=step)
