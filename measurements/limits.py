"""Goodput in overload, connections at a server, and retries in a brown-out, on a running cluster.

The cluster has one undivided service with four servers, four entry VMs and a fifth one that joins
later; all are processes on loopback addresses. The baseline of the goodput is the seeded model in
`naive_queue`.
"""

from __future__ import annotations

import collections
import contextlib
import dataclasses
import pathlib
import sys
import tempfile
import time
from collections.abc import Callable, Iterator, Sequence

from measurements import connections, counting_backend, figures, naive_queue
from standins import cluster, layout, load, records

SEED = 12
SLOTS = 2
SERVICE_S = 0.01
DEADLINE_MS = 500
CONNECTIONS = 110
ZONES_BY_SERVER = {"fd-1": 1, "fd-2": 1, "fd-3": 2, "fd-4": 3}
ZONES_BY_ENTRY_VM = {"vm-1": 1, "vm-2": 2, "vm-3": 3, "vm-4": 1, "vm-5": 2}
KILLED_VM, JOINING_VM = "vm-4", "vm-5"
CAPACITY_PER_S = len(ZONES_BY_SERVER) * SLOTS / SERVICE_S
"""Requests per second that all slots can run, disregarding overhead."""

SERVICE = layout.ServiceSpec(
    name="filing-desk",
    prefix="/filing/desk/",
    divided=False,
    fields={"slots": SLOTS, "connections": CONNECTIONS},
)
KEYS = tuple(f"key-{number}" for number in range(64))
LOAD_GENERATORS = 3
CALLERS_PER_GENERATOR = 320
"""All 960 callers can send 1,600 requests/s even if each one waits for the deadline of 0.5 s."""

WARM_UP_S = 2.0
MEASURED_S = 10.0
PEER_EXPIRY_S = 11.0
"""Longer than `shares.GROW_DELAY_S`, after which peers stop counting an entry VM that left."""

KILL_AFTER_S = 3.0
JOIN_AFTER_S = 4.0
CHANGE_S = 16.0
BROWN_OUT_FLAGS = ("--service-ms", "100", "--queue", "2")
BROWN_OUT_SERVERS = ("fd-2", "fd-4")
BROWN_OUT_RATE = 300.0
BROWN_OUT_S = 12.0
ERROR_CHARS_SHOWN = 40
"""Length of the part of an error that identifies its kind; the rest contains addresses."""

NORMAL_FLAGS = ("--service-ms", str(SERVICE_S * 1000), "--connections", str(CONNECTIONS))


@dataclasses.dataclass(frozen=True)
class Goodput:
    """Requests offered and answered within the deadline, per second."""

    offered: float
    answered: float


def run() -> list[figures.Figure]:
    """Measure overload, a change of entry VMs and a brown-out on one cluster."""
    print(f"# baseline of the goodput: seeded model measurements/naive_queue.py; seed {SEED}")
    with tempfile.TemporaryDirectory() as folder, _start_cluster(pathlib.Path(folder)) as running:
        addresses = running.backend_addresses_by_name.values()
        running.kill(JOINING_VM)
        killed_at = time.monotonic()
        with connections.Sampler(addresses) as steady:
            at_capacity = _goodput(running, CAPACITY_PER_S)
            time.sleep(max(0.0, killed_at + PEER_EXPIRY_S - time.monotonic()))
            at_twice_capacity = _goodput(running, 2 * CAPACITY_PER_S)
        with connections.Sampler(addresses) as change:
            _change_entry_vms(running)
        amplification, per_reached = _brown_out(running)
    return [
        *_goodput_figures(at_capacity, at_twice_capacity),
        figures.Figure("connections_max", max(steady.largest_by_address.values()), "connections"),
        figures.Figure(
            "connections_change_max", max(change.largest_by_address.values()), "connections"
        ),
        figures.Figure("retry_amplification", amplification, "1"),
        figures.Figure("retry_amplification_per_reached_request", per_reached, "1"),
    ]


def _goodput_figures(at_capacity: Goodput, at_twice_capacity: Goodput) -> list[figures.Figure]:
    naive_single, naive_double = (
        naive_queue.goodput_per_s(
            rate=rate,
            slots=len(ZONES_BY_SERVER) * SLOTS,
            service_s=SERVICE_S,
            deadline_s=DEADLINE_MS / 1000,
            duration_s=WARM_UP_S + MEASURED_S,
            seed=SEED,
        )
        for rate in (CAPACITY_PER_S, 2 * CAPACITY_PER_S)
    )
    return [
        figures.Figure("offered_1x_per_s", at_capacity.offered, "requests/s"),
        figures.Figure("offered_2x_per_s", at_twice_capacity.offered, "requests/s"),
        figures.Figure("goodput_1x_per_s", at_capacity.answered, "answers/s", naive_single),
        figures.Figure("goodput_2x_per_s", at_twice_capacity.answered, "answers/s", naive_double),
        figures.Figure(
            "overload_goodput_ratio",
            at_twice_capacity.answered / at_capacity.answered,
            "1",
            naive_double / naive_single,
        ),
    ]


@contextlib.contextmanager
def _start_cluster(folder: pathlib.Path) -> Iterator[cluster.Cluster]:
    backends = [
        layout.BackendSpec(name=name, service=SERVICE.name, zone=zone, flags=NORMAL_FLAGS)
        for name, zone in ZONES_BY_SERVER.items()
    ]
    entry_vms = [
        layout.EntryVmSpec(name=name, zone=zone) for name, zone in ZONES_BY_ENTRY_VM.items()
    ]
    running = cluster.Cluster(folder, services=[SERVICE], backends=backends, entry_vms=entry_vms)
    running.processes = counting_backend.CountingProcesses(folder)
    with running:
        running.wait_served()
        yield running


def _start_load(
    running: cluster.Cluster,
    rate: float,
    duration_s: float,
    *,
    excluded_vms: Sequence[str] = (),
    post_share: float = 0.0,
) -> Callable[[], list[records.CallerRecord]]:
    """Start the load generators; the returned function waits for their records."""
    finish_calls = []
    for number in range(LOAD_GENERATORS):
        plan = load.Plan(
            targets=tuple(t for t in running.targets() if t.entry_vm not in excluded_vms),
            services=(load.LoadService(SERVICE.name, SERVICE.prefix, KEYS),),
            duration_s=duration_s,
            callers=CALLERS_PER_GENERATOR,
            rate=rate / LOAD_GENERATORS,
            post_share=post_share,
            deadline_ms=DEADLINE_MS,
            seed=SEED + number,
        )
        finish_calls.append(running.start_load(plan))
    return lambda: [record for finish in finish_calls for record in finish()]


def _goodput(running: cluster.Cluster, rate: float) -> Goodput:
    """Measure the goodput at a rate after `WARM_UP_S`, without `JOINING_VM` as a target."""
    caller_records = _start_load(running, rate, WARM_UP_S + MEASURED_S, excluded_vms=[JOINING_VM])()
    measured_from = min(record.start for record in caller_records) + WARM_UP_S
    measured = [
        record
        for record in caller_records
        if measured_from <= record.start < measured_from + MEASURED_S
    ]
    answered = [
        record
        for record in measured
        if record.outcome is records.Outcome.ANSWERED
        and record.end - record.start <= DEADLINE_MS / 1000
    ]
    _print_outcomes(f"{rate:.0f}/s", caller_records)
    return Goodput(len(measured) / MEASURED_S, len(answered) / MEASURED_S)


def _change_entry_vms(running: cluster.Cluster) -> None:
    """Kill an entry VM and start another one under a load of twice the capacity."""
    finish = _start_load(running, 2 * CAPACITY_PER_S, CHANGE_S)
    started = time.monotonic()
    time.sleep(KILL_AFTER_S)
    running.kill(KILLED_VM)
    time.sleep(max(0.0, started + JOIN_AFTER_S - time.monotonic()))
    running.start_entry_vm(JOINING_VM)
    _print_outcomes("entry VMs change", finish())


def _brown_out(running: cluster.Cluster) -> tuple[float, float]:
    """Slow down half of the servers so that they shed most of their requests.

    Returns
    -------
    tuple of float
        Attempts that arrived at servers, executed or refused, per request of a caller, and per
        request that arrived at a server at least once.
    """
    for name in BROWN_OUT_SERVERS:
        running.kill(name)
        spec = running.backends_by_name[name]
        running.backends_by_name[name] = dataclasses.replace(
            spec, flags=(*NORMAL_FLAGS, *BROWN_OUT_FLAGS)
        )
        running.start_backend(name)
    caller_records = _start_load(
        running, BROWN_OUT_RATE, BROWN_OUT_S, excluded_vms=[KILLED_VM], post_share=0.5
    )()
    sent = {record.request_id for record in caller_records}
    executed = [run.request_id for run in running.runs() if run.request_id in sent]
    refused = [name for name in counting_backend.refused_ids(running.folder) if name in sent]
    arrived = [*executed, *refused]
    _print_outcomes(f"brown-out: {len(executed)} executed, {len(refused)} refused", caller_records)
    return len(arrived) / len(sent), len(arrived) / len(set(arrived))


def _print_outcomes(what: str, caller_records: Sequence[records.CallerRecord]) -> None:
    """Print the number of requests by outcome to stderr."""
    count_by_outcome = collections.Counter(
        f"{record.outcome.value} {record.status} {record.error[:ERROR_CHARS_SHOWN]}".strip()
        for record in caller_records
    )
    print(f"# {what}: {dict(count_by_outcome.most_common())}", file=sys.stderr, flush=True)
