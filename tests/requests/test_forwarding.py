"""Forwarding through the front end against fake backend servers."""

from __future__ import annotations

from twisted.trial import unittest

from celerystack import ids
from tests.backend import fakes as backend_fakes
from tests.requests import fakes


class ForwardingTest(unittest.TestCase):
    timeout = 20

    async def rig(self, **options):
        server = backend_fakes.FakeServer()
        rig = fakes.Rig(fakes.server("a1", server.address), **options)
        self.addCleanup(self._stop, rig, server)
        return rig, server

    async def _stop(self, rig, server):
        await rig.stop()
        await server.stop()

    async def test_answer_and_headers(self):
        """Guards against lost bodies and missing ownership headers."""
        rig, server = await self.rig()
        response = await rig.call(method="POST", body=b"hello")
        self.assertEqual((response.status, response.body), (200, b"ok"))
        self.assertEqual(response.header(b"x-celerystack-outcome"), b"answered")
        request = server.requests[0]
        self.assertEqual(request.line, b"POST /atlas/browse/k1/x HTTP/1.1")
        self.assertEqual(request.body, b"hello")
        self.assertEqual(request.header(b"X-Celerystack-Service"), b"atlas-browse")
        self.assertEqual(request.header(b"X-Celerystack-Key"), b"k1")
        self.assertEqual(request.header(b"X-Celerystack-Shard"), b"3")
        self.assertEqual(request.header(b"X-Celerystack-Epoch"), b"7")

    async def test_connections_are_kept(self):
        """Guards against a new backend connection for every request."""
        rig, server = await self.rig()
        for _ in range(5):
            await rig.call()
        self.assertEqual(server.accepted, 1)

    async def test_stale_epoch_waits_for_route(self):
        """Guards against an error for a request that a change of routes can still serve."""
        rig, server = await self.rig()
        server.answers(backend_fakes.refusal(b"stale-epoch"), backend_fakes.answer(b"done"))
        response = await rig.call(method="POST", body=b"x")
        self.assertEqual(response.body, b"done")
        self.assertEqual(len(server.requests), 2)

    async def test_killed_server_post_is_unknown_and_sent_once(self):
        """Guards against a second run of a non-idempotent request after a lost connection."""
        rig, server = await self.rig()
        server.handler = lambda request: server.kill()
        response = await rig.call(method="POST", headers=((b"X-Request-Id", b"r1"),))
        self.assertEqual(response.status, 502)
        self.assertEqual(response.header(b"x-celerystack-outcome"), b"unknown")
        self.assertEqual(len(server.requests), 1)
        self.assertEqual(rig.claims.finished[0][2].value, "unknown")
        await backend_fakes.settle(until=lambda: rig.losses.lost)
        self.assertEqual(rig.losses.lost[0][0], ids.ServerId("a1"))

    async def test_large_answer_is_streamed(self):
        """Guards against lost or reordered bytes of an answer above the whole-read bound."""
        rig, server = await self.rig()
        body = bytes(range(256)) * 4096
        server.answers(backend_fakes.answer(body))
        response = await rig.call()
        self.assertEqual(response.body, body)
        self.assertEqual(response.header(b"x-celerystack-outcome"), b"answered")
