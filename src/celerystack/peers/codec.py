"""Encoding of peer messages as msgpack: a list of the type name and the field values in order."""

from __future__ import annotations

import dataclasses
import enum
from typing import Any

import msgpack

from celerystack import errors, ids, model
from celerystack.peers import messages

_TYPES_BY_NAME = {message_type.__name__: message_type for message_type in messages.Message.__args__}


def encode(message: messages.Message) -> bytes:
    """Return the msgpack encoding of a message."""
    fields = [getattr(message, field.name) for field in dataclasses.fields(message)]
    return msgpack.packb([type(message).__name__, *fields], default=_encode_value)


def _encode_value(value: object) -> object:
    match value:
        case enum.Enum():
            return value.value
        case model.LessorRef(vm, incarnation):
            return [vm, incarnation]
    raise TypeError(f"cannot encode {type(value).__name__}")


def decode(data: bytes, *, peer: str) -> messages.Message:
    """Decode a message; raises `errors.BadFrameError` if it is malformed."""
    try:
        name, *values = msgpack.unpackb(data, strict_map_key=False)
        message_type = _TYPES_BY_NAME[name]
        field_names = [field.name for field in dataclasses.fields(message_type)]
        return _restore_types(message_type(**dict(zip(field_names, values, strict=True))))
    except Exception as error:
        raise errors.BadFrameError(
            f"malformed message: {error!r}", step="peers.decode", peer=peer
        ) from error


def _restore_types(message: Any) -> messages.Message:
    """Convert field values to the declared types, which msgpack does not preserve.

    Raises an exception if a value does not have the shape of its type.
    """
    match message:
        case messages.RowsWanted():
            return messages.RowsWanted(tuple(ids.RowKey(str(key)) for key in message.keys))
        case messages.Rows():
            return messages.Rows(tuple(_decode_row(row) for row in message.rows))
        case messages.RowVersions():
            versions = {ids.RowKey(str(k)): int(v) for k, v in message.versions_by_key.items()}
            return messages.RowVersions(versions)
        case messages.PromiseReply():
            return dataclasses.replace(
                message,
                lessor=model.LessorRef(*message.lessor),
                deputies=tuple(model.LessorRef(*pair) for pair in message.deputies),
                remaining_s=float(message.remaining_s),
            )
        case messages.ClaimReply() | messages.ClaimResult():
            return dataclasses.replace(message, state=messages.ClaimState(message.state))
        case messages.Heartbeat():
            return dataclasses.replace(
                message,
                stamp=float(message.stamp),
                echo_stamp=float(message.echo_stamp),
                uptime_s=float(message.uptime_s),
                silent_servers=tuple(str(server) for server in message.silent_servers),
            )
        case messages.Traffic():
            return dataclasses.replace(
                message,
                rate_by_shard={int(s): float(rate) for s, rate in message.rate_by_shard.items()},
                rates_by_key={
                    int(key): (float(rate), float(error))
                    for key, (rate, error) in message.rates_by_key.items()
                },
                unlisted_rate_max=float(message.unlisted_rate_max),
            )
    return message


def _decode_row(row: list) -> tuple[ids.RowKey, ids.RowVersion, bytes | None]:
    key, version, value = row
    if value is not None and not isinstance(value, bytes):
        raise TypeError("row value is not bytes")
    return ids.RowKey(str(key)), ids.RowVersion(int(version)), value
