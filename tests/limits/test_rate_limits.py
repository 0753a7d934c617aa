"""Tests of the shares of the limits that servers state, and of what the VMs tell each other."""

import testtools

from celerystack.limits import rate_limits
from tests.ranges import fakes

WINDOW_S = 4.0
SERVER, RESTARTED = fakes.incarnation("a"), fakes.incarnation("a", 2)


class RateLimitsTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.now = 100.0
        self.limits = rate_limits.RateLimits(now=lambda: self.now)
        self.planner = rate_limits.RateLimits(now=lambda: self.now)
        self.third = rate_limits.RateLimits(now=lambda: self.now)

    def exchange(self):
        """Report to the planner, which tells all VMs."""
        for vm in (self.limits, self.third):
            self.planner.merge(vm.unannounced())
        announced = self.planner.next_announcements()
        for vm in (self.limits, self.third):
            vm.note_announced(announced)

    def sent_in(self, seconds, *, entry_vms=2, is_planned=False):
        sent = 0
        for _ in range(round(seconds / 0.05)):
            self.now += 0.05
            sent += self.limits.try_send(SERVER, entry_vms=entry_vms, is_planned=False)
        return sent

    def test_share_of_one_vm(self):
        """Guards against shares whose sum exceeds the limit, at the start and later."""
        self.limits.observe(SERVER, 4.0)
        sent = self.sent_in(WINDOW_S) + self.sent_in(WINDOW_S)
        self.assertGreaterEqual(sent, 2 * WINDOW_S * 4.0 / 2 - 1)
        self.assertLessEqual(2 * sent, 2 * (1.5 * 4.0 * WINDOW_S) + 5)

    def test_share_while_the_planner_rations(self):
        """Guards against wide shares that stay in force when the planner is lost."""
        self.limits.observe(SERVER, 4.0)
        self.limits.note_announced(())
        self.now += 0.9
        self.assertTrue(self.limits.try_send(SERVER, entry_vms=2, is_planned=True))
        self.now += 30.0
        self.limits.observe(SERVER, 4.0)
        allowed = [self.limits.try_send(SERVER, entry_vms=2, is_planned=True) for _ in range(3)]
        self.assertEqual([True, False, False], allowed)
        self.now += 30.0
        self.limits.observe(SERVER, 4.0)
        self.limits.note_announced(())
        allowed = [self.limits.try_send(SERVER, entry_vms=2, is_planned=True) for _ in range(3)]
        self.assertEqual([True, True, False], allowed)

    def test_time_without_requests_saves_no_more_than_one(self):
        """Guards against a burst of all VMs after a pause."""
        self.limits.observe(SERVER, 4.0)
        self.now += 10.0
        self.assertTrue(self.limits.try_send(SERVER, entry_vms=2, is_planned=False))
        self.assertFalse(self.limits.try_send(SERVER, entry_vms=2, is_planned=False))

    def test_limit_ends_with_an_answer_without_it(self):
        """Guards against a limit that stays in force after the server has withdrawn it."""
        self.limits.observe(SERVER, 4.0)
        self.limits.observe(SERVER, None)
        self.assertTrue(
            all(self.limits.try_send(SERVER, entry_vms=2, is_planned=False) for _ in range(20))
        )

    def test_other_incarnation_has_no_limit(self):
        """Guards against a restarted server that is bound by what the one before it stated."""
        self.limits.observe(SERVER, 1.0)
        self.assertIsNone(self.limits.limit(RESTARTED))
        self.limits.retain({RESTARTED})
        self.assertIsNone(self.limits.limit(SERVER))

    def test_other_vms_learn_beginning_and_end(self):
        """Guards against VMs that go on sending, or sending too little, until they get an answer
        of their own."""
        self.limits.observe(SERVER, 4.0)
        self.exchange()
        self.assertEqual(4.0, self.third.limit(SERVER))
        self.now += 1.0
        self.third.observe(SERVER, None)
        self.exchange()
        self.assertEqual([None, None], [vm.limit(SERVER) for vm in (self.limits, self.planner)])

    def test_older_statement_does_not_replace_a_newer_one(self):
        """Guards against a limit that comes back with a delayed datagram."""
        self.limits.observe(SERVER, 4.0)
        delayed = self.limits.unannounced()
        self.now += 1.0
        self.limits.observe(SERVER, None)
        self.limits.merge(
            [rate_limits.RateLimit(incarnation=SERVER, per_s=4.0, age_s=delayed[0].age_s + 1.0)]
        )
        self.assertIsNone(self.limits.limit(SERVER))

    def test_known_limits_are_not_reported_again(self):
        """Guards against datagrams that all VMs fill with the same limits."""
        self.limits.observe(SERVER, 4.0)
        self.exchange()
        self.now += 1.0
        self.limits.observe(SERVER, 4.0)
        self.assertEqual((), self.limits.unannounced())
        self.now += rate_limits.REFRESH_S
        self.limits.observe(SERVER, 4.0)
        self.assertEqual([4.0], [limit.per_s for limit in self.limits.unannounced()])

    def test_all_limits_take_turns(self):
        """Guards against limits that are never announced, and against large datagrams."""
        for number in range(100):
            self.limits.observe(fakes.incarnation(f"s{number:03}"), 1.0)
        announced = set()
        for _ in range(3):
            page = self.limits.next_announcements()
            self.assertLessEqual(len(page), rate_limits.LIMITS_PER_MESSAGE)
            announced.update(limit.incarnation for limit in page)
        self.assertEqual(100, len(announced))

    def test_limit_of_a_server_that_gives_no_answers_is_forgotten(self):
        """Guards against a limit that holds for ever because nothing is sent to the server."""
        self.limits.observe(SERVER, 0.0)
        self.now += rate_limits.VALID_S + 0.1
        self.assertTrue(self.limits.may_send(SERVER, entry_vms=2, is_planned=False))
        self.assertEqual((), self.limits.next_announcements())
