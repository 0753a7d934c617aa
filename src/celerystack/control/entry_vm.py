"""Composition root of the router process: creates the components of an entry VM."""

from __future__ import annotations

import logging
import uuid
from typing import Any

import prometheus_client
from twisted.internet import defer, task

from celerystack import clock, ids, model, periodic, settings
from celerystack.backend import orders as order_senders
from celerystack.control import (
    claims_task,
    committer,
    evacuations,
    lessor_task,
    losses_task,
    membership_task,
    metrics_task,
    placer_task,
    queueing_chooser,
    reconciler_task,
    request_locator,
    routes,
    send_permission,
    table_sync,
    traffic_task,
)
from celerystack.control import view as cluster_view
from celerystack.lease import lessor as lessors
from celerystack.limits import descriptors, retry_budget, shares
from celerystack.observe import audit, metrics
from celerystack.peers import mesh as peer_mesh
from celerystack.peers import messages, sync
from celerystack.requests import callerhttp, claims, forwarder, frontend, server_choice
from celerystack.state import cache as row_cache
from celerystack.store import membership, table, transactor

DRAIN_NOTICE_S = 1.0
"""Time from reporting not ready to closing the listener, so that callers can be sent elsewhere."""

HANDOVER_MAX_S = 5.0
"""Longest wait at shutdown for other entry VMs to replace this one as lessor."""

_HOUSEKEEPING_S = 0.1
"""Interval in seconds at which counts and flags that several tasks share are refreshed."""
_log = logging.getLogger(__name__)


class EntryVmProcess:
    """Runs all tasks of one entry VM.

    Parameters
    ----------
    reactor : IReactorTCP and IReactorTime
    configured : Settings
        Valid settings of the router.
    """

    def __init__(self, reactor: Any, configured: settings.Settings) -> None:
        self._reactor = reactor
        self._clock = clock.MonotonicClock(reactor)
        self._settings = configured
        self._started_at = self._clock.seconds()
        self.draining = False
        self._listening = False
        self.registry = prometheus_client.CollectorRegistry()
        self.me = model.EntryVm(
            vm=ids.EntryVmId(configured.vm),
            incarnation=ids.Incarnation(uuid.uuid4().hex),
            zone=ids.ZoneName(configured.zone),
            peer_address=configured.advertised_peer_address,
        )
        self.cache = row_cache.RowCache()
        self.view = cluster_view.ClusterView(self.cache)
        self.mesh = peer_mesh.Mesh(
            reactor,
            clock=self._clock,
            own_entry_vm=self.me,
            secrets=configured.peer_secrets,
            heartbeat=self._heartbeat,
        )
        self.rows = sync.RowSync(self._clock, mesh=self.mesh, cache=self.cache)
        self._build_platform()
        self._build_control()
        self._build_requests()
        self._housekeeping = periodic.Periodic(
            self._clock, self._run_housekeeping, interval_s=_HOUSEKEEPING_S
        )

    def _build_platform(self) -> None:
        configured = self._settings
        self.table = table.HttpTable(
            self._reactor, address=configured.table_address, timeout_s=configured.store_timeout_s
        )
        self.table_sync = table_sync.TableSync(
            self._clock,
            table=self.table,
            rows=self.rows,
            mesh=self.mesh,
            on_failure=lambda error: self.metrics.count_store_failure(error),
        )
        self.membership = membership_task.MembershipTask(
            self._clock,
            membership=membership.HttpMembership(
                self._reactor,
                address=configured.membership_address,
                timeout_s=configured.store_timeout_s,
            ),
            view=self.view,
            mesh=self.mesh,
        )
        self.committer = committer.Committer(
            self._clock,
            transactor=transactor.Transactor(self._clock, self.table),
            table_sync=self.table_sync,
            rows=self.rows,
            operator=audit.router_operator(self.me.vm),
            on_commit=lambda change: self.metrics.committed(change),
            on_failure=lambda error: self.metrics.count_store_failure(error),
        )

    def _build_control(self) -> None:
        self.orders = order_senders.OrderSender(
            self._reactor, lessor=self.me.vm, address_of=self._address_of
        )
        me = model.LessorRef(self.me.vm, self.me.incarnation)
        self.lessor_task = lessor_task.LessorTask(
            self._clock,
            lessor=lessors.Lessor(self_ref=me),
            orders=self.orders,
            view=self.view,
            mesh=self.mesh,
        )
        self.send_permission = send_permission.SendPermission(
            self._clock,
            view=self.view,
            mesh=self.mesh,
            cache=self.cache,
            unanswered=lambda server: self.forwarder.possibly_running_count(server),
        )
        self.traffic = traffic_task.TrafficTask(self._clock, view=self.view, mesh=self.mesh)
        self.placer = placer_task.PlacerTask(
            self._clock,
            view=self.view,
            mesh=self.mesh,
            lessor=self.lessor_task.lessor,
            committer=self.committer,
            membership=self.membership,
            traffic=self.traffic,
            senders_stopped=lambda server: (
                self.send_permission.has_no_unanswered_requests(server)
                and self.send_permission.senders_stopped(server, server_replies=True)
            ),
        )
        self.reconciler = reconciler_task.ReconcilerTask(
            self._clock,
            view=self.view,
            mesh=self.mesh,
            lessor=self.lessor_task.lessor,
            committer=self.committer,
            table_sync=self.table_sync,
            membership=self.membership,
            planner=self.placer,
            send_permission=self.send_permission,
        )

    def _build_requests(self) -> None:
        self.routes = routes.Routes(
            self.view,
            may_send=self.send_permission.may_send,
            is_usable=self.placer.servers.is_usable,
            on_route=self.traffic.count_request,
        )
        self.losses = losses_task.LossesTask(self._clock, view=self.view, mesh=self.mesh)
        chooser = queueing_chooser.QueueingChooser(server_choice.ServerChooser(zone=self.me.zone))
        dependencies = forwarder.Dependencies(
            routes=self.routes,
            claims=claims_task.ClaimsTask(
                self._clock,
                table=claims.ClaimTable(),
                view=self.view,
                mesh=self.mesh,
                membership=self.membership,
            ),
            losses=self.losses,
            chooser=chooser,
            budget=retry_budget.RetryBudget(),
        )
        self.forwarder = forwarder.Forwarder(self._reactor, dependencies)
        self.locator = request_locator.RequestLocator(
            self._clock,
            own_entry_vm=self.me,
            view=self.view,
            routes=self.routes,
            servers=self.placer.servers,
            chooser=chooser,
            losses=self.losses,
            queue_state=self.forwarder.queue_state,
            last_reply_at=self.lessor_task.lessor.last_reply_at,
        )
        counters = metrics.Metrics(self.registry)
        self.front_end = frontend.FrontEnd(
            self._reactor,
            self.routes,
            self.forwarder,
            limits=callerhttp.Limits(
                body_bytes_max=self._settings.body_bytes_max,
                idle_s=self._settings.caller_idle_s,
                connections_max=descriptors.caller_connections_max(descriptors.process_limit(None)),
            ),
            on_exceeded=counters.record_exceeded,
            on_finished=counters.observe_request,
        )
        self.evacuations = evacuations.EvacuationReports(view=self.view, counters=counters)
        self.metrics = metrics_task.MetricsTask(
            self._clock,
            counters=counters,
            view=self.view,
            lessor=self.lessor_task.lessor,
            placer=self.placer,
            forwarding=self.forwarder,
        )
        self._incarnation_by_server: dict[ids.ServerId, ids.Incarnation] = {}
        self._address_by_server: dict[ids.ServerId, str] = {}
        self.view.add_listener(self._view_changed)
        self.entry_vm_count = shares.EntryVmCount(self.me.vm, started_at=self._clock.seconds())

    def _view_changed(self, change: cluster_view.ViewChange) -> None:
        """Tell the forwarder which servers are LOST, restarted, removed or changed their address.

        Requests at a LOST server are aborted here, because nothing else would end them.
        """
        if change.configuration:
            declared = self.view.configuration.servers_by_id
            for server, address in list(self._address_by_server.items()):
                if server not in declared or declared[server].address != address:
                    self.forwarder.forget(server)
            self._address_by_server = {s: entry.address for s, entry in declared.items()}
        for server in change.servers:
            row = self.view.server_rows_by_id.get(server)
            if row is not None and row.state is model.ServerState.LOST:
                self.forwarder.close_connections_to(server)
            if row is not None and row.incarnation != self._incarnation_by_server.get(server):
                self._incarnation_by_server[server] = row.incarnation
                self.forwarder.forget_abandoned(server)

    def _address_of(self, server: ids.ServerId) -> str | None:
        declared = self.view.declared_server(server)
        return declared.address if declared is not None else None

    def _heartbeat(self) -> messages.Heartbeat:
        return messages.Heartbeat(
            digest=self.cache.digest,
            config_version=self.view.configuration.version,
            uptime_s=self._clock.seconds() - self._started_at,
            draining=self.draining,
            store_reachable=self.table_sync.reachable,
            silent_servers=self.lessor_task.silent_servers(),
            unanswered_by_server=self.send_permission.unanswered_by_server(),
        )

    def is_ready(self) -> bool:
        """Return whether the platform's load balancer should send callers to this entry VM."""
        return not self.draining and self.view.configuration.version > 0

    def start(self) -> None:
        """Open the peer listener and start all tasks; the caller listener opens once ready."""
        self.mesh.start(self._settings.peer_address)
        self.mesh.dial(self._settings.peers)
        self.table_sync.start()
        self.membership.start()
        self.lessor_task.start()
        self.reconciler.start()
        self.placer.start()
        self.traffic.start()
        self.metrics.start()
        self._housekeeping.start()

    def _open_listener(self) -> None:
        """Accept callers once services are known; earlier requests would be answered with 404."""
        if self._listening or not self.is_ready():
            return
        self._listening = True
        host, port = settings.split_address(self._settings.caller_address)
        self.front_end.listen(host, port)

    def _run_housekeeping(self) -> None:
        self._open_listener()
        now = self._clock.seconds()
        self.entry_vm_count.update([peer.entry_vm.vm for peer in self.mesh.live_peers()], now)
        self.forwarder.set_entry_vms(self.entry_vm_count.count(now))
        probed_servers = self.reconciler.probed_servers() | self.placer.probed_servers()
        self.lessor_task.lessor.set_probed_servers(probed_servers)
        zone_peers_reach_store = [
            peer.heartbeat is None or peer.heartbeat.store_reachable
            for peer in self.mesh.live_peers()
            if peer.entry_vm.zone == self.me.zone
        ]
        self.lessor_task.store_reachable = self.table_sync.reachable and all(zone_peers_reach_store)

    async def drain(self) -> None:
        """Shut down without aborting requests.

        Stops taking decisions and accepting callers, finishes the requests in flight within
        ``shutdown_limit_s``, and then waits for other entry VMs to take over the leases.
        """
        self.draining = True
        self.reconciler.stopping = True
        self.placer.stopping = True
        self.front_end.announce_drain()
        await task.deferLater(self._clock, DRAIN_NOTICE_S)
        await self.front_end.stop_accepting()
        finished = self.front_end.drained()
        finished.addTimeout(self._settings.shutdown_limit_s, self._reactor)
        try:
            await finished
        except defer.TimeoutError:
            _log.warning("shutdown limit reached with requests still in flight")
        await self._wait_until_replaced_as_lessor()
        self._stop()

    async def _wait_until_replaced_as_lessor(self) -> None:
        deadline = self._clock.seconds() + HANDOVER_MAX_S
        while self._is_lessor() and self._clock.seconds() < deadline:
            await task.deferLater(self._clock, _HOUSEKEEPING_S)

    def _is_lessor(self) -> bool:
        if not self.mesh.live_peers():
            return False
        me = self.lessor_task.lessor.self_ref
        return any(me in row.lessors for row in self.view.server_rows_by_id.values())

    def _stop(self) -> None:
        for component in (
            self.reconciler,
            self.placer,
            self.traffic,
            self.metrics,
            self.lessor_task,
            self.table_sync,
            self.membership,
        ):
            component.stop()
        self._housekeeping.stop()
        self.orders.close()
        self.forwarder.close()
        self.mesh.stop()
