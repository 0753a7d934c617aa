"""Trials on a running cluster: killed and suspended servers, killed entry VMs, a store outage."""

from __future__ import annotations

import base64
import collections
import contextlib
import dataclasses
import http.client
import json
import pathlib
import random
import sys
import time
from collections.abc import Iterator, Sequence
from typing import Any

from celerystack import model
from celerystack.state import codec, keys
from measurements import naive_lease, prober
from standins import checks, cluster, layout, load

ZONES = (1, 2, 3)
PREFIX = "/atlas/browse/"
SERVICE_NAME = "atlas-browse"
WITH_MOVES = {"churn_per_minute": 1.0}
"""With the default churn limit, a restarted server would own no shard for the rest of the run."""

WITHOUT_MOVES = {"churn_per_minute": 0.0, "hot_keys": False}
"""A planned move holds requests for some tenths of a second, longer than the deadline of a probe,
which would be counted as an effect of the fault."""

SERVER_FLAGS = ("--service-ms", "2")
"""Short service time: one server may own all keys of its zone, each probed 50 times/s."""

KEYS_PROBED_MAX = 6
LESSORS = 2
"""Lessors of each server: all entry VMs of its zone."""

KEYS = tuple(f"key-{number}" for number in range(24))
RATE = 200.0
CALLERS = 24
LOAD_MAX_S = 300.0
LATENCY_SAMPLES = 20

PROBE_S = 0.02
OUTAGE_PROBE_S = 0.05
"""Longer than `PROBE_S`, because all keys are probed during an outage."""

PRE_FAULT_S = 0.4
"""Probing time before a fault."""

PRE_FAULT_MAX_S = 5.0
POST_RECOVERY_S = 0.4
"""Probing time after all keys are served again, which detects another loss of service."""

TRIAL_MAX_S = 10.0
REASON_CHARS_SHOWN = 60
SETTLE_MAX_S = 5.0
SETTLE_POLL_S = 0.25
POST_FAULT_S = 2.5
"""Longer than the time after which leases would expire without the killed entry VM."""


@dataclasses.dataclass
class Result:
    """Measurements of the trials of one kind.

    Attributes
    ----------
    per_key_s : list of float
        Unavailable times of all probed keys of all trials.
    unsettled : int
        Trials that began although the cluster had not settled in time.
    ownership_violations, other_violations : int
        Violations found in the journals and the callers' records.
    """

    per_key_s: list[float] = dataclasses.field(default_factory=list)
    unsettled: int = 0
    ownership_violations: int = 0
    other_violations: int = 0
    runs: int = 0
    latencies: naive_lease.Latencies | None = None

    def add(self, probes: prober.Prober, *, fault_at: float, until: float, what: str) -> None:
        """Add the unavailable times of one trial."""
        gaps_by_key = {
            key: prober.longest_gap(answered, fault_at=fault_at, until=until)
            for key, answered in probes.answered_by_key.items()
        }
        gaps_s = [gap.seconds for gap in gaps_by_key.values()]
        self.per_key_s += gaps_s
        worst_key = max(gaps_by_key, key=lambda key: gaps_by_key[key].seconds)
        worst = gaps_by_key[worst_key]
        failed = collections.Counter(
            failure.reason[:REASON_CHARS_SHOWN]
            for failure in probes.failed
            if failure.key == worst_key and worst.begin <= failure.start < worst.end
        )
        self.print_note(
            f"{what}: {len(gaps_s)} keys, worst {worst.seconds:.3f} s for {worst_key} "
            f"from {worst.begin - fault_at:.3f} s on, failed probes {dict(failed)}"
        )

    def print_note(self, text: str) -> None:
        """Print a comment line to stderr."""
        print(f"# {text}", file=sys.stderr, flush=True)


class Trials:
    """A cluster under load and the faults that are injected into it."""

    def __init__(self, running: cluster.Cluster, *, seed: int) -> None:
        self.running = running
        self.result = Result()
        self._rng = random.Random(seed)

    def kill_servers(self, trials: int) -> None:
        """Kill a server per trial and restart it after its keys are served again."""
        for number in range(trials):
            owners = self._wait_settled()
            victim = self._victim(owners, number)
            with self._probes(owners, victim) as probes:
                fault_at = time.monotonic()
                self.running.kill(victim)
                self._finish_trial(probes, fault_at, f"kill {victim}")
            self.running.start_backend(victim)

    def suspend_servers(self, trials: int) -> None:
        """Suspend a server per trial and resume it after its keys are served elsewhere."""
        for number in range(trials):
            owners = self._wait_settled()
            victim = self._victim(owners, number)
            with self._probes(owners, victim) as probes:
                fault_at = time.monotonic()
                self.running.processes.suspend(victim)
                try:
                    self._finish_trial(probes, fault_at, f"suspend {victim}")
                finally:
                    self.running.processes.resume(victim)

    def kill_entry_vms(self, trials: int) -> None:
        """Kill an entry VM per trial and probe the others for the keys of its zone's servers."""
        names = list(self.running.entry_vms_by_name)
        for number in range(trials):
            owners = self._wait_settled()
            victim = names[number % len(names)]
            zone = self.running.entry_vms_by_name[victim].zone
            zone_keys = [
                k for k, s in owners.items() if self.running.backends_by_name[s].zone == zone
            ]
            targets = [t for t in self.running.targets() if t.entry_vm != victim]
            with prober.Prober(
                targets,
                prefix=PREFIX,
                keys=zone_keys[:KEYS_PROBED_MAX] or KEYS[:KEYS_PROBED_MAX],
                interval_s=PROBE_S,
            ) as probes:
                _probe_before_fault(probes)
                fault_at = time.monotonic()
                self.running.kill(victim)
                time.sleep(POST_FAULT_S)
                until = time.monotonic()
            self.result.add(probes, fault_at=fault_at, until=until, what=f"kill {victim}")
            self.running.start_entry_vm(victim)

    def store_outage(self, outage_s: float) -> None:
        """Let the store refuse calls for half of the outage, then leave them unanswered."""
        self._wait_settled()
        targets = self.running.targets()
        with prober.Prober(targets, prefix=PREFIX, keys=KEYS, interval_s=OUTAGE_PROBE_S) as probes:
            _probe_before_fault(probes)
            fault_at = time.monotonic()
            for outage in ("refuse", "hang"):
                self.running.set_platform_faults(outage=outage)
                time.sleep(outage_s / 2)
            self.running.set_platform_faults(outage="none")
            time.sleep(POST_FAULT_S)
            until = time.monotonic()
        self.result.add(probes, fault_at=fault_at, until=until, what="store outage")

    @contextlib.contextmanager
    def _probes(self, owners: dict[str, str], victim: str) -> Iterator[prober.Prober]:
        owned = [key for key, owner in owners.items() if owner == victim]
        with prober.Prober(
            self.running.targets(),
            prefix=PREFIX,
            keys=owned[:KEYS_PROBED_MAX],
            interval_s=PROBE_S,
        ) as probes:
            _probe_before_fault(probes)
            yield probes

    def _finish_trial(self, probes: prober.Prober, fault_at: float, what: str) -> None:
        # The lost server may still answer probes that started before the fault.
        after = fault_at + prober.DEADLINE_MS / 1000
        with contextlib.suppress(TimeoutError):
            layout.wait_until(
                lambda: probes.answered_since(after), what="service", timeout_s=TRIAL_MAX_S
            )
        time.sleep(POST_RECOVERY_S)
        self.result.add(probes, fault_at=fault_at, until=time.monotonic(), what=what)

    def _victim(self, owners: dict[str, str], number: int) -> str:
        """Choose the servers in turn, skipping those that own none of the keys."""
        names = list(self.running.backends_by_name)
        rotated_names = names[number % len(names) :] + names[: number % len(names)]
        return next(name for name in rotated_names if name in owners.values())

    def _wait_settled(self) -> dict[str, str]:
        """Wait until all servers have their lessors and no owner changes; returns the owner by key.

        After `SETTLE_MAX_S` the trial starts if all keys are served, and counts as unsettled.
        """
        deadline = time.monotonic() + SETTLE_MAX_S
        owners_before: dict[str, str] = {}
        while True:
            owners = self._owners()
            unsettled_rows = self._unsettled_rows()
            if len(owners) == len(KEYS) and owners == owners_before and not unsettled_rows:
                return owners
            if time.monotonic() > deadline:
                moved = [key for key in KEYS if owners.get(key) != owners_before.get(key)]
                self.result.print_note(f"not settled: rows {unsettled_rows}, keys moved {moved}")
                if len(owners) < len(KEYS):
                    raise RuntimeError(f"keys are not served: {set(KEYS) - set(owners)}")
                self.result.unsettled += 1
                return owners
            owners_before = owners
            time.sleep(SETTLE_POLL_S)

    def _unsettled_rows(self) -> list[model.ServerRow]:
        """Return the servers' rows that are not active, lack lessors or have previous lessors."""
        fields = {"prefix": keys.SERVER_PREFIX}
        _, body = layout.http_request(self.running.platform_address, "POST", "/table/scan", fields)
        rows = [
            codec.decode_server(base64.b64decode(value), key=key)
            for key, _, value in json.loads(body)["rows"]
        ]
        return [
            row
            for row in rows
            if row.state is not model.ServerState.ACTIVE
            or len(row.lessors) != LESSORS
            or row.previous_lessors
        ]

    def _owners(self) -> dict[str, str]:
        owners = {}
        for key in KEYS:
            target = self._rng.choice(self.running.targets())
            with contextlib.suppress(OSError, http.client.HTTPException):
                path = f"{PREFIX}{key}/owner-{self._rng.getrandbits(48):x}"
                status, body = layout.http_request(target.address, "GET", path)
                if status == http.client.OK:
                    owners[key] = json.loads(body)["server"]
        return owners


def _probe_before_fault(probes: prober.Prober) -> None:
    """Probe for `PRE_FAULT_S` and until each key was served; raises RuntimeError on a timeout."""
    started = time.monotonic()
    time.sleep(PRE_FAULT_S)
    try:
        layout.wait_until(
            lambda: probes.answered_since(started), what="service", timeout_s=PRE_FAULT_MAX_S
        )
    except TimeoutError as error:
        raise RuntimeError(f"not served before the fault: {probes.failed[-5:]}") from error


def measure_latencies(running: cluster.Cluster) -> naive_lease.Latencies:
    """Return the median times of a conditional transaction and of an order to a server."""
    transactions, orders = [], []
    address = next(iter(running.backend_addresses_by_name.values()))
    for version in range(LATENCY_SAMPLES):
        fields = {
            "expected_versions_by_key": {"naive/leader": version},
            "writes": [["naive/leader", ""]],
        }
        transactions.append(_timed_call(running.platform_address, "/table/transact", fields))
        orders.append(_timed_call(address, "/orders/probe", {}))
    middle = LATENCY_SAMPLES // 2
    return naive_lease.Latencies(sorted(transactions)[middle], sorted(orders)[middle])


def _timed_call(address: str, path: str, fields: object) -> float:
    started = time.monotonic()
    status, body = layout.http_request(address, "POST", path, fields)
    if status != http.client.OK:
        raise RuntimeError(f"{path} of {address} answered {status}: {body!r}")
    return time.monotonic() - started


def _build(folder: pathlib.Path, fields: dict[str, Any]) -> cluster.Cluster:
    service = layout.ServiceSpec(name=SERVICE_NAME, prefix=PREFIX, fields=fields)
    backends = [
        layout.BackendSpec(
            name=f"ab-{zone}{letter}", service=SERVICE_NAME, zone=zone, flags=SERVER_FLAGS
        )
        for zone in ZONES
        for letter in "ab"
    ]
    entry_vms = [
        layout.EntryVmSpec(name=f"vm-{zone}{letter}", zone=zone)
        for zone in ZONES
        for letter in "ab"
    ]
    return cluster.Cluster(folder, services=[service], backends=backends, entry_vms=entry_vms)


def run(
    folder: pathlib.Path,
    steps: Sequence[tuple[str, float]],
    *,
    fields: dict[str, Any],
    seed: int,
) -> list[Result]:
    """Start a cluster under load, call methods of `Trials` in turn, and check the journals.

    Parameters
    ----------
    steps : sequence of (str, number)
        Method names and arguments, one result each; the violations are in the last result.
    fields : dict
        Additional configuration fields of the service.
    """
    results = []
    with _build(folder, fields) as running:
        running.wait_served()
        latencies = measure_latencies(running)
        plan = load.Plan(
            targets=running.targets(),
            services=(load.LoadService(SERVICE_NAME, PREFIX, KEYS),),
            duration_s=LOAD_MAX_S,
            callers=CALLERS,
            rate=RATE,
            seed=seed,
        )
        finish = running.start_load(plan)
        trials = Trials(running, seed=seed)
        for name, argument in steps:
            trials.result = Result(latencies=latencies)
            getattr(trials, name)(argument)
            results.append(trials.result)
        # The load generator writes its records on SIGTERM.
        running.processes.terminate("load-1")
        _check(running, finish(), results[-1])
    return results


def _check(running: cluster.Cluster, caller_records: list, result: Result) -> None:
    runs = running.runs()
    killed_at = running.killed_at_by_incarnation()
    ownership = [*checks.check_epochs(runs), *checks.check_overlaps(runs, killed_at)]
    other = [
        *checks.check_duplicate_runs(runs),
        *checks.check_not_run(runs, caller_records),
        *checks.check_answers(runs, caller_records),
    ]
    result.runs = len(runs)
    result.ownership_violations = len(ownership)
    result.other_violations = len(other)
    for violation in (*ownership, *other):
        result.print_note(f"violation: {violation}")
