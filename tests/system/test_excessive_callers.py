"""Callers that send or leave unread more than an entry VM can hold, against its real process."""

from __future__ import annotations

import json
import pathlib
import resource
import tempfile

import pytest
from twisted.internet import defer, interfaces, protocol, reactor
from twisted.trial import unittest
from zope.interface import implementer

from standins import layout, range_cluster, scripted_backend

pytestmark = [pytest.mark.ranges, pytest.mark.alone]

NETWORK = f"127.{100 + layout.worker_number()}.11"
CALLERS = 64
MEMORY_MB = 160
"""Memory of the entry VM in its settings."""
PEAK_BYTES_MAX = 120_000_000
"""Target for the memory of the process while callers of one kind exceed the limits."""
FILE_DESCRIPTORS = 300
"""Descriptors of the entry VM, in its settings and as the limit of the system."""
DESCRIPTORS_MAX = FILE_DESCRIPTORS * 3 // 4
"""Target for the open descriptors of the process."""
EXCESS_CONNECTIONS = 400
BODY_BYTES_MAX = 8_000_000
"""Largest body that the configuration of the tests permits."""
LEGAL_BODY_BYTES = 6_000_000
EXCESSIVE_BODY_BYTES = 30_000_000
LARGEST_BODY_BYTES = 64_000_000
"""Largest body that any deployment permits."""
ONE_BYTE_CHUNKS = 200_000
UNREAD_ANSWER_BYTES = 8_000_000
ENDLESS_HEADER_BYTES = 4_000_000
SERVED_WITHIN_S = 30.0
"""Limit on the repetition of an ordinary request, so that a process that hangs ends the test."""
QUIET_S = 1.5
"""A crowd is done when it has sent nothing for this long."""
SETTLE_MAX_S = 30.0

POST = b"POST /desk/a HTTP/1.1\r\nHost: rota.example\r\nCelerystack-Request-Attempt-Id: x\r\n"
GET = b"GET /desk/a HTTP/1.1\r\nHost: rota.example\r\nCelerystack-Request-Attempt-Id: x\r\n"
CHUNKED = POST + b"Transfer-Encoding: chunked\r\n\r\n"


def declared(length: int) -> bytes:
    return POST + b"Content-Length: %d\r\n\r\n" % length


def chunk(data: bytes) -> bytes:
    return b"%x\r\n%s\r\n" % (len(data), data)


@implementer(interfaces.IPullProducer)
class ExcessiveCaller(protocol.Protocol):
    """Sends a start and ``count`` times a piece, then an end, and keeps its connection open."""

    def __init__(self, start: bytes, piece: bytes, count: int, end: bytes, *, reads: bool) -> None:
        self._start = start
        self._piece = piece
        self._left = count
        self._end = end
        self._reads = reads
        self.sent_bytes = 0
        self.received = b""
        self.closed = False

    def connectionMade(self) -> None:  # noqa: N802
        self.transport.setTcpNoDelay(True)
        if not self._reads:
            self.transport.pauseProducing()
        self._send(self._start)
        self.transport.registerProducer(self, False)

    def _send(self, data: bytes) -> None:
        self.sent_bytes += len(data)
        self.transport.write(data)

    def resumeProducing(self) -> None:  # noqa: N802
        if self._left:
            self._left -= 1
            self._send(self._piece)
            return
        self.transport.unregisterProducer()
        if self._end:
            self._send(self._end)

    def stopProducing(self) -> None:  # noqa: N802
        self._left = 0

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        self.received += data

    def connectionLost(self, reason=protocol.connectionDone) -> None:  # noqa: N802
        self.closed = True


class ExcessiveCallersTest(unittest.TestCase):
    timeout = 180

    async def start_cluster(self, body_bytes_max: int = BODY_BYTES_MAX) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.cluster = range_cluster.RangeCluster(pathlib.Path(folder.name))
        self.addCleanup(self.cluster.stop)
        self.cluster.store.put("op", "config", self.config(body_bytes_max))
        self.cluster.add_server("rota-1", "rota")
        for number in range(3):
            self.cluster.add_server(f"desk-{number}", "desk")
        self.cluster.start_vm(
            "vm-1",
            f"{NETWORK}.1",
            limits={"memory_mb": MEMORY_MB, "file_descriptors": FILE_DESCRIPTORS},
        )
        await self.cluster.wait_ready("vm-1")
        await self.cluster.request_until_served("vm-1", "/view/a", key=7)
        resource.prlimit(self.process.pid, resource.RLIMIT_NOFILE, (FILE_DESCRIPTORS,) * 2)
        self.crowd: list[ExcessiveCaller] = []
        self.addCleanup(self.close_crowd)

    def config(self, body_bytes_max: int) -> bytes:
        fields = json.loads(range_cluster.config_row_value(1))
        fields["limits"]["max_body_bytes"] = body_bytes_max
        for route in fields["routes"]:
            route["timeout"] = "20s"
        return json.dumps(fields).encode()

    @property
    def process(self):
        return self.cluster.processes["vm-1"]

    async def add_caller(
        self, start: bytes, piece: bytes = b"", count: int = 0, end: bytes = b"", *, reads=True
    ) -> ExcessiveCaller | None:
        """Connect one caller; None if the process does not accept the connection."""
        creator = protocol.ClientCreator(
            reactor, ExcessiveCaller, start, piece, count, end, reads=reads
        )
        ports = self.cluster.ports["vm-1"]
        try:
            caller = await creator.connectTCP(ports["ip"], ports["front"], timeout=5)
        except Exception:
            return None
        self.crowd.append(caller)
        return caller

    async def add_crowd(self, start, piece=b"", count=0, end=b"", *, callers=CALLERS) -> None:
        await defer.gatherResults(
            [
                defer.Deferred.fromCoroutine(self.add_caller(start, piece, count, end))
                for _ in range(callers)
            ]
        )
        await self.settle()

    async def settle(self) -> None:
        """Wait until the crowd sends nothing more, because it is done, stopped or disconnected."""
        end = reactor.seconds() + SETTLE_MAX_S
        sent, quiet_since = -1, reactor.seconds()
        while reactor.seconds() < min(end, quiet_since + QUIET_S):
            now_sent = sum(caller.sent_bytes for caller in self.crowd)
            if now_sent != sent:
                sent, quiet_since = now_sent, reactor.seconds()
            await scripted_backend.sleep(0.1)

    def close_crowd(self) -> None:
        for caller in self.crowd:
            caller.transport.abortConnection()

    def peak_bytes(self) -> int:
        status = pathlib.Path(f"/proc/{self.process.pid}/status").read_text()
        return int(status.split("VmHWM:")[1].split()[0]) * 1024

    def open_descriptors(self) -> int:
        return len(list(pathlib.Path(f"/proc/{self.process.pid}/fd").iterdir()))

    def check_process(self) -> None:
        self.assertIsNone(self.process.poll(), "the process has ended")
        peak, descriptors = self.peak_bytes(), self.open_descriptors()
        print(f"{self.id()}: peak {peak / 1e6:.0f} MB, {descriptors} descriptors")
        self.assertLess(peak, PEAK_BYTES_MAX, "peak memory in bytes")
        self.assertLess(descriptors, DESCRIPTORS_MAX, "open descriptors")

    async def check_ordinary_request(self) -> None:
        status, _, _ = await self.cluster.request_until_served(
            "vm-1", "/view/a", key=7, timeout_s=SERVED_WITHIN_S
        )
        self.assertEqual(200, status, "an ordinary request")

    async def check(self) -> None:
        """Check the process beside the silent crowd, and an ordinary request beside and after."""
        self.check_process()
        await self.check_ordinary_request()
        self.close_crowd()
        await self.check_ordinary_request()
        self.check_process()

    async def test_large_bodies_sent_whole(self):
        """Guards against bodies of legal size that together exceed the memory."""
        await self.start_cluster()
        await self.add_crowd(declared(LEGAL_BODY_BYTES), b"x" * (LEGAL_BODY_BYTES - 1), 1)
        await self.check()

    async def test_large_bodies_sent_piece_by_piece(self):
        """Guards against the same memory, and that of each piece, if bodies arrive in pieces."""
        await self.start_cluster()
        pieces, rest = divmod(LEGAL_BODY_BYTES - 1, 1024)
        await self.add_crowd(declared(LEGAL_BODY_BYTES), b"x" * 1024, pieces, b"x" * rest)
        await self.check()

    async def test_large_chunks(self):
        """Guards against chunked bodies of legal size, whose length is not known at first."""
        await self.start_cluster()
        await self.add_crowd(CHUNKED, chunk(b"x" * 1_000_000), LEGAL_BODY_BYTES // 1_000_000)
        await self.check()

    async def test_one_byte_chunks(self):
        """Guards against a process that does nothing but decode the framing of tiny chunks."""
        await self.start_cluster()
        await self.add_crowd(CHUNKED, chunk(b"x") * 1000, ONE_BYTE_CHUNKS // 1000)
        await self.check()

    async def test_declared_bodies_over_the_limit(self):
        """Guards against bodies that are read although their declared length is not permitted."""
        await self.start_cluster()
        await self.add_crowd(
            declared(EXCESSIVE_BODY_BYTES), b"x" * 1_000_000, EXCESSIVE_BODY_BYTES // 1_000_000
        )
        await self.check()

    async def test_chunked_bodies_over_the_limit(self):
        """Guards against many bodies that are held up to the limit before they are rejected."""
        await self.start_cluster()
        await self.add_crowd(
            CHUNKED, chunk(b"x" * 1_000_000), EXCESSIVE_BODY_BYTES // 1_000_000, b"0\r\n\r\n"
        )
        await self.check()

    async def test_unread_answers(self):
        """Guards against answers that are kept for callers that do not read them."""
        await self.start_cluster()
        body = b"x" * UNREAD_ANSWER_BYTES

        def answer(request: scripted_backend.Received) -> None:
            headers = b"Celerystack-Server-Signature: x\r\nCelerystack-Request-Attempt-Id: x\r\n"
            request.connection.send(scripted_backend.answer(body, headers=headers))

        desks = [self.cluster.servers[f"desk-{number}"].http for number in range(3)]
        for desk in desks:
            desk.handler = answer
        for number in range(CALLERS):
            caller = await self.add_caller(GET + b"\r\n", GET + b"\r\n", 3, reads=False)
            await scripted_backend.wait_until(
                until=lambda caller=caller, number=number: (
                    caller is None
                    or caller.closed
                    or sum(len(desk.requests) for desk in desks) > number
                ),
                timeout_s=20.0,
            )
        await self.settle()
        await self.check()

    async def test_headers_without_end(self):
        """Guards against header lines that are kept without a limit."""
        await self.start_cluster()
        line = b"X-Field: y\r\n"
        await self.add_crowd(GET, line * 1000, ENDLESS_HEADER_BYTES // len(line) // 1000)
        await self.check()

    async def test_header_line_without_end(self):
        """Guards against a header line that is kept without a limit."""
        await self.start_cluster()
        await self.add_crowd(GET + b"X-Field: ", b"y" * 1000, ENDLESS_HEADER_BYTES // 1000)
        await self.check()

    async def test_more_connections_than_descriptors(self):
        """Guards against a process that accepts callers until it can open nothing else."""
        await self.start_cluster()
        await self.add_crowd(GET, callers=EXCESS_CONNECTIONS)
        self.check_process()
        self.close_crowd()
        await self.check_ordinary_request()
        self.check_process()

    async def test_one_body_of_the_largest_size(self):
        """Guards against copies of a body, and limits that leave no room for a permitted one."""
        await self.start_cluster(LARGEST_BODY_BYTES)
        received = []

        def answer(request: scripted_backend.Received) -> None:
            received.append(len(request.body))
            headers = b"Celerystack-Server-Signature: x\r\nCelerystack-Request-Attempt-Id: x\r\n"
            request.connection.send(scripted_backend.answer(headers=headers))

        for number in range(3):
            self.cluster.servers[f"desk-{number}"].http.handler = answer
        caller = await self.add_caller(
            declared(LARGEST_BODY_BYTES), b"x" * 1_000_000, LARGEST_BODY_BYTES // 1_000_000
        )
        await scripted_backend.wait_until(
            until=lambda: b"\r\n\r\n" in caller.received or caller.closed, timeout_s=60.0
        )
        print(f"{self.id()}: peak {self.peak_bytes() / 1e6:.0f} MB")
        self.assertEqual(b"HTTP/1.1 200", caller.received[:12])
        self.assertEqual([LARGEST_BODY_BYTES], received)
        self.assertLess(self.peak_bytes(), MEMORY_MB * 1_000_000)
        await self.check_ordinary_request()
