"""Lease, token and epoch rules of a backend server (design page, section 4.1), free of I/O."""

from __future__ import annotations

import dataclasses
from typing import Any

LEASE_S = 1.0
OK = "ok"
STALE_TOKEN = "stale_token"
NO_GRANT = "no_grant"
WRONG_INCARNATION = "wrong_incarnation"


@dataclasses.dataclass(frozen=True)
class Clock:
    """The server's own clock: `time.monotonic` with an offset and another rate."""

    offset_s: float = 0.0
    rate: float = 1.0

    def stamp(self, monotonic: float) -> float:
        return self.offset_s + self.rate * monotonic

    def monotonic(self, stamp: float) -> float:
        return (stamp - self.offset_s) / self.rate


@dataclasses.dataclass(frozen=True)
class ShardEpoch:
    """A shard at an epoch, as granted to a server or named by a request."""

    service: str
    shard: int
    epoch: int


class LeaseState:
    """The lease of a backend server, its fencing token and the shards granted to it.

    Parameters
    ----------
    checked : bool
        False for a server that does not check tokens, leases and epochs. It still rejects orders
        for another incarnation.
    """

    def __init__(self, *, incarnation: str, checked: bool) -> None:
        self.incarnation = incarnation
        self.checked = checked
        self.token = 0
        self.draining = False
        self.lease_until = float("-inf")
        self.granted: frozenset[ShardEpoch] = frozenset()
        self._granted_token: int | None = None

    def lease_valid(self, stamp: float) -> bool:
        return self._granted_token is not None and stamp < self.lease_until

    def refusal(self, requested: ShardEpoch | None, *, stamp: float) -> str | None:
        """Return the reason to refuse a request; None if it may run.

        ``requested`` is None for a request that names no shard.
        """
        if not self.checked:
            return None
        if not self.lease_valid(stamp):
            return "no-lease"
        return None if requested in self.granted else "stale-epoch"

    def probe(self) -> str:
        return OK

    def renew(self, order: dict[str, Any], *, stamp: float) -> str:
        result = self._check_order(order)
        if result != OK or not self.checked:
            return result
        if not self.lease_valid(stamp) or self._granted_token != self.token:
            return NO_GRANT
        self._extend(order, stamp)
        return OK

    def grant(self, order: dict[str, Any], *, stamp: float) -> str:
        result = self._check_order(order)
        if result != OK:
            return result
        if not self.lease_valid(stamp):
            # The runs of the expired lease have been ended, so the new lease is computed from the
            # echoed stamp alone.
            self.lease_until = float("-inf")
        self.granted = frozenset(ShardEpoch(*entry) for entry in order["shards"])
        self._granted_token = self.token
        self._extend(order, stamp)
        return OK

    def drain(self, order: dict[str, Any]) -> str:
        result = self._check_order(order)
        if result == OK:
            self.draining = True
        return result

    def _check_order(self, order: dict[str, Any]) -> str:
        if order["incarnation"] != self.incarnation:
            return WRONG_INCARNATION
        if self.checked and order["token"] < self.token:
            return STALE_TOKEN
        self.token = max(self.token, order["token"])
        return OK

    def _extend(self, order: dict[str, Any], stamp: float) -> None:
        # This process never sent a stamp from the future, so it must not lengthen the lease.
        echoed = min(order["echo_stamp"], stamp)
        self.lease_until = max(self.lease_until, echoed + LEASE_S)
