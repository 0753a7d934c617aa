"""Tests of the least progress of a body."""

import testtools

from celerystack.limits import body_pace

LIMITS = body_pace.PaceLimits(progress_bytes=1024, period_s=15.0, whole_s=120.0)


class BodyPaceTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.pace = body_pace.BodyPace(LIMITS, now=100.0)

    def test_body_without_progress_is_late_after_a_period(self):
        """Guards against a body that stops one byte short and is kept."""
        self.assertIsNone(self.pace.check(1023, 114.9))
        self.assertIs(body_pace.Lateness.PROGRESS, self.pace.check(1023, 115.0))

    def test_least_progress_is_enough(self):
        """Guards against the loss of a slow body within the limits."""
        for period in range(1, 8):
            self.assertIsNone(self.pace.check(1024 * period, 100.0 + 15.0 * period))

    def test_progress_counts_anew_in_each_period(self):
        """Guards against a body that is kept because of its fast start."""
        self.assertIsNone(self.pace.check(1_000_000, 115.0))
        self.assertIs(body_pace.Lateness.PROGRESS, self.pace.check(1_000_000, 130.0))

    def test_whole_body_has_a_limit(self):
        """Guards against a body that advances and never ends."""
        self.assertIs(body_pace.Lateness.WHOLE, self.pace.check(50_000_000, 220.0))
