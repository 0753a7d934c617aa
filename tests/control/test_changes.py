from __future__ import annotations

import dataclasses

import testtools

from celerystack import ids, model
from celerystack.control import changes
from celerystack.state import keys
from celerystack.store import ports
from tests.control import table_cluster

B1, B2, BROWSE, D1 = table_cluster.B1, table_cluster.B2, table_cluster.BROWSE, table_cluster.D1


class ChangesTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.cluster = table_cluster.TableCluster()
        self.cluster.create_servers()
        self.cluster.assign_all()

    def test_every_assignment_raises_the_receivers_token(self):
        """Guards against an assignment that changes a server's grant without a new token."""
        self.assertEqual(2, self.cluster.row(B1).token)
        self.assertEqual([0, 1, 2, 3], self.cluster.shards_of(B1))

    def test_moved_shard_has_no_owner_until_the_move_is_finished(self):
        """Guards against two owners during a planned move of a shard."""
        shard = ids.ShardId(1)
        before = self.cluster.row(B1).token
        self.cluster.commit(
            changes.start_moves(self.cluster.view, BROWSE, {shard: B2}, reason="balance")
        )
        self.assertEqual([0, 2, 3], self.cluster.shards_of(B1))
        self.assertEqual([], self.cluster.shards_of(B2))
        self.assertEqual(before + 1, self.cluster.row(B1).token)
        self.cluster.commit(changes.finish_moves(self.cluster.view, BROWSE, {shard: B2}))
        self.assertEqual([1], self.cluster.shards_of(B2))
        self.assertEqual(2, self.cluster.row(B2).token)

    def test_concurrent_moves_of_one_shard_conflict(self):
        """Guards against two entry VMs that concurrently assign one shard to different servers."""
        shard = ids.ShardId(1)
        first = changes.start_moves(self.cluster.view, BROWSE, {shard: B2}, reason="balance")
        second = changes.start_moves(self.cluster.view, BROWSE, {shard: B1}, reason="balance")
        self.cluster.commit(first)
        self.assertRaises(table_cluster.ConflictError, self.cluster.commit, second)

    def test_takeover_moves_all_shards_in_one_transaction(self):
        """Guards against a takeover that leaves shards at the lost server or keeps their epochs."""
        targets = {(BROWSE, ids.ShardId(shard)): B2 for shard in range(4)}
        epochs = [grant.epoch for grant in self.cluster.view.granted_shards(B1)]
        self.cluster.commit(
            changes.take_over(
                self.cluster.view, self.cluster.row(B1), targets_by_shard=targets, reason="test"
            )
        )
        self.assertIs(model.ServerState.LOST, self.cluster.row(B1).state)
        self.assertEqual((), self.cluster.row(B1).lessors)
        self.assertEqual([0, 1, 2, 3], self.cluster.shards_of(B2))
        after = [grant.epoch for grant in self.cluster.view.granted_shards(B2)]
        self.assertTrue(all(new > old for new, old in zip(after, epochs, strict=True)))

    def test_takeover_conflicts_with_a_change_of_the_lessors(self):
        """Guards against a takeover based on promises of lessors that have since been replaced."""
        row = self.cluster.row(B1)
        takeover = changes.take_over(self.cluster.view, row, targets_by_shard={}, reason="test")
        self.cluster.commit(
            changes.replace_lessors(
                self.cluster.view,
                row,
                lessors=table_cluster.LESSORS,
                previous=row.lessors,
                incarnation=row.incarnation,
                reason="test",
            )
        )
        self.assertRaises(table_cluster.ConflictError, self.cluster.commit, takeover)

    def test_operator_evidence_is_used_once(self):
        """Guards against evidence of loss that outlives its takeover and causes another one."""
        self.cluster.write(keys.release(B1), b"evidence")
        self.cluster.commit(
            changes.take_over(
                self.cluster.view, self.cluster.row(B1), targets_by_shard={}, reason="released"
            )
        )
        self.assertFalse(self.cluster.view.release_row(B1).value)

    def test_operator_evidence_is_withdrawn_when_the_server_answers(self):
        """Guards against evidence of loss that stays in force although the server answers again."""
        self.cluster.write(keys.release(B1), b"evidence")
        row = self.cluster.row(B1)
        self.cluster.commit(
            changes.replace_lessors(
                self.cluster.view,
                row,
                lessors=row.lessors,
                previous=(),
                incarnation=ids.Incarnation("s2"),
                reason="server answers",
            )
        )
        self.assertFalse(self.cluster.view.release_row(B1).value)


class ClusterViewTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.cluster = table_cluster.TableCluster()
        self.cluster.create_servers()

    def test_corrupt_rows_keep_the_last_good_state(self):
        """Guards against a crash, or loss of ownership, when a table row cannot be decoded."""
        self.cluster.assign_all()
        for key in (keys.server(B1), keys.shard_map(BROWSE, 0), keys.CONFIG_HEAD):
            self.cluster.write(key, b"\xc1")
        self.assertEqual(2, self.cluster.row(B1).token)
        self.assertEqual([0, 1, 2, 3], self.cluster.shards_of(B1))
        self.assertEqual(1, self.cluster.view.configuration.version)

    def test_incomplete_configuration_is_not_used(self):
        """Guards against a configuration that mixes files of two versions.

        A new file is read before the head row that makes it part of a version.
        """
        self.cluster.write(keys.config_file("10.toml"), b"[service.other]\nprefixes=['/o/']\n")
        self.assertIn(BROWSE, self.cluster.view.configuration.services_by_name)

    def test_undivided_service_grants_one_shard_to_each_server(self):
        """Guards against servers of a service not divided by key that never get a lease."""
        self.assertEqual([0], self.cluster.shards_of(D1))

    def test_undeclared_server_does_not_check_tokens(self):
        """Guards against relying on a server to check tokens although that is not declared."""
        self.assertTrue(self.cluster.view.checks_token(B1))
        self.assertFalse(self.cluster.view.checks_token(D1))
        self.assertFalse(self.cluster.view.checks_token(ids.ServerId("unknown")))

    def test_older_rows_change_nothing(self):
        """Guards against a peer with older rows that reverts an assignment."""
        self.cluster.assign_all()
        row = dataclasses.replace(
            self.cluster.cache.get(keys.server(B1)), version=ids.RowVersion(1)
        )
        self.cluster.cache.merge([ports.Row(row.key, row.version, b"\xc1")])
        self.assertEqual(2, self.cluster.row(B1).token)

    def test_server_row_without_its_map_is_not_consistent(self):
        """Guards against granting the old shards under a new token when rows arrive one by one.

        The server would then acknowledge the release of a shard that it still owns.
        """
        self.cluster.assign_all()
        change = changes.start_moves(
            self.cluster.view, BROWSE, {ids.ShardId(1): B2}, reason="balance"
        )
        writes = {write.key: write.value for write in change.writes}
        self.assertTrue(self.cluster.view.is_consistent(self.cluster.row(B1)))
        self.cluster.write(keys.server(B1), writes[keys.server(B1)])
        self.assertFalse(self.cluster.view.is_consistent(self.cluster.row(B1)))
        self.cluster.write(keys.shard_map(BROWSE, 0), writes[keys.shard_map(BROWSE, 0)])
        self.assertTrue(self.cluster.view.is_consistent(self.cluster.row(B1)))

    def test_former_zone_is_kept_for_claims(self):
        """Guards against claiming a request id in the new zone of a key only, after a takeover."""
        self.cluster.assign_all()
        targets = {(BROWSE, ids.ShardId(shard)): B2 for shard in range(4)}
        self.cluster.commit(
            changes.take_over(
                self.cluster.view, self.cluster.row(B1), targets_by_shard=targets, reason="test"
            )
        )
        _, chunk = self.cluster.view.chunk(BROWSE, 0)
        self.assertEqual(["z1"], [f.zone for f in chunk.former_zones_by_shard[ids.ShardId(0)]])
