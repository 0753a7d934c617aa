"""Journal of executed requests: one JSON line at the start of a run and one at its end.

Both lines are written with one unbuffered system call each, so they survive a kill of the process.
Times are `time.monotonic`, which all processes of one machine share.
"""

from __future__ import annotations

import dataclasses
import enum
import json
import os
import pathlib


class Ending(enum.Enum):
    """How a run ended."""

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
        As the request carried them; -1 if it carried none.
    token : int
        Newest token that the server had seen at the start.
    divided : bool
        Whether the service is divided by key, so that a key has one owner.
    end : float or None
        None if the process was lost during the run.
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
    """Appends to a journal file; does nothing if no path is given."""

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

    An incomplete last line, left by a killed process, is skipped; any other malformed line raises
    ValueError.
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
