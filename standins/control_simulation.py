"""Entry VMs with their real control tasks, on a deterministic clock, table and network."""

from __future__ import annotations

import collections
import itertools
import types
from collections.abc import Iterator
from unittest import mock

from twisted.internet import defer, task

from celerystack import errors, ids, model
from celerystack.backend import messages as order_messages
from celerystack.control import (
    change_builder,
    committer,
    lessor_task,
    membership_task,
    placer_task,
    reconciler_task,
    send_permission,
    table_sync,
    traffic_task,
    view,
)
from celerystack.lease import lessor as lessor_module
from celerystack.peers import mesh, messages, sync
from celerystack.state import cache, codec, keys
from celerystack.store import ports, transactor
from standins import memory_platform
from standins.lease_model import model_server

LATENCY_S = 0.001
ORDER_TIMEOUT_S = 0.4
START_S = 100.0
WALL_CLOCK_START_S = 1_700_000_000.0


class RecordedTable(memory_platform.FakeTable):
    """An in-memory table with a change feed; passes the rows of each commit to ``on_commit``."""

    def __init__(self, clock: task.Clock, on_commit) -> None:
        super().__init__(clock)
        self._feed: list[ports.Row] = []
        self._on_commit = on_commit
        self.unreadable = False
        self.polls = 0

    def commit(self, transaction: ports.Transaction) -> list[ports.Row]:
        written = super().commit(transaction)
        self._feed += written
        self._on_commit(written)
        return written

    def put(self, key: str, value: bytes | None) -> ports.Row:
        row = super().put(key, value)
        self._feed.append(row)
        return row

    def changes(self, since: int) -> defer.Deferred[tuple[int, list[ports.Row]]]:
        self.polls += 1
        if self.unreadable:
            unavailable = errors.PlatformUnavailableError("refused", step="table.changes", peer="t")
            return defer.fail(unavailable)
        newest_by_key = {row.key: row for row in self._feed[since:]}
        return defer.succeed((len(self._feed), list(newest_by_key.values())))


class Link:
    """One direction between two entry VMs; implements the sender that the mesh expects."""

    transport = None

    def __init__(self, simulation: ControlSimulation, source: model.EntryVm, address: str) -> None:
        self._simulation = simulation
        self._receiver = types.SimpleNamespace(
            hello=messages.Hello(
                vm=source.vm,
                incarnation=source.incarnation,
                zone=source.zone,
                address=source.peer_address,
            )
        )
        self._address = address

    def send(self, message: messages.Message) -> None:
        target = self._simulation.vm_at(self._address)
        self._simulation.clock.callLater(
            LATENCY_S, target.mesh._on_message, self._receiver, message
        )


class LinkedMesh(mesh.Mesh):
    """A mesh whose peer streams are simulated by `Link`."""

    simulation: ControlSimulation

    def start(self, listen_address: str) -> None:
        self._heartbeat_loop.start()

    def _dial_one(self, address: str) -> None:
        self._senders_by_address.setdefault(
            address, Link(self.simulation, self.own_entry_vm, address)
        )

    def cut(self) -> None:
        """Drop all links; the addresses stay known, so they are not dialled again."""
        self._senders_by_address = dict.fromkeys(self._senders_by_address)


class EntryVm:
    """The control tasks of one entry VM, wired as in `control.entry_vm`."""

    def __init__(self, simulation: ControlSimulation, vm: str, zone: str) -> None:
        clock = simulation.clock
        self.me = model.EntryVm(vm=vm, incarnation=f"i-{vm}", zone=zone, peer_address=f"{vm}:1")
        self.cache = cache.RowCache()
        self.view = view.ClusterView(self.cache)
        self.mesh = LinkedMesh(
            None, clock=clock, own_entry_vm=self.me, secrets=(b"s",), heartbeat=self._heartbeat
        )
        self.mesh.simulation = simulation
        self.rows = sync.RowSync(clock, mesh=self.mesh, cache=self.cache)
        view_and_mesh = {"view": self.view, "mesh": self.mesh}
        self.table_sync = table_sync.TableSync(
            clock, table=simulation.table, rows=self.rows, mesh=self.mesh, on_failure=lambda _: None
        )
        membership = membership_task.MembershipTask(clock, membership=simulation, **view_and_mesh)
        change_committer = committer.Committer(
            clock,
            transactor=transactor.Transactor(clock, simulation.table),
            table_sync=self.table_sync,
            rows=self.rows,
            operator=vm,
            on_commit=lambda _: None,
            on_failure=lambda error: simulation.log_event(f"{vm}: {error}"),
        )
        lessor = lessor_module.Lessor(self_ref=model.LessorRef(self.me.vm, self.me.incarnation))
        orders = types.SimpleNamespace(send=lambda order: simulation.send(vm, order))
        self.lessor = lessor_task.LessorTask(clock, lessor=lessor, orders=orders, **view_and_mesh)
        permission = send_permission.SendPermission(
            clock, cache=self.cache, unanswered=lambda _: 0, **view_and_mesh
        )
        traffic = traffic_task.TrafficTask(clock, **view_and_mesh)
        common_arguments = {
            **view_and_mesh,
            "lessor": lessor,
            "committer": change_committer,
            "membership": membership,
        }
        self.placer = placer_task.PlacerTask(
            clock,
            traffic=traffic,
            senders_stopped=lambda s: permission.senders_stopped(s, server_replies=True),
            **common_arguments,
        )
        self.reconciler = reconciler_task.ReconcilerTask(
            clock,
            table_sync=self.table_sync,
            planner=self.placer,
            send_permission=permission,
            **common_arguments,
        )
        self.tasks = (
            self.table_sync,
            membership,
            self.lessor,
            self.reconciler,
            self.placer,
            traffic,
        )

    def _heartbeat(self) -> messages.Heartbeat:
        return messages.Heartbeat(
            digest=self.cache.digest,
            config_version=self.view.configuration.version,
            store_reachable=self.table_sync.reachable,
        )

    def start(self) -> None:
        self.mesh.start("")
        for control_task in self.tasks:
            control_task.start()

    def update_lessor(self) -> None:
        self.lessor.lessor.set_probed_servers(
            self.reconciler.probed_servers() | self.placer.probed_servers()
        )
        self.lessor.store_reachable = self.table_sync.reachable


class ControlSimulation:
    """Entry VMs, backend servers, table and membership list; records events in ``event_log``."""

    def __init__(self, *, zones_by_vm: dict[str, str], servers: list[str]) -> None:
        self.clock = task.Clock()
        self.clock.advance(START_S)
        self.table = RecordedTable(self.clock, self._committed)
        self.event_log: list[str] = []
        self._counts_by_text: collections.Counter[str] = collections.Counter()
        self.servers_by_id = {
            name: model_server.ModelServer(ids.ServerId(name), ids.Incarnation(f"{name}-p1"))
            for name in servers
        }
        self.unreachable: set[str] = set()
        self.vms = [EntryVm(self, vm, zone) for vm, zone in zones_by_vm.items()]

    def patches(self) -> Iterator:
        """Yield patches that replace the wall clock and the random transaction ids."""
        wall_clock = types.SimpleNamespace(
            time=lambda: WALL_CLOCK_START_S + self.clock.seconds() - START_S
        )
        transaction_numbers = itertools.count(1)
        yield mock.patch.object(committer, "time", wall_clock)
        yield mock.patch.object(change_builder, "time", wall_clock)
        yield mock.patch.object(
            transactor, "new_transaction_id", lambda: f"transaction-{next(transaction_numbers)}"
        )

    def start(self) -> None:
        for vm in self.vms:
            vm.start()

    def run(self, seconds: float) -> None:
        """Advance the clock by ``seconds`` in steps of 10 ms."""
        for _ in range(round(seconds * 100)):
            self.clock.advance(0.01)
            for vm in self.vms:
                vm.update_lessor()

    def vm_at(self, address: str) -> EntryVm:
        return next(vm for vm in self.vms if vm.me.peer_address == address)

    def members(self) -> defer.Deferred[list[ports.Member]]:
        """Implement `ports.MembershipPort`; all entry VMs are always listed as live."""
        listed = [
            ports.Member(
                vm=vm.me.vm,
                role=ports.VmRole.ENTRY,
                zone=vm.me.zone,
                address=vm.me.peer_address,
                state=ports.VmState.LIVE,
            )
            for vm in self.vms
        ]
        return defer.succeed(listed)

    def cut_streams(self) -> None:
        """Cut the streams between all entry VMs permanently."""
        for vm in self.vms:
            vm.mesh.cut()

    def restart(self, server: str, process: int) -> None:
        incarnation = ids.Incarnation(f"{server}-p{process}")
        self.servers_by_id[server] = model_server.ModelServer(ids.ServerId(server), incarnation)
        self.unreachable.discard(server)

    def send(self, vm: str, order: order_messages.Order) -> defer.Deferred:
        """Implement `lessor_task.OrderPort` for one entry VM."""
        if order.server in self.unreachable:
            lost = errors.OutcomeUnknownError("timeout", step="backend.order", peer=order.server)
            return task.deferLater(self.clock, ORDER_TIMEOUT_S, defer.fail, lost)
        return task.deferLater(self.clock, LATENCY_S, self._handle, vm, order)

    def _handle(self, vm: str, order: order_messages.Order) -> defer.Deferred:
        reply = self.servers_by_id[order.server].handle(order, self.clock.seconds())
        kind = type(order).__name__.lower()
        text = f"{vm} -> {order.server} {kind}"
        if not isinstance(order, order_messages.Probe):
            text += f" token {order.token}"
        if isinstance(order, order_messages.Grant):
            text += f" shards {' '.join(f'{g.shard}@{g.epoch}' for g in order.shards) or '-'}"
        self._counts_by_text[f"{text}: {reply.result.value}"] += 1
        if self._counts_by_text[f"{text}: {reply.result.value}"] == 1:
            self.log_event(f"{text}: {reply.result.value}")
        return task.deferLater(self.clock, LATENCY_S, lambda: reply)

    def log_event(self, text: str) -> None:
        self.event_log.append(f"{self.clock.seconds() - START_S:7.3f} {text}")

    def start_section(self, text: str) -> None:
        self.event_log += ["", f"# {text}", ""]
        self._counts_by_text.clear()

    def _committed(self, rows: list[ports.Row]) -> None:
        for row in rows:
            if row.key.startswith(keys.AUDIT_PREFIX):
                entry = codec.decode_fields(codec.AuditRow, row.value, key=row.key)
                written = " ".join(f"{r.key}={r.version}" for r in rows if r is not row)
                self.log_event(f"{entry.operator} commits {entry.transaction}: {written}")
                self.log_event(
                    f"  audit {entry.time_ms - int(WALL_CLOCK_START_S * 1000)} ms: {entry.action} "
                    f"{entry.subject} ({entry.reason}): {entry.before} -> {entry.after}"
                )
