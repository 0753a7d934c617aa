"""Derives the configuration in force from cached table rows."""

from __future__ import annotations

import hashlib

from celerystack import errors, model
from celerystack.config import loader
from celerystack.state import cache, codec, keys


def sha256(text: str) -> str:
    """Return the SHA-256 of a file's UTF-8 text, in hexadecimal."""
    return hashlib.sha256(text.encode()).hexdigest()


def configuration_from_rows(
    rows: cache.RowCache, *, merger: loader.Merger | None = None
) -> model.Configuration | None:
    """Return the configuration that ``config/head`` names.

    Parameters
    ----------
    merger : loader.Merger or None
        Reused by the caller between calls, so that only changed files are parsed again.

    Returns
    -------
    model.Configuration or None
        None if there is no head yet, or if a file it names is missing or has another SHA-256: the
        rows of one transaction may arrive separately.

    Raises
    ------
    errors.CorruptRowError
        If the head or a file cannot be decoded.
    errors.ConfigError
        If the files are complete but invalid, which `apply` never commits.
    """
    head = rows.get(keys.CONFIG_HEAD)
    if head.value is None:
        return None
    accepted = codec.decode_fields(codec.ConfigHead, head.value, key=keys.CONFIG_HEAD)
    text_by_file: dict[str, str] = {}
    for file, expected in accepted.sha256_by_file.items():
        row = rows.get(keys.config_file(file))
        if row.value is None or hashlib.sha256(row.value).hexdigest() != expected:
            return None
        text_by_file[file] = decode_text(row.value, key=row.key)
    return (merger or loader.Merger()).merge(text_by_file, version=accepted.version)


def decode_text(value: bytes, *, key: str) -> str:
    """Decode the value of a file row; raises `errors.CorruptRowError` if it is not UTF-8."""
    try:
        return value.decode()
    except UnicodeDecodeError as error:
        raise errors.CorruptRowError(
            f"row {key} is not UTF-8: {error}", step="config.decode_text", peer="table"
        ) from error
