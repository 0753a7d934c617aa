"""Bounds how long the leases that one entry VM granted can stay in force on the servers.

A lease is a server's right to serve keys for a limited time, which a grant starts or renews. Safety
does not depend on which entry VM renews it. An entry VM may send a grant only while it knows that
its range map is current: ``confirmed_at`` is when the last check of the map's row began, and every
lease ends at most `MAP_VALID_S` later. `MAP_VALID_S` after a change of the row, no lease of the old
owner is therefore left, even if entry VMs were partitioned, paused or lost. Reports from all entry
VMs that can have granted the keys shorten this wait.
"""

from __future__ import annotations

import dataclasses

from celerystack.ranges import model

LEASE_S = 5.0
"""Lease time of one grant; outlasts the loss of the renewing entry VMs and a change of planner."""
RENEW_S = 1.25
"""Time in seconds after an answered grant from which it is renewed."""
GRANT_TIMEOUT_S = 0.8
"""Timeout of a grant in seconds. Its connection is then aborted, so that the order cannot
arrive later."""
CLOCK_DRIFT = 0.02
"""Largest assumed fraction by which a server's clock runs slow."""
LEASE_BOUND_S = LEASE_S * (1 + CLOCK_DRIFT) + 0.1
"""Time in seconds after the arrival of a grant from which the lease has certainly ended, with 0.1 s
added to the slowest clock's lease time."""
MAP_VALID_S = 16.0
"""Time after the last check of a range map within which all leases granted by it end.

Longer than store outages, so that keys stay served while the store is unavailable.
"""
READ_MAP_VALID_S = 7.5
"""The same time after an entry VM has read the map from the store itself. It is shorter because the
planner does not learn of the read; an entry VM without a planner reads again every 1 s or so."""


@dataclasses.dataclass
class _Lease:
    in_flight: int = 0
    ends_at: float = 0.0


class Leases:
    """Upper bounds on the leases that this process has granted.

    Parameters
    ----------
    started_at : float
        Clock time in seconds at which this process started. An earlier process on the same VM may
        have granted just before, so every server counts as a holder until `LEASE_BOUND_S` later.
    """

    def __init__(self, *, started_at: float) -> None:
        self._earlier_process_ends_at = started_at + LEASE_BOUND_S
        self._by_incarnation: dict[model.ServerIncarnation, _Lease] = {}

    def grant_sent(self, incarnation: model.ServerIncarnation) -> None:
        """Record a grant that is about to be sent."""
        self._by_incarnation.setdefault(incarnation, _Lease()).in_flight += 1

    def grant_ended(
        self, incarnation: model.ServerIncarnation, now: float, *, was_sent: bool
    ) -> None:
        """Record that a grant was answered or that its connection was aborted.

        No lease began if no byte of it was sent.
        """
        lease = self._by_incarnation[incarnation]
        lease.in_flight -= 1
        if was_sent:
            lease.ends_at = max(lease.ends_at, now + LEASE_BOUND_S)

    def remaining_s(self, incarnation: model.ServerIncarnation, now: float) -> float:
        """Return the seconds until all leases that this VM granted to an incarnation have ended.

        A later incarnation may have taken a grant; it counts for the one that it was meant for.
        """
        ends_at = self._earlier_process_ends_at
        lease = self._by_incarnation.get(incarnation)
        if lease is not None:
            ends_at = max(ends_at, lease.ends_at)
            if lease.in_flight:
                ends_at = max(ends_at, now + GRANT_TIMEOUT_S + LEASE_BOUND_S)
        return max(0.0, ends_at - now)

    def forget_expired(self, now: float) -> None:
        """Drop the records of leases that have ended."""
        expired = [
            incarnation
            for incarnation, lease in self._by_incarnation.items()
            if not lease.in_flight and lease.ends_at <= now
        ]
        for incarnation in expired:
            del self._by_incarnation[incarnation]


REGISTRATION_VALID_S = 8.0
"""An entry VM reads maps itself only if a planner that held the leadership has received a report of
it within this time in seconds, or if it has registered again just before."""
REGISTER_TO_READ_S = 1.0
"""Longest time in seconds between the start of that registration and the start of the read."""


def confirmation_by_read(read_at: float) -> float:
    """Return the time from which a map counts as checked if it was read at ``read_at``."""
    return read_at - (MAP_VALID_S - READ_MAP_VALID_S)


def may_grant(*, confirmed_at: float, now: float) -> bool:
    """Return whether a lease granted now ends at most `MAP_VALID_S` after ``confirmed_at``."""
    return now + GRANT_TIMEOUT_S + LEASE_BOUND_S <= confirmed_at + MAP_VALID_S
