"""Sends the configuration row from the planner to the other entry VMs.

Without it every entry VM would read the row from the store after each change: a row of thousands of
routes takes seconds on a slow link, where its compressed datagrams take a fraction of one.
"""

from __future__ import annotations

import zlib
from collections.abc import Callable, Iterable, Sequence

from celerystack import ids
from celerystack.fleet import directory_sync, messages

PART_BYTES = 1_200
"""Bytes of the compressed row in one datagram; the last one of a row may have fewer."""
PARTS_MAX = 100
"""Number of parts above which a row is not sent, and a part is ignored."""
VALUE_BYTES_MAX = 1_000_000
"""Largest decompressed row in bytes."""
RESEND_S = 0.5
"""Time in seconds after the sending of a row, after which a report without the row shows that
datagrams were lost. Longer than the queues of slow links hold datagrams."""

_Address = tuple[str, int]


class ConfigDistributor:
    """Sends the row that the planner has read, and reassembles it on the other entry VMs.

    An entry VM that misses a part reads the row itself when a planner heartbeat announces it. The
    row is also sent again to a VM that reports without it, and completes the parts that arrived.

    Parameters
    ----------
    addresses : callable
        Returns the datagram addresses of the other entry VMs.
    send : callable
        Sends the datagrams of one row to an address; ignored while earlier ones wait.
    is_sending : callable
        Returns whether datagrams of a row still wait for an address.
    now : callable
        Clock in seconds.
    """

    def __init__(
        self,
        *,
        updates: directory_sync.DirectorySync,
        addresses: Callable[[], Iterable[_Address]],
        send: Callable[[_Address, Sequence[bytes]], object],
        is_sending: Callable[[_Address], bool],
        now: Callable[[], float],
    ) -> None:
        self._updates = updates
        self._addresses = addresses
        self._send = send
        self.is_sending = is_sending
        self._now = now
        self._newest: tuple[ids.RowVersion, bytes] | None = None
        self._datagrams: list[bytes] | None = None
        self._sent_at_by_address: dict[_Address, float] = {}
        self._row = directory_sync.UNKNOWN
        self._data_by_part: dict[int, bytes] = {}
        updates.on_config(self._send_to_all)

    def _send_to_all(self, row: ids.RowVersion, value: bytes) -> None:
        self._newest, self._datagrams = (row, value), None
        self._sent_at_by_address.clear()
        if not self._updates.is_leader:
            return
        for address in self._addresses():
            self._send_row(address)

    def _send_row(self, address: _Address) -> None:
        datagrams = self._encoded()
        if datagrams:
            self._send(address, datagrams)
            self._sent_at_by_address[address] = self._now()

    def _encoded(self) -> list[bytes]:
        """Return the datagrams of the newest row, which only a planner needs."""
        if self._datagrams is None and self._newest is not None:
            self._datagrams = [messages.encode(part) for part in split(*self._newest)]
        return self._datagrams or []

    def resend(self, address: _Address, *, reported: ids.RowVersion, reported_at: float) -> None:
        """Send the row again if a report shows that it did not arrive.

        Parameters
        ----------
        reported : RowVersion
            Version of the row that the receiver has.
        reported_at : float
            Clock time in seconds at which its report arrived.
        """
        if reported >= self._updates.config_row:
            return
        if self.is_sending(address):
            self._sent_at_by_address[address] = self._now()
        elif reported_at - self._sent_at_by_address.get(address, float("-inf")) >= RESEND_S:
            self._send_row(address)

    def receive(self, part: messages.ConfigPart) -> None:
        """Take one part; passes the row on when it is complete."""
        is_known = part.row <= max(self._updates.config_row, self._row - 1)
        if is_known or not 0 <= part.part < part.parts <= PARTS_MAX:
            return
        if part.row > self._row:
            self._row = part.row
            self._data_by_part.clear()
        self._data_by_part[part.part] = part.data
        if len(self._data_by_part) < part.parts:
            return
        value = _join(self._data_by_part, part.parts)
        self._data_by_part.clear()
        if value is not None:
            self._updates.offer_config(part.row, value)


def split(row: ids.RowVersion, value: bytes) -> list[messages.ConfigPart]:
    """Return the parts of a row; none if it is too large to be sent."""
    data = zlib.compress(value)
    offsets = range(0, len(data), PART_BYTES)
    if len(offsets) > PARTS_MAX:
        return []
    return [
        messages.ConfigPart(
            row=row, part=part, parts=len(offsets), data=data[offset : offset + PART_BYTES]
        )
        for part, offset in enumerate(offsets)
    ]


def _join(data_by_part: dict[int, bytes], parts: int) -> bytes | None:
    """Return the row of all parts; None if they do not belong together."""
    try:
        data = b"".join(data_by_part[part] for part in range(parts))
        decompressor = zlib.decompressobj()
        value = decompressor.decompress(data, VALUE_BYTES_MAX)
    except (KeyError, zlib.error):
        return None
    return value if decompressor.eof else None
