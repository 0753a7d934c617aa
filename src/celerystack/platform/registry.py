"""Decodes the rows in which servers register themselves."""

from __future__ import annotations

import json
import re
from typing import Any

from celerystack import errors, ids
from celerystack.fleet import servers
from celerystack.platform import wire

TABLE = "servers"
NAME_LENGTH_MAX = 200
"""Largest number of characters of an id, a service or a zone."""
SLOTS_MAX = 10_000
"""Largest number of requests that a server can state to run concurrently."""
STARTED_MS_MAX = 2**53
"""Upper bound of a server's start in Unix milliseconds."""
COLD_MAX_S = 3_600.0
"""Longest time in seconds for which a server can state to be slow."""

_NAME = re.compile(r"[\x21-\x7e]+")

_STATE_BY_NAME = {
    "ready": servers.ServerState.READY,
    "draining": servers.ServerState.DRAINING,
}


def decode(key: ids.RowKey, data: bytes) -> servers.ServerEntry:
    """Decode the row of one server.

    Raises
    ------
    errors.CorruptRowError
        If a field is missing, out of range or has another type, as in a row by another writer.
    """
    try:
        fields = json.loads(data)
        _integer(fields, "sequence", 0, None)
        if not isinstance(fields["version"], str):
            raise TypeError("version is not a text")
        wire.address(fields["address"])
        cold_s = wire.seconds(fields["cold_remaining"])
        if cold_s > COLD_MAX_S:
            raise ValueError("cold_remaining is too long")
        return servers.ServerEntry(
            server=ids.ServerId(_name({"key": key}, "key")),
            service=ids.ServiceName(_name(fields, "service")),
            address=fields["address"],
            zone=ids.ZoneName(_name(fields, "zone")),
            slots=_integer(fields, "slots", 1, SLOTS_MAX),
            state=_STATE_BY_NAME[fields["state"]],
            cold_s=cold_s,
            started_ms=_integer(fields, "born", 0, STARTED_MS_MAX),
        )
    except (KeyError, ValueError, TypeError, AttributeError, RecursionError) as error:
        raise errors.CorruptRowError(
            f"malformed server entry: {error!r:.200}", step="servers.decode", peer=key
        ) from error


def _name(fields: dict[str, Any], name: str) -> str:
    """Return a name of visible ASCII characters, which can be in headers and datagrams."""
    value = fields[name]
    if not isinstance(value, str) or not _NAME.fullmatch(value) or len(value) > NAME_LENGTH_MAX:
        raise ValueError(f"{name} is not a short name of visible characters")
    return value


def _integer(fields: dict[str, Any], name: str, lowest: int, highest: int | None) -> int:
    value = fields[name]
    if not isinstance(value, int) or isinstance(value, bool):
        raise TypeError(f"{name} is not an integer")
    if value < lowest or (highest is not None and value > highest):
        raise ValueError(f"{name} is out of range")
    return value
