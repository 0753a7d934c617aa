"""Tests of detecting and rejecting requests that crash servers."""

import testtools

from celerystack import ids
from celerystack.limits import crash_suspects
from celerystack.ranges import model

NOW = 50.0
REQUEST = crash_suspects.fingerprint(b"GET", b"/a/1", b"")


def incarnation(name):
    return model.ServerIncarnation(ids.ServerId(name), 1)


class SuspectsTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.down = set()
        self.suspects = crash_suspects.Suspects()

    def test_one_lost_server_quarantines_nothing(self):
        """Guards against rejecting requests that were in flight at a crash by chance."""
        self.down.add(incarnation("a"))
        self.suspects.add(REQUEST, incarnation("a"), 1.0)
        self.assertEqual((), self.suspects.quarantined(1.0, is_down=self.down.__contains__))

    def test_second_lost_server_quarantines(self):
        """Guards against a request whose retries crash one server after the other."""
        self.down.update({incarnation("a"), incarnation("b")})
        self.suspects.add(REQUEST, incarnation("a"), 1.0)
        self.suspects.add(REQUEST, incarnation("b"), 2.0)
        self.assertEqual((REQUEST,), self.suspects.quarantined(2.0, is_down=self.down.__contains__))

    def test_reset_connections_of_living_servers_do_not_count(self):
        """Guards against rejecting frequent requests while running servers reset connections."""
        for name in "abc":
            self.suspects.add(REQUEST, incarnation(name), 1.0)
        self.assertEqual((), self.suspects.quarantined(1.0, is_down=self.down.__contains__))

    def test_loss_that_shows_later_counts(self):
        """Guards against missing a crash that is detected after the connection broke."""
        self.suspects.add(REQUEST, incarnation("a"), 1.0)
        self.suspects.add(REQUEST, incarnation("b"), 1.0)
        self.suspects.quarantined(1.0, is_down=self.down.__contains__)
        self.down.update({incarnation("a"), incarnation("b")})
        self.assertEqual((REQUEST,), self.suspects.quarantined(4.0, is_down=self.down.__contains__))

    def test_quarantine_ends(self):
        """Guards against a request that is rejected indefinitely."""
        self.down.update({incarnation("a"), incarnation("b")})
        self.suspects.add(REQUEST, incarnation("a"), 1.0)
        self.suspects.add(REQUEST, incarnation("b"), 1.0)
        self.suspects.quarantined(1.0, is_down=self.down.__contains__)
        self.assertEqual(
            (),
            self.suspects.quarantined(
                1.0 + crash_suspects.QUARANTINE_S, is_down=self.down.__contains__
            ),
        )


class QuarantineTest(testtools.TestCase):
    def test_rejects_every_repetition(self):
        """Guards against accepting a retry that only differs in its request id."""
        quarantine = crash_suspects.Quarantine()
        quarantine.update([REQUEST])
        self.assertTrue(quarantine.rejects(b"GET", b"/a/1", b"", NOW))

    def test_other_body_is_another_request(self):
        """Guards against rejecting all requests for a path because of one body."""
        quarantine = crash_suspects.Quarantine()
        quarantine.update([REQUEST])
        self.assertFalse(quarantine.rejects(b"GET", b"/a/1", b"x", NOW))

    def test_popular_request_near_crashes_is_not_rejected(self):
        """Guards against rejecting a frequent request that was in flight when two servers ended."""
        quarantine = crash_suspects.Quarantine()
        quarantine.record_completion(b"GET", b"/a/1", b"", NOW)
        quarantine.update([REQUEST])
        self.assertFalse(quarantine.rejects(b"GET", b"/a/1", b"", NOW))

    def test_completion_long_ago_does_not_count(self):
        """Guards against accepting a request that used to complete but now crashes servers."""
        quarantine = crash_suspects.Quarantine()
        quarantine.record_completion(b"GET", b"/a/1", b"", NOW)
        quarantine.update([REQUEST])
        later = NOW + 2 * crash_suspects.COMPLETED_KEPT_S
        self.assertTrue(quarantine.rejects(b"GET", b"/a/1", b"", later))


class FleetTest(testtools.TestCase):
    def test_completions_on_other_vms_count(self):
        """Guards against a restarted VM that rejects a frequent request for 30 s.

        The restarted VM has not seen the request complete, but another VM has.
        """
        down = {incarnation("a"), incarnation("b")}
        suspects = crash_suspects.Suspects()
        for lost in sorted(down):
            suspects.add(REQUEST, lost, NOW)
        serving, restarted = crash_suspects.Quarantine(), crash_suspects.Quarantine()
        serving.record_completion(b"GET", b"/a/1", b"", NOW)
        for quarantine in (serving, restarted):
            quarantine.update(suspects.quarantined(NOW, is_down=down.__contains__))
        for cleared in serving.cleared(NOW):
            suspects.clear(cleared, NOW)
        for lost in sorted(down):
            suspects.add(REQUEST, lost, NOW + 1)
        restarted.update(suspects.quarantined(NOW + 1, is_down=down.__contains__))
        self.assertFalse(restarted.rejects(b"GET", b"/a/1", b"", NOW + 1))
