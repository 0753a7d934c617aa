"""Model checker for a store that comes back from an earlier copy at any moment.

It extends the model of `test_ownership_model`: two entry VMs, two servers and two ranges, with maps
that are learned late. The copy has the first map. The planner that goes on knows any map that
somebody knew: the lost one, that of an entry VM, or only the copy. Grants are applied at once here;
with ``has_delays`` the search takes minutes.
"""

from __future__ import annotations

import collections
import functools
from collections.abc import Iterator
from typing import NamedTuple

import testtools

from celerystack import ids
from celerystack.fleet import rows, servers
from celerystack.ranges import leases, map_recovery
from tests.ranges import fakes, test_ownership_model

ERA_BEFORE, ERA_AFTER = ids.StoreEra(1), ids.StoreEra(2)


class Recovery(NamedTuple):
    """Recovery of the map ``base``, which began ``age_s`` ago; which servers have answered."""

    base: int
    answered: tuple[bool, bool] = (False, False)
    age_s: float = 0.0


class State(NamedTuple):
    """State of the model with the store; ``recovery`` is None before and after a recovery."""

    system: test_ownership_model.State
    has_returned: bool = False
    recovery: Recovery | None = None


@functools.cache
def recovery_of(base: int) -> map_recovery.MapRecovery:
    """Return the recovery of a map, with the tokens that the planner uses for it."""
    candidate = map_recovery.Candidate(
        test_ownership_model.MAPS[base], rows.version_in(ERA_BEFORE, 1)
    )
    ranges = map_recovery.with_reserved_tokens(map_recovery.newest([candidate], ERA_AFTER).ranges)
    return map_recovery.MapRecovery(
        ranges,
        rows.version_in(ERA_AFTER, 1),
        directory=servers.Directory(),
        port=fakes.FakeOrders(),
        now=lambda: 0.0,
    )


@functools.cache
def recovered(base: int) -> int:
    return test_ownership_model.map_index(recovery_of(base)._with_new_token())


class Rules(test_ownership_model.Rules):
    """Rules of the protocol. Weaker ones show that the search finds violations.

    ``is_era_read`` tells whether the planner notices the return; otherwise it uses the copy.
    ``waits_for_answers`` tells whether it waits until all servers have released their keys.
    """

    is_era_read = True
    waits_for_answers = True

    def all_successors(self, state: State) -> Iterator[State]:
        if state.recovery is not None:
            yield from self._recovery_steps(state)
            return
        for system in self.successors(state.system):
            yield state._replace(system=system)
        if not state.has_returned:
            yield from self._returns(state)

    def _returns(self, state: State) -> Iterator[State]:
        copy = test_ownership_model.initial_state().ranges
        if not self.is_era_read:
            system = state.system._replace(ranges=copy, commit_age_s=0.0)
            yield State(system, has_returned=True)
            return
        for base in {state.system.ranges, copy, *(vm.ranges for vm in state.system.vms)}:
            yield state._replace(has_returned=True, recovery=Recovery(base))

    def _recovery_steps(self, state: State) -> Iterator[State]:
        """Let leases be renewed by the maps of before, but let nobody learn or change one."""
        system, recovery = state.system, state.recovery
        age_s = min(recovery.age_s + test_ownership_model.STEP_S, leases.MAP_VALID_S)
        later = recovery._replace(age_s=age_s)
        yield state._replace(system=self._advance_time(system), recovery=later)
        for index in range(2):
            for after in self._grants(system, index):
                yield state._replace(system=after)
        for after in self._apply_delayed(system):
            yield state._replace(system=after)
        for server in range(2):
            yield self._release(state, server)
        may_write = all(recovery.answered) or recovery.age_s >= leases.MAP_VALID_S
        if may_write or not self.waits_for_answers:
            after = system._replace(ranges=recovered(recovery.base), commit_age_s=0.0)
            yield state._replace(system=after, recovery=None)

    def _release(self, state: State, server: int) -> State:
        """Let a server answer the releases of what the base does not give it."""
        system, recovery = state.system, state.recovery
        token = recovery_of(recovery.base)._release_token
        for range_index, start in enumerate(test_ownership_model.STARTS):
            segment = test_ownership_model.segment_at(recovery.base, start)
            if segment.owner != test_ownership_model.INCARNATIONS[server]:
                lease = test_ownership_model.Lease(0.0, token)
                system = self._with_lease(system, server, range_index, lease)
        answered = list(recovery.answered)
        answered[server] = True
        return state._replace(system=system, recovery=recovery._replace(answered=tuple(answered)))


class WithoutEraRules(Rules):
    is_era_read = False


class WithoutAnswersRules(Rules):
    waits_for_answers = False


def normalized(state: State) -> State:
    """Return a state in which the entry VMs, which are all equal, have a fixed order."""
    first, second = state.system.vms
    if first <= second:
        return state
    return state._replace(system=state.system._replace(vms=(second, first)))


def explore(rules: Rules) -> tuple[int, State | None]:
    """Return the number of states and, if there is one, a state in which a range has two owners."""
    start = State(test_ownership_model.initial_state())
    seen = {start}
    queue = collections.deque([start])
    while queue:
        for found in rules.all_successors(queue.popleft()):
            state = normalized(found)
            if state in seen:
                continue
            if test_ownership_model.two_owners(state.system):
                return len(seen), state
            seen.add(state)
            queue.append(state)
    return len(seen), None


class RestoredStoreModelTest(testtools.TestCase):
    def test_no_order_of_events_gives_a_range_two_owners(self):
        """Guards against two owners of a range, whenever the store comes back."""
        count, broken = explore(Rules(has_delays=False))
        print(f"{count} states explored")
        self.assertIsNone(broken)
        self.assertGreater(count, 10_000)

    def test_return_that_nobody_notices(self):
        """Guards against a search that misses the second owner of review case 8."""
        _, broken = explore(WithoutEraRules(has_delays=False))
        self.assertIsNotNone(broken)

    def test_recovery_that_does_not_wait(self):
        """Guards against a search that misses holders by a lost map."""
        _, broken = explore(WithoutAnswersRules(has_delays=False))
        self.assertIsNotNone(broken)
