from __future__ import annotations

import json

from twisted.internet import defer, reactor
from twisted.trial import unittest
from twisted.web import server

from celerystack import errors, ids
from celerystack.store import membership, objects, ports, table
from standins import platform

TIMEOUT_S = 0.4


def _transaction(key: str, expected: int, value: bytes | None) -> ports.Transaction:
    return ports.Transaction(
        transaction=ids.TransactionId("t1"),
        expected_versions_by_key={ids.RowKey(key): ids.RowVersion(expected)},
        writes=(ports.Write(ids.RowKey(key), value),),
    )


class PlatformTest(unittest.TestCase):
    timeout = 20

    def setUp(self) -> None:
        super().setUp()
        self.platform = platform.Platform()
        site = server.Site(platform.PlatformResource(self.platform))
        self.port = reactor.listenTCP(0, site, interface="127.0.0.1")
        self.address = f"127.0.0.1:{self.port.getHost().port}"
        self.addCleanup(self._stop_listening)
        self.table = self._adapter(table.HttpTable)
        self.objects = self._adapter(objects.HttpObjects)
        self.membership = self._adapter(membership.HttpMembership)

    def _adapter(self, kind: type) -> object:
        adapter = kind(reactor, address=self.address, timeout_s=TIMEOUT_S)
        self.addCleanup(adapter.close)
        return adapter

    def _stop_listening(self) -> defer.Deferred:
        return defer.maybeDeferred(self.port.stopListening)

    def _assert_fails(self, call: defer.Deferred, kind: type[Exception]) -> defer.Deferred:
        def succeeded(value: object) -> None:
            self.fail(f"expected {kind.__name__}, got {value!r}")

        return call.addCallbacks(succeeded, lambda reason: reason.trap(kind) and reason.value)

    @defer.inlineCallbacks
    def test_versions_and_changes(self):
        """Guards against versions that restart after a deletion and deletions not in the feed."""
        first = yield self.table.transact(_transaction("server/a", 0, b"\x00one"))
        self.assertEqual([ports.Row("server/a", 1, b"\x00one")], first)
        yield self.table.transact(_transaction("audit/1", 0, b"who"))
        newest, rows = yield self.table.changes(0)
        self.assertEqual((2, ["server/a"]), (newest, [row.key for row in rows]))
        yield self.table.transact(_transaction("server/a", 1, None))
        newest, rows = yield self.table.changes(newest)
        self.assertEqual((3, [ports.Row("server/a", 2, None)]), (newest, rows))
        self.assertEqual([], (yield self.table.scan("server/")))
        rows = yield self.table.get(["server/a", "server/b"])
        self.assertEqual([2, 0], [row.version for row in rows])
        rows = yield self.table.transact(_transaction("server/a", 2, b"two"))
        self.assertEqual(3, rows[0].version)

    @defer.inlineCallbacks
    def test_conflict_writes_nothing(self):
        """Guards against a transaction that writes although a row has another version."""
        yield self._assert_fails(
            self.table.transact(_transaction("server/a", 4, b"x")),
            errors.TransactionConflictError,
        )
        rows = yield self.table.get(["server/a"])
        self.assertEqual(0, rows[0].version)

    @defer.inlineCallbacks
    def test_outage_is_reported_as_not_carried_out(self):
        """Guards against a refused call that is reported as possibly carried out."""
        self.platform.switches.update({"outage": "refuse"})
        error = yield self._assert_fails(self.table.get(["a"]), errors.PlatformUnavailableError)
        self.assertEqual(("table.get", self.address), (error.step, error.peer))
        yield self._assert_fails(self.objects.put("a", b""), errors.PlatformUnavailableError)
        yield self._assert_fails(self.membership.members(), errors.PlatformUnavailableError)

    @defer.inlineCallbacks
    def test_refused_connection_is_reported_as_not_carried_out(self):
        """Guards against a refused connection that is reported as a lost answer."""
        yield self._stop_listening()
        yield self._assert_fails(
            self.table.transact(_transaction("a", 0, b"x")), errors.PlatformUnavailableError
        )

    @defer.inlineCallbacks
    def test_lost_answer_leaves_the_write_in_place(self):
        """Guards against a lost answer that is reported as not carried out."""
        self.platform.switches.update({"lose_answers": 1})
        yield self._assert_fails(
            self.table.transact(_transaction("a", 0, b"x")), errors.AnswerLostError
        )
        rows = yield self.table.get(["a"])
        self.assertEqual((1, b"x"), (rows[0].version, rows[0].value))

    @defer.inlineCallbacks
    def test_slow_write_is_reported_as_lost_and_takes_effect(self):
        """Guards against a timed-out write, which may take effect, reported as not carried out."""
        self.platform.switches.update({"delay_s": 2 * TIMEOUT_S})
        yield self._assert_fails(
            self.table.transact(_transaction("a", 0, b"x")), errors.AnswerLostError
        )
        yield defer.Deferred(lambda _: None).addTimeout(
            2 * TIMEOUT_S, reactor, onTimeoutCancel=lambda *_: None
        )
        self.platform.switches.update({"delay_s": 0.0})
        rows = yield self.table.get(["a"])
        self.assertEqual(1, rows[0].version)

    @defer.inlineCallbacks
    def test_hanging_service_times_out(self):
        """Guards against a call without a timeout."""
        self.platform.switches.update({"outage": "hang"})
        yield self._assert_fails(self.membership.members(), errors.AnswerLostError)

    @defer.inlineCallbacks
    def test_objects(self):
        """Guards against object names with a slash or bodies of raw bytes that are not kept."""
        yield self.objects.put("config/ab", b"\x00\xff")
        yield self.objects.put("config/ab", b"\x00\xff")
        self.assertEqual(b"\x00\xff", (yield self.objects.get("config/ab")))
        self.assertIsNone((yield self.objects.get("config/cd")))

    @defer.inlineCallbacks
    def test_membership_lags(self):
        """Guards against a membership list that shows a change before the lag has passed."""
        member = {
            "vm": "vm-a",
            "role": "entry",
            "zone": "z1",
            "address": "127.0.1.1:7000",
            "state": "live",
        }
        change = json.dumps({"op": "add", "member": member}).encode()
        self.platform.control("POST", "/control/members", change)
        found = yield self.membership.members()
        self.assertEqual([("vm-a", ports.VmState.LIVE)], [(m.vm, m.state) for m in found])
        self.platform.switches.update({"membership_lag_s": 60.0})
        self.assertEqual([], (yield self.membership.members()))
