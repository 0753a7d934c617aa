"""Placement: join, leave, drain, loss, weights, cold start, determinism and bounds."""

from __future__ import annotations

import array
import dataclasses
import time
import tracemalloc

import hypothesis
from hypothesis import strategies

from celerystack import ids, model
from celerystack.placement import assign, balance

WARM = 1000.0


def servers_named(count: int, **changes) -> list[assign.PlacementServer]:
    return [
        assign.PlacementServer(
            server=ids.ServerId(f"s{index:04}"), zone=ids.ZoneName(f"z{index % 3}"), **changes
        )
        for index in range(count)
    ]


def state_of(
    servers: list[assign.PlacementServer], owners: dict, loads: dict | None = None, budget: int = 0
) -> assign.PlacementState:
    return assign.build_state(
        servers=servers, owner_by_shard=owners, load_by_shard=loads, churn_budget=budget
    )


def applied(owners: dict, plan: assign.Plan) -> dict:
    after = dict(owners)
    for change in plan.assigns:
        assert after[change.shard] is None or change.shard in after
        after[change.shard] = change.target
    for change in plan.moves:
        assert after[change.shard] == change.source
        after[change.shard] = change.target
    return after


def placed(servers: list[assign.PlacementServer], shards: int, loads: dict | None = None) -> dict:
    owners = dict.fromkeys(range(shards))
    return applied(owners, assign.plan(state_of(servers, owners, loads), WARM))


def counts(owners: dict, servers: list[assign.PlacementServer]) -> dict:
    count_by_server = {server.server: 0 for server in servers}
    for owner in owners.values():
        count_by_server[owner] += 1
    return count_by_server


def test_first_placement_spreads_shards_evenly():
    servers = servers_named(20)
    count_by_server = counts(placed(servers, 64), servers)
    assert max(count_by_server.values()) == 4
    assert min(count_by_server.values()) == 3


def test_steady_state_plans_nothing():
    """Guards against flapping: a second plan for the same state must be empty."""
    servers = servers_named(20)
    owners = placed(servers, 4096)
    assert assign.plan(state_of(servers, owners, budget=4096), WARM) == assign.Plan()


def test_join_moves_only_to_the_new_server():
    servers = servers_named(20)
    owners = placed(servers, 4096)
    joined = servers_named(21)
    plan = assign.plan(state_of(joined, owners, budget=4096), WARM)
    assert {move.target for move in plan.moves} == {joined[-1].server}
    assert len(plan.moves) <= 4096 / 21
    count_by_server = counts(applied(owners, plan), joined)
    assert max(count_by_server.values()) <= 4096 / 21 * 1.05 + 1


def test_loss_moves_only_the_shards_of_the_lost_server():
    servers = servers_named(20)
    owners = placed(servers, 4096)
    servers[7] = dataclasses.replace(servers[7], lost=True, usable=False)
    plan = assign.plan(state_of(servers, owners, budget=4096), WARM)
    lost = {shard for shard, owner in owners.items() if owner == servers[7].server}
    assert {change.shard for change in plan.assigns} == lost
    assert plan.moves == ()


def test_drain_is_not_limited_by_the_churn_budget():
    servers = servers_named(6)
    owners = placed(servers, 64)
    servers[0] = dataclasses.replace(servers[0], draining=True)
    plan = assign.plan(state_of(servers, owners, budget=0), WARM)
    drained = {shard for shard, owner in owners.items() if owner == servers[0].server}
    assert {move.shard for move in plan.moves} == drained
    assert plan.drain_moves == len(drained)
    assert all(move.target != servers[0].server for move in plan.moves)


def test_balancing_respects_the_churn_budget():
    servers = servers_named(20)
    owners = placed(servers, 4096)
    plan = assign.plan(state_of(servers_named(40), owners, budget=10), WARM)
    assert len(plan.moves) == 10


def test_shards_follow_weights():
    servers = servers_named(2)
    servers[1] = dataclasses.replace(servers[1], weight=3.0)
    count_by_server = counts(placed(servers, 400), servers)
    assert abs(count_by_server[servers[1].server] - 300) <= 1


def test_cold_server_is_filled_over_time():
    """Guards against a new server receiving its whole share before it is warm."""
    servers = servers_named(3)
    owners = placed(servers, 400)
    joined = [*servers, dataclasses.replace(servers_named(4)[3], usable_since=WARM)]
    sizes = []
    for age in (0.0, 0.25 * assign.RAMP_S, 0.5 * assign.RAMP_S, assign.RAMP_S):
        plan = assign.plan(state_of(joined, owners, budget=400), WARM + age)
        owners = applied(owners, plan)
        sizes.append(counts(owners, joined)[joined[-1].server])
    assert sizes == sorted(sizes)
    assert sizes[0] <= assign.RAMP_FLOOR * 100 * 1.2
    assert 95 <= sizes[-1] <= 100


def test_restarted_server_keeps_its_shards():
    """A server that restarted is cold, but emptying it would only add churn."""
    servers = servers_named(4)
    owners = placed(servers, 64)
    servers[0] = dataclasses.replace(servers[0], usable_since=WARM)
    plan = assign.plan(state_of(servers, owners, budget=64), WARM)
    assert plan.moves == ()


def test_cold_server_without_room_does_not_stop_balancing():
    """Guards against the least filled server blocking moves between all the others."""
    servers = servers_named(4)
    owners = {shard: servers[0 if shard < 9 else 1].server for shard in range(12)}
    servers[3] = dataclasses.replace(servers[3], usable_since=WARM)
    plan = assign.plan(state_of(servers, owners, budget=12), WARM)
    assert plan.moves
    assert {move.target for move in plan.moves} <= {servers[1].server, servers[2].server}


def test_unusable_server_keeps_its_shards_and_receives_none():
    servers = servers_named(4)
    owners = placed(servers, 64)
    servers[0] = dataclasses.replace(servers[0], usable=False)
    owners |= {64: None, 65: None}
    plan = assign.plan(state_of(servers, owners, budget=0), WARM)
    assert [change.shard for change in plan.assigns] == [64, 65]
    assert all(change.target != servers[0].server for change in plan.assigns)
    assert plan.moves == ()


def test_no_usable_server_plans_nothing():
    servers = servers_named(2, usable=False)
    assert assign.plan(state_of(servers, {0: None}), WARM) == assign.Plan()


def test_zone_of_the_former_owner_is_preferred():
    servers = servers_named(9)
    owners = placed(servers, 270)
    servers[0] = dataclasses.replace(servers[0], lost=True)
    plan = assign.plan(state_of(servers, owners), WARM)
    zone_by_server = {server.server: server.zone for server in servers}
    assert zone_by_server[plan.assigns[0].target] == "z0"
    count_by_server = counts(applied(owners, plan), servers)
    assert max(count_by_server.values()) <= 270 / 8 + 1


def test_former_zone_of_shards_without_owner():
    servers = servers_named(3)
    state = assign.build_state(
        servers=servers, owner_by_shard={0: None}, former_zone_by_shard={0: "z2"}
    )
    assert assign.plan(state, WARM).assigns == (assign.Assign(0, servers[2].server),)


def test_fixed_shards_are_not_planned():
    """Guards against planning a second move of a shard whose move is in progress."""
    servers = servers_named(2)
    owners = dict.fromkeys(range(10), servers[0].server)
    state = assign.build_state(
        servers=[dataclasses.replace(servers[0], draining=True), servers[1]],
        owner_by_shard=owners,
        churn_budget=10,
        fixed_shards=range(5),
    )
    assert {move.shard for move in assign.plan(state, WARM).moves} == set(range(5, 10))


def test_load_is_balanced_without_moving_the_heaviest_shard():
    """A shard heavier than the mean stays, and the others leave its server."""
    servers = servers_named(4)
    owners = {shard: servers[shard % 4].server for shard in range(64)}
    loads = dict.fromkeys(owners, 1.0) | {0: 40.0}
    plan = assign.plan(state_of(servers, owners, loads, budget=64), WARM)
    assert 0 not in {move.shard for move in plan.moves}
    assert {move.source for move in plan.moves} == {servers[0].server}


def test_hot_shards_are_charged_for_load_only():
    servers = servers_named(2)
    hot = model.HOT_SHARD_BASE
    owners = {0: servers[0].server, 1: servers[1].server, hot: servers[0].server}
    state = state_of(servers, owners)
    costs = assign.shard_costs(state)
    assert list(costs) == [1.0, 1.0, 0.0]


@hypothesis.given(data=strategies.data())
@hypothesis.settings(max_examples=150, deadline=None)
def test_random_states(data: strategies.DataObject):
    """Every shard gets an owner that may receive, moves start at the owner, nothing flaps."""
    flags = strategies.sampled_from(["usable", "usable", "usable", "unusable", "draining", "lost"])
    servers = [
        assign.PlacementServer(
            server=ids.ServerId(f"s{index:02}"),
            zone=ids.ZoneName(f"z{index % 3}"),
            weight=data.draw(strategies.sampled_from([0.5, 1.0, 2.0])),
            usable=flag == "usable",
            draining=flag == "draining",
            lost=flag == "lost",
            usable_since=data.draw(strategies.sampled_from([0.0, WARM])),
        )
        for index, flag in enumerate(data.draw(strategies.lists(flags, min_size=1, max_size=12)))
    ]
    names = strategies.sampled_from([None, *(server.server for server in servers)])
    owners = dict(enumerate(data.draw(strategies.lists(names, max_size=60))))
    rates = strategies.sampled_from([0.0, 1.0, 3.0, 50.0])
    loads = {shard: data.draw(rates) for shard in owners}
    state = state_of(servers, owners, loads, budget=len(owners))
    plan = assign.plan(state, WARM)
    assert plan == assign.plan(state, WARM)
    after = applied(owners, plan)
    changed = [change.shard for change in (*plan.assigns, *plan.moves)]
    assert len(changed) == len(set(changed))
    receiving = {server.server for server in servers if server.receives()}
    if not receiving:
        assert changed == []
        return
    kept = receiving | {server.server for server in servers if not server.usable}
    gone = {server.server for server in servers if server.draining or server.lost}
    assert set(after.values()) <= kept - gone
    assert {change.target for change in (*plan.assigns, *plan.moves)} <= receiving
    settled = state_of(servers, after, loads, budget=len(owners))
    again = assign.plan(settled, WARM)
    assert again.assigns == ()
    assert again.drain_moves == 0


@hypothesis.given(
    loads=strategies.lists(strategies.floats(0.1, 100.0), min_size=1, max_size=200),
    count=strategies.integers(1, 12),
    seed=strategies.randoms(use_true_random=False),
)
@hypothesis.settings(max_examples=150, deadline=None)
def test_balancing_bound(loads: list[float], count: int, seed):
    """Plans end after a few rounds, and then no movable shard of a full server would help."""
    servers = servers_named(count)
    owners = {shard: seed.choice(servers).server for shard in range(len(loads))}
    load_by_shard = dict(enumerate(loads))
    state = state_of(servers, owners, load_by_shard, budget=10 * len(loads))
    after = owners
    for _ in range(10):
        plan = assign.plan(state_of(servers, after, load_by_shard, budget=10 * len(loads)), WARM)
        if not plan.moves:
            break
        after = applied(after, plan)
    assert plan.moves == ()
    costs = assign.shard_costs(state)
    movable = balance.MOVABLE_SHARE * sum(costs) / len(costs)
    cost_by_server = {server.server: 0.0 for server in servers}
    least_by_server: dict = {}
    for shard, owner in after.items():
        cost_by_server[owner] += costs[shard]
        if costs[shard] >= movable:
            least_by_server[owner] = min(least_by_server.get(owner, 1e9), costs[shard])
    for owner, cost in cost_by_server.items():
        if cost > 1.0 + balance.TRIGGER:
            spare = cost - min(cost_by_server.values())
            assert least_by_server.get(owner, 1e9) >= spare / 2 - 1e-9


def test_today_size_is_fast():
    """The plan runs in a reactor turn, so today's largest service must stay well below 1 s."""
    servers = servers_named(20)
    owners = dict.fromkeys(range(4096))
    started = time.perf_counter()
    assign.plan(state_of(servers, owners, budget=4096), WARM)
    assert time.perf_counter() - started < 0.5


def test_no_object_is_kept_per_shard():
    """State of 100,000 shards stays in arrays: below 20 bytes per shard."""
    tracemalloc.start()
    state = assign.PlacementState(
        servers=servers_named(100),
        shards=range(100_000),
        owners=array.array("I", [0]) * 100_000,
        loads=array.array("d", [0.0]) * 100_000,
    )
    kept, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    assert len(state.owners) == 100_000
    assert kept < 2_000_000


def test_small_deviation_causes_no_moves():
    """Guards against spending the churn budget on noise in the load estimates."""
    servers = servers_named(10)
    owners = placed(servers, 1000)
    loads = {s: 1.08 if owner == servers[0].server else 1.0 for s, owner in owners.items()}
    assert assign.plan(state_of(servers, owners, loads, budget=1000), WARM).moves == ()


def test_hot_shards_move_first_and_take_less_of_the_budget():
    servers = servers_named(4)
    owners = {shard: servers[shard % 4].server for shard in range(40)}
    hot = [ids.ShardId(model.HOT_SHARD_BASE + index) for index in range(4)]
    owners |= dict.fromkeys(hot, servers[0].server)
    loads = dict.fromkeys(range(40), 1.0) | dict.fromkeys(hot, 4.0)
    plan = assign.plan(state_of(servers, owners, loads, budget=1), WARM)
    assert {move.shard for move in plan.moves} <= set(hot)
    assert len(plan.moves) >= 2
    assert assign.churn_cost(plan.moves) <= 1.0


def test_unreachable_servers_cause_no_balancing_between_the_others():
    """Guards against shards on servers that keep them being counted in the mean."""
    servers = servers_named(10)
    owners = placed(servers, 1000)
    loads = {s: 1.0 + 0.04 * (owner == servers[0].server) for s, owner in owners.items()}
    for index in (7, 8, 9):
        servers[index] = dataclasses.replace(servers[index], usable=False)
    assert assign.plan(state_of(servers, owners, loads, budget=1000), WARM).moves == ()
