"""Settings of all subcommands, each declared once as a field of `Settings`.

A flag takes precedence over ``CELERYSTACK_<NAME>`` in the environment, and that over the default.
`load` reports all invalid settings at once, before any socket is opened.
"""

from __future__ import annotations

import dataclasses
import difflib
import enum
import ipaddress
import re
from collections.abc import Callable, Collection, Mapping
from typing import Any

from celerystack import errors

ENVIRONMENT_PREFIX = "CELERYSTACK_"
MASK = "********"
SECRET_BYTES_MIN = 16
"""Shorter peer secrets are rejected, because short HMAC keys can be guessed."""

_NAME_PATTERN = re.compile(r"[A-Za-z0-9][A-Za-z0-9._-]{0,63}")


class LogFormat(enum.Enum):
    """Format of log lines."""

    JSON = "json"
    KEY_VALUE = "key_value"


class LogLevel(enum.Enum):
    """Lowest level that is logged."""

    DEBUG = "debug"
    INFO = "info"
    WARNING = "warning"
    ERROR = "error"


class Source(enum.Enum):
    """Where the value of a setting comes from."""

    FLAG = "flag"
    ENVIRONMENT = "environment"
    DEFAULT = "default"


def split_address(text: str) -> tuple[str, int]:
    """Split ``IP:port`` or ``[IPv6]:port``.

    Returns
    -------
    tuple of (str, int)
        The numeric IP address without brackets, and the port.

    Raises
    ------
    ValueError
        If the text is a DNS name, has no port, or the port is outside 1 to 65535.
    """
    host, separator, port_text = text.rpartition(":")
    if not separator or not port_text.isascii() or not port_text.isdigit():
        raise ValueError(f"{text!r} is not IP:port")
    port = int(port_text)
    if not 1 <= port <= 65535:
        raise ValueError(f"port {port} is outside 1 to 65535")
    bracketed = host.startswith("[") and host.endswith("]")
    try:
        address = ipaddress.ip_address(host[1:-1] if bracketed else host)
    except ValueError:
        raise ValueError(
            f"{host!r} is not a numeric IP address (DNS names are not allowed)"
        ) from None
    if bracketed != (address.version == 6):
        raise ValueError(f"{text!r}: brackets are required for IPv6 and not allowed for IPv4")
    return str(address), port


def _parse_address(text: str) -> str:
    host, port = split_address(text)
    return f"[{host}]:{port}" if ":" in host else f"{host}:{port}"


def _parse_addresses(text: str) -> tuple[str, ...]:
    return tuple(_parse_address(part.strip()) for part in text.split(",") if part.strip())


def _parse_name(text: str) -> str:
    if not _NAME_PATTERN.fullmatch(text):
        raise ValueError(f"{text!r} is not a name (letters, digits, '.', '_', '-', at most 64)")
    return text


def _parse_secrets(text: str) -> tuple[bytes, ...]:
    secrets = tuple(part.strip().encode() for part in text.split(",") if part.strip())
    if any(len(secret) < SECRET_BYTES_MIN for secret in secrets):
        raise ValueError(f"a secret is shorter than {SECRET_BYTES_MIN} bytes")
    return secrets


def _parse_seconds(text: str) -> float:
    value = float(text)
    if not 0 < value <= 3600:
        raise ValueError(f"{text} is outside 0 to 3600")
    return value


def _parse_count(text: str) -> int:
    value = int(text)
    if not 1 <= value <= 1 << 40:
        raise ValueError(f"{text} is not a positive number")
    return value


def _enum_parser(enum_type: type[enum.Enum]) -> Callable[[str], Any]:
    def parse(text: str) -> enum.Enum:
        try:
            return enum_type(text.lower())
        except ValueError:
            allowed = ", ".join(member.value for member in enum_type)
            raise ValueError(f"{text!r} is not one of {allowed}") from None

    return parse


def _setting(
    parse: Callable[[str], Any],
    default: Any,
    help_text: str,
    *,
    kind: str,
    unit: str = "",
    secret: bool = False,
) -> Any:
    metadata = {"parse": parse, "kind": kind, "unit": unit, "help": help_text, "secret": secret}
    return dataclasses.field(default=default, metadata=metadata, repr=not secret)


@dataclasses.dataclass(frozen=True, kw_only=True)
class Settings:
    """Settings in force. An unset address or name is the empty string.

    ``peer_secrets`` has the HMAC keys: the first one signs, all of them verify.
    """

    vm: str = _setting(_parse_name, "", "Id of this entry VM, unique among all VMs.", kind="name")
    zone: str = _setting(_parse_name, "", "Availability zone of this entry VM.", kind="name")
    caller_address: str = _setting(
        _parse_address, "", "Listener for callers (HTTP).", kind="IP:port"
    )
    peer_address: str = _setting(
        _parse_address, "", "Listener for other entry VMs.", kind="IP:port"
    )
    admin_address: str = _setting(
        _parse_address,
        "",
        "Listener for metrics, health, status and routing queries (HTTP).",
        kind="IP:port",
    )
    advertised_peer_address: str = _setting(
        _parse_address,
        "",
        "Peer address that other entry VMs use; default peer_address.",
        kind="IP:port",
    )
    table_address: str = _setting(
        _parse_address, "", "The platform's table service.", kind="IP:port"
    )
    object_address: str = _setting(
        _parse_address, "", "The platform's object store.", kind="IP:port"
    )
    membership_address: str = _setting(
        _parse_address, "", "The platform's membership list.", kind="IP:port"
    )
    peers: tuple[str, ...] = _setting(
        _parse_addresses, (), "Peer addresses known at start, comma separated.", kind="IP:port list"
    )
    peer_secrets: tuple[bytes, ...] = _setting(
        _parse_secrets,
        (),
        "Shared secrets between entry VMs, comma separated: the first signs, all verify. "
        "Prefer the environment variable, because flags are visible in process lists.",
        kind="text list",
        secret=True,
    )
    store_timeout_s: float = _setting(
        _parse_seconds,
        1.0,
        "Time limit of one call to a platform service.",
        kind="number",
        unit="s",
    )
    command_limit_s: float = _setting(
        _parse_seconds,
        15.0,
        "Time limit of one command, including finding out whether a change was committed.",
        kind="number",
        unit="s",
    )
    shutdown_limit_s: float = _setting(
        _parse_seconds,
        30.0,
        "Longest time that a graceful shutdown waits for requests in flight.",
        kind="number",
        unit="s",
    )
    caller_idle_s: float = _setting(
        _parse_seconds,
        60.0,
        "Idle caller connections are closed after this.",
        kind="number",
        unit="s",
    )
    body_bytes_max: int = _setting(
        _parse_count,
        1 << 20,
        "Largest body of a request or response.",
        kind="integer",
        unit="bytes",
    )
    log_format: LogFormat = _setting(
        _enum_parser(LogFormat),
        LogFormat.KEY_VALUE,
        "Format of log lines.",
        kind="json or key_value",
    )
    log_level: LogLevel = _setting(
        _enum_parser(LogLevel),
        LogLevel.INFO,
        "Lowest level that is logged.",
        kind="debug, info, warning or error",
    )


FIELDS_BY_NAME: dict[str, dataclasses.Field] = {
    field.name: field for field in dataclasses.fields(Settings)
}

ROUTER_REQUIRED = (
    "vm",
    "zone",
    "caller_address",
    "peer_address",
    "admin_address",
    "table_address",
    "object_address",
    "membership_address",
    "peer_secrets",
)
"""Names of the settings without which the router does not start."""


def environment_name(name: str) -> str:
    """Return the environment variable of a setting."""
    return ENVIRONMENT_PREFIX + name.upper()


def flag_name(name: str) -> str:
    """Return the command line flag of a setting."""
    return "--" + name.replace("_", "-")


def sources_by_name(*, flags: Mapping[str, str], environ: Mapping[str, str]) -> dict[str, Source]:
    """Return the source of every setting's value."""
    return {name: _source(name, flags, environ) for name in FIELDS_BY_NAME}


def _source(name: str, flags: Mapping[str, str], environ: Mapping[str, str]) -> Source:
    if name in flags:
        return Source.FLAG
    return Source.ENVIRONMENT if environ.get(environment_name(name)) else Source.DEFAULT


def load(
    *,
    flags: Mapping[str, str],
    environ: Mapping[str, str],
    required: Collection[str] = (),
) -> Settings:
    """Parse and check all settings.

    Parameters
    ----------
    flags : mapping
        Text by setting name, from the command line.
    environ : mapping
        Environment variables; an empty variable counts as unset.
    required : collection of str
        Names of settings that must have a value.

    Raises
    ------
    errors.SettingsError
        If settings are invalid or missing; the message lists all of them.
    """
    problems = _misspelt_variables(environ)
    values: dict[str, Any] = {}
    for name, field in FIELDS_BY_NAME.items():
        source = _source(name, flags, environ)
        if source is Source.DEFAULT:
            if name in required and not field.default:
                problems.append(f"{flag_name(name)} or {environment_name(name)} is required")
            continue
        from_flag = source is Source.FLAG
        text = flags[name] if from_flag else environ[environment_name(name)]
        try:
            values[name] = field.metadata["parse"](text)
        except ValueError as error:
            where = flag_name(name) if from_flag else environment_name(name)
            problems.append(f"{where}: {error}")
            continue
        if name in required and not values[name]:
            problems.append(f"{flag_name(name)} is empty")
    result = _with_defaults(Settings(**values))
    problems += _conflicts_between_settings(result)
    if problems:
        raise errors.SettingsError("; ".join(problems), step="settings")
    return result


def _with_defaults(result: Settings) -> Settings:
    if result.advertised_peer_address:
        return result
    return dataclasses.replace(result, advertised_peer_address=result.peer_address)


def _misspelt_variables(environ: Mapping[str, str]) -> list[str]:
    """Report variables that resemble a setting; others with the prefix may be of other tools."""
    known = [environment_name(name) for name in FIELDS_BY_NAME]
    problems = []
    for name in sorted(environ):
        if not name.startswith(ENVIRONMENT_PREFIX) or name in known:
            continue
        close = difflib.get_close_matches(name, known, n=1, cutoff=0.85)
        if close:
            problems.append(f"{name} is not a setting; did you mean {close[0]}?")
    return problems


def _conflicts_between_settings(result: Settings) -> list[str]:
    problems = []
    listeners = ("caller_address", "peer_address", "admin_address")
    first_by_address: dict[str, str] = {}
    for name in listeners:
        address = getattr(result, name)
        first = first_by_address.setdefault(address, name) if address else name
        if first != name:
            problems.append(f"{flag_name(name)} is the same address as {flag_name(first)}")
    advertised = result.advertised_peer_address
    if advertised and ipaddress.ip_address(split_address(advertised)[0]).is_unspecified:
        problems.append(
            f"--advertised-peer-address: {advertised} cannot be reached by other entry VMs"
        )
    return problems


def display(name: str, value: Any) -> str:
    """Format a value for operators; secrets are masked."""
    if FIELDS_BY_NAME[name].metadata["secret"]:
        return f"{MASK} ({len(value)})" if value else ""
    if isinstance(value, enum.Enum):
        return str(value.value)
    return ",".join(value) if isinstance(value, tuple) else str(value)
