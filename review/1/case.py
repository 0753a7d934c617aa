"""Servers restart under their ids while the store is down; a key is granted to two servers."""

from __future__ import annotations

import asyncio
import random
import time

import rig

SERVERS = 7
VMS = 3
ROUNDS = 6
OUTAGE_S = 4.5
CRASH_AFTER_S = 1.5
DOWN_S = 1.5
BUSY_S = 4.0
"""Time for which the busy key stays before each outage."""
LEAVING_S = 4.0
"""Time for which a server serves after the store has accepted that it drains."""
SETTLE_S = 2.0
"""Pause after each round."""
WORK_S = 0.8
"""Mean work of a request."""
DEADLINE_MS = 4160
"""Deadline of the requests, and timeout of their route."""
REQUESTS_PER_S = 1.6
BUSY_SHARE = 0.9
"""Share of the requests for one busy key."""


class Judge:
    """Checks the rule OWNER with what the servers see."""

    def __init__(self, played: rig.Rig) -> None:
        self._record = played.record
        self._servers = played.servers
        self._shared_since: dict[tuple[str, str], float] = {}
        for server in self._servers:
            self.take(server)

    def take(self, server: rig.Server) -> None:
        """Watch the grants to a server."""
        server.on_grant = self._on_grant

    def _on_grant(self, server: rig.Server, hold: rig.Hold) -> None:
        now = time.monotonic()
        for other in self._servers:
            if other is server or not other.is_up:
                continue
            for run in other.runs:
                if run.key is None or not hold.start <= run.key <= hold.end:
                    continue
                if now < run.hold_until:
                    self._record.broken(
                        f"{server.name} is given key {run.key} with fence {hold.fence} while "
                        f"{other.name} is still at work on it ({run.request_id}) and its own hold "
                        f"would have run {run.hold_until - now:.2f} s longer"
                    )

    async def watch(self) -> None:
        """Look for keys that two servers hold for over half a second."""
        while True:
            now = time.monotonic()
            for index, one in enumerate(self._servers):
                for other in self._servers[index + 1 :]:
                    self._compare(one, other, now)
            await asyncio.sleep(0.05)

    def _compare(self, one: rig.Server, other: rig.Server, now: float) -> None:
        pair = one.name, other.name
        shared = (
            one.is_up
            and other.is_up
            and any(
                a.covers(b.start, b.end) and min(a.until, b.until) > now
                for a in one.holds
                for b in other.holds
            )
        )
        if not shared:
            self._shared_since.pop(pair, None)
        elif now - self._shared_since.setdefault(pair, now) > 0.5:
            self._record.broken(f"{one.name} and {other.name} hold the same keys for over 0.5 s")
            self._shared_since[pair] = now


class Callers:
    """Send requests at random times, most of them for one busy key."""

    def __init__(self, played: rig.Rig) -> None:
        self._played = played
        self.busy = 0
        self.statuses: dict[int, int] = {}

    async def send(self) -> None:
        """Send requests until cancelled."""
        tasks: set[asyncio.Task[None]] = set()
        while True:
            task = asyncio.create_task(self._ask())
            tasks.add(task)
            task.add_done_callback(tasks.discard)
            await asyncio.sleep(random.expovariate(REQUESTS_PER_S))

    async def _ask(self) -> None:
        key = self.busy if random.random() < BUSY_SHARE else random.randint(0, 65_535)
        request_id = rig.new_id()
        vm = random.choice(self._played.vms)
        headers = {
            "Celerystack-Request-Attempt-Id": request_id,
            "Celerystack-Deadline-Remaining-Ms": str(DEADLINE_MS),
            "Celerystack-Shard-Key": str(key),
        }
        status, _, _ = await rig.call(
            vm.ip, vm.front, "GET", f"/read/{key}", headers, timeout_s=DEADLINE_MS / 1000
        )
        self.statuses[status] = self.statuses.get(status, 0) + 1
        self._played.record(f"request {request_id} key {key} by {vm.name}: {status}")


async def trouble(played: rig.Rig, busy: int) -> None:
    """Take the store down; the busy server restarts meanwhile, and leaves afterwards."""
    victim = next(server for server in played.servers if server.is_up and server.hold_of(busy))
    played.record.note("the store answers 503 to all calls")
    played.store.set_down(True)
    await asyncio.sleep(CRASH_AFTER_S)
    await victim.crash()
    await asyncio.sleep(DOWN_S)
    await victim.start(cold_s=3.0)
    played.record.note(f"{victim.name} is back under its id")
    leaving = asyncio.create_task(victim.leave(LEAVING_S))
    await asyncio.sleep(OUTAGE_S - CRASH_AFTER_S - DOWN_S)
    played.store.set_down(False)
    played.record.note("the store answers again")
    await leaving
    played.servers.remove(victim)


async def play(played: rig.Rig) -> None:
    """Play the rounds."""
    for number in range(SERVERS):
        played.add_server(f"i-{number + 1}", "browse", work_s=rig.spread(WORK_S))
    for _ in range(VMS):
        played.add_vm()
    judge = Judge(played)
    routes = [rig.route("read", "browse", "safe", timeout_ms=DEADLINE_MS, target_ms=1560)]
    await played.start(rig.configuration(routes, {"browse": True}))
    callers = Callers(played)
    others = [asyncio.create_task(judge.watch()), asyncio.create_task(callers.send())]
    for number in range(SERVERS, SERVERS + ROUNDS):
        callers.busy = random.randrange(65_536)
        played.record(f"key {callers.busy} is busy now")
        await asyncio.sleep(BUSY_S)
        if rig.TROUBLE:
            await trouble(played, callers.busy)
            added = played.add_server(f"i-{number + 1}", "browse", work_s=rig.spread(WORK_S))
            judge.take(added)
            await added.start()
        else:
            await asyncio.sleep(OUTAGE_S)
        await asyncio.sleep(SETTLE_S)
        if played.record.breaks:
            break
    for task in others:
        task.cancel()
    played.record.note(f"statuses: {callers.statuses}")


if __name__ == "__main__":
    rig.main(__file__, play)
