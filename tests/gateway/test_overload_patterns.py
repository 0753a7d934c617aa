"""Load patterns of one undivided service on a simulated clock: who is answered, late or refused."""

from __future__ import annotations

import collections
import dataclasses
import random

import testtools
from twisted.internet import defer, task

from celerystack import ids
from celerystack.gateway import calls, config, service_queue
from tests.gateway import fakes as gateway_fakes
from tests.ranges import fakes

SLOTS = 20
ENTRY_VMS = 4
URGENT = dataclasses.replace(
    gateway_fakes.ROUTE, name="urgent", priority=0, target_latency_s=0.3, timeout_s=1.0
)
PATIENT = dataclasses.replace(
    gateway_fakes.ROUTE, name="patient", priority=2, target_latency_s=1.2, timeout_s=2.5
)
WORK_S_BY_ROUTE = {"urgent": 0.1, "patient": 0.5}


@dataclasses.dataclass
class Tally:
    """Calls of one route by outcome."""

    in_time: int = 0
    late: int = 0
    refused: int = 0

    @property
    def total(self) -> int:
        return self.in_time + self.late + self.refused


class Load:
    """Poisson arrivals of two routes at a service queue whose calls take their work time."""

    def __init__(self, *, urgent_per_s: float, patient_per_s: float, seed: int = 1):
        self.random = random.Random(seed)
        self.clock = task.Clock()
        self.queue = service_queue.ServiceQueue(self.clock, now=self.clock.seconds)
        self.queue.set_slots(SLOTS, entry_vms=ENTRY_VMS)
        self.tally_by_route: dict[str, Tally] = collections.defaultdict(Tally)
        self.running = 0
        self.most_running = 0
        self.hangs = False
        self.calls = []
        for route, rate in ((URGENT, urgent_per_s), (PATIENT, patient_per_s)):
            if rate:
                self.schedule(route, rate)

    def schedule(self, route: config.Route, rate: float) -> None:
        def arrive():
            self.schedule(route, rate)
            self.calls.append(defer.Deferred.fromCoroutine(self.run(route)))

        self.clock.callLater(self.random.expovariate(rate), arrive)

    async def run(self, route: config.Route) -> None:
        now = self.clock.seconds()
        call = calls.Call(
            request_id=ids.RequestId("r"),
            route=route,
            service=fakes.SERVICE,
            method=b"GET",
            target=b"/",
            headers=(),
            body=b"",
            key=None,
            arrived_at=now,
            deadline=now + route.timeout_s,
        )
        tally = self.tally_by_route[route.name]
        place = await self.queue.take_place(call)
        if not isinstance(place, service_queue.Place):
            tally.refused += 1
            return
        self.running += 1
        self.most_running = max(self.most_running, self.running)
        started = self.clock.seconds()
        if self.hangs:
            await task.deferLater(self.clock, call.deadline - started)
        else:
            work_s = WORK_S_BY_ROUTE[route.name] * self.random.uniform(0.6, 1.4)
            await task.deferLater(self.clock, work_s)
            self.queue.observe(call, self.clock.seconds() - started)
        self.running -= 1
        place.release()
        is_in_time = self.clock.seconds() - call.arrived_at <= route.target_latency_s
        tally.in_time += is_in_time
        tally.late += not is_in_time

    def play(self, seconds: float) -> None:
        self.clock.pump([0.01] * round(seconds * 100))


class OverloadTest(testtools.TestCase):
    def test_urgent_calls_keep_their_target_under_overload_by_long_ones(self):
        """Twice the capacity in long calls of low priority: short urgent ones stay in time."""
        load = Load(urgent_per_s=10, patient_per_s=28)
        load.play(60)
        urgent = load.tally_by_route["urgent"]
        self.assertGreater(urgent.in_time / urgent.total, 0.85)
        self.assertEqual(0, urgent.refused)

    def test_overload_is_answered_in_time_or_refused(self):
        """Twice the capacity: what is answered is mostly in time, and all capacity is used."""
        load = Load(urgent_per_s=0, patient_per_s=28)
        load.play(60)
        patient = load.tally_by_route["patient"]
        self.assertGreater(patient.in_time, 0.85 * 60 * load.most_running / 0.5)
        self.assertLess(patient.late, 0.15 * patient.in_time)

    def test_ordinary_load_is_not_refused(self):
        """Two thirds of the capacity: nothing is refused."""
        load = Load(urgent_per_s=8, patient_per_s=7)
        load.play(60)
        refused = sum(tally.refused for tally in load.tally_by_route.values())
        self.assertEqual(0, refused)

    def test_calls_in_flight_are_bounded(self):
        """Any load: the servers' queues, which know no priorities, stay short."""
        load = Load(urgent_per_s=100, patient_per_s=30)
        load.play(10)
        share = SLOTS / ENTRY_VMS
        self.assertEqual(round(service_queue.SHARE_FACTOR * share), load.most_running)

    def test_silent_servers_do_not_keep_all_places(self):
        """Servers that stop answering: later calls still reach other servers."""
        load = Load(urgent_per_s=0, patient_per_s=28)
        load.hangs = True
        load.play(1)
        filled = load.running
        load.play(1)
        self.assertGreater(load.running, filled)
