"""Kept (keep-alive) connections: closes and unsolicited bytes between two exchanges."""

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

        await fakes.wait_until(until=accepted)
        peers[0].setblocking(False)
        return peers[0]

    def close(self):
        self.listener.close()


class KeptConnectionTest(test_client.ClientTestCase):
    async def open_kept_connection(self):
        """Return the server, a pool with one idle connection to it, and the server's socket."""
        server = BlockingServer()
        self.addCleanup(server.close)
        pool = self.pool(server.address)
        sent = pool.exchange(test_client.GET, deadline=test_client.deadline_in())
        peer = await server.accept()
        self.addCleanup(peer.close)
        await fakes.wait_until(until=lambda: _readable(peer))
        peer.send(fakes.answer(b"first"))
        self.assertEqual((await sent).body, b"first")
        self.assertEqual(pool.idle_count, 1)
        return server, pool, peer

    async def _answered_on_new_connection(self, server, pool):
        sent = pool.exchange(test_client.post(b"once"), deadline=test_client.deadline_in())
        new_peer = await server.accept()
        self.addCleanup(new_peer.close)
        await fakes.wait_until(until=lambda: _readable(new_peer))
        self.assertTrue(new_peer.recv(4096).endswith(b"once"))
        new_peer.send(fakes.answer(b"second"))
        self.assertEqual((await sent).body, b"second")

    async def test_closed_just_before_the_write(self):
        """Guards against an unknown outcome when the close arrived before the write.

        The socket has received the close, but the reactor has not processed it yet.
        """
        server, pool, peer = await self.open_kept_connection()
        peer.close()
        await self._answered_on_new_connection(server, pool)

    async def test_reset_just_before_the_write(self):
        """Guards against writing a request to a connection that the server has reset."""
        server, pool, peer = await self.open_kept_connection()
        peer.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        peer.close()
        await self._answered_on_new_connection(server, pool)

    async def test_bytes_nobody_asked_for(self):
        """Guards against taking an unsolicited response for the response to the next request."""
        server, pool, peer = await self.open_kept_connection()
        peer.send(fakes.answer(b"stray"))
        await self._answered_on_new_connection(server, pool)

    async def test_closed_just_after_the_write_is_unknown(self):
        """Guards against reporting a request as not run although the server may have read it."""
        _, pool, peer = await self.open_kept_connection()
        observer = test_client.ExchangeObserver()
        sent = pool.exchange(
            test_client.post(b"once"), deadline=test_client.deadline_in(), observer=observer
        )
        peer.close()
        error = await self.expect_outcome_unknown(sent)
        self.assertNotIsInstance(error, errors.TruncatedAnswerError)
        self.assertEqual(observer.connection_outcomes, ["maybe-idle-close"])

    async def test_reused_connection_answers_in_order(self):
        """Guards against mixing the responses of two exchanges on one connection."""
        _, pool, peer = await self.open_kept_connection()
        for number in range(3):
            sent = pool.exchange(test_client.GET, deadline=test_client.deadline_in())
            await fakes.wait_until(until=lambda: _readable(peer))
            peer.send(fakes.answer(b"%d" % number))
            self.assertEqual((await sent).body, b"%d" % number)


def _readable(peer: socket.socket) -> bool:
    """Return whether a request has arrived; a GET request is removed from the socket."""
    try:
        data = peer.recv(65536, socket.MSG_PEEK)
    except BlockingIOError:
        return False
    if data.startswith(b"GET"):
        peer.recv(65536)
    return b"\r\n\r\n" in data
