from __future__ import annotations

import json

import testtools
from hypothesis import given
from hypothesis import strategies as st

from celerystack import errors, ids, model
from celerystack.commands import drain
from celerystack.queries import owner, show_audit, status
from celerystack.state import codec, keys, shard_map
from tests.commands import test_operator_commands as operator_commands

SERVICE = ids.ServiceName("rota-view")
SERVER = ids.ServerId("rv-01")
OTHER = ids.ServerId("rv-02")


class TableQueriesTest(testtools.TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.platform = operator_commands.configured_platform()
        self.table = self.platform.table
        (self.chunk,) = shard_map.new_chunks(64)
        self.hashed = shard_map.key_hash("k1")
        self.base = shard_map.base_shard(self.hashed, 64)
        self.chunk.assign(self.base, SERVER)

    def save(self) -> None:
        self.table.put(keys.shard_map(SERVICE, 0), self.chunk.encode())

    def owner(self) -> str:
        self.save()
        return self.platform.run(owner.owner("rota-view", "k1"))[1]

    def test_owner_of_a_key(self) -> None:
        """Guards against a key that is hashed or looked up differently than on entry VMs."""
        out = self.owner()
        self.assertIn(f"shard: {self.base}\n", out)
        self.assertIn("epoch: 1\nowner: rv-01\n", out)

    def test_owner_of_a_moving_and_of_a_hot_key(self) -> None:
        """Guards against naming an owner for a shard that is being moved."""
        hot = self.chunk.split_key(self.hashed, self.base)
        self.assertIn(f"shard: {hot} (hot)\n", self.owner())
        self.chunk.start_move(hot, OTHER)
        self.assertIn("owner: none (moving from rv-01 to rv-02)", self.owner())

    def test_owner_without_a_map_and_of_an_unknown_service(self) -> None:
        """Guards against a traceback or a wrong owner if the shard map or service is missing."""
        error = self.assertRaises(
            errors.CelerystackError, self.platform.run, owner.owner("rota-view", "k1")
        )
        self.assertIn("no shard map", str(error))
        error = self.assertRaises(
            errors.CelerystackError, self.platform.run, owner.owner("rota-vew", "k1")
        )
        self.assertIn("did you mean 'rota-view'", str(error))

    def test_owner_with_a_corrupt_map(self) -> None:
        """Guards against a traceback for a shard map row that cannot be decoded."""
        self.table.put(keys.shard_map(SERVICE, 0), b"\xc1")
        error = self.assertRaises(
            errors.CorruptRowError, self.platform.run, owner.owner("rota-view", "k1")
        )
        self.assertIn("map/rota-view/000000", str(error))

    def test_status_of_servers_and_shards(self) -> None:
        """Guards against counting moving shards as unowned, and omitting undeclared servers."""
        self.chunk.assign(ids.ShardId((self.base + 1) % 64), SERVER)
        self.chunk.start_move(ids.ShardId((self.base + 1) % 64), OTHER)
        self.save()
        for server, state in ((SERVER, model.ServerState.ACTIVE), (OTHER, model.ServerState.LOST)):
            row = model.ServerRow(
                server=server,
                state=state,
                token=ids.Token(7),
                lessors=(model.LessorRef(ids.EntryVmId("e1"), ids.Incarnation("i")),),
            )
            self.table.put(keys.server(server), codec.encode_server(row))
        self.platform.run(drain.drain("rv-01", operator="op"))
        report = json.loads(self.platform.run(status.status(json=True))[1])
        self.assertEqual(1, report["config_version"])
        self.assertEqual(
            {
                "divided": True,
                "shards": 64,
                "unrecorded": 0,
                "unowned": 62,
                "moving": 1,
                "hot": 0,
            },
            report["services"]["rota-view"],
        )
        server = report["servers"]["rv-01"]
        self.assertEqual(
            ("active", 7, ["e1"], 1, "op"),
            (
                server["state"],
                server["token"],
                server["lessors"],
                server["shards"],
                server["drain_requested_by"],
            ),
        )
        self.assertFalse(report["servers"]["rv-02"]["declared"])
        text = self.platform.run(status.status())[1]
        self.assertIn("server rv-01: active", text)
        self.assertIn("drain requested by op", text)

    def test_status_of_evacuated_zones(self) -> None:
        """Guards against a status from which an operator cannot tell when a zone is empty."""
        self.save()
        row = codec.OperatorRow(operator="op", time_ms=1, reason="power")
        self.table.put(keys.evacuate(ids.ZoneName("z1")), codec.encode_fields(row))
        report = json.loads(self.platform.run(status.status(json=True))[1])
        self.assertEqual(
            {"z1": {"evacuated_by": "op", "reason": "power", "servers": 1, "shards": 1}},
            report["evacuated_zones"],
        )
        text = self.platform.run(status.status())[1]
        self.assertIn("zone z1: evacuated by op, 1 shards left on its 1 servers\n", text)

    def test_shards_without_a_map_row_are_shown(self) -> None:
        """Guards against a status that hides that no shard has a map row yet."""
        text = self.platform.run(status.status())[1]
        self.assertIn("rota-view: 64 shards, 64 without a map row, 0 unowned", text)

    def test_status_of_an_empty_table(self) -> None:
        """Guards against a failure because the table is empty before the first apply."""
        self.table.rows_by_key.clear()
        self.assertEqual((0, "configuration version: 0\n"), self.platform.run(status.status()))


class AuditQueryTest(testtools.TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.platform = operator_commands.configured_platform()
        for number, (operator, subject) in enumerate(
            [("ann", "config"), ("bob", "map/rota-view"), ("ann", "server/rv-01")]
        ):
            row = codec.AuditRow(
                transaction=ids.TransactionId(f"t{number}"),
                operator=operator,
                time_ms=1_000_000 + number * 1000,
                action="move_start",
                subject=subject,
                reason="why",
                before="x",
                after="y",
            )
            key = keys.audit(row.time_ms, row.transaction)
            self.platform.table.put(key, codec.encode_fields(row))

    def subjects(self, **filters: str) -> list[str]:
        out = self.platform.run(show_audit.audit(json=True, **filters))[1]
        return [json.loads(line)["subject"] for line in out.splitlines()]

    def test_filters(self) -> None:
        """Guards against filters that omit matching entries or include others."""
        self.assertEqual(["config", "map/rota-view", "server/rv-01"], self.subjects())
        self.assertEqual(["config", "server/rv-01"], self.subjects(operator="ann"))
        self.assertEqual(["map/rota-view"], self.subjects(service="rota-view"))
        self.assertEqual([], self.subjects(service="rota"))
        since, until = "1970-01-01T00:16:41", "1970-01-01T00:16:42+00:00"
        self.assertEqual(["map/rota-view", "server/rv-01"], self.subjects(since=since))
        self.assertEqual(["map/rota-view"], self.subjects(since=since, until=until))
        self.assertEqual([], self.subjects(action="apply"))

    @given(st.integers(0, 10**13), st.integers(1, 10**5), st.integers(0, 10**5))
    def test_scanned_prefix_covers_the_time_range(self, since, duration, offset) -> None:
        """Guards against a key prefix that excludes entries of the time range."""
        row_filter = show_audit.AuditFilter(
            since_ms=since, until_ms=since + duration, operator="", service="", action=""
        )
        key = keys.audit(since + offset % duration, ids.TransactionId("t"))
        self.assertTrue(key.startswith(row_filter.prefix()))
        self.assertTrue(row_filter.prefix().startswith(keys.AUDIT_PREFIX))

    def test_narrow_range_reads_few_rows(self) -> None:
        """Guards against scanning the whole audit log for a time range of one minute."""
        row_filter = show_audit.AuditFilter(
            since_ms=1_700_000_000_000,
            until_ms=1_700_000_060_000,
            operator="",
            service="",
            action="",
        )
        self.assertEqual("audit/0017000000", row_filter.prefix()[:16])

    def test_line_has_time_operator_reason_and_change(self) -> None:
        """Guards against entries without time, operator, reason or change."""
        out = self.platform.run(show_audit.audit(operator="bob"))[1]
        self.assertEqual(
            "1970-01-01T00:16:41.000Z bob move_start map/rota-view (why): x -> y\n", out
        )

    def test_bad_time_is_a_usage_error(self) -> None:
        """Guards against ignoring a filter whose time is malformed."""
        self.assertRaises(errors.SettingsError, show_audit.audit, since="yesterday")

    def test_corrupt_row_is_reported_after_the_others(self) -> None:
        """Guards against one corrupt row that hides all other entries."""
        self.platform.table.put("audit/000000000000001-x", b"\xc1")
        error = self.assertRaises(errors.CorruptRowError, self.platform.run, show_audit.audit())
        self.assertIn("audit/000000000000001-x", str(error))
