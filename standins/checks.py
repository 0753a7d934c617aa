"""Checks the invariants of the router against journals and caller records, without I/O."""

from __future__ import annotations

import collections
import dataclasses
import http
from collections.abc import Iterable, Mapping

from standins import journal, records

IDEMPOTENT_METHODS = frozenset({"GET", "HEAD", "OPTIONS"})
ServiceKey = tuple[str, str]


@dataclasses.dataclass(frozen=True)
class EpochRegression:
    """``later`` started after ``earlier`` under a stale epoch, so by a former owner of the key."""

    earlier: journal.Run
    later: journal.Run


@dataclasses.dataclass(frozen=True)
class OverlappingRuns:
    """Two processes ran requests for the same key at the same time."""

    first: journal.Run
    second: journal.Run


@dataclasses.dataclass(frozen=True)
class DuplicateRun:
    """A request that is not idempotent ran more than once."""

    request_id: str
    runs: tuple[journal.Run, ...]


@dataclasses.dataclass(frozen=True)
class FalseNotRun:
    """A request ran although every answer to its caller said ``not-run``."""

    record: records.CallerRecord
    run: journal.Run


@dataclasses.dataclass(frozen=True)
class MismatchedAnswer:
    """The request id or the key in an answer differs from that of its request."""

    record: records.CallerRecord


@dataclasses.dataclass(frozen=True)
class IncompleteAnswer:
    """A request was reported as answered, but the body of its answer is incomplete."""

    record: records.CallerRecord


@dataclasses.dataclass(frozen=True)
class AnsweredWithoutRun:
    """A request was reported as answered, but no journal contains it."""

    record: records.CallerRecord


@dataclasses.dataclass(frozen=True)
class UnavailableTooLong:
    """A key was unavailable for longer than allowed."""

    service: str
    key: str
    seconds: float


Violation = (
    EpochRegression
    | OverlappingRuns
    | DuplicateRun
    | FalseNotRun
    | MismatchedAnswer
    | IncompleteAnswer
    | AnsweredWithoutRun
    | UnavailableTooLong
)


def _divided_runs_by_key(runs: Iterable[journal.Run]) -> dict[ServiceKey, list[journal.Run]]:
    runs_by_key: dict[ServiceKey, list[journal.Run]] = collections.defaultdict(list)
    for run in sorted(runs, key=lambda run: run.start):
        if run.divided:
            runs_by_key[run.service, run.key].append(run)
    return runs_by_key


def check_epochs(runs: Iterable[journal.Run]) -> list[EpochRegression]:
    """Find runs with a lower epoch that started after a run with a higher epoch of the same key.

    Epochs are compared per shard. A key that was split off into a shard of its own may return to
    its base shard only under a higher epoch than before.
    """
    violations = []
    for key_runs in _divided_runs_by_key(runs).values():
        newest_by_shard: dict[int, journal.Run] = {}
        last_shard = key_runs[0].shard
        for run in key_runs:
            newest = newest_by_shard.get(run.shard)
            if newest is not None:
                returned = run.shard != last_shard
                if run.epoch < newest.epoch or (returned and run.epoch == newest.epoch):
                    violations.append(EpochRegression(newest, run))
                    continue
            newest_by_shard[run.shard] = run
            last_shard = run.shard
    return violations


def check_overlaps(
    runs: Iterable[journal.Run], killed_at_by_incarnation: Mapping[str, float] | None = None
) -> list[OverlappingRuns]:
    """Find runs of one key by two processes at overlapping times.

    Parameters
    ----------
    killed_at_by_incarnation : mapping
        `time.monotonic` time at which a server process was killed. A run without a recorded end
        lasted until then, or has no duration if the process is not listed.
    """
    killed_at = killed_at_by_incarnation or {}
    violations = []
    for key_runs in _divided_runs_by_key(runs).values():
        longest_by_incarnation: dict[str, tuple[float, journal.Run]] = {}
        for run in key_runs:
            for incarnation, (end, other) in longest_by_incarnation.items():
                if incarnation != run.incarnation and end > run.start:
                    violations.append(OverlappingRuns(other, run))
            end = killed_at.get(run.incarnation, run.start) if run.end is None else run.end
            longest = longest_by_incarnation.get(run.incarnation)
            if longest is None or end > longest[0]:
                longest_by_incarnation[run.incarnation] = (end, run)
    return violations


def check_duplicate_runs(runs: Iterable[journal.Run]) -> list[DuplicateRun]:
    """Find requests that are not idempotent and ran more than once, including cancelled runs."""
    runs_by_request_id: dict[str, list[journal.Run]] = collections.defaultdict(list)
    for run in runs:
        if run.request_id and run.method not in IDEMPOTENT_METHODS:
            runs_by_request_id[run.request_id].append(run)
    return [
        DuplicateRun(request_id, tuple(request_runs))
        for request_id, request_runs in runs_by_request_id.items()
        if len(request_runs) > 1
    ]


def check_not_run(
    runs: Iterable[journal.Run], caller_records: Iterable[records.CallerRecord]
) -> list[FalseNotRun]:
    """Find requests that ran although their callers were told that they were not run.

    A caller may retry a request id after ``not-run``, and a retry of a request that ran may itself
    be answered ``not-run``. So a request counts only if every answer to its id is ``not-run``.
    """
    records_by_request_id: dict[str, list[records.CallerRecord]] = collections.defaultdict(list)
    for record in caller_records:
        records_by_request_id[record.request_id].append(record)
    violations = []
    for run in runs:
        request_records = records_by_request_id.get(run.request_id, [])
        if request_records and all(
            record.outcome is records.Outcome.NOT_RUN for record in request_records
        ):
            violations.append(FalseNotRun(request_records[0], run))
    return violations


def check_answers(
    runs: Iterable[journal.Run], caller_records: Iterable[records.CallerRecord]
) -> list[MismatchedAnswer | IncompleteAnswer | AnsweredWithoutRun]:
    """Find answers that belong to another request, are incomplete or have no run."""
    run_request_ids = {run.request_id for run in runs}
    violations: list[MismatchedAnswer | IncompleteAnswer | AnsweredWithoutRun] = []
    for record in caller_records:
        if record.outcome is not records.Outcome.ANSWERED:
            continue
        if record.request_id not in run_request_ids:
            violations.append(AnsweredWithoutRun(record))
        if not _is_complete(record):
            violations.append(IncompleteAnswer(record))
        elif (record.answer_id, record.answer_key) != (record.request_id, record.key):
            violations.append(MismatchedAnswer(record))
    return violations


def _is_complete(record: records.CallerRecord) -> bool:
    if not record.complete:
        return False
    if record.declared_length is None or record.method == "HEAD":
        return True
    return record.declared_length == record.received_length


def unavailable_s_by_key(
    caller_records: Iterable[records.CallerRecord],
) -> dict[ServiceKey, float]:
    """Return the longest time in seconds for which each key was not served.

    The time is measured from the start of a request to the earliest end of a request that started
    no earlier and was answered without a server error. So the waiting time of held requests
    counts, but not that of a request that fails while others for its key are answered; see
    `slowest_s` for that. A key that is not served again counts until the end of its last request.

    Methods and entry VMs are not distinguished, so a key that is read but not written counts as
    served; pass only the records of a method or an entry VM to measure that one.
    """
    records_by_key: dict[ServiceKey, list[records.CallerRecord]] = collections.defaultdict(list)
    for record in sorted(caller_records, key=lambda record: record.start):
        records_by_key[record.service, record.key].append(record)
    return {key: _longest_unavailable_s(key_records) for key, key_records in records_by_key.items()}


def _longest_unavailable_s(key_records: list[records.CallerRecord]) -> float:
    longest_s = 0.0
    last_end_at = max(record.end for record in key_records)
    served_at: float | None = None
    for record in reversed(key_records):
        if _is_served(record):
            served_at = record.end if served_at is None else min(served_at, record.end)
        until = last_end_at if served_at is None else served_at
        longest_s = max(longest_s, until - record.start)
    return longest_s


def _is_served(record: records.CallerRecord) -> bool:
    return (
        record.outcome is records.Outcome.ANSWERED
        and record.status < http.HTTPStatus.INTERNAL_SERVER_ERROR
    )


def slowest_s(caller_records: Iterable[records.CallerRecord]) -> float:
    """Return the longest time in seconds from the start of a request to its end."""
    return max((record.end - record.start for record in caller_records), default=0.0)


def check_unavailable(
    caller_records: Iterable[records.CallerRecord], *, limit_s: float
) -> list[UnavailableTooLong]:
    """Find keys that were not served for longer than ``limit_s`` seconds."""
    return [
        UnavailableTooLong(service, key, seconds)
        for (service, key), seconds in unavailable_s_by_key(caller_records).items()
        if seconds > limit_s
    ]
