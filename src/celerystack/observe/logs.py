"""Log formats and fields, and a rate limit for repeated failures.

Fields are passed with ``extra``:
``log.warning("stream closed", extra={"step": "peers.read", "peer": peer})``.
"""

from __future__ import annotations

import collections
import dataclasses
import datetime
import json
import logging
import re
import sys
import time
from collections.abc import Callable
from typing import Any, TextIO

from twisted import logger as twisted_logger

from celerystack import errors, settings

FIELDS = (
    "request_id",
    "service",
    "step",
    "peer",
    "shard",
    "key",
    "token",
    "steps",
    "suppressed",
)
"""Optional fields of a log record, in the order of output."""

REPEAT_WINDOW_S = 10.0
REPEATS_PER_WINDOW = 5
TRACKED_FAILURES_MAX = 4096
"""Bounds the memory of `RepeatFilter`; the least recently seen failure is evicted first."""

_PLAIN_VALUE = re.compile(r"[^\s\"=\\\x00-\x1f\x7f-\x9f\u2028\u2029]+")


@dataclasses.dataclass
class _Repeats:
    window_end: float
    passed: int = 0
    suppressed: int = 0


class RepeatFilter(logging.Filter):
    """Passes at most `REPEATS_PER_WINDOW` equal failures per `REPEAT_WINDOW_S`.

    Failures are records of level WARNING and above; two are equal if logger, level, message
    template, step and peer are equal. The first record of the next window carries the number of
    suppressed records.

    Parameters
    ----------
    now : callable
        Monotonic time in seconds.
    """

    def __init__(self, now: Callable[[], float] = time.monotonic) -> None:
        super().__init__()
        self._now = now
        self._repeats_by_failure: collections.OrderedDict[tuple, _Repeats] = (
            collections.OrderedDict()
        )

    def filter(self, record: logging.LogRecord) -> bool:
        """Return whether the record is to be logged."""
        if record.levelno < logging.WARNING:
            return True
        fields = fields_of(record)
        failure_key = (
            record.name,
            record.levelno,
            record.msg if isinstance(record.msg, str) else type(record.msg),
            fields.get("step"),
            fields.get("peer"),
        )
        repeats = self._repeats(failure_key, record)
        if repeats.passed >= REPEATS_PER_WINDOW:
            repeats.suppressed += 1
            return False
        repeats.passed += 1
        return True

    def _repeats(self, failure_key: tuple, record: logging.LogRecord) -> _Repeats:
        now = self._now()
        repeats = self._repeats_by_failure.get(failure_key)
        if repeats is None or now >= repeats.window_end:
            if repeats is not None and repeats.suppressed:
                record.suppressed = repeats.suppressed
            repeats = _Repeats(window_end=now + REPEAT_WINDOW_S)
            self._repeats_by_failure[failure_key] = repeats
        self._repeats_by_failure.move_to_end(failure_key)
        if len(self._repeats_by_failure) > TRACKED_FAILURES_MAX:
            self._repeats_by_failure.popitem(last=False)
        return repeats


def fields_of(record: logging.LogRecord) -> dict[str, Any]:
    """Return the optional fields of a record; step and peer default to those of its error."""
    error = record.exc_info[1] if record.exc_info else None
    error_fields: dict[str, Any] = {}
    if isinstance(error, errors.CelerystackError):
        error_fields = {"step": error.step, "peer": error.peer}
    found = {name: getattr(record, name, error_fields.get(name)) for name in FIELDS}
    return {name: value for name, value in found.items() if value not in (None, "")}


class _Formatter(logging.Formatter):
    """Collects the fields of a log line; subclasses serialize them."""

    def format(self, record: logging.LogRecord) -> str:
        time_utc = datetime.datetime.fromtimestamp(record.created, datetime.UTC)
        line: dict[str, Any] = {
            "time": time_utc.isoformat(timespec="milliseconds").replace("+00:00", "Z"),
            "level": record.levelname.lower(),
            "logger": record.name,
            "message": record.getMessage(),
            **fields_of(record),
        }
        if record.exc_info and record.exc_info[1] is not None:
            line["error"] = _error_text(record.exc_info[1])
            if not isinstance(record.exc_info[1], errors.CelerystackError):
                line["traceback"] = self.formatException(record.exc_info)
        return self.write(line)

    def write(self, line: dict[str, Any]) -> str:
        raise NotImplementedError


def _error_text(error: BaseException) -> str:
    if isinstance(error, errors.CelerystackError):
        return f"{type(error).__name__}: {error.reason}"
    return f"{type(error).__name__}: {error}"


class JsonFormatter(_Formatter):
    """Formats a record as one JSON object."""

    def write(self, line: dict[str, Any]) -> str:
        """Return the fields as one JSON object."""
        return json.dumps(line, default=str)


class KeyValueFormatter(_Formatter):
    """Formats a record as ``key=value`` pairs.

    Values with spaces, quotes, ``=``, backslashes or control characters are JSON strings.
    """

    def write(self, line: dict[str, Any]) -> str:
        """Return the fields as pairs."""
        return " ".join(f"{name}={_quoted_value(value)}" for name, value in line.items())


def _quoted_value(value: Any) -> str:
    text = str(value)
    return text if _PLAIN_VALUE.fullmatch(text) else json.dumps(text)


def configure(
    *,
    log_format: settings.LogFormat,
    log_level: settings.LogLevel,
    stream: TextIO | None = None,
    handler: logging.Handler | None = None,
) -> logging.Handler:
    """Replace the handlers of the root logger by one that writes to ``stream``.

    Parameters
    ----------
    stream : TextIO or None
        None for standard error.
    handler : logging.Handler or None
        Handler to install instead of one for ``stream``.

    Returns
    -------
    logging.Handler
        The installed handler.
    """
    handler = handler or logging.StreamHandler(stream or sys.stderr)
    match log_format:
        case settings.LogFormat.JSON:
            handler.setFormatter(JsonFormatter())
        case settings.LogFormat.KEY_VALUE:
            handler.setFormatter(KeyValueFormatter())
    handler.addFilter(RepeatFilter())
    root = logging.getLogger()
    for old in list(root.handlers):
        root.removeHandler(old)
    root.addHandler(handler)
    root.setLevel(log_level.value.upper())
    return handler


def forward_twisted() -> None:
    """Forward Twisted's log events, such as unhandled errors in Deferreds, to `logging`.

    Only events of level "warn" and above are forwarded; below it, Twisted logs every connection.
    """
    observer = twisted_logger.FilteringLogObserver(
        twisted_logger.STDLibLogObserver(),
        [twisted_logger.LogLevelFilterPredicate(twisted_logger.LogLevel.warn)],
    )
    twisted_logger.globalLogBeginner.beginLoggingTo(
        [observer], redirectStandardIO=False, discardBuffer=True
    )
