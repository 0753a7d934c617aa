"""Receives request bodies within the limits on callers and the memory of the process."""

from __future__ import annotations

import io
from collections.abc import Callable

from celerystack.limits import body_account, body_pace
from celerystack.requests import caller_limits, rejection

CHUNKED_STEP_BYTES = 1024 * 1024
"""A large body of unknown length reserves memory in steps of this size."""
STALLED_S = 3.0
"""Time in seconds without progress after which a body may be dropped to make room for another."""

_TOO_LARGE = rejection.Rejection(
    413, b"the request body is too large", caller_limits.Limit.BODY_SIZE
)
_NO_ROOM = rejection.Rejection(
    503, b"there is no room for the request body now", caller_limits.Limit.MEMORY
)
_STALLED = rejection.Rejection(
    408, b"the request body did not advance", caller_limits.Limit.BODY_PROGRESS
)
_LIMIT_BY_LATENESS = {
    body_pace.Lateness.PROGRESS: caller_limits.Limit.BODY_PROGRESS,
    body_pace.Lateness.WHOLE: caller_limits.Limit.BODY_TIME,
}


class OpenBodies:
    """Bodies that are being received."""

    def __init__(self, account: body_account.ByteAccount, *, now: Callable[[], float]) -> None:
        self.account = account
        self.now = now
        self._bodies: set[BodyIntake] = set()

    def add(self, body: BodyIntake) -> None:
        """Add a body whose head was received."""
        self._bodies.add(body)

    def discard(self, body: BodyIntake) -> None:
        """Remove a body that is complete or discarded."""
        self._bodies.discard(body)

    def drop_stalled(self, *, is_large: bool) -> bool:
        """Reject the body that has not advanced for longest; return whether there was one.

        Small bodies do not give way to large ones.
        """
        candidates = [body for body in self._bodies if body.is_large or not is_large]
        stalled = min(candidates, key=lambda body: body.advanced_at, default=None)
        if stalled is None or self.now() - stalled.advanced_at < STALLED_S:
            return False
        stalled.reject(_STALLED)
        return True


class BodyIntake:
    """Body of one request.

    Parameters
    ----------
    reject : callable
        Called with the rejection of the request; must call `discard`.
    """

    def __init__(
        self, open_bodies: OpenBodies, reject: Callable[[rejection.Rejection], None]
    ) -> None:
        self._open_bodies = open_bodies
        self._hold: body_account.BodyHold | None = None
        self._limits: caller_limits.Limits | None = None
        self._pace: body_pace.BodyPace | None = None
        self._received_bytes = 0
        self._is_closed = False
        self.reject = reject
        self.advanced_at = 0.0
        self.content = io.BytesIO()

    @property
    def is_large(self) -> bool:
        """Whether the body counts as large."""
        return self._hold is not None and self._hold.is_large

    def begin(self, length: int | None, limits: caller_limits.Limits) -> None:
        """Begin a body; reject a declared length above the limit or without room.

        The body stays in memory, because entry VMs have no disk for twisted.web's temporary files.
        """
        if length == 0:
            return
        self._limits = limits
        self._hold = body_account.BodyHold(self._open_bodies.account)
        if length is not None and length > limits.body_bytes_max:
            self.reject(_TOO_LARGE)
            return
        self.advanced_at = self._open_bodies.now()
        self._pace = body_pace.BodyPace(limits.body_pace, now=self.advanced_at)
        self._open_bodies.add(self)
        if length is not None and not self._try_hold(length):
            self.reject(_NO_ROOM)

    def add(self, data: bytes) -> None:
        """Append bytes, or reject a body of unknown length above the limit or without room."""
        if self._is_closed:
            return
        self._received_bytes += len(data)
        if self._received_bytes > self._limits.body_bytes_max:
            self.reject(_TOO_LARGE)
            return
        self.advanced_at = self._open_bodies.now()
        if self._received_bytes > self._hold.count and not self._try_hold(self._next_step()):
            self.reject(_NO_ROOM)
            return
        self.content.write(data)

    def _next_step(self) -> int:
        """Return the bytes to hold for a body of unknown length."""
        if self._received_bytes <= body_account.SMALL_BODY_BYTES_MAX:
            return self._received_bytes
        return min(self._received_bytes + CHUNKED_STEP_BYTES, self._limits.body_bytes_max)

    def _try_hold(self, count: int) -> bool:
        is_large = count > body_account.SMALL_BODY_BYTES_MAX
        while not self._hold.try_grow(count):
            if not self._open_bodies.drop_stalled(is_large=is_large):
                return False
        return True

    def check_pace(self, now: float) -> None:
        """Reject the request if its body arrives too slowly."""
        lateness = None if self._pace is None else self._pace.check(self._received_bytes, now)
        if lateness is not None:
            limit = _LIMIT_BY_LATENESS[lateness]
            self.reject(rejection.Rejection(408, lateness.value.encode(), limit))

    def complete(self) -> None:
        """Record that the whole body has arrived; its memory is held until `release`."""
        if self._hold is not None:
            self._close()
            self._hold.complete(self.content.tell())

    def discard(self) -> None:
        """Discard the body; further bytes are ignored."""
        self.release()
        self.content = io.BytesIO()

    def release(self) -> None:
        """Return the memory of the body to the account; idempotent."""
        if self._hold is not None:
            self._close()
            self._hold.release()

    def _close(self) -> None:
        self._is_closed = True
        self._pace = None
        self._open_bodies.discard(self)
