"""Decodes the entries that servers write about themselves."""

from __future__ import annotations

import json

from celerystack import errors, ids
from celerystack.fleet import servers
from celerystack.platform import wire

TABLE = "servers"

_STATE_BY_WORD = {
    "ready": servers.ServerState.READY,
    "draining": servers.ServerState.DRAINING,
}


def decode(key: ids.RowKey, data: bytes) -> servers.ServerEntry:
    """Return the entry in a row.

    Raises
    ------
    errors.CorruptRowError
        A field is missing or of another type; such an entry may come from another writer.
    """
    try:
        fields = json.loads(data)
        address = fields["address"]
        wire.address(address)
        for name in ("service", "zone"):
            if not isinstance(fields[name], str) or not fields[name]:
                raise TypeError(f"{name} is not a text")
        for name in ("slots", "born", "sequence"):
            if not isinstance(fields[name], int) or isinstance(fields[name], bool):
                raise TypeError(f"{name} is not a whole number")
        if fields["slots"] < 1:
            raise ValueError("a server without slots")
        return servers.ServerEntry(
            server=ids.ServerId(key),
            service=ids.ServiceName(fields["service"]),
            address=address,
            zone=ids.ZoneName(fields["zone"]),
            slots=fields["slots"],
            state=_STATE_BY_WORD[fields["state"]],
            cold_s=wire.seconds(fields["cold_remaining"]),
            started_ms=fields["born"],
        )
    except (KeyError, ValueError, TypeError, AttributeError) as error:
        raise errors.CorruptRowError(
            f"malformed entry: {error!r}", step="servers.decode", peer=key
        ) from error
