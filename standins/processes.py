"""Child processes of a test: started, frozen, killed and always ended by their own id."""

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
END_TIMEOUT_S = 5.0


@dataclasses.dataclass
class Child:
    """A child process and how to start it again.

    Attributes
    ----------
    ended_at : float or None
        `time.monotonic` time at which the current process was seen to have ended.
    """

    name: str
    module: str
    arguments: tuple[str, ...]
    environment: dict[str, str]
    process: subprocess.Popen[bytes]
    starts: int = 1
    ended_at: float | None = None


def python_environment(extra: dict[str, str] | None = None) -> dict[str, str]:
    """Return the environment of a child, without celerystack settings of the caller's shell."""
    kept = {name: value for name, value in os.environ.items() if not name.startswith("CELERYSTACK")}
    path = f"{ROOT / 'src'}{os.pathsep}{ROOT}"
    return {**kept, "PYTHONPATH": path, lifetime.ENVIRONMENT_NAME: "1", **(extra or {})}


class Processes:
    """All children of a cluster; output goes to one file per name in ``folder``."""

    def __init__(self, folder: pathlib.Path) -> None:
        self._folder = folder
        self._children_by_name: dict[str, Child] = {}
        atexit.register(self.end_all)

    def child(self, name: str) -> Child:
        return self._children_by_name[name]

    def log(self, name: str) -> str:
        """Return the output of all starts of a child."""
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
        """Start a child; raises ValueError if one of that name is running."""
        if self.is_running(name):
            raise ValueError(f"{name} is running")
        known = self._children_by_name.get(name)
        process = self._spawn(name, module, arguments, environment or {})
        starts = 1 if known is None else known.starts + 1
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
        """Kill a child; returns the `time.monotonic` time at which it had ended."""
        return self._end(name, signal.SIGKILL)

    def terminate(self, name: str, timeout_s: float = END_TIMEOUT_S) -> float:
        """Ask a child to end and wait for it; raises subprocess.TimeoutExpired."""
        return self._end(name, signal.SIGTERM, timeout_s)

    def _end(self, name: str, number: int, timeout_s: float = END_TIMEOUT_S) -> float:
        child = self._children_by_name[name]
        child.process.send_signal(number)
        child.process.wait(timeout_s)
        child.ended_at = time.monotonic()
        return child.ended_at

    def freeze(self, name: str) -> None:
        """Stop a child without ending it."""
        self._children_by_name[name].process.send_signal(signal.SIGSTOP)

    def thaw(self, name: str) -> None:
        self._children_by_name[name].process.send_signal(signal.SIGCONT)

    def end_all(self) -> None:
        """Kill every child that is still running and wait for all of them."""
        for child in self._children_by_name.values():
            if child.process.poll() is None:
                child.process.kill()
        for child in self._children_by_name.values():
            with contextlib.suppress(subprocess.TimeoutExpired):
                child.process.wait(END_TIMEOUT_S)
        atexit.unregister(self.end_all)
