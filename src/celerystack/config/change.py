"""Three-way merge of a folder into the accepted configuration, without I/O."""

from __future__ import annotations

import dataclasses
import hashlib
import json
from collections.abc import Mapping

from celerystack import errors, ids, model
from celerystack.config import derive, loader
from celerystack.state import codec, keys
from celerystack.store import ports

SNAPSHOT_PREFIX = "config/"


@dataclasses.dataclass(frozen=True, kw_only=True)
class Base:
    """Common ancestor of the three-way merge: the files that the folder was started from.

    Attributes
    ----------
    version : ConfigVersion
        Configuration version of these files; 0 for an empty configuration.
    sha256_by_file : dict
        SHA-256 of each file in that version.
    """

    version: ids.ConfigVersion = ids.ConfigVersion(0)
    sha256_by_file: dict[str, str] = dataclasses.field(default_factory=dict)


@dataclasses.dataclass(frozen=True, kw_only=True)
class Accepted:
    """The accepted configuration as read from the table.

    Attributes
    ----------
    row_versions_by_key : dict
        Versions of ``config/head`` and of all file rows, including deleted rows that were read.
    snapshot : str
        Object name of the snapshot; empty for version 0.
    """

    version: ids.ConfigVersion = ids.ConfigVersion(0)
    snapshot: str = ""
    text_by_file: dict[str, str] = dataclasses.field(default_factory=dict)
    row_versions_by_key: dict[ids.RowKey, ids.RowVersion] = dataclasses.field(default_factory=dict)

    @property
    def sha256_by_file(self) -> dict[str, str]:
        """SHA-256 of each file."""
        return {file: derive.sha256(text) for file, text in self.text_by_file.items()}


@dataclasses.dataclass(frozen=True, kw_only=True)
class Change:
    """What `apply` commits; `store.transactor` adds the audit row.

    Attributes
    ----------
    written, deleted : tuple of str
        Names of the files that this change writes and deletes.
    kept : tuple of str
        Files that other operators changed since the base; the folder has an older text of them.
    snapshot : bytes
        Object to store as ``head.snapshot`` before the transaction.
    """

    head: codec.ConfigHead
    configuration: model.Configuration
    written: tuple[str, ...]
    deleted: tuple[str, ...]
    kept: tuple[str, ...]
    snapshot: bytes
    expected_versions_by_key: dict[ids.RowKey, ids.RowVersion]
    writes: tuple[ports.Write, ...]


def snapshot_body(text_by_file: Mapping[str, str]) -> bytes:
    """Encode all files as one immutable object; the encoding is deterministic."""
    return json.dumps(dict(text_by_file), sort_keys=True, ensure_ascii=False).encode()


def snapshot_name(body: bytes) -> str:
    """Return the object name ``config/<sha256>``."""
    return SNAPSHOT_PREFIX + hashlib.sha256(body).hexdigest()


def merge(
    *, base: Base, accepted: Accepted, folder: Mapping[str, str]
) -> tuple[dict[str, str], tuple[str, ...]]:
    """Merge the folder's changes since the base into the accepted files.

    Returns
    -------
    tuple
        Merged text by file, and the names of files that only other operators changed.

    Raises
    ------
    errors.ConfigConflictError
        If both sides changed a file differently; the message names every such file.
    """
    merged: dict[str, str] = {}
    conflicts: list[str] = []
    kept: list[str] = []
    for file in sorted({*base.sha256_by_file, *accepted.text_by_file, *folder}):
        before = base.sha256_by_file.get(file)
        theirs = accepted.text_by_file.get(file)
        ours = folder.get(file)
        theirs_changed = _sha256(theirs) != before
        ours_changed = _sha256(ours) != before
        if ours_changed and theirs_changed and ours != theirs:
            conflicts.append(file)
        elif theirs_changed and not ours_changed:
            kept.append(file)
        result = ours if ours_changed else theirs
        if result is not None:
            merged[file] = result
    if conflicts:
        raise errors.ConfigConflictError(
            f"{', '.join(conflicts)}: changed in the folder and by another operator since version "
            f"{base.version} (now {accepted.version})",
            step="config.merge",
        )
    return merged, tuple(kept)


def plan(*, base: Base, accepted: Accepted, folder: Mapping[str, str]) -> Change | None:
    """Plan the transaction of `apply`.

    Returns
    -------
    Change or None
        None if the accepted configuration already contains the folder's changes.

    Raises
    ------
    errors.ConfigConflictError
        If another operator changed the same file.
    errors.ConfigError
        If the merged configuration is invalid, or changes the shard count of an existing service.
    """
    merged, kept = merge(base=base, accepted=accepted, folder=folder)
    version = ids.ConfigVersion(accepted.version + 1)
    merger = loader.Merger()
    before = merger.examine(accepted.text_by_file)[0]
    configuration = merger.merge(merged, version=version)
    if merged == accepted.text_by_file and accepted.version > 0:
        return None
    _check_shard_counts(before, configuration)
    written = tuple(f for f, text in merged.items() if accepted.text_by_file.get(f) != text)
    deleted = tuple(file for file in accepted.text_by_file if file not in merged)
    body = snapshot_body(merged)
    head = codec.ConfigHead(
        version=version,
        sha256_by_file={file: derive.sha256(text) for file, text in merged.items()},
        snapshot=snapshot_name(body),
    )
    writes = [ports.Write(keys.CONFIG_HEAD, codec.encode_fields(head))]
    writes += [ports.Write(keys.config_file(file), merged[file].encode()) for file in written]
    writes += [ports.Write(keys.config_file(file), None) for file in deleted]
    return Change(
        head=head,
        configuration=configuration,
        written=written,
        deleted=deleted,
        kept=kept,
        snapshot=body,
        expected_versions_by_key={
            write.key: accepted.row_versions_by_key.get(write.key, ids.RowVersion(0))
            for write in writes
        },
        writes=tuple(writes),
    )


def _sha256(text: str | None) -> str | None:
    return None if text is None else derive.sha256(text)


def _check_shard_counts(accepted: model.Configuration, configuration: model.Configuration) -> None:
    """Reject a changed shard count: shard ids would denote other keys under the same epochs."""
    before = accepted.services_by_name
    changed = [
        f"service.{name}.shards: cannot change from {before[name].shards} to {service.shards} "
        "while the service exists; declare a new service instead"
        for name, service in configuration.services_by_name.items()
        if name in before and before[name].shards != service.shards
    ]
    if changed:
        raise errors.ConfigError("; ".join(changed), step="config.merge")
