"""One run of the soak."""

from __future__ import annotations

import dataclasses
import pathlib
import random
import time
from collections.abc import Callable

from twisted.internet import defer, protocol, reactor

from soak import callers, cluster, invariants, schedule
from standins import scripted_backend

KEYS = tuple(range(0, 65_536, 1_499))
RECOVERY_TIMEOUT_S = 15.0
SESSIONS_PER_VM = 2
POLL_S = 0.1
CONFIG_TIMEOUT_S = 5.0
MOVE_TIMEOUT_S = 5.0
SLOW_CALLERS = 4
SLOW_CALLERS_S = 0.7
"""Time for which slow callers send before the entry VM is terminated."""
PADDING_BYTES = 30_000


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Size:
    """Size of a run; faults are injected during its first ``fault_window_s`` seconds."""

    vms: int = 3
    servers: int = 4
    fault_window_s: float = 25.0


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Result:
    """Counts and violations of a run."""

    seed: int
    faults: int
    requests: int
    answered: int
    violations: tuple[str, ...]


async def run(seed: int, folder: pathlib.Path, *, size: Size, network: str) -> Result:
    """Run one seed; the entry VMs write their logs to ``folder``."""
    checker = invariants.InvariantChecker(KEYS)
    running = cluster.SoakCluster(
        folder, checker, vms=size.vms, servers=size.servers, network=network
    )
    events = schedule.generate(seed, fault_window_s=size.fault_window_s)
    try:
        await running.start()
        sessions = _open_sessions(running, checker)
        stop_requested = [False]
        callers_done = [
            defer.Deferred.fromCoroutine(
                callers.send_requests(
                    session, _request_chooser(seed + number), is_over=lambda: stop_requested[0]
                )
            )
            for number, session in enumerate(sessions)
        ]
        await _inject_faults(running, events)
        await _check_recovery(running, checker)
        await _check_progress(running, checker)
        stop_requested[0] = True
        await defer.gatherResults(callers_done, consumeErrors=True)
        for vm in running.vms:
            await _check_planned_stop(running, checker, vm)
    finally:
        await running.stop()
    return Result(
        seed=seed,
        faults=len(events),
        requests=checker.requests,
        answered=checker.answered,
        violations=tuple(checker.finish()),
    )


def _open_sessions(
    running: cluster.SoakCluster, checker: invariants.InvariantChecker
) -> list[callers.Session]:
    return [
        callers.Session(running.address_of(vm), checker)
        for vm in running.vms
        for _ in range(SESSIONS_PER_VM)
    ]


def _request_chooser(seed: int) -> Callable[[], tuple[str, int | None]]:
    rng = random.Random(seed)

    def choose() -> tuple[str, int | None]:
        if rng.random() < 0.3:
            return "/desk/a", None
        return "/view/a", rng.choice(KEYS)

    return choose


async def _inject_faults(running: cluster.SoakCluster, events: tuple[schedule.Event, ...]) -> None:
    started = time.monotonic()
    for event in events:
        while time.monotonic() - started < event.start_s:
            await scripted_backend.sleep(POLL_S / 4)
            running.check_processes()
        running.inject(event)
    await running.wait_for_faults()


async def _check_recovery(
    running: cluster.SoakCluster, checker: invariants.InvariantChecker
) -> None:
    """Check that every key and service is served again on every entry VM."""
    deadline = time.monotonic() + RECOVERY_TIMEOUT_S
    for vm in running.vms:
        session = callers.Session(running.address_of(vm), checker)
        for path, key in [*(("/view/a", key) for key in KEYS), ("/desk/a", None)]:
            while await session.request(path, key) != 200:
                running.check_processes()
                if time.monotonic() > deadline:
                    checker.violations.append(f"recovery: {vm} does not serve {path} {key}")
                    return
                await scripted_backend.sleep(POLL_S)
        session.close()


async def _check_progress(
    running: cluster.SoakCluster, checker: invariants.InvariantChecker
) -> None:
    """Check that one more configuration and one more move of keys take effect."""
    running.add_route("added")
    deadline = time.monotonic() + CONFIG_TIMEOUT_S
    for vm in running.vms:
        session = callers.Session(running.address_of(vm), checker)
        while await session.request("/added/a", None) in (None, 404):
            if time.monotonic() > deadline:
                checker.violations.append(f"recovery: {vm} does not use the newest configuration")
                break
            await scripted_backend.sleep(POLL_S)
        session.close()
    if not await running.move_keys(KEYS[0], timeout_s=MOVE_TIMEOUT_S):
        checker.violations.append("recovery: the keys of a server that drains do not move")


async def _check_planned_stop(
    running: cluster.SoakCluster, checker: invariants.InvariantChecker, vm: str
) -> None:
    """Terminate an entry VM whose callers send further requests and read slowly."""
    running.set_answer_padding(PADDING_BYTES)
    host, port = running.address_of(vm)
    opened = []
    for key in KEYS[:SLOW_CALLERS]:
        creator = protocol.ClientCreator(reactor, callers.SlowCaller, checker, key)
        opened.append(await creator.connectTCP(host, port, timeout=1))
    await scripted_backend.sleep(SLOW_CALLERS_S)
    await running.terminate(vm)
    for caller in opened:
        await caller.ended
        checker.record_lost(vm, filter(running.has_run, caller.unanswered))
    running.set_answer_padding(0)
