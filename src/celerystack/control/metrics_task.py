"""Samples the state of this entry VM for metrics; counts moves and failed platform calls."""

from __future__ import annotations

from twisted.internet import interfaces

from celerystack import errors, ids, model, periodic, timing
from celerystack.control import change_builder, placer_task
from celerystack.control import view as cluster_view
from celerystack.lease import lessor as lessors
from celerystack.observe import audit, metrics
from celerystack.requests import forwarder

SAMPLE_S = 1.0
"""Interval of the samples in seconds."""
# MOVE_END also ends the moves away from draining servers, so BALANCE includes these. HOT_SPLIT
# moves nothing: it counts the keys that get shards of their own.
_KINDS_BY_ACTION = {
    audit.Action.ASSIGN: metrics.MoveKind.FIRST,
    audit.Action.TAKEOVER: metrics.MoveKind.TAKEOVER,
    audit.Action.MOVE_END: metrics.MoveKind.BALANCE,
    audit.Action.HOT_SPLIT: metrics.MoveKind.HOT_KEY,
}


class MetricsTask:
    """Updates the metrics of this entry VM."""

    def __init__(
        self,
        clock: interfaces.IReactorTime,
        *,
        counters: metrics.Metrics,
        view: cluster_view.ClusterView,
        lessor: lessors.Lessor,
        placer: placer_task.PlacerTask,
        forwarding: forwarder.Forwarder,
    ) -> None:
        self._clock = clock
        self._counters = counters
        self._view = view
        self._lessor = lessor
        self._placer = placer
        self._forwarder = forwarding
        self._known_servers: set[ids.ServerId] = set()
        self._loop = periodic.Periodic(clock, self._sample, interval_s=SAMPLE_S)

    def start(self) -> None:
        """Start sampling."""
        self._loop.start()

    def stop(self) -> None:
        """Stop sampling."""
        self._loop.stop()

    def committed(self, change: change_builder.Change) -> None:
        """Count the moves of a committed change."""
        kind = _KINDS_BY_ACTION.get(change.action)
        if kind is not None:
            service = ids.ServiceName(change.subject.partition("/")[2])
            self._counters.count_moves(service, kind, change.shards)

    def count_store_failure(self, error: errors.PlatformError) -> None:
        """Count a failed call to a platform service."""
        match error:
            case errors.PlatformUnavailableError():
                kind = metrics.StoreFailure.UNAVAILABLE
            case errors.TransactionConflictError():
                kind = metrics.StoreFailure.CONFLICT
            case _:
                kind = metrics.StoreFailure.ANSWER_LOST
        self._counters.count_store_failure(error.step, kind)

    def _sample(self) -> None:
        now = self._clock.seconds()
        self._counters.set_config_version(self._view.configuration.version)
        servers = set(self._view.configuration.servers_by_id)
        for server in self._known_servers - servers:
            self._counters.remove_server(server)
        self._known_servers = servers
        for server in servers:
            self._counters.set_lease_state(server, self._lease_state(server, now))
            self._counters.set_server_connections(server, len(self._forwarder.in_flight(server)))
        for service, count in self._placer.unowned_shards().items():
            self._counters.add_unavailable(service, count * SAMPLE_S)

    def _lease_state(self, server: ids.ServerId, now: float) -> metrics.LeaseState:
        row = self._view.server_rows_by_id.get(server)
        last_reply_at = self._lessor.last_reply_at(server)
        if row is not None and row.state is model.ServerState.LOST:
            return metrics.LeaseState.EXPIRED
        if last_reply_at is None or not self._lessor.may_grant_or_renew(server):
            return metrics.LeaseState.UNKNOWN
        if now - last_reply_at < timing.SUSPECT_S:
            return metrics.LeaseState.HELD
        expired = now - last_reply_at >= timing.LEASE_S
        return metrics.LeaseState.EXPIRED if expired else metrics.LeaseState.SUSPECT
