"""Counts the open connections of loopback listeners in the kernel's socket table."""

from __future__ import annotations

import collections
import pathlib
import socket
import struct
import threading
from collections.abc import Collection, Mapping
from typing import Self

TABLE = pathlib.Path("/proc/net/tcp")
SAMPLE_S = 0.05
OPEN_STATES = frozenset({"01", "08"})
"""ESTABLISHED and CLOSE_WAIT: the server has not closed its end."""


class Sampler:
    """Samples the connections at some addresses every `SAMPLE_S` seconds while entered.

    Attributes
    ----------
    largest_by_address : dict
        Largest number of connections seen at each ``IP:port``.
    """

    def __init__(self, addresses: Collection[str]) -> None:
        self._address_by_kernel_address = {
            _kernel_address(address): address for address in addresses
        }
        self._stop = threading.Event()
        self._thread = threading.Thread(target=self._run, daemon=True)
        self.largest_by_address = dict.fromkeys(addresses, 0)
        self.samples = 0

    def __enter__(self) -> Self:
        self._thread.start()
        return self

    def __exit__(self, *_: object) -> None:
        self._stop.set()
        self._thread.join()

    def _run(self) -> None:
        while not self._stop.wait(SAMPLE_S):
            counts = self._count()
            self.samples += 1
            for address, largest in self.largest_by_address.items():
                self.largest_by_address[address] = max(largest, counts.get(address, 0))

    def _count(self) -> Mapping[str, int]:
        counts: collections.Counter[str] = collections.Counter()
        for line in TABLE.read_text().splitlines()[1:]:
            _, local, _, state = line.split(maxsplit=4)[:4]
            if state in OPEN_STATES and local in self._address_by_kernel_address:
                counts[self._address_by_kernel_address[local]] += 1
        return counts


def _kernel_address(address: str) -> str:
    """Return an ``IP:port`` as the kernel writes it: the IP in the machine's byte order."""
    host, port = address.split(":")
    (number,) = struct.unpack("=I", socket.inet_aton(host))
    return f"{number:08X}:{int(port):04X}"
