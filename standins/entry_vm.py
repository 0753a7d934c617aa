"""Runs the entry point of celerystack with transports that can be cut off at run time.

``STANDINS_CONTROL_ADDRESS`` is the ``IP:port`` of the UDP control endpoint, see `cuts`.
"""

from __future__ import annotations

import os
import sys

from twisted.internet import reactor

from celerystack import run
from standins import cuts, lifetime

CONTROL_ADDRESS_VARIABLE = "STANDINS_CONTROL_ADDRESS"


def prepare() -> cuts.Network:
    """Wrap the transports and open the control endpoint."""
    host, port = os.environ[CONTROL_ADDRESS_VARIABLE].rsplit(":", 1)
    network = cuts.install(reactor, source_ip=host)
    reactor.listenUDP(int(port), cuts.ControlProtocol(network), interface=host)
    lifetime.exit_with_parent(reactor)
    return network


def main(argv: list[str]) -> int:
    """Run celerystack with the arguments ``argv``; returns its exit code."""
    prepare()
    return run.main(argv)


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
