"""Demonstration: a cluster in three zones under load, with one backend and one entry VM killed.

Prints the outcomes per service and whether each invariant held; the exit code is 1 if one was
broken.
"""

from __future__ import annotations

import argparse
import collections
import dataclasses
import pathlib
import string
import sys
import tempfile
import time
from collections.abc import Sequence

from standins import checks, cluster, journal, layout, load, records

ZONES = (1, 2, 3)
LOAD_DURATION_S = 20.0
BACKEND_KILLED_AFTER_S = 5.0
ENTRY_VM_KILLED_AFTER_S = 12.0
REQUESTS_PER_S = 300.0
CALLERS = 24
KEYS = tuple(f"key-{number}" for number in range(12))
"""Few, so that each key is read and written about 6 times per second: the measured unavailable time
includes the wait for the next request."""

UNAVAILABLE_MAX_S = 2.0
"""Target of the design page: a key is served again within 2 s of the loss of its owner."""

SERVICES = (
    layout.ServiceSpec(name="atlas-browse", prefix="/atlas/browse/"),
    layout.ServiceSpec(name="filing-desk", prefix="/filing/desk/", divided=False),
)
VIOLATIONS_SHOWN_MAX = 3
"""Violations printed per invariant."""

KILLED_BACKEND = "ab-1a"
KILLED_ENTRY_VM = "vm-2a"


@dataclasses.dataclass(frozen=True)
class DemoResult:
    """Caller records, runs and kill times of one demonstration."""

    records: list[records.CallerRecord]
    runs: list[journal.Run]
    killed_at_by_incarnation: dict[str, float]


def build(folder: pathlib.Path, *, entry_vms_per_zone: int = 1) -> cluster.Cluster:
    """Return the cluster without starting it."""
    atlas, desk = SERVICES
    backends = [
        layout.BackendSpec(name=f"ab-{zone}{letter}", service=atlas.name, zone=zone)
        for zone in ZONES
        for letter in "ab"
    ]
    backends += [
        layout.BackendSpec(name=f"fd-{zone}", service=desk.name, zone=zone) for zone in ZONES
    ]
    entry_vms = [
        layout.EntryVmSpec(name=f"vm-{zone}{letter}", zone=zone)
        for zone in ZONES
        for letter in string.ascii_lowercase[:entry_vms_per_zone]
    ]
    return cluster.Cluster(folder, services=SERVICES, backends=backends, entry_vms=entry_vms)


def run(folder: pathlib.Path, *, entry_vms_per_zone: int = 1) -> DemoResult:
    """Start the cluster, send the load and kill two processes while it runs."""
    with build(folder, entry_vms_per_zone=entry_vms_per_zone) as running:
        print(f"all keys served {running.wait_served():.1f} s after the start", flush=True)
        plan = load.Plan(
            targets=running.targets(),
            services=tuple(load.LoadService(spec.name, spec.prefix, KEYS) for spec in SERVICES),
            duration_s=LOAD_DURATION_S,
            callers=CALLERS,
            rate=REQUESTS_PER_S,
        )
        finish = running.start_load(plan)
        started = time.monotonic()
        for name, after_s in (
            (KILLED_BACKEND, BACKEND_KILLED_AFTER_S),
            (KILLED_ENTRY_VM, ENTRY_VM_KILLED_AFTER_S),
        ):
            time.sleep(max(0.0, started + after_s - time.monotonic()))
            running.kill(name)
            print(f"{after_s:4.0f} s: killed {name}", flush=True)
        caller_records = finish()
        return DemoResult(caller_records, running.runs(), running.killed_at_by_incarnation())


def violations_by_invariant(result: DemoResult) -> dict[str, Sequence[object]]:
    """Return the violations of each invariant; empty for an invariant that held."""
    caller_records, runs = result.records, result.runs
    reads, writes = _reads_and_writes(caller_records)
    return {
        "a former owner runs nothing": checks.check_epochs(runs),
        "no two servers run a key at once": checks.check_overlaps(
            runs, result.killed_at_by_incarnation
        ),
        "a request that is not idempotent runs once": checks.check_duplicate_runs(runs),
        "a request reported as not run was not run": checks.check_not_run(runs, caller_records),
        "an answer is complete and belongs to its request": checks.check_answers(
            runs, caller_records
        ),
        f"a key is read again within {UNAVAILABLE_MAX_S} s": checks.check_unavailable(
            reads, limit_s=UNAVAILABLE_MAX_S
        ),
        f"a key is written again within {UNAVAILABLE_MAX_S} s": checks.check_unavailable(
            writes, limit_s=UNAVAILABLE_MAX_S
        ),
        "every service and the killed server had work": _unreached(result),
    }


def _reads_and_writes(
    caller_records: list[records.CallerRecord],
) -> tuple[list[records.CallerRecord], list[records.CallerRecord]]:
    """Separate idempotent requests from the others, which also need a claim of the request id."""
    reads = [record for record in caller_records if record.method in checks.IDEMPOTENT_METHODS]
    writes = [record for record in caller_records if record.method not in checks.IDEMPOTENT_METHODS]
    return reads, writes


def _unreached(result: DemoResult) -> list[str]:
    """Return services and killed processes without requests: their checks would prove nothing."""
    answered = {r.service for r in result.records if r.outcome is records.Outcome.ANSWERED}
    used = {run.server for run in result.runs} | {r.entry_vm for r in result.records}
    expected = {spec.name for spec in SERVICES} | {KILLED_BACKEND, KILLED_ENTRY_VM}
    return sorted(expected - answered - used)


def table(result: DemoResult) -> list[str]:
    """Return one line per service.

    ``longest s`` is the longest time for which a key was not read or not written, ``slowest s`` the
    longest time that a caller waited for one request.
    """
    longest_by_service: dict[str, float] = collections.defaultdict(float)
    for caller_records in _reads_and_writes(result.records):
        for (service, _), seconds in checks.unavailable_s_by_key(caller_records).items():
            longest_by_service[service] = max(longest_by_service[service], seconds)
    columns = ("requests", "answered", "not run", "unknown", "wrong owner", "doubled")
    lines = [f"{'service':14}" + "".join(f"{c:>13}" for c in (*columns, "longest s", "slowest s"))]
    for spec in SERVICES:
        caller_records = [record for record in result.records if record.service == spec.name]
        runs = [run for run in result.runs if run.service == spec.name]
        ownership_violations = (
            checks.check_epochs(runs),
            checks.check_overlaps(runs, result.killed_at_by_incarnation),
        )
        outcomes = collections.Counter(record.outcome for record in caller_records)
        counts = [len(caller_records), *(outcomes[outcome] for outcome in records.Outcome)]
        counts += [sum(map(len, ownership_violations)), len(checks.check_duplicate_runs(runs))]
        cells = "".join(f"{count:13}" for count in counts)
        lines.append(f"{spec.name:14}{cells}{longest_by_service[spec.name]:13.2f}")
        lines[-1] += f"{checks.slowest_s(caller_records):13.2f}"
    return lines


def report(result: DemoResult) -> int:
    """Print the table and the result per invariant; returns the exit code."""
    print("", *table(result), "", sep="\n")
    failed = 0
    checked = violations_by_invariant(result)
    for invariant, violations in checked.items():
        print(f"{'BROKEN' if violations else 'ok':7} {invariant}")
        for violation in violations[:VIOLATIONS_SHOWN_MAX]:
            print(f"        {violation}")
        failed += bool(violations)
    print(f"{len(checked) - failed} passed, {failed} failed")
    return 1 if failed else 0


def main(argv: list[str]) -> int:
    """Run the demonstration; returns the exit code."""
    parser = argparse.ArgumentParser(description="Demonstration")
    parser.add_argument("--entry-vms-per-zone", type=int, choices=range(1, 5), default=1)
    options = parser.parse_args(argv)
    with tempfile.TemporaryDirectory() as folder:
        result = run(pathlib.Path(folder), entry_vms_per_zone=options.entry_vms_per_zone)
    return report(result)


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
