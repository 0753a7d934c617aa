"""``celerystack explain``: shows the log records that concern one request."""

from __future__ import annotations

import functools
import json
import pathlib
import sys
from collections.abc import Iterable
from typing import Any

from celerystack.commands import job

STATE_STEPS = ("servers", "planner.assign", "planner.release", "lessor.grant", "config")
"""Steps of log records about the state on which an entry VM bases its routing decisions."""


def explain(request_id: str, *files: pathlib.Path) -> job.Job:
    """Show the log records of a request and the server states that its routing was based on.

    Parameters
    ----------
    request_id
        Id of the request, as sent by its caller.
    files
        JSON log files of entry VMs; standard input if there are none.
    """
    return job.LocalJob(run=functools.partial(_run, request_id, files))


def _run(request_id: str, files: tuple[pathlib.Path, ...], local: job.LocalContext) -> int:
    lines = list(_read_files(files))
    request_records = [line for line in lines if line.get("request_id") == request_id]
    if not request_records:
        print(f"no log record has request id {request_id}", file=local.out)
        return job.ExitCode.FAILED
    for line in timeline(lines, request_records):
        print(line, file=local.out)
    return job.ExitCode.OK


def timeline(lines: list[dict[str, Any]], request_records: list[dict[str, Any]]) -> list[str]:
    """Return a request's records and the latest state records of its servers before its end."""
    end = max(line["time"] for line in request_records)
    peers = {peer for line in request_records for peer in _named_servers(line)}
    last_by_step_and_peer: dict[tuple[str, str], dict[str, Any]] = {}
    for line in sorted(lines, key=lambda line: line.get("time", "")):
        named_peers = [peer for peer in peers if peer in (line.get("peer"), *_named_servers(line))]
        if line.get("step") in STATE_STEPS and line["time"] <= end and named_peers:
            last_by_step_and_peer[line["step"], named_peers[0]] = line
    shown = sorted(
        [*last_by_step_and_peer.values(), *request_records], key=lambda line: line["time"]
    )
    return [_format_record(line) for line in shown]


def _named_servers(line: dict[str, Any]) -> list[str]:
    """Return the servers that a log record names."""
    named = [step.get("server") for step in line.get("steps", ()) if step.get("server")]
    return [*named, *([line["peer"]] if line.get("peer") else [])]


def _format_record(line: dict[str, Any]) -> str:
    omitted = ("time", "level", "logger", "message", "steps", "request_id", "step")
    fields = " ".join(f"{name}={value}" for name, value in line.items() if name not in omitted)
    text = f"{line['time']} {line.get('step', '')}: {line.get('message', '')} {fields}".rstrip()
    for step in line.get("steps", ()):
        details = " ".join(f"{name}={value}" for name, value in step.items())
        text += f"\n    {details}"
    return text


def _read_files(files: Iterable[pathlib.Path]) -> Iterable[dict[str, Any]]:
    if not files:
        yield from parse(sys.stdin)
        return
    for file in files:
        with file.open(encoding="utf-8", errors="replace") as opened:
            yield from parse(opened)


def parse(lines: Iterable[str]) -> Iterable[dict[str, Any]]:
    """Yield the log record of each line; lines without one are skipped."""
    for line in lines:
        start = line.find("{")
        if start < 0:
            continue
        try:
            fields = json.loads(line[start:])
        except ValueError:
            continue
        if isinstance(fields, dict) and "time" in fields:
            yield fields
