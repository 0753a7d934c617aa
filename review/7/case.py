"""An entry of another writer names the address of a server, which then leaves by planned work."""

from __future__ import annotations

import asyncio
import json
import pathlib
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1]))
import rig_2

WORK_S = 0.6
"""Time that a server works on a request."""
OBSERVED_S = 8.0


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
        await asyncio.sleep(0.15)


async def case(rig: rig_2.Rig) -> bool:
    """Write the entry, then drain the server at whose address it is."""
    services = [rig_2.service("rota", sharded=True, warm_up="3s")]
    rig.write_config(1, [rig_2.route("view", "rota", "safe")], services)
    for name in ("i-a", "i-b", "i-c", "i-d"):
        server = await rig.add_server(name, "rota")
        server.work_s = WORK_S
    for vm in ("front-1", "front-2", "front-3"):
        rig.add_vm(vm)
    await rig.wait_ready()
    clients = asyncio.create_task(send_lookups(rig))
    await asyncio.sleep(5.0)

    leaving = rig.servers["i-a"]
    if rig.has_trouble:
        fields = json.loads(leaving.entry()) | {
            "service": "metrics-exporter",
            "born": int(time.time() * 1000),
        }
        rig.store.put("servers", "exporter-1", json.dumps(fields).encode())
        rig.record.tell(f"another writer's entry exporter-1 is at {leaving.address}: {fields}")
    await asyncio.sleep(2.0)
    leaving.state = "draining"
    leaving.write_entry()
    rig.record.tell("planned work: i-a drains")
    await asyncio.sleep(2.5)
    await leaving.end()
    await asyncio.sleep(OBSERVED_S - 2.5)
    clients.cancel()
    return bool(rig.owner.broken)


sys.exit(rig_2.run(case, pathlib.Path(__file__).resolve().parent))
