"""``celerystack where``: asks an entry VM where a request would go now, without sending it."""

from __future__ import annotations

import functools
import http
import json as json_module
from typing import Any

from celerystack import errors
from celerystack.commands import job


def where(
    method: str,
    path: str,
    *,
    key: str = "",
    priority: int = 0,
    deadline_ms: int | None = None,
    json: bool = False,
) -> job.Job:
    """Show where the entry VM at ``--admin-address`` would send a request now, and why.

    The request is not sent.

    Parameters
    ----------
    method
        HTTP method.
    path
        Path of the request, with its query if it has one.
    key
        Value of the key header, for a service that takes the key from a header.
    priority
        Has no effect: requests for services of a configuration folder have no priorities.
    deadline_ms
        Deadline of the request in milliseconds; default: the one of its service.
    json
        Print JSON.
    """
    fields = {"method": method.upper(), "path": path}
    if key:
        fields["key"] = key
    if deadline_ms is not None:
        fields["deadline_ms"] = str(deadline_ms)
    run = functools.partial(_run, fields=fields, priority=priority, as_json=json)
    return job.RemoteJob(run=run, required=("admin_address",))


async def _run(
    remote: job.RemoteContext, *, fields: dict[str, str], priority: int, as_json: bool
) -> int:
    status, report = await remote.admin.get("where", fields)
    if status != http.HTTPStatus.OK:
        raise errors.CelerystackError(
            f"the request would be answered with {status}: {report.get('error', 'no reason')}",
            step="where",
            peer=report.get("vm", ""),
        )
    text = json_module.dumps(report, indent=2) if as_json else format_report(report)
    print(text, file=remote.out)
    if priority and not as_json:
        print(f"priority: {priority} has no effect on services without priorities", file=remote.out)
    return job.ExitCode.OK


def format_report(report: dict[str, Any]) -> str:
    """Return the text for operators."""
    lines = [
        f"entry VM: {report['vm']} (zone {report['zone']})",
        f"configuration version: {report['config_version']}",
        f"route: service {report['service']}, prefix {report['prefix']}",
    ]
    if report["key"]:
        lines.append(f"key: {report['key']} (hash {report['key_hash']})")
        lines.append(f"shard: {report['shard']}, epoch {_shown(report['epoch'])}")
    lines += _server_lines(report)
    if report["why"]:
        lines.append(f"why: {report['why']}")
    if report["server"] is not None:
        lines.append(f"queue: {_queue_text(report['queue'])}")
        lines.append(f"expected wait: {_seconds_text(report['expected_wait_s'])}")
        lines.append(f"expected answer: after {_seconds_text(report['expected_answer_s'])}")
    lines.append(f"deadline: after {report['deadline_s']:.3f} s")
    if report["waits_for"]:
        lines.append(f"waits for: {report['waits_for']}")
    lines.append(f"rejected by: {report['rejected_by'] or 'nothing'}")
    if report["rejected_by"]:
        lines.append(f"retry after: {_seconds_text(report['retry_after_s'])}")
    lines += [
        f"not usable: {server} ({reason})" for server, reason in report["unusable_servers"].items()
    ]
    return "\n".join(lines)


def _server_lines(report: dict[str, Any]) -> list[str]:
    server = report["server"]
    if server is None:
        return ["server: none"]
    text = f"server: {server['id']} (zone {server['zone']}, {server['address']}), {server['state']}"
    if server["leaving"]:
        text += f", leaving: {server['leaving']}"
    lessors = ", ".join(server["lessors"]) or "none"
    last_reply_s = server["last_reply_s"]
    reply = "" if last_reply_s is None else f"; last reply {last_reply_s:.3f} s ago"
    return [text, f"lease: token {server['token']}, held by entry VMs {lessors}{reply}"]


def _queue_text(queue: dict[str, int] | None) -> str:
    if queue is None:
        return "empty; this entry VM has sent no request to the server yet"
    return (
        f"{queue['running']} running of at most {queue['limit']}, {queue['waiting']} waiting, "
        f"{queue['ahead']} ahead of this request"
    )


def _seconds_text(duration_s: float | None) -> str:
    return "unknown" if duration_s is None else f"{duration_s:.3f} s"


def _shown(value: int | None) -> str:
    return "none" if value is None else str(value)
