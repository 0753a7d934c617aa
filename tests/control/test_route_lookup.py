"""Tests of route lookups by `requests.targets`, and of what they count as traffic."""

from __future__ import annotations

import testtools
from twisted.internet import defer, task

from celerystack import ids, model
from celerystack.control import changes, routes
from celerystack.requests import calls, targets
from celerystack.state import shard_map
from tests.control import table_cluster

KEY = "k1"


class CountingTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.cluster = table_cluster.TableCluster()
        self.counted = []
        self.routes = routes.Routes(
            self.cluster.view,
            may_send=lambda _: True,
            is_usable=lambda _: True,
            on_route=lambda *counted: self.counted.append(counted),
        )
        self.cluster.create_servers()
        self.service = self.cluster.view.configuration.services_by_name[table_cluster.BROWSE]
        self.finder = targets.TargetFinder(task.Clock(), self.routes, None, now=lambda: 0.0)
        self.call = calls.Call(
            service=self.service,
            method="GET",
            target=b"/browse/k1",
            headers=(),
            body=b"",
            deadline=1.0,
            key=KEY,
        )

    def find(self):
        found = defer.Deferred.fromCoroutine(self.finder.find(self.call, {}))
        results = []
        found.addCallback(results.append)
        return results[0]

    def test_an_attempt_is_counted_once(self):
        """Guards against counting a request again when its route is checked before the write."""
        self.cluster.assign_all()
        target = self.find()
        self.assertTrue(self.finder.is_current(self.call, target))
        key_hash = shard_map.key_hash(KEY)
        self.assertEqual([(table_cluster.BROWSE, key_hash, target.route.shard)], self.counted)

    def test_both_lookups_agree(self):
        """Guards against a check before the write that disagrees with the route lookup."""
        key_hash = shard_map.key_hash(KEY)
        for prepare in (lambda: None, self.cluster.assign_all):
            prepare()
            self.assertEqual(
                self.routes.route(self.service, key_hash),
                self.routes.current_route(self.service, key_hash),
            )

    def test_a_target_is_outdated_after_a_move(self):
        """Guards against a write to the former owner of a key after its shard has moved."""
        self.cluster.assign_all()
        target = self.find()
        shards = {ids.ShardId(shard): table_cluster.B2 for shard in range(4)}
        self.cluster.commit(changes.assign(self.cluster.view, table_cluster.BROWSE, shards))
        self.assertFalse(self.finder.is_current(self.call, target))
        moved = self.find()
        self.assertIsInstance(moved.route, model.Route)
        self.assertTrue(self.finder.is_current(self.call, moved))
