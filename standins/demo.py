"""Demonstration: three zones under load while a backend server and an entry VM are killed.

Prints what callers saw and which promises held; the exit code is 1 if one was broken.
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
LOAD_S = 20.0
BACKEND_KILL_S = 5.0
ENTRY_VM_KILL_S = 12.0
RATE = 300.0
CALLERS = 24
KEYS = tuple(f"key-{number}" for number in range(12))
"""So few that each is read and written about 6 times per second: the measured time without service
includes the wait for the next request."""

UNAVAILABLE_MAX_S = 2.0
"""Target of the design page: a key is served again within 2 s of a loss."""

SERVICES = (
    layout.ServiceSpec(name="atlas-browse", prefix="/atlas/browse/"),
    layout.ServiceSpec(name="filing-desk", prefix="/filing/desk/", divided=False),
)
SHOWN_MAX = 3
"""Violations printed per promise."""

KILLED_BACKEND = "ab-1a"
KILLED_ENTRY_VM = "vm-2a"


@dataclasses.dataclass(frozen=True)
class Evidence:
    """What a run of the demonstration left behind."""

    records: list[records.CallerRecord]
    runs: list[journal.Run]
    lost_at_by_incarnation: dict[str, float]


def build(folder: pathlib.Path, *, entry_vms_per_zone: int = 1) -> cluster.Cluster:
    """Describe the cluster; nothing is started yet."""
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


def run(folder: pathlib.Path, *, entry_vms_per_zone: int = 1) -> Evidence:
    """Start the cluster, send the load and kill two processes meanwhile."""
    with build(folder, entry_vms_per_zone=entry_vms_per_zone) as running:
        print(f"all keys served {running.wait_served():.1f} s after the start", flush=True)
        plan = load.Plan(
            targets=running.targets(),
            services=tuple(load.LoadService(spec.name, spec.prefix, KEYS) for spec in SERVICES),
            duration_s=LOAD_S,
            callers=CALLERS,
            rate=RATE,
        )
        finish = running.start_load(plan)
        started = time.monotonic()
        for name, after_s in ((KILLED_BACKEND, BACKEND_KILL_S), (KILLED_ENTRY_VM, ENTRY_VM_KILL_S)):
            time.sleep(max(0.0, started + after_s - time.monotonic()))
            running.kill(name)
            print(f"{after_s:4.0f} s: killed {name}", flush=True)
        found = finish()
        return Evidence(found, running.runs(), running.lost_at_by_incarnation())


def violations_by_promise(evidence: Evidence) -> dict[str, Sequence[object]]:
    """Check every promise."""
    found, runs = evidence.records, evidence.runs
    reads, writes = _reads_and_writes(found)
    return {
        "a former owner runs nothing": checks.check_epochs(runs),
        "no two servers run a key at once": checks.check_overlaps(
            runs, evidence.lost_at_by_incarnation
        ),
        "a request that is not idempotent runs once": checks.check_doubled(runs),
        "a request reported as not run was not run": checks.check_not_run(runs, found),
        "an answer is complete and belongs to its request": checks.check_answers(runs, found),
        f"a key is read again within {UNAVAILABLE_MAX_S} s": checks.check_unavailable(
            reads, limit_s=UNAVAILABLE_MAX_S
        ),
        f"a key is written again within {UNAVAILABLE_MAX_S} s": checks.check_unavailable(
            writes, limit_s=UNAVAILABLE_MAX_S
        ),
        "every service and the killed server had work": _idle(evidence),
    }


def _reads_and_writes(
    found: list[records.CallerRecord],
) -> tuple[list[records.CallerRecord], list[records.CallerRecord]]:
    """Separate idempotent requests from the others, which depend on claims of request ids too."""
    reads = [record for record in found if record.method in checks.IDEMPOTENT_METHODS]
    writes = [record for record in found if record.method not in checks.IDEMPOTENT_METHODS]
    return reads, writes


def _idle(evidence: Evidence) -> list[str]:
    """Name what the load did not reach; without load the other checks prove nothing."""
    answered = {r.service for r in evidence.records if r.outcome is records.Outcome.ANSWERED}
    used = {run.server for run in evidence.runs} | {r.entry_vm for r in evidence.records}
    wanted = {spec.name for spec in SERVICES} | {KILLED_BACKEND, KILLED_ENTRY_VM}
    return sorted(wanted - answered - used)


def table(evidence: Evidence) -> list[str]:
    """Return one line per service.

    ``longest s`` is the longest time for which a key was not read or not written, ``slowest s`` the
    longest time that one caller waited.
    """
    longest_by_service: dict[str, float] = collections.defaultdict(float)
    for found in _reads_and_writes(evidence.records):
        for (service, _), seconds in checks.unavailable_s_by_key(found).items():
            longest_by_service[service] = max(longest_by_service[service], seconds)
    columns = ("requests", "answered", "not run", "unknown", "wrong owner", "doubled")
    lines = [f"{'service':14}" + "".join(f"{c:>13}" for c in (*columns, "longest s", "slowest s"))]
    for spec in SERVICES:
        found = [record for record in evidence.records if record.service == spec.name]
        runs = [run for run in evidence.runs if run.service == spec.name]
        wrong = (
            checks.check_epochs(runs),
            checks.check_overlaps(runs, evidence.lost_at_by_incarnation),
        )
        outcomes = collections.Counter(record.outcome for record in found)
        counts = [len(found), *(outcomes[outcome] for outcome in records.Outcome)]
        counts += [sum(map(len, wrong)), len(checks.check_doubled(runs))]
        cells = "".join(f"{count:13}" for count in counts)
        lines.append(f"{spec.name:14}{cells}{longest_by_service[spec.name]:13.2f}")
        lines[-1] += f"{checks.slowest_s(found):13.2f}"
    return lines


def report(evidence: Evidence) -> int:
    """Print the table and the promises; returns the exit code."""
    print("", *table(evidence), "", sep="\n")
    failed = 0
    checked = violations_by_promise(evidence)
    for promise, violations in checked.items():
        print(f"{'BROKEN' if violations else 'ok':7} {promise}")
        for violation in violations[:SHOWN_MAX]:
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
        evidence = run(pathlib.Path(folder), entry_vms_per_zone=options.entry_vms_per_zone)
    return report(evidence)


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
