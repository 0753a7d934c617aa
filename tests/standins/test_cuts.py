from __future__ import annotations

import json
import os
import pathlib
import signal
import socket
import subprocess
import sys
import time

import testtools

ROOT = pathlib.Path(__file__).parents[2]
RELAY_IP, TARGET_IP = "127.0.1.51", "127.0.2.51"
RELAY = """
import sys
from twisted.internet import protocol, reactor
from standins import entry_vm

class Outgoing(protocol.Protocol):
    def connectionMade(self):
        self.incoming.transport.resumeProducing()
        self.incoming.outgoing = self
    def dataReceived(self, data):
        self.incoming.transport.write(data)
    def connectionLost(self, reason):
        self.incoming.transport.loseConnection()

class Incoming(protocol.Protocol):
    outgoing = None
    def connectionMade(self):
        self.transport.pauseProducing()
        factory = protocol.ClientFactory()
        factory.protocol = Outgoing
        factory.buildProtocol = self.build
        factory.clientConnectionFailed = lambda *_: self.transport.loseConnection()
        reactor.connectTCP(sys.argv[3], int(sys.argv[4]), factory, timeout=float(sys.argv[5]))
    def build(self, address):
        outgoing = Outgoing()
        outgoing.incoming = self
        return outgoing
    def dataReceived(self, data):
        # Like celerystack's client, which sends on the socket itself.
        self.outgoing.transport.getHandle().send(data)
    def connectionLost(self, reason):
        if self.outgoing is not None:
            self.outgoing.transport.abortConnection()

entry_vm.prepare()
factory = protocol.ServerFactory()
factory.protocol = Incoming
reactor.listenTCP(int(sys.argv[2]), factory, interface=sys.argv[1])
reactor.run()
"""


def free_port(ip: str, kind: int = socket.SOCK_STREAM) -> int:
    with socket.socket(socket.AF_INET, kind) as probe:
        probe.bind((ip, 0))
        return probe.getsockname()[1]


class CutsTest(testtools.TestCase):
    """A relay with wrapped transports between a caller (127.0.0.1) and a target (127.0.2.51)."""

    def setUp(self) -> None:
        super().setUp()
        self.target = socket.create_server((TARGET_IP, 0))
        self.addCleanup(self.target.close)
        self.target.settimeout(3)
        self.relay = (RELAY_IP, free_port(RELAY_IP))
        self.control = (RELAY_IP, free_port(RELAY_IP, socket.SOCK_DGRAM))

    def start(self, connect_timeout_s: float = 10.0) -> None:
        command = [sys.executable, "-c", RELAY, *map(str, self.relay)]
        command += [*map(str, self.target.getsockname()), str(connect_timeout_s)]
        environment = {
            **os.environ,
            "STANDINS_CONTROL_ADDRESS": "{}:{}".format(*self.control),
            "PYTHONPATH": f"{ROOT / 'src'}:{ROOT}",
        }
        self.process = subprocess.Popen(command, env=environment)
        self.addCleanup(self.process.wait)
        self.addCleanup(self.process.kill)
        for _ in range(200):
            try:
                socket.create_connection(self.relay).close()
                break
            except OSError:
                time.sleep(0.05)
        self.target.accept()[0].close()

    def cut(self, *prefixes: str) -> None:
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as control:
            control.settimeout(3)
            control.sendto(json.dumps({"cut": prefixes}).encode(), self.control)
            self.assertEqual({"cut": list(prefixes)}, json.loads(control.recv(9999)))

    def pair(self) -> tuple[socket.socket, socket.socket]:
        caller = socket.create_connection(self.relay)
        served = self.target.accept()[0]
        for side in (caller, served):
            side.settimeout(3)
            self.addCleanup(side.close)
        return caller, served

    def assert_nothing_received(self, side: socket.socket, seconds: float = 0.4) -> None:
        side.settimeout(seconds)
        self.assertRaises(TimeoutError, side.recv, 100)
        side.settimeout(3)

    def test_bytes_are_held_and_delivered_late(self) -> None:
        """Guards against a cut that closes connections, loses bytes or lets bytes through."""
        self.start()
        caller, served = self.pair()
        caller.sendall(b"one")
        self.assertEqual(b"one", served.recv(100))
        self.assertEqual(RELAY_IP, served.getpeername()[0])
        self.cut("127.0.2.")
        caller.sendall(b"two")
        served.sendall(b"answer")
        self.assert_nothing_received(served)
        self.assert_nothing_received(caller)
        self.cut()
        self.assertEqual(b"two", served.recv(100))
        self.assertEqual(b"answer", caller.recv(100))
        caller.sendall(b"three")
        self.assertEqual(b"three", served.recv(100))

    def test_other_prefixes_are_not_cut(self) -> None:
        """Guards against a cut that also affects peers outside the cut prefixes."""
        self.start()
        self.cut("127.0.3.", "127.0.9.1")
        caller, served = self.pair()
        caller.sendall(b"one")
        self.assertEqual(b"one", served.recv(100))

    def test_new_connections_wait_for_the_end_of_the_cut(self) -> None:
        """Guards against outgoing connections that complete or are refused during a cut."""
        self.start()
        self.cut("127.0.2.")
        caller = socket.create_connection(self.relay)
        self.addCleanup(caller.close)
        self.target.settimeout(0.4)
        self.assertRaises(TimeoutError, self.target.accept)
        self.target.settimeout(3)
        self.cut()
        served = self.target.accept()[0]
        self.addCleanup(served.close)
        served.sendall(b"late")
        caller.settimeout(3)
        self.assertEqual(b"late", caller.recv(100))

    def test_connection_attempt_times_out_during_a_cut(self) -> None:
        """Guards against a connection attempt that outlives the timeout of connectTCP."""
        self.start(connect_timeout_s=0.5)
        self.cut("127.0.2.")
        caller = socket.create_connection(self.relay)
        self.addCleanup(caller.close)
        caller.settimeout(3)
        self.assertEqual(b"", caller.recv(100))
        self.cut()
        self.target.settimeout(0.4)
        self.assertRaises(TimeoutError, self.target.accept)

    def test_accepted_connections_wait_for_the_end_of_the_cut(self) -> None:
        """Guards against accepting a connection from a cut address before the cut is healed."""
        self.start()
        self.cut("127.0.3.")
        caller = socket.create_connection(self.relay, source_address=("127.0.3.9", 0))
        self.addCleanup(caller.close)
        caller.sendall(b"one")
        self.target.settimeout(0.4)
        self.assertRaises(TimeoutError, self.target.accept)
        self.target.settimeout(3)
        self.cut()
        served = self.target.accept()[0]
        self.addCleanup(served.close)
        served.settimeout(3)
        self.assertEqual(b"one", served.recv(100))

    def test_close_is_not_seen_during_a_cut(self) -> None:
        """Guards against a close by either side that the other side sees during a cut."""
        self.start()
        caller, served = self.pair()
        other, other_served = self.pair()
        self.cut("127.0.2.")
        caller.close()
        self.assert_nothing_received(served)
        other_served.close()
        self.assert_nothing_received(other)
        self.cut()
        self.assertRaises((ConnectionResetError, BrokenPipeError), self._receive, served)
        self.assertEqual(b"", other.recv(100))

    def _receive(self, side: socket.socket) -> None:
        if side.recv(100) == b"":
            raise ConnectionResetError

    def test_cut_uses_no_cpu_time(self) -> None:
        """Guards against a busy reactor: unread bytes of a cut peer would wake it all the time."""
        self.start()
        caller, served = self.pair()
        self.cut("127.0.2.")
        served.sendall(b"unread")
        caller.sendall(b"held")
        before = self._cpu_time_s()
        time.sleep(0.5)
        self.assertLess(self._cpu_time_s() - before, 0.1)
        self.process.send_signal(signal.SIGTERM)
        self.assertEqual(0, self.process.wait(3))

    def _cpu_time_s(self) -> float:
        fields = pathlib.Path(f"/proc/{self.process.pid}/stat").read_text().split()
        return (int(fields[13]) + int(fields[14])) / os.sysconf("SC_CLK_TCK")
