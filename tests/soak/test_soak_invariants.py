"""Guards against a soak that does not detect the violation of an invariant."""

import testtools

from soak import invariants
from standins import key_server
from tests.ranges import fakes

NEVER = float("inf")


class Server:
    """Fake server with the attributes that the checks read."""

    def __init__(self, name, *held_keys):
        self.server = name
        self.started_ms = 1
        self.held_keys = held_keys
        self.on_run = self.on_grant = None

    def holds(self, key):
        return key in self.held_keys


class InvariantCheckerTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.checker = invariants.InvariantChecker([7, 8])
        self.first, self.second = Server("a", 7), Server("b")
        self.checker.add_server(self.first)
        self.checker.add_server(self.second)

    def run_request(self, request_id="r", server=None, key=None):
        server = server or self.first
        server.on_run(server, request_id, key)

    def reply(self, status, *, idempotent=False, echoed="r", signature="a", body="a"):
        self.checker.record_reply(
            invariants.Reply(
                request_id="r",
                idempotent=idempotent,
                status=status,
                echoed_id=echoed,
                signature=signature,
                body=body,
            )
        )

    def violation_kinds(self):
        return [line.split(":")[0] for line in self.checker.finish()]

    def test_proper_requests_break_nothing(self):
        self.checker.record_request("r")
        self.run_request(key=7)
        self.reply(200)
        self.assertEqual([], self.violation_kinds())

    def test_two_runs_of_a_request_that_may_run_once(self):
        self.checker.record_request("r")
        self.run_request()
        self.run_request(server=self.second)
        self.reply(502)
        self.assertEqual(["twice"], self.violation_kinds())

    def test_refusal_of_a_request_that_ran_later(self):
        self.checker.record_request("r")
        self.reply(503)
        self.run_request()
        self.assertEqual(["refused"], self.violation_kinds())

    def test_more_runs_than_the_route_allows(self):
        self.checker.record_request("r")
        for _ in range(3):
            self.run_request(key=7)
        self.reply(200, idempotent=True)
        self.assertEqual(["budget"], self.violation_kinds())

    def test_answer_to_another_request(self):
        self.checker.record_request("r")
        self.run_request()
        self.reply(200, echoed="other")
        self.assertEqual(["mixed"], self.violation_kinds())

    def test_body_of_another_server(self):
        self.checker.record_request("r")
        self.run_request()
        self.reply(200, body="b")
        self.assertEqual(["mixed"], self.violation_kinds())

    def test_request_that_nobody_sent(self):
        self.run_request("forged")
        self.assertEqual(["unasked"], self.violation_kinds())

    def test_second_holder_of_a_key(self):
        self.second.held_keys = (7,)
        self.checker.record_request("r")
        self.run_request(key=7)
        self.assertEqual(["owner"], self.violation_kinds())

    def test_holder_that_has_ended_does_not_count(self):
        self.second.held_keys = (7,)
        self.checker.remove_server(self.second)
        self.checker.record_request("r")
        self.run_request(key=7)
        self.assertEqual([], self.violation_kinds())

    def test_new_holder_without_a_higher_token(self):
        self.first.on_grant(self.first, key_server.Grant(0, 9, 4, NEVER))
        self.first.on_grant(self.first, key_server.Grant(0, 9, 4, NEVER))
        self.second.on_grant(self.second, key_server.Grant(8, 9, 4, NEVER))
        self.assertEqual(["token"], self.violation_kinds())


class IncarnationTest(testtools.TestCase):
    def test_later_incarnation_under_the_same_id_needs_a_higher_token(self):
        checker = invariants.InvariantChecker([7])
        old, new = Server("a"), Server("a")
        new.started_ms = fakes.incarnation("a", 2).started_ms
        checker.add_server(old)
        checker.add_server(new)
        old.on_grant(old, key_server.Grant(7, 7, 4, NEVER))
        new.on_grant(new, key_server.Grant(7, 7, 4, NEVER))
        self.assertEqual(1, len(checker.finish()))
