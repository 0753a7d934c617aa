"""Another writer registers many instances with long names in the table of the servers.

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

ENTRIES = 118
NAME_LENGTH = 190
DRAIN_S = 2.0
STAYS_S = 8.0
"""Time in seconds for which the server goes on serving after its report ("many seconds")."""


def foreign_entry(number: int) -> tuple[str, bytes]:
    """Return key and value of the entry of another writer's service, which is not configured."""
    name = f"arn:metrics:exporter/{number:04d}/"
    fields = {
        "service": "metrics-pipeline/".ljust(NAME_LENGTH, "a"),
        "address": f"127.99.0.{number % 250 + 1}:9100",
        "zone": "metrics-zone/".ljust(NAME_LENGTH, "b"),
        "version": "v1",
        "slots": 1,
        "state": "ready",
        "cold_remaining": "0ms",
        "sequence": 1,
        "born": round(time.time() * 1000),
    }
    return name.ljust(NAME_LENGTH, "c"), json.dumps(fields).encode()


async def send_requests(
    client: rig_3.Client, vms: list[rig_3.EntryVm], sent_at: dict[str, float]
) -> None:
    """Send requests to both entry VMs, without keys, until cancelled."""
    pending: set[asyncio.Task] = set()
    while True:
        for vm in vms:
            sending = asyncio.ensure_future(client.send(vm, "/desk/a", sent_at=sent_at))
            pending.add(sending)
            sending.add_done_callback(pending.discard)
        await asyncio.sleep(0.03)


def most_used(servers: list[rig_3.Server], client: rig_3.Client, vm: rig_3.EntryVm) -> rig_3.Server:
    """Return the server that got the most requests from an entry VM lately."""
    return max(
        servers,
        key=lambda server: sum(client.vm_by_id[one] is vm for one, _ in server.ran[-100:]),
    )


async def case(record: rig_3.Record, folder: str) -> list[str]:
    """Run the case; return the requests that reached the server too late."""
    store = rig_3.Store()
    routes = [rig_3.route("desk", "desk", "safe")]
    store.put("op", "config", rig_3.configuration(1, routes, {"desk": False}))
    servers = [rig_3.Server(f"i-{n}", "desk", store, record, sharded=False) for n in range(4)]
    for server in servers:
        await server.start()
    vms = await rig_3.entry_vms(folder, store, record, prefix="127.34.7", count=2)
    client = rig_3.Client(record)
    sent_at: dict[str, float] = {}
    tasks: list[asyncio.Task] = []
    try:
        for vm in vms:
            vm.start()
        for vm in vms:
            await vm.wait_ready()
        tasks.append(asyncio.ensure_future(send_requests(client, vms, sent_at)))
        await asyncio.sleep(4.0)
        if rig_3.has_trouble():
            for number in range(ENTRIES):
                store.put("servers", *foreign_entry(number))
            record(f"another writer has written {ENTRIES} entries")
        await asyncio.sleep(5.0)
        # Planned work: a server leaves.
        leaving = most_used(servers, client, rig_3.last_writer(store, vms))
        leaving.drain()
        acknowledged_at = time.monotonic()
        await asyncio.sleep(STAYS_S)
        late = [
            request_id
            for request_id, _ in leaving.ran
            if sent_at[request_id] > acknowledged_at + DRAIN_S
        ]
        await leaving.crash()
    finally:
        for task in tasks:
            task.cancel()
        for vm in vms:
            vm.stop()
        for server in servers:
            if server.is_up:
                await server.crash()
    if not late:
        return []
    since = f"{DRAIN_S:.0f} s after the store had accepted that {leaving.name} leaves"
    return [f"{len(late)} requests that were sent later than {since} reached it"]


if __name__ == "__main__":
    sys.exit(rig_3.run(pathlib.Path(__file__).parent, case, limit_s=60.0))
