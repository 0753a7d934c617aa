"""Port through which entry VMs exchange datagrams."""

from __future__ import annotations

import logging
from collections.abc import Callable

from twisted.internet import error, protocol

_log = logging.getLogger(__name__)


class DatagramPort(protocol.DatagramProtocol):
    """Sends datagrams, and passes on those that arrive.

    Parameters
    ----------
    received : callable
        Called with each datagram and the address of its sender.
    """

    def __init__(self, received: Callable[[bytes, tuple[str, int]], None]) -> None:
        self._on_datagram = received

    def datagramReceived(self, datagram: bytes, addr: tuple[str, int]) -> None:  # noqa: N802
        """Pass on one datagram."""
        self._on_datagram(datagram, addr)

    def send(self, data: bytes, address: tuple[str, int]) -> None:
        """Send one datagram; a failure counts as a lost datagram."""
        try:
            self.transport.write(data, address)
        except OSError as caught:
            _log.debug(
                "failed to send a datagram: %s", caught, extra={"step": "fleet", "peer": address[0]}
            )
        except error.MessageLengthError:
            _log.error(
                "a datagram of %d bytes was too large to be sent",
                len(data),
                extra={"step": "fleet", "peer": address[0]},
            )
