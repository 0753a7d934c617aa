"""Tests of the row store's adapter on malformed and slow responses."""

import base64
import json
import time

import testtools
from twisted.internet import defer, reactor, task
from twisted.trial import unittest

from celerystack import errors
from celerystack.backend import http
from celerystack.fleet import rows
from celerystack.platform import store
from standins import scripted_backend

PIECES, PIECE_S = 12, 0.3
"""A slow transfer: 3.6 s in all, with no pause that is near the timeout of a call."""

ROW = {"table_name": "servers", "part": "", "key": "i-1", "value": "e30=", "row_version": 7}


class OneAnswerPool:
    """Answers every call with the same response."""

    def __init__(self, body):
        self._body = json.dumps(body).encode()

    def exchange(self, request, *, deadline, slow_transfer):
        response = http.HttpResponse(status=200, reason=b"OK", headers=(), body=self._body)
        return defer.succeed(response)


class MalformedResponseTest(testtools.TestCase):
    def scan(self, body):
        adapter = store.HttpRowStore(None, ("127.0.0.1", 1), now=lambda: 100.0)
        adapter._pool = OneAnswerPool(body)
        results = []
        adapter.scan("servers").addBoth(results.append)
        return results[0]

    def test_well_formed_row(self):
        """Guards against the rejection of proper rows."""
        found = self.scan({"rows": [ROW], "row_version": 7})
        self.assertEqual([("i-1", b"{}", 7)], [(r.key, r.value, r.version) for r in found.rows])

    def test_malformed_rows_count_as_a_failed_call(self):
        """Guards against an unexpected exception, which ends the task that reads the store."""
        without_key = {name: value for name, value in ROW.items() if name != "key"}
        for row in (without_key, ROW | {"row_version": "x"}, ROW | {"value": 5}, None, "row", 3):
            with self.subTest(row=row):
                failure = self.scan({"rows": [row], "row_version": 7})
                self.assertIsInstance(failure.value, errors.PlatformError)

    def test_rows_that_are_no_list_count_as_a_failed_call(self):
        """Guards against an unexpected exception, which ends the task that reads the store."""
        for found in (5, None, {"a": 1}):
            with self.subTest(rows=found):
                failure = self.scan({"rows": found, "row_version": 7})
                self.assertIsInstance(failure.value, errors.PlatformError)


class EraPool:
    """Answers every call with no rows, in the store's era and at its version of the moment."""

    def __init__(self):
        self.era, self.version = 1, 50
        self.targets, self.bodies = [], []

    def exchange(self, request, *, deadline, slow_transfer):
        self.targets.append(request.target.decode())
        self.bodies.append(request.body)
        response = http.HttpResponse(
            status=200,
            reason=b"OK",
            headers=((b"Store-Era", b"%d" % self.era),),
            body=json.dumps({"rows": [], "row_version": self.version}).encode(),
        )
        return defer.succeed(response)


class EraTest(testtools.TestCase):
    """The store comes back from an earlier copy, and gives version numbers out again."""

    def setUp(self):
        super().setUp()
        self.pool = EraPool()
        self.adapter = store.HttpRowStore(None, ("127.0.0.1", 1), now=lambda: 100.0)
        self.adapter._pool = self.pool

    def result(self, deferred):
        results = []
        deferred.addBoth(results.append)
        return results[0]

    def assert_fails(self, error_type, deferred):
        self.assertIsInstance(self.result(deferred).value, error_type)

    def come_back(self, version):
        self.pool.era, self.pool.version = self.pool.era + 1, version

    def read_version(self):
        return self.result(self.adapter.scan("op")).version

    def transact(self, version):
        condition = rows.Condition(table="planner", key="seat", version=version)
        return self.adapter.transact([condition], [], [])

    def test_version_of_a_later_era_is_newer(self):
        """Guards against rows that are ignored as old because their number is lower."""
        before = self.read_version()
        self.come_back(20)
        self.assertGreater(self.read_version(), before)

    def test_store_gets_its_own_numbers(self):
        """Guards against an era in the positions and conditions that are sent to the store."""
        position = self.read_version()
        self.result(self.adapter.changes("op", position, wait_s=0.0))
        self.result(self.transact(position))
        self.assertIn("after=50&", self.pool.targets[1])
        self.assertEqual(50, json.loads(self.pool.bodies[2])["precondition"][0]["row_version"])

    def test_changes_since_a_lost_position_are_not_complete(self):
        """Guards against rows that are never read because their versions are given out again."""
        position = self.read_version()
        self.come_back(60)
        self.assert_fails(rows.HistoryLostError, self.adapter.changes("op", position, wait_s=0.0))
        self.assert_fails(rows.HistoryLostError, self.adapter.changes("op", position, wait_s=0.0))
        self.assertEqual(2, len(self.pool.targets))

    def test_condition_of_an_earlier_era_never_holds(self):
        """Guards against a write over a row that has the number of another one that was lost."""
        version = self.read_version()
        self.come_back(50)
        self.read_version()
        self.assert_fails(errors.TransactionConflictError, self.transact(version))
        self.assertEqual(2, len(self.pool.targets))

    def test_write_during_which_the_store_came_back_has_no_known_outcome(self):
        """Guards against a leader that takes a condition that held by chance for its success."""
        version = self.read_version()
        self.come_back(50)
        self.assert_fails(errors.AnswerLostError, self.transact(version))

    def test_late_answer_of_an_earlier_era_is_not_used(self):
        """Guards against rows of the lost time that replace those of the store."""
        self.come_back(60)
        self.read_version()
        self.pool.era = 1
        self.assert_fails(errors.AnswerLostError, self.adapter.scan("op"))

    def test_pages_of_two_eras_are_not_joined(self):
        """Guards against a table that is read partly before and partly after the return."""
        page = [ROW | {"table_name": "op"}]

        def exchange(request, *, deadline, slow_transfer):
            fields = {"rows": page, "row_version": 50, "has_more": True}
            era = b"%d" % (1 + len(self.pool.targets))
            self.pool.targets.append(request.target)
            body = json.dumps(fields).encode()
            headers = ((b"store-era", era),)
            return defer.succeed(
                http.HttpResponse(status=200, reason=b"OK", headers=headers, body=body)
            )

        self.pool.exchange = exchange
        self.assert_fails(errors.AnswerLostError, self.adapter.scan("op"))
        self.assertEqual(2, len(self.pool.targets))


class SlowAnswerTest(unittest.TestCase):
    timeout = 20

    def setUp(self):
        value = base64.b64encode(b"r" * 60_000).decode()
        rows = {"rows": [ROW | {"table_name": "op", "value": value}], "row_version": 7}
        self.answer = scripted_backend.answer(json.dumps(rows).encode())
        self.server = scripted_backend.FakeServer(self.send_slowly)
        self.addCleanup(self.server.stop)
        self.adapter = store.HttpRowStore(
            reactor, ("127.0.0.1", self.server.port), now=time.monotonic
        )
        self.addCleanup(self.adapter._pool.close)

    async def send_pieces(self, connection):
        size = -(-len(self.answer) // PIECES)
        for start in range(0, len(self.answer), size):
            connection.send(self.answer[start : start + size])
            await task.deferLater(reactor, PIECE_S, lambda: None)

    def send_slowly(self, request):
        sending = defer.Deferred.fromCoroutine(self.send_pieces(request.connection))
        sending.addErrback(lambda failure: failure.trap(defer.CancelledError))
        self.addCleanup(sending.cancel)

    async def test_answer_that_stops_midway_fails_soon(self):
        """Guards against a poll of a store that was lost midway, which lasts for many seconds."""
        self.server.handler = lambda request: request.connection.send(self.answer[:9_000])
        started = time.monotonic()
        await self.assertFailure(self.adapter.scan("op"), errors.AnswerLostError)
        self.assertLess(time.monotonic() - started, store.CALL_TIMEOUT_S + 0.5)

    async def test_answer_that_takes_long_to_transfer_is_read(self):
        """Guards against a large configuration that an entry VM on a slow link never gets, because
        each read ends before the whole row has arrived and the next one begins anew."""
        found = await self.adapter.scan("op")
        self.assertEqual([60_000], [len(row.value) for row in found.rows])
