"""Guards against requests to a server that has told this VM that it leaves, or wants a pause."""

from __future__ import annotations

from celerystack.gateway import calls
from tests.gateway import test_rate_limits


class ServerSignsCase(test_rate_limits.RateLimitCase):
    """One entry VM that the store and the planner tell nothing."""

    def setUp(self):
        super().setUp()
        self.vm = self.dispatchers[0]
        self.first, self.second = (self.server_by_name[name] for name in "12")
        self.first.limit = None

    def run_vm(self, seconds):
        self.run_for(seconds, demand_per_s=4.0, dispatchers=[self.vm])

    def arrivals_in(self, seconds, *, after=0.0):
        """Return the number of requests at the first server while requests are sent."""
        self.run_vm(after)
        before = len(self.first.arrivals)
        self.run_vm(seconds)
        return len(self.first.arrivals) - before


class LeavingServerTest(ServerSignsCase):
    sharded = False

    def test_server_that_says_it_leaves_gets_no_more_requests(self):
        """Guards against requests to a server that ends, from a VM that is cut off from the store
        and has heard of the drain only from the server itself."""
        self.assertGreater(self.arrivals_in(2.0), 0)
        self.first.extra_headers = [(b"server-leaving", b"1")]
        self.run_vm(2.0)
        self.assertEqual(0, self.arrivals_in(5.0))
        self.assertEqual([], self.refused())

    def test_other_value_says_nothing(self):
        """Guards against emptying a server that states that it does not leave."""
        self.first.extra_headers = [(b"server-leaving", b"0")]
        self.run_vm(2.0)
        self.assertGreater(self.arrivals_in(5.0), 0)


class LeavingOwnerTest(ServerSignsCase):
    def test_calls_for_the_keys_of_a_server_that_leaves_are_rejected_truthfully(self):
        """Guards against the same for keys that have not been moved yet."""
        self.first.extra_headers = [(b"server-leaving", b"1")]
        self.run_vm(1.0)
        self.assertEqual(0, self.arrivals_in(3.0))
        self.assertIsInstance(self.replies[-1], calls.Refused)
