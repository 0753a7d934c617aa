"""Process of an entry VM: connects the request path, the coordinator and the store watcher."""

from __future__ import annotations

import logging
import random
import sys
from collections.abc import Callable
from typing import Any

import prometheus_client
from twisted.internet import defer, error
from twisted.web import http as twisted_http

from celerystack import ids
from celerystack.fleet import directory_sync, evacuations, nodes, rows, servers
from celerystack.forwarding import owners
from celerystack.gateway import (
    calls,
    config,
    frontend,
    metrics,
    request_path,
    retries,
    settings,
    shutdown,
    store_watcher,
)
from celerystack.limits import body_account, cold_starts
from celerystack.ranges import coordinator, orders
from celerystack.requests import callerhttp

_log = logging.getLogger(__name__)

SHUTDOWN_MARGIN_S = 0.35
"""The shutdown ends this long before the platform would kill the process."""
KEEP_LISTENING_S = 2.5
"""Time after SIGTERM during which new connections still arrive, until the platform has noticed
that this VM is not ready."""


class CoordinatorKeyRouting:
    """Implements `attempts.KeyRouting` with the coordinator."""

    def __init__(self, coordination: coordinator.Coordinator) -> None:
        self._coordination = coordination
        self.find = coordination.range_maps.find
        self.changed = coordination.range_maps.changed
        self.on_change = coordination.range_maps.on_change
        self.map_version_and_confirmation = coordination.range_maps.version_and_confirmation
        self.grant_again = coordination.lessor.grant_again
        self.count_request = coordination.count_request
        self.record_service_time = coordination.record_service_time
        self.quarantine = coordination.quarantine
        self.admit = coordination.admission.admit

    @property
    def entry_vms(self) -> int:
        """Number of entry VMs that share the servers and the retry budget."""
        return self._coordination.entry_vms


class EntryVm:
    """Components of one entry VM.

    Parameters
    ----------
    now : callable
        Clock in seconds that keeps running while the VM is suspended.
    """

    def __init__(
        self,
        reactor: Any,
        node_settings: settings.NodeSettings,
        *,
        store: rows.RowStore,
        port: orders.OrderPort,
        row_layout: store_watcher.RowLayout,
        request_codec: calls.RequestCodec,
        now: Callable[[], float],
    ) -> None:
        self._reactor = reactor
        self.settings = node_settings
        self._now = now
        self.registry = prometheus_client.CollectorRegistry()
        self.metrics = metrics.RequestMetrics(self.registry)
        self.account = body_account.ByteAccount(
            node_settings.account_limits(callerhttp.Limits.body_bytes_max)
        )
        self.caller_metrics = metrics.CallerMetrics(self.registry, self.account)
        self.directory = servers.Directory()
        updates = directory_sync.DirectorySync(self.directory, now=now)
        evacuated = evacuations.Evacuations(binding_after_s=node_settings.evacuation_s, now=now)
        queue_owners = owners.QueueOwners(
            vm=node_settings.vm,
            now=now,
            forwarding_vms_min=node_settings.forwarding_vms_min,
        )
        metrics.register_task_errors(self.registry)
        metrics.register_evacuated_zones(self.registry, lambda: len(evacuated.zones))
        self._config: config.RoutingConfig | None = None
        self.stopping = False
        self.coordinator = coordinator.Coordinator(
            reactor,
            node=nodes.Node(
                vm=node_settings.vm, zone=node_settings.zone, address=node_settings.peer_address
            ),
            vm_incarnation=random.getrandbits(31),
            store=store,
            port=port,
            directory=self.directory,
            updates=updates,
            evacuated=evacuated,
            queue_owners=queue_owners,
            queue_weight=node_settings.queue_weight,
            sharded_services=self._sharded_services,
            avoids_cold=self._bounds_cold_requests,
            link_mbps=node_settings.link_mbps,
            is_small=node_settings.is_small,
            heartbeat_s=node_settings.heartbeat_s,
            now=now,
        )
        forwarding_metrics = metrics.ForwardingMetrics(self.registry)
        self.request_path = request_path.RequestPath(
            reactor,
            vm=node_settings.vm,
            zone=node_settings.zone,
            directory=self.directory,
            key_routing=CoordinatorKeyRouting(self.coordinator),
            queue_owners=queue_owners,
            cold_tolerance=cold_starts.ColdTolerance(
                overshoot=node_settings.cold_overshoot, slack=node_settings.cold_slack
            ),
            request_codec=request_codec,
            budget=retries.RetryBudgetShare(
                ratio=node_settings.retry_ratio,
                allowance=node_settings.retry_allowance,
                window_s=node_settings.retry_window_s,
            ),
            answer_budget=body_account.AnswerBudget(self.account),
            on_forwarded=forwarding_metrics.record_result,
            now=now,
        )
        forwarding_metrics.register_gauges(
            owners=lambda: len(queue_owners.owners),
            owned_servers=self.request_path.owned_servers,
            owned_calls=self.request_path.owned_calls,
            cold_rejections=self.request_path.cold_rejections,
        )
        self.coordinator.set_unreachable_source(self.request_path.refusing_servers)
        self.coordinator.set_queue_waits_source(
            self.request_path.server_queues.owned_wait_by_service
        )
        self.coordinator.set_rate_limits(self.request_path.rate_limits)
        self.frontend = frontend.FrontEnd(
            reactor,
            dispatcher=self.request_path.dispatcher,
            request_codec=request_codec,
            on_finished=self.metrics.record_reply,
            limits=node_settings.caller_limits(),
            account=self.account,
            on_exceeded=self.caller_metrics.record_exceeded,
            now=now,
        )
        self.store_watcher = store_watcher.StoreWatcher(
            reactor,
            store=store,
            row_layout=row_layout,
            directory=self.directory,
            updates=updates,
            evacuated=evacuated,
            on_config=self._apply,
            needs_confirmation=self.coordinator.lessor.needs_confirmation,
            entry_vms=lambda: self.coordinator.entry_vms,
            now=now,
        )

    def start(self) -> None:
        """Open the listeners and start all tasks."""
        _log.info(
            "entry VM %s is starting in zone %s",
            self.settings.vm,
            self.settings.zone,
            extra={"step": "start"},
        )
        self.frontend.listen(*self.settings.caller_address)
        host, port = self.settings.ready_address
        readiness_factory = callerhttp.CallerFactory(
            self._reactor, self._serve_readiness, limits=callerhttp.Limits(), now=self._now
        )
        self._reactor.listenTCP(port, readiness_factory, 64, host)
        host, port = self.settings.metrics_address
        metrics_factory = callerhttp.CallerFactory(
            self._reactor, self._serve_metrics, limits=callerhttp.Limits(), now=self._now
        )
        try:
            self._reactor.listenTCP(port, metrics_factory, 16, host)
        except error.CannotListenError as caught:
            _log.error(
                "metrics are not served because the port cannot be opened: %s",
                caught,
                extra={"step": "start"},
            )
        self.request_path.start(self.settings.peer_address)
        self.store_watcher.start()
        self.coordinator.start()

    def is_ready(self) -> bool:
        """Return whether this VM should receive new connections."""
        if self.stopping or self._config is None or not self.store_watcher.servers_known:
            return False
        if not self.frontend.accepts_connections:
            return False
        known = self.coordinator.range_maps.by_service
        return all(service in known for service in self._sharded_services())

    def reload(self, node_settings: settings.NodeSettings) -> None:
        """Replace the settings; only `grace_period_s` takes effect without a restart."""
        self.settings = node_settings
        _log.info("reloaded the settings", extra={"step": "reload"})

    async def stop(self) -> None:
        """Release the leadership, answer the requests that were read, and return."""
        self.stopping = True
        _log.info("shutting down", extra={"step": "stop"})
        deadline = self._now() + self.settings.grace_period_s - SHUTDOWN_MARGIN_S
        self.frontend.announce_drain(take_until=self._now() + KEEP_LISTENING_S, deadline=deadline)
        self.request_path.listener.announce_drain()
        await self.coordinator.stop()
        await self._sleep(KEEP_LISTENING_S)
        self.frontend.stop_accepting()
        for connections in (self.frontend, self.request_path.listener):
            await shutdown.finish_connections(
                connections, deadline=deadline, now=self._now, sleep=self._sleep
            )
        _log.info("stopped", extra={"step": "stop"})
        sys.stdout.flush()

    def _sleep(self, seconds: float) -> defer.Deferred[None]:
        done: defer.Deferred[None] = defer.Deferred()
        self._reactor.callLater(seconds, done.callback, None)
        return done

    def _serve_readiness(self, request: callerhttp.CallerRequest) -> None:
        status = 200 if self.is_ready() else 503
        request.answer(status, twisted_http.RESPONSES[status], ((b"Content-Length", b"0"),), b"")

    def _serve_metrics(self, request: callerhttp.CallerRequest) -> None:
        body = prometheus_client.generate_latest(self.registry)
        headers = (
            (b"Content-Type", prometheus_client.CONTENT_TYPE_LATEST.encode()),
            (b"Content-Length", b"%d" % len(body)),
        )
        request.answer(200, b"OK", headers, body)

    def _sharded_services(self) -> list[ids.ServiceName]:
        if self._config is None:
            return []
        return [name for name, policy in self._config.services_by_name.items() if policy.sharded]

    def _bounds_cold_requests(self, service: ids.ServiceName) -> bool:
        policy = None if self._config is None else self._config.services_by_name.get(service)
        return policy is not None and policy.cold.per_s > 0

    def _apply(self, routing: config.RoutingConfig) -> None:
        self._config = routing
        self.directory.add_services(routing.services_by_name)
        self.account.set_limits(self.settings.account_limits(routing.limits.body_bytes_max))
        self.request_path.apply(routing.services_by_name)
        self.frontend.apply(routing)
