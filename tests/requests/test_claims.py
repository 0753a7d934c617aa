"""Claims of request ids: the guarantee, its window, and the loss of holders."""

from __future__ import annotations

import hypothesis
import pytest
from hypothesis import strategies

from celerystack import ids, timing
from celerystack.peers import messages
from celerystack.requests import claims

STATE = messages.ClaimState
WINDOW = timing.CLAIM_WINDOW_S


def test_an_id_is_accepted_once():
    """Guards against two runs of a request whose id is claimed twice."""
    table = claims.ClaimTable()
    assert table.claim("r", "a", 2.0, 0.0) is STATE.ACCEPTED
    assert table.claim("r", "a", 2.0, 0.0) is STATE.RUNNING
    assert table.claim("r", "b", 2.0, 1.0) is STATE.RUNNING


@pytest.mark.parametrize("state", [STATE.ANSWERED, STATE.UNKNOWN])
def test_the_final_state_is_kept_until_the_window_ends(state: STATE):
    """Guards against a second run when a caller repeats a finished request."""
    table = claims.ClaimTable()
    table.claim("r", "a", 2.0, 0.0)
    table.record_final_state("r", state, 1.0, claimant="a")
    assert table.claim("r", "b", 2.0, 2.0 + WINDOW - 0.001) is state


def test_entry_is_dropped_after_the_window():
    """Guards against unbounded memory; the guarantee ends with the window."""
    table = claims.ClaimTable()
    table.claim("r", "a", 2.0, 0.0)
    table.claim("other", "a", 2.0 + WINDOW, 2.0 + WINDOW)
    assert len(table) == 1
    assert table.claim("r", "b", 3.0 + WINDOW, 2.0 + WINDOW) is STATE.ACCEPTED


def test_a_repeated_claim_extends_the_window():
    """Guards against expiry at the first deadline when an id was claimed with a later one."""
    table = claims.ClaimTable()
    table.claim("r", "a", 2.0, 0.0)
    table.claim("r", "a", 50.0, 40.0)
    assert table.claim("r", "b", 2.0, 49.0 + WINDOW) is STATE.RUNNING


def test_not_run_releases_the_id_once():
    """Guards against refusing a request that did not run, and against two runs after that."""
    table = claims.ClaimTable()
    table.claim("r", "a", 2.0, 0.0)
    table.record_final_state("r", STATE.NOT_RUN, 0.5, claimant="a")
    assert table.claim("r", "b", 2.0, 1.0) is STATE.ACCEPTED
    assert table.claim("r", "a", 2.0, 1.0) is STATE.RUNNING


def test_a_refused_claimant_cannot_release_the_id():
    """Guards against a second run because a refused claimant released the id of another one."""
    table = claims.ClaimTable()
    table.claim("r", "a", 2.0, 0.0)
    table.claim("r", "b", 2.0, 0.0)
    table.record_final_state("r", STATE.NOT_RUN, 0.5, claimant="b")
    assert table.claim("r", "b", 2.0, 1.0) is STATE.RUNNING


@pytest.mark.parametrize("state", [STATE.ANSWERED, STATE.UNKNOWN])
def test_a_late_release_does_not_undo_a_final_state(state: STATE):
    """Guards against a second run because a delayed message releases a finished request."""
    table = claims.ClaimTable()
    table.claim("r", "a", 2.0, 0.0)
    table.record_final_state("r", state, 0.5, claimant="a")
    table.record_final_state("r", STATE.NOT_RUN, 0.6, claimant="a")
    assert table.claim("r", "b", 2.0, 1.0) is state


@pytest.mark.parametrize("state", [STATE.ACCEPTED, STATE.RUNNING])
def test_states_that_are_not_final_change_nothing(state: STATE):
    """Guards against an invalid message that changes the state of a claim."""
    table = claims.ClaimTable()
    table.claim("r", "a", 2.0, 0.0)
    table.record_final_state("r", state, 0.5, claimant="a")
    table.record_final_state("unknown", state, 0.5, claimant="a")
    assert table.claim("r", "b", 2.0, 1.0) is STATE.RUNNING


def test_a_full_table_refuses_new_ids_and_forgets_none():
    """Guards against a second run because a full table evicted a claim."""
    table = claims.ClaimTable(capacity=2)
    table.claim("r1", "a", 2.0, 0.0)
    table.claim("r2", "a", 2.0, 0.0)
    assert table.claim("r3", "a", 2.0, 1.0) is STATE.NOT_RUN
    assert table.claim("r1", "b", 2.0, 1.0) is STATE.RUNNING
    assert table.claim("r2", "b", 2.0, 1.0) is STATE.RUNNING
    table.record_final_state("r1", STATE.NOT_RUN, 1.0, claimant="a")
    assert table.claim("r3", "a", 2.0, 1.0) is STATE.ACCEPTED


def test_released_ids_do_not_accumulate():
    """Guards against memory that grows when the same ids are claimed and released repeatedly."""
    table = claims.ClaimTable()
    for index in range(10_000):
        table.claim(f"r{index % 3}", "a", 2.0, 0.0)
        table.record_final_state(f"r{index % 3}", STATE.NOT_RUN, 0.0, claimant="a")
    assert len(table) == 0
    assert len(table._expiries) <= 1001


@hypothesis.given(
    steps=strategies.lists(
        strategies.tuples(
            strategies.sampled_from(["claim", "finish"]),
            strategies.sampled_from(["r1", "r2"]),
            strategies.sampled_from(["a", "b"]),
            strategies.sampled_from([STATE.ANSWERED, STATE.UNKNOWN, STATE.NOT_RUN]),
            strategies.floats(0.0, 40.0),
        ),
        max_size=40,
    )
)
@hypothesis.settings(max_examples=300, deadline=None)
def test_at_most_one_acceptance_is_open_within_the_window(steps: list):
    """Guards against a second acceptance within the window, checked against a simple model."""
    table = claims.ClaimTable()
    now = 0.0
    held: dict[str, tuple[str, float, bool]] = {}
    for kind, request, vm, state, step in steps:
        now += step
        holder = held.get(request)
        if kind == "finish":
            table.record_final_state(request, state, now, claimant=vm)
            if holder is not None and holder[0] == vm and holder[2]:
                if state is STATE.NOT_RUN:
                    del held[request]
                else:
                    held[request] = (vm, holder[1], False)
            continue
        answer = table.claim(request, vm, now + 2.0, now)
        if holder is not None and now < holder[1] + WINDOW:
            assert answer is not STATE.ACCEPTED
            held[request] = (holder[0], max(holder[1], now + 2.0), holder[2])
        else:
            assert answer is STATE.ACCEPTED
            held[request] = (vm, now + 2.0, True)


class Zone:
    """Claim tables of the entry VMs of one zone; `claim` asks all holders as a claimant does."""

    def __init__(self, count: int) -> None:
        self.tables = {f"vm{index}": claims.ClaimTable() for index in range(count)}
        self.joined_at = dict.fromkeys(self.tables, -1e9)

    def join(self, now: float) -> None:
        vm = f"vm{len(self.joined_at)}"
        self.tables[vm] = claims.ClaimTable()
        self.joined_at[vm] = now

    def remove(self, vm: str) -> None:
        del self.tables[vm]

    def claim(self, request: str, now: float) -> bool:
        recent = {
            vm for vm in self.tables if now - self.joined_at[vm] < claims.RECENT_ENTRY_VM_AGE_S
        }
        chosen = claims.holders(request, self.tables, recent=recent)
        accepted = [
            vm
            for vm in chosen
            if self.tables[vm].claim(request, ids.EntryVmId("x"), now + 2.0, now) is STATE.ACCEPTED
        ]
        if len(accepted) == len(chosen):
            return True
        for vm in accepted:
            self.tables[vm].record_final_state(request, STATE.NOT_RUN, now, claimant="x")
        return False


@pytest.mark.parametrize("lost_rank", [0, 1, 2])
def test_the_loss_of_one_holder_does_not_allow_a_second_run(lost_rank: int):
    """Guards against a claim that is lost together with one entry VM."""
    for index in range(50):
        zone = Zone(3)
        request = ids.RequestId(f"r{index}")
        ranked = claims.holders(request, zone.tables)
        ranked += [vm for vm in zone.tables if vm not in ranked]
        assert zone.claim(request, 0.0)
        zone.remove(ranked[lost_rank])
        assert not zone.claim(request, 1.0)
        assert not zone.claim(request, 2.0 + WINDOW - 0.1)


def test_the_loss_of_both_holders_ends_the_guarantee():
    """Shows the limit of the guarantee: an id is accepted again when both holders are lost."""
    zone = Zone(4)
    first, second = claims.holders("r", zone.tables)
    assert zone.claim("r", 0.0)
    zone.remove(first)
    zone.remove(second)
    assert zone.claim("r", 1.0)


@hypothesis.given(
    data=strategies.data(),
    steps=strategies.lists(strategies.sampled_from(["join", "wait", "lose"]), max_size=12),
)
@hypothesis.settings(max_examples=300, deadline=None)
def test_joins_and_one_loss_do_not_allow_a_second_run(data: strategies.DataObject, steps: list):
    """Guards against a second run because two new VMs become the only holders of an old id."""
    zone = Zone(data.draw(strategies.integers(2, 4)))
    now = 0.0
    for _ in range(data.draw(strategies.integers(0, 3))):
        zone.join(now)
        now += data.draw(strategies.floats(0.0, 100.0))
    request = f"r{data.draw(strategies.integers(0, 50))}"
    assert zone.claim(request, now)
    claimed_at, lost = now, False
    for step in steps:
        if step == "join":
            zone.join(now)
        elif step == "lose" and not lost:
            zone.remove(data.draw(strategies.sampled_from(sorted(zone.tables))))
            lost = True
        now += data.draw(strategies.floats(0.0, 20.0))
        if now >= claimed_at + 2.0 + WINDOW:
            break
        assert not zone.claim(request, now)


def test_holders_are_two_and_do_not_depend_on_the_order():
    """Guards against claimants that ask different holders for the same id."""
    vms = [f"vm{index}" for index in range(4)]
    assert claims.holders("r", vms) == claims.holders("r", reversed(vms))
    assert len(claims.holders("r", vms)) == 2
    assert claims.holders("r", ["vm1"]) == ["vm1"]
    assert claims.holders("r", []) == []


def test_holders_are_spread_over_the_entry_vms():
    """Guards against a few entry VMs holding most of the claims."""
    vms = [f"vm{index}" for index in range(4)]
    counts = dict.fromkeys(vms, 0)
    for index in range(4000):
        for vm in claims.holders(f"r{index}", vms):
            counts[vm] += 1
    assert min(counts.values()) > 1800
    assert max(counts.values()) < 2200
