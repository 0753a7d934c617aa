"""Command line of the soak: ``python -m soak``."""

from __future__ import annotations

import pathlib
import random
import tempfile

import defopt
from twisted.internet import defer, task

from soak import run as soak_run

NETWORK = "127.90.0"


def soak(
    *,
    seeds: list[int] | None = None,
    fresh: int = 0,
    vms: int = 3,
    servers: int = 4,
    seconds: float = 25.0,
    keep: pathlib.Path | None = None,
    network: str = NETWORK,
) -> None:
    """Run the seeds one after another and print the result of each.

    Parameters
    ----------
    seeds
        Seeds to run.
    fresh
        Number of additional random seeds.
    vms
        Number of entry VM processes.
    servers
        Number of servers of each of the two services.
    seconds
        Duration of fault injection, in seconds.
    keep
        Folder for the logs of failed seeds; without it they are discarded.
    network
        First three octets of the loopback addresses of the entry VMs.
    """
    all_seeds = [*(seeds or []), *(random.SystemRandom().randrange(1 << 31) for _ in range(fresh))]
    size = soak_run.Size(vms=vms, servers=servers, fault_window_s=seconds)
    failed_seeds: list[int] = []

    async def run_all(_reactor: object) -> None:
        for seed in all_seeds:
            if not await _run_one(seed, size, keep, network):
                failed_seeds.append(seed)
        if failed_seeds:
            raise SystemExit(1)

    task.react(lambda reactor: defer.Deferred.fromCoroutine(run_all(reactor)))


async def _run_one(seed: int, size: soak_run.Size, keep: pathlib.Path | None, network: str) -> bool:
    with tempfile.TemporaryDirectory() as name:
        log_folder = pathlib.Path(name)
        result = await soak_run.run(seed, log_folder, size=size, network=network)
        print(
            f"seed {result.seed}: {result.faults} faults, {result.requests} requests, "
            f"{result.answered} answered, {len(result.violations)} broken",
            flush=True,
        )
        for violation in result.violations[:20]:
            print(f"  {violation}", flush=True)
        if result.violations and keep is not None:
            seed_folder = keep / str(seed)
            seed_folder.mkdir(parents=True, exist_ok=True)
            for log in log_folder.glob("*.log"):
                (seed_folder / log.name).write_bytes(log.read_bytes())
            (seed_folder / "broken.txt").write_text("\n".join(result.violations) + "\n")
    return not result.violations


if __name__ == "__main__":
    defopt.run(soak, cli_options="all")
