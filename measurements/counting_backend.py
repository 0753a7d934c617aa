"""Backend stand-in that also records every refusal, one ``<request id> <reason>`` line each.

The lines go to the path of the journal with `SUFFIX` added; the journal holds executed requests
only.
"""

from __future__ import annotations

import argparse
import os
import pathlib
import sys
from collections.abc import Mapping

from standins import backend, execution, processes

SUFFIX = ".refusals"
MODULE = "measurements.counting_backend"
REPLACED_MODULE = "standins.backend"


class CountingProcesses(processes.Processes):
    """Starts this module in place of the plain backend stand-in."""

    def start(
        self,
        name: str,
        module: str,
        arguments: tuple[str, ...] = (),
        environment: Mapping[str, str] | None = None,
    ) -> processes.Child:
        """Start a child as `processes.Processes.start` does."""
        chosen = MODULE if module == REPLACED_MODULE else module
        return super().start(name, chosen, arguments, dict(environment or {}))


def refused_ids(folder: pathlib.Path) -> list[str]:
    """Return the request ids of all refusals recorded in a folder, one entry per refusal."""
    return [
        line.split(" ")[0]
        for path in folder.glob(f"*{SUFFIX}")
        for line in path.read_text().splitlines()
    ]


def _record_refusals(path: str) -> None:
    descriptor = os.open(path, os.O_WRONLY | os.O_APPEND | os.O_CREAT, 0o644)
    submit = execution.Executor.submit

    def submit_recorded(executor: execution.Executor, job: execution.Job) -> None:
        on_refused = job.on_refused

        def record(reason: str) -> None:
            os.write(descriptor, f"{job.request_id} {reason}\n".encode())
            on_refused(reason)

        job.on_refused = record
        submit(executor, job)

    execution.Executor.submit = submit_recorded


def main(argv: list[str]) -> None:
    """Serve until the process is ended."""
    parser = argparse.ArgumentParser(add_help=False)
    parser.add_argument("--journal", required=True)
    _record_refusals(parser.parse_known_args(argv)[0].journal + SUFFIX)
    backend.main(argv)


if __name__ == "__main__":
    main(sys.argv[1:])
