"""Sends the configuration row from the planner to the other entry VMs.

Without it every entry VM would read the row from the store after each change.
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


class ConfigDistributor:
    """Sends the row that the planner has read, and reassembles it on the other entry VMs.

    An entry VM that misses a part reads the row itself when a planner heartbeat announces it.

    Parameters
    ----------
    addresses : callable
        Returns the datagram addresses of the other entry VMs.
    send : callable
        Sends the datagrams of one row to an address.
    """

    def __init__(
        self,
        *,
        updates: directory_sync.DirectorySync,
        addresses: Callable[[], Iterable[tuple[str, int]]],
        send: Callable[[tuple[str, int], Sequence[bytes]], object],
    ) -> None:
        self._updates = updates
        self._addresses = addresses
        self._send = send
        self._row = directory_sync.UNKNOWN
        self._data_by_part: dict[int, bytes] = {}
        updates.on_config(self._send_to_all)

    def _send_to_all(self, row: ids.RowVersion, value: bytes) -> None:
        if not self._updates.is_leader:
            return
        datagrams = [messages.encode(part) for part in split(row, value)]
        if datagrams:
            for address in self._addresses():
                self._send(address, datagrams)

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
