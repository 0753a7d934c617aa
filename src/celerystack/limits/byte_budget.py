"""Limit on the bytes that all exchanges of a process hold in memory together."""

from __future__ import annotations


class ByteBudget:
    """Counts reserved bytes against a limit.

    Parameters
    ----------
    limit_bytes : int
        Largest number of bytes reserved at once.
    """

    def __init__(self, limit_bytes: int) -> None:
        self._limit_bytes = limit_bytes
        self._used_bytes = 0

    @property
    def used_bytes(self) -> int:
        """Bytes that are reserved now."""
        return self._used_bytes

    def try_reserve(self, count: int) -> bool:
        """Reserve bytes if the limit allows; return whether it does."""
        if self._used_bytes + count > self._limit_bytes:
            return False
        self._used_bytes += count
        return True

    def release(self, count: int) -> None:
        """Return bytes that `try_reserve` has reserved."""
        self._used_bytes -= count
