"""Tests which pipelined requests of a connection run at the same time, without network."""

import testtools

from celerystack.requests import pipeline


class PipelineTest(testtools.TestCase):
    def pipeline(self, names, *, overlapping="s"):
        """Return a pipeline of requests named like ``s1``; those that start with ``s`` overlap."""
        requests = pipeline.Pipeline(lambda name: name[0] in overlapping)
        for name in names.split():
            requests.add(name, 10)
        return requests

    def take_all(self, requests):
        found = []
        while (request := requests.take_startable()) is not None:
            found.append(request)
        return found

    def test_overlapping_requests_start_together(self):
        """Guards against requests that wait for a slow one although they could run beside it."""
        self.assertEqual(["s1", "s2", "s3"], self.take_all(self.pipeline("s1 s2 s3")))

    def test_other_requests_run_alone(self):
        """Guards against a request that is not idempotent and starts before its predecessors end.

        Its caller may have wanted the effect of the earlier requests first.
        """
        requests = self.pipeline("s1 s2 u3 s4")
        self.assertEqual(["s1", "s2"], self.take_all(requests))
        requests.remove_first()
        self.assertEqual([], self.take_all(requests))
        requests.remove_first()
        self.assertEqual(["u3"], self.take_all(requests))
        requests.remove_first()
        self.assertEqual(["s4"], self.take_all(requests))

    def test_nothing_is_read_behind_a_request_that_runs_alone(self):
        """Guards against reading requests that cannot start yet."""
        self.assertFalse(self.pipeline("u1").may_read_on)
        self.assertFalse(self.pipeline("s1 u2").may_read_on)
        self.assertTrue(self.pipeline("s1 s2").may_read_on)
        self.assertTrue(self.pipeline("").may_read_on)

    def test_number_of_requests_is_bounded(self):
        """Guards against a caller that sends requests without end and never gets a response."""
        requests = self.pipeline(" ".join(f"s{n}" for n in range(pipeline.REQUESTS_MAX)))
        self.assertFalse(requests.may_read_on)
        requests.remove_first()
        self.assertTrue(requests.may_read_on)

    def test_bodies_are_bounded(self):
        """Guards against many large bodies of one connection in memory."""
        requests = self.pipeline("s1")
        requests.add("s2", pipeline.BODY_BYTES_MAX)
        self.assertFalse(requests.may_read_on)

    def test_held_responses_are_bounded(self):
        """Guards against responses that pile up behind a slow first request."""
        requests = self.pipeline("s1 s2 s3")
        for _ in range(2):
            requests.take_startable()
        requests.hold("s2", b"x" * (pipeline.HELD_BYTES_MAX + 1))
        self.assertIsNone(requests.take_startable())
        requests.remove_first()
        self.assertEqual("s2", requests.first_held()[0])
        requests.remove_first()
        self.assertEqual("s3", requests.take_startable())

    def test_single_requests_are_not_examined(self):
        """Guards against work for callers that do not pipeline."""
        requests = pipeline.Pipeline(self.fail)
        for _ in range(3):
            requests.add("s1", 0)
            self.assertEqual("s1", requests.take_startable())
            self.assertIsNone(requests.take_startable())
            requests.remove_first()
