"""Latency that an entry VM adds to a request, and requests per core of its CPU time.

The entry VM and the lean servers run in their own processes, the callers in this one.
"""

from __future__ import annotations

import contextlib
import dataclasses
import os
import pathlib
import selectors
import socket
import statistics
import tempfile
import time
from collections.abc import Iterator

from measurements import figures
from standins import cluster, layout

ENTRY_VM = "vm-1"
SERVERS = ("fast-1", "fast-2")
PREFIX = "/browse/"
KEY_COUNT = 64
CONNECTIONS = 32
SETTLE_S = 2.0
LATENCY_WINDOWS = 40
LATENCY_WINDOW_S = 0.2
"""Routed and direct windows alternate, so that other load on the machine affects both."""

CPU_WINDOWS = 8
CPU_WINDOW_S = 2.0
SOCKET_TIMEOUT_S = 5.0
OK_HEAD = b"HTTP/1.1 200"
HEAD_END = b"\r\n\r\n"
BODY_BYTES = 100
CLOCK_TICKS_PER_S = os.sysconf("SC_CLK_TCK")


class FastPathCluster(cluster.Cluster):
    """A cluster whose backend servers are `measurements.fast_path_server`."""

    def start_backend(self, name: str, *, wait: bool = True) -> None:
        """Start a lean server."""
        address = self.backend_addresses_by_name[name]
        host, port = address.split(":")
        flags = ("--host", host, "--port", port, "--id", name)
        self.processes.start(name, "measurements.fast_path_server", flags)
        if wait:
            self.wait_ready(address, "/health", name)


@contextlib.contextmanager
def started() -> Iterator[FastPathCluster]:
    """Start one entry VM and two lean servers of one divided service."""
    service = layout.ServiceSpec(
        name="browse",
        prefix=PREFIX,
        shards=64,
        # Enough slots that no request queues: the figure is the cost of the request path alone.
        fields={"slots": CONNECTIONS, "connections": 2 * CONNECTIONS},
    )
    backends = [layout.BackendSpec(name=name, service=service.name, zone=1) for name in SERVERS]
    entry_vms = [layout.EntryVmSpec(name=ENTRY_VM, zone=1)]
    with (
        tempfile.TemporaryDirectory() as folder,
        FastPathCluster(
            pathlib.Path(folder), services=[service], backends=backends, entry_vms=entry_vms
        ) as running,
    ):
        running.wait_served()
        time.sleep(SETTLE_S)
        yield running


def _request(key: str) -> bytes:
    return (
        f"GET {PREFIX}{key}/item?id=1 HTTP/1.1\r\nHost: router.example\r\nUser-Agent: load/1\r\n"
        "Accept: */*\r\nAccept-Encoding: identity\r\n\r\n"
    ).encode()


def _connect(address: str) -> socket.socket:
    host, port = address.split(":")
    connection = socket.create_connection((host, int(port)), SOCKET_TIMEOUT_S)
    connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    return connection


def _is_complete(answer: bytes) -> bool:
    """Return whether an answer is complete; raises RuntimeError unless its status is 200."""
    head, separator, body = answer.partition(HEAD_END)
    if not separator:
        return False
    if not head.startswith(OK_HEAD):
        raise RuntimeError(f"a request failed: {answer!r}")
    return len(body) >= BODY_BYTES


def _exchange(connection: socket.socket, request: bytes) -> bytes:
    connection.sendall(request)
    answer = b""
    while not _is_complete(answer):
        data = connection.recv(65536)
        if not data:
            raise RuntimeError("the connection was closed")
        answer += data
    return answer


def _keys_of(address: str, server: str) -> list[str]:
    """Return the keys that the router sends to one server."""
    with _connect(address) as connection:
        server_header = f"server-name: {server}".encode()
        keys = [f"key-{number}" for number in range(KEY_COUNT)]
        return [
            key for key in keys if server_header in _exchange(connection, _request(key)).lower()
        ]


def _measure_latencies(connection: socket.socket, requests: list[bytes]) -> list[float]:
    latencies_ms = []
    end = time.perf_counter() + LATENCY_WINDOW_S
    while (start := time.perf_counter()) < end:
        _exchange(connection, requests[len(latencies_ms) % len(requests)])
        latencies_ms.append((time.perf_counter() - start) * 1000)
    return latencies_ms


def measure_latency(running: FastPathCluster) -> list[figures.Figure]:
    """Return the added latency on one connection; the baseline is the direct latency."""
    router = running.addresses_by_vm[ENTRY_VM].caller
    requests = [_request(key) for key in _keys_of(router, SERVERS[0])]
    routed: list[float] = []
    direct: list[float] = []
    with (
        _connect(router) as router_connection,
        _connect(running.backend_addresses_by_name[SERVERS[0]]) as server_connection,
    ):
        for _ in range(LATENCY_WINDOWS):
            direct += _measure_latencies(server_connection, requests)
            routed += _measure_latencies(router_connection, requests)
    return [
        figures.Figure(
            f"added_latency_{name}_ms",
            figures.percentile(routed, share) - figures.percentile(direct, share),
            "ms",
            figures.percentile(direct, share),
        )
        for name, share in (("p50", 0.5), ("p99", 0.99))
    ]


@dataclasses.dataclass
class _Caller:
    """One connection of the load and the part of the answer received so far."""

    connection: socket.socket
    requests: list[bytes]
    done: int = 0
    answer: bytes = b""

    def send(self) -> None:
        self.connection.sendall(self.requests[self.done % len(self.requests)])

    def receive(self) -> None:
        data = self.connection.recv(65536)
        if not data:
            raise RuntimeError("the connection was closed")
        self.answer += data
        if _is_complete(self.answer):
            self.answer = b""
            self.done += 1
            self.send()


class Load:
    """Callers with one request in flight each."""

    def __init__(self, address: str, connections: int) -> None:
        self._selector = selectors.DefaultSelector()
        requests = [_request(f"key-{number}") for number in range(KEY_COUNT)]
        self._callers = []
        for number in range(connections):
            caller = _Caller(_connect(address), requests[number:] + requests[:number])
            self._selector.register(caller.connection, selectors.EVENT_READ, caller)
            self._callers.append(caller)
            caller.send()

    def run(self, seconds: float) -> int:
        """Keep all callers busy for ``seconds``; returns the number of answers."""
        before = sum(caller.done for caller in self._callers)
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            for key, _ in self._selector.select(SOCKET_TIMEOUT_S):
                key.data.receive()
        return sum(caller.done for caller in self._callers) - before

    def close(self) -> None:
        """Close all connections."""
        self._selector.close()
        for caller in self._callers:
            caller.connection.close()


def _cpu_s(pid: int) -> float:
    fields = pathlib.Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / CLOCK_TICKS_PER_S


def requests_per_core(running: FastPathCluster) -> float:
    """Return answers per second of the entry VM's CPU time, as the median of the windows."""
    pid = running.processes.child(ENTRY_VM).process.pid
    load = Load(running.addresses_by_vm[ENTRY_VM].caller, CONNECTIONS)
    rates = []
    with contextlib.closing(load):
        load.run(CPU_WINDOW_S)
        for _ in range(CPU_WINDOWS):
            before = _cpu_s(pid)
            answers = load.run(CPU_WINDOW_S)
            rates.append(answers / (_cpu_s(pid) - before))
    return statistics.median(rates)


def run() -> list[figures.Figure]:
    """Return the added latency and the requests per core of one entry VM."""
    with started() as running:
        latency = measure_latency(running)
        per_core = requests_per_core(running)
    return [*latency, figures.Figure("requests_per_core_per_s", per_core, "1/s")]
