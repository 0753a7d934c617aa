"""Servers that send bytes without end, in heads, bodies and between answers, until the close."""

from __future__ import annotations

import pathlib
import tempfile

import pytest
from twisted.internet import defer, interfaces
from twisted.trial import unittest
from zope.interface import implementer

from standins import layout, range_cluster, scripted_backend

pytestmark = pytest.mark.ranges

NETWORK = f"127.{100 + layout.worker_number()}.9"
MEMORY_KB = 300 * 1024
"""Memory of an entry VM in the settings of the cluster."""
REQUESTS = 30
"""Number of requests that wait for faulty servers at the same time."""
PIECE_BYTES = 32 * 1024

OK = b"HTTP/1.1 200 OK\r\n"
CHUNKED = OK + b"%s\r\nTransfer-Encoding: chunked\r\n\r\n"


def chunk(data: bytes) -> bytes:
    return b"%x\r\n%s\r\n" % (len(data), data)


def repeated(piece: bytes) -> bytes:
    return piece * (PIECE_BYTES // len(piece) + 1)


START_AND_PIECE_BY_NAME = {
    "a header without end": (OK + b"X: ", repeated(b"x")),
    "headers without end": (OK, repeated(b"X: y\r\n")),
    "zeros": (b"", repeated(b"\0")),
    "empty lines": (b"", repeated(b"\r\n")),
    "interim responses": (b"", repeated(b"HTTP/1.1 103 Early Hints\r\nX: y\r\n\r\n")),
    "a body of large chunks": (CHUNKED, chunk(repeated(b"x"))),
    "a body of small chunks": (CHUNKED, repeated(chunk(b"xy"))),
    "chunk extensions": (CHUNKED, repeated(b"1;" + b"x" * 900 + b"\r\na\r\n")),
    "trailers": (CHUNKED + b"0\r\n", repeated(b"X: y\r\n")),
    "a body with a huge length": (
        OK + b"%s\r\nContent-Length: 1000000000000\r\n\r\n",
        repeated(b"x"),
    ),
    "a body without a length": (OK + b"%s\r\n\r\n", repeated(b"x")),
    "answers to other requests": (b"", repeated(scripted_backend.answer(b"x" * 500))),
    "bytes after an answer": (OK + b"%s\r\nContent-Length: 0\r\n\r\n", repeated(b"x")),
}


@implementer(interfaces.IPullProducer)
class EndlessPieces:
    """Writes a piece whenever the connection has room."""

    def __init__(self, connection: scripted_backend.FakeConnection, piece: bytes) -> None:
        self._connection = connection
        self._piece = piece

    def resumeProducing(self) -> None:  # noqa: N802
        self._connection.send(self._piece)

    def stopProducing(self) -> None:  # noqa: N802
        pass


class EndlessServersTest(unittest.TestCase):
    timeout = 120

    async def start_cluster(self) -> range_cluster.RangeCluster:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        cluster = range_cluster.RangeCluster(pathlib.Path(folder.name))
        self.addCleanup(cluster.stop)
        cluster.store.put("op", "config", range_cluster.config_row_value(1))
        cluster.add_server("rota-1", "rota")
        for number in range(3):
            cluster.add_server(f"desk-{number}", "desk")
        cluster.start_vm("vm-1", f"{NETWORK}.1")
        await cluster.wait_ready("vm-1")
        await cluster.request_until_served("vm-1", "/view/a", key=7)
        return cluster

    def make_faulty(self, server, start: bytes, piece: bytes) -> None:
        def handle(request: scripted_backend.Received) -> None:
            request_id = request.header(b"Celerystack-Request-Attempt-Id") or b""
            fields = b"Celerystack-Request-Attempt-Id: " + request_id
            request.connection.send(start.replace(b"%s", fields))
            endless = EndlessPieces(request.connection, piece)
            request.connection.transport.registerProducer(endless, False)

        server.http.handler = handle

    def peak_memory_kb(self, cluster: range_cluster.RangeCluster) -> int:
        process = cluster.processes["vm-1"]
        status = pathlib.Path(f"/proc/{process.pid}/status").read_text()
        return int(status.split("VmHWM:")[1].split()[0])

    def requests_of_faulty_servers(self, cluster: range_cluster.RangeCluster) -> int:
        return sum(len(cluster.servers[f"desk-{n}"].http.requests) for n in range(3))

    async def test_memory_and_other_callers(self):
        """Guards against an entry VM that keeps all bytes of faulty servers until it ends."""
        cluster = await self.start_cluster()
        for name, (start, piece) in START_AND_PIECE_BY_NAME.items():
            reached = self.requests_of_faulty_servers(cluster)
            for number in range(3):
                self.make_faulty(cluster.servers[f"desk-{number}"], start, piece)
            waiting = [
                defer.Deferred.fromCoroutine(cluster.request("vm-1", "/desk/a", method="POST"))
                for _ in range(REQUESTS)
            ]
            status, _, _ = await cluster.request_until_served("vm-1", "/view/a", key=7)
            self.assertEqual(200, status, name)
            await defer.gatherResults(waiting)
            self.assertGreater(self.requests_of_faulty_servers(cluster), reached, name)
            self.assertIsNone(cluster.processes["vm-1"].poll(), name)
            self.assertLess(self.peak_memory_kb(cluster), MEMORY_KB, name)
