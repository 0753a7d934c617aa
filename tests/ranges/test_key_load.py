"""Tests of the estimated request rates by key, for different load patterns."""

import random

import testtools

from celerystack.ranges import key_load, model

KEYS = model.KEY_MAX + 1
STEP_S = 0.1


class LoadCase(testtools.TestCase):
    """Requests at random keys, which are counted every `STEP_S`."""

    def setUp(self):
        super().setUp()
        self.rng = random.Random(5)
        self.load = key_load.KeyLoad()
        self.now = 100.0

    def run_for(self, seconds, rate, keys):
        for _ in range(round(seconds / STEP_S)):
            self.now += STEP_S
            count = sum(self.rng.random() < STEP_S / 4 for _ in range(round(4 * rate)))
            self.load.add([self.rng.choice(keys) for _ in range(count)], self.now)
            self.snapshot()

    def snapshot(self):
        return self.load.snapshot(self.now, keys=KEYS)


class NeighbouringKeysTest(LoadCase):
    """Load pattern: 200 neighbouring keys become busy, each with two requests/s."""

    HOT_KEYS = range(30_000, 30_200)
    HOT_RATE = 400.0

    def test_their_rate_is_seen_within_a_second(self):
        """Guards against seconds of overload, because no single key has many requests."""
        self.run_for(10.0, 900.0, range(KEYS))
        for _ in range(10):
            self.run_for(STEP_S, self.HOT_RATE, self.HOT_KEYS)
        rate = self.snapshot().rate(self.HOT_KEYS[0], self.HOT_KEYS[-1])
        self.assertTrue(0.6 * self.HOT_RATE < rate < 1.4 * self.HOT_RATE, rate)

    def test_other_keys_keep_their_rate(self):
        """Guards against moves of keys that have no more requests than before."""
        self.run_for(10.0, 900.0, range(KEYS))
        before = self.snapshot().rate(0, self.HOT_KEYS[0] - 100)
        self.run_for(1.0, self.HOT_RATE, self.HOT_KEYS)
        after = self.snapshot().rate(0, self.HOT_KEYS[0] - 100)
        self.assertLess(after, 1.2 * before)


class EvenLoadTest(LoadCase):
    """Load pattern: an even load of few requests for each key."""

    def test_random_variation_is_no_surge(self):
        """Guards against keys that move back and forth because of random variation."""
        self.run_for(10.0, 900.0, range(KEYS))
        for _ in range(50):
            self.run_for(STEP_S, 900.0, range(KEYS))
            self.assertLess(self.snapshot().total, 1.15 * 900.0)


class SingleKeyTest(LoadCase):
    """Load pattern: one key becomes busy."""

    def test_its_neighbours_keep_their_rate(self):
        """Guards against neighbours that are taken for busy because they share a range."""
        self.run_for(10.0, 900.0, range(KEYS))
        self.run_for(1.0, 100.0, [30_000])
        found = self.snapshot()
        self.assertGreater(found.rate(30_000, 30_000), 50.0)
        self.assertLess(found.rate(29_990, 29_999) + found.rate(30_001, 30_010), 10.0)
