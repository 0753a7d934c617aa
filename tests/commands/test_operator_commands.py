from __future__ import annotations

import testtools

from celerystack import errors, ids
from celerystack.commands import drain, release, undrain
from celerystack.config import change
from celerystack.state import codec, keys
from standins import memory_platform as fakes

CONFIG = (
    '[service.rota-view]\nprefixes = ["/rota/view/"]\n'
    '[server.rv-01]\nservice = "rota-view"\nzone = "z1"\naddress = "10.0.0.1:80"\n'
)
DRAIN = keys.drain(ids.ServerId("rv-01"))


def configured_platform() -> fakes.FakePlatform:
    platform = fakes.FakePlatform()
    planned = change.plan(base=change.Base(), accepted=change.Accepted(), folder={"a.toml": CONFIG})
    for write in planned.writes:
        platform.table.put(write.key, write.value)
    return platform


class OperatorCommandsTest(testtools.TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.platform = configured_platform()
        self.table = self.platform.table

    def audit_rows(self) -> list[codec.AuditRow]:
        return [
            codec.decode_fields(codec.AuditRow, self.table.row(key).value, key=key)
            for key in self.table.audit_keys()
        ]

    def test_drain_and_undrain(self) -> None:
        """Guards against a drain row without its reason, and a drain that cannot be withdrawn."""
        job = drain.drain("rv-01", operator="op", reason="disk")
        self.assertEqual((0, "rv-01: draining\n"), self.platform.run(job))
        row = codec.decode_fields(codec.OperatorRow, self.table.row(DRAIN).value, key=DRAIN)
        self.assertEqual(("op", "disk"), (row.operator, row.reason))
        self.assertEqual((0, "rv-01: already draining\n"), self.platform.run(job))
        back = undrain.undrain("rv-01", operator="op")
        self.assertEqual((0, "rv-01: no longer draining\n"), self.platform.run(back))
        self.assertIsNone(self.table.row(DRAIN).value)
        self.assertEqual((0, "rv-01: was not draining\n"), self.platform.run(back))
        self.platform.run(job)
        self.assertEqual(["drain", "undrain", "drain"], [r.action for r in self.audit_rows()])

    def test_release_needs_confirmation(self) -> None:
        """Guards against releasing a running server by a mistyped command."""
        self.assertRaises(errors.SettingsError, release.release, "rv-01")
        job = release.release("rv-01", yes=True, operator="op", reason="rack lost")
        self.assertEqual((0, "rv-01: released\n"), self.platform.run(job))
        self.assertIsNotNone(self.table.row(keys.release(ids.ServerId("rv-01"))).value)
        self.assertEqual(["release"], [row.action for row in self.audit_rows()])

    def test_unknown_server_with_hint(self) -> None:
        """Guards against draining or releasing a nonexistent server because its id is misspelt."""
        for job in (drain.drain("rv-10"), release.release("rv-10", yes=True)):
            error = self.assertRaises(errors.CelerystackError, self.platform.run, job)
            self.assertIn("did you mean 'rv-01'", str(error))
        self.assertEqual([], self.table.audit_keys())

    def test_two_operators_at_once_leave_one_change(self) -> None:
        """Guards against two audit rows for one drain that two operators request at once."""
        other = codec.encode_fields(codec.OperatorRow(operator="x", time_ms=1, reason=""))
        self.table.before_transact.append(lambda: self.table.put(DRAIN, other))
        result = self.platform.run(drain.drain("rv-01", operator="op"))
        self.assertEqual((0, "rv-01: already draining\n"), result)
        self.assertEqual([], self.table.audit_keys())

    def test_lost_response_leaves_one_audit_row(self) -> None:
        """Guards against a drain that is audited twice because the response was lost."""
        self.table.transact_faults.append(fakes.Fault.LOST_AFTER_COMMIT)
        self.platform.run(drain.drain("rv-01", operator="op"))
        self.assertEqual(1, len(self.table.audit_keys()))

    def test_permanent_conflict_ends_at_the_deadline(self) -> None:
        """Guards against a command that retries forever because every attempt conflicts."""
        self.table.before_transact += [lambda: self.table.put(DRAIN, None)] * 1000
        job = drain.drain("rv-01", operator="op")
        self.assertRaises(errors.TransactionConflictError, self.platform.run, job)
        self.assertLess(self.platform.clock.seconds(), 10.2)

    def test_corrupt_operator_row(self) -> None:
        """Guards against a traceback for an operator row that another program version wrote."""
        self.table.put(DRAIN, b"\xc1")
        error = self.assertRaises(
            errors.CorruptRowError, self.platform.run, undrain.undrain("rv-01")
        )
        self.assertIn("drain/rv-01", str(error))
