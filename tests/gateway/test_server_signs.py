"""Guards against requests to a server that has told this VM that it leaves, or wants a pause."""

from __future__ import annotations

from celerystack.gateway import calls
from celerystack.platform import requests
from tests.gateway import test_rate_limits
from tests.ranges import fakes


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


class PausedServerTest(ServerSignsCase):
    sharded = False

    def ask_for_pause(self, value):
        self.first.status = 503
        self.first.extra_headers = [(requests.NOT_RUN, b"1"), (b"retry-after", value)]
        before = len(self.first.arrivals)
        while len(self.first.arrivals) == before:
            self.run_vm(test_rate_limits.STEP_S)

    def test_server_gets_nothing_until_the_pause_ends(self):
        """Guards against requests that an overloaded server has asked this VM not to send."""
        self.ask_for_pause(b"4")
        self.run_vm(0.5)
        self.first.status, self.first.extra_headers = 200, []
        self.assertLessEqual(self.arrivals_in(3.0, after=0.4), 2)
        self.assertGreater(self.arrivals_in(3.0), 0)
        self.assertEqual([], self.refused())

    def test_values_that_name_no_pause(self):
        """Guards against a server that is never used again because of an unreadable time."""
        for value in (b"0", b"soon", b"-5", b"nan", b"Fri, 31 Dec 2027 23:59:59 GMT"):
            self.ask_for_pause(value)
            self.run_vm(0.5)
            self.first.status, self.first.extra_headers = 200, []
            with self.subTest(value=value):
                self.assertGreater(self.arrivals_in(3.0), 0)

    def test_huge_pause_is_bounded(self):
        """Guards against the same by a time without end."""
        self.ask_for_pause(b"9" * 9)
        self.run_vm(0.5)
        self.first.status, self.first.extra_headers = 200, []
        self.clock.advance(301.0)
        self.assertGreater(self.arrivals_in(3.0), 0)


class PausedOwnerTest(PausedServerTest):
    sharded = True

    def test_server_gets_nothing_until_the_pause_ends(self):
        """Guards against the same for keys, whose calls are told when to come back."""
        self.ask_for_pause(b"4")
        self.run_vm(0.5)
        self.first.status, self.first.extra_headers = 200, []
        self.assertLessEqual(self.arrivals_in(2.0, after=0.4), 2)
        latest = [reply.retry_after_s for reply in self.refused()[-10:]]
        self.assertGreater(min(latest), 0.2)
        self.assertLess(max(latest), 4.0 * 1.3)
        self.assertGreater(self.arrivals_in(4.0), 0)


class StatedLoadTest(ServerSignsCase):
    sharded = False

    def stated_load(self, value):
        """Return the load of other senders that the VM counts after an answer with this header."""
        self.run_vm(1.0)
        self.first.extra_headers = [(requests.LOAD, value)]
        before = len(self.first.arrivals)
        most = 0
        while len(self.first.arrivals) < before + 3:
            self.run_vm(test_rate_limits.STEP_S)
            most = max(most, self.first_queue().foreign_load)
        return most

    def first_queue(self):
        path = self.paths[0]
        return path.server_queues.by_incarnation[fakes.incarnation("1")]

    def test_load_of_other_senders_counts(self):
        """Guards against a choice of servers that ignores what the servers state."""
        self.assertGreaterEqual(self.stated_load(b"2,6,2,100"), 6)

    def test_figures_that_cannot_be_true_are_ignored(self):
        """Guards against a server that gets no requests because of figures that make no sense."""
        for value in (b"9,9,2", b"2,6,8", b"many", b"-1,0,2", b"2,6", b"1,2,0"):
            self.assertEqual(0, self.stated_load(value), value)
