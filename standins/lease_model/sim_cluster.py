"""The simulated cluster: entry VMs, servers, network, table, and the check for one owner."""

from __future__ import annotations

import collections
import dataclasses
import itertools
import random
from collections.abc import Callable

from celerystack import ids, model
from celerystack.backend import messages as orders
from celerystack.lease import lessor, reconciliation, takeover
from standins.lease_model import model_server, sim_core, sim_shards, sim_vm

ZONE = ids.ZoneName("zone-1")
MEMBERSHIP_LAG_S = 0.4


class OverlapError(AssertionError):
    """Two servers would accept requests for the same shard."""


@dataclasses.dataclass(frozen=True)
class Rules:
    """The classes and functions under test; each variant replaces one of them."""

    lessor: Callable[..., lessor.Lessor] = lessor.Lessor
    takeover: Callable[..., takeover.Takeover] = takeover.Takeover
    decide: Callable[..., reconciliation.Decision] = reconciliation.decide
    server: Callable[..., model_server.ModelServer] = model_server.ModelServer


class SimServer:
    """The VM of a backend server, whose process can pause, restart or be lost."""

    def __init__(self, simulation: LeaseSimulation, server: ids.ServerId) -> None:
        self.simulation = simulation
        self.server = server
        self.is_alive = False
        self.is_paused = False
        self.listing_times: list[tuple[float, bool]] = []
        self._incarnations = itertools.count(1)
        self._waiting: list[tuple[orders.Order, Callable[[orders.OrderReply], None]]] = []
        self.start()

    def start(self) -> None:
        incarnation = ids.Incarnation(f"{self.server}.{next(self._incarnations)}")
        self.process = self.simulation.rules.server(self.server, incarnation)
        self.clock = sim_core.Clock(self.simulation.scheduler, self.simulation.rng)
        self.is_alive = True
        self.is_paused = False
        self._waiting = []
        self._set_listed(True)

    def lose(self) -> None:
        """Remove process and VM; the membership list drops it after `MEMBERSHIP_LAG_S`."""
        self.is_alive = False
        self._waiting = []
        self._set_listed(False)

    def pause(self, *, stops_clock: bool = False) -> None:
        self.is_paused = True
        if stops_clock:
            self.clock.stop()

    def resume(self) -> None:
        self.is_paused = False
        self.clock.resume()
        waiting, self._waiting = self._waiting, []
        for order, reply in waiting:
            self.receive(order, reply)

    def receive(self, order: orders.Order, reply: Callable[[orders.OrderReply], None]) -> None:
        if not self.is_alive:
            return
        if self.is_paused:
            self._waiting.append((order, reply))
            return
        reply(self.process.handle(order, self.clock.read()))

    def is_listed(self, time: float) -> bool:
        earlier = [listed for at, listed in self.listing_times if at <= time - MEMBERSHIP_LAG_S]
        return bool(earlier) and earlier[-1]

    def accepted_shards(self) -> set[tuple[ids.ServiceName, ids.ShardId]]:
        if not self.is_alive or self.is_paused:
            return set()
        return self.process.shards(self.clock.read())

    def _set_listed(self, listed: bool) -> None:
        self.listing_times.append((self.simulation.scheduler.time, listed))


class LeaseSimulation:
    """Hosts, network and table of one run."""

    def __init__(
        self,
        seed: int,
        *,
        rules: Rules | None = None,
        vms: int = 4,
        servers: int = 3,
        shards: int = 4,
        loss: float = 0.05,
    ) -> None:
        self.rng = random.Random(seed)
        self.rules = rules or Rules()
        self.scheduler = sim_core.Scheduler()
        self.network = sim_core.Network(self.scheduler, self.rng, loss=loss)
        self.table = sim_core.Table(self.scheduler)
        self.server_ids = [ids.ServerId(f"s{number}") for number in range(servers)]
        self.servers = {server: SimServer(self, server) for server in self.server_ids}
        self._vm_incarnations = itertools.count(1)
        self.vms: dict[ids.EntryVmId, sim_vm.SimVm] = {}
        for number in range(vms):
            self.start_vm(ids.EntryVmId(f"vm{number}"))
        self.shards = range(shards)
        self.counts: collections.Counter[str] = collections.Counter()
        self._create_initial_rows()

    def _create_initial_rows(self) -> None:
        """Create server rows with lessors and assign the shards, as after a normal start."""
        change = sim_shards.Change(self.table.snapshot)
        entries = [vm.entry for vm in self.vms.values()]
        for server in self.server_ids:
            change.put_row(
                model.ServerRow(
                    server=server,
                    state=model.ServerState.ACTIVE,
                    token=ids.Token(1),
                    incarnation=self.servers[server].process.incarnation,
                    lessors=reconciliation.choose_lessors(server, entries),
                )
            )
        for shard in self.shards:
            owner = self.server_ids[shard % len(self.server_ids)]
            change.put_shard(shard, sim_shards.ShardState(owner, 1))
        self.table.commit(change.transaction())

    def start_vm(self, vm: ids.EntryVmId) -> None:
        """Start an entry VM process; an earlier one of the same name ends."""
        if vm in self.vms:
            self.vms[vm].is_dead = True
        incarnation = f"{vm}.{next(self._vm_incarnations)}"
        self.vms[vm] = sim_vm.SimVm(self, vm, incarnation, ZONE)

    # Services for the entry VMs

    def other_vms(self, vm: ids.EntryVmId) -> list[ids.EntryVmId]:
        return [other for other in self.vms if other != vm]

    def send_to_vm(
        self, source: ids.EntryVmId, target: ids.EntryVmId, action: Callable[[sim_vm.SimVm], None]
    ) -> None:
        def deliver() -> None:
            vm = self.vms[target]
            vm.receive(lambda: action(vm))

        self.network.send(source, target, deliver)

    def send_order(self, vm: sim_vm.SimVm, order: orders.Order) -> None:
        host = self.servers[order.server]

        def reply(message: orders.OrderReply) -> None:
            self.network.send(
                order.server,
                vm.entry.vm,
                lambda: vm.receive(lambda: vm.on_order_reply(message)),
            )

        self.network.send(vm.entry.vm, order.server, lambda: host.receive(order, reply))

    def table_reachable(self, vm: ids.EntryVmId) -> bool:
        return self.table.is_up and not self.network.is_cut(vm, "table")

    def read_table(self, vm: sim_vm.SimVm) -> None:
        snapshot = self.table.snapshot
        self.network.send("table", vm.entry.vm, lambda: vm.receive(lambda: vm.merge(snapshot)))

    def commit(self, vm: sim_vm.SimVm, action: str, transaction: sim_core.Transaction) -> None:
        """Send a transaction; the VM learns its result unless a message is lost."""

        def arrive() -> None:
            if not self.table.commit(transaction):
                self.counts["conflict or outage"] += 1
                return
            self.counts[action] += 1
            snapshot = self.table.snapshot
            self.network.send("table", vm.entry.vm, lambda: vm.receive(lambda: done(snapshot)))

        def done(snapshot: sim_core.Snapshot) -> None:
            vm.merge(snapshot)
            for other in self.other_vms(vm.entry.vm):
                self.send_to_vm(vm.entry.vm, other, lambda peer: peer.merge(snapshot))

        self.network.send(vm.entry.vm, "table", arrive)

    def listed_servers(self, vm: ids.EntryVmId) -> list[ids.ServerId]:
        time = self.scheduler.time
        return [server for server, host in self.servers.items() if host.is_listed(time)]

    # Checks

    def owners_by_shard(self) -> dict[ids.ShardId, list[ids.ServerId]]:
        """Return the servers that would accept a request now, by shard."""
        owners: dict[ids.ShardId, list[ids.ServerId]] = {}
        for server, host in self.servers.items():
            for _, shard in host.accepted_shards():
                owners.setdefault(shard, []).append(server)
        return owners

    def check_single_owner(self) -> None:
        for shard, owners in self.owners_by_shard().items():
            if len(owners) > 1:
                raise OverlapError(
                    f"at {self.scheduler.time:.3f} s shard {shard} is accepted by {owners}"
                )

    def run(self, duration_s: float) -> None:
        self.scheduler.run_until(self.scheduler.time + duration_s, self.check_single_owner)
