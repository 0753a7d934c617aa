"""Responses of one connection that its caller has not read yet."""

from __future__ import annotations

from celerystack.limits import body_account


class UnreadResponses:
    """Counts the bytes that are held for a caller, and since when it has read none of them.

    Attributes
    ----------
    since : float
        Clock time in seconds of the last progress; infinite if nothing is held.
    """

    def __init__(self, account: body_account.ByteAccount) -> None:
        self._hold = body_account.Hold(account, body_account.Part.UNSENT)
        self._left_bytes = 0
        self.since = float("inf")

    @property
    def held_bytes(self) -> int:
        """Bytes that are held."""
        return self._hold.count

    def update(self, held_bytes: int, left_bytes: int, now: float) -> bool:
        """Set the bytes that are held and those not sent; return whether more are held."""
        if not held_bytes:
            self.release()
            return False
        if not self._hold.count or left_bytes < self._left_bytes:
            self.since = now
        has_grown = held_bytes > self._hold.count
        self._left_bytes = left_bytes
        self._hold.set(held_bytes)
        return has_grown

    def release(self) -> None:
        """Count nothing any more; idempotent."""
        self._hold.release()
        self.since = float("inf")
