"""Tests of the helpers that describe clusters of stand-ins."""

import pathlib
import socket

import testtools

from standins import layout

EPHEMERAL_PORTS = pathlib.Path("/proc/sys/net/ipv4/ip_local_port_range")


class FreePortTest(testtools.TestCase):
    def test_ports_of_outgoing_connections_are_not_used(self):
        """Guards against a listener whose port an outgoing connection takes before its start."""
        first, _ = map(int, EPHEMERAL_PORTS.read_text().split())
        for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
            ports = [layout.free_port("127.0.0.1", kind) for _ in range(200)]
            self.assertLess(max(ports), first)

    def test_ports_in_use_are_not_returned(self):
        """Guards against a port on which another process listens."""
        first = layout.PORT_RANGE[0]
        with socket.socket() as listener:
            listener.bind(("127.0.0.1", first))
            self.addCleanup(setattr, layout, "PORT_RANGE", layout.PORT_RANGE)
            layout.PORT_RANGE = (first, first + 2)
            self.assertEqual(first + 1, layout.free_port("127.0.0.1"))
