"""Guards against a soak that does not notice a broken promise."""

import testtools

from soak import promises
from standins import key_server
from tests.ranges import fakes

NEVER = float("inf")


class Server:
    """A server as far as the checks see it."""

    def __init__(self, name, *held):
        self.server = name
        self.started_ms = 1
        self.held = held
        self.on_run = self.on_grant = None

    def holds(self, key):
        return key in self.held


class PromisesTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.seen = promises.Promises([7, 8])
        self.first, self.second = Server("a", 7), Server("b")
        self.seen.watch(self.first)
        self.seen.watch(self.second)

    def run_request(self, request_id="r", server=None, key=None):
        server = server or self.first
        server.on_run(server, request_id, key)

    def reply(self, status, *, idempotent=False, echoed="r", signature="a", body="a"):
        self.seen.replied(
            promises.Reply(
                request_id="r",
                idempotent=idempotent,
                status=status,
                echoed_id=echoed,
                signature=signature,
                body=body,
            )
        )

    def broken(self):
        return [line.split(":")[0] for line in self.seen.finish()]

    def test_proper_requests_break_nothing(self):
        self.seen.sent("r")
        self.run_request(key=7)
        self.reply(200)
        self.assertEqual([], self.broken())

    def test_two_runs_of_a_request_that_may_run_once(self):
        self.seen.sent("r")
        self.run_request()
        self.run_request(server=self.second)
        self.reply(502)
        self.assertEqual(["twice"], self.broken())

    def test_refusal_of_a_request_that_ran_later(self):
        self.seen.sent("r")
        self.reply(503)
        self.run_request()
        self.assertEqual(["refused"], self.broken())

    def test_more_runs_than_the_route_allows(self):
        self.seen.sent("r")
        for _ in range(3):
            self.run_request(key=7)
        self.reply(200, idempotent=True)
        self.assertEqual(["budget"], self.broken())

    def test_answer_to_another_request(self):
        self.seen.sent("r")
        self.run_request()
        self.reply(200, echoed="other")
        self.assertEqual(["mixed"], self.broken())

    def test_body_of_another_server(self):
        self.seen.sent("r")
        self.run_request()
        self.reply(200, body="b")
        self.assertEqual(["mixed"], self.broken())

    def test_request_that_nobody_sent(self):
        self.run_request("forged")
        self.assertEqual(["unasked"], self.broken())

    def test_second_holder_of_a_key(self):
        self.second.held = (7,)
        self.seen.sent("r")
        self.run_request(key=7)
        self.assertEqual(["owner"], self.broken())

    def test_holder_that_has_ended_does_not_count(self):
        self.second.held = (7,)
        self.seen.forget(self.second)
        self.seen.sent("r")
        self.run_request(key=7)
        self.assertEqual([], self.broken())

    def test_new_holder_without_a_higher_token(self):
        self.first.on_grant(self.first, key_server.Grant(0, 9, 4, NEVER))
        self.first.on_grant(self.first, key_server.Grant(0, 9, 4, NEVER))
        self.second.on_grant(self.second, key_server.Grant(8, 9, 4, NEVER))
        self.assertEqual(["token"], self.broken())


class IncarnationTest(testtools.TestCase):
    def test_later_incarnation_under_the_same_id_needs_a_higher_token(self):
        seen = promises.Promises([7])
        old, new = Server("a"), Server("a")
        new.started_ms = fakes.incarnation("a", 2).started_ms
        seen.watch(old)
        seen.watch(new)
        old.on_grant(old, key_server.Grant(7, 7, 4, NEVER))
        new.on_grant(new, key_server.Grant(7, 7, 4, NEVER))
        self.assertEqual(1, len(seen.finish()))
