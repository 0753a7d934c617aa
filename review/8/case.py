"""A drill of the store, and the end of the process that last wrote to it under a condition."""

from __future__ import annotations

import asyncio
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1]))
import rig_2

COPY_AGE_S = 4.0
"""Age of the copy from which the store comes back."""
AWAY_S = 1.0
RESTART_S = 1.0
OBSERVED_S = 20.0
SERVERS = tuple(f"i-{letter}" for letter in "abcdefgh")
LEAVING = ("i-a", "i-b")
"""A quarter of the servers."""


async def send_lookups(rig: rig_2.Rig) -> None:
    """Send a request for one key after the other, to the entry VMs in turn."""
    pending: set[asyncio.Task] = set()
    number = 0
    while True:
        vm = list(rig.vms)[number % len(rig.vms)]
        key = number * 1009 % rig_2.KEYS
        pending.add(asyncio.create_task(rig.request(vm, "/view/x", key=key)))
        pending = {task for task in pending if not task.done()}
        number += 1
        await asyncio.sleep(0.04)


async def case(rig: rig_2.Rig) -> bool:
    """Move keys by planned work, then let the store forget it, and restart the planner."""
    services = [rig_2.service("rota", sharded=True, warm_up="3s")]
    rig.write_config(1, [rig_2.route("view", "rota", "safe")], services)
    for name in SERVERS:
        await rig.add_server(name, "rota")
    for vm in ("front-1", "front-2", "front-3"):
        rig.add_vm(vm)
    await rig.wait_ready()
    clients = asyncio.create_task(send_lookups(rig))
    await asyncio.sleep(6.0)

    copy = rig.store.copy()
    rig.record.note("the copy of the store is made")
    leaving = [rig.servers[name] for name in LEAVING]
    for server in leaving:
        server.state = "draining"
        server.write_entry()
    rig.record.tell(f"planned work: {', '.join(LEAVING)} drain")
    await asyncio.sleep(2.2)
    for server in leaving:
        await server.end()
    await asyncio.sleep(COPY_AGE_S - 2.2)

    planner = rig.planner()
    if rig.has_trouble:
        rig.store.is_away = True
        rig.record.tell("the store is away")
        await asyncio.sleep(AWAY_S / 2)
        rig.record.tell(f"{planner}, the planner, is killed")
        rig.vms[planner].kill()
        await asyncio.sleep(AWAY_S / 2)
        rig.store.come_back(copy)
        await asyncio.sleep(RESTART_S - AWAY_S / 2)
        rig.vms[planner].start(rig.store)
    await asyncio.sleep(OBSERVED_S)
    clients.cancel()
    return bool(rig.owner.broken)


sys.exit(rig_2.run(case, pathlib.Path(__file__).resolve().parent))
