"""Commits the decisions for the servers of which this entry VM is the reconciler."""

from __future__ import annotations

import logging
from typing import Protocol

from twisted.internet import defer, interfaces

from celerystack import ids, model, periodic
from celerystack.control import (
    change_builder,
    changes,
    committer,
    ended_vms,
    membership_task,
    table_sync,
)
from celerystack.control import view as cluster_view
from celerystack.lease import evidence, reconciliation, takeover
from celerystack.lease import lessor as lessors
from celerystack.peers import mesh as peer_mesh
from celerystack.peers import messages

TICK_S = 0.1
"""Interval in seconds at which the decisions for all servers are taken."""
PAUSE_S = 0.5
"""A longer gap between two ticks counts as a pause of this process, after which messages may still
be unread; servers and peers are then observed anew before they count as silent."""

_log = logging.getLogger(__name__)


class ReceiverPlanner(Protocol):
    """Chooses receivers for the shards of a lost server."""

    def receivers(
        self, lost: ids.ServerId
    ) -> dict[tuple[ids.ServiceName, ids.ShardId], ids.ServerId | None]:
        """Return the receiver of each shard that ``lost`` owns; None if there is none."""


class SendPermission(Protocol):
    """Tells whether entry VMs have stopped sending to a server that does not check tokens."""

    def senders_stopped(self, server: ids.ServerId, *, server_replies: bool) -> bool:
        """Return whether no entry VM can still send to the server on the basis of older rows."""

    def has_no_unanswered_requests(self, server: ids.ServerId) -> bool:
        """Return whether this entry VM has no unanswered request at the server."""


class ReconcilerTask:
    """Reconciles the rows of servers with what is observed of them.

    Decisions are stored in the rows, so another entry VM can become the reconciler at any time.
    """

    def __init__(
        self,
        clock: interfaces.IReactorTime,
        *,
        view: cluster_view.ClusterView,
        mesh: peer_mesh.Mesh,
        lessor: lessors.Lessor,
        committer: committer.Committer,
        table_sync: table_sync.TableSync,
        membership: membership_task.MembershipTask,
        planner: ReceiverPlanner,
        send_permission: SendPermission,
    ) -> None:
        self._clock = clock
        self._view = view
        self._mesh = mesh
        self._lessor = lessor
        self._committer = committer
        self._table_sync = table_sync
        self._membership = membership
        self._ended = ended_vms.EndedEntryVms(mesh=mesh, membership=membership)
        self._planner = planner
        self._send_permission = send_permission
        self._observed_since_by_server: dict[ids.ServerId, float] = {}
        self._takeovers_by_server: dict[ids.ServerId, takeover.Takeover] = {}
        self._release_seen_by_server: dict[ids.ServerId, float] = {}
        self._committing: set[ids.ServerId] = set()
        self._last_tick = clock.seconds()
        self._loop = periodic.Periodic(clock, self._tick, interval_s=TICK_S)
        self.stopping = False
        mesh.add_handler(self._handle)

    def start(self) -> None:
        """Start reconciling."""
        self._loop.start()

    def stop(self) -> None:
        """Stop reconciling."""
        self._loop.stop()

    def probed_servers(self) -> frozenset[ids.ServerId]:
        """Return the servers of which this entry VM is the reconciler."""
        return frozenset(self._observed_since_by_server)

    def _handle(self, _sender: model.EntryVm, message: messages.Message) -> None:
        match message:
            case messages.PromiseReply(server=server) if server in self._takeovers_by_server:
                self._takeovers_by_server[server].on_promise(message, self._clock.seconds())

    def _tick(self) -> None:
        now = self._clock.seconds()
        if now - self._last_tick > PAUSE_S:
            self._observed_since_by_server = dict.fromkeys(self._observed_since_by_server, now)
        self._last_tick = now
        live = self._mesh.live_entry_vms()
        declared = self._view.configuration.servers_by_id
        for server in sorted({*declared, *self._view.server_rows_by_id}):
            if self._is_reconciler(server, live):
                self._observed_since_by_server.setdefault(server, now)
                self._reconcile(server, now)
            else:
                self._observed_since_by_server.pop(server, None)
                self._takeovers_by_server.pop(server, None)

    def _is_reconciler(self, server: ids.ServerId, live: list[model.EntryVm]) -> bool:
        row = self._view.server_rows_by_id.get(server)
        reconciler = reconciliation.reconciler_of(row, self._zone(server), live, server=server)
        return reconciler == self._mesh.own_entry_vm.vm and not self.stopping

    def _zone(self, server: ids.ServerId) -> ids.ZoneName:
        declared = self._view.declared_server(server)
        return declared.zone if declared is not None else ids.ZoneName("")

    def _reconcile(self, server: ids.ServerId, now: float) -> None:
        if server in self._committing:
            return
        if self._answered_after_release(server, now):
            self._start_commit(server, changes.withdraw_release(self._view, server))
            return
        decision = reconciliation.decide(self._server_view(server, now), now)
        row = self._view.server_rows_by_id.get(server)
        if not isinstance(decision, reconciliation.StartTakeover):
            self._takeovers_by_server.pop(server, None)
        match decision:
            case reconciliation.CreateRow(chosen, incarnation):
                self._start_commit(
                    server, changes.create_server(self._view, server, chosen, incarnation)
                )
            case reconciliation.ReplaceLessors(chosen, previous) if row is not None:
                # The reason also covers lessors that drain, are in another zone or have promised,
                # and deputies whose role must end.
                change = changes.replace_lessors(
                    self._view,
                    row,
                    lessors=chosen,
                    previous=previous,
                    incarnation=row.incarnation,
                    reason="lessor silent or missing",
                )
                self._start_commit(server, change)
            case reconciliation.ClearPreviousLessors() if row is not None:
                self._start_commit(server, changes.clear_previous_lessors(self._view, row))
            case reconciliation.Reactivate(chosen, previous, incarnation) if row is not None:
                # The reason covers rows in state LOST or SUSPENDED, new incarnations, and servers
                # none of whose lessors may stay.
                change = changes.replace_lessors(
                    self._view,
                    row,
                    lessors=chosen,
                    previous=previous,
                    incarnation=incarnation,
                    reason="server answers",
                )
                self._start_commit(server, change)
            case reconciliation.StartTakeover() if row is not None:
                self._advance_takeover(server, row, now)

    def _answered_after_release(self, server: ids.ServerId, now: float) -> bool:
        """Return whether the server has answered since an operator's evidence of its loss was seen.

        The evidence must then be withdrawn, or it would later apply to a process that is only
        suspended.
        """
        if not self._view.release_row(server).value:
            self._release_seen_by_server.pop(server, None)
            return False
        seen_at = self._release_seen_by_server.setdefault(server, now)
        replied_at = self._lessor.last_reply_at(server)
        return replied_at is not None and replied_at > seen_at

    def _server_view(self, server: ids.ServerId, now: float) -> reconciliation.ServerView:
        me = reconciliation.PeerView(peer=self._mesh.own_entry_vm, last_heard_at=now)
        others = [
            reconciliation.PeerView(
                peer=peer.entry_vm,
                last_heard_at=peer.last_heard_at,
                draining=peer.heartbeat is not None and peer.heartbeat.draining,
            )
            for peer in self._mesh.peers_by_vm.values()
        ]
        current = self._takeovers_by_server.get(server)
        promised = current.promised() if current is not None else frozenset()
        if self._lessor.has_promised(server):
            promised |= {self._lessor.self_ref}
        return reconciliation.ServerView(
            server=server,
            zone=self._zone(server),
            row=self._view.server_rows_by_id.get(server),
            peers=(me, *others),
            observed_since=self._observed_since_by_server[server],
            last_reply_at=self._lessor.last_reply_at(server),
            seen_incarnation=self._lessor.seen_incarnation(server),
            acknowledged_token=self._lessor.acknowledged_token(server),
            acknowledged_at=self._lessor.acknowledged_at(server),
            promised_lessors=promised,
            table_reachable=self._table_sync.reachable,
            has_deputies=bool(self._lessor.deputies(server)),
        )

    def _advance_takeover(self, server: ids.ServerId, row: model.ServerRow, now: float) -> None:
        current = self._takeovers_by_server.get(server)
        if current is None or current.is_superseded(row):
            _log.info("server %s does not reply; requesting promises from its lessors", server)
            current = self._takeovers_by_server[server] = takeover.Takeover(row, now=now)
        found = self._find_evidence(server, row)
        if found is not None:
            current.on_evidence(found)
        self._record_ended_lessors(current, self._zone(server), now)
        for lessor, request in current.requests().items():
            self._mesh.send(lessor.vm, request)
        match current.state(now):
            case takeover.Ready(evidence=loss_evidence):
                self._commit_takeover(server, row, loss_evidence)
            case takeover.Blocked(lessors=silent):
                names = ",".join(sorted(lessor.vm for lessor in silent))
                _log.debug("takeover of %s waits for lessors %s", server, names)

    def _record_ended_lessors(
        self, current: takeover.Takeover, zone: ids.ZoneName, now: float
    ) -> None:
        """Record lessors whose processes have ended, if all other entry VMs of the zone are known.

        An entry VM that is silent but has not ended may be a deputy, so it blocks the takeover.
        """
        ended = [ref for ref in current.missing() if self._ended.has_ended(ref)]
        if not ended:
            return
        running = self._ended.running_in(zone)
        if running is not None:
            for lessor in ended:
                current.on_ended(lessor, running, now)

    def _commit_takeover(
        self, server: ids.ServerId, row: model.ServerRow, loss_evidence: evidence.Evidence | None
    ) -> None:
        if loss_evidence is None and not self._view.checks_token(server):
            if row.state is model.ServerState.ACTIVE:
                self._start_commit(server, changes.suspend(self._view, row))
                return
            if not (
                self._send_permission.has_no_unanswered_requests(server)
                and self._send_permission.senders_stopped(server, server_replies=False)
            ):
                return
        change = changes.take_over(
            self._view,
            row,
            targets_by_shard=self._planner.receivers(server),
            reason=loss_evidence.value
            if loss_evidence is not None
            else "all lessors promised, lease expired",
        )
        self._start_commit(server, change)

    def _find_evidence(
        self, server: ids.ServerId, row: model.ServerRow
    ) -> evidence.Evidence | None:
        if self._view.release_row(server).value:
            return evidence.Evidence.RELEASED_BY_OPERATOR
        service = self._view.service_of(server)
        zones = frozenset(entry_vm.zone for entry_vm in self._mesh.live_entry_vms())
        return evidence.from_delisting(
            self._membership.history,
            row=row,
            zone=self._zone(server),
            connected_zones=zones,
            zone_loss=service.zone_loss if service else model.ZoneLossPolicy.WAIT,
        )

    def _start_commit(self, server: ids.ServerId, change: change_builder.Change) -> None:
        self._committing.add(server)
        committed = defer.ensureDeferred(self._committer.commit(change))
        committed.addErrback(
            lambda failure: _log.error(
                "commit of a server change failed: %s", failure.getTraceback()
            )
        )
        committed.addBoth(lambda _: self._committing.discard(server))
