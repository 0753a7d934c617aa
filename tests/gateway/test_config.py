"""Tests of the route lookup and of traffic splitting between services."""

import collections

import testtools

from celerystack import ids
from celerystack.gateway import config


def route(prefix, *weights, host="h"):
    targets = tuple(
        config.Target(service=ids.ServiceName(f"s{n}"), weight=weight)
        for n, weight in enumerate(weights or (1.0,))
    )
    return config.Route(
        name=prefix,
        host=host,
        prefix=prefix,
        targets=targets,
        idempotent=True,
        timeout_s=1.0,
        target_latency_s=0.4,
        attempts_max=2,
        priority=1,
    )


class RouteTableTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.table = config.RouteTable([route("/a/"), route("/a/b/"), route("/x/", host="other")])

    def found(self, path, host="h"):
        match = self.table.find(host, path)
        return None if match is None else match.prefix

    def test_longest_prefix_wins(self):
        """Guards against routing a request to the service of a shorter matching prefix."""
        self.assertEqual("/a/b/", self.found("/a/b/c"))

    def test_prefix_ends_at_a_slash(self):
        """Guards against a prefix that matches part of a path segment."""
        self.assertEqual("/a/", self.found("/a/bc"))

    def test_other_hosts_do_not_match(self):
        """Guards against a route that matches requests for another host."""
        self.assertIsNone(self.found("/x/1"))


class SplitterTest(testtools.TestCase):
    def test_weights_hold_over_short_spans(self):
        """Guards against proportions that are only correct over long sequences of requests."""
        splitter, split = config.Splitter(), route("/a/", 90, 10)
        counts = collections.Counter(splitter.pick(split) for _ in range(20))
        self.assertEqual({"s0": 18, "s1": 2}, dict(counts))
