"""Tests of admitting an evenly spaced fraction of the requests."""

import testtools

from celerystack import ids
from celerystack.limits import admission

SERVER = ids.ServerId("s1")


class FractionalAdmissionTest(testtools.TestCase):
    def test_server_that_is_not_named_admits_everything(self):
        """Guards against rejecting requests for servers that are not overloaded."""
        self.assertTrue(all(admission.FractionalAdmission().admit(SERVER) for _ in range(10)))

    def test_part_is_kept_over_a_long_run(self):
        """Guards against a lasting overload because too many requests are admitted."""
        limit = admission.FractionalAdmission()
        limit.update({SERVER: 0.3})
        self.assertEqual(300, sum(limit.admit(SERVER) for _ in range(1000)))

    def test_part_is_kept_over_updates(self):
        """Guards against resetting the credit with every update, which would admit too much."""
        limit = admission.FractionalAdmission()
        admitted = 0
        for _ in range(100):
            limit.update({SERVER: 0.2})
            admitted += limit.admit(SERVER)
        self.assertTrue(19 <= admitted <= 21, admitted)
