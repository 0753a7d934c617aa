"""Tests of the committer with the real tasks of two entry VMs and an in-memory table."""

from __future__ import annotations

import testtools
from twisted.internet import defer

from celerystack import ids
from celerystack.control import change_builder, committer
from celerystack.observe import audit
from celerystack.state import keys
from standins import control_simulation
from standins import memory_platform as fakes

KEY = keys.drain(ids.ServerId("b1"))


class CommitterTest(testtools.TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.simulation = control_simulation.ControlSimulation(
            zones_by_vm={"e1": "z1", "e2": "z1"}, servers=[]
        )
        self.first, self.second = self.simulation.vms
        self.simulation.start()
        self.simulation.run(1.0)
        self.table = self.simulation.table
        self.callbacks: list[tuple[str, object]] = []
        self.committer = committer.Committer(
            self.simulation.clock,
            transactor=control_simulation.transactor.Transactor(self.simulation.clock, self.table),
            table_sync=self.first.table_sync,
            rows=self.first.rows,
            operator="router e1",
            on_commit=lambda change: self.callbacks.append(("commit", change.subject)),
            on_failure=lambda error: self.callbacks.append(("failure", type(error).__name__)),
        )

    def commit(self, value: bytes, *, seconds: float = 0.1) -> list[bool]:
        """Commit one row, conditional on the version that the first entry VM knows."""
        builder = change_builder.ChangeBuilder(self.first.view)
        builder.put_value(KEY, value)
        change = builder.build(action=audit.Action.DRAIN, subject=KEY, reason="test")
        results: list[bool] = []
        committed = defer.ensureDeferred(self.committer.commit(change))
        committed.addCallback(results.append)
        self.simulation.run(seconds)
        return results

    def test_written_rows_reach_the_peers_without_the_table(self) -> None:
        """Guards against peers that learn of a change only at their next poll of the table."""
        self.assertEqual([True], self.commit(b"1", seconds=0.02))
        self.assertEqual(b"1", self.second.cache.get(KEY).value)
        self.assertEqual([("commit", KEY)], self.callbacks)
        self.assertEqual(1, len(self.table.audit_keys()))

    def test_conflict_refreshes_the_rows(self) -> None:
        """Guards against a next decision based on the same outdated rows, which conflicts again."""
        self.table.put(KEY, b"other")
        self.assertEqual([False], self.commit(b"1", seconds=0.02))
        self.assertEqual(b"other", self.first.cache.get(KEY).value)
        self.assertEqual([("failure", "TransactionConflictError")], self.callbacks)
        self.assertEqual([True], self.commit(b"2"))

    def test_conflict_while_the_table_cannot_be_read(self) -> None:
        """Guards against an exception from the refresh, after which the caller would stay busy."""
        self.table.put(KEY, b"other")
        self.table.unreadable = True
        self.assertEqual([False], self.commit(b"1", seconds=0.02))
        self.assertFalse(self.first.table_sync.reachable)

    def test_lost_answer_is_resolved(self) -> None:
        """Guards against reporting a failure when only the answer to a transaction was lost."""
        self.table.transact_faults.append(fakes.Fault.LOST_AFTER_COMMIT)
        self.assertEqual([True], self.commit(b"1"))
        self.assertEqual(b"1", self.second.cache.get(KEY).value)
        self.assertEqual(1, len(self.table.audit_keys()))

    def test_unknown_result_is_no_success(self) -> None:
        """Guards against reporting success for an unknown result, or waiting beyond the timeout."""
        self.table.transact_faults.append(fakes.Fault.LOST_AFTER_COMMIT)
        self.table.read_faults.extend([fakes.Fault.REFUSED] * 1000)
        results = self.commit(b"1", seconds=committer.COMMIT_TIMEOUT_S - 0.5)
        self.assertEqual([], results)
        self.simulation.run(1.0)
        self.assertEqual([("failure", "AnswerLostError")], self.callbacks)

    def test_rows_are_read_again_after_an_unknown_result(self) -> None:
        """Guards against a next decision based on rows from before a change that took effect."""
        self.table.transact_faults.append(fakes.Fault.LOST_AFTER_COMMIT)
        self.table.read_faults.extend([fakes.Fault.REFUSED] * 1000)
        self.first.table_sync.stop()
        self.second.table_sync.stop()
        self.commit(b"1", seconds=committer.COMMIT_TIMEOUT_S + 0.5)
        self.assertEqual(b"1", self.first.cache.get(KEY).value)
