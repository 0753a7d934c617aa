"""Randomized check of the outcomes that callers are told against what the servers ran."""

from __future__ import annotations

import collections
import random

from twisted.internet import reactor

from celerystack import ids, model
from standins import scripted_backend as backend_fakes
from tests.requests import cases, fakes

REFUSALS = (b"stale-epoch", b"no-lease", b"draining", b"shedding", b"deadline")


class UnreliableServer:
    """Decides at random what becomes of each request, and counts the runs per request."""

    def __init__(self, source, fake):
        self.source = source
        self.fake = fake
        self.runs = collections.Counter()
        fake.handler = self.handle

    def handle(self, request):
        name = request.line.split()[1].rpartition(b"/")[2]
        connection = request.connection
        kind = self.source.randrange(14)
        if kind == 0:
            connection.send(backend_fakes.refusal(self.source.choice(REFUSALS)))
            return
        if kind == 1:
            connection.abort()
            return
        if kind == 2:
            self.fake.kill()
            return
        self.runs[name] += 1
        body = name + b":" + b"x" * self.source.choice((0, 10, 5000, 200_000))
        answer = backend_fakes.answer(body)
        if kind == 3:
            connection.send(answer[: self.source.randrange(len(answer))])
            connection.close()
        elif kind == 4:
            pass
        elif kind == 5:
            self._later(0.6, connection, answer)
        elif kind == 6:
            connection.send(answer + answer)
        elif kind == 7:
            connection.send(answer[:20])
            self._later(0.01, connection, answer[20:])
        elif kind == 8:
            connection.send(answer)
            connection.close()
        else:
            self._later(self.source.random() * 0.03, connection, answer)

    def _later(self, delay_s, connection, data):
        def send():
            if connection in self.fake.connections:
                connection.send(data)

        reactor.callLater(delay_s, send)


class OutcomeTest(cases.HarnessTestCase):
    timeout = 60

    async def run_seed(self, seed, service, path):
        source = random.Random(seed)
        harness, backends = await self.harness(servers=3, service=service)
        harness.pool.set_limit(100)
        servers = [UnreliableServer(source, backend) for backend in backends]
        harness.chooser.choose = lambda _, usable, now: source.choice(usable)
        self._disturb(source, harness, 60)
        calls = []
        for number in range(120):
            method = source.choice(("POST", "POST", "GET"))
            name = b"r%d" % number
            sent = harness.call(
                f"{path}/{name.decode()}",
                method=method,
                headers=((b"X-Deadline-Ms", b"500"), (b"X-Request-Id", name)),
                wait=10,
            )
            cancelled = source.random() < 0.1
            if cancelled:
                sent.addErrback(lambda _: None)
                reactor.callLater(source.random() * 0.1, sent.cancel)
            calls.append((name, method, sent, cancelled))
            await backend_fakes.sleep(0.004)
        for name, method, sent, cancelled in calls:
            await self._check(name, method, sent, cancelled, servers)
        await backend_fakes.sleep(0.7)
        for name, method, _, _ in calls:
            if method == "POST":
                self.assertLessEqual(sum(s.runs[name] for s in servers), 1, (seed, name))
        self.assertEqual(sum(len(harness.forwarder.in_flight(f"a{n}")) for n in range(3)), 0)
        self.assertEqual(harness.chooser.running, 0)
        return collections.Counter(self.outcomes)

    def _disturb(self, source, harness, count):
        """Move the routes about, withdraw the permission to send, and take servers over."""
        if not count:
            harness.routes.permitted = True
            harness.routes.change(harness.routes.to("a0"))
            return
        event = source.randrange(8)
        if event == 0:
            harness.routes.change(model.Moving(ids.ShardId(3)))
        elif event == 1:
            harness.routes.change(model.NoOwner(ids.ShardId(3)))
        elif event == 2:
            harness.forwarder.server_lost(ids.ServerId(f"a{source.randrange(3)}"))
        elif event == 3:
            harness.routes.permitted = not harness.routes.permitted
        elif event == 4:
            harness.forwarder.set_entry_vms(source.randint(0, 12))
        else:
            harness.routes.change(harness.routes.to(f"a{source.randrange(3)}"))
        reactor.callLater(0.01, self._disturb, source, harness, count - 1)

    async def _check(self, name, method, sent, cancelled, servers):
        try:
            response = await sent
        except Exception as error:
            # The router aborts the caller's connection when a streamed answer is truncated.
            self.outcomes.append("aborted")
            if not cancelled and "lost" not in str(error):
                raise
            return
        if response is None:
            self.outcomes.append("cancelled")
            return
        runs = sum(server.runs[name] for server in servers)
        outcome = response.header(b"x-celerystack-outcome")
        self.outcomes.append(outcome.decode())
        if outcome == b"answered":
            self.assertTrue(response.body.startswith(name + b":"), (name, response.body[:20]))
            self.assertIn(len(response.body) - len(name) - 1, (0, 10, 5000, 200_000))
            self.assertGreaterEqual(runs, 1)
        elif outcome == b"not-run":
            self.assertEqual(runs, 0, (name, method, response.body))
        else:
            self.assertEqual(outcome, b"unknown")

    async def _run_seeds(self, service, path):
        for seed in range(6):
            self.outcomes = []
            counts = await self.run_seed(seed, service, path)
            for expected in ("answered", "not-run", "unknown"):
                self.assertGreater(counts[expected], 0, (seed, counts))

    async def test_divided_service(self):
        """Guards against false outcomes, second runs and answers of other requests."""
        await self._run_seeds(fakes.ATLAS, "/atlas/browse/k1")

    async def test_undivided_service(self):
        """Guards against the same where another server is chosen for each attempt."""
        await self._run_seeds(fakes.DESK, "/filing/desk/x")
