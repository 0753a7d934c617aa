"""Reads a configuration folder and merges its files in the order of their names."""

from __future__ import annotations

import dataclasses
import pathlib
import re
import tomllib
from collections.abc import Mapping
from typing import Any

from celerystack import errors, ids, model
from celerystack.config import problems, schema, validation

FILE_PATTERN = re.compile(r"[A-Za-z0-9][A-Za-z0-9._-]{0,99}\.toml")
NO_VERSION = ids.ConfigVersion(0)
FILE_BYTES_MAX = 4 << 20
"""Larger files are rejected, because each file is stored as one table row."""


def read_folder(folder: pathlib.Path) -> dict[str, str]:
    """Read the ``*.toml`` files of a folder.

    Raises
    ------
    errors.ConfigError
        If the folder or a file cannot be read or decoded, or if there is no file.
    """
    if not folder.is_dir():
        raise errors.ConfigError("is not a folder", step="config.read", peer=str(folder))
    found: list[problems.Problem] = []
    text_by_file: dict[str, str] = {}
    for path in sorted(folder.glob("*.toml")):
        try:
            # newline="" keeps line endings, so that the hash matches the bytes of the file.
            with path.open(encoding="utf-8", newline="") as stream:
                text_by_file[path.name] = stream.read()
        except (OSError, UnicodeDecodeError) as error:
            found.append(problems.Problem(path.name, "", str(error)))
    if found:
        raise problems.config_error(found, step="config.read")
    if not text_by_file:
        # A wrong path would otherwise be taken for the deletion of every file.
        raise errors.ConfigError("has no *.toml files", step="config.read", peer=str(folder))
    return text_by_file


class Merger:
    """Merges files; caches parsed files and validated tables between calls."""

    def __init__(self) -> None:
        self._parsed_by_file: dict[str, _ParsedFile] = {}
        self._table_cache = validation.TableCache()

    def merge(
        self, text_by_file: Mapping[str, str], *, version: ids.ConfigVersion = NO_VERSION
    ) -> model.Configuration:
        """Merge and validate files; raises `errors.ConfigError`, which lists every problem."""
        configuration, found = self.examine(text_by_file)
        if found:
            raise problems.config_error(found, step="config.merge")
        return dataclasses.replace(configuration, version=version)

    def examine(
        self, text_by_file: Mapping[str, str]
    ) -> tuple[model.Configuration, list[problems.Problem]]:
        """Return the configuration of valid tables, and all problems by file and field."""
        found: list[problems.Problem] = []
        tables_by_kind: dict[str, dict[str, validation.MergedTable]] = {
            kind: {} for kind in schema.SCHEMAS_BY_KIND
        }
        parsed_by_file: dict[str, _ParsedFile] = {}
        for file in sorted(text_by_file):
            parsed = self._parsed_by_file.get(file)
            if parsed is None or parsed.text != text_by_file[file]:
                parsed = _parse_file(file, text_by_file[file])
            parsed_by_file[file] = parsed
            found.extend(parsed.problems)
            _merge_document(file, parsed.document, tables_by_kind, found)
        self._parsed_by_file = parsed_by_file
        configuration = validation.build_configuration(tables_by_kind, found, self._table_cache)
        return configuration, sorted(set(found))


def merge_files(
    text_by_file: Mapping[str, str], *, version: ids.ConfigVersion = NO_VERSION
) -> model.Configuration:
    """Merge and validate files.

    Raises
    ------
    errors.ConfigError
        If a file is invalid; the message lists every problem.
    """
    return Merger().merge(text_by_file, version=version)


def examine(
    text_by_file: Mapping[str, str],
) -> tuple[model.Configuration, list[problems.Problem]]:
    """Return the configuration of valid tables, and all problems by file and field."""
    return Merger().examine(text_by_file)


@dataclasses.dataclass(frozen=True)
class _ParsedFile:
    text: str
    document: dict[str, Any] = dataclasses.field(default_factory=dict)
    problems: tuple[problems.Problem, ...] = ()


def _parse_file(file: str, text: str) -> _ParsedFile:
    if not FILE_PATTERN.fullmatch(file):
        reason = "file names are letters, digits, '.', '_' and '-', ending in .toml"
        return _ParsedFile(text, problems=(problems.Problem(file, "", reason),))
    if len(text.encode()) > FILE_BYTES_MAX:
        reason = f"is larger than {FILE_BYTES_MAX} bytes"
        return _ParsedFile(text, problems=(problems.Problem(file, "", reason),))
    try:
        return _ParsedFile(text, tomllib.loads(text))
    except tomllib.TOMLDecodeError as error:
        reason = f"is not valid TOML: {error}"
        return _ParsedFile(text, problems=(problems.Problem(file, "", reason),))


def _merge_document(
    file: str,
    document: Mapping[str, Any],
    tables_by_kind: dict[str, dict[str, validation.MergedTable]],
    found: list[problems.Problem],
) -> None:
    for kind, tables in document.items():
        if kind not in tables_by_kind:
            reason = "unknown table" + problems.hint(kind, tables_by_kind)
            found.append(problems.Problem(file, kind, reason))
            continue
        if not isinstance(tables, dict):
            found.append(problems.Problem(file, kind, f"must be tables [{kind}.<name>]"))
            continue
        merged_by_name = tables_by_kind[kind]
        for name, table in tables.items():
            if not isinstance(table, dict):
                reason = f"must be a table [{kind}.<name>]"
                found.append(problems.Problem(file, f"{kind}.{name}", reason))
                continue
            merged = merged_by_name.get(name)
            if merged is None:
                merged_by_name[name] = validation.MergedTable(file, table)
            else:
                merged.sources.append((file, table))
