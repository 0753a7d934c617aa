"""Tests of the row store's adapter on malformed responses."""

import json

import testtools
from twisted.internet import defer

from celerystack import errors
from celerystack.backend import http
from celerystack.platform import store

ROW = {"table_name": "servers", "part": "", "key": "i-1", "value": "e30=", "row_version": 7}


class OneAnswerPool:
    """Answers every call with the same response."""

    def __init__(self, body):
        self._body = json.dumps(body).encode()

    def exchange(self, request, *, deadline):
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
