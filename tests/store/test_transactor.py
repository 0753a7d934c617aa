from __future__ import annotations

import testtools
from hypothesis import given
from hypothesis import strategies as st

from celerystack import errors, ids
from celerystack.observe import audit
from celerystack.store import ports, transactor
from standins import memory_platform as fakes

KEY = ids.RowKey("server/a")
OTHER = ids.RowKey("server/b")


def _start(platform: fakes.FakePlatform, *, expected: int = 0, limit_s: float = 5.0, extra=()):
    entry = audit.build_row(
        transaction=ids.TransactionId("t1"),
        operator="op",
        time_ms=7,
        action=audit.Action.DRAIN,
        subject="server/a",
    )
    return transactor.Transactor(platform.clock, platform.table).transact(
        expected_versions_by_key={KEY: ids.RowVersion(expected)},
        writes=(ports.Write(KEY, b"new"), *extra),
        audit=entry,
        deadline=platform.clock.seconds() + limit_s,
    )


class TransactorTest(testtools.TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.platform = fakes.FakePlatform()
        self.table = self.platform.table

    def assert_committed_once(self, rows: list[ports.Row]) -> None:
        self.assertEqual([ports.Row(KEY, ids.RowVersion(1), b"new")], rows)
        self.assertEqual(1, len(self.table.commits))
        self.assertEqual(["audit/000000000000007-t1"], self.table.audit_keys())

    def test_plain_commit_writes_rows_and_audit_together(self) -> None:
        """Guards against a change without an audit row."""
        self.assert_committed_once(self.platform.wait(_start(self.platform)))

    def test_lost_response_after_commit_is_resolved_without_second_commit(self) -> None:
        """Guards against committing a change twice because the response was lost."""
        self.table.transact_faults.append(fakes.Fault.LOST_AFTER_COMMIT)
        self.assert_committed_once(self.platform.wait(_start(self.platform)))
        self.assertEqual(1, self.table.attempts)

    def test_lost_request_is_sent_again(self) -> None:
        """Guards against reporting a change as committed whose request was lost."""
        self.table.transact_faults.append(fakes.Fault.LOST_BEFORE_COMMIT)
        self.assert_committed_once(self.platform.wait(_start(self.platform)))

    def test_late_commit_after_the_read_is_not_doubled(self) -> None:
        """Guards against two commits if the first attempt commits after the audit row was read."""
        self.table.transact_faults.extend(
            [fakes.Fault.LOST_THEN_COMMITS, fakes.Fault.REFUSED, fakes.Fault.REFUSED]
        )
        self.table.late_commit_s = 0.06
        self.assert_committed_once(self.platform.wait(_start(self.platform)))

    def test_audit_read_is_repeated_while_the_table_is_down(self) -> None:
        """Guards against giving up at the first failed read of the audit row."""
        self.table.transact_faults.append(fakes.Fault.LOST_AFTER_COMMIT)
        self.table.read_faults.extend([fakes.Fault.REFUSED, fakes.Fault.LOST_BEFORE_COMMIT] * 3)
        self.assert_committed_once(self.platform.wait(_start(self.platform)))

    def test_unknown_at_the_deadline(self) -> None:
        """Guards against reporting a definite outcome while it is unknown."""
        self.table.transact_faults.append(fakes.Fault.LOST_AFTER_COMMIT)
        self.table.read_faults.extend([fakes.Fault.REFUSED] * 1000)
        running = _start(self.platform, limit_s=2.0)
        error = self.assertRaises(errors.AnswerLostError, self.platform.wait, running, limit_s=4.0)
        self.assertIn("t1", str(error))
        self.assertLess(self.platform.clock.seconds(), 2.1)

    def test_refusal_is_reported_at_once(self) -> None:
        """Guards against retrying a call that was refused, instead of reporting it."""
        self.table.transact_faults.append(fakes.Fault.REFUSED)
        self.assertRaises(
            errors.PlatformUnavailableError, self.platform.wait, _start(self.platform)
        )
        self.assertEqual(1, self.table.attempts)

    def test_conflict_leaves_no_audit_row(self) -> None:
        """Guards against an audit row for a change that was not committed."""
        self.table.put(KEY, b"other")
        self.assertRaises(
            errors.TransactionConflictError, self.platform.wait, _start(self.platform)
        )
        self.assertEqual([], self.table.audit_keys())

    def test_lost_request_then_conflict_is_a_conflict(self) -> None:
        """Guards against reporting a lost transaction as committed after a concurrent one won."""
        self.table.transact_faults.append(fakes.Fault.LOST_BEFORE_COMMIT)
        self.table.before_transact += [lambda: None, lambda: self.table.put(KEY, b"other")]
        self.assertRaises(
            errors.TransactionConflictError, self.platform.wait, _start(self.platform)
        )
        self.assertEqual(b"other", self.table.row(KEY).value)
        self.assertEqual([], self.table.audit_keys())

    def test_versions_are_those_of_the_transaction_even_if_overwritten_since(self) -> None:
        """Guards against reporting the row of a later transaction as the result of this one."""
        self.table.transact_faults.append(fakes.Fault.LOST_AFTER_COMMIT)
        self.table.read_faults.append(fakes.Fault.REFUSED)
        running = _start(self.platform)
        self.table.put(KEY, b"newer")
        rows = self.platform.wait(running)
        self.assertEqual([ports.Row(KEY, ids.RowVersion(1), b"new")], rows)

    def test_transaction_that_changes_no_condition_commits_once(self) -> None:
        """Guards against a second commit that only the condition on the audit row prevents."""
        self.table.transact_faults.append(fakes.Fault.LOST_THEN_COMMITS)
        self.table.late_commit_s = 0.02
        entry = audit.build_row(
            transaction=ids.TransactionId("t1"),
            operator="op",
            time_ms=7,
            action=audit.Action.DRAIN,
            subject="server/a",
        )
        running = transactor.Transactor(self.platform.clock, self.table).transact(
            expected_versions_by_key={OTHER: ids.RowVersion(0)},
            writes=(ports.Write(KEY, b"new"),),
            audit=entry,
            deadline=5.0,
        )
        rows = self.platform.wait(running)
        self.platform.clock.advance(1.0)
        self.assert_committed_once(rows)

    def test_unconditional_rows_are_read_back(self) -> None:
        """Guards against reporting a guessed version of a row that had no condition."""
        self.table.put(OTHER, b"old")
        self.table.transact_faults.append(fakes.Fault.LOST_AFTER_COMMIT)
        rows = self.platform.wait(_start(self.platform, extra=(ports.Write(OTHER, b"x"),)))
        self.assertEqual(ports.Row(OTHER, ids.RowVersion(2), b"x"), rows[1])

    @given(
        transact_faults=st.lists(st.sampled_from(list(fakes.Fault)), max_size=6),
        read_faults=st.lists(st.sampled_from(list(fakes.Fault)), max_size=6),
        late_commit_s=st.floats(0.0, 3.0),
        overtaken_at=st.none() | st.integers(0, 3),
    )
    def test_outcome_matches_the_table_under_any_faults(
        self, transact_faults, read_faults, late_commit_s, overtaken_at
    ) -> None:
        """Guards against reporting a wrong outcome, and two audit rows or none for one change."""
        platform = fakes.FakePlatform()
        table = platform.table
        table.transact_faults.extend(transact_faults)
        table.read_faults.extend(read_faults)
        table.late_commit_s = late_commit_s
        if overtaken_at is not None:
            table.before_transact += [lambda: None] * overtaken_at
            table.before_transact.append(lambda: table.put(KEY, b"other"))
        committed: bool | None
        try:
            platform.wait(_start(platform, limit_s=4.0))
            committed = True
        except (errors.TransactionConflictError, errors.PlatformUnavailableError):
            committed = False
        except errors.AnswerLostError:
            committed = None
        platform.clock.advance(10.0)
        self.assertLessEqual(len(table.commits), 1)
        self.assertEqual(len(table.commits), len(table.audit_keys()))
        if committed is not None:
            self.assertEqual(int(committed), len(table.commits))
