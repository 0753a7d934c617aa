"""Loads above the capacity of one service whose queue one VM owns, as a seeded event simulation."""

from __future__ import annotations

import dataclasses
import functools
import heapq
import math
import random
from collections.abc import Callable

import testtools
from twisted.internet import defer

from celerystack import ids
from celerystack.gateway import call_queue, calls
from celerystack.limits import concurrency, deadline_queue, retry_times
from tests.gateway import fakes as gateway_fakes
from tests.ranges import fakes

SLOTS = 4
SPEEDS = (0.55, 1.2, 1.2, 1.2)
ALL_SERVERS = 44
SERVERS_OF_ONE_OF_TWO_OWNERS = 22
SERVERS_OF_ONE_OF_FOUR_OWNERS = 11
MEAN_SPEED = 1.02
"""Mean speed of the servers of one of four owners, of which three are slow."""
SIGMA = 0.4
LATENCY_WEIGHT = 0.15
REPEAT_MINIMUM_S = 0.05
ORDERINGS_BY_NAME = {
    "default": deadline_queue.BY_PRIORITY,
    "new": deadline_queue.Ordering(late_behind_all=True, work_margin=2.0, share_min=0.3),
}


class Timer:
    def __init__(self, function):
        self.function = function

    def active(self):
        return self.function is not None

    def cancel(self):
        self.function = None


class Reactor:
    """Simulated time; a heap, because `task.Clock` sorts all timers whenever one is added."""

    def __init__(self):
        self.now = 0.0
        self._heap = []
        self._sequence = 0

    def seconds(self):
        return self.now

    def callLater(self, delay, function, *arguments):  # noqa: N802
        timer = Timer((function, arguments))
        self._sequence += 1
        heapq.heappush(self._heap, (self.now + delay, self._sequence, timer))
        return timer

    def play(self, until):
        while self._heap and self._heap[0][0] <= until:
            self.now, _, timer = heapq.heappop(self._heap)
            if timer.function is not None:
                (function, arguments), timer.function = timer.function, None
                function(*arguments)
        self.now = until


def constant(load):
    return lambda now: load


def swing(load):
    """Return a load that swings by 0.55 of its mean in 15 s."""
    return lambda now: load * (1 + 0.55 * math.sin(2 * math.pi * now / 15))


def burst(before, during):
    """Return a load that changes from 3 s to 8 s."""
    return lambda now: during if 3 <= now < 8 else before


@dataclasses.dataclass(frozen=True, kw_only=True)
class Kind:
    """Requests of one route; ``load`` is their share of all slots as a function of the time."""

    load: Callable[[float], float]
    name: str = "only"
    priority: int = 0
    work_s: float = 0.170
    target_s: float = 0.618
    deadline_s: float = 3.090
    credit: float = 1.0
    late_credit: float = 0.0

    @functools.cached_property
    def route(self):
        return dataclasses.replace(
            gateway_fakes.ROUTE,
            name=self.name,
            priority=self.priority,
            target_latency_s=self.target_s,
            timeout_s=self.deadline_s,
        )


def urgent(load):
    return Kind(
        load=load,
        name="urgent",
        priority=0,
        work_s=0.130,
        target_s=0.512,
        deadline_s=3.071,
        credit=3.8,
        late_credit=0.46,
    )


def less_urgent(load):
    return Kind(
        load=load,
        name="less urgent",
        priority=1,
        work_s=0.230,
        target_s=0.832,
        deadline_s=5.202,
        credit=3.0,
        late_credit=0.91,
    )


def long_work(load, priority=0):
    return Kind(load=load, name="long", priority=priority, work_s=0.6, target_s=0.9, deadline_s=4.0)


def short_work(load, priority=0):
    return Kind(
        load=load, name="short", priority=priority, work_s=0.1, target_s=0.4, deadline_s=2.0
    )


@dataclasses.dataclass
class Tally:
    """Requests of one kind by outcome."""

    asked: int = 0
    in_time: int = 0
    late: int = 0
    rejections: int = 0

    @property
    def served(self):
        """Share of the requests that were answered before their deadline."""
        return (self.in_time + self.late) / max(1, self.asked)


class Server:
    def __init__(self, speed):
        self.speed = speed
        self.free = SLOTS
        self.pace_estimate = 1.0


class Simulation:
    """One owner of the queue and of all its servers, and the callers.

    Parameters
    ----------
    ends_at : float
        Time in seconds at which the last request arrives.
    repeat_s : function or None
        Returns after what time a caller repeats a rejected request, given the simulation, the call
        and the time that it has left; None if callers don't repeat requests.
    slow_at : function
        Returns the factor by which a server is slowed down, given its number and the time.
    """

    def __init__(
        self,
        kinds,
        ordering,
        *,
        ends_at,
        servers=ALL_SERVERS,
        repeat_s=None,
        slow_at=lambda number, now: 1.0,
        seed=1,
    ):
        self.reactor = Reactor()
        self.random_by_kind = {kind.name: random.Random(f"{seed} {kind.name}") for kind in kinds}
        self.slots = SLOTS * servers
        self.queue = call_queue.CallQueue(
            self.reactor,
            concurrency.FixedLimit(self.slots),
            now=self.reactor.seconds,
            ordering=ordering,
        )
        self.servers = [Server(SPEEDS[number % len(SPEEDS)]) for number in range(servers)]
        self.ends_at = ends_at
        self.repeat_s = repeat_s
        self.slow_at = slow_at
        self.tally_by_kind = {kind.name: Tally() for kind in kinds}
        self.kinds = kinds
        for kind in kinds:
            self._arrive(kind, first=True)

    def play(self):
        self.reactor.play(self.ends_at + max(kind.deadline_s for kind in self.kinds))
        return self

    def _arrive(self, kind, first=False):
        chance = self.random_by_kind[kind.name]
        now = self.reactor.now
        if now > self.ends_at:
            return
        if not first:
            self.tally_by_kind[kind.name].asked += 1
            work = kind.work_s * chance.lognormvariate(-SIGMA * SIGMA / 2, SIGMA)
            self._ask(kind, work, now)
        per_s = kind.load(now) * self.slots / kind.work_s
        self.reactor.callLater(chance.expovariate(per_s), self._arrive, kind)

    def _ask(self, kind, work, asked_at):
        defer.Deferred.fromCoroutine(self._run(kind, work, asked_at))

    async def _run(self, kind, work, asked_at):
        call = calls.Call(
            request_id=ids.RequestId("r"),
            route=kind.route,
            service=fakes.SERVICE,
            method=b"GET",
            target=b"/",
            headers=(),
            body=b"",
            key=None,
            arrived_at=self.reactor.now,
            deadline=asked_at + kind.deadline_s,
        )
        if await self.queue.wait_for_turn(call) is not call_queue.WaitOutcome.TAKEN:
            self._reject(kind, work, call, asked_at)
            return
        free = [number for number, server in enumerate(self.servers) if server.free]
        number = min(free, key=lambda number: self.servers[number].pace_estimate)
        server = self.servers[number]
        server.free -= 1
        latency = work / server.speed * self.slow_at(number, self.reactor.now)
        self.reactor.callLater(latency, self._end, kind, call, asked_at, server, latency)

    def _reject(self, kind, work, call, asked_at):
        self.tally_by_kind[kind.name].rejections += 1
        remaining = call.deadline - self.reactor.now
        if self.repeat_s is not None and remaining > 0:
            wait = self.repeat_s(self, call, remaining)
            self.reactor.callLater(wait, self._ask, kind, work, asked_at)

    def _end(self, kind, call, asked_at, server, latency):
        server.free += 1
        pace = latency / kind.work_s
        server.pace_estimate += LATENCY_WEIGHT * (pace - server.pace_estimate)
        tally = self.tally_by_kind[kind.name]
        now = self.reactor.now
        if now <= asked_at + kind.target_s:
            tally.in_time += 1
        elif now <= call.deadline:
            tally.late += 1
        self.queue.observe(call, latency)
        self.queue.release()

    @property
    def share_of_credit(self):
        """Credit earned as a fraction of what answers in time to all requests would earn."""
        earned = full = 0.0
        for kind in self.kinds:
            tally = self.tally_by_kind[kind.name]
            earned += tally.in_time * kind.credit + tally.late * kind.late_credit
            full += tally.asked * kind.credit
        return earned / full

    @property
    def total(self):
        """Outcomes of all kinds together."""
        tallies = self.tally_by_kind.values()
        return Tally(
            *(sum(values) for values in zip(*map(dataclasses.astuple, tallies), strict=True))
        )

    def describe(self):
        kinds = ", ".join(
            f"{name}: in time {tally.in_time / tally.asked:.2f} served {tally.served:.2f}"
            f" rejections {tally.rejections / tally.asked:.2f}"
            for name, tally in self.tally_by_kind.items()
        )
        return f"credit {self.share_of_credit:.3f} ({kinds})"


class InsufficientCapacityTest(testtools.TestCase):
    def compare(self, kinds, **options):
        """Play a load in both orders, check that no kind is starved, and return the new order."""
        played = {
            name: Simulation(kinds, ordering, **options).play()
            for name, ordering in ORDERINGS_BY_NAME.items()
        }
        self.figures = "; ".join(f"{name}: {one.describe()}" for name, one in played.items())
        print(f"{self.id().rpartition('.')[2]}: {self.figures}")
        self.check_no_kind_is_starved(played["new"])
        return played["new"]

    def check_no_kind_is_starved(self, played):
        for kind in played.kinds:
            served = played.tally_by_kind[kind.name].served
            self.assertTrue(served >= 0.25 * played.total.served, self.figures)
            for other in played.kinds:
                if other.priority > kind.priority:
                    served_other = played.tally_by_kind[other.name].served
                    self.assertTrue(served >= served_other, self.figures)

    def check_credit(self, played, minimum):
        self.assertTrue(played.share_of_credit >= minimum, self.figures)


class SwingingLoadTest(InsufficientCapacityTest):
    """Load of one kind that swings by 0.55 in 15 s; 44 servers of uneven speed, or half of them."""

    def test_around_0_6_of_all_slots(self):
        """Guards against a loss of credit where capacity suffices."""
        self.check_credit(self.compare([Kind(load=swing(0.6))], ends_at=15.0), 0.97)

    def test_around_0_9_of_all_slots(self):
        """Guards against answering many requests late at the peaks, instead of rejecting some."""
        servers = SERVERS_OF_ONE_OF_TWO_OWNERS
        played = self.compare([Kind(load=swing(0.9))], ends_at=15.0, servers=servers)
        self.check_credit(played, 0.80)


class OverloadTest(InsufficientCapacityTest):
    """Overload of 10 s at one of four owners of the 44 servers."""

    def play(self, *kinds, **options):
        return self.compare(kinds, ends_at=10.0, servers=SERVERS_OF_ONE_OF_FOUR_OWNERS, **options)

    def check_capacity_is_used(self, played, load):
        """Check that nearly all that the servers can run is answered in time."""
        in_time = played.total.in_time / played.total.asked
        self.assertTrue(in_time >= 0.95 * MEAN_SPEED / load, self.figures)

    def test_load_of_1_3(self):
        """Guards against a queue in which each request has just become late when it starts."""
        self.check_capacity_is_used(self.play(Kind(load=constant(1.3))), 1.3)

    def test_load_of_2(self):
        """Guards against capacity that is lost to requests whose answer comes too late."""
        self.check_capacity_is_used(self.play(Kind(load=constant(2.0))), 2.0)

    def test_burst_of_the_urgent_kind(self):
        """Guards against a less urgent kind that is served in place of an urgent one."""
        self.play(urgent(burst(0.3, 1.5)), less_urgent(constant(0.4)))

    def test_urgent_kind_exceeds_the_capacity(self):
        """Guards against starving the less urgent kind."""
        self.play(urgent(constant(1.3)), less_urgent(constant(0.4)))

    def test_less_urgent_kind_exceeds_the_capacity(self):
        """Guards against an urgent kind without room on servers that another kind fills."""
        played = self.play(urgent(constant(0.4)), less_urgent(constant(1.3)))
        self.assertTrue(played.tally_by_kind["urgent"].served >= 0.97, self.figures)

    def test_long_work_beside_short_work(self):
        """Guards against starving the kind whose work takes most of its target latency."""
        self.play(long_work(constant(0.7)), short_work(constant(0.7)))

    def test_urgent_long_work_beside_short_work(self):
        """Guards against serving an urgent kind less often because its work takes longer."""
        self.play(long_work(constant(0.7)), short_work(constant(0.7), priority=1))

    def test_long_work_beside_urgent_short_work(self):
        """Guards against starving a kind that is long and less urgent."""
        self.play(long_work(constant(0.7), priority=1), short_work(constant(0.7)))


class RepeatingCallersTest(InsufficientCapacityTest):
    """Callers that repeat rejected requests; one of four owners of the 44 servers."""

    def play(self, kinds, repeat_s, ends_at):
        return self.compare(
            kinds, ends_at=ends_at, servers=SERVERS_OF_ONE_OF_FOUR_OWNERS, repeat_s=repeat_s
        )

    def repeat_at_once(self, simulation, call, remaining_s):
        return REPEAT_MINIMUM_S

    def repeat_at_the_retry_time(self, simulation, call, remaining_s):
        """Return the retry time, which callers honour up to a third of the remaining time."""
        retry_after_s = retry_times.retry_after_s(
            calls_ahead=max(0, simulation.queue.load - simulation.slots),
            concurrency=simulation.slots,
            service_time_s=simulation.queue.service_time_s(call),
            target_latency_s=call.route.target_latency_s,
            remaining_s=remaining_s,
            random_fraction=simulation.random_by_kind["only"].random(),
        )
        return max(REPEAT_MINIMUM_S, min(retry_after_s, remaining_s / 3))

    def test_repeats_at_once(self):
        """Guards against serving late repeats in place of requests that are still in time."""
        played = self.play([Kind(load=swing(0.9))], self.repeat_at_once, 15.0)
        self.check_credit(played, 0.80)

    def test_repeats_at_the_retry_time(self):
        """Guards against retry times at which callers return in vain."""
        played = self.play([Kind(load=swing(0.9))], self.repeat_at_the_retry_time, 15.0)
        self.check_credit(played, 0.80)

    def test_two_kinds_repeat_at_once(self):
        """Guards against a kind that is starved by the repeats of another one."""
        kinds = [urgent(constant(0.8)), less_urgent(constant(0.7))]
        self.play(kinds, self.repeat_at_once, 8.0)


class SlowServersTest(InsufficientCapacityTest):
    """A quarter of the servers becomes slower by 12 from 3 s to 8 s."""

    def play(self, kinds, servers):
        def slow_at(number, now):
            return 12.0 if number % 4 == 1 and 3 <= now < 8 else 1.0

        return self.compare(kinds, ends_at=10.0, servers=servers, slow_at=slow_at)

    def test_one_kind(self):
        """Guards against holding requests behind expected service times that a few have raised."""
        self.check_credit(self.play([Kind(load=constant(0.7))], ALL_SERVERS), 0.80)

    def test_two_kinds(self):
        """Guards against an urgent kind that waits while slow servers reduce the capacity."""
        kinds = [urgent(constant(0.6)), less_urgent(constant(0.4))]
        self.play(kinds, SERVERS_OF_ONE_OF_FOUR_OWNERS)
