"""Requests that callers repeat, told by the time that is left to them."""

import testtools

from celerystack.limits import usual_deadlines

FULL_S = 8.0


class UsualDeadlinesTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.deadlines = usual_deadlines.UsualDeadlines()
        self.deadlines.age_s("r", FULL_S, 0.0)

    def test_repeated_request_is_older_than_a_new_one(self):
        """Guards against repetitions that take the place of requests which can be in time."""
        self.assertEqual(2.5, self.deadlines.age_s("r", FULL_S - 2.5, 1.0))
        self.assertEqual(0.0, self.deadlines.age_s("r", FULL_S, 1.0))

    def test_routes_are_learned_apart(self):
        """Guards against requests of a route with short deadlines that count as repeated."""
        self.assertEqual(0.0, self.deadlines.age_s("other", 1.0, 1.0))

    def test_shorter_deadlines_are_learned_anew(self):
        """Guards against callers that count as repeating for ever after a longer deadline."""
        for at in (5.0, 10.0, 15.0):
            age_s = self.deadlines.age_s("r", 3.0, at)
        self.assertEqual(0.0, age_s)

    def test_forgotten_routes(self):
        """Guards against memory that grows with each changed configuration."""
        self.deadlines.retain(set())
        self.assertEqual(0.0, self.deadlines.age_s("r", 1.0, 1.0))
