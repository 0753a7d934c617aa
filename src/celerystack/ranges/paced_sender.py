"""Sends range maps and configurations to many VMs without overflowing the link's queue."""

from __future__ import annotations

import functools
from collections.abc import Callable, Sequence
from typing import Any

from celerystack import supervision

INTERVAL_S = 0.01
"""Time in seconds between two bursts of datagrams."""
LINK_SHARE = 0.4
"""Fraction of the link's bandwidth that the datagrams may use."""
BITS_PER_BYTE = 8
SEND_TASK = "the sending of maps and configurations"
CONFIG_TOPIC = ""
"""Topic of the configuration; no service has an empty name."""

_Address = tuple[str, int]
_Key = tuple[_Address, str]


class PacedSender:
    """Sends datagrams in the order in which they were added, at a bounded rate.

    Parameters
    ----------
    send : callable
        Sends a datagram to an address.
    link_mbps : float
        Bandwidth of this VM's link in Mbit/s.
    """

    def __init__(
        self, reactor: Any, *, send: Callable[[bytes, _Address], None], link_mbps: float
    ) -> None:
        self._reactor = reactor
        self._send = send
        self._bytes_per_interval = link_mbps * 1e6 * LINK_SHARE * INTERVAL_S / BITS_PER_BYTE
        self._waiting_by_key: dict[_Key, list[bytes]] = {}
        self._is_scheduled = False

    def add(self, address: _Address, topic: str, datagrams: Sequence[bytes]) -> bool:
        """Add datagrams that belong together for a receiver.

        Parameters
        ----------
        topic : str
            What they are about: a service for its range map, or `CONFIG_TOPIC`.

        Returns
        -------
        bool
            False if earlier ones about the topic still wait for this receiver. Nothing is added
            then, because the receiver lacks the map on which these datagrams are based.
        """
        key = address, topic
        if key in self._waiting_by_key:
            return False
        self._waiting_by_key[key] = list(reversed(datagrams))
        if not self._is_scheduled:
            self._send_burst()
        return True

    def is_waiting(self, address: _Address, topic: str) -> bool:
        """Return whether datagrams about a topic still wait for a receiver."""
        return (address, topic) in self._waiting_by_key

    def _send_burst(self) -> None:
        """Send datagrams until the bytes of one interval are used up; always at least one."""
        self._is_scheduled = False
        sent_bytes = 0
        while self._waiting_by_key and sent_bytes < self._bytes_per_interval:
            key, datagrams = next(iter(self._waiting_by_key.items()))
            if datagrams:
                datagram = datagrams.pop()
                supervision.run_step(SEND_TASK, functools.partial(self._send, datagram, key[0]))
                sent_bytes += len(datagram)
            if not datagrams:
                del self._waiting_by_key[key]
        if sent_bytes:
            self._is_scheduled = True
            self._reactor.callLater(INTERVAL_S, self._send_burst)
