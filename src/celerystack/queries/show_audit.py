"""``celerystack audit``: lists audited changes with operator, time and reason."""

from __future__ import annotations

import dataclasses
import datetime
import functools
import itertools
import json as json_module

from celerystack import errors, ids
from celerystack.commands import job
from celerystack.state import codec, keys


@dataclasses.dataclass(frozen=True, kw_only=True)
class AuditFilter:
    """Conditions on audit rows; None and empty strings match every row.

    Attributes
    ----------
    since_ms, until_ms : int or None
        Unix time in milliseconds; ``until_ms`` is exclusive.
    """

    since_ms: int | None
    until_ms: int | None
    operator: str
    service: str
    action: str

    def prefix(self) -> str:
        """Return the longest key prefix that all rows of the time range share."""
        if self.since_ms is None or self.until_ms is None or self.since_ms >= self.until_ms:
            return keys.AUDIT_PREFIX
        first, last = (
            keys.audit(time_ms, ids.TransactionId(""))
            for time_ms in (max(self.since_ms, 0), max(self.until_ms - 1, 0))
        )
        pairs = zip(first, last, strict=True)
        return "".join(a for a, b in itertools.takewhile(lambda pair: pair[0] == pair[1], pairs))

    def accepts(self, entry: codec.AuditRow) -> bool:
        """Return whether an audit row meets all conditions."""
        if self.since_ms is not None and entry.time_ms < self.since_ms:
            return False
        if self.until_ms is not None and entry.time_ms >= self.until_ms:
            return False
        if self.operator and entry.operator != self.operator:
            return False
        if self.service and self.service not in entry.subject.split("/"):
            return False
        return not self.action or entry.action == self.action


def audit(
    *,
    since: str = "",
    until: str = "",
    operator: str = "",
    service: str = "",
    action: str = "",
    json: bool = False,
) -> job.Job:
    """List changes, oldest first.

    Parameters
    ----------
    since
        Start of the time range, as ISO 8601 (UTC unless an offset is given).
    until
        End of the time range, exclusive, as ISO 8601.
    operator
        Only changes by this operator.
    service
        Only changes whose subject names this service.
    action
        Only this action, such as apply, drain or release.
    json
        Print one JSON object per line.
    """
    row_filter = AuditFilter(
        since_ms=_milliseconds("since", since),
        until_ms=_milliseconds("until", until),
        operator=operator,
        service=service,
        action=action,
    )
    return job.RemoteJob(run=functools.partial(_run, row_filter=row_filter, as_json=json))


def _milliseconds(name: str, text: str) -> int | None:
    if not text:
        return None
    try:
        time = datetime.datetime.fromisoformat(text)
    except ValueError as error:
        raise errors.SettingsError(f"--{name}: {error}", step="audit") from error
    if time.tzinfo is None:
        time = time.replace(tzinfo=datetime.UTC)
    return int(time.timestamp() * 1000)


async def _run(remote: job.RemoteContext, *, row_filter: AuditFilter, as_json: bool) -> int:
    corrupt: list[errors.CorruptRowError] = []
    for row in await remote.table.scan(row_filter.prefix()):
        try:
            entry = codec.decode_fields(codec.AuditRow, row.value, key=row.key)
        except errors.CorruptRowError as error:
            corrupt.append(error)
            continue
        if row_filter.accepts(entry):
            print(_json_line(entry) if as_json else _text_line(entry), file=remote.out)
    if corrupt:
        # Raised after the listing, so that one corrupt row does not hide the others.
        raise corrupt[0]
    return job.ExitCode.OK


def _json_line(entry: codec.AuditRow) -> str:
    return json_module.dumps(dataclasses.asdict(entry), ensure_ascii=False)


def _text_line(entry: codec.AuditRow) -> str:
    time = datetime.datetime.fromtimestamp(entry.time_ms / 1000, datetime.UTC)
    time_text = time.isoformat(timespec="milliseconds").replace("+00:00", "Z")
    reason = f" ({entry.reason})" if entry.reason else ""
    return (
        f"{time_text} {entry.operator} {entry.action} {entry.subject}{reason}: "
        f"{entry.before} -> {entry.after}"
    )
