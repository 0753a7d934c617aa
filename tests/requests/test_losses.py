"""Losses and takeovers of servers: reports, and outcomes of the requests in flight."""

from __future__ import annotations

import time

from standins import scripted_backend as backend_fakes
from tests.requests import cases, fakes


class LossTest(cases.HarnessTestCase):
    async def in_flight(self, harness, server, count):
        server.handler = lambda r: None
        sent = [
            harness.call(f"/atlas/browse/k1/{index}", method="POST", wait=10)
            for index in range(count)
        ]
        await backend_fakes.wait_until(until=lambda: len(server.requests) == count)
        return sent

    async def test_all_in_flight_are_reported_as_one_loss(self):
        """Guards against counting one loss per broken connection."""
        harness, (server,) = await self.harness()
        sent = await self.in_flight(harness, server, 2)
        server.kill()
        for d in sent:
            self.assert_outcome(await d, 502, b"unknown")
        await backend_fakes.wait_until(until=lambda: harness.losses.lost)
        await backend_fakes.sleep(0.1)
        self.assertEqual(len(harness.losses.lost), 1)
        server_id, fingerprints = harness.losses.lost[0]
        self.assertEqual((server_id, len(fingerprints)), ("a0", 2))

    async def test_one_broken_connection_is_no_loss(self):
        """Guards against reporting a loss when only one of several connections broke."""
        harness, (server,) = await self.harness()
        sent = await self.in_flight(harness, server, 2)
        server.requests[0].connection.abort()
        self.assert_outcome(await sent[0], 502, b"unknown")
        await backend_fakes.sleep(0.15)
        self.assertEqual(harness.losses.lost, [])
        server.requests[1].connection.send(backend_fakes.answer())
        self.assert_outcome(await sent[1], 200, b"answered")

    async def test_idle_close_is_no_loss(self):
        """Guards against reporting a loss when a server closes an idle connection."""
        harness, (server,) = await self.harness()
        await harness.call()
        server.handler = lambda r: r.connection.close()
        self.assert_outcome(await harness.call(method="POST"), 502, b"unknown")
        await backend_fakes.sleep(0.2)
        self.assertEqual(harness.losses.lost, [])

    async def test_loss_on_a_kept_connection(self):
        """Guards against missing a loss because the broken connection was reused."""
        harness, (server,) = await self.harness()
        await harness.call()
        await server.stop_listening()
        server.handler = lambda r: r.connection.abort()
        self.assert_outcome(await harness.call(method="POST"), 502, b"unknown")
        await backend_fakes.wait_until(until=lambda: harness.losses.lost)

    async def test_quarantined(self):
        """Guards against sending a request that is known to crash servers."""
        harness, (server,) = await self.harness()
        harness.losses.is_quarantined = lambda fingerprint: True
        self.assert_outcome(await harness.call(), 503, b"not-run")
        self.assertEqual(server.requests, [])

    async def test_takeover(self):
        """Guards against requests that still wait for a server after its takeover."""
        harness, (old, new_owner) = await self.harness(servers=2)
        old.handler = lambda r: None
        post = harness.call(method="POST", wait=10)
        get = harness.call(wait=10)
        await backend_fakes.wait_until(until=lambda: len(old.requests) == 2)
        self.assertEqual(len(harness.forwarder.in_flight("a0")), 2)
        started = time.monotonic()
        harness.routes.change(harness.routes.to("a1"))
        harness.forwarder.close_connections_to("a0")
        self.assert_outcome(await post, 502, b"unknown")
        self.assert_outcome(await get, 200, b"answered")
        self.assertLess(time.monotonic() - started, 0.5)
        self.assertEqual([r.line[:3] for r in new_owner.requests], [b"GET"])
        self.assertEqual(harness.forwarder.in_flight("a0"), ())

    async def test_new_address(self):
        """Guards against interrupting requests in flight at a server's former address."""
        harness, (old, new) = await self.harness(servers=2)
        (first,) = await self.in_flight(harness, old, 1)
        harness.routes.servers_by_id["a0"] = fakes.server("a0", new.address)
        self.assert_outcome(await harness.call(method="POST"), 200, b"answered")
        self.assertEqual((len(old.requests), len(new.requests)), (1, 1))
        self.assertEqual(len(harness.forwarder.in_flight("a0")), 1)
        old.requests[0].connection.send(backend_fakes.answer(b"old"))
        self.assertEqual((await first).body, b"old")
        self.assertEqual(harness.forwarder.in_flight("a0"), ())
