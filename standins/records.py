"""What callers saw of their requests, one JSON line per request."""

from __future__ import annotations

import dataclasses
import enum
import json
import pathlib
from collections.abc import Iterable


class Outcome(enum.Enum):
    """What the caller was told; a broken connection counts as unknown."""

    ANSWERED = "answered"
    NOT_RUN = "not-run"
    UNKNOWN = "unknown"


@dataclasses.dataclass(frozen=True, kw_only=True)
class CallerRecord:
    """One request as its caller saw it.

    Attributes
    ----------
    status : int
        0 if no complete answer head arrived.
    answer_id, answer_key : str
        Request id and key that the answer body names; empty if it names none.
    declared_length : int or None
        Content-Length of the answer; None if it declared none.
    received_length : int
        Bytes of the body that arrived.
    complete : bool
        Whether the answer ended as its framing demands.
    start, end : float
        `time.monotonic`, in seconds.
    """

    request_id: str
    service: str
    key: str
    method: str
    entry_vm: str
    outcome: Outcome
    start: float
    end: float
    status: int = 0
    answer_id: str = ""
    answer_key: str = ""
    declared_length: int | None = None
    received_length: int = 0
    complete: bool = False
    error: str = ""


def write(path: pathlib.Path, records: Iterable[CallerRecord]) -> None:
    """Replace the file by the given records."""
    with path.open("w") as file:
        for record in records:
            fields = {**dataclasses.asdict(record), "outcome": record.outcome.value}
            file.write(json.dumps(fields) + "\n")


def read(path: pathlib.Path) -> list[CallerRecord]:
    """Read the records of a file; raises ValueError for a malformed line."""
    records = []
    for line in path.read_text().splitlines():
        fields = json.loads(line)
        records.append(CallerRecord(**{**fields, "outcome": Outcome(fields["outcome"])}))
    return records
