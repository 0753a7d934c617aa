"""Journal of executed requests: one JSON line at the start of a run and one at its end.

Each line is written by one unbuffered system call, so it survives a kill of the process. Times are
`time.monotonic`, which is the same clock for all processes of a machine.
"""

from __future__ import annotations

import dataclasses
import enum
import json
import os
import pathlib


class Ending(enum.Enum):
    """How a run ended; ``UNRECORDED`` if the journal has no end of it."""

    DONE = "done"
    CANCELLED = "cancelled"
    LEASE_EXPIRED = "lease-expired"
    CRASHED = "crashed"
    UNRECORDED = "unrecorded"


@dataclasses.dataclass(frozen=True, kw_only=True)
class Run:
    """One execution of a request by a backend server.

    Attributes
    ----------
    shard, epoch : int
        Taken from the request; -1 if it named none.
    token : int
        Highest token that the server had received when the run started.
    divided : bool
        Whether the service is divided into shards, so that each key has one owner.
    start, end : float
        `time.monotonic`, in seconds; ``end`` is None if the process was killed during the run.
    """

    server: str
    incarnation: str
    run: int
    service: str
    key: str
    shard: int
    epoch: int
    token: int
    request_id: str
    method: str
    divided: bool
    start: float
    end: float | None = None
    ending: Ending = Ending.UNRECORDED


class Writer:
    """Appends to a journal file; does nothing if the path is empty."""

    def __init__(self, path: str) -> None:
        flags = os.O_WRONLY | os.O_APPEND | os.O_CREAT
        self._descriptor = os.open(path, flags, 0o644) if path else None

    def start(self, run: Run) -> None:
        fields = dataclasses.asdict(run)
        del fields["end"], fields["ending"]
        self._append({"event": "start", **fields})

    def end(self, run: Run, *, end: float, ending: Ending) -> None:
        self._append(
            {
                "event": "end",
                "incarnation": run.incarnation,
                "run": run.run,
                "end": end,
                "ending": ending.value,
            }
        )

    def _append(self, fields: dict[str, object]) -> None:
        if self._descriptor is not None:
            os.write(self._descriptor, json.dumps(fields).encode() + b"\n")


def read(path: pathlib.Path) -> list[Run]:
    """Return the runs of a journal in the order of their starts.

    An incomplete last line, as a killed process leaves it, is skipped.

    Raises
    ------
    ValueError
        Any other line is malformed.
    """
    runs_by_id: dict[tuple[str, int], Run] = {}
    lines = path.read_bytes().split(b"\n")
    for line in lines[:-1]:
        fields = json.loads(line)
        event = fields.pop("event")
        if event == "start":
            run = Run(**fields)
            runs_by_id[run.incarnation, run.run] = run
        else:
            run_id = fields["incarnation"], fields["run"]
            runs_by_id[run_id] = dataclasses.replace(
                runs_by_id[run_id], end=fields["end"], ending=Ending(fields["ending"])
            )
    return sorted(runs_by_id.values(), key=lambda run: run.start)
