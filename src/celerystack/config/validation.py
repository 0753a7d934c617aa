"""Validates merged tables and builds the configuration from them."""

from __future__ import annotations

import dataclasses
from collections.abc import Mapping
from typing import Any

import marshmallow

from celerystack import ids, model
from celerystack.config import problems, schema


@dataclasses.dataclass
class MergedTable:
    """One table after merging, with the file that set each field last."""

    first_file: str
    values_by_field: dict[str, Any] = dataclasses.field(default_factory=dict)
    files_by_field: dict[str, str] = dataclasses.field(default_factory=dict)

    def override(self, file: str, values_by_field: Mapping[str, Any]) -> None:
        """Replace the fields that ``file`` declares."""
        self.values_by_field.update(values_by_field)
        self.files_by_field.update(dict.fromkeys(values_by_field, file))

    def file_of(self, field: str) -> str:
        """Return the file that set a field, or the one that declared the table first."""
        return self.files_by_field.get(field, self.first_file)


def configuration(
    tables_by_kind: Mapping[str, Mapping[str, MergedTable]], found: list[problems.Problem]
) -> model.Configuration:
    """Build the configuration of the valid tables; problems are appended to ``found``."""
    services = [
        _loaded("service", name, table, found) for name, table in tables_by_kind["service"].items()
    ]
    servers = [
        _loaded("server", name, table, found) for name, table in tables_by_kind["server"].items()
    ]
    for service in services:
        _check_division(service, found)
    _check_prefixes(services, found)
    _check_services_of_servers(servers, tables_by_kind["service"], found)
    _check_addresses(servers, found)
    built = [_service(service) for service in services if service.valid]
    declared = [
        model.BackendServer(server=ids.ServerId(server.name), **server.values_by_field)
        for server in servers
        if server.valid
    ]
    return model.Configuration(
        services_by_name={service.name: service for service in built},
        servers_by_id={server.server: server for server in declared},
    )


@dataclasses.dataclass(frozen=True, kw_only=True)
class _Loaded:
    """A table after its schema was applied; fields that are invalid are left out."""

    kind: str
    name: str
    table: MergedTable
    values_by_field: dict[str, Any]
    valid: bool

    def problem(self, field: str, reason: str) -> problems.Problem:
        path = f"{self.kind}.{self.name}.{field}"
        return problems.Problem(self.table.file_of(field), path, reason)


def _loaded(kind: str, name: str, table: MergedTable, found: list[problems.Problem]) -> _Loaded:
    loader = schema.SCHEMAS_BY_KIND[kind]
    messages_by_field: dict[str, Any] = {}
    try:
        values = loader.load(table.values_by_field)
    except marshmallow.ValidationError as error:
        messages_by_field = error.normalized_messages()
        values = {k: v for k, v in error.valid_data.items() if k not in messages_by_field}
    named = schema.NAME_PATTERN.fullmatch(name) is not None
    if not named:
        reason = "names are letters, digits, '_' and '-', at most 64"
        found.append(problems.Problem(table.first_file, f"{kind}.{name}", reason))
    loaded = _Loaded(
        kind=kind,
        name=name,
        table=table,
        values_by_field=values,
        valid=named and not messages_by_field,
    )
    for field, messages in messages_by_field.items():
        for reason in _reasons(messages):
            if field not in loader.fields:
                reason = "unknown field" + problems.hint(field, loader.fields)
            found.append(loaded.problem(field, reason))
    return loaded


def _reasons(messages: Any) -> list[str]:
    """Flatten marshmallow's messages; those of list items are dictionaries keyed by index."""
    if isinstance(messages, dict):
        return [
            f"item {int(index) + 1}: {reason}"
            for index, nested in messages.items()
            for reason in _reasons(nested)
        ]
    return [str(message).rstrip(".") for message in messages]


def _service(loaded: _Loaded) -> model.Service:
    values = dict(loaded.values_by_field)
    for field in ("prefixes", "idempotent_methods"):
        if field in values:
            values[field] = tuple(values[field])
    if not values.get("divided", True):
        values["shards"] = 1
    return model.Service(name=ids.ServiceName(loaded.name), **values)


def _check_division(service: _Loaded, found: list[problems.Problem]) -> None:
    values = service.values_by_field
    if values.get("divided", True):
        return
    for field, neutral in (("shards", 1), ("key_header", "")):
        if values.get(field, neutral) != neutral:
            found.append(service.problem(field, "cannot be set for a service with divided = false"))


def _check_prefixes(services: list[_Loaded], found: list[problems.Problem]) -> None:
    """Nested prefixes overlap too; in sorted order a prefix comes right after its container."""
    entries = sorted(
        ((prefix, service) for service in services for prefix in _prefixes(service)),
        key=lambda entry: (entry[0], entry[1].name),
    )
    containing: list[tuple[str, _Loaded]] = []
    for prefix, service in entries:
        while containing and not prefix.startswith(containing[-1][0]):
            containing.pop()
        if containing:
            other_prefix, other = containing[-1]
            reason = f"prefix {prefix!r} overlaps {other_prefix!r} of service {other.name!r}"
            found.append(service.problem("prefixes", reason))
        containing.append((prefix, service))


def _prefixes(service: _Loaded) -> list[str]:
    return service.values_by_field.get("prefixes", [])


def _check_services_of_servers(
    servers: list[_Loaded], declared: Mapping[str, MergedTable], found: list[problems.Problem]
) -> None:
    for server in servers:
        service = server.values_by_field.get("service")
        if service is not None and service not in declared:
            reason = f"unknown service {service!r}" + problems.hint(service, declared)
            found.append(server.problem("service", reason))


def _check_addresses(servers: list[_Loaded], found: list[problems.Problem]) -> None:
    first_by_address: dict[str, str] = {}
    for server in servers:
        address = server.values_by_field.get("address")
        first = first_by_address.setdefault(address, server.name) if address else server.name
        if first != server.name:
            reason = f"{address} is already the address of server {first!r}"
            found.append(server.problem("address", reason))
