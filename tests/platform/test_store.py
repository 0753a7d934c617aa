"""Tests of the row store's adapter on malformed and slow responses."""

import base64
import json
import time

import testtools
from twisted.internet import defer, reactor, task
from twisted.trial import unittest

from celerystack import errors
from celerystack.backend import http
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
