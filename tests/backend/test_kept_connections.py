"""Kept connections: closes and stray bytes between two exchanges."""

from __future__ import annotations

import socket
import struct

from celerystack import errors
from standins import scripted_backend as fakes
from tests.backend import test_client


class BlockingServer:
    """A server on plain sockets, so that a test can close one between two reactor turns."""

    def __init__(self):
        self.listener = socket.create_server(("127.0.0.1", 0))
        self.listener.setblocking(False)
        self.address = f"127.0.0.1:{self.listener.getsockname()[1]}"

    async def accept(self) -> socket.socket:
        peers = []

        def accepted() -> bool:
            try:
                peers.append(self.listener.accept()[0])
            except BlockingIOError:
                return False
            return True

        await fakes.settle(until=accepted)
        peers[0].setblocking(False)
        return peers[0]

    def close(self):
        self.listener.close()


class KeptConnectionTest(test_client.ClientTestCase):
    async def kept(self):
        """Return a pool with one kept connection and the server's end of it."""
        server = BlockingServer()
        self.addCleanup(server.close)
        pool = self.pool(server.address)
        sent = pool.exchange(test_client.GET, deadline=test_client.soon())
        peer = await server.accept()
        self.addCleanup(peer.close)
        await fakes.settle(until=lambda: _readable(peer))
        peer.send(fakes.answer(b"first"))
        self.assertEqual((await sent).body, b"first")
        self.assertEqual(pool.idle_count, 1)
        return server, pool, peer

    async def _answered_on_new_connection(self, server, pool):
        sent = pool.exchange(test_client.post(b"once"), deadline=test_client.soon())
        fresh = await server.accept()
        self.addCleanup(fresh.close)
        await fakes.settle(until=lambda: _readable(fresh))
        self.assertTrue(fresh.recv(4096).endswith(b"once"))
        fresh.send(fakes.answer(b"second"))
        self.assertEqual((await sent).body, b"second")

    async def test_closed_just_before_the_write(self):
        """Guards against an unknown outcome when the close had arrived before the write.

        The close is in the socket but the reactor has not seen it yet.
        """
        server, pool, peer = await self.kept()
        peer.close()
        await self._answered_on_new_connection(server, pool)

    async def test_reset_just_before_the_write(self):
        """Guards against a write into a connection that was reset."""
        server, pool, peer = await self.kept()
        peer.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        peer.close()
        await self._answered_on_new_connection(server, pool)

    async def test_bytes_nobody_asked_for(self):
        """Guards against an old or invented answer being taken for the next request's."""
        server, pool, peer = await self.kept()
        peer.send(fakes.answer(b"stray"))
        await self._answered_on_new_connection(server, pool)

    async def test_closed_just_after_the_write_is_unknown(self):
        """Guards against a false not-run: the server may have read the bytes."""
        _, pool, peer = await self.kept()
        watcher = test_client.Watcher()
        sent = pool.exchange(
            test_client.post(b"once"), deadline=test_client.soon(), watcher=watcher
        )
        peer.close()
        error = await self.fails_unknown(sent)
        self.assertNotIsInstance(error, errors.TruncatedAnswerError)
        self.assertEqual(watcher.endings, ["maybe-idle-close"])

    async def test_reused_connection_answers_in_order(self):
        """Guards against mixing the answers of two exchanges on one connection."""
        _, pool, peer = await self.kept()
        for number in range(3):
            sent = pool.exchange(test_client.GET, deadline=test_client.soon())
            await fakes.settle(until=lambda: _readable(peer))
            peer.send(fakes.answer(b"%d" % number))
            self.assertEqual((await sent).body, b"%d" % number)


def _readable(peer: socket.socket) -> bool:
    """Return whether a request has arrived; takes it from the socket if it is a GET."""
    try:
        data = peer.recv(65536, socket.MSG_PEEK)
    except BlockingIOError:
        return False
    if data.startswith(b"GET"):
        peer.recv(65536)
    return b"\r\n\r\n" in data
