"""Plans and commits the placement of shards, for the services of which this VM is the placer."""

from __future__ import annotations

import logging
from collections.abc import Callable

from twisted.internet import defer, interfaces

from celerystack import ids, model, periodic
from celerystack.control import (
    change_builder,
    changes,
    committer,
    membership_task,
    server_status,
    traffic_task,
)
from celerystack.control import view as cluster_view
from celerystack.lease import lessor as lessors
from celerystack.peers import mesh as peer_mesh
from celerystack.placement import assign, churn, hot_keys

TICK_S = 0.2
FIRST_ASSIGNMENT_WAIT_S = 2.0
"""Longest time that the first assignment of a service waits for servers that do not answer yet."""

BALANCE_S = 1.0
"""Interval of balancing: planning takes milliseconds per thousand shards, and loads change within
seconds."""

CONCURRENT_MOVES_MAX = 8
"""Limit per service, because requests for a shard are held while it moves."""

_log = logging.getLogger(__name__)

ShardTargets = dict[tuple[ids.ServiceName, ids.ShardId], ids.ServerId | None]


class PlacerTask:
    """Assigns and moves shards; implements `reconciler_task.ReceiverPlanner`.

    Parameters
    ----------
    senders_stopped : callable
        Whether no entry VM can still send to a server that does not check tokens, and this entry VM
        has no unanswered request there.

    Attributes
    ----------
    servers : ServerStatus
        Tells which servers may receive or release shards.
    """

    def __init__(
        self,
        clock: interfaces.IReactorTime,
        *,
        view: cluster_view.ClusterView,
        mesh: peer_mesh.Mesh,
        lessor: lessors.Lessor,
        committer: committer.Committer,
        membership: membership_task.MembershipTask,
        traffic: traffic_task.TrafficTask,
        senders_stopped: Callable[[ids.ServerId], bool],
    ) -> None:
        self._clock = clock
        self._view = view
        self._mesh = mesh
        self._lessor = lessor
        self._committer = committer
        self.servers = server_status.ServerStatus(
            clock, view=view, mesh=mesh, lessor=lessor, membership=membership
        )
        self._senders_stopped = senders_stopped
        self._traffic = traffic
        self._balance_at_by_service: dict[ids.ServiceName, float] = {}
        self._policies_by_service: dict[ids.ServiceName, hot_keys.HotKeyPolicy] = {}
        self._first_seen_by_service: dict[ids.ServiceName, float] = {}
        self._budgets_by_service: dict[ids.ServiceName, churn.ChurnBudget] = {}
        self._committing: set[ids.ServiceName] = set()
        self._probed_servers: set[ids.ServerId] = set()
        self._loop = periodic.Periodic(clock, self._tick, interval_s=TICK_S)
        self.stopping = False

    def start(self) -> None:
        """Start placing shards."""
        self._loop.start()

    def stop(self) -> None:
        """Stop placing shards."""
        self._loop.stop()

    def probed_servers(self) -> frozenset[ids.ServerId]:
        """Return the servers that are to release shards for moves planned by this entry VM."""
        return frozenset(self._probed_servers)

    def unowned_shards(self) -> dict[ids.ServiceName, int]:
        """Return the number of shards without an owner, by service placed by this entry VM."""
        return {
            service: sum(1 for owner in self._owner_by_shard(service).values() if owner is None)
            for service in self._first_seen_by_service
        }

    def receivers(self, lost: ids.ServerId) -> ShardTargets:
        """Return the receiver of each shard that a lost server owns; None if there is none."""
        targets: ShardTargets = {}
        for name, service in self._view.configuration.services_by_name.items():
            if service.divided:
                targets |= self._receivers_of(name, lost)
        return targets

    def _receivers_of(self, service: ids.ServiceName, lost: ids.ServerId) -> ShardTargets:
        owner_by_shard = self._owner_by_shard(service)
        owned = [shard for shard, owner in owner_by_shard.items() if owner == lost]
        if not owned:
            return {}
        former_zone_by_shard = {shard: self.servers.zone(lost) for shard in owned}
        unowned: dict[ids.ShardId, ids.ServerId | None] = dict.fromkeys(owned)
        plan = self._plan(
            service, {**owner_by_shard, **unowned}, former_zone_by_shard, budget=0, lost=lost
        )
        chosen = {a.shard: a.target for a in plan.assigns}
        return {(service, shard): chosen.get(shard) for shard in owned}

    def _owner_by_shard(self, service: ids.ServiceName) -> dict[ids.ShardId, ids.ServerId | None]:
        return {
            shard: chunk.owner(shard)
            for _, chunk in self._view.chunks(service)
            for shard in chunk.shards()
        }

    def _moves(self, service: ids.ServiceName) -> dict[ids.ShardId, tuple[str, str]]:
        return {
            shard: (move.source, move.target)
            for _, chunk in self._view.chunks(service)
            for shard, move in chunk.moves_by_shard.items()
        }

    def _plan(
        self,
        service: ids.ServiceName,
        owner_by_shard: dict[ids.ShardId, ids.ServerId | None],
        former_zone_by_shard: dict[ids.ShardId, ids.ZoneName],
        *,
        budget: float,
        fixed_shards: frozenset[ids.ShardId] = frozenset(),
        lost: ids.ServerId | None = None,
    ) -> assign.Plan:
        moves = self._moves(service)
        planned = {
            **owner_by_shard,
            **{shard: ids.ServerId(target) for shard, (_, target) in moves.items()},
        }
        state = assign.build_state(
            servers=[
                self.servers.placement_server(server, lost=server.server == lost)
                for server in self._view.servers_of(service)
            ],
            owner_by_shard=planned,
            load_by_shard=self._traffic.shard_rates(service),
            churn_budget=budget,
            fixed_shards={*moves, *fixed_shards},
            former_zone_by_shard=former_zone_by_shard,
        )
        return assign.plan(state, self._clock.seconds())

    def _tick(self) -> None:
        self.servers.record_usable_since()
        self._probed_servers = set()
        live = self._mesh.live_entry_vms()
        for name, service in self._view.configuration.services_by_name.items():
            placer = traffic_task.placer_of(name, live)
            if service.divided and placer == self._mesh.own_entry_vm.vm and not self.stopping:
                self._first_seen_by_service.setdefault(name, self._clock.seconds())
                self._advance_placement(service)
            else:
                self._first_seen_by_service.pop(name, None)

    def _advance_placement(self, service: model.Service) -> None:
        moves = self._moves(service.name)
        self._probed_servers |= {ids.ServerId(source) for source, _ in moves.values()}
        if service.name in self._committing:
            return
        change = self._next_change(service, moves)
        if change is not None:
            self._start_commit(service.name, change)

    def _next_change(
        self, service: model.Service, moves: dict[ids.ShardId, tuple[str, str]]
    ) -> change_builder.Change | None:
        if not self._view.chunks(service.name):
            return changes.create_map(self._view, service)
        owner_by_shard = self._owner_by_shard(service.name)
        if self._waits_for_servers(service, owner_by_shard, moves):
            return None
        finished = self._finished_moves(service.name, moves)
        if finished:
            return changes.finish_moves(self._view, service.name, finished)
        if not self._is_due(service.name, owner_by_shard, moves):
            return None
        budget = self._budget(service, len(owner_by_shard)).available(self._clock.seconds())
        hot = self._hot_plan(service, owner_by_shard, moves, budget)
        plan = self._plan(
            service.name, owner_by_shard, {}, budget=budget, fixed_shards=hot.cooled_shards
        )
        if plan.assigns:
            targets = {a.shard: a.target for a in plan.assigns}
            return changes.assign(self._view, service.name, targets)
        base_by_key = {
            split.key_hash: split.base
            for split in hot.splits
            if self.servers.can_release(owner_by_shard[split.base] or ids.ServerId(""))
        }
        if base_by_key:
            return changes.split_hot_keys(self._view, service.name, base_by_key)
        if hot.merges:
            base_by_shard = {merge.shard: merge.base for merge in hot.merges}
            return changes.merge_hot_shards(self._view, service.name, base_by_shard)
        candidates = (*plan.moves[: plan.drain_moves], *hot.moves, *plan.moves[plan.drain_moves :])
        return self._start_moves(service, candidates, moves_max=CONCURRENT_MOVES_MAX - len(moves))

    def _is_due(
        self,
        service: ids.ServiceName,
        owner_by_shard: dict[ids.ShardId, ids.ServerId | None],
        moves: dict[ids.ShardId, tuple[str, str]],
    ) -> bool:
        """Return whether to plan now.

        Moves in progress, shards without an owner and leaving servers are handled at every tick,
        balancing alone every `BALANCE_S`.
        """
        now = self._clock.seconds()
        current = set(owner_by_shard.values())
        urgent = moves or None in current or any(self.servers.is_leaving(s) for s in current if s)
        if not urgent and now < self._balance_at_by_service.get(service, 0.0):
            return False
        self._balance_at_by_service[service] = now + BALANCE_S
        return True

    def _hot_plan(
        self,
        service: model.Service,
        owner_by_shard: dict[ids.ShardId, ids.ServerId | None],
        moves: dict[ids.ShardId, tuple[str, str]],
        budget: float,
    ) -> hot_keys.HotKeyPlan:
        if not service.hot_keys:
            return hot_keys.HotKeyPlan()
        rates = self._traffic.shard_rates(service.name)
        load_by_server = {
            server.server: 0.0
            for server in self._view.servers_of(service.name)
            if self.servers.may_receive(server)
        }
        for shard, owner in owner_by_shard.items():
            declared = self._view.declared_server(owner) if owner is not None else None
            if declared is not None and declared.server in load_by_server:
                load_by_server[declared.server] += rates.get(shard, 0.0) / declared.weight
        hot_shards = {
            shard: hot.key_hash
            for _, chunk in self._view.chunks(service.name)
            for shard, hot in chunk.hot_by_shard.items()
        }
        state = hot_keys.HotKeyState(
            rates=self._traffic.key_rates(service.name),
            base_shards=len(owner_by_shard) - len(hot_shards),
            owner_by_shard=owner_by_shard,
            key_by_hot_shard=hot_shards,
            load_by_server=load_by_server,
            moving_shards=frozenset(moves),
            churn_budget=budget,
        )
        policy = self._policies_by_service.setdefault(service.name, hot_keys.HotKeyPolicy())
        return policy.decide(state, self._clock.seconds())

    def _waits_for_servers(
        self,
        service: model.Service,
        owner_by_shard: dict[ids.ShardId, ids.ServerId | None],
        moves: dict[ids.ShardId, tuple[str, str]],
    ) -> bool:
        """Return whether the first assignment of a service has to wait for more servers."""
        if moves or any(owner is not None for owner in owner_by_shard.values()):
            return False
        server_ids = [server.server for server in self._view.servers_of(service.name)]
        waited_s = self._clock.seconds() - self._first_seen_by_service[service.name]
        all_ready = all(self.servers.is_usable(n) or self.servers.is_leaving(n) for n in server_ids)
        return not all_ready and waited_s < FIRST_ASSIGNMENT_WAIT_S

    def _finished_moves(
        self, service: ids.ServiceName, moves: dict[ids.ShardId, tuple[str, str]]
    ) -> dict[ids.ShardId, ids.ServerId]:
        released = {
            shard: ids.ServerId(target)
            for shard, (source, target) in moves.items()
            if self._has_released(ids.ServerId(source))
        }
        without_receiver = [
            shard for shard, target in released.items() if not self.servers.is_usable(target)
        ]
        if without_receiver:
            unowned: dict[ids.ShardId, ids.ServerId | None] = dict.fromkeys(without_receiver)
            released |= self._replan(service, unowned)
        return {shard: t for shard, t in released.items() if self.servers.is_usable(t)}

    def _replan(
        self, service: ids.ServiceName, unowned: dict[ids.ShardId, ids.ServerId | None]
    ) -> dict[ids.ShardId, ids.ServerId]:
        """Return new receivers for released shards whose receiver is no longer usable."""
        state = assign.build_state(
            servers=[
                self.servers.placement_server(server, lost=False)
                for server in self._view.servers_of(service)
            ],
            owner_by_shard={**self._owner_by_shard(service), **unowned},
        )
        plan = assign.plan(state, self._clock.seconds())
        return {a.shard: a.target for a in plan.assigns if a.shard in unowned}

    def _has_released(self, source: ids.ServerId) -> bool:
        """Return whether nothing runs at a source any more for the shards taken from it."""
        row = self._view.server_rows_by_id.get(source)
        if row is None or row.state is model.ServerState.LOST:
            return True
        acknowledged = self._lessor.acknowledged_token(source) == row.token
        done = acknowledged and self._lessor.running_dropped(source) == 0
        return done and (self._view.checks_token(source) or self._senders_stopped(source))

    def _start_moves(
        self, service: model.Service, candidates: tuple[assign.MoveShard, ...], *, moves_max: int
    ) -> change_builder.Change | None:
        chosen = candidates[: max(0, moves_max)]
        # If the source cannot acknowledge the release, requests for the shard are held in vain.
        chosen = tuple(move for move in chosen if self.servers.can_release(move.source))
        if not chosen:
            return None
        balancing = [move for move in chosen if not self.servers.is_leaving(move.source)]
        budget = self._budgets_by_service[service.name]
        budget.spend(assign.churn_cost(balancing), self._clock.seconds())
        targets = {move.shard: move.target for move in chosen}
        reason = "balance" if balancing else "drain"
        return changes.start_moves(self._view, service.name, targets, reason=reason)

    def _budget(self, service: model.Service, shards: int) -> churn.ChurnBudget:
        if service.name not in self._budgets_by_service:
            self._budgets_by_service[service.name] = churn.ChurnBudget(
                share=service.churn_per_minute, shards=shards
            )
        return self._budgets_by_service[service.name]

    def _start_commit(self, service: ids.ServiceName, change: change_builder.Change) -> None:
        self._committing.add(service)
        committed = defer.ensureDeferred(self._committer.commit(change))
        committed.addErrback(
            lambda failure: _log.error(
                "commit of a placement change failed: %s", failure.getTraceback()
            )
        )
        committed.addBoth(lambda _: self._committing.discard(service))
