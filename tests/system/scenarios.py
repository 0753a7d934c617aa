"""A cluster under load, and the checks that must hold in every failure scenario."""

from __future__ import annotations

import contextlib
import dataclasses
import pathlib
import time
from collections.abc import Iterator

from standins import checks, cluster, journal, layout, load, records

ZONES = (1, 2, 3)
BROWSE_SERVICE = "atlas-browse"
DESK_SERVICE = "filing-desk"
KEYS = tuple(f"key-{number}" for number in range(24))
RECOVERY_LIMIT_S = 2.0
"""Longest time without service for a key after the loss of a server or entry VM."""

REQUEST_INTERVAL_S = 0.3
"""Time between two requests for one key at this load, which callers see in addition."""


@dataclasses.dataclass
class Scenario:
    """A running cluster and its load."""

    running: cluster.Cluster
    load_started_at: float = 0.0

    def start_load(self, duration_s: float, **options):
        """Start callers on all entry VMs; the returned function waits for their records."""
        plan = load.Plan(
            targets=options.pop("targets", self.running.targets()),
            services=tuple(
                load.LoadService(spec.name, spec.prefix, KEYS)
                for spec in self.running.services_by_name.values()
            ),
            duration_s=duration_s,
            callers=options.pop("callers", 24),
            rate=options.pop("rate", 240.0),
            **options,
        )
        self.load_started_at = time.monotonic()
        return self.running.start_load(plan)

    def start_own_load(self, entry_vm: str, keys: tuple[str, ...], *, duration_s: float):
        """Start callers of one entry VM for some keys of `BROWSE_SERVICE`, beside the load."""
        prefix = self.running.services_by_name[BROWSE_SERVICE].prefix
        plan = load.Plan(
            targets=tuple(t for t in self.running.targets() if t.entry_vm == entry_vm),
            services=(load.LoadService(BROWSE_SERVICE, prefix, keys),),
            duration_s=duration_s,
            callers=4,
            rate=40.0,
        )
        return self.running.start_load(plan)

    def sleep_until(self, elapsed_s: float) -> None:
        """Wait until ``elapsed_s`` after the start of the load."""
        time.sleep(max(0.0, self.load_started_at + elapsed_s - time.monotonic()))

    def owner_of(self, key: str) -> str:
        """Return the server that ran the latest request for a key of `BROWSE_SERVICE`."""
        runs = [
            run for run in self.running.runs() if run.key == key and run.service == BROWSE_SERVICE
        ]
        return runs[-1].server

    def violations(self, caller_records: list[records.CallerRecord]) -> list[object]:
        """Return the violations of the invariants that hold under any failure."""
        runs = self.running.runs()
        killed_at = self.running.killed_at_by_incarnation()
        return [
            *checks.check_epochs(runs),
            *shared_epochs(runs),
            *checks.check_overlaps(runs, killed_at),
            *checks.check_duplicate_runs(runs),
            *checks.check_not_run(runs, caller_records),
            *checks.check_answers(runs, caller_records),
        ]

    def check_served(
        self, caller_records: list[records.CallerRecord], service: str = BROWSE_SERVICE
    ) -> None:
        """Fail if the service answered few requests, as the other checks would pass trivially."""
        answered = [
            record
            for record in caller_records
            if record.service == service and record.outcome is records.Outcome.ANSWERED
        ]
        assert len(answered) > 100, f"only {len(answered)} requests of {service} were answered"


@dataclasses.dataclass(frozen=True)
class SharedEpoch:
    """Runs of two servers for the same shard and epoch."""

    first: journal.Run
    second: journal.Run


def shared_epochs(runs: list[journal.Run]) -> list[SharedEpoch]:
    """Return a pair of runs for each server that reused the epoch of another server.

    A restarted server may keep its epoch; any other owner of the shard needs a new one.
    """
    first_by_epoch: dict[tuple[str, int, int], journal.Run] = {}
    caller_records: dict[tuple[str, int, int, str], SharedEpoch] = {}
    for run in runs:
        if not run.divided:
            continue
        epoch = (run.service, run.shard, run.epoch)
        first = first_by_epoch.setdefault(epoch, run)
        if first.server != run.server:
            caller_records.setdefault((*epoch, run.server), SharedEpoch(first, run))
    return list(caller_records.values())


def last_failure_end(caller_records: list[records.CallerRecord], service: str) -> float:
    """Return the end of the last unanswered request; 0 if all were answered."""
    return max(
        (
            r.end
            for r in caller_records
            if r.service == service and r.outcome is not records.Outcome.ANSWERED
        ),
        default=0.0,
    )


def longest_unavailable_s(
    caller_records: list[records.CallerRecord], service: str = BROWSE_SERVICE
) -> float:
    """Return the longest time without service for any key of a service."""
    by_key = checks.unavailable_s_by_key(caller_records)
    return max(seconds for (name, _), seconds in by_key.items() if name == service)


@contextlib.contextmanager
def started(
    folder: pathlib.Path,
    *,
    entry_vms_per_zone: int = 2,
    checks_token: bool = True,
    backends_per_zone: int = 2,
    browse_fields: dict | None = None,
) -> Iterator[Scenario]:
    """Start three zones with two services and wait until all keys are served."""
    services = [
        layout.ServiceSpec(
            name=BROWSE_SERVICE,
            prefix="/atlas/browse/",
            checks_token=checks_token,
            fields=browse_fields or {},
        ),
        layout.ServiceSpec(name=DESK_SERVICE, prefix="/filing/desk/", divided=False),
    ]
    backends = [
        layout.BackendSpec(name=f"ab-{zone}{letter}", service=BROWSE_SERVICE, zone=zone)
        for zone in ZONES
        for letter in "abcdef"[:backends_per_zone]
    ]
    backends += [
        layout.BackendSpec(name=f"fd-{zone}", service=DESK_SERVICE, zone=zone) for zone in ZONES
    ]
    entry_vms = [
        layout.EntryVmSpec(name=f"vm-{zone}{letter}", zone=zone)
        for zone in ZONES
        for letter in "abc"[:entry_vms_per_zone]
    ]
    with cluster.Cluster(
        folder, services=services, backends=backends, entry_vms=entry_vms
    ) as running:
        scenario = Scenario(running)
        running.wait_served()
        yield scenario
