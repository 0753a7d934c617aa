"""Keys of table rows."""

from __future__ import annotations

from celerystack import ids

CONFIG_HEAD = ids.RowKey("config/head")
CONFIG_FILE_PREFIX = "config/file/"
SERVER_PREFIX = "server/"
MAP_PREFIX = "map/"
DRAIN_PREFIX = "drain/"
EVACUATE_PREFIX = "evacuate/"
RELEASE_PREFIX = "release/"
AUDIT_PREFIX = "audit/"


def config_file(name: str) -> ids.RowKey:
    """Return the key of the row of a configuration file."""
    return ids.RowKey(CONFIG_FILE_PREFIX + name)


def server(server_id: ids.ServerId) -> ids.RowKey:
    """Return the key of the row of a backend server."""
    return ids.RowKey(SERVER_PREFIX + server_id)


def shard_map(service: ids.ServiceName, chunk: int) -> ids.RowKey:
    """Return the key of the row of one chunk of a service's shard map."""
    return ids.RowKey(f"{MAP_PREFIX}{service}/{chunk:06d}")


def drain(server_id: ids.ServerId) -> ids.RowKey:
    """Return the key of the row that requests the drain of a server."""
    return ids.RowKey(DRAIN_PREFIX + server_id)


def evacuate(zone: ids.ZoneName) -> ids.RowKey:
    """Return the key of the row that requests the evacuation of a zone."""
    return ids.RowKey(EVACUATE_PREFIX + zone)


def release(server_id: ids.ServerId) -> ids.RowKey:
    """Return the key of the row with an operator's evidence that a server's process ended."""
    return ids.RowKey(RELEASE_PREFIX + server_id)


def audit(time_ms: int, transaction: ids.TransactionId) -> ids.RowKey:
    """Return the key of the audit row of a transaction."""
    return ids.RowKey(f"{AUDIT_PREFIX}{time_ms:015d}-{transaction}")
