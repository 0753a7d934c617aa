"""Tests of the retry budget shared by all entry VMs."""

import testtools

from celerystack import ids
from celerystack.gateway import retries

SERVICE = ids.ServiceName("rota")


def budget():
    return retries.RetryBudgetShare(ratio=0.2, allowance=60, window_s=10.0)


class RetryBudgetShareTest(testtools.TestCase):
    def test_all_vms_together_stay_within_the_budget(self):
        """Guards against each VM using the whole allowance instead of its share."""
        vms = [budget() for _ in range(11)]
        taken = 0
        for one in vms:
            for _ in range(30):
                one.on_request(SERVICE, 5.0)
            taken += sum(one.try_retry(SERVICE, 5.0, entry_vms=11) for _ in range(200))
        self.assertLessEqual(taken, 0.2 * 11 * 30 + 60)

    def test_window_slides(self):
        """Guards against a double budget around the boundary of two windows."""
        one = budget()
        first = sum(one.try_retry(SERVICE, 9.9, entry_vms=2) for _ in range(100))
        second = sum(one.try_retry(SERVICE, 10.1, entry_vms=2) for _ in range(100))
        self.assertEqual((24, 0), (first, second))

    def test_budget_returns_after_the_window(self):
        """Guards against a budget that is not replenished after the window."""
        one = budget()
        for _ in range(100):
            one.try_retry(SERVICE, 1.0, entry_vms=2)
        self.assertTrue(one.try_retry(SERVICE, 12.5, entry_vms=2))
