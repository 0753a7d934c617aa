"""How fast a map follows when neighbouring keys of a large fleet become busy."""

import random
import statistics

import testtools

from celerystack import ids
from celerystack.ranges import key_load, map_draft, model, plan

KEYS = model.KEY_MAX + 1
STEP_S = 0.05
PLAN_EVERY_STEPS = 5
REPORT_EVERY_STEPS = 9
RELEASE_STEPS = 9
SERVERS = 480
CAPACITIES = (4.4, 4.4, 10.0)
BACKGROUND_RATE = 900.0
HOT_RATE = 400.0


class Fleet:
    """Servers, the map of their keys, and the load that the planner was told of.

    A release takes `RELEASE_STEPS` steps, and all entry VMs report at the same time.
    """

    def __init__(self, seed):
        self.rng = random.Random(seed)
        self.capacity_by_owner = {
            model.ServerIncarnation(ids.ServerId(f"s{number:03}"), 1): self.rng.choice(CAPACITIES)
            for number in range(SERVERS)
        }
        self.candidates = {
            owner: map_draft.Candidate(incarnation=owner, capacity=capacity)
            for owner, capacity in self.capacity_by_owner.items()
        }
        self.load = key_load.KeyLoad()
        self.ranges = self._map_by_capacity()
        self.hot_keys = range(0)
        self._step = 0
        self._unreported = []
        self._released_at_by_segment = {}

    def _map_by_capacity(self):
        total = sum(self.capacity_by_owner.values())
        segments, end, share = [], -1, 0.0
        for owner, capacity in self.capacity_by_owner.items():
            share += capacity / total
            start, end = end + 1, min(model.KEY_MAX, round(share * KEYS) - 1)
            token = ids.Token(len(segments) + 1)
            segments.append(model.Segment(start=start, end=end, token=token, owner=owner))
        return model.RangeMap(
            service=ids.ServiceName("browse"),
            next_token=ids.Token(len(segments) + 1),
            segments=tuple(segments),
        )

    def run_for(self, seconds):
        for _ in range(round(seconds / STEP_S)):
            self._step += 1
            self._unreported += self._requests(BACKGROUND_RATE, range(KEYS))
            if self.hot_keys:
                self._unreported += self._requests(HOT_RATE, self.hot_keys)
            if self._step % REPORT_EVERY_STEPS == 0:
                self.load.add(self._unreported, self._now())
                self._unreported = []
            if self._step % PLAN_EVERY_STEPS == 0:
                self._plan()

    def _now(self):
        return 100.0 + self._step * STEP_S

    def _requests(self, rate, keys):
        count = sum(self.rng.random() < STEP_S / 4 for _ in range(round(4 * rate)))
        return [self.rng.choice(keys) for _ in range(count)]

    def _plan(self):
        released = {
            segment: "handover"
            for segment, at in self._released_at_by_segment.items()
            if at <= self._step
        }
        state = map_draft.ServiceState(
            candidates_by_incarnation=self.candidates,
            has_ended=lambda _: False,
            is_silent=lambda _: False,
            load=self.load.snapshot(self._now(), keys=KEYS),
        )
        self.ranges = plan.plan(plan.settle(self.ranges, released), state)
        moving = [segment for segment in self.ranges.segments if segment.pending]
        self._released_at_by_segment = {
            segment: self._released_at_by_segment.get(segment, self._step + RELEASE_STEPS)
            for segment in moving
        }

    def hot_share_beyond_capacity(self):
        """Return the requests beyond the capacity of their keys' owners, relative to hot ones.

        Requests for keys that are being moved count too.
        """
        rate_by_owner = dict.fromkeys(self.capacity_by_owner, 0.0)
        beyond = 0.0
        for segment in self.ranges.segments:
            hot = len(
                range(max(segment.start, self.hot_keys[0]), min(segment.end, self.hot_keys[-1]) + 1)
            )
            rate = BACKGROUND_RATE * segment.width / KEYS + HOT_RATE * hot / len(self.hot_keys)
            if segment.pending:
                beyond += rate
            else:
                rate_by_owner[segment.owner] += rate
        for owner, rate in rate_by_owner.items():
            beyond += max(0.0, rate - self.capacity_by_owner[owner])
        return beyond / HOT_RATE


class HotRangeTest(testtools.TestCase):
    """Load pattern: neighbouring keys of one of 480 servers get 30% of all requests at once."""

    def _check(self, hot_keys):
        for seed in (1, 2):
            fleet = Fleet(seed)
            fleet.run_for(4.0)
            fleet.hot_keys = hot_keys
            fleet.run_for(1.5)
            self.assertLess(fleet.hot_share_beyond_capacity(), 0.5, seed)
            shares = []
            for _ in range(6):
                fleet.run_for(0.5)
                shares.append(fleet.hot_share_beyond_capacity())
            self.assertLess(statistics.mean(shares), 0.2, (seed, shares))

    def test_many_warm_keys_are_spread(self):
        """Guards against seconds of rejected requests: 200 keys, each with 2 requests/s."""
        self._check(range(30_000, 30_200))

    def test_few_busy_keys_are_spread(self):
        """Guards against hot keys that halve their way over the fleet: 60 keys, 6.7 requests/s."""
        self._check(range(30_000, 30_060))
