"""Random faults for the simulated cluster."""

from __future__ import annotations

import dataclasses
from collections.abc import Callable

from celerystack import ids
from standins.lease_model import sim_cluster, sim_shards

REPLACEMENT_DELAY_MIN_S = 2 * sim_cluster.MEMBERSHIP_LAG_S
"""A lost server is replaced only after the membership list has dropped it."""
FAULT_DURATION_MAX_S = 7.0
"""Upper bound for the duration of a fault and the events that it schedules."""


@dataclasses.dataclass(frozen=True, kw_only=True)
class Scenario:
    """The faults of a simulated run.

    Attributes
    ----------
    weights_by_fault : dict
        Relative frequency of each fault, by the name of the method of `Faults`.
    gap_max_s : float
        Longest time between the starts of two faults.
    loss : float
        Share of messages that are lost, duplicated or late, each.
    """

    weights_by_fault: dict[str, int]
    gap_max_s: float = 0.9
    loss: float = 0.05


class Faults:
    """Injects random faults, one after the other, until the end of the run."""

    def __init__(self, simulation: sim_cluster.LeaseSimulation, scenario: Scenario) -> None:
        self.simulation = simulation
        self.rng = simulation.rng
        self.scenario = scenario
        self.log: list[str] = []
        self._end_at = 0.0

    def start(self, duration_s: float) -> None:
        self._end_at = self.simulation.scheduler.time + duration_s
        self._call_later(self.rng.uniform(0.5, 1.5), self._inject)

    def _inject(self) -> None:
        if self.simulation.scheduler.time >= self._end_at:
            return
        weights = self.scenario.weights_by_fault
        name = self.rng.choices(list(weights), list(weights.values()))[0]
        self.log.append(f"{self.simulation.scheduler.time:.3f} {name}")
        getattr(self, name)()
        gap_s = self.rng.uniform(0.05, self.scenario.gap_max_s)
        self._call_later(gap_s, self._inject)

    def _call_later(self, delay_s: float, callback: Callable[[], None]) -> None:
        self.simulation.scheduler.call_later(delay_s, callback)

    def _random_vm(self) -> ids.EntryVmId:
        return self.rng.choice(list(self.simulation.vms))

    def _random_host(self) -> sim_cluster.SimServer:
        return self.simulation.servers[self.rng.choice(self.simulation.server_ids)]

    def _cut(self, left: str, right: str, duration_s: float) -> None:
        self.log.append(f"  cut {left} {right} for {duration_s:.2f}")
        self.simulation.network.cut(left, right, duration_s)

    def cut_server(self) -> None:
        server = self._random_host().server
        vms = list(self.simulation.vms)
        count = self.rng.choice((1, len(vms) - 1, len(vms)))
        duration = self.rng.uniform(0.3, 4.0)
        for vm in self.rng.sample(vms, count):
            self._cut(vm, server, duration)

    def cut_vm(self) -> None:
        vm = self._random_vm()
        duration = self.rng.uniform(0.3, 4.0)
        others = self.simulation.other_vms(vm)
        for other in self.rng.sample(others, self.rng.randint(1, len(others))):
            self._cut(vm, other, duration)

    def isolate_pair(self) -> None:
        """Partition the network so that an entry VM and a server reach only each other."""
        self._isolate(self._random_vm(), self._random_host().server, self.rng.uniform(1.0, 6.0))

    def _isolate(self, vm: ids.EntryVmId, server: ids.ServerId, duration: float) -> None:
        for other in self.simulation.other_vms(vm):
            self._cut(vm, other, duration)
            self._cut(other, server, duration)
        self._cut(vm, "table", duration)

    def cut_table(self) -> None:
        self._cut(self._random_vm(), "table", self.rng.uniform(0.5, 4.0))

    def table_outage(self) -> None:
        self.simulation.table.start_outage(self.rng.uniform(0.5, 5.0))

    def pause_vm(self) -> None:
        vm = self.simulation.vms[self._random_vm()]
        vm.pause()
        self._call_later(self.rng.uniform(0.2, 5.0), vm.resume)

    def restart_vm(self) -> None:
        vm = self._random_vm()
        self.log.append(f"  restart {vm}")
        self.simulation.start_vm(vm)

    def pause_server(self) -> None:
        host = self._random_host()
        if host.is_alive and not host.is_paused:
            process = host.process
            host.pause()
            self.log.append(f"  pause {host.server}")
            self._call_later(
                self.rng.uniform(0.2, 5.0),
                lambda: host.resume() if host.process is process else None,
            )

    def restart_server(self) -> None:
        host = self._random_host()
        if host.is_alive:
            self.log.append(f"  restart {host.server}")
            host.start()

    def lose_server(self) -> None:
        host = self._random_host()
        if host.is_alive:
            self.log.append(f"  lose {host.server}")
            host.lose()
            self._call_later(self.rng.uniform(REPLACEMENT_DELAY_MIN_S, 4.0), host.start)

    def move_shard(self) -> None:
        self._move_from(None)

    def _move_from(self, source: ids.ServerId | None) -> None:
        """Let an entry VM that reaches the table move a shard, of ``source`` if given."""
        vms = [
            vm
            for vm in self.simulation.vms.values()
            if self.simulation.table_reachable(vm.entry.vm)
        ]
        if not vms:
            return
        vm = self.rng.choice(vms)
        states = sim_shards.states_by_shard(vm.snapshot)
        movable = [s for s, state in states.items() if source is None or state.owner == source]
        if movable:
            shard = self.rng.choice(movable)
            target = self._random_host().server
            self.log.append(f"  move {shard} to {target}")
            vm.transact(target, "start move", sim_shards.start_move(vm.snapshot, shard, target))

    def stale_lessor(self) -> None:
        """Pause an entry VM while a shard moves away from a server, then restart the server."""
        vm, host = self._random_vm(), self._random_host()
        process = self.simulation.vms[vm]
        for other in (*self.simulation.other_vms(vm), "table"):
            self._cut(vm, other, 6.0)
        process.pause()
        self.log.append(f"  pause {vm}")
        move_at = self.rng.uniform(0.1, 0.5)
        restart_at = move_at + self.rng.uniform(0.5, 2.0)
        self._call_later(move_at, lambda: self._move_from(host.server))
        self._call_later(restart_at, lambda: self._restart_reachable_by(vm, host))
        self._call_later(restart_at + 0.1, process.resume)

    def _restart_reachable_by(self, vm: ids.EntryVmId, host: sim_cluster.SimServer) -> None:
        for other in self.simulation.other_vms(vm):
            self._cut(other, host.server, 4.0)
        if host.is_alive:
            host.start()

    def lone_deputy(self) -> None:
        """Partition a server and a deputy that is not one of its lessors from the others."""
        self._isolate_with_deputy(self._random_host().server)

    def stale_deputy(self) -> None:
        """Partition a server and a deputy from the others, then raise the token of the server."""
        server = self._random_host().server
        self._isolate_with_deputy(server)
        self._call_later(self.rng.uniform(1.3, 2.5), lambda: self._move_from(server))

    def _isolate_with_deputy(self, server: ids.ServerId) -> None:
        lessors = self._lessors(server)
        others = [vm for vm in self.simulation.vms if vm not in lessors]
        if others:
            for vm in self.simulation.vms:
                self._cut(vm, "table", 1.2)
            deputy = self.rng.choice(others)
            self._call_later(self.rng.uniform(0.6, 1.1), lambda: self._isolate(deputy, server, 5.0))

    def lone_previous_lessor(self) -> None:
        """Partition a server and a lessor from the others about when the lessor is replaced."""
        server = self._random_host().server
        lessors = self._lessors(server)
        if lessors:
            vm = self.rng.choice(lessors)
            for other in (*self.simulation.other_vms(vm), "table"):
                self._cut(vm, other, 6.0)
            self._call_later(self.rng.uniform(0.7, 1.1), lambda: self._isolate(vm, server, 5.0))

    def flap(self) -> None:
        """Cut a server off until its lessors promise; one entry VM stays cut off from it longer."""
        server = self._random_host().server
        duration = self.rng.uniform(0.55, 0.95)
        for vm in self.simulation.vms:
            self._cut(vm, server, duration)
        self._cut(self._random_vm(), server, 4.0)

    def _lessors(self, server: ids.ServerId) -> list[ids.EntryVmId]:
        row = sim_shards.server_row(self.simulation.table.snapshot, server)
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
    weights_by_fault={"lone_previous_lessor": 6, "cut_server": 1, "cut_vm": 1}, gap_max_s=4.0
)
DEPUTY_FAULTS = Scenario(
    weights_by_fault={"lone_deputy": 6, "cut_server": 1, "cut_vm": 1}, gap_max_s=4.0
)
TOKEN_FAULTS = Scenario(weights_by_fault={"stale_deputy": 6, "cut_vm": 1}, gap_max_s=4.0)
RESTART_FAULTS = Scenario(
    weights_by_fault={"stale_lessor": 4, "restart_server": 1, "move_shard": 4}
)
FLAP_FAULTS = Scenario(weights_by_fault={"flap": 4, "cut_vm": 1, "cut_server": 1})
DELAY_FAULTS = Scenario(weights_by_fault={"flap": 4, "cut_vm": 1, "cut_server": 1}, loss=0.2)


def run_with_faults(
    seed: int,
    *,
    scenario: Scenario | None = None,
    rules: sim_cluster.Rules | None = None,
    duration_s: float = 15.0,
    recovery_s: float = 0.0,
) -> sim_cluster.LeaseSimulation:
    """Run a simulation with faults for ``duration_s``, then ``recovery_s`` after all have ended.

    Raises
    ------
    sim_cluster.OverlapError
        Two servers would accept the same shard; the message lists the faults so far.
    """
    scenario = scenario or MIXED
    simulation = sim_cluster.LeaseSimulation(seed, rules=rules, loss=scenario.loss)
    faults = Faults(simulation, scenario)
    faults.start(duration_s)
    try:
        simulation.run(duration_s)
        if recovery_s:
            simulation.run(FAULT_DURATION_MAX_S)
            simulation.run(recovery_s)
    except sim_cluster.OverlapError as error:
        raise sim_cluster.OverlapError("\n".join([f"seed {seed}: {error}", *faults.log])) from None
    return simulation
