"""Sends the lessor's orders to backend servers and handles lease messages of peers."""

from __future__ import annotations

import logging
from typing import Protocol

from twisted.internet import defer, interfaces
from twisted.python import failure as failures

from celerystack import errors, ids, model, periodic
from celerystack.backend import messages as order_messages
from celerystack.control import view as cluster_view
from celerystack.lease import lessor as lessors
from celerystack.peers import mesh as peer_mesh
from celerystack.peers import messages

TICK_S = 0.05
"""Interval in seconds at which orders that are due are sent."""

_log = logging.getLogger(__name__)


class OrderPort(Protocol):
    """Sends orders to backend servers."""

    def send(self, order: order_messages.Order) -> defer.Deferred[order_messages.OrderReply]:
        """Send an order; fails with `errors.BackendError`."""


class LessorTask:
    """Drives `lease.lessor.Lessor` for this entry VM.

    Attributes
    ----------
    store_reachable : bool
        Whether this entry VM and all live peers of its zone reach the store; otherwise this entry
        VM appoints the live peers of its zone as deputies.
    """

    def __init__(
        self,
        clock: interfaces.IReactorTime,
        *,
        lessor: lessors.Lessor,
        orders: OrderPort,
        view: cluster_view.ClusterView,
        mesh: peer_mesh.Mesh,
    ) -> None:
        self._clock = clock
        self._orders = orders
        self._view = view
        self._mesh = mesh
        self._loop = periodic.Periodic(clock, self._tick, interval_s=TICK_S)
        self.lessor = lessor
        self._inconsistent: set[ids.ServerId] = set()
        self.store_reachable = True
        view.add_listener(self._view_changed)
        mesh.add_handler(self._handle)

    def start(self) -> None:
        """Start renewing leases."""
        self._loop.start()

    def stop(self) -> None:
        """Stop renewing leases."""
        self._loop.stop()

    def silent_servers(self) -> tuple[ids.ServerId, ...]:
        """Return the servers that do not reply although this entry VM renews their leases."""
        now = self._clock.seconds()
        return tuple(
            server
            for server in self._view.server_rows_by_id
            if self.lessor.may_grant_or_renew(server) and not self.lessor.is_reachable(server, now)
        )

    def send(self, orders: list[order_messages.Order]) -> None:
        """Send orders and pass the replies to the lessor."""
        for order in orders:
            sent = self._orders.send(order)
            sent.addCallbacks(self._order_answered, self._order_failed, errbackArgs=(order,))
            sent.addErrback(self._order_raised)

    def _order_answered(self, reply: order_messages.OrderReply) -> None:
        self.send(self.lessor.on_reply(reply, self._clock.seconds()))

    def _order_failed(self, failure: failures.Failure, order: order_messages.Order) -> None:
        failure.trap(errors.BackendError)
        _log.debug("order to %s failed: %s", order.server, failure.value)

    def _order_raised(self, failure: failures.Failure) -> None:
        _log.error("unexpected failure while handling an order: %s", failure.getTraceback())

    def _tick(self) -> None:
        now = self._clock.seconds()
        self.send(self.lessor.tick(now))
        if not self.store_reachable:
            self._deputize_zone()

    def _view_changed(self, change: cluster_view.ViewChange) -> None:
        now = self._clock.seconds()
        servers = self._inconsistent | change.servers
        if change.configuration:
            servers |= set(self._view.server_rows_by_id)
        self._inconsistent = set()
        for server in sorted(servers):
            row = self._view.server_rows_by_id.get(server)
            if row is None:
                continue
            if not self._may_become_lessor_or_deputy(row):
                self.send(self.lessor.update(row, (), now))
            elif self._view.is_consistent(row):
                self.send(self.lessor.update(row, self._view.granted_shards(server), now))
            else:
                self._inconsistent.add(server)

    def _may_become_lessor_or_deputy(self, row: model.ServerRow) -> bool:
        """Return whether this entry VM is a lessor of a server, or may be deputized for it."""
        declared = self._view.declared_server(row.server)
        in_zone = declared is not None and declared.zone == self._mesh.own_entry_vm.zone
        return in_zone or self.lessor.self_ref in row.lessors

    def _handle(self, sender: model.EntryVm, message: messages.Message) -> None:
        now = self._clock.seconds()
        match message:
            case messages.PromiseRequest():
                reply = self.lessor.on_promise_request(message, now)
                self._mesh.send(sender.vm, reply)
            case messages.Deputize():
                self.send(self.lessor.on_deputize(message, now))

    def _deputize_zone(self) -> None:
        zone_vms = [
            entry_vm
            for entry_vm in self._mesh.live_entry_vms()
            if entry_vm.zone == self._mesh.own_entry_vm.zone
            and entry_vm.vm != self._mesh.own_entry_vm.vm
        ]
        for server in list(self._view.server_rows_by_id):
            for entry_vm in zone_vms:
                self._deputize(server, entry_vm)

    def _deputize(self, server: ids.ServerId, entry_vm: model.EntryVm) -> None:
        deputy = model.LessorRef(entry_vm.vm, entry_vm.incarnation)
        message = self.lessor.deputize(server, deputy)
        if message is not None:
            self._mesh.send(entry_vm.vm, message)
