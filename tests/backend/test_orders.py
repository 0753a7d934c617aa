"""Orders to backend servers: wire format (section 8 of the design page) and failures."""

from __future__ import annotations

import json
import time

from twisted.internet import reactor
from twisted.trial import unittest

from celerystack import errors, ids, model
from celerystack.backend import messages, orders
from standins import scripted_backend as fakes

REPLY = {
    "result": "ok",
    "incarnation": "i1",
    "token": 4,
    "stamp": 12.5,
    "running_dropped": 2,
    "load": 0.5,
}
SERVER = ids.ServerId("a1")


def reply(**changes) -> bytes:
    return fakes.answer(json.dumps({**REPLY, **changes}).encode())


class OrdersTest(unittest.TestCase):
    timeout = 20

    def sender(self, *scripts, **options):
        self.server = fakes.FakeServer()
        if scripts:
            self.server.script_answers(*scripts)
        self.addCleanup(self.server.stop)
        self.address = self.server.address
        sender = orders.OrderSender(
            reactor, lessor=ids.EntryVmId("vm1"), address_of=lambda _: self.address, **options
        )
        self.addCleanup(sender.close)
        return sender

    async def expect_failure(self, sent, kind):
        try:
            received_reply = await sent
        except kind as error:
            return error
        raise AssertionError(f"{received_reply!r} instead of {kind.__name__}")

    async def test_bodies(self):
        """Guards against paths or fields in orders that the server does not expect."""
        sender = self.sender(reply())
        lease = {"incarnation": "i1", "token": 4, "echo_stamp": 1.5}
        order = {"server": SERVER, "incarnation": "i1", "token": 4, "echo_stamp": 1.5}
        shard = model.ShardGrant(ids.ServiceName("s"), ids.ShardId(3), ids.Epoch(9))
        await sender.send(messages.Probe(SERVER))
        await sender.send(messages.Renew(**order))
        received_reply = await sender.send(messages.Grant(**order, shards=(shard,)))
        sent = [(r.line.split()[1], json.loads(r.body)) for r in self.server.requests]
        self.assertEqual(
            sent,
            [
                (b"/orders/probe", {}),
                (b"/orders/renew", {**lease, "lessor": "vm1"}),
                (b"/orders/grant", {**lease, "lessor": "vm1", "shards": [["s", 3, 9]]}),
            ],
        )
        expected = messages.OrderReply(
            server=SERVER,
            result=messages.OrderResult.OK,
            incarnation=ids.Incarnation("i1"),
            token=ids.Token(4),
            stamp=12.5,
            running_dropped=2,
            load=0.5,
        )
        self.assertEqual(received_reply, expected)

    async def test_malformed_replies_are_unknown(self):
        """Guards against accepting a malformed reply."""
        damaged = (
            fakes.answer(b"not json"),
            fakes.answer(b"[]"),
            fakes.answer(b"null"),
            fakes.answer(b"{}"),
            fakes.answer(b"[" * 60_000),
            reply(stamp=10**400),
            reply(result="perhaps"),
            reply(token="4"),
            reply(token=True),
            reply(token=1.5),
            reply(stamp=None),
            reply(stamp=float("nan")),
            reply(stamp=float("inf")),
            reply(incarnation=7),
            fakes.answer(b"{}", status=b"500 Error"),
        )
        sender = self.sender(*damaged)
        for _ in damaged:
            sent = sender.send(messages.Probe(SERVER))
            await self.expect_failure(sent, errors.OutcomeUnknownError)

    async def test_silent_server_times_out(self):
        """Guards against orders that wait forever for a suspended server."""
        sender = self.sender(lambda r: None, timeout_s=0.1)
        started = time.monotonic()
        sent = sender.send(messages.Probe(SERVER))
        await self.expect_failure(sent, errors.OutcomeUnknownError)
        self.assertLess(time.monotonic() - started, 0.4)

    async def test_refused_is_not_run(self):
        """Guards against an unknown outcome for an order that was never sent."""
        sender = self.sender()
        await self.server.stop_listening()
        await self.expect_failure(sender.send(messages.Probe(SERVER)), errors.NotRunError)

    async def test_undeclared_server_is_not_run(self):
        """Guards against sending orders to a server that is no longer declared."""
        sender = self.sender()
        self.address = None
        await self.expect_failure(sender.send(messages.Probe(SERVER)), errors.NotRunError)

    async def test_address_change(self):
        """Guards against sending orders to a server's previous address."""
        sender = self.sender(reply())
        await sender.send(messages.Probe(SERVER))
        other = fakes.FakeServer()
        other.script_answers(reply(incarnation="i2"))
        self.addCleanup(other.stop)
        self.address = other.address
        received_reply = await sender.send(messages.Probe(SERVER))
        self.assertEqual(received_reply.incarnation, "i2")

    async def test_connections_are_bounded_and_kept(self):
        """Guards against more connections for orders than `ORDER_POOL_LIMIT`."""
        sender = self.sender(reply())
        for sent in [sender.send(messages.Probe(SERVER)) for _ in range(10)]:
            await sent
        self.assertLessEqual(self.server.accepted, orders.ORDER_POOL_LIMIT)
