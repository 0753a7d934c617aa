"""A simulated entry VM: passes messages to the lease logic and executes its decisions."""

from __future__ import annotations

import dataclasses
from collections.abc import Callable, Iterable
from typing import TYPE_CHECKING

from celerystack import ids, model, timing
from celerystack.backend import messages as orders
from celerystack.lease import evidence, reconciliation, takeover
from celerystack.peers import messages as peer_messages
from standins.lease_model import sim_core, sim_shards

if TYPE_CHECKING:
    from standins.lease_model import sim_cluster

TICK_S = 0.05
POLL_S = 0.5
NON_STEWARD_TAKEOVER_S = 6.0


class SimVm:
    """One entry VM process."""

    def __init__(
        self,
        simulation: sim_cluster.LeaseSimulation,
        vm: ids.EntryVmId,
        incarnation: str,
        zone: str,
    ) -> None:
        self.simulation = simulation
        self.entry = model.EntryVm(
            vm=vm,
            incarnation=ids.Incarnation(incarnation),
            zone=ids.ZoneName(zone),
            peer_address="",
        )
        self.me = model.LessorRef(vm, self.entry.incarnation)
        self.clock = sim_core.Clock(simulation.scheduler, simulation.rng)
        self.lessor = simulation.rules.lessor(self_ref=self.me)
        self.snapshot = sim_core.Snapshot(0, {})
        self.takeovers: dict[ids.ServerId, takeover.Takeover] = {}
        self.history = evidence.ListingHistory()
        self.is_dead = False
        self._paused = False
        self._waiting: list[Callable[[], None]] = []
        self._peers: dict[ids.EntryVmId, reconciliation.PeerView] = {}
        self._non_steward_until_by_server: dict[ids.ServerId, float] = {}
        self._transaction_pending_until_by_server: dict[ids.ServerId, float] = {}
        self._observed_since = self.clock.read()
        self._last_tick = self._observed_since
        self._table_reachable = True
        self._heartbeat_at = 0.0
        self._poll_at = 0.0
        simulation.scheduler.call_later(simulation.rng.uniform(0, TICK_S), self._run_tick)

    # Process lifecycle

    def receive(self, callback: Callable[[], None]) -> None:
        """Handle a message now or after the pause; a dead process drops it."""
        if self.is_dead:
            return
        if self._paused:
            self._waiting.append(callback)
        else:
            callback()

    def pause(self) -> None:
        self._paused = True

    def resume(self) -> None:
        self._paused = False
        waiting, self._waiting = self._waiting, []
        for callback in waiting:
            self.receive(callback)

    def _run_tick(self) -> None:
        if self.is_dead:
            return
        if not self._paused:
            self._tick(self.clock.read())
        self.simulation.scheduler.call_later(TICK_S, self._run_tick)

    def _tick(self, now: float) -> None:
        if now - self._last_tick > timing.REACHABLE_S:
            self._observed_since = now
        self._last_tick = now
        if now >= self._heartbeat_at:
            self._heartbeat_at = now + timing.PEER_HEARTBEAT_S
            self._send_snapshot(self.simulation.other_vms(self.entry.vm))
        if now >= self._poll_at:
            self._poll_at = now + POLL_S
            self._poll(now)
        self._send_orders(self.lessor.tick(now))
        self._run_steward(now)
        for server in list(self.takeovers):
            self._advance_takeover(server, now)

    # Messages

    def on_heartbeat(self, peer: model.EntryVm, snapshot: sim_core.Snapshot) -> None:
        self._peers[peer.vm] = reconciliation.PeerView(peer=peer, last_heard_at=self.clock.read())
        self.merge(snapshot)

    def merge(self, snapshot: sim_core.Snapshot) -> None:
        if snapshot.number <= self.snapshot.number:
            return
        self.snapshot = snapshot
        now = self.clock.read()
        for key in snapshot.rows_by_key:
            if key[0] != "server":
                continue
            row = snapshot.value(key)
            grants = sim_shards.grants(snapshot, row.server)
            self._send_orders(self.lessor.update(row, grants, now))
            current_takeover = self.takeovers.get(row.server)
            if current_takeover is not None and current_takeover.is_superseded(row):
                del self.takeovers[row.server]

    def on_order_reply(self, reply: orders.OrderReply) -> None:
        self._send_orders(self.lessor.on_reply(reply, self.clock.read()))

    def on_promise_request(
        self, sender: ids.EntryVmId, request: peer_messages.PromiseRequest
    ) -> None:
        reply = self.lessor.on_promise_request(request, self.clock.read())
        self.simulation.send_to_vm(self.entry.vm, sender, lambda vm: vm.on_promise(reply))

    def on_promise(self, reply: peer_messages.PromiseReply) -> None:
        current_takeover = self.takeovers.get(reply.server)
        if current_takeover is not None:
            current_takeover.on_promise(reply, self.clock.read())

    def on_deputize(self, message: peer_messages.Deputize) -> None:
        self._send_orders(self.lessor.on_deputize(message, self.clock.read()))

    def _send_orders(self, due: Iterable[orders.Order]) -> None:
        for order in due:
            self.simulation.send_order(self, order)

    def _send_snapshot(self, vms: Iterable[ids.EntryVmId]) -> None:
        snapshot = self.snapshot
        for vm in vms:
            self.simulation.send_to_vm(
                self.entry.vm, vm, lambda peer: peer.on_heartbeat(self.entry, snapshot)
            )

    # Table and membership

    def _poll(self, now: float) -> None:
        self.history.observe(
            self.simulation.listed_servers(self.entry.vm),
            incarnations_by_server={
                server: row.incarnation for server, row in self._rows_by_server().items()
            },
        )
        self._table_reachable = self.simulation.table_reachable(self.entry.vm)
        if not self._table_reachable:
            self._appoint_deputies(now)
            return
        self.simulation.read_table(self)

    def _appoint_deputies(self, now: float) -> None:
        for server in self._rows_by_server():
            if not self.lessor.may_grant_or_renew(server):
                continue
            for peer in self._live_vms(now):
                ref = model.LessorRef(peer.vm, peer.incarnation)
                message = self.lessor.deputize(server, ref)
                if message is not None:
                    self.simulation.counts["deputy"] += 1
                    self._send_deputize(peer, message)

    def _send_deputize(self, peer: model.EntryVm, message: peer_messages.Deputize) -> None:
        def deliver(vm: SimVm) -> None:
            if vm.entry.incarnation == peer.incarnation:
                vm.on_deputize(message)

        self.simulation.send_to_vm(self.entry.vm, peer.vm, deliver)

    def transact(
        self, server: ids.ServerId, action: str, transaction: sim_core.Transaction | None
    ) -> None:
        """Send a transaction for a server, unless the previous one may still be in flight."""
        now = self.clock.read()
        if transaction is None or now < self._transaction_pending_until_by_server.get(server, 0.0):
            return
        self._transaction_pending_until_by_server[server] = now + 0.1
        self.simulation.commit(self, action, transaction)

    # Decisions

    def _rows_by_server(self) -> dict[ids.ServerId, model.ServerRow]:
        return {
            key[1]: row[1] for key, row in self.snapshot.rows_by_key.items() if key[0] == "server"
        }

    def _live_vms(self, now: float) -> list[model.EntryVm]:
        peers = [
            view.peer
            for view in self._peers.values()
            if now - view.last_heard_at < timing.PEER_DOWN_S
        ]
        return [self.entry, *peers]

    def _run_steward(self, now: float) -> None:
        live = self._live_vms(now)
        probed_servers = set()
        for server in self.simulation.server_ids:
            row = sim_shards.server_row(self.snapshot, server)
            reconciler = reconciliation.reconciler_of(row, self.entry.zone, live, server=server)
            if reconciler == self.entry.vm:
                probed_servers.add(server)
                self._decide(server, row, now)
            elif self._takes_over_as_non_steward(server, row, now):
                probed_servers.add(server)
        self.lessor.set_probed_servers(frozenset(probed_servers))

    def _takes_over_as_non_steward(
        self, server: ids.ServerId, row: model.ServerRow | None, now: float
    ) -> bool:
        """Start a takeover without being the reconciler, as a VM with a different view would."""
        if now < self._non_steward_until_by_server.get(server, 0.0):
            return True
        if row is None or row.state is model.ServerState.LOST:
            return False
        if self.lessor.is_reachable(server, now) or self.simulation.rng.random() > 0.01:
            return False
        self._non_steward_until_by_server[server] = now + NON_STEWARD_TAKEOVER_S
        self.takeovers.setdefault(server, self.simulation.rules.takeover(row, now=now))
        return True

    def _view(
        self, server: ids.ServerId, row: model.ServerRow | None, now: float
    ) -> reconciliation.ServerView:
        current_takeover = self.takeovers.get(server)
        promised = current_takeover.promised() if current_takeover is not None else frozenset()
        if self.lessor.has_promised(server):
            promised |= {self.me}
        me = reconciliation.PeerView(peer=self.entry, last_heard_at=now)
        return reconciliation.ServerView(
            server=server,
            zone=self.entry.zone,
            row=row,
            peers=(me, *self._peers.values()),
            observed_since=self._observed_since,
            last_reply_at=self.lessor.last_reply_at(server),
            seen_incarnation=self.lessor.seen_incarnation(server),
            acknowledged_token=self.lessor.acknowledged_token(server),
            acknowledged_at=self.lessor.acknowledged_at(server),
            promised_lessors=promised,
            table_reachable=self._table_reachable,
            has_deputies=bool(self.lessor.deputies(server)),
        )

    def _decide(self, server: ids.ServerId, row: model.ServerRow | None, now: float) -> None:
        decision = self.simulation.rules.decide(self._view(server, row, now), now)
        if not isinstance(decision, reconciliation.StartTakeover):
            self.takeovers.pop(server, None)
        self._execute(server, row, decision, now)
        if row is not None:
            self._finish_moves(server, row)

    def _execute(
        self,
        server: ids.ServerId,
        row: model.ServerRow | None,
        decision: reconciliation.Decision,
        now: float,
    ) -> None:
        new = row
        match decision:
            case reconciliation.NoChange():
                return
            case reconciliation.StartTakeover():
                assert row is not None
                if server not in self.takeovers:
                    self.takeovers[server] = self.simulation.rules.takeover(row, now=now)
                return
            case reconciliation.CreateRow(lessors, incarnation):
                new = model.ServerRow(
                    server=server,
                    state=model.ServerState.ACTIVE,
                    token=ids.Token(1),
                    incarnation=incarnation,
                    lessors=lessors,
                )
            case reconciliation.ReplaceLessors(lessors, previous):
                new = sim_shards.next_token(row, lessors=lessors, previous_lessors=previous)
            case reconciliation.ClearPreviousLessors():
                new = dataclasses.replace(row, previous_lessors=())
            case reconciliation.Reactivate(lessors, previous, incarnation):
                new = sim_shards.next_token(
                    row,
                    lessors=lessors,
                    previous_lessors=previous,
                    incarnation=incarnation,
                    state=model.ServerState.ACTIVE,
                )
        change = sim_shards.Change(self.snapshot)
        change.put_row(new)
        self.transact(server, type(decision).__name__, change.transaction())

    def _finish_moves(self, server: ids.ServerId, row: model.ServerRow) -> None:
        if self.lessor.acknowledged_token(server) != row.token:
            return
        for shard, state in sim_shards.states_by_shard(self.snapshot).items():
            if state.source == server and self.lessor.running_dropped(server) == 0:
                transaction = sim_shards.finish_move(self.snapshot, shard)
                self.transact(server, "finish move", transaction)

    def _advance_takeover(self, server: ids.ServerId, now: float) -> None:
        current_takeover = self.takeovers[server]
        row = sim_shards.server_row(self.snapshot, server)
        if row is None or current_takeover.is_superseded(row):
            del self.takeovers[server]
            return
        delisting = evidence.from_delisting(
            self.history,
            row=current_takeover.row,
            zone=self.entry.zone,
            connected_zones=frozenset({self.entry.zone}),
            zone_loss=model.ZoneLossPolicy.WAIT,
        )
        if delisting is not None:
            current_takeover.on_evidence(delisting)
        requests = current_takeover.requests() if self._table_reachable else {}
        for lessor, request in requests.items():
            self._send_promise_request(lessor, request)
        match current_takeover.state(now):
            case takeover.Ready(known):
                action = "takeover by promises" if known is None else "takeover by evidence"
                self.transact(server, action, sim_shards.take_over(self.snapshot, server))

    def _send_promise_request(
        self, lessor: model.LessorRef, request: peer_messages.PromiseRequest
    ) -> None:
        me = self.entry.vm
        if lessor.vm == me:
            self.on_promise(self.lessor.on_promise_request(request, self.clock.read()))
            return
        self.simulation.send_to_vm(me, lessor.vm, lambda vm: vm.on_promise_request(me, request))
