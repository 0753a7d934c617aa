"""Encoding of table rows as msgpack; an invalid row raises `errors.CorruptRowError`."""

from __future__ import annotations

import dataclasses
from typing import Any, TypeVar

import msgpack

from celerystack import errors, ids, model

T = TypeVar("T")


@dataclasses.dataclass(frozen=True, kw_only=True)
class ConfigHead:
    """Row ``config/head``: the current configuration version and the SHA-256 (hex) of its files."""

    version: ids.ConfigVersion
    sha256_by_file: dict[str, str]
    snapshot: str


@dataclasses.dataclass(frozen=True, kw_only=True)
class OperatorRow:
    """Rows ``drain/<id>``, ``evacuate/<zone>`` and ``release/<id>``: who asked, when and why."""

    operator: str
    time_ms: int
    reason: str


@dataclasses.dataclass(frozen=True, kw_only=True)
class AuditRow:
    """Row ``audit/...``: one change, with short descriptions of the state before and after."""

    transaction: ids.TransactionId
    operator: str
    time_ms: int
    action: str
    subject: str
    reason: str
    before: str
    after: str


def _pack(value: object) -> bytes:
    return msgpack.packb(value)


def unpack(data: bytes | None, *, key: str) -> Any:
    """Decode the msgpack value of row ``key``.

    Raises
    ------
    errors.CorruptRowError
        If the value is not valid msgpack.
    """
    try:
        return msgpack.unpackb(data or b"", strict_map_key=False)
    except Exception as error:
        raise errors.CorruptRowError(
            f"row {key} is not valid msgpack: {error}", step="codec.unpack", peer="table"
        ) from error


def encode_fields(row: ConfigHead | OperatorRow | AuditRow) -> bytes:
    """Encode a row whose fields are msgpack values, as a map by field name."""
    return _pack(dataclasses.asdict(row))


def decode_fields(row_type: type[T], data: bytes | None, *, key: str) -> T:
    """Decode a row written by `encode_fields`."""
    fields = unpack(data, key=key)
    try:
        return row_type(**fields)
    except TypeError as error:
        raise errors.CorruptRowError(
            f"row {key} has missing or unknown fields: {error}", step="codec.decode", peer="table"
        ) from error


def encode_server(row: model.ServerRow) -> bytes:
    """Encode a ``server/<id>`` row."""
    return _pack(
        [
            row.server,
            row.state.value,
            row.token,
            row.incarnation,
            [[lessor.vm, lessor.incarnation] for lessor in row.lessors],
            [[lessor.vm, lessor.incarnation] for lessor in row.previous_lessors],
            row.shards_digest,
        ]
    )


def decode_server(data: bytes | None, *, key: str) -> model.ServerRow:
    """Decode a ``server/<id>`` row."""
    fields = unpack(data, key=key)
    try:
        server, state, token, incarnation, lessors, previous, shards_digest = fields
        return model.ServerRow(
            server=server,
            state=model.ServerState(state),
            token=ids.Token(int(token)),
            incarnation=incarnation,
            lessors=tuple(model.LessorRef(*pair) for pair in lessors),
            previous_lessors=tuple(model.LessorRef(*pair) for pair in previous),
            shards_digest=int(shards_digest),
        )
    except (TypeError, ValueError) as error:
        raise errors.CorruptRowError(
            f"row {key} is malformed: {error}", step="codec.decode_server", peer="table"
        ) from error
