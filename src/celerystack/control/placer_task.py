"""Plans and carries out the assignment of shards for the services placed by this entry VM."""

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
from celerystack.placement import assign, churn, hotkeys

TICK_S = 0.2
FIRST_ASSIGNMENT_WAIT_S = 2.0
"""How long the first assignment of a service waits for servers that have not answered yet."""

BALANCE_S = 1.0
"""Planning costs milliseconds per thousand shards, and loads change within seconds."""

MOVES_AT_ONCE = 8
"""Moves in progress per service; the requests for a moving shard are held."""

_log = logging.getLogger(__name__)

ShardTargets = dict[tuple[ids.ServiceName, ids.ShardId], ids.ServerId | None]


class PlacerTask:
    """Places shards; implements `steward_task.ReceiverPlanner`.

    Parameters
    ----------
    released : callable
        Whether the entry VMs have stopped sending to a server that checks no tokens.

    Attributes
    ----------
    servers : ServerStatus
        Which servers may receive or release shards.
    """

    def __init__(
        self,
        clock: interfaces.IReactorTime,
        *,
        view: cluster_view.ClusterView,
        mesh: peer_mesh.Mesh,
        lessor: lessors.Lessor,
        commits: committer.Committer,
        membership: membership_task.MembershipTask,
        traffic: traffic_task.TrafficTask,
        released: Callable[[ids.ServerId], bool],
    ) -> None:
        self._clock = clock
        self._view = view
        self._mesh = mesh
        self._lessor = lessor
        self._commits = commits
        self.servers = server_status.ServerStatus(
            clock, view=view, mesh=mesh, lessor=lessor, membership=membership
        )
        self._released = released
        self._traffic = traffic
        self._balance_at_by_service: dict[ids.ServiceName, float] = {}
        self._policies_by_service: dict[ids.ServiceName, hotkeys.HotKeyPolicy] = {}
        self._first_seen_by_service: dict[ids.ServiceName, float] = {}
        self._budgets_by_service: dict[ids.ServiceName, churn.ChurnBudget] = {}
        self._busy: set[ids.ServiceName] = set()
        self._watched: set[ids.ServerId] = set()
        self._loop = periodic.Periodic(clock, self._tick, interval_s=TICK_S)
        self.stopping = False

    def start(self) -> None:
        """Start placing."""
        self._loop.start()

    def stop(self) -> None:
        """Stop placing."""
        self._loop.stop()

    def watched(self) -> frozenset[ids.ServerId]:
        """Return the servers whose release this entry VM waits for."""
        return frozenset(self._watched)

    def unowned_shards(self) -> dict[ids.ServiceName, int]:
        """Return the number of shards without owner, for the services that are placed here."""
        return {
            service: sum(1 for owner in self._owners(service).values() if owner is None)
            for service in self._first_seen_by_service
        }

    def receivers(self, lost: ids.ServerId) -> ShardTargets:
        """Return the receiver of each shard that a lost server owns."""
        targets: ShardTargets = {}
        for name, service in self._view.configuration.services_by_name.items():
            if service.divided:
                targets |= self._receivers_of(name, lost)
        return targets

    def _receivers_of(self, service: ids.ServiceName, lost: ids.ServerId) -> ShardTargets:
        owners = self._owners(service)
        owned = [shard for shard, owner in owners.items() if owner == lost]
        if not owned:
            return {}
        former = {shard: self.servers.zone(lost) for shard in owned}
        free: dict[ids.ShardId, ids.ServerId | None] = dict.fromkeys(owned)
        plan = self._plan(service, {**owners, **free}, former, budget=0, without=lost)
        chosen = {a.shard: a.target for a in plan.assigns}
        return {(service, shard): chosen.get(shard) for shard in owned}

    def _owners(self, service: ids.ServiceName) -> dict[ids.ShardId, ids.ServerId | None]:
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
        owners: dict[ids.ShardId, ids.ServerId | None],
        former: dict[ids.ShardId, ids.ZoneName],
        *,
        budget: float,
        fixed: frozenset[ids.ShardId] = frozenset(),
        without: ids.ServerId | None = None,
    ) -> assign.Plan:
        moves = self._moves(service)
        planned = {
            **owners,
            **{shard: ids.ServerId(target) for shard, (_, target) in moves.items()},
        }
        state = assign.build_state(
            servers=[
                self.servers.placement_server(server, lost=server.server == without)
                for server in self._view.servers_of(service)
            ],
            owner_by_shard=planned,
            load_by_shard=self._traffic.shard_rates(service),
            churn_budget=budget,
            fixed_shards={*moves, *fixed},
            former_zone_by_shard=former,
        )
        return assign.plan(state, self._clock.seconds())

    def _tick(self) -> None:
        self.servers.note_usable()
        self._watched = set()
        live = self._mesh.live_entry_vms()
        for name, service in self._view.configuration.services_by_name.items():
            placer = traffic_task.placer_of(name, live)
            if service.divided and placer == self._mesh.me.vm and not self.stopping:
                self._first_seen_by_service.setdefault(name, self._clock.seconds())
                self._consider(service)
            else:
                self._first_seen_by_service.pop(name, None)

    def _consider(self, service: model.Service) -> None:
        moves = self._moves(service.name)
        self._watched |= {ids.ServerId(source) for source, _ in moves.values()}
        if service.name in self._busy:
            return
        change = self._next_change(service, moves)
        if change is not None:
            self._run(service.name, change)

    def _next_change(
        self, service: model.Service, moves: dict[ids.ShardId, tuple[str, str]]
    ) -> change_builder.Change | None:
        if not self._view.chunks(service.name):
            return changes.create_map(self._view, service)
        owners = self._owners(service.name)
        if self._waits_for_servers(service, owners, moves):
            return None
        finished = self._finished_moves(service.name, moves)
        if finished:
            return changes.finish_moves(self._view, service.name, finished)
        if not self._is_due(service.name, owners, moves):
            return None
        budget = self._budget(service, len(owners)).available(self._clock.seconds())
        hot = self._hot_plan(service, owners, moves, budget)
        plan = self._plan(service.name, owners, {}, budget=budget, fixed=hot.cooling_shards)
        if plan.assigns:
            targets = {a.shard: a.target for a in plan.assigns}
            return changes.assign(self._view, service.name, targets)
        base_by_key = {
            split.key_hash: split.base
            for split in hot.splits
            if self.servers.can_release(owners[split.base] or ids.ServerId(""))
        }
        if base_by_key:
            return changes.split_hot_keys(self._view, service.name, base_by_key)
        if hot.merges:
            base_by_shard = {merge.shard: merge.base for merge in hot.merges}
            return changes.merge_hot_shards(self._view, service.name, base_by_shard)
        wanted = (*plan.moves[: plan.drain_moves], *hot.moves, *plan.moves[plan.drain_moves :])
        return self._start_moves(service, wanted, room=MOVES_AT_ONCE - len(moves))

    def _is_due(
        self,
        service: ids.ServiceName,
        owners: dict[ids.ShardId, ids.ServerId | None],
        moves: dict[ids.ShardId, tuple[str, str]],
    ) -> bool:
        """Return whether to plan now; balancing alone is planned every `BALANCE_S`."""
        now = self._clock.seconds()
        current = set(owners.values())
        urgent = moves or None in current or any(self.servers.is_leaving(s) for s in current if s)
        if not urgent and now < self._balance_at_by_service.get(service, 0.0):
            return False
        self._balance_at_by_service[service] = now + BALANCE_S
        return True

    def _hot_plan(
        self,
        service: model.Service,
        owners: dict[ids.ShardId, ids.ServerId | None],
        moves: dict[ids.ShardId, tuple[str, str]],
        budget: float,
    ) -> hotkeys.HotPlan:
        if not service.hot_keys:
            return hotkeys.HotPlan()
        rates = self._traffic.shard_rates(service.name)
        load_by_server = {
            server.server: 0.0
            for server in self._view.servers_of(service.name)
            if self.servers.may_receive(server)
        }
        for shard, owner in owners.items():
            declared = self._view.declared(owner) if owner is not None else None
            if declared is not None and declared.server in load_by_server:
                load_by_server[declared.server] += rates.get(shard, 0.0) / declared.weight
        hot_shards = {
            shard: hot.key_hash
            for _, chunk in self._view.chunks(service.name)
            for shard, hot in chunk.hot_by_shard.items()
        }
        state = hotkeys.HotState(
            rates=self._traffic.key_rates(service.name),
            base_shards=len(owners) - len(hot_shards),
            owner_by_shard=owners,
            key_by_hot_shard=hot_shards,
            load_by_server=load_by_server,
            moving_shards=frozenset(moves),
            churn_budget=budget,
        )
        policy = self._policies_by_service.setdefault(service.name, hotkeys.HotKeyPolicy())
        return policy.decide(state, self._clock.seconds())

    def _waits_for_servers(
        self,
        service: model.Service,
        owners: dict[ids.ShardId, ids.ServerId | None],
        moves: dict[ids.ShardId, tuple[str, str]],
    ) -> bool:
        if moves or any(owner is not None for owner in owners.values()):
            return False
        names = [server.server for server in self._view.servers_of(service.name)]
        waited = self._clock.seconds() - self._first_seen_by_service[service.name]
        everyone = all(self.servers.is_usable(n) or self.servers.is_leaving(n) for n in names)
        return not everyone and waited < FIRST_ASSIGNMENT_WAIT_S

    def _finished_moves(
        self, service: ids.ServiceName, moves: dict[ids.ShardId, tuple[str, str]]
    ) -> dict[ids.ShardId, ids.ServerId]:
        released = {
            shard: ids.ServerId(target)
            for shard, (source, target) in moves.items()
            if self._has_released(ids.ServerId(source))
        }
        orphans = [
            shard for shard, target in released.items() if not self.servers.is_usable(target)
        ]
        if orphans:
            owners: dict[ids.ShardId, ids.ServerId | None] = dict.fromkeys(orphans)
            released |= self._replan(service, owners)
        return {shard: t for shard, t in released.items() if self.servers.is_usable(t)}

    def _replan(
        self, service: ids.ServiceName, owners: dict[ids.ShardId, ids.ServerId | None]
    ) -> dict[ids.ShardId, ids.ServerId]:
        state = assign.build_state(
            servers=[
                self.servers.placement_server(server, lost=False)
                for server in self._view.servers_of(service)
            ],
            owner_by_shard={**self._owners(service), **owners},
        )
        plan = assign.plan(state, self._clock.seconds())
        return {a.shard: a.target for a in plan.assigns if a.shard in owners}

    def _has_released(self, source: ids.ServerId) -> bool:
        row = self._view.server_rows_by_id.get(source)
        if row is None or row.state is model.ServerState.LOST:
            return True
        acknowledged = self._lessor.acknowledged_token(source) == row.token
        done = acknowledged and self._lessor.running_dropped(source) == 0
        return done and (self._view.checks_token(source) or self._released(source))

    def _start_moves(
        self, service: model.Service, wanted: tuple[assign.MoveShard, ...], *, room: int
    ) -> change_builder.Change | None:
        chosen = wanted[: max(0, room)]
        # A source must be able to acknowledge its release, or its shards would be held for nothing.
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

    def _run(self, service: ids.ServiceName, change: change_builder.Change) -> None:
        self._busy.add(service)
        committed = defer.ensureDeferred(self._commits.commit(change))
        committed.addErrback(lambda failure: _log.error("commit: %s", failure.getTraceback()))
        committed.addBoth(lambda _: self._busy.discard(service))
