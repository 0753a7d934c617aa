"""Lean backend server for `fast_path`: fixed answers and permissive orders.

It answers faster than the full stand-in, so that the entry VM limits the throughput. It grants
every order of its incarnation and does not check shards, so it is no test of ownership.
"""

from __future__ import annotations

import argparse
import json
import time
import uuid
from typing import Any

from twisted.internet import protocol, reactor

from standins import lease_state, lifetime

HEAD_END = b"\r\n\r\n"
LENGTH_HEADER = b"\r\ncontent-length:"
BODY = b"x" * 100
BACKLOG = 512


def _with_length(head: bytes, body: bytes) -> bytes:
    return b"HTTP/1.1 200 OK\r\n%sContent-Length: %d\r\n\r\n%s" % (head, len(body), body)


class LeanServer(protocol.Protocol):
    """Answers the requests of one connection, which has at most one in flight."""

    def __init__(self, lease: lease_state.LeaseState, answer: bytes) -> None:
        self._lease = lease
        self._answer = answer
        self._buffer = b""

    def connectionMade(self) -> None:  # noqa: N802
        """Turn off Nagle's algorithm."""
        self.transport.setTcpNoDelay(True)

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Answer each request whose head and body are complete."""
        self._buffer += data
        while HEAD_END in self._buffer:
            head, _, rest = self._buffer.partition(HEAD_END)
            length = 0
            if not head.startswith(b"GET "):
                length_text = head.lower().partition(LENGTH_HEADER)[2]
                length = int(length_text.partition(b"\r\n")[0] or 0)
            if len(rest) < length:
                return
            body, self._buffer = rest[:length], rest[length:]
            path = head.split(b" ", 2)[1]
            is_order = path.startswith(b"/orders/")
            self.transport.write(self._order(path, body) if is_order else self._answer)

    def _order(self, path: bytes, body: bytes) -> bytes:
        stamp = time.monotonic()
        order: dict[str, Any] = json.loads(body or b"{}")
        match path:
            case b"/orders/renew":
                result = self._lease.renew(order, stamp=stamp)
            case b"/orders/grant":
                result = self._lease.grant(order, stamp=stamp)
            case _:
                result = self._lease.probe()
        reply = {
            "result": result,
            "incarnation": self._lease.incarnation,
            "token": self._lease.token,
            "stamp": stamp,
            "running_dropped": 0,
            "load": 0.0,
        }
        return _with_length(b"Content-Type: application/json\r\n", json.dumps(reply).encode())


def main() -> None:
    """Serve until the process or its parent ends."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--host", required=True)
    parser.add_argument("--port", type=int, required=True)
    parser.add_argument("--id", required=True)
    options = parser.parse_args()
    lease = lease_state.LeaseState(incarnation=uuid.uuid4().hex, checked=True)
    head = b"Content-Type: application/json\r\nServer-Name: %s\r\n" % options.id.encode()
    factory = protocol.ServerFactory()
    factory.noisy = False
    factory.buildProtocol = lambda _: LeanServer(lease, _with_length(head, BODY))
    reactor.listenTCP(options.port, factory, BACKLOG, interface=options.host)
    lifetime.exit_with_parent(reactor)
    reactor.run()


if __name__ == "__main__":
    main()
