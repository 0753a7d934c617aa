"""Reads and writes ``.celerystack-base.json``: the folder's files as of the last `apply`."""

from __future__ import annotations

import json
import os
import pathlib

from celerystack import errors, ids
from celerystack.config import change

FILE_NAME = ".celerystack-base.json"


def read(folder: pathlib.Path) -> change.Base:
    """Read the base file; return an empty base of version 0 if there is no file.

    Raises
    ------
    errors.ConfigError
        If the file cannot be read or is malformed.
    """
    path = folder / FILE_NAME
    try:
        fields = json.loads(path.read_text(encoding="utf-8"))
        return change.Base(
            version=ids.ConfigVersion(int(fields["version"])),
            sha256_by_file={str(k): str(v) for k, v in fields["sha256_by_file"].items()},
        )
    except FileNotFoundError:
        return change.Base()
    except (OSError, ValueError, KeyError, TypeError, AttributeError) as error:
        raise errors.ConfigError(
            f"cannot be read ({error!r}); restore it or use --base",
            step="config.base",
            peer=str(path),
        ) from error


def write(folder: pathlib.Path, base: change.Base) -> None:
    """Replace the base file atomically.

    Raises
    ------
    errors.CelerystackError
        If the file cannot be written.
    """
    path = folder / FILE_NAME
    temporary = folder / f"{FILE_NAME}.{os.getpid()}.new"
    body = {"version": base.version, "sha256_by_file": base.sha256_by_file}
    try:
        temporary.write_text(json.dumps(body, indent=2, sort_keys=True) + "\n", encoding="utf-8")
        temporary.replace(path)
    except OSError as error:
        raise errors.CelerystackError(
            f"version {base.version} is in force, but the base file cannot be written: {error}",
            step="config.base",
            peer=str(path),
        ) from error
