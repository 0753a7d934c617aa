"""A drill of the store, and a change of the configuration some seconds after its end."""

from __future__ import annotations

import asyncio
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1]))
import rig_2

COPY_AGE_S = 8.0
"""Age of the copy from which the store comes back."""
AWAY_S = 1.0
CALM_S = 3.5
"""Time from the end of the drill to the next configuration; over `stable_window`."""
CONFIG_APPLY_S = 2.0
"""Bound of rule CONFIG, `config_apply`."""
OBSERVED_S = 12.0
SERVICES = ("desk", "press")


def routes(moved_to: str, *, has_added: bool) -> list[dict]:
    """Return the routes of a configuration."""
    found = [rig_2.route("desk", "desk", "unsafe"), rig_2.route("moved", moved_to, "unsafe")]
    if has_added:
        found.append(rig_2.route("added", "desk", "unsafe"))
    return found


async def case(rig: rig_2.Rig) -> bool:
    """Change the configuration before the drill and after it, and ask each entry VM."""
    services = [rig_2.service(name) for name in SERVICES]
    rig.write_config(1, routes("desk", has_added=False), services)
    for name in SERVICES:
        for number in range(4):
            await rig.add_server(f"i-{name}-{number}", name)
    for vm in ("front-1", "front-2", "front-3"):
        rig.add_vm(vm)
    await rig.wait_ready()
    await asyncio.sleep(4.0)

    copy = rig.store.copy()
    rig.record.note("the copy of the store is made")
    await asyncio.sleep(COPY_AGE_S - 1.0)
    rig.write_config(2, routes("desk", has_added=False), services)
    await asyncio.sleep(1.0)
    if rig.has_trouble:
        rig.store.is_away = True
        rig.record.tell("the store is away")
        await asyncio.sleep(AWAY_S)
        rig.store.come_back(copy)
    await asyncio.sleep(CALM_S)
    rig.write_config(3, routes("press", has_added=True), services)
    await asyncio.sleep(CONFIG_APPLY_S + 0.3)

    broken: dict[str, int] = {}
    end = rig_2.CLOCK() + OBSERVED_S
    while rig_2.CLOCK() < end:
        for vm in rig.vms:
            moved = await rig.request(vm, "/moved/x", method="POST")
            if moved.headers.get("celerystack-server-signature", "").startswith("signed-i-desk"):
                what = f"{vm} has a request of a moved route run by the old service"
                broken[what] = broken.get(what, 0) + 1
            added = await rig.request(vm, "/added/x", method="POST")
            if added.status == 404:
                what = f"{vm} answers 404 on an added route"
                broken[what] = broken.get(what, 0) + 1
        await asyncio.sleep(0.3)
    for what, count in sorted(broken.items()):
        rig.record.tell(f"CONFIG broken: {what}, {count} times")
    return bool(broken)


sys.exit(rig_2.run(case, pathlib.Path(__file__).resolve().parent))
