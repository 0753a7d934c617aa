"""Latency that one entry VM adds to a request, and requests per core of its processor time.

The entry VM and the lean servers are processes of their own; the callers run in this process.
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
KEYS = 64
CONNECTIONS = 32
SETTLE_S = 2.0
LATENCY_WINDOWS = 40
LATENCY_WINDOW_S = 0.2
"""Windows to the router and to the server alternate, so that other load meets both alike."""

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
        # The callers must not queue for a slot: the figure is the cost of the request path alone.
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
    opened = socket.create_connection((host, int(port)), SOCKET_TIMEOUT_S)
    opened.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    return opened


def _is_complete(answer: bytes) -> bool:
    """Return whether the answer of a lean server is whole; raises RuntimeError on a failure."""
    head, found, body = answer.partition(HEAD_END)
    if not found:
        return False
    if not head.startswith(OK_HEAD):
        raise RuntimeError(f"a request failed: {answer!r}")
    return len(body) >= BODY_BYTES


def _exchange(opened: socket.socket, request: bytes) -> bytes:
    opened.sendall(request)
    answer = b""
    while not _is_complete(answer):
        data = opened.recv(65536)
        if not data:
            raise RuntimeError("the connection was closed")
        answer += data
    return answer


def _keys_of(address: str, server: str) -> list[str]:
    """Return the keys that the router sends to one server."""
    with _connect(address) as opened:
        named = f"server-name: {server}".encode()
        keys = [f"key-{number}" for number in range(KEYS)]
        return [key for key in keys if named in _exchange(opened, _request(key)).lower()]


def _latencies(opened: socket.socket, requests: list[bytes]) -> list[float]:
    found = []
    end = time.perf_counter() + LATENCY_WINDOW_S
    while (start := time.perf_counter()) < end:
        _exchange(opened, requests[len(found) % len(requests)])
        found.append((time.perf_counter() - start) * 1000)
    return found


def measure_latency(running: FastPathCluster) -> list[figures.Figure]:
    """Return added latency at one connection; the baseline is the direct connection."""
    router = running.addresses_by_vm[ENTRY_VM].caller
    requests = [_request(key) for key in _keys_of(router, SERVERS[0])]
    routed: list[float] = []
    direct: list[float] = []
    with (
        _connect(router) as by_router,
        _connect(running.backend_addresses_by_name[SERVERS[0]]) as by_server,
    ):
        for _ in range(LATENCY_WINDOWS):
            direct += _latencies(by_server, requests)
            routed += _latencies(by_router, requests)
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
    """One connection of the load and the answer it has received so far."""

    opened: socket.socket
    requests: list[bytes]
    done: int = 0
    answer: bytes = b""

    def send(self) -> None:
        self.opened.sendall(self.requests[self.done % len(self.requests)])

    def receive(self) -> None:
        data = self.opened.recv(65536)
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
        requests = [_request(f"key-{number}") for number in range(KEYS)]
        self._callers = []
        for number in range(connections):
            caller = _Caller(_connect(address), requests[number:] + requests[:number])
            self._selector.register(caller.opened, selectors.EVENT_READ, caller)
            self._callers.append(caller)
            caller.send()

    def run(self, seconds: float) -> int:
        """Keep all callers busy for some seconds; returns the number of answers."""
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
            caller.opened.close()


def _cpu_s(pid: int) -> float:
    fields = pathlib.Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / CLOCK_TICKS_PER_S


def requests_per_core(running: FastPathCluster) -> float:
    """Return answers per second of the entry VM's processor time, the median of the windows."""
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
