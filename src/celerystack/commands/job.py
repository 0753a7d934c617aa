"""Jobs that subcommands return, and the environments in which the entry point runs them."""

from __future__ import annotations

import dataclasses
import enum
import getpass
import time
from collections.abc import Awaitable, Callable, Mapping
from typing import TextIO

from twisted.internet import interfaces

from celerystack import settings
from celerystack.queries import ports as query_ports
from celerystack.store import ports


class ExitCode(enum.IntEnum):
    """Exit codes of ``celerystack``."""

    OK = 0
    FAILED = 1
    USAGE = 2
    INVALID_CONFIGURATION = 3
    CONFLICT = 4
    PLATFORM = 5


@dataclasses.dataclass(frozen=True, kw_only=True)
class LocalContext:
    """Environment of a job that opens no socket."""

    settings: settings.Settings
    sources_by_name: Mapping[str, settings.Source]
    out: TextIO


@dataclasses.dataclass(frozen=True, kw_only=True)
class RemoteContext:
    """Environment of a job that talks to the platform.

    Attributes
    ----------
    clock : interfaces.IReactorTime
        Time source of deadlines and retry delays.
    objects : ports.ObjectPort or None
        None if ``object_address`` is not set; jobs that need it list it in ``required``.
    admin : query_ports.AdminPort or None
        The same for ``admin_address``.
    deadline : float
        Clock time in seconds at which the command gives up.
    now_ms : callable
        Returns Unix time in milliseconds, for audit rows.
    """

    settings: settings.Settings
    clock: interfaces.IReactorTime
    table: ports.TablePort
    objects: ports.ObjectPort | None
    admin: query_ports.AdminPort | None = None
    deadline: float
    out: TextIO
    now_ms: Callable[[], int] = lambda: int(time.time() * 1000)


@dataclasses.dataclass(frozen=True, kw_only=True)
class LocalJob:
    """A subcommand that opens no socket, or that runs the reactor itself."""

    run: Callable[[LocalContext], int]
    required: tuple[str, ...] = ()


@dataclasses.dataclass(frozen=True, kw_only=True)
class RemoteJob:
    """A subcommand that runs in the reactor.

    Attributes
    ----------
    required : tuple of str
        Names of settings without which it cannot run.
    """

    run: Callable[[RemoteContext], Awaitable[int]]
    required: tuple[str, ...] = ("table_address",)


Job = LocalJob | RemoteJob


def default_operator(name: str) -> str:
    """Return ``name``, or else the name of the account that runs the command."""
    if name:
        return name
    try:
        return getpass.getuser()
    except (KeyError, OSError):
        return "unknown"
