"""Requests as their callers saw them, stored as one JSON line per request."""

from __future__ import annotations

import dataclasses
import enum
import json
import pathlib
from collections.abc import Iterable


class Outcome(enum.Enum):
    """The outcome reported to the caller; a broken connection counts as unknown."""

    ANSWERED = "answered"
    NOT_RUN = "not-run"
    UNKNOWN = "unknown"


@dataclasses.dataclass(frozen=True, kw_only=True)
class CallerRecord:
    """One request as its caller saw it.

    Attributes
    ----------
    status : int
        HTTP status; 0 if the head of the answer did not arrive completely.
    answer_id, answer_key : str
        Request id and key in the answer body; empty if it has none.
    declared_length : int or None
        Content-Length of the answer; None if it had none.
    received_length : int
        Number of body bytes that arrived.
    complete : bool
        Whether the answer arrived completely, as its HTTP framing defines.
    error : str
        Exception of the caller or reason given by the router; empty if there is neither.
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
    """Write the records to a file, replacing its content."""
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
