"""Randomized comparison of the reported outcomes with the requests that the servers ran."""

from __future__ import annotations

import collections
import random

from twisted.internet import reactor

from celerystack import ids, model
from standins import scripted_backend as backend_fakes
from tests.requests import cases, fakes

CALLS = 120
CALLS_PER_EVENT = 2
REFUSALS = (b"stale-epoch", b"no-lease", b"draining", b"shedding", b"deadline")


class UnreliableServer:
    """Answers, refuses or breaks each request at random, and counts the runs per request."""

    def __init__(self, rng, fake):
        self.rng = rng
        self.fake = fake
        self.runs = collections.Counter()
        fake.handler = self.handle

    def handle(self, request):
        name = request.line.split()[1].rpartition(b"/")[2]
        connection = request.connection
        kind = self.rng.randrange(14)
        if kind == 0:
            connection.send(backend_fakes.refusal(self.rng.choice(REFUSALS)))
            return
        if kind == 1:
            connection.abort()
            return
        if kind == 2:
            self.fake.kill()
            return
        self.runs[name] += 1
        body = name + b":" + b"x" * self.rng.choice((0, 10, 5000, 200_000))
        answer = backend_fakes.answer(body)
        if kind == 3:
            connection.send(answer[: self.rng.randrange(len(answer))])
            connection.close()
        elif kind == 4:
            pass
        elif kind == 5:
            self._send_later(0.6, connection, answer)
        elif kind == 6:
            connection.send(answer + answer)
        elif kind == 7:
            connection.send(answer[:20])
            self._send_later(0.01, connection, answer[20:])
        elif kind == 8:
            connection.send(answer)
            connection.close()
        else:
            self._send_later(self.rng.random() * 0.03, connection, answer)

    def _send_later(self, delay_s, connection, data):
        def send():
            if connection in self.fake.connections:
                connection.send(data)

        reactor.callLater(delay_s, send)


class OutcomeTest(cases.HarnessTestCase):
    timeout = 60

    async def run_seed(self, seed, service, path):
        # Servers and choices consume numbers in an order that depends on timing.
        rng, event_rng, server_rng, choice_rng = (
            random.Random(f"{seed}/{purpose}")
            for purpose in ("calls", "events", "servers", "choice")
        )
        harness, backends = await self.harness(servers=3, service=service)
        harness.pool.set_limit(100)
        servers = [UnreliableServer(server_rng, backend) for backend in backends]
        harness.chooser.choose = lambda _, usable, now: choice_rng.choice(usable)
        calls = []
        for number in range(CALLS):
            if number % CALLS_PER_EVENT == 0:
                self._inject_event(event_rng, harness)
            method = rng.choice(("POST", "POST", "GET"))
            name = b"r%d" % number
            sent = harness.call(
                f"{path}/{name.decode()}",
                method=method,
                headers=((b"X-Deadline-Ms", b"500"), (b"X-Request-Id", name)),
                wait=10,
            )
            cancelled = rng.random() < 0.1
            if cancelled:
                sent.addErrback(lambda _: None)
                reactor.callLater(rng.random() * 0.1, sent.cancel)
            calls.append((name, method, sent, cancelled))
            await backend_fakes.sleep(0.004)
        harness.routes.permitted = True
        harness.routes.change(harness.routes.to("a0"))
        for name, method, sent, cancelled in calls:
            await self._check(name, method, sent, cancelled, servers)
        await backend_fakes.sleep(0.7)
        for name, method, _, _ in calls:
            if method == "POST":
                self.assertLessEqual(sum(s.runs[name] for s in servers), 1, (seed, name))
        self.assertEqual(sum(len(harness.forwarder.in_flight(f"a{n}")) for n in range(3)), 0)
        self.assertEqual(harness.chooser.running, 0)
        return collections.Counter(self.outcomes)

    def _inject_event(self, rng, harness):
        """Change routes, the permission to send or the number of entry VMs, or lose a server."""
        event = rng.randrange(8)
        if event == 0:
            harness.routes.change(model.Moving(ids.ShardId(3)))
        elif event == 1:
            harness.routes.change(model.NoOwner(ids.ShardId(3)))
        elif event == 2:
            harness.forwarder.close_connections_to(ids.ServerId(f"a{rng.randrange(3)}"))
        elif event == 3:
            harness.routes.permitted = not harness.routes.permitted
        elif event == 4:
            harness.forwarder.set_entry_vms(rng.randint(0, 12))
        else:
            harness.routes.change(harness.routes.to(f"a{rng.randrange(3)}"))

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
        """Guards against wrong outcomes, second runs and answers to other requests."""
        await self._run_seeds(fakes.ATLAS, "/atlas/browse/k1")

    async def test_undivided_service(self):
        """Guards against wrong outcomes when each attempt may go to a different server."""
        await self._run_seeds(fakes.DESK, "/filing/desk/x")
