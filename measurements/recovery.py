"""Unavailable time of keys on a running cluster after the loss of servers, entry VMs or the store.

The clusters are those of `recovery_trials`: processes on loopback addresses. `prober` measures the
unavailable time of each key; the median is over all probed keys of all trials, the worst is that of
a single key. The baseline is the seeded model in `naive_lease`, with one sample per trial and the
latencies measured at the running stand-ins.
"""

from __future__ import annotations

import concurrent.futures
import multiprocessing
import pathlib
import statistics
import tempfile
from collections.abc import Sequence

from measurements import figures, naive_lease, recovery_trials

SEED = 11
SERVER_TRIALS = 20
ENTRY_VM_TRIALS = 10
OUTAGE_S = 60.0
ENTRY_VMS = 6

CLUSTERS = (
    (
        recovery_trials.WITH_MOVES,
        (("kill_servers", SERVER_TRIALS), ("suspend_servers", SERVER_TRIALS)),
    ),
    (
        recovery_trials.WITHOUT_MOVES,
        (("kill_entry_vms", ENTRY_VM_TRIALS), ("store_outage", OUTAGE_S)),
    ),
)
"""Fields of the service and steps of each cluster.

Both run at the same time and take about three cores; three clusters on ten shared cores distorted
the figures by a lack of CPU time. Servers are lost while shards are moved, as in production; the
other two faults are measured without planned moves.
"""

FAULT_NAMES = ("server_loss", "server_freeze", "entry_vm_loss", "store_outage")


def run() -> list[figures.Figure]:
    """Measure both clusters and compare them with the model."""
    print("# baseline: seeded model measurements/naive_lease.py with latencies of this run")
    results = _run_clusters()
    latencies = results[0].latencies
    print(
        f"# measured: transaction {latencies.transaction_s:.4f} s, order {latencies.order_s:.4f} s;"
        f" {sum(result.runs for result in results)} runs checked; seed {SEED}"
    )
    baselines = _baselines(latencies)
    result_figures = []
    for name, result in zip(FAULT_NAMES, results, strict=True):
        result_figures += _figures(name, result.per_key_s, baselines[name])
    ownership = sum(result.ownership_violations for result in results)
    other = sum(result.other_violations for result in results)
    return [
        *result_figures,
        figures.Figure("ownership_violations", ownership, "runs"),
        figures.Figure("other_violations", other, "requests"),
        figures.Figure("unsettled_trials", sum(r.unsettled for r in results), "trials"),
    ]


def _run_clusters() -> list[recovery_trials.Result]:
    context = multiprocessing.get_context("spawn")
    with (
        tempfile.TemporaryDirectory() as folder,
        concurrent.futures.ProcessPoolExecutor(len(CLUSTERS), context) as executor,
    ):
        running = []
        for number, (fields, steps) in enumerate(CLUSTERS):
            path = pathlib.Path(folder) / f"cluster-{number}"
            path.mkdir()
            future = executor.submit(
                recovery_trials.run, path, steps, fields=fields, seed=SEED + number
            )
            running.append(future)
        return [result for future in running for result in future.result()]


def _baselines(latencies: naive_lease.Latencies) -> dict[str, list[float]]:
    """Return one unavailable time per trial and kind of fault.

    The entry VMs are killed in turn, so one of `ENTRY_VMS` trials kills the leader.
    """
    naive = naive_lease.NaiveLease(latencies, entry_vms=ENTRY_VMS, seed=SEED)
    entry_vm = [
        naive.entry_vm_lost(leader=number % ENTRY_VMS == 0) for number in range(ENTRY_VM_TRIALS)
    ]
    return {
        "server_loss": [naive.server_lost() for _ in range(SERVER_TRIALS)],
        "server_freeze": [naive.server_lost() for _ in range(SERVER_TRIALS)],
        "entry_vm_loss": entry_vm,
        "store_outage": [naive.store_outage(OUTAGE_S)],
    }


def _figures(name: str, values: Sequence[float], baseline: Sequence[float]) -> list[figures.Figure]:
    return [
        figures.Figure(
            f"{name}_unavailable_{kind}_s", summary(values), "s", baseline=summary(baseline)
        )
        for kind, summary in (("median", statistics.median), ("worst", max))
    ]
