"""Table reads shared by several subcommands."""

from __future__ import annotations

import hashlib
import json
import pathlib
from collections.abc import Iterable

from twisted.internet import task

from celerystack import errors, ids, model
from celerystack.commands import job
from celerystack.config import base_file, change, derive, loader, problems
from celerystack.observe import audit
from celerystack.state import codec, keys
from celerystack.store import ports

CONFIG_PREFIX = "config/"
RETRY_S = 0.1


async def accepted(remote: job.RemoteContext, *, files: Iterable[str] = ()) -> change.Accepted:
    """Read the accepted configuration.

    Parameters
    ----------
    files : iterable of str
        Names of files whose row versions are read even if the files do not exist.

    Raises
    ------
    errors.CorruptRowError
        If the file rows still do not match ``config/head`` at the command's deadline.
    """
    while True:
        rows = await remote.table.scan(CONFIG_PREFIX)
        try:
            result = _accepted_from_rows(rows)
        except _InconsistentRowsError:
            # The scan overlapped a commit; the next scan returns the rows of one version.
            if remote.clock.seconds() >= remote.deadline:
                raise
            await task.deferLater(remote.clock, RETRY_S, lambda: None)
            continue
        needed_keys = [keys.CONFIG_HEAD, *map(keys.config_file, files)]
        unread_keys = [key for key in needed_keys if key not in result.row_versions_by_key]
        for row in await remote.table.get(unread_keys) if unread_keys else ():
            result.row_versions_by_key.setdefault(row.key, row.version)
        return result


class _InconsistentRowsError(errors.CorruptRowError):
    """The file rows do not match ``config/head``."""


def _accepted_from_rows(rows: list[ports.Row]) -> change.Accepted:
    rows_by_key = {row.key: row for row in rows if row.value is not None}
    versions_by_key = {row.key: row.version for row in rows}
    head_row = rows_by_key.get(keys.CONFIG_HEAD)
    if head_row is None:
        return change.Accepted(row_versions_by_key=versions_by_key)
    head = codec.decode_fields(codec.ConfigHead, head_row.value, key=keys.CONFIG_HEAD)
    text_by_file: dict[str, str] = {}
    for file, expected in head.sha256_by_file.items():
        row = rows_by_key.get(keys.config_file(file))
        if row is None or hashlib.sha256(row.value or b"").hexdigest() != expected:
            raise _InconsistentRowsError(
                f"row {keys.config_file(file)} is missing or does not match config/head",
                step="config.read",
                peer="table",
            )
        text_by_file[file] = derive.decode_text(row.value or b"", key=row.key)
    return change.Accepted(
        version=head.version,
        snapshot=head.snapshot,
        text_by_file=text_by_file,
        row_versions_by_key=versions_by_key,
    )


async def configuration(remote: job.RemoteContext) -> model.Configuration:
    """Read the configuration in force; return an empty one of version 0 if there is none."""
    return merged(await accepted(remote))


def merged(current: change.Accepted) -> model.Configuration:
    """Return the configuration that the accepted files declare."""
    return loader.merge_files(current.text_by_file, version=current.version)


async def evacuated_zones(remote: job.RemoteContext) -> frozenset[ids.ZoneName]:
    """Read which zones are evacuated, whether or not servers are declared in them."""
    rows = await remote.table.scan(keys.EVACUATE_PREFIX)
    return frozenset(ids.ZoneName(row.key.removeprefix(keys.EVACUATE_PREFIX)) for row in rows)


async def resolve_base(
    remote: job.RemoteContext, folder: pathlib.Path, base: int | None, current: change.Accepted
) -> change.Base:
    """Return the base of the version given by ``--base``, or else the one in the base file."""
    if base is None:
        return base_file.read(folder)
    return await base_of_version(remote, ids.ConfigVersion(base), current)


async def base_of_version(
    remote: job.RemoteContext, version: ids.ConfigVersion, current: change.Accepted
) -> change.Base:
    """Return the files of a version, read from its audit row and snapshot.

    Raises
    ------
    errors.ConfigError
        If the version does not exist, or its snapshot is missing or damaged.
    """
    if version == current.version:
        return change.Base(version=version, sha256_by_file=current.sha256_by_file)
    if version == 0:
        return change.Base()
    name = await _snapshot_of_version(remote, version)
    body = await remote.objects.get(name) if name else None
    if body is None:
        raise errors.ConfigError(
            f"version {version} is unknown (accepted version is {current.version})",
            step="config.base",
            peer="table",
        )
    if change.snapshot_name(body) != name:
        raise errors.ConfigError(
            f"object {name} does not match its name", step="config.base", peer="objects"
        )
    text_by_file: dict[str, str] = json.loads(body)
    return change.Base(
        version=version,
        sha256_by_file={file: derive.sha256(text) for file, text in text_by_file.items()},
    )


async def _snapshot_of_version(remote: job.RemoteContext, version: ids.ConfigVersion) -> str | None:
    for row in await remote.table.scan(keys.AUDIT_PREFIX):
        entry = codec.decode_fields(codec.AuditRow, row.value, key=row.key)
        if entry.action == audit.Action.APPLY.value:
            match audit.parse_config_text(entry.after):
                case (found, snapshot) if found == version:
                    return snapshot
    return None


def require_server(current: model.Configuration, server: str) -> model.BackendServer:
    """Return a declared server; raises `errors.CelerystackError` with a hint if it is unknown."""
    found = current.servers_by_id.get(ids.ServerId(server))
    if found is None:
        raise errors.CelerystackError(
            f"unknown server {server!r}" + problems.hint(server, current.servers_by_id),
            step="config.lookup",
        )
    return found


def require_zone(current: model.Configuration, zone: ids.ZoneName) -> None:
    """Raise `errors.CelerystackError` with a hint if no server is declared in a zone."""
    known = sorted(current.server_zones())
    if zone not in known:
        shown = f" (zones with servers: {', '.join(known)})" if known else ""
        raise errors.CelerystackError(
            f"unknown zone {zone!r}{problems.hint(zone, known)}{shown}", step="config.lookup"
        )


def require_service(current: model.Configuration, service: str) -> model.Service:
    """Return a declared service; raises `errors.CelerystackError` with a hint if it is unknown."""
    found = current.services_by_name.get(ids.ServiceName(service))
    if found is None:
        raise errors.CelerystackError(
            f"unknown service {service!r}" + problems.hint(service, current.services_by_name),
            step="config.lookup",
        )
    return found
