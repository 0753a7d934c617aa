"""Validates merged configuration tables and builds the configuration from them."""

from __future__ import annotations

import dataclasses
import functools
from collections.abc import Mapping
from typing import Any

import marshmallow

from celerystack import ids, model
from celerystack.config import problems, schema


class MergedTable:
    """One merged table, with the file that set each field last.

    The fields are merged on first access, because those of unchanged tables are never read.

    Attributes
    ----------
    sources : list
        Pairs of a file and its parsed table, in the order of merging.
    """

    def __init__(self, file: str, values_by_field: Mapping[str, Any]) -> None:
        self.sources = [(file, values_by_field)]

    @property
    def first_file(self) -> str:
        """The file that declared the table first."""
        return self.sources[0][0]

    @functools.cached_property
    def values_by_field(self) -> dict[str, Any]:
        """Value of each field; later files override earlier ones."""
        return {name: value for _, table in self.sources for name, value in table.items()}

    def same_sources(self, other: MergedTable) -> bool:
        """Return whether both were merged from the same parsed tables.

        Compares by identity, because equal values can differ in type: in Python, 1 equals True.
        """
        if len(self.sources) != len(other.sources):
            return False
        for mine, theirs in zip(self.sources, other.sources, strict=True):
            if mine[1] is not theirs[1] or mine[0] != theirs[0]:
                return False
        return True

    def file_of(self, field: str) -> str:
        """Return the file that set a field, or the one that declared the table first."""
        for file, table in reversed(self.sources):
            if field in table:
                return file
        return self.first_file


class TableCache:
    """Caches the schema results of the tables of the last configuration.

    Applying the schemas dominates the cost, and a change usually affects few tables.
    """

    def __init__(self) -> None:
        self._loaded_by_table: dict[tuple[str, str], _LoadedTable] = {}

    def load(self, tables_by_kind: Mapping[str, Mapping[str, MergedTable]]) -> list[_LoadedTable]:
        """Apply the schemas to all tables; tables that are not passed are evicted."""
        loaded_by_table: dict[tuple[str, str], _LoadedTable] = {}
        for kind, tables in tables_by_kind.items():
            for name, table in tables.items():
                loaded_table = self._loaded_by_table.get((kind, name))
                if loaded_table is None or not loaded_table.table.same_sources(table):
                    loaded_table = _load_table(kind, name, table)
                loaded_by_table[kind, name] = loaded_table
        self._loaded_by_table = loaded_by_table
        return list(loaded_by_table.values())


def build_configuration(
    tables_by_kind: Mapping[str, Mapping[str, MergedTable]],
    found: list[problems.Problem],
    cache: TableCache,
) -> model.Configuration:
    """Build the configuration of the valid tables and append problems to ``found``."""
    loaded = cache.load(tables_by_kind)
    services = [table for table in loaded if table.kind == "service"]
    servers = [table for table in loaded if table.kind == "server"]
    for table in loaded:
        found.extend(table.problems)
    _check_prefixes(services, found)
    _check_services_of_servers(servers, tables_by_kind["service"], found)
    _check_addresses(servers, found)
    return model.Configuration(
        services_by_name={
            s.declaration.name: s.declaration for s in services if s.declaration is not None
        },
        servers_by_id={
            s.declaration.server: s.declaration for s in servers if s.declaration is not None
        },
    )


@dataclasses.dataclass(frozen=True, kw_only=True)
class _LoadedTable:
    """A table after its schema was applied.

    Attributes
    ----------
    values_by_field : dict
        Values of the valid fields.
    declaration : model.Service, model.BackendServer or None
        None if the name or a field is invalid.
    """

    kind: str
    name: str
    table: MergedTable
    values_by_field: dict[str, Any]
    problems: tuple[problems.Problem, ...]
    declaration: Any

    def problem(self, field: str, reason: str) -> problems.Problem:
        return _problem(self.kind, self.name, self.table, field, reason)


def _problem(kind: str, name: str, table: MergedTable, field: str, reason: str) -> problems.Problem:
    return problems.Problem(table.file_of(field), f"{kind}.{name}.{field}", reason)


def _load_table(kind: str, name: str, table: MergedTable) -> _LoadedTable:
    loader = schema.SCHEMAS_BY_KIND[kind]
    messages_by_field: dict[str, Any] = {}
    try:
        values = loader.load(table.values_by_field)
    except marshmallow.ValidationError as error:
        messages_by_field = error.normalized_messages()
        values = {k: v for k, v in error.valid_data.items() if k not in messages_by_field}
    found: list[problems.Problem] = []
    if not schema.NAME_PATTERN.fullmatch(name):
        reason = "names are letters, digits, '_' and '-', at most 64"
        found.append(problems.Problem(table.first_file, f"{kind}.{name}", reason))
    for field, messages in messages_by_field.items():
        for reason in _reasons(messages):
            if field not in loader.fields:
                reason = "unknown field" + problems.hint(field, loader.fields)
            found.append(_problem(kind, name, table, field, reason))
    build_declaration = _build_service if kind == "service" else _build_server
    declaration = None if found else build_declaration(name, values)
    if kind == "service":
        found += _undivided_problems(name, table, values)
    return _LoadedTable(
        kind=kind,
        name=name,
        table=table,
        values_by_field=values,
        problems=tuple(found),
        declaration=declaration,
    )


def _reasons(messages: Any) -> list[str]:
    """Flatten marshmallow's messages; those of list items are nested in a dict keyed by index."""
    if isinstance(messages, dict):
        return [
            f"item {int(index) + 1}: {reason}"
            for index, nested in messages.items()
            for reason in _reasons(nested)
        ]
    return [str(message).rstrip(".") for message in messages]


def _build_service(name: str, values: Mapping[str, Any]) -> model.Service:
    fields = dict(values)
    for field in ("prefixes", "idempotent_methods"):
        if field in fields:
            fields[field] = tuple(fields[field])
    if not fields.get("divided", True):
        fields["shards"] = 1
    return model.Service(name=ids.ServiceName(name), **fields)


def _build_server(name: str, values: Mapping[str, Any]) -> model.BackendServer:
    return model.BackendServer(server=ids.ServerId(name), **values)


def _undivided_problems(
    name: str, table: MergedTable, values: Mapping[str, Any]
) -> list[problems.Problem]:
    if values.get("divided", True):
        return []
    reason = "cannot be set for a service with divided = false"
    return [
        _problem("service", name, table, field, reason)
        for field, allowed in (("shards", 1), ("key_header", ""))
        if values.get(field, allowed) != allowed
    ]


def _check_prefixes(services: list[_LoadedTable], found: list[problems.Problem]) -> None:
    """Report prefixes that are equal to or nested in another one.

    In sorted order, nested prefixes follow the prefix that contains them.
    """
    entries = sorted(
        ((prefix, service) for service in services for prefix in _prefixes(service)),
        key=lambda entry: (entry[0], entry[1].name),
    )
    enclosing: list[tuple[str, _LoadedTable]] = []
    for prefix, service in entries:
        while enclosing and not prefix.startswith(enclosing[-1][0]):
            enclosing.pop()
        if enclosing:
            other_prefix, other = enclosing[-1]
            reason = f"prefix {prefix!r} overlaps {other_prefix!r} of service {other.name!r}"
            found.append(service.problem("prefixes", reason))
        enclosing.append((prefix, service))


def _prefixes(service: _LoadedTable) -> list[str]:
    return service.values_by_field.get("prefixes", [])


def _check_services_of_servers(
    servers: list[_LoadedTable], declared: Mapping[str, MergedTable], found: list[problems.Problem]
) -> None:
    for server in servers:
        service = server.values_by_field.get("service")
        if service is not None and service not in declared:
            reason = f"unknown service {service!r}" + problems.hint(service, declared)
            found.append(server.problem("service", reason))


def _check_addresses(servers: list[_LoadedTable], found: list[problems.Problem]) -> None:
    first_by_address: dict[str, str] = {}
    for server in servers:
        address = server.values_by_field.get("address")
        first = first_by_address.setdefault(address, server.name) if address else server.name
        if first != server.name:
            reason = f"{address} is already the address of server {first!r}"
            found.append(server.problem("address", reason))
