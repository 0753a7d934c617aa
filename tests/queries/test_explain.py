"""Tests the timeline of one request."""

import testtools

from celerystack.queries import explain

GRANT = {"time": "01", "step": "lessor.grant", "message": "granted", "peer": "s1"}
OLDER_GRANT = GRANT | {"time": "00", "message": "first"}
OTHER = {"time": "01", "step": "lessor.grant", "message": "other", "peer": "s2"}
FAILED = {
    "time": "02",
    "step": "failed",
    "message": "502",
    "request_id": "r1",
    "steps": [{"at_ms": 3, "server": "s1", "outcome": "connection lost"}],
}


class TimelineTest(testtools.TestCase):
    def lines(self):
        return explain.timeline([FAILED, GRANT, OLDER_GRANT, OTHER], [FAILED])

    def test_latest_state_of_the_server_comes_first(self):
        """Guards against a timeline without the state of the server on which routing was based."""
        self.assertEqual(["01 lessor.grant: granted peer=s1"], self.lines()[:1])

    def test_attempts_are_shown(self):
        """Guards against a timeline that does not show to which server the request was sent."""
        self.assertIn("server=s1", self.lines()[-1])

    def test_other_servers_are_left_out(self):
        """Guards against a timeline with records of servers that the request was not sent to."""
        self.assertFalse(any("other" in line for line in self.lines()))
