"""Throughput and latency of the front end and forwarder; run by hand, not collected as a test.

Start ``server``, then ``router``, then ``load``, each in a process of its own, or ``client`` alone
for the backend client without the front end. All ports are on loopback. The server and the router
end by themselves after ``--seconds``.
"""

from __future__ import annotations

import argparse
import cProfile
import pstats
import time

from twisted.internet import defer, protocol, reactor

from celerystack.backend import client, http
from tests.requests import fakes

SERVERS = 16
ANSWER = (
    b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nDate: Thu, 01 Jan 2026 00:00:00 GMT\r\n"
    b"Content-Length: 100\r\n\r\n" + b"x" * 100
)


class CannedServer(protocol.Protocol):
    def connectionMade(self):  # noqa: N802
        self.transport.setTcpNoDelay(True)

    def dataReceived(self, data):  # noqa: N802
        self.transport.write(ANSWER * data.count(b"\r\n\r\n"))


class Load(protocol.Protocol):
    """Sends one request after the other until the run ends."""

    def __init__(self, run):
        self.run = run
        self.number = 0

    def connectionMade(self):  # noqa: N802
        self.transport.setTcpNoDelay(True)
        self.next()

    def next(self):
        self.number += 1
        self.buffer = b""
        self.started = time.perf_counter()
        self.transport.write(
            b"%s /atlas/browse/k%d-%d/item?id=1 HTTP/1.1\r\nHost: router.example\r\n"
            b"User-Agent: load/1\r\nAccept: */*\r\nAccept-Encoding: identity\r\n\r\n"
            % (self.run.method, id(self) % 9973, self.number)
        )

    def dataReceived(self, data):  # noqa: N802
        self.buffer += data
        if not self.buffer.endswith(b"x" * 100):
            return
        if not self.buffer.startswith(b"HTTP/1.1 200"):
            self.run.bad += 1
        self.run.latencies.append(time.perf_counter() - self.started)
        if self.run.running:
            self.next()


class Run:
    def __init__(self, options):
        self.latencies = []
        self.bad = 0
        self.running = True
        self.method = options.method.encode()

    def report(self, seconds):
        ordered = sorted(self.latencies)
        count = len(ordered)
        if not count:
            print("no answers")
            return
        median, p99 = ordered[count // 2], ordered[count * 99 // 100]
        print(
            f"{count / seconds:.0f} requests/s, median {median * 1e6:.0f} us, "
            f"p99 {p99 * 1e6:.0f} us, {self.bad} not 200"
        )


class SpreadRoutes(fakes.Routes):
    """Spreads the key hashes over all servers."""

    def __init__(self, *servers):
        super().__init__(*servers)
        self.by_index = [self.to(server.server) for server in servers]

    def route(self, service, key_hash):
        return self.by_index[key_hash % SERVERS]


def serve(options):
    factory = protocol.ServerFactory()
    factory.protocol = CannedServer
    reactor.listenTCP(options.server_port, factory, 512, interface="127.0.0.1")


def route(options):
    address = f"127.0.0.1:{options.server_port}"
    servers = [fakes.server(f"a{index}", address) for index in range(SERVERS)]
    harness = fakes.Harness(*servers, routes=SpreadRoutes(*servers), port=options.router_port)
    harness.chooser.outcomes = _Discard()

    _sample_cpu("router", lambda: harness.budget.requests)


def _sample_cpu(role, count):
    """Print the least and the median CPU time per request over windows of 0.25 s.

    The least is comparable between runs on a machine that is shared with other work.
    """
    costs = []
    last = [time.process_time(), count()]

    def sample():
        cpu_s, requests = time.process_time(), count()
        if requests - last[1] > 50:
            costs.append((cpu_s - last[0]) / (requests - last[1]) * 1e6)
        last[:] = cpu_s, requests
        reactor.callLater(0.25, sample)

    def report():
        if costs:
            median = sorted(costs)[len(costs) // 2]
            print(f"{role}: CPU per request {min(costs):.0f} us at least, {median:.0f} us median")

    reactor.callLater(0.25, sample)
    reactor.addSystemEventTrigger("before", "shutdown", report)


class _Discard(list):
    def append(self, item):
        """Forget the item."""


def load(options):
    run = Run(options)
    port = options.server_port if options.direct else options.router_port
    for _ in range(options.connections):
        protocol.ClientCreator(reactor, Load, run).connectTCP("127.0.0.1", port)

    def warm():
        run.latencies.clear()
        reactor.callLater(options.measure, stop)

    def stop():
        run.running = False
        run.report(options.measure)
        reactor.callLater(0.1, reactor.stop)

    reactor.callLater(1.0, warm)


def client_only(options):
    pool = client.ServerPool(
        reactor, address=f"127.0.0.1:{options.server_port}", limit=options.connections
    )
    request = http.HttpRequest(
        method=b"GET",
        target=b"/atlas/browse/k1/item?id=1",
        headers=(
            (b"host", b"router.example"),
            (b"user-agent", b"load/1"),
            (b"accept", b"*/*"),
            (b"X-Celerystack-Service", b"atlas-browse"),
            (b"X-Celerystack-Deadline-Ms", b"2000"),
            (b"X-Celerystack-Key", b"k1"),
            (b"X-Celerystack-Shard", b"3"),
            (b"X-Celerystack-Epoch", b"7"),
        ),
    )
    run = Run(options)

    async def worker():
        while run.running:
            started = time.perf_counter()
            await pool.exchange_streaming(request, deadline=time.monotonic() + 2)
            run.latencies.append(time.perf_counter() - started)

    _sample_cpu("client", lambda: len(run.latencies))
    for _ in range(options.connections):
        defer.ensureDeferred(worker())

    def stop():
        run.running = False
        run.report(options.measure)
        reactor.callLater(0.1, reactor.stop)

    reactor.callLater(options.measure, stop)


def main():
    parser = argparse.ArgumentParser()
    parser.add_argument("role", choices=["server", "router", "load", "client"])
    parser.add_argument("--server-port", type=int, default=18080)
    parser.add_argument("--router-port", type=int, default=18081)
    parser.add_argument("--seconds", type=float, default=30)
    parser.add_argument("--measure", type=float, default=5)
    parser.add_argument("--connections", type=int, default=1)
    parser.add_argument("--method", default="GET")
    parser.add_argument("--direct", action="store_true")
    parser.add_argument("--profile", action="store_true")
    parser.add_argument("--sort", default="tottime")
    parser.add_argument("--rows", type=int, default=35)
    options = parser.parse_args()
    roles = {"server": serve, "router": route, "load": load, "client": client_only}
    roles[options.role](options)
    if options.role in ("server", "router"):
        reactor.callLater(options.seconds, reactor.stop)
    if not options.profile:
        reactor.run()
        return
    profile = cProfile.Profile()
    profile.runcall(reactor.run)
    pstats.Stats(profile).sort_stats(options.sort).print_stats(options.rows)


if __name__ == "__main__":
    main()
