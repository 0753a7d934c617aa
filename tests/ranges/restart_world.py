"""Servers that restart under their ids, a store with outages, a planner and a second lessor.

The decisions come from the code under test: `planner.Planner`, `lessor.Lessor` and what they use.
The world adds the processes of the servers, which judge each grant, and seeded faults.
"""

from __future__ import annotations

import dataclasses
import functools
import random
from collections.abc import Callable

from twisted.internet import defer, task

from celerystack import errors, ids
from celerystack.fleet import messages, nodes, servers
from celerystack.ranges import leadership, leases, lessor, model, orders, planner, range_maps
from tests.ranges import fakes
from tests.ranges.test_leadership import result_of

STEP_S = 0.25
HEARTBEAT_S = 0.75
ENTRY_KEPT_S = 3 * HEARTBEAT_S
"""Time in seconds without a heartbeat after which the store removes the entry of a server."""
NODES_READ_S = 2.0
PLANNER_SILENCE_S = 1.1
HELD_S = leases.LEASE_S * (1 + leases.CLOCK_DRIFT)
PLANNER_VM, OTHER_VM = ids.EntryVmId("vm-1"), ids.EntryVmId("vm-2")
VMS = (PLANNER_VM, OTHER_VM)


@dataclasses.dataclass
class Hold:
    """Keys that a process holds until a time."""

    start: int
    end: int
    token: int
    until: float

    def overlaps(self, start: int, end: int) -> bool:
        return self.start <= end and start <= self.end


@dataclasses.dataclass
class Work:
    """A request at work on a key, and the end of the hold under which it began."""

    key: int
    hold_until: float
    ends_at: float


@dataclasses.dataclass
class Process:
    """One incarnation of a server, which knows nothing of earlier ones.

    Attributes
    ----------
    seen : list of Hold
        Keys and tokens of all orders that the process has received.
    """

    entry: servers.ServerEntry
    is_up: bool = True
    writes_entry: bool = True
    holds: list[Hold] = dataclasses.field(default_factory=list)
    seen: list[Hold] = dataclasses.field(default_factory=list)
    work: list[Work] = dataclasses.field(default_factory=list)

    def end(self) -> None:
        self.is_up = False

    def has_seen_above(self, segment: model.Segment) -> bool:
        return any(
            hold.token > segment.token and hold.overlaps(segment.start, segment.end)
            for hold in self.seen
        )

    def drop(self, start: int, end: int) -> None:
        kept = []
        for hold in self.holds:
            if not hold.overlaps(start, end):
                kept.append(hold)
                continue
            if hold.start < start:
                kept.append(dataclasses.replace(hold, end=start - 1))
            if hold.end > end:
                kept.append(dataclasses.replace(hold, start=end + 1))
        self.holds = kept


class Rows(fakes.MemoryRows):
    """A row store that rejects all calls while it is down."""

    def __init__(self) -> None:
        super().__init__()
        self.is_down = False

    def scan(self, table):
        return self._reject() if self.is_down else super().scan(table)

    def transact(self, conditions, puts, removes):
        return self._reject() if self.is_down else super().transact(conditions, puts, removes)

    def _reject(self):
        return defer.fail(errors.PlatformUnavailableError("503", step="store"))


class Port:
    """Sends the orders of one entry VM to whichever process listens at an address."""

    def __init__(self, world: World) -> None:
        self._world = world
        self._connected_by_address: dict[str, Process] = {}
        self.granted_until_by_incarnation: dict[model.ServerIncarnation, float] = {}

    def is_connected(self, address):
        process = self._connected_by_address.get(address)
        return process is not None and process.is_up

    def grant(self, address, segment, *, lease_s, timeout_s):
        process = self._world.process_at(address)
        if process is None:
            return defer.fail(errors.ConnectFailedError("refused", step="grant", peer=address))
        self._connected_by_address[address] = process
        if process.entry.server != segment.owner.server:
            return defer.succeed(orders.GrantResult.OTHER_SERVER)
        if process.has_seen_above(segment):
            return defer.succeed(orders.GrantResult.TOKEN_TOO_OLD)
        self._world.judge(process, segment)
        until = self._world.now() + leases.LEASE_BOUND_S
        self.granted_until_by_incarnation[segment.owner] = until
        hold = Hold(segment.start, segment.end, segment.token, self._world.now() + HELD_S)
        process.drop(segment.start, segment.end)
        process.holds.append(hold)
        process.seen.append(hold)
        return defer.succeed(orders.GrantResult.GRANTED)

    def release(self, address, segment, *, timeout_s):
        process = self._world.process_at(address)
        if process is None:
            return defer.fail(errors.ConnectFailedError("refused", step="release", peer=address))
        process.drop(segment.start, segment.end)
        process.seen.append(Hold(segment.start, segment.end, segment.token, 0.0))
        now = self._world.now()
        if any(segment.start <= w.key <= segment.end and w.ends_at > now for w in process.work):
            return defer.fail(errors.OutcomeUnknownError("timeout", step="release", peer=address))
        return defer.succeed("handover")


class Vm:
    """One process of an entry VM, with its own maps, directory and leases."""

    def __init__(self, world: World, vm: ids.EntryVmId) -> None:
        self.vm = vm
        self.maps = range_maps.RangeMaps()
        self.directory = world.directory_class()
        self.port = Port(world)
        self.heard_at = float("-inf")
        self.pending: tuple[model.ServerIncarnation, ...] = ()
        self.lessor = lessor.Lessor(
            vm=vm,
            zone=fakes.ZONE,
            maps=self.maps,
            directory=self.directory,
            port=self.port,
            heartbeat_s=1.0,
            now=world.now,
        )
        self.lessor.vms = VMS


class World:
    """Two entry VMs and four servers of one service, all in one availability zone.

    Attributes
    ----------
    broken : list of str
        What broke the rule of one owner per key.
    """

    directory_class = servers.Directory
    moved_share = 0.3

    def __init__(self, seed: int) -> None:
        self.choices = random.Random(seed)
        self.clock = task.Clock()
        self.clock.advance(1000.0)
        self.store = Rows()
        self.broken: list[str] = []
        self._process_by_server: dict[ids.ServerId, Process] = {}
        self._entry_by_server: dict[ids.ServerId, tuple[servers.ServerEntry, float]] = {}
        self._due: list[tuple[float, Callable[[], None]]] = []
        self._entries_due_at = self._nodes_read_at = 0.0
        self._servers_started = 0
        self._foreign: list[tuple[servers.ServerEntry, float]] = []
        self._cut_until = 0.0
        for vm in VMS:
            node = nodes.Node(vm=vm, zone=fakes.ZONE, address=("10.0.0.1", 7000))
            result_of(nodes.register(self.store, node))
        self.vm_by_id = {vm: Vm(self, vm) for vm in VMS}
        self._leadership = leadership.Leadership(
            vm=PLANNER_VM, vm_incarnation=1, store=self.store, now=self.now
        )
        for _ in range(4):
            self._start_server()
        leader = self.vm_by_id[PLANNER_VM]
        self._planner = planner.Planner(
            rate_limit=lambda _: None,
            avoids_cold=lambda _: False,
            owns_queue=lambda *_: False,
            leadership=self._leadership,
            store=self.store,
            maps=leader.maps,
            directory=leader.directory,
            port=leader.port,
            sharded_services=lambda: (fakes.SERVICE,),
            on_commit=lambda _: None,
            now=self.now,
        )
        self._begin_term()

    def now(self) -> float:
        return self.clock.seconds()

    def process_at(self, address: str) -> Process | None:
        for process in self._process_by_server.values():
            if process.is_up and process.entry.address == address:
                return process
        return None

    def judge(self, process: Process, segment: model.Segment) -> None:
        """Record if other servers hold the keys that a process is granted, or work on them."""
        now = self.now()
        for other in self._process_by_server.values():
            if other is process or not other.is_up:
                continue
            holds = any(
                h.until > now and h.overlaps(segment.start, segment.end) for h in other.holds
            )
            works = any(
                segment.start <= work.key <= segment.end
                and min(work.hold_until, work.ends_at) > now
                for work in other.work
            )
            if holds or works:
                what = "holds" if holds else "works on"
                self.broken.append(
                    f"{process.entry.server} is granted {segment.start} to {segment.end} under "
                    f"{segment.token} while {other.entry.server} {what} them"
                )

    def step(self) -> None:
        """Advance the time, and let everybody act once."""
        self.clock.advance(STEP_S)
        due = [action for at, action in self._due if at <= self.now()]
        self._due = [(at, action) for at, action in self._due if at > self.now()]
        for action in due:
            action()
        self._write_entries()
        for vm in self.vm_by_id.values():
            self._read_servers(vm)
        self._plan()
        self._exchange_datagrams()
        for vm in self.vm_by_id.values():
            vm.lessor.tick()
        self._begin_work()
        self._inject_fault()

    def _after(self, seconds: float, action: Callable[[], None]) -> None:
        self._due.append((self.now() + seconds, action))

    def _begin_term(self) -> None:
        result_of(self._leadership.acquire(result_of(self._leadership.read())))
        self._planner.begin_term()
        self._nodes_read_at = 0.0

    def _write_entries(self) -> None:
        if self.now() < self._entries_due_at or self.store.is_down:
            return
        self._entries_due_at = self.now() + HEARTBEAT_S
        for server, process in self._process_by_server.items():
            if process.is_up and process.writes_entry:
                self.store.version += 1
                version = ids.RowVersion(self.store.version)
                entry = dataclasses.replace(process.entry, row_version=version)
                self._entry_by_server[server] = entry, self.now()
        self._write_foreign_entries()
        for server, (_, written_at) in list(self._entry_by_server.items()):
            if self.now() - written_at > ENTRY_KEPT_S:
                del self._entry_by_server[server]

    def _write_foreign_entries(self) -> None:
        """Write the entries of another writer, some of which replace those of servers."""
        self._foreign = [(entry, until) for entry, until in self._foreign if until > self.now()]
        for entry, _ in self._foreign:
            self.store.version += 1
            version = ids.RowVersion(self.store.version)
            written = dataclasses.replace(entry, row_version=version)
            self._entry_by_server[entry.server] = written, self.now()

    def _read_servers(self, vm: Vm) -> None:
        if self.choices.random() < 0.3:
            return
        if self.store.is_down:
            vm.directory.note_failure(self.now())
            return
        vm.directory.note_read(self.now(), ids.RowVersion(self.store.version))
        vm.directory.apply_all([entry for entry, _ in self._entry_by_server.values()], self.now())

    def _plan(self) -> None:
        try:
            if not self._leadership.held:
                self._begin_term()
            if self.now() - self._nodes_read_at >= NODES_READ_S:
                self._planner.update_vms(result_of(nodes.read_all(self.store)), self.now())
                self._nodes_read_at = self.now()
            result_of(self._planner.tick())
        except errors.PlatformError:
            return
        maps = self.vm_by_id[PLANNER_VM].maps
        maps.confirm(maps.versions(), self._leadership.confirmed_at)

    def _exchange_datagrams(self) -> None:
        """Let the VMs report to the planner, and the other VM learn its map, unless it is cut."""
        leader = self.vm_by_id[PLANNER_VM]
        pending = self._planner.pending_incarnations()
        leader.pending = pending
        self._report(leader)
        follower = self.vm_by_id[OTHER_VM]
        if self.now() < self._cut_until or self.choices.random() < 0.2:
            self._read_maps_alone(follower)
            return
        follower.heard_at = self.now()
        for known in leader.maps.by_service.values():
            follower.maps.adopt(known.ranges, known.version, float("-inf"))
        follower.maps.confirm(leader.maps.versions(), self._leadership.confirmed_at)
        follower.pending = pending
        self._report(follower)

    def _read_maps_alone(self, vm: Vm) -> None:
        if self.now() - vm.heard_at < PLANNER_SILENCE_S or self.store.is_down:
            return
        confirmed_at = leases.confirmation_by_read(self.now())
        for known in self.vm_by_id[PLANNER_VM].maps.by_service.values():
            vm.maps.adopt(known.ranges, known.version, confirmed_at)

    def remaining_s(self, vm: Vm, incarnation: model.ServerIncarnation) -> float:
        """Return what a VM reports of its leases to an incarnation."""
        return vm.lessor.remaining_s(incarnation)

    def _report(self, vm: Vm) -> None:
        self._planner.on_report(
            messages.Report(
                vm=vm.vm,
                zone=fakes.ZONE,
                vm_incarnation=1,
                stamp=self.now(),
                versions_by_service=vm.maps.versions(),
                remaining_by_incarnation={i: self.remaining_s(vm, i) for i in vm.pending},
                unreachable=vm.lessor.unreachable,
                keys_by_service={},
                service_time_by_server={},
            )
        )

    def _begin_work(self) -> None:
        now = self.now()
        for process in self._process_by_server.values():
            process.work = [work for work in process.work if work.ends_at > now]
            held = [hold for hold in process.holds if hold.until > now]
            if process.is_up and held and self.choices.random() < 0.3:
                hold = self.choices.choice(held)
                key = self.choices.randint(hold.start, hold.end)
                work = Work(key, hold.until, now + self.choices.uniform(0.2, 4.0))
                process.work.append(work)

    def _start_server(self, address: str = "") -> None:
        self._servers_started += 1
        name = f"s{self._servers_started}"
        address = address or f"10.0.1.{self._servers_started}:80"
        entry = fakes.entry(name, self._now_ms(), address=address)
        self._process_by_server[entry.server] = Process(entry)

    def _now_ms(self) -> int:
        """Return the time by the clock of a server, which may have been set."""
        step_s = self.choices.choice((0.0, 0.0, 0.0, -6.0, -2.0, 2.0, 6.0))
        return int((self.now() + step_s) * 1000)

    def _inject_fault(self) -> None:
        faults = (
            self._crash,
            self._reuse_address,
            self._outage,
            self._drain,
            self._lose_entry,
            self._cut,
            self._write_foreign,
            self._hide_entry,
        )
        rarer = (self._restart_vm, self._change_planner)
        if self.choices.random() < 0.12:
            self.choices.choice(faults)()
        elif self.choices.random() < 0.02:
            self.choices.choice(rarer)()

    def _one_ready(self) -> list[Process]:
        """Return one of the processes that do not leave; none if there is none."""
        ready = [
            process
            for process in self._process_by_server.values()
            if process.is_up and process.entry.state is servers.ServerState.READY
        ]
        return self.choices.sample(ready, min(1, len(ready)))

    def _crash(self) -> None:
        """End a process; another starts under its id, at its address."""
        for process in self._one_ready():
            process.end()
            restart = functools.partial(self._restart, process.entry)
            self._after(self.choices.uniform(0.0, 2.0), restart)

    def _restart(self, entry: servers.ServerEntry) -> None:
        address = entry.address
        if self.choices.random() < self.moved_share:
            self._servers_started += 1
            address = f"10.0.1.{self._servers_started}:80"
        restarted = Process(dataclasses.replace(entry, started_ms=self._now_ms(), address=address))
        self._process_by_server[entry.server] = restarted
        if self.choices.random() < 0.5:
            self._after(
                self.choices.uniform(0.0, 2.0), functools.partial(self._drain_process, restarted)
            )

    def _reuse_address(self) -> None:
        """End a process; a server with another id starts at its address."""
        for process in self._one_ready():
            process.end()
            start = functools.partial(self._start_server, process.entry.address)
            self._after(self.choices.uniform(0.5, 3.0), start)

    def _outage(self) -> None:
        if not self.store.is_down:
            self.store.is_down = True
            self._after(self.choices.uniform(2.0, 6.0), self._end_outage)

    def _end_outage(self) -> None:
        self.store.is_down = False
        self._entries_due_at = self.now() + self.choices.choice((0.0, HEARTBEAT_S))

    def _drain(self) -> None:
        """Let a server report that it leaves; it serves for a while and exits."""
        for process in self._one_ready():
            self._drain_process(process)

    def _drain_process(self, process: Process) -> None:
        draining = servers.ServerState.DRAINING
        process.entry = dataclasses.replace(process.entry, state=draining)
        self._leave(process)

    def _lose_entry(self) -> None:
        """Let a server leave without a word: its entry is no longer written."""
        for process in self._one_ready():
            process.writes_entry = False
            self._leave(process)

    def _leave(self, process: Process) -> None:
        self._after(self.choices.uniform(4.0, 9.0), process.end)
        self._after(self.choices.uniform(0.0, 3.0), self._start_server)

    def _write_foreign(self) -> None:
        """Let another writer write entries that name the id or the address of a live server."""
        for process in self._one_ready():
            own = process.entry
            self._servers_started += 1
            new_id = ids.ServerId(f"x{self._servers_started}")
            address = f"10.0.1.{self._servers_started}:80"
            step_ms = self.choices.choice((-5000, -1, 1, 5000))
            forms = (
                {"server": new_id, "started_ms": own.started_ms + step_ms},
                {"server": new_id},
                {"started_ms": own.started_ms + step_ms},
                {"started_ms": own.started_ms + step_ms, "address": address},
                {"started_ms": own.started_ms + step_ms, "zone": ids.ZoneName("z2")},
                {"service": ids.ServiceName("desk"), "started_ms": own.started_ms + step_ms},
            )
            entry = dataclasses.replace(own, **self.choices.choice(forms))
            until = self.now() + self.choices.choice((0.1, 4.0, 12.0))
            self._foreign.append((entry, until))
            self._write_foreign_entries()

    def _hide_entry(self) -> None:
        """Remove the entry of a server for a while, in which the server goes on."""
        for process in self._one_ready():
            process.writes_entry = False
            self._entry_by_server.pop(process.entry.server, None)
            self._after(self.choices.uniform(0.5, 6.0), functools.partial(_show, process))

    def _cut(self) -> None:
        self._cut_until = self.now() + self.choices.uniform(0.5, 5.0)

    def _restart_vm(self) -> None:
        self.vm_by_id[OTHER_VM] = Vm(self, OTHER_VM)

    def _change_planner(self) -> None:
        if not self.store.is_down:
            self._begin_term()


def _show(process: Process) -> None:
    process.writes_entry = True
