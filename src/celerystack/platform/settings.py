"""Reads the settings file that the platform writes for each process."""

from __future__ import annotations

import os
import pathlib
import tomllib
from collections.abc import Mapping
from typing import Any

from celerystack import errors, ids
from celerystack.forwarding import owners
from celerystack.gateway import settings
from celerystack.limits import body_account
from celerystack.platform import wire
from celerystack.requests import caller_limits

FILE_VARIABLE = "CELERYSTACK_NODE_FILE"
METRICS_PORT = 9464
"""Must equal the port in the deployment file."""
OWN_TABLE = "celerystack"
"""Table with the settings that the platform does not know."""
HEARTBEAT_DEFAULT = "1s"
"""Interval of the servers' heartbeats if the settings name none."""
EVACUATION_DEFAULT = "5000ms"
"""Time until an evacuation is binding if the settings name none."""
DEFAULT_FILE = "/etc/celerystack/local.toml"


def load(environ: Mapping[str, str] = os.environ) -> settings.NodeSettings:
    """Read the settings file at the path that the environment gives.

    Raises
    ------
    errors.SettingsError
        If the file cannot be read, or a field is missing or malformed.
    """
    path = environ.get(FILE_VARIABLE, DEFAULT_FILE)
    try:
        text = pathlib.Path(path).read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        raise errors.SettingsError(
            f"cannot read the settings file: {error}", step="settings", peer=path
        ) from error
    return parse(text, peer=path)


def parse(text: str, *, peer: str = "") -> settings.NodeSettings:
    """Decode the text of a settings file; unused fields are ignored.

    Raises
    ------
    errors.SettingsError
        If a field is missing or malformed.
    """
    try:
        tables = tomllib.loads(text)
        identity, network = tables["identity"], tables["network"]
        limits = identity["limits"]
        listen, terms = network["listen_addresses"], tables["terms"]["parameters"]
        store = tables["platform"]["platform"]
        own = tables.get(OWN_TABLE, {})
        return settings.NodeSettings(
            vm=ids.EntryVmId(str(identity["node_name"])),
            zone=ids.ZoneName(str(identity["zone"])),
            caller_address=wire.address(listen["front"]),
            ready_address=wire.address(listen["ready"]),
            metrics_address=(str(identity["ip_address"]), METRICS_PORT),
            peer_address=(str(identity["ip_address"]), int(network["internal_port_range"][0])),
            store_address=wire.address(store["address"]),
            grace_period_s=wire.seconds(terms["grace_period"]),
            retry_ratio=float(terms["retry_budget_ratio"]),
            retry_window_s=wire.seconds(terms["retry_window"]),
            retry_allowance=float(terms["retry_budget_slack"]),
            evacuation_s=wire.seconds(terms.get("evacuation", EVACUATION_DEFAULT)),
            cold_overshoot=float(terms.get("cold_overshoot", 1.0)),
            cold_slack=float(terms.get("cold_slack", 0.0)),
            heartbeat_s=wire.seconds(
                tables["platform"].get("heartbeat_interval", HEARTBEAT_DEFAULT)
            ),
            forwarding_vms_min=int(own.get("forwarding_vms_min", owners.FORWARDING_VMS_MIN)),
            cores=float(limits["cpu_share"]) * float(limits["cpu_cores"]),
            link_mbps=float(limits["link_mbps"]),
            memory_bytes=int(float(limits["memory_mb"]) * 1_000_000),
            file_descriptors=_positive(limits, "file_descriptors", None),
            open_large_bodies_max=_positive(
                terms, "open_large_bodies", body_account.OPEN_LARGE_BODIES_MAX
            ),
            body_progress_bytes=_positive(
                terms, "body_progress_bytes", caller_limits.BODY_PROGRESS_BYTES
            ),
            body_time_s=_positive_seconds(terms, "body_time", caller_limits.BODY_S),
        )
    except (KeyError, ValueError, TypeError, IndexError) as error:
        raise errors.SettingsError(
            f"malformed settings file: {error!r}", step="settings", peer=peer
        ) from error


def _positive(table: Mapping[str, Any], name: str, default: int | None) -> Any:
    """Return an optional positive integer."""
    if name not in table:
        return default
    value = table[name]
    if isinstance(value, bool) or not isinstance(value, int) or value < 1:
        raise ValueError(f"{name} is {value!r}, not a positive integer")
    return value


def _positive_seconds(table: Mapping[str, Any], name: str, default: float) -> float:
    """Return an optional positive duration in seconds."""
    if name not in table:
        return default
    seconds = wire.seconds(table[name])
    if not 0 < seconds < float("inf"):
        raise ValueError(f"{name} is {table[name]!r}, not a positive duration")
    return seconds
