"""Descriptions of the parts of a cluster of stand-ins, and helpers to call them."""

from __future__ import annotations

import contextlib
import dataclasses
import http.client
import json
import os
import random
import socket
import time
from collections.abc import Callable
from typing import Any

POLL_S = 0.05
PORT_RANGE = (10_000, 30_000)
"""Below the ephemeral ports, so that no outgoing connection takes a port that was found free."""

HTTP_TIMEOUT_S = 2.0


def worker_number() -> int:
    """Return the number of this pytest worker; 0 if tests do not run in parallel."""
    return int(os.environ.get("PYTEST_XDIST_WORKER", "gw0").removeprefix("gw"))


@dataclasses.dataclass(frozen=True, kw_only=True)
class ServiceSpec:
    """A service to configure; ``fields`` are further fields of its TOML table."""

    name: str
    prefix: str
    divided: bool = True
    shards: int = 16
    checks_token: bool = True
    fields: dict[str, Any] = dataclasses.field(default_factory=dict)


@dataclasses.dataclass(frozen=True, kw_only=True)
class BackendSpec:
    """A backend server; ``flags`` are added to the command line of the stand-in."""

    name: str
    service: str
    zone: int
    flags: tuple[str, ...] = ()


@dataclasses.dataclass(frozen=True, kw_only=True)
class EntryVmSpec:
    """An entry VM; ``environment`` overrides its environment variables."""

    name: str
    zone: int
    environment: dict[str, str] = dataclasses.field(default_factory=dict)


@dataclasses.dataclass(frozen=True, kw_only=True)
class EntryVmAddresses:
    """``IP:port`` of the listeners of an entry VM."""

    caller: str
    peer: str
    admin: str
    control: str


def free_port(ip: str, kind: int = socket.SOCK_STREAM) -> int:
    """Return a port of `PORT_RANGE` that is currently free at an address."""
    while True:
        port = random.randrange(*PORT_RANGE)
        with socket.socket(socket.AF_INET, kind) as probe, contextlib.suppress(OSError):
            probe.bind((ip, port))
            return port


def free_address(ip: str, kind: int = socket.SOCK_STREAM) -> str:
    """Return ``IP:port`` with a port that is currently free."""
    return f"{ip}:{free_port(ip, kind)}"


def http_request(
    address: str, method: str, path: str, body: object = None, timeout_s: float = HTTP_TIMEOUT_S
) -> tuple[int, bytes]:
    """Send one HTTP request; returns status and body."""
    connection = http.client.HTTPConnection(address, timeout=timeout_s)
    try:
        connection.request(method, path, None if body is None else json.dumps(body))
        answer = connection.getresponse()
        return answer.status, answer.read()
    finally:
        connection.close()


def wait_until(condition: Callable[[], bool], *, what: str, timeout_s: float) -> float:
    """Poll until ``condition`` holds; returns the seconds it took or raises TimeoutError."""
    started_at = time.monotonic()
    while not condition():
        if time.monotonic() - started_at > timeout_s:
            raise TimeoutError(f"{what} did not happen within {timeout_s} s")
        time.sleep(POLL_S)
    return time.monotonic() - started_at


def toml(kind: str, tables_by_name: dict[str, dict[str, Any]]) -> str:
    """Return tables as TOML; their values must have the same syntax in JSON and TOML."""
    lines = []
    for name, fields in tables_by_name.items():
        lines.append(f"[{kind}.{name}]")
        lines += [f"{field} = {json.dumps(value)}" for field, value in fields.items()]
        lines.append("")
    return "\n".join(lines)
