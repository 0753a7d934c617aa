"""Checks of the router's promises over journals and caller records, free of I/O."""

from __future__ import annotations

import collections
import dataclasses
import http
from collections.abc import Iterable, Mapping

from standins import journal, records

IDEMPOTENT_METHODS = frozenset({"GET", "HEAD", "OPTIONS"})
ServiceKey = tuple[str, str]


@dataclasses.dataclass(frozen=True)
class EpochWentBack:
    """``later`` started after ``earlier`` although its epoch is lower."""

    earlier: journal.Run
    later: journal.Run


@dataclasses.dataclass(frozen=True)
class OverlappingRuns:
    """Two processes ran the same key at the same time."""

    first: journal.Run
    second: journal.Run


@dataclasses.dataclass(frozen=True)
class DoubledRun:
    """A request that is not idempotent ran more than once."""

    request_id: str
    runs: tuple[journal.Run, ...]


@dataclasses.dataclass(frozen=True)
class NotRunButRun:
    """A request ran although every answer to it said ``not-run``."""

    record: records.CallerRecord
    run: journal.Run


@dataclasses.dataclass(frozen=True)
class ForeignAnswer:
    """An answer does not carry the request id or the key of its request."""

    record: records.CallerRecord


@dataclasses.dataclass(frozen=True)
class IncompleteAnswer:
    """An answer was reported as complete but is not."""

    record: records.CallerRecord


@dataclasses.dataclass(frozen=True)
class AnsweredWithoutRun:
    """A request was reported as answered but is in no journal."""

    record: records.CallerRecord


@dataclasses.dataclass(frozen=True)
class UnavailableTooLong:
    """A key was unavailable for longer than allowed."""

    service: str
    key: str
    seconds: float


Violation = (
    EpochWentBack
    | OverlappingRuns
    | DoubledRun
    | NotRunButRun
    | ForeignAnswer
    | IncompleteAnswer
    | AnsweredWithoutRun
    | UnavailableTooLong
)


def _divided_runs_by_key(runs: Iterable[journal.Run]) -> dict[ServiceKey, list[journal.Run]]:
    grouped: dict[ServiceKey, list[journal.Run]] = collections.defaultdict(list)
    for run in sorted(runs, key=lambda run: run.start):
        if run.divided:
            grouped[run.service, run.key].append(run)
    return grouped


def check_epochs(runs: Iterable[journal.Run]) -> list[EpochWentBack]:
    """Find runs with a lower epoch that started after a run with a higher epoch of the same key.

    Epochs count per shard. A key that went to a shard of its own may come back to its base shard
    only with a higher epoch than before.
    """
    found = []
    for key_runs in _divided_runs_by_key(runs).values():
        newest_by_shard: dict[int, journal.Run] = {}
        last_shard = key_runs[0].shard
        for run in key_runs:
            newest = newest_by_shard.get(run.shard)
            if newest is not None:
                returned = run.shard != last_shard
                if run.epoch < newest.epoch or (returned and run.epoch == newest.epoch):
                    found.append(EpochWentBack(newest, run))
                    continue
            newest_by_shard[run.shard] = run
            last_shard = run.shard
    return found


def check_overlaps(
    runs: Iterable[journal.Run], lost_at_by_incarnation: Mapping[str, float] | None = None
) -> list[OverlappingRuns]:
    """Find runs of one key by two processes at overlapping times.

    Parameters
    ----------
    lost_at_by_incarnation : mapping
        When a server's process was killed. A run without a recorded end lasted until then; it
        counts as momentary if the time is not known.
    """
    lost_at = lost_at_by_incarnation or {}
    found = []
    for key_runs in _divided_runs_by_key(runs).values():
        longest_by_incarnation: dict[str, tuple[float, journal.Run]] = {}
        for run in key_runs:
            for incarnation, (end, other) in longest_by_incarnation.items():
                if incarnation != run.incarnation and end > run.start:
                    found.append(OverlappingRuns(other, run))
            end = lost_at.get(run.incarnation, run.start) if run.end is None else run.end
            known = longest_by_incarnation.get(run.incarnation)
            if known is None or end > known[0]:
                longest_by_incarnation[run.incarnation] = (end, run)
    return found


def check_doubled(runs: Iterable[journal.Run]) -> list[DoubledRun]:
    """Find requests that are not idempotent and ran more than once, even if a run was cut short."""
    grouped: dict[str, list[journal.Run]] = collections.defaultdict(list)
    for run in runs:
        if run.request_id and run.method not in IDEMPOTENT_METHODS:
            grouped[run.request_id].append(run)
    return [DoubledRun(name, tuple(found)) for name, found in grouped.items() if len(found) > 1]


def check_not_run(
    runs: Iterable[journal.Run], caller_records: Iterable[records.CallerRecord]
) -> list[NotRunButRun]:
    """Find requests in a journal whose callers were told that they were not run.

    A caller may send an id again after it was told ``not-run``, and may be told ``not-run`` about
    the second sending of an id that ran; so only ids count for which every answer says so.
    """
    records_by_id: dict[str, list[records.CallerRecord]] = collections.defaultdict(list)
    for record in caller_records:
        records_by_id[record.request_id].append(record)
    found = []
    for run in runs:
        known = records_by_id.get(run.request_id, [])
        if known and all(record.outcome is records.Outcome.NOT_RUN for record in known):
            found.append(NotRunButRun(known[0], run))
    return found


def check_answers(
    runs: Iterable[journal.Run], caller_records: Iterable[records.CallerRecord]
) -> list[ForeignAnswer | IncompleteAnswer | AnsweredWithoutRun]:
    """Find answers that belong to another request, are incomplete or come from no run."""
    ids = {run.request_id for run in runs}
    found: list[ForeignAnswer | IncompleteAnswer | AnsweredWithoutRun] = []
    for record in caller_records:
        if record.outcome is not records.Outcome.ANSWERED:
            continue
        if record.request_id not in ids:
            found.append(AnsweredWithoutRun(record))
        if not _is_complete(record):
            found.append(IncompleteAnswer(record))
        elif (record.answer_id, record.answer_key) != (record.request_id, record.key):
            found.append(ForeignAnswer(record))
    return found


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

    It runs from the start of a request to the earliest end of a request that started no earlier
    and was answered without a server error. So the waiting time of held requests counts, but not
    the waiting time of a request that fails while others for its key are answered; see
    `slowest_s` for that. A key that is not served again counts until its last failure.

    Methods and entry VMs are not told apart; pass the records of some to see what they met. A key
    that is read but not written counts as served here.
    """
    grouped: dict[ServiceKey, list[records.CallerRecord]] = collections.defaultdict(list)
    for record in sorted(caller_records, key=lambda record: record.start):
        grouped[record.service, record.key].append(record)
    return {key: _longest_unavailable_s(found) for key, found in grouped.items()}


def _longest_unavailable_s(key_records: list[records.CallerRecord]) -> float:
    longest = 0.0
    last_end = max(record.end for record in key_records)
    served_at: float | None = None
    for record in reversed(key_records):
        if _is_served(record):
            served_at = record.end if served_at is None else min(served_at, record.end)
        until = last_end if served_at is None else served_at
        longest = max(longest, until - record.start)
    return longest


def _is_served(record: records.CallerRecord) -> bool:
    return (
        record.outcome is records.Outcome.ANSWERED
        and record.status < http.HTTPStatus.INTERNAL_SERVER_ERROR
    )


def slowest_s(caller_records: Iterable[records.CallerRecord]) -> float:
    """Return the longest time in seconds that a caller waited for the end of a request."""
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
