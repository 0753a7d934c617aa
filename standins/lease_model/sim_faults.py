"""Random faults for the simulated installation."""

from __future__ import annotations

import dataclasses
from collections.abc import Callable

from celerystack import ids
from standins.lease_model import sim_shards, sim_world

LONGEST_LIST_LAG_S = 2 * sim_world.LIST_LAG_S
"""A lost machine is not replaced under its name before the membership list has dropped it."""
LONGEST_FAULT_S = 7.0
"""No fault, with its follow-ups, lasts longer."""


@dataclasses.dataclass(frozen=True, kw_only=True)
class Scenario:
    """Kinds of faults in a run.

    Attributes
    ----------
    weights_by_fault : dict
        Relative frequency by the name of a method of `Faults`.
    longest_gap_s : float
        Longest time from one fault to the next.
    loss : float
        Share of messages that are lost, duplicated or late, each.
    """

    weights_by_fault: dict[str, int]
    longest_gap_s: float = 0.9
    loss: float = 0.05


class Faults:
    """Injects one random fault after another until the end of the run."""

    def __init__(self, world: sim_world.World, scenario: Scenario) -> None:
        self.world = world
        self.rng = world.rng
        self.scenario = scenario
        self.log: list[str] = []
        self._until = 0.0

    def start(self, duration_s: float) -> None:
        self._until = self.world.scheduler.time + duration_s
        self._later(self.rng.uniform(0.5, 1.5), self._inject)

    def _inject(self) -> None:
        if self.world.scheduler.time >= self._until:
            return
        weights = self.scenario.weights_by_fault
        name = self.rng.choices(list(weights), list(weights.values()))[0]
        self.log.append(f"{self.world.scheduler.time:.3f} {name}")
        getattr(self, name)()
        gap_s = self.rng.uniform(0.05, self.scenario.longest_gap_s)
        self._later(gap_s, self._inject)

    def _later(self, delay_s: float, callback: Callable[[], None]) -> None:
        self.world.scheduler.call_later(delay_s, callback)

    def _vm(self) -> ids.EntryVmId:
        return self.rng.choice(list(self.world.vms))

    def _host(self) -> sim_world.SimServer:
        return self.world.servers[self.rng.choice(self.world.server_ids)]

    def _cut(self, left: str, right: str, duration_s: float) -> None:
        self.log.append(f"  cut {left} {right} for {duration_s:.2f}")
        self.world.network.cut(left, right, duration_s)

    def cut_server(self) -> None:
        server = self._host().server
        vms = list(self.world.vms)
        count = self.rng.choice((1, len(vms) - 1, len(vms)))
        duration = self.rng.uniform(0.3, 4.0)
        for vm in self.rng.sample(vms, count):
            self._cut(vm, server, duration)

    def cut_vm(self) -> None:
        vm = self._vm()
        duration = self.rng.uniform(0.3, 4.0)
        others = self.world.other_vms(vm)
        for other in self.rng.sample(others, self.rng.randint(1, len(others))):
            self._cut(vm, other, duration)

    def isolate_pair(self) -> None:
        """Leave one entry VM and one server connected to each other only."""
        self._isolate(self._vm(), self._host().server, self.rng.uniform(1.0, 6.0))

    def _isolate(self, vm: ids.EntryVmId, server: ids.ServerId, duration: float) -> None:
        for other in self.world.other_vms(vm):
            self._cut(vm, other, duration)
            self._cut(other, server, duration)
        self._cut(vm, "table", duration)

    def cut_table(self) -> None:
        self._cut(self._vm(), "table", self.rng.uniform(0.5, 4.0))

    def table_outage(self) -> None:
        self.world.table.start_outage(self.rng.uniform(0.5, 5.0))

    def pause_vm(self) -> None:
        vm = self.world.vms[self._vm()]
        vm.pause()
        self._later(self.rng.uniform(0.2, 5.0), vm.resume)

    def restart_vm(self) -> None:
        vm = self._vm()
        self.log.append(f"  restart {vm}")
        self.world.start_vm(vm)

    def pause_server(self) -> None:
        host = self._host()
        if host.is_alive and not host.is_paused:
            process = host.process
            host.pause()
            self.log.append(f"  pause {host.server}")
            self._later(
                self.rng.uniform(0.2, 5.0),
                lambda: host.resume() if host.process is process else None,
            )

    def restart_server(self) -> None:
        host = self._host()
        if host.is_alive:
            self.log.append(f"  restart {host.server}")
            host.start()

    def lose_server(self) -> None:
        host = self._host()
        if host.is_alive:
            self.log.append(f"  lose {host.server}")
            host.lose()
            self._later(self.rng.uniform(LONGEST_LIST_LAG_S, 4.0), host.start)

    def move_shard(self) -> None:
        self._move_from(None)

    def _move_from(self, source: ids.ServerId | None) -> None:
        """Start a move by an entry VM that reaches the table."""
        vms = [vm for vm in self.world.vms.values() if self.world.table_reachable(vm.entry.vm)]
        if not vms:
            return
        vm = self.rng.choice(vms)
        states = sim_shards.states_by_shard(vm.snapshot)
        movable = [s for s, state in states.items() if source is None or state.owner == source]
        if movable:
            shard = self.rng.choice(movable)
            target = self._host().server
            self.log.append(f"  move {shard} to {target}")
            vm.transact(target, "start move", sim_shards.start_move(vm.snapshot, shard, target))

    def stale_lessor(self) -> None:
        """Pause a lessor over a move away from its server, then restart the server."""
        vm, host = self._vm(), self._host()
        process = self.world.vms[vm]
        for other in (*self.world.other_vms(vm), "table"):
            self._cut(vm, other, 6.0)
        process.pause()
        self.log.append(f"  pause {vm}")
        move_at = self.rng.uniform(0.1, 0.5)
        restart_at = move_at + self.rng.uniform(0.5, 2.0)
        self._later(move_at, lambda: self._move_from(host.server))
        self._later(restart_at, lambda: self._restart_for_one(vm, host))
        self._later(restart_at + 0.1, process.resume)

    def _restart_for_one(self, vm: ids.EntryVmId, host: sim_world.SimServer) -> None:
        for other in self.world.other_vms(vm):
            self._cut(other, host.server, 4.0)
        if host.is_alive:
            host.start()

    def lone_deputy(self) -> None:
        """Isolate a server with a deputy that is not a lessor."""
        self._leave_to_deputy(self._host().server)

    def stale_deputy(self) -> None:
        """Isolate a server with a deputy, then raise the server's token."""
        server = self._host().server
        self._leave_to_deputy(server)
        self._later(self.rng.uniform(1.3, 2.5), lambda: self._move_from(server))

    def _leave_to_deputy(self, server: ids.ServerId) -> None:
        lessors = self._lessors(server)
        others = [vm for vm in self.world.vms if vm not in lessors]
        if others:
            for vm in self.world.vms:
                self._cut(vm, "table", 1.2)
            deputy = self.rng.choice(others)
            self._later(self.rng.uniform(0.6, 1.1), lambda: self._isolate(deputy, server, 5.0))

    def lone_previous_lessor(self) -> None:
        """Isolate a server with a lessor about when this lessor is replaced."""
        server = self._host().server
        lessors = self._lessors(server)
        if lessors:
            vm = self.rng.choice(lessors)
            for other in (*self.world.other_vms(vm), "table"):
                self._cut(vm, other, 6.0)
            self._later(self.rng.uniform(0.7, 1.1), lambda: self._isolate(vm, server, 5.0))

    def flap(self) -> None:
        """Cut a server off until its lessors promise; one entry VM stays cut off longer."""
        server = self._host().server
        duration = self.rng.uniform(0.55, 0.95)
        for vm in self.world.vms:
            self._cut(vm, server, duration)
        self._cut(self._vm(), server, 4.0)

    def _lessors(self, server: ids.ServerId) -> list[ids.EntryVmId]:
        row = sim_shards.server_row(self.world.table.snapshot, server)
        return [lessor.vm for lessor in row.lessors] if row is not None else []


MIXED = Scenario(
    weights_by_fault={
        "cut_server": 4,
        "cut_vm": 3,
        "isolate_pair": 3,
        "cut_table": 1,
        "table_outage": 1,
        "pause_vm": 3,
        "restart_vm": 2,
        "pause_server": 2,
        "restart_server": 3,
        "lose_server": 1,
        "move_shard": 4,
        "stale_lessor": 1,
        "stale_deputy": 1,
        "lone_deputy": 1,
        "lone_previous_lessor": 1,
        "flap": 1,
    }
)
LESSOR_FAULTS = Scenario(
    weights_by_fault={"lone_previous_lessor": 6, "cut_server": 1, "cut_vm": 1}, longest_gap_s=4.0
)
DEPUTY_FAULTS = Scenario(
    weights_by_fault={"lone_deputy": 6, "cut_server": 1, "cut_vm": 1}, longest_gap_s=4.0
)
TOKEN_FAULTS = Scenario(weights_by_fault={"stale_deputy": 6, "cut_vm": 1}, longest_gap_s=4.0)
RESTART_FAULTS = Scenario(
    weights_by_fault={"stale_lessor": 4, "restart_server": 1, "move_shard": 4}
)
FLAP_FAULTS = Scenario(weights_by_fault={"flap": 4, "cut_vm": 1, "cut_server": 1})
DELAY_FAULTS = Scenario(weights_by_fault={"flap": 4, "cut_vm": 1, "cut_server": 1}, loss=0.2)


def run_with_faults(
    seed: int,
    *,
    scenario: Scenario | None = None,
    rules: sim_world.Rules | None = None,
    duration_s: float = 15.0,
    recovery_s: float = 0.0,
) -> sim_world.World:
    """Run one world with faults, then ``recovery_s`` after all faults have ended.

    Raises `sim_world.OverlapError` with the faults so far on a violation.
    """
    scenario = scenario or MIXED
    world = sim_world.World(seed, rules=rules, loss=scenario.loss)
    faults = Faults(world, scenario)
    faults.start(duration_s)
    try:
        world.run(duration_s)
        if recovery_s:
            world.run(LONGEST_FAULT_S)
            world.run(recovery_s)
    except sim_world.OverlapError as error:
        raise sim_world.OverlapError("\n".join([f"seed {seed}: {error}", *faults.log])) from None
    return world
