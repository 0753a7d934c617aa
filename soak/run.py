"""One run of the soak."""

from __future__ import annotations

import dataclasses
import pathlib
import random
import time
from collections.abc import Callable

from twisted.internet import defer

from soak import callers, promises, schedule, world
from standins import scripted_backend

KEYS = tuple(range(0, 65_536, 1_499))
RECOVERY_S = 15.0
SESSIONS_PER_VM = 2
CHECK_S = 0.1


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Size:
    """How large a run is; ``length_s`` is the time in which faults happen."""

    vms: int = 3
    servers: int = 4
    length_s: float = 25.0


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Result:
    """What a run showed."""

    seed: int
    faults: int
    requests: int
    answered: int
    broken: tuple[str, ...]


async def run(seed: int, folder: pathlib.Path, *, size: Size, network: str) -> Result:
    """Run one seed; logs of the entry VMs are written to ``folder``."""
    seen = promises.Promises(KEYS)
    made = world.World(folder, seen, vms=size.vms, servers=size.servers, network=network)
    events = schedule.draw(seed, length_s=size.length_s)
    try:
        await made.start()
        sessions = _open_sessions(made, seen)
        over = [False]
        asking = [
            defer.Deferred.fromCoroutine(
                callers.keep_asking(session, _paths(seed + number), is_over=lambda: over[0])
            )
            for number, session in enumerate(sessions)
        ]
        await _strike_all(made, events)
        await _check_recovery(made, seen)
        over[0] = True
        await defer.gatherResults(asking, consumeErrors=True)
    finally:
        await made.stop()
    return Result(
        seed=seed,
        faults=len(events),
        requests=seen.requests,
        answered=seen.answered,
        broken=tuple(seen.finish()),
    )


def _open_sessions(made: world.World, seen: promises.Promises) -> list[callers.Session]:
    return [
        callers.Session(made.address_of(vm), seen)
        for vm in made.vms
        for _ in range(SESSIONS_PER_VM)
    ]


def _paths(seed: int) -> Callable[[], tuple[str, int | None]]:
    chance = random.Random(seed)

    def choose() -> tuple[str, int | None]:
        if chance.random() < 0.3:
            return "/desk/a", None
        return "/view/a", chance.choice(KEYS)

    return choose


async def _strike_all(made: world.World, events: tuple[schedule.Event, ...]) -> None:
    started = time.monotonic()
    for event in events:
        while time.monotonic() - started < event.at:
            await scripted_backend.sleep(CHECK_S / 4)
            made.check_processes()
        made.strike(event)
    await made.settle()


async def _check_recovery(made: world.World, seen: promises.Promises) -> None:
    """Check that every key and service is served again on every entry VM."""
    end = time.monotonic() + RECOVERY_S
    for vm in made.vms:
        session = callers.Session(made.address_of(vm), seen)
        for path, key in [*(("/view/a", key) for key in KEYS), ("/desk/a", None)]:
            while await session.request(path, key) != 200:
                made.check_processes()
                if time.monotonic() > end:
                    seen.broken.append(f"recovery: {vm} does not serve {path} {key}")
                    return
                await scripted_backend.sleep(CHECK_S)
        session.close()
