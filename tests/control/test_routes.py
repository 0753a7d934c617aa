from __future__ import annotations

import testtools

from celerystack import ids, model
from celerystack.control import changes, routes
from celerystack.state import keys, shard_map
from tests.control import table_cluster

B1, B2, BROWSE, D1 = table_cluster.B1, table_cluster.B2, table_cluster.BROWSE, table_cluster.D1

KEY_HASH = shard_map.key_hash("k1")
SHARD = shard_map.base_shard(KEY_HASH, 4)


class RoutesTest(testtools.TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.cluster = table_cluster.TableCluster()
        self.counted: list[tuple[str, int]] = []
        self.usable = {B1, B2, D1}
        self.routes = routes.Routes(
            self.cluster.view,
            may_send=lambda server: server == B1,
            is_usable=lambda server: server in self.usable,
            on_route=lambda service, key_hash, shard: self.counted.append((service, shard)),
        )
        # The configuration was loaded before the routes listened to the view, so it is sent again.
        self.cluster.write(keys.CONFIG_HEAD, self.cluster.cache.get(keys.CONFIG_HEAD).value)
        self.service = self.cluster.view.configuration.services_by_name[BROWSE]

    def route(self) -> model.RouteResult:
        return self.routes.route(self.service, KEY_HASH)

    def start_move(self) -> None:
        change = changes.start_moves(self.cluster.view, BROWSE, {SHARD: B2}, reason="test")
        self.cluster.commit(change)

    def start_waiting(self) -> list[str]:
        fired: list[str] = []
        self.routes.wait_for_change(self.service).addCallback(lambda _: fired.append("changed"))
        return fired

    def test_route_follows_the_map(self) -> None:
        """Guards against a request to the former owner, or with an outdated epoch."""
        self.assertIsInstance(self.route(), model.NoOwner)
        self.cluster.create_servers()
        self.cluster.assign_all()
        self.assertEqual((B1, 1), (self.route().server, self.route().epoch))
        self.start_move()
        self.assertEqual(model.Moving(SHARD), self.route())
        self.cluster.commit(changes.finish_moves(self.cluster.view, BROWSE, {SHARD: B2}))
        self.assertEqual((B2, 3), (self.route().server, self.route().epoch))

    def test_hot_key_has_its_own_route(self) -> None:
        """Guards against routing a hot key to its base shard, or other keys to the hot shard."""
        self.cluster.create_servers()
        self.cluster.assign_all()
        self.cluster.commit(changes.split_hot_keys(self.cluster.view, BROWSE, {KEY_HASH: SHARD}))
        hot = self.route()
        self.assertGreaterEqual(hot.shard, model.HOT_SHARD_BASE)
        self.assertEqual(1, hot.epoch)
        other_route = self.routes.route(self.service, ids.KeyHash(KEY_HASH + 1))
        self.assertEqual((SHARD, 2), (other_route.shard, other_route.epoch))

    def test_only_requests_with_an_owner_are_counted(self) -> None:
        """Guards against load that is counted for shards without an owner."""
        self.route()
        self.cluster.create_servers()
        self.cluster.assign_all()
        self.start_move()
        self.route()
        self.assertEqual([], self.counted)
        self.cluster.commit(changes.finish_moves(self.cluster.view, BROWSE, {SHARD: B2}))
        self.route()
        self.assertEqual([(BROWSE, SHARD)], self.counted)

    def test_held_requests_are_woken_by_a_new_map_once(self) -> None:
        """Guards against a held request that is never woken, or is woken twice."""
        self.cluster.create_servers()
        self.cluster.assign_all()
        self.start_move()
        fired = self.start_waiting()
        self.cluster.write(keys.drain(D1), b"")
        self.assertEqual([], fired)
        self.cluster.commit(changes.finish_moves(self.cluster.view, BROWSE, {SHARD: B2}))
        self.routes.wake(BROWSE)
        self.assertEqual(["changed"], fired)

    def test_cancelled_wait_leaves_the_others(self) -> None:
        """Guards against a held request whose expired deadline ends the wait of another one."""
        cancelled = self.routes.wait_for_change(self.service)
        cancelled.addErrback(lambda _: None)
        fired = self.start_waiting()
        cancelled.cancel()
        self.assertEqual([], fired)
        self.routes.wake(BROWSE)
        self.assertEqual(["changed"], fired)

    def test_woken_request_that_waits_again(self) -> None:
        """Guards against an endless loop, or a lost waiter, when a woken request waits again."""
        again: list[str] = []

        def wait_again(_: None) -> None:
            self.routes.wait_for_change(self.service).addCallback(lambda _: again.append("changed"))

        self.routes.wait_for_change(self.service).addCallback(wait_again)
        self.routes.wake(BROWSE)
        self.assertEqual([], again)
        self.routes.wake(BROWSE)
        self.assertEqual(["changed"], again)

    def test_declared_number_of_shards_changes_nothing(self) -> None:
        """Guards against keys that change shards when the declared number of shards changes."""
        self.cluster.create_servers()
        self.cluster.assign_all()
        before = self.route()
        self.service = model.Service(name=BROWSE, prefixes=("/browse/",), shards=4096)
        self.assertEqual(before, self.route())

    def test_unusable_servers_get_no_new_requests(self) -> None:
        """Guards against new requests to a leaving server of a service not divided by key."""
        desk = self.cluster.view.configuration.services_by_name[ids.ServiceName("desk")]
        self.assertEqual([D1], [server.server for server in self.routes.servers(desk)])
        self.usable.discard(D1)
        self.assertEqual((), self.routes.servers(desk))

    def test_corrupt_map_row_keeps_the_route(self) -> None:
        """Guards against losing the routes of a service when a row of its map cannot be decoded."""
        self.cluster.create_servers()
        self.cluster.assign_all()
        before = self.route()
        self.cluster.write(keys.shard_map(BROWSE, 0), b"\xc1")
        self.assertEqual(before, self.route())
