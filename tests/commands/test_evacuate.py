from __future__ import annotations

import testtools

from celerystack import errors, ids
from celerystack.commands import evacuate, restore
from celerystack.config import change
from celerystack.state import codec, keys
from standins import memory_platform as fakes

CONFIG = """
[service.rota-view]
prefixes = ["/rota/view/"]

[service.rota-desk]
prefixes = ["/rota/desk/"]
divided = false

[server.rv-01]
service = "rota-view"
zone = "north"
address = "10.0.0.1:80"

[server.rv-02]
service = "rota-view"
zone = "south"
address = "10.0.0.2:80"

[server.rd-01]
service = "rota-desk"
zone = "north"
address = "10.0.0.3:80"
"""
NORTH, SOUTH = keys.evacuate(ids.ZoneName("north")), keys.evacuate(ids.ZoneName("south"))


class EvacuateTest(testtools.TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.platform = fakes.FakePlatform()
        self.table = self.platform.table
        self.apply(CONFIG, change.Accepted())

    def apply(self, text: str, accepted: change.Accepted) -> None:
        base = change.Base(version=accepted.version, sha256_by_file=accepted.sha256_by_file)
        planned = change.plan(base=base, accepted=accepted, folder={"a.toml": text})
        for write in planned.writes:
            self.table.put(write.key, write.value)

    def audit_rows(self) -> list[codec.AuditRow]:
        return [
            codec.decode_fields(codec.AuditRow, self.table.row(key).value, key=key)
            for key in self.table.audit_keys()
        ]

    def refusal(self, requested) -> str:
        return str(self.assertRaises(errors.CelerystackError, self.platform.run, requested))

    def test_evacuate_and_restore(self) -> None:
        """Guards against an evacuation without a reason, or one that cannot be ended."""
        job = evacuate.evacuate("south", operator="op", reason="power")
        self.assertEqual((0, "south: evacuated\n"), self.platform.run(job))
        row = codec.decode_fields(codec.OperatorRow, self.table.row(SOUTH).value, key=SOUTH)
        self.assertEqual(("op", "power"), (row.operator, row.reason))
        self.assertEqual((0, "south: already evacuated\n"), self.platform.run(job))
        back = restore.restore("south", operator="op")
        self.assertEqual((0, "south: no longer evacuated\n"), self.platform.run(back))
        self.assertIsNone(self.table.row(SOUTH).value)
        self.assertEqual((0, "south: was not evacuated\n"), self.platform.run(back))
        self.assertEqual(
            [("evacuate", "zone/south", "power"), ("restore", "zone/south", "")],
            [(row.action, row.subject, row.reason) for row in self.audit_rows()],
        )

    def test_unknown_zone_changes_nothing(self) -> None:
        """Guards against a misspelt zone that is recorded as evacuated or restored."""
        for requested in (evacuate.evacuate("sout"), restore.restore("sout")):
            refusal = self.refusal(requested)
            self.assertIn("unknown zone 'sout'; did you mean 'south'?", refusal)
            self.assertIn("(zones with servers: north, south)", refusal)
        self.assertEqual([], self.table.commits)

    def test_last_zone_changes_nothing(self) -> None:
        """Guards against a command that leaves no server to which requests may be sent."""
        self.platform.run(evacuate.evacuate("north", operator="op"))
        refusal = self.refusal(evacuate.evacuate("south", operator="op"))
        self.assertIn("zone 'south' is the last one with servers that is not evacuated", refusal)
        self.assertIsNone(self.table.row(SOUTH).value)
        self.assertEqual(1, len(self.table.commits))

    def test_two_operators_cannot_evacuate_the_last_two_zones_at_once(self) -> None:
        """Guards against two evacuations that each see the other's zone as the one that is left."""
        other = codec.encode_fields(codec.OperatorRow(operator="x", time_ms=1, reason=""))
        self.table.before_transact.append(lambda: self.table.put(NORTH, other))
        refusal = self.refusal(evacuate.evacuate("south", operator="op"))
        self.assertIn("last one with servers", refusal)
        self.assertIsNone(self.table.row(SOUTH).value)

    def test_other_zone_loses_its_servers_during_the_command(self) -> None:
        """Guards against a decision on a configuration that an apply has just replaced."""
        only_south = CONFIG.replace('zone = "north"', 'zone = "south"')
        first = change.Accepted(
            version=ids.ConfigVersion(1), snapshot="s", text_by_file={"a.toml": CONFIG}
        )
        self.table.before_transact.append(lambda: self.apply(only_south, first))
        refusal = self.refusal(evacuate.evacuate("south", operator="op"))
        self.assertIn("last one with servers", refusal)
        self.assertIsNone(self.table.row(SOUTH).value)

    def test_service_without_servers_elsewhere_is_named(self) -> None:
        """Guards against an operator who learns from callers that a service is rejected."""
        out = self.platform.run(evacuate.evacuate("north", operator="op"))[1]
        self.assertEqual(
            "north: evacuated\n"
            "warning: service rota-desk has servers in evacuated zones only; its requests are "
            "rejected\n",
            out,
        )

    def test_row_of_a_zone_without_servers_can_be_removed(self) -> None:
        """Guards against a row that stays because the zone's servers were removed."""
        row = codec.encode_fields(codec.OperatorRow(operator="x", time_ms=1, reason=""))
        gone = keys.evacuate(ids.ZoneName("gone"))
        self.table.put(gone, row)
        result = self.platform.run(restore.restore("gone", operator="op"))
        self.assertEqual((0, "gone: no longer evacuated\n"), result)
        self.assertIsNone(self.table.row(gone).value)
