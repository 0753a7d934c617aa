"""``celerystack explain``: shows what log files say of one request."""

from __future__ import annotations

import functools
import json
import pathlib
import sys
from collections.abc import Iterable
from typing import Any

from celerystack.commands import job

BELIEF_STEPS = ("servers", "planner.assign", "planner.release", "lessor.grant", "config")
"""Steps whose lines say what an entry VM came to believe."""


def explain(request_id: str, *files: pathlib.Path) -> job.Job:
    """Show the timeline of a request and the beliefs that decided it.

    Parameters
    ----------
    request_id
        Id of the request, as its caller sent it.
    files
        Log files of entry VMs in JSON; standard input if there are none.
    """
    return job.LocalJob(run=functools.partial(_run, request_id, files))


def _run(request_id: str, files: tuple[pathlib.Path, ...], local: job.Local) -> int:
    lines = list(_read(files))
    own = [line for line in lines if line.get("request_id") == request_id]
    if not own:
        print(f"no line mentions {request_id}", file=local.out)
        return job.ExitCode.FAILED
    for line in timeline(lines, own):
        print(line, file=local.out)
    return job.ExitCode.OK


def timeline(lines: list[dict[str, Any]], own: list[dict[str, Any]]) -> list[str]:
    """Return the lines of a request and the last beliefs about its servers before its end."""
    end = max(line["time"] for line in own)
    peers = {peer for line in own for peer in _peers(line)}
    last_by_belief: dict[tuple[str, str], dict[str, Any]] = {}
    for line in sorted(lines, key=lambda line: line.get("time", "")):
        about = [peer for peer in peers if peer in (line.get("peer"), *_peers(line))]
        if line.get("step") in BELIEF_STEPS and line["time"] <= end and about:
            last_by_belief[line["step"], about[0]] = line
    shown = sorted([*last_by_belief.values(), *own], key=lambda line: line["time"])
    return [_format(line) for line in shown]


def _peers(line: dict[str, Any]) -> list[str]:
    """Return the servers that a line names."""
    named = [step.get("server") for step in line.get("steps", ()) if step.get("server")]
    return [*named, *([line["peer"]] if line.get("peer") else [])]


def _format(line: dict[str, Any]) -> str:
    hidden = ("time", "level", "logger", "message", "steps", "request_id", "step")
    fields = " ".join(f"{name}={value}" for name, value in line.items() if name not in hidden)
    text = f"{line['time']} {line.get('step', '')}: {line.get('message', '')} {fields}".rstrip()
    for step in line.get("steps", ()):
        details = " ".join(f"{name}={value}" for name, value in step.items())
        text += f"\n    {details}"
    return text


def _read(files: Iterable[pathlib.Path]) -> Iterable[dict[str, Any]]:
    if not files:
        yield from parse(sys.stdin)
        return
    for file in files:
        with file.open(encoding="utf-8", errors="replace") as opened:
            yield from parse(opened)


def parse(lines: Iterable[str]) -> Iterable[dict[str, Any]]:
    """Return the JSON objects in the lines; other lines are left out."""
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
