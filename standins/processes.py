"""Starts, suspends (SIGSTOP) and kills the child processes of a test, each by its process id."""

from __future__ import annotations

import atexit
import contextlib
import dataclasses
import os
import pathlib
import signal
import subprocess
import sys
import time

from standins import lifetime

ROOT = pathlib.Path(__file__).resolve().parents[1]
EXIT_TIMEOUT_S = 5.0


@dataclasses.dataclass
class Child:
    """A child process and the command that started it.

    Attributes
    ----------
    starts : int
        How often a child of this name was started.
    ended_at : float or None
        `time.monotonic` time at which the process was observed to have ended.
    """

    name: str
    module: str
    arguments: tuple[str, ...]
    environment: dict[str, str]
    process: subprocess.Popen[bytes]
    starts: int = 1
    ended_at: float | None = None


def python_environment(extra: dict[str, str] | None = None) -> dict[str, str]:
    """Return the environment of a child, without the celerystack settings of this process."""
    kept = {name: value for name, value in os.environ.items() if not name.startswith("CELERYSTACK")}
    path = f"{ROOT / 'src'}{os.pathsep}{ROOT}"
    return {**kept, "PYTHONPATH": path, lifetime.EXIT_WITH_PARENT_VARIABLE: "1", **(extra or {})}


class Processes:
    """All children of a cluster; the output of each name is appended to a log in ``folder``."""

    def __init__(self, folder: pathlib.Path) -> None:
        self._folder = folder
        self._children_by_name: dict[str, Child] = {}
        atexit.register(self.end_all)

    def child(self, name: str) -> Child:
        return self._children_by_name[name]

    def log(self, name: str) -> str:
        """Return the output of a child, over all its starts."""
        return (self._folder / f"{name}.log").read_text(errors="replace")

    def is_running(self, name: str) -> bool:
        child = self._children_by_name.get(name)
        return child is not None and child.process.poll() is None

    def start(
        self,
        name: str,
        module: str,
        arguments: tuple[str, ...] = (),
        environment: dict[str, str] | None = None,
    ) -> Child:
        """Start a child; raises ValueError if one of this name is running."""
        if self.is_running(name):
            raise ValueError(f"process {name} is already running")
        previous = self._children_by_name.get(name)
        process = self._spawn(name, module, arguments, environment or {})
        starts = 1 if previous is None else previous.starts + 1
        child = Child(name, module, arguments, environment or {}, process, starts)
        self._children_by_name[name] = child
        return child

    def _spawn(
        self, name: str, module: str, arguments: tuple[str, ...], environment: dict[str, str]
    ) -> subprocess.Popen[bytes]:
        with (self._folder / f"{name}.log").open("ab") as log:
            return subprocess.Popen(
                [sys.executable, "-m", module, *arguments],
                cwd=ROOT,
                env=python_environment(environment),
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=subprocess.STDOUT,
            )

    def kill(self, name: str) -> float:
        """Kill a child and wait; returns the `time.monotonic` time at which it had ended."""
        return self._end(name, signal.SIGKILL)

    def terminate(self, name: str, timeout_s: float = EXIT_TIMEOUT_S) -> float:
        """Send SIGTERM to a child and wait; raises subprocess.TimeoutExpired."""
        return self._end(name, signal.SIGTERM, timeout_s)

    def _end(self, name: str, signal_number: int, timeout_s: float = EXIT_TIMEOUT_S) -> float:
        child = self._children_by_name[name]
        child.process.send_signal(signal_number)
        child.process.wait(timeout_s)
        child.ended_at = time.monotonic()
        return child.ended_at

    def suspend(self, name: str) -> None:
        """Suspend a child with SIGSTOP."""
        self._children_by_name[name].process.send_signal(signal.SIGSTOP)

    def resume(self, name: str) -> None:
        """Resume a suspended child with SIGCONT."""
        self._children_by_name[name].process.send_signal(signal.SIGCONT)

    def end_all(self) -> None:
        """Kill every child that is still running and wait for all of them."""
        for child in self._children_by_name.values():
            if child.process.poll() is None:
                child.process.kill()
        for child in self._children_by_name.values():
            with contextlib.suppress(subprocess.TimeoutExpired):
                child.process.wait(EXIT_TIMEOUT_S)
        atexit.unregister(self.end_all)
