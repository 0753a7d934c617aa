"""Another writer's entry lacks ``version`` and has the address of a server, which leaves later.

See claim.txt.
"""

from __future__ import annotations

import asyncio
import json
import pathlib
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1]))

import rig_3

FOREIGN_S = 5.0
DRAIN_S = 2.0


async def send_requests(
    client: rig_3.Client, vms: list[rig_3.EntryVm], pending: set[asyncio.Task]
) -> None:
    """Send a request for another key every 20 ms."""
    count = 0
    while True:
        count += 1
        key = (count * 7_919) % rig_3.KEYS
        sending = asyncio.ensure_future(client.send(vms[count % 2], "/view/a", key=key))
        pending.add(sending)
        sending.add_done_callback(pending.discard)
        await asyncio.sleep(0.02)


def foreign_entry(server: rig_3.Server) -> bytes:
    """Return another writer's entry; it lacks ``version`` and is no server's."""
    fields: dict[str, object] = {
        "service": server.service,
        "address": server.address,
        "zone": "zone-1",
        "slots": 2,
        "state": "ready",
        "cold_remaining": "0ms",
        "sequence": 1,
        "born": round(time.time() * 1000),
    }
    return json.dumps(fields).encode()


async def case(record: rig_3.Record, folder: str) -> list[str]:
    """Run the case; return which servers held the same keys for too long."""
    store = rig_3.Store()
    routes = [rig_3.route("view", "rota", "safe")]
    store.put("op", "config", rig_3.configuration(1, routes, {"rota": True}))
    servers = [rig_3.Server(f"i-{n}", "rota", store, record) for n in range(4)]
    for server in servers:
        await server.start()
    vms = await rig_3.entry_vms(folder, store, record, prefix="127.33.7", count=2)
    watch = rig_3.HolderWatch(servers, record)
    client = rig_3.Client(record)
    pending: set[asyncio.Task] = set()
    tasks: list[asyncio.Task] = []
    try:
        for vm in vms:
            vm.start()
        for vm in vms:
            await vm.wait_ready()
        tasks.append(asyncio.ensure_future(watch.watch()))
        tasks.append(asyncio.ensure_future(send_requests(client, vms, pending)))
        await asyncio.sleep(4.0)
        if rig_3.has_trouble():
            record(f"another writer writes an entry at the address of {servers[0].name}")
            store.put("servers", "exporter-7", foreign_entry(servers[0]))
        await asyncio.sleep(FOREIGN_S)
        # Planned work: the server leaves.
        servers[0].drain()
        await asyncio.sleep(DRAIN_S + 4.0)
        await servers[0].crash()
        servers[0].expire_entry()
        await asyncio.sleep(0.5)
    finally:
        for task in (*tasks, *pending):
            task.cancel()
        for vm in vms:
            vm.stop()
        for server in servers:
            if server.is_up:
                await server.crash()
    return [
        f"{one} and {other} held the same keys for {longest_s:.2f} s"
        for (one, other), longest_s in watch.longest_s.items()
        if longest_s > rig_3.TOGETHER_MAX_S
    ]


if __name__ == "__main__":
    sys.exit(rig_3.run(pathlib.Path(__file__).parent, case, limit_s=60.0))
