"""Decodes and encodes durations and addresses in the platform's notation."""

from __future__ import annotations

import ipaddress
import re

_PORT = re.compile(r"[0-9]{1,5}")
_DURATION = re.compile(r"(\d+(?:\.\d+)?)(ms|s)")


def seconds(text: object) -> float:
    """Decode a duration such as ``1500ms`` or ``2.5s`` to seconds.

    Raises
    ------
    ValueError
        If the text is not a duration.
    """
    found = _DURATION.fullmatch(text) if isinstance(text, str) else None
    if found is None:
        raise ValueError(f"{text!r} is not a duration")
    amount = float(found.group(1))
    return amount / 1000 if found.group(2) == "ms" else amount


def milliseconds(duration_s: float) -> str:
    """Encode a duration in whole milliseconds, such as ``1500ms``."""
    return f"{round(duration_s * 1000)}ms"


def address(text: object) -> tuple[str, int]:
    """Decode ``IP:port`` to host and port; an IPv6 address keeps its brackets.

    Raises
    ------
    ValueError
        If the text is not an address.
    """
    if not isinstance(text, str):
        raise ValueError(f"{text!r} is not an address")
    host, _, port = text.rpartition(":")
    if not _PORT.fullmatch(port) or not 0 < int(port) < 65_536:
        raise ValueError(f"{text!r:.80} is not an address")
    ipaddress.ip_address(host.removeprefix("[").removesuffix("]"))
    return host, int(port)
