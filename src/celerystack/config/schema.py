"""Schemas of the tables ``[service.<name>]`` and ``[server.<id>]``."""

from __future__ import annotations

import re
from typing import Any

import marshmallow
from marshmallow import fields, validate

from celerystack import model, settings
from celerystack.limits import shares

NAME_PATTERN = re.compile(r"[A-Za-z0-9][A-Za-z0-9_-]{0,63}")
CONNECTIONS_MIN = shares.RESERVED_ORDER_CONNECTIONS + 1
CONNECTIONS_MAX = 65_535
DEADLINE_MS_MAX = 600_000
SLOTS_MAX = 10_000
WEIGHT_MAX = 1000.0

_PREFIX_PATTERN = r"/([A-Za-z0-9._~-]+/)+"
_HEADER_PATTERN = r"[A-Za-z0-9-]*"
_METHOD_PATTERN = r"[A-Z]+"


def _full_match(pattern: str, reason: str) -> validate.Regexp:
    return validate.Regexp(rf"\A(?:{pattern})\Z", error=reason)


def _integer(low: int, high: int) -> fields.Integer:
    return fields.Integer(strict=True, validate=validate.Range(low, high))


class _Flag(fields.Boolean):
    """Accepts TOML booleans only; the base class also accepts 1 and "yes"."""

    def _deserialize(self, value: Any, attr: str | None, data: Any, **options: Any) -> bool:
        if not isinstance(value, bool):
            raise self.make_error("invalid", input=value)
        return value


class _Number(fields.Float):
    """Accepts TOML numbers only; the base class also accepts text and booleans."""

    def _deserialize(self, value: Any, attr: str | None, data: Any, **options: Any) -> float:
        if isinstance(value, bool) or not isinstance(value, int | float):
            raise self.make_error("invalid", input=value)
        return super()._deserialize(value, attr, data, **options)


class _Address(fields.String):
    """``IP:port``; DNS names are refused."""

    def _deserialize(self, value: Any, attr: str | None, data: Any, **options: Any) -> str:
        text = super()._deserialize(value, attr, data, **options)
        try:
            host, port = settings.split_address(text)
        except ValueError as error:
            raise marshmallow.ValidationError(str(error)) from None
        return f"[{host}]:{port}" if ":" in host else f"{host}:{port}"


class ServiceSchema(marshmallow.Schema):
    """Fields of ``[service.<name>]``; the defaults are those of `model.Service`."""

    prefixes = fields.List(
        fields.String(
            validate=_full_match(
                _PREFIX_PATTERN, "must start and end with '/' and contain plain path segments"
            )
        ),
        required=True,
        validate=validate.Length(min=1),
    )
    divided = _Flag()
    key_header = fields.String(validate=_full_match(_HEADER_PATTERN, "is not a header name"))
    shards = _integer(1, model.BASE_SHARDS_MAX)
    slots = _integer(1, SLOTS_MAX)
    connections = _integer(CONNECTIONS_MIN, CONNECTIONS_MAX)
    deadline_ms = _integer(1, DEADLINE_MS_MAX)
    idempotent_methods = fields.List(
        fields.String(validate=_full_match(_METHOD_PATTERN, "must be an upper-case method"))
    )
    checks_token = _Flag()
    zone_loss = fields.Enum(model.ZoneLossPolicy, by_value=True)
    churn_per_minute = _Number(validate=validate.Range(0.0, 1.0))
    hot_keys = _Flag()


class ServerSchema(marshmallow.Schema):
    """Fields of ``[server.<id>]``; the defaults are those of `model.BackendServer`."""

    service = fields.String(required=True)
    zone = fields.String(
        required=True, validate=_full_match(NAME_PATTERN.pattern, "is not a zone name")
    )
    address = _Address(required=True)
    weight = _Number(validate=validate.Range(0.0, WEIGHT_MAX, min_inclusive=False))
    checks_token = _Flag()


SCHEMAS_BY_KIND: dict[str, marshmallow.Schema] = {
    "service": ServiceSchema(unknown=marshmallow.RAISE),
    "server": ServerSchema(unknown=marshmallow.RAISE),
}
