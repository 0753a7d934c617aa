"""Model checker that explores every order of events for two entry VMs, servers and ranges.

The decisions come from the code under test (`plan.plan`, `plan.settle`, `leases.may_grant`,
`lease_reports.LeaseReports` and their bounds). The model adds the environment: entry VMs that learn
of changes late, grants that servers apply late, and servers that do not answer.
Times are relative to the present, which keeps the number of states finite.
"""

from __future__ import annotations

import collections
import functools
from collections.abc import Iterator
from typing import NamedTuple

import testtools

from celerystack import ids
from celerystack.ranges import key_load, lease_reports, leases, map_draft, model, plan
from tests.ranges import fakes

STEP_S = 4.0
"""Shorter than a lease, so that leases, map validity and delayed grants end at different steps."""
DELAY_MAX_S = 12.0
MOVES_MAX = 1
HELD_S = leases.LEASE_S * (1 + leases.CLOCK_DRIFT)
FIRST, SECOND = fakes.incarnation("a"), fakes.incarnation("b")
INCARNATIONS = (FIRST, SECOND)
HALF = model.KEY_MAX // 2
STARTS = (0, HALF + 1)


class Lease(NamedTuple):
    """A server's lease of a range, and the highest token that the server has seen for it."""

    remaining_s: float = 0.0
    highest_token: int = 0


class Vm(NamedTuple):
    """The map that an entry VM uses, and its age.

    ``age_s`` is the time since the map was last known to be current, ``heard_s`` the time since the
    planner received the report by which it last confirmed the map.
    """

    ranges: int
    age_s: float
    heard_s: float


class DelayedGrant(NamedTuple):
    """A grant that was sent and is applied later."""

    server: int
    range_index: int
    token: int
    age_s: float


class State(NamedTuple):
    """A state of the model; maps are indices into `MAPS`, which are faster to compare."""

    ranges: int
    commit_age_s: float
    vms: tuple[Vm, Vm]
    leases: tuple[tuple[Lease, Lease], tuple[Lease, Lease]]
    delayed: DelayedGrant | None


MAPS: list[model.RangeMap] = []


@functools.cache
def map_index(ranges: model.RangeMap) -> int:
    MAPS.append(ranges)
    return len(MAPS) - 1


def initial_state() -> State:
    segments = tuple(
        model.Segment(start=start, end=end, token=index + 1, owner=FIRST)
        for index, (start, end) in enumerate(((0, HALF), (HALF + 1, model.KEY_MAX)))
    )
    ranges = model.RangeMap(service=fakes.SERVICE, next_token=3, segments=segments)
    number = map_index(ranges)
    vm = Vm(number, 0.0, 0.0)
    return State(number, 0.0, (vm, vm), ((Lease(), Lease()), (Lease(), Lease())), None)


@functools.cache
def moved_to(number: int, to: model.ServerIncarnation) -> int:
    service_state = map_draft.ServiceState(
        candidates_by_incarnation={to: map_draft.Candidate(incarnation=to, capacity=20.0)},
        has_ended=lambda _: False,
        is_silent=lambda _: False,
        load=key_load.Snapshot([], keys=model.KEY_MAX + 1),
    )
    return map_index(plan.plan(MAPS[number], service_state))


@functools.cache
def settled(number: int, handover: str) -> int:
    waiting = [segment for segment in MAPS[number].segments if segment.pending]
    return map_index(plan.settle(MAPS[number], dict.fromkeys(waiting, handover)))


@functools.cache
def segment_at(number: int, start: int) -> model.Segment:
    return MAPS[number].find(start)


@functools.cache
def silent_owner_expired(heard_s: tuple[float, ...], commit_age_s: float) -> bool:
    """Return whether the planner takes all leases for ended if no entry VM reports any more."""
    waits = lease_reports.LeaseReports(zone_of=lambda _: fakes.ZONE)
    waits.begin_term(-2 * leases.MAP_VALID_S)
    for index, since_s in enumerate(heard_s):
        waits.note_heard(ids.EntryVmId(f"vm-{index}"), fakes.ZONE, -since_s)
    vms = [ids.EntryVmId(f"vm-{index}") for index in range(len(heard_s))]
    fakes.list_vms(waits, dict.fromkeys(vms, fakes.ZONE), -commit_age_s)
    expired_at = waits.all_expired_at(FIRST, fakes.SERVICE, version=1, committed_at=-commit_age_s)
    return expired_at <= 0.0


class Rules(NamedTuple):
    """Rules of the protocol. Weaker ones show that the search finds violations.

    Attributes
    ----------
    read_age_s : float or None
        Age of a map that an entry VM has just read from the store; None if there are no reads.
    has_delays : bool
        Whether servers may apply grants late.
    """

    wait_s: float = leases.MAP_VALID_S
    release_under_new_token: bool = True
    read_age_s: float | None = None
    has_delays: bool = True

    def successors(self, state: State) -> Iterator[State]:
        yield self._advance_time(state)
        for index in range(2):
            yield self._learn(state, index)
            yield from self._reads(state, index)
            yield from self._grants(state, index)
        yield from self._apply_delayed(state)
        yield from self._plans(state)

    def _advance_time(self, state: State) -> State:
        aged = tuple(
            Vm(
                vm.ranges,
                min(vm.age_s + STEP_S, leases.MAP_VALID_S),
                min(vm.heard_s + STEP_S, leases.MAP_VALID_S),
            )
            for vm in state.vms
        )
        left = tuple(
            tuple(
                lease._replace(remaining_s=max(0.0, round(lease.remaining_s - STEP_S, 3)))
                for lease in pair
            )
            for pair in state.leases
        )
        delayed = state.delayed
        if delayed is not None:
            delayed = delayed._replace(age_s=delayed.age_s + STEP_S)
            delayed = None if delayed.age_s > DELAY_MAX_S else delayed
        age_s = min(state.commit_age_s + STEP_S, leases.MAP_VALID_S + STEP_S)
        return state._replace(commit_age_s=age_s, vms=aged, leases=left, delayed=delayed)

    def _learn(self, state: State, index: int) -> State:
        vms = list(state.vms)
        vms[index] = Vm(state.ranges, 0.0, 0.0)
        return state._replace(vms=tuple(vms))

    def _reads(self, state: State, index: int) -> Iterator[State]:
        """Let an entry VM read the map itself, which the planner does not notice."""
        if self.read_age_s is None:
            return
        vms = list(state.vms)
        known = vms[index]
        known_age_s = known.age_s if known.ranges == state.ranges else leases.MAP_VALID_S
        age_s = min(known_age_s, self.read_age_s)
        vms[index] = Vm(state.ranges, age_s, known.heard_s)
        yield state._replace(vms=tuple(vms))

    def _grants(self, state: State, index: int) -> Iterator[State]:
        vm = state.vms[index]
        if not leases.may_grant(confirmed_at=-vm.age_s, now=0.0):
            return
        for range_index, start in enumerate(STARTS):
            segment = segment_at(vm.ranges, start)
            if segment.is_settled:
                server = INCARNATIONS.index(segment.owner)
                yield self._with_grant(state, server, range_index, segment.token, HELD_S)
                if state.delayed is None and self.has_delays:
                    yield state._replace(
                        delayed=DelayedGrant(server, range_index, segment.token, 0.0)
                    )

    def _apply_delayed(self, state: State) -> Iterator[State]:
        delayed = state.delayed
        if delayed is not None:
            after = state._replace(delayed=None)
            remaining_s = max(0.0, HELD_S - delayed.age_s)
            yield self._with_grant(
                after, delayed.server, delayed.range_index, delayed.token, remaining_s
            )

    def _with_grant(
        self, state: State, server: int, range_index: int, token: int, remaining_s: float
    ) -> State:
        lease = state.leases[server][range_index]
        if token < lease.highest_token or not remaining_s:
            return state
        return self._with_lease(state, server, range_index, Lease(round(remaining_s, 3), token))

    def _with_lease(self, state: State, server: int, range_index: int, lease: Lease) -> State:
        rows = [list(pair) for pair in state.leases]
        rows[server][range_index] = lease
        return state._replace(leases=tuple(tuple(pair) for pair in rows))

    def _plans(self, state: State) -> Iterator[State]:
        pending = {
            incarnation
            for segment in MAPS[state.ranges].segments
            for incarnation in segment.pending
        }
        if not pending:
            for to in INCARNATIONS:
                after = moved_to(state.ranges, to)
                if after != state.ranges and MAPS[after].next_token <= 3 + 2 * MOVES_MAX:
                    yield state._replace(ranges=after, commit_age_s=0.0)
            return
        heard_s = tuple(vm.heard_s for vm in state.vms)
        if state.commit_age_s > self.wait_s or (
            self.read_age_s is not None and silent_owner_expired(heard_s, state.commit_age_s)
        ):
            yield state._replace(ranges=settled(state.ranges, ""), commit_age_s=0.0)
        after = state
        for range_index, start in enumerate(STARTS):
            segment = segment_at(state.ranges, start)
            for incarnation in segment.pending:
                token = segment.token if self.release_under_new_token else 0
                server = INCARNATIONS.index(incarnation)
                highest_token = max(after.leases[server][range_index].highest_token, token)
                after = self._with_lease(after, server, range_index, Lease(0.0, highest_token))
        yield after._replace(ranges=settled(state.ranges, "h"), commit_age_s=0.0)


def two_owners(state: State) -> bool:
    return any(
        state.leases[0][range_index].remaining_s > 0
        and state.leases[1][range_index].remaining_s > 0
        for range_index in range(len(STARTS))
    )


def explore(rules: Rules) -> tuple[int, State | None]:
    """Return the number of states and, if there is one, a state in which a range has two owners."""
    start = initial_state()
    seen = {start}
    queue = collections.deque([start])
    while queue:
        for state in rules.successors(queue.popleft()):
            if state in seen:
                continue
            if two_owners(state):
                return len(seen), state
            seen.add(state)
            queue.append(state)
    return len(seen), None


class OwnershipModelTest(testtools.TestCase):
    def test_no_order_of_events_gives_a_range_two_owners(self):
        """Guards against two owners of a range, whichever messages are delayed or lost."""
        count, broken = explore(Rules())
        print(f"{count} states explored")
        self.assertIsNone(broken)
        self.assertGreater(count, 1000)

    def test_shorter_wait_for_a_silent_owner_is_noticed(self):
        """Guards against a search that cannot fail: a wait below `MAP_VALID_S` is unsafe."""
        _, broken = explore(Rules(wait_s=leases.MAP_VALID_S / 2))
        self.assertIsNotNone(broken)

    def test_release_under_the_old_token_is_noticed(self):
        """Guards against a search that misses delayed grants, which only a new token fences off."""
        _, broken = explore(Rules(release_under_new_token=False))
        self.assertIsNotNone(broken)

    def test_entry_vms_that_read_the_map_themselves(self):
        """Guards against two owners after a wait that counts from the last report of a lost VM."""
        count, broken = explore(Rules(read_age_s=-leases.confirmation_by_read(0), has_delays=False))
        print(f"{count} states explored")
        self.assertIsNone(broken)
        self.assertGreater(count, 1000)

    def test_read_that_confirms_a_map_in_full_is_noticed(self):
        """Guards against a search that misses reads which the planner does not know of."""
        _, broken = explore(Rules(read_age_s=0.0, has_delays=False))
        self.assertIsNotNone(broken)
