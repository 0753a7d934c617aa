"""Scalar values as the platform writes them."""

from __future__ import annotations

import re

_DURATION = re.compile(r"(\d+(?:\.\d+)?)(ms|s)")


def seconds(text: object) -> float:
    """Return the seconds of a duration such as ``1500ms`` or ``2.5s``.

    Raises
    ------
    ValueError
        The text is not a duration.
    """
    found = _DURATION.fullmatch(text) if isinstance(text, str) else None
    if found is None:
        raise ValueError(f"{text!r} is not a duration")
    amount = float(found.group(1))
    return amount / 1000 if found.group(2) == "ms" else amount


def milliseconds(amount_s: float) -> str:
    """Return a duration in whole milliseconds."""
    return f"{round(amount_s * 1000)}ms"


def address(text: object) -> tuple[str, int]:
    """Return host and port of ``IP:port``.

    Raises
    ------
    ValueError
        The text is not an address.
    """
    if not isinstance(text, str):
        raise ValueError(f"{text!r} is not an address")
    host, separator, port = text.rpartition(":")
    if not separator or not host or not port.isdigit() or not 0 < int(port) < 65_536:
        raise ValueError(f"{text!r} is not an address")
    return host, int(port)
