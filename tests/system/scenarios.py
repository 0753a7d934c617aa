"""A cluster under load for tests of the promises, with the checks that hold in every case."""

from __future__ import annotations

import contextlib
import dataclasses
import pathlib
import time
from collections.abc import Iterator

from standins import checks, cluster, journal, layout, load, records

ZONES = (1, 2, 3)
BROWSE = "atlas-browse"
DESK = "filing-desk"
KEYS = tuple(f"key-{number}" for number in range(24))
SERVED_AGAIN_S = 2.0
"""Target: a key is served again within 2 s of a loss."""

POLL_SLACK_S = 0.3
"""Time between two requests for one key at the load used here, which adds to what callers see."""


@dataclasses.dataclass
class Scenario:
    """A running cluster and the load on it."""

    running: cluster.Cluster
    started_at: float = 0.0

    def start_load(self, duration_s: float, **options):
        """Start callers on all entry VMs; the result waits for their records."""
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
        self.started_at = time.monotonic()
        return self.running.start_load(plan)

    def sleep_until(self, elapsed_s: float) -> None:
        """Wait until so many seconds after the start of the load."""
        time.sleep(max(0.0, self.started_at + elapsed_s - time.monotonic()))

    def owner_of(self, key: str) -> str:
        """Return the server that ran the newest request for a key."""
        runs = [run for run in self.running.runs() if run.key == key and run.service == BROWSE]
        return runs[-1].server

    def violations(self, found: list[records.CallerRecord]) -> list[object]:
        """Return every violation of what must hold under any failure."""
        runs = self.running.runs()
        lost_at = self.running.lost_at_by_incarnation()
        return [
            *checks.check_epochs(runs),
            *shared_epochs(runs),
            *checks.check_overlaps(runs, lost_at),
            *checks.check_doubled(runs),
            *checks.check_not_run(runs, found),
            *checks.check_answers(runs, found),
        ]

    def check_served(self, found: list[records.CallerRecord], service: str = BROWSE) -> None:
        """Fail if the load did not reach the service, which would make all checks empty."""
        answered = [
            record
            for record in found
            if record.service == service and record.outcome is records.Outcome.ANSWERED
        ]
        assert len(answered) > 100, f"only {len(answered)} requests of {service} were answered"


@dataclasses.dataclass(frozen=True)
class SharedEpoch:
    """Two servers ran requests of one shard under the same epoch."""

    first: journal.Run
    second: journal.Run


def shared_epochs(runs: list[journal.Run]) -> list[SharedEpoch]:
    """Return the first run of every further server that ran a shard under a used epoch.

    A restarted server may serve on under its epoch; every other owner needs a new one.
    """
    first_by_epoch: dict[tuple[str, int, int], journal.Run] = {}
    found: dict[tuple[str, int, int, str], SharedEpoch] = {}
    for run in runs:
        if not run.divided:
            continue
        epoch = (run.service, run.shard, run.epoch)
        first = first_by_epoch.setdefault(epoch, run)
        if first.server != run.server:
            found.setdefault((*epoch, run.server), SharedEpoch(first, run))
    return list(found.values())


def last_failure_end(found: list[records.CallerRecord], service: str) -> float:
    """Return when the last request that was not answered ended; 0 if all were answered."""
    return max(
        (
            r.end
            for r in found
            if r.service == service and r.outcome is not records.Outcome.ANSWERED
        ),
        default=0.0,
    )


def longest_unavailable_s(found: list[records.CallerRecord], service: str = BROWSE) -> float:
    """Return the longest time for which a key of a service was not served."""
    by_key = checks.unavailable_s_by_key(found)
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
            name=BROWSE,
            prefix="/atlas/browse/",
            checks_token=checks_token,
            fields=browse_fields or {},
        ),
        layout.ServiceSpec(name=DESK, prefix="/filing/desk/", divided=False),
    ]
    backends = [
        layout.BackendSpec(name=f"ab-{zone}{letter}", service=BROWSE, zone=zone)
        for zone in ZONES
        for letter in "abcdef"[:backends_per_zone]
    ]
    backends += [layout.BackendSpec(name=f"fd-{zone}", service=DESK, zone=zone) for zone in ZONES]
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
