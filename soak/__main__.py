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
    """Run seeds one after the other and print what each showed.

    Parameters
    ----------
    seeds
        Seeds to run.
    fresh
        Number of further seeds, drawn now.
    vms
        Entry VM processes.
    servers
        Servers of each of the two services.
    seconds
        Time in which faults happen.
    keep
        Folder for the logs of seeds that failed; by default they are dropped.
    network
        First three octets of the loopback addresses of the entry VMs.
    """
    wanted = [*(seeds or []), *(random.SystemRandom().randrange(1 << 31) for _ in range(fresh))]
    size = soak_run.Size(vms=vms, servers=servers, length_s=seconds)
    failed: list[int] = []

    async def run_all(_reactor: object) -> None:
        for seed in wanted:
            if not await _run_one(seed, size, keep, network):
                failed.append(seed)
        if failed:
            raise SystemExit(1)

    task.react(lambda reactor: defer.Deferred.fromCoroutine(run_all(reactor)))


async def _run_one(seed: int, size: soak_run.Size, keep: pathlib.Path | None, network: str) -> bool:
    with tempfile.TemporaryDirectory() as name:
        folder = pathlib.Path(name)
        result = await soak_run.run(seed, folder, size=size, network=network)
        print(
            f"seed {result.seed}: {result.faults} faults, {result.requests} requests, "
            f"{result.answered} answered, {len(result.broken)} broken",
            flush=True,
        )
        for line in result.broken[:20]:
            print(f"  {line}", flush=True)
        if result.broken and keep is not None:
            kept = keep / str(seed)
            kept.mkdir(parents=True, exist_ok=True)
            for log in folder.glob("*.log"):
                (kept / log.name).write_bytes(log.read_bytes())
            (kept / "broken.txt").write_text("\n".join(result.broken) + "\n")
    return not result.broken


if __name__ == "__main__":
    defopt.run(soak, cli_options="all")
