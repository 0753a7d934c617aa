"""Servers that answer with a value that is no status, behind a real entry VM process."""

from __future__ import annotations

import pathlib
import tempfile

import pytest
from twisted.trial import unittest

from standins import layout, range_cluster, scripted_backend

pytestmark = pytest.mark.ranges

NETWORK = f"127.{100 + layout.worker_number()}.12"
STATUSES = (b"000 Nothing", b"042 Low", b"600 High", b"999 High", b"2000 Long", b"101 Switch")


class InvalidStatusesTest(unittest.TestCase):
    timeout = 60

    async def test_caller_gets_a_failure(self):
        """Guards against a caller that receives a value that is no status as its answer."""
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        cluster = range_cluster.RangeCluster(pathlib.Path(folder.name))
        self.addCleanup(cluster.stop)
        cluster.store.put("op", "config", range_cluster.config_row_value(1))
        cluster.add_server("rota-1", "rota")
        desk = cluster.add_server("desk-0", "desk")
        cluster.start_vm("vm-1", f"{NETWORK}.1")
        await cluster.wait_ready("vm-1")
        await cluster.request_until_served("vm-1", "/view/a", key=7)
        for status in STATUSES:

            def answer(request: scripted_backend.Received, status: bytes = status) -> None:
                request_id = request.header(b"Celerystack-Request-Attempt-Id") or b""
                headers = b"Celerystack-Server-Signature: x\r\n"
                headers += b"Celerystack-Request-Attempt-Id: %s\r\n" % request_id
                answered = scripted_backend.answer(status=status, headers=headers)
                request.connection.send(answered)

            desk.http.handler = answer
            found, _, _ = await cluster.request("vm-1", "/desk/a", method="POST")
            self.assertEqual(502, found, status)
