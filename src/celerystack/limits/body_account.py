"""Account of all bytes that a process holds for the requests of its callers."""

from __future__ import annotations

import dataclasses
import enum

SMALL_BODY_BYTES_MAX = 64 * 1024
"""Largest body that counts as small."""
PEAK_SHARE = 0.75
"""Fraction of the memory that the process uses, besides what is reserved for each part."""
PROCESS_BYTES = 64_000_000
"""Memory of the process without requests (about 42 MB), and of copies that exist for a moment."""
SHARED_SHARE_MIN = 0.2
"""Smallest fraction of the memory that the parts use together beyond what is reserved for each."""
LARGE_SHARE = 0.85
"""Fraction of the shared bytes for large bodies; a single body of the largest size always fits."""
CONNECTION_BYTES = 12 * 1024
"""Memory that the objects of one connection and its request take, without body and headers."""
CONNECTIONS_RESERVED_SHARE = 0.1
"""Fraction of the memory that only the state of connections uses."""
CONNECTIONS_SHARE = 0.25
"""Fraction of the memory for the state of connections and bytes that are not parsed yet."""
SMALL_RESERVED_SHARE = 0.05
"""Fraction of the memory that only small bodies use."""
SMALL_SHARE = 0.2
"""Fraction of the memory for small bodies."""
UNSENT_RESERVED_SHARE = 0.05
"""Fraction of the memory that only unsent responses use."""
UNSENT_SHARE = 0.15
"""Fraction of the memory for unsent responses."""
ANSWERS_RESERVED_SHARE = 0.1
"""Fraction of the memory that only responses in receipt use, so that large bodies of requests do
not make answers fail."""
ANSWERS_SHARE = 0.2
"""Fraction of the memory for responses in receipt. A response is held twice for a moment, when it
is joined and written to its caller."""
OPEN_LARGE_BODIES_MAX = 256
"""Default for the number of large bodies that are received at the same time."""


class Part(enum.Enum):
    """What the bytes are held for."""

    CONNECTIONS = "connections"
    SMALL = "small_bodies"
    LARGE = "large_bodies"
    UNSENT = "unsent_responses"
    ANSWERS = "answers_in_receipt"


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class PartLimit:
    """Bytes of one part.

    Attributes
    ----------
    reserved_bytes : int
        Bytes that no other part uses.
    bytes_max : int
        Largest number of bytes, including the reserved ones.
    """

    reserved_bytes: int
    bytes_max: int


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class AccountLimits:
    """Limits of a `ByteAccount`.

    Attributes
    ----------
    shared_bytes : int
        Bytes that the parts use together beyond their reserved ones.
    open_large_bodies_max : int
        Largest number of large bodies that are received at the same time.
    """

    shared_bytes: int
    limit_by_part: dict[Part, PartLimit]
    open_large_bodies_max: int


def limits_for(
    memory_bytes: int,
    *,
    body_bytes_max: int,
    open_large_bodies_max: int = OPEN_LARGE_BODIES_MAX,
) -> AccountLimits:
    """Return the limits for a process that may use ``memory_bytes``."""

    def share(reserved: float, largest: float) -> PartLimit:
        return PartLimit(
            reserved_bytes=int(memory_bytes * reserved), bytes_max=int(memory_bytes * largest)
        )

    shared_bytes = max(
        int(memory_bytes * PEAK_SHARE) - PROCESS_BYTES, int(memory_bytes * SHARED_SHARE_MIN)
    )
    large_bytes_max = max(int(shared_bytes * LARGE_SHARE), body_bytes_max)
    return AccountLimits(
        shared_bytes=max(shared_bytes, large_bytes_max),
        limit_by_part={
            Part.CONNECTIONS: share(CONNECTIONS_RESERVED_SHARE, CONNECTIONS_SHARE),
            Part.SMALL: share(SMALL_RESERVED_SHARE, SMALL_SHARE),
            Part.LARGE: PartLimit(reserved_bytes=0, bytes_max=large_bytes_max),
            Part.UNSENT: share(UNSENT_RESERVED_SHARE, UNSENT_SHARE),
            Part.ANSWERS: share(ANSWERS_RESERVED_SHARE, ANSWERS_SHARE),
        },
        open_large_bodies_max=open_large_bodies_max,
    )


def connections_max(memory_bytes: int) -> int:
    """Return the number of connections whose state fits into the memory for it."""
    return max(1, int(memory_bytes * CONNECTIONS_SHARE) // CONNECTION_BYTES)


class ByteAccount:
    """Counts held bytes by part against limits."""

    def __init__(self, limits: AccountLimits) -> None:
        self._limits = limits
        self.used_by_part = dict.fromkeys(Part, 0)
        self.open_large_bodies = 0

    def set_limits(self, limits: AccountLimits) -> None:
        """Replace the limits; what is held already stays held."""
        self._limits = limits

    def hold(self, part: Part, count: int) -> None:
        """Count bytes that are held already, also beyond the limits."""
        self.used_by_part[part] += count

    def try_hold(self, part: Part, count: int) -> bool:
        """Count bytes if the limits permit; return whether they do."""
        self.used_by_part[part] += count
        if self._fits(part):
            return True
        self.used_by_part[part] -= count
        return False

    def release(self, part: Part, count: int) -> None:
        """Return bytes that were counted."""
        self.used_by_part[part] -= count

    def is_over(self, part: Part) -> bool:
        """Return whether a part exceeds the limits."""
        return not self._fits(part)

    def try_open_large_body(self) -> bool:
        """Count one more large body if the limit permits; return whether it does."""
        if self.open_large_bodies >= self._limits.open_large_bodies_max:
            return False
        self.open_large_bodies += 1
        return True

    def close_large_body(self) -> None:
        """Count one large body less."""
        self.open_large_bodies -= 1

    def _fits(self, part: Part) -> bool:
        limit = self._limits.limit_by_part[part]
        used = self.used_by_part[part]
        if used <= limit.reserved_bytes:
            return True
        return used <= limit.bytes_max and self._shared_bytes_used() <= self._limits.shared_bytes

    def _shared_bytes_used(self) -> int:
        limit_by_part = self._limits.limit_by_part
        return sum(
            max(0, used - limit_by_part[part].reserved_bytes)
            for part, used in self.used_by_part.items()
        )


class Hold:
    """Bytes of one owner in an account, which are returned together."""

    __slots__ = ("_account", "_part", "count")

    def __init__(self, account: ByteAccount, part: Part) -> None:
        self._account = account
        self._part = part
        self.count = 0

    def set(self, count: int) -> None:
        """Change the number of held bytes, also beyond the limits."""
        self._account.hold(self._part, count - self.count)
        self.count = count

    def release(self) -> None:
        """Return all bytes; idempotent."""
        self.set(0)


class BodyHold:
    """Bytes of one request's body, which may turn from a small into a large one."""

    __slots__ = ("_account", "_is_open_large", "_part", "count")

    def __init__(self, account: ByteAccount) -> None:
        self._account = account
        self._part = Part.SMALL
        self._is_open_large = False
        self.count = 0

    @property
    def is_large(self) -> bool:
        """Whether the body counts as large."""
        return self._part is Part.LARGE

    def try_grow(self, count: int) -> bool:
        """Hold ``count`` bytes in total if the limits permit; return whether they do."""
        part = Part.SMALL if count <= SMALL_BODY_BYTES_MAX else Part.LARGE
        if part is Part.LARGE and not self._is_open_large:
            if not self._account.try_open_large_body():
                return False
            self._is_open_large = True
        held = self.count
        if held:
            self._account.release(self._part, held)
        if not self._account.try_hold(part, count):
            self._account.hold(self._part, held)
            return False
        self._part, self.count = part, count
        return True

    def complete(self, count: int) -> None:
        """Record that the whole body of ``count`` bytes has arrived."""
        if count != self.count:
            self._account.hold(self._part, count - self.count)
            self.count = count
        self._close()

    def release(self) -> None:
        """Return all bytes; idempotent."""
        if self.count:
            self._account.release(self._part, self.count)
            self.count = 0
        self._close()

    def _close(self) -> None:
        if self._is_open_large:
            self._is_open_large = False
            self._account.close_large_body()


class AnswerBudget:
    """The part of an account for responses in receipt, as a `byte_budget.ByteBudget`."""

    def __init__(self, account: ByteAccount) -> None:
        self._account = account

    @property
    def used_bytes(self) -> int:
        """Bytes that are reserved now."""
        return self._account.used_by_part[Part.ANSWERS]

    def try_reserve(self, count: int) -> bool:
        """Reserve bytes if the limits allow; return whether they do."""
        return self._account.try_hold(Part.ANSWERS, count)

    def release(self, count: int) -> None:
        """Return bytes that `try_reserve` has reserved."""
        self._account.release(Part.ANSWERS, count)
