"""Decodes the configuration row that operators write."""

from __future__ import annotations

import json
from typing import Any

from celerystack import errors, ids
from celerystack.gateway import config
from celerystack.limits import cold_starts
from celerystack.platform import wire

TABLE = "op"
KEY = ids.RowKey("config")
_EVACUATION_PREFIX = "evacuate/"

# Downloads are requests with large responses; like safe requests, they may be retried.
_IDEMPOTENT_BY_KIND = {"safe": True, "download": True, "unsafe": False}


def decode(data: bytes) -> config.RoutingConfig:
    """Decode the value of the configuration row.

    Raises
    ------
    errors.CorruptRowError
        If the value is not a complete and consistent configuration.
    """
    try:
        fields = json.loads(data)
        services = {service.name: service for service in map(_decode_service, fields["services"])}
        routes = tuple(_decode_route(route, services) for route in fields["routes"])
        return config.RoutingConfig(
            version=_decode_version(fields["version"]),
            routes=routes,
            services_by_name=services,
            limits=_decode_limits(fields["limits"]),
        )
    except (KeyError, ValueError, TypeError, AttributeError) as error:
        raise errors.CorruptRowError(
            f"malformed configuration: {error!r}", step="config.decode"
        ) from error


def evacuated_zone(key: ids.RowKey) -> ids.ZoneName | None:
    """Return the zone that a row evacuates by its key; None if it is about something else."""
    if not key.startswith(_EVACUATION_PREFIX):
        return None
    return ids.ZoneName(key.removeprefix(_EVACUATION_PREFIX))


def _decode_version(text: str) -> ids.ConfigVersion:
    if not text.startswith("r"):
        raise ValueError(f"{text!r} is not a configuration version")
    return ids.ConfigVersion(int(text[1:]))


def _decode_service(fields: dict[str, Any]) -> config.ServicePolicy:
    return config.ServicePolicy(
        name=ids.ServiceName(_nonempty_string(fields["name"])),
        sharded=_boolean(fields.get("sharded", False)),
        connections_max=int(fields["max_connections"]),
        health_path=_nonempty_string(fields["health_check_path"]),
        cold=_decode_cold(fields),
    )


def _decode_cold(fields: dict[str, Any]) -> cold_starts.ColdPolicy:
    return cold_starts.ColdPolicy(
        cold_s=wire.seconds(fields.get("cold_start", "0ms")),
        per_s=max(0.0, float(fields.get("cold_per_s", 0.0))),
    )


def _decode_route(
    fields: dict[str, Any], services: dict[ids.ServiceName, config.ServicePolicy]
) -> config.Route:
    split = fields.get("traffic_split") or [{"service": fields["service"], "weight": 1}]
    targets = tuple(
        config.Target(service=ids.ServiceName(part["service"]), weight=float(part["weight"]))
        for part in split
    )
    timeout_s = wire.seconds(fields["timeout"])
    attempts = int(fields["max_attempts"])
    prefix = _nonempty_string(fields["prefix"])
    if any(target.service not in services or target.weight < 0 for target in targets):
        raise ValueError(f"route {fields['name']!r} has an unknown service or a negative weight")
    if attempts < 1 or timeout_s <= 0 or not sum(target.weight for target in targets):
        raise ValueError(
            f"route {fields['name']!r} needs an attempt, a positive timeout and a positive weight"
        )
    if not prefix.startswith("/") or not prefix.endswith("/"):
        raise ValueError(f"{prefix!r} is not a path prefix: it must start and end with '/'")
    return config.Route(
        name=_nonempty_string(fields["name"]),
        host=_nonempty_string(fields["host"]).lower(),
        prefix=prefix,
        targets=tuple(target for target in targets if target.weight > 0),
        idempotent=_IDEMPOTENT_BY_KIND[fields["kind"]],
        timeout_s=timeout_s,
        target_latency_s=wire.seconds(fields["target_latency"]),
        attempts_max=attempts,
        priority=int(fields["priority"]),
    )


def _decode_limits(fields: dict[str, Any]) -> config.CallerLimits:
    return config.CallerLimits(
        header_bytes_max=int(fields["max_header_bytes"]),
        body_bytes_max=int(fields["max_body_bytes"]),
        header_timeout_s=wire.seconds(fields["header_timeout"]),
        idle_timeout_s=wire.seconds(fields["idle_timeout"]),
    )


def _boolean(value: object) -> bool:
    if not isinstance(value, bool):
        raise ValueError(f"{value!r} is not true or false")
    return value


def _nonempty_string(value: object) -> str:
    if not isinstance(value, str) or not value:
        raise ValueError(f"{value!r} is not a non-empty string")
    return value
