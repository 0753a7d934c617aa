"""What one entry VM granted, and until when its grants may last on the servers.

Safety does not rest on who renews. An entry VM may send a grant only while the row that names the
owner is known to be current: ``known_at`` is the start of the last check, and no hold may end later
than `AUTHORITY_S` after it. Whoever changes the row therefore knows that `AUTHORITY_S` after the
change no hold of the old owner is left, whichever entry VMs were cut off, paused or lost. The
reports of all entry VMs that can have granted shorten this wait.
"""

from __future__ import annotations

import dataclasses

from celerystack.ranges import model

HOLD_S = 5.0
"""Lease time of one grant; outlives the loss of the renewing entry VMs and a change of planner."""
RENEW_S = 1.25
CALL_TIMEOUT_S = 0.8
"""An unanswered order is aborted with its connection then, and so cannot arrive later."""
CLOCK_DRIFT = 0.02
"""Largest relative amount by which a server's clock runs slow."""
HOLD_BOUND_S = HOLD_S * (1 + CLOCK_DRIFT) + 0.1
"""Time after the arrival of a grant at which the server has surely lost the keys."""
MAP_VALID_S = 16.0
"""Longer than store outages, so that keys stay served while the store is away."""


@dataclasses.dataclass
class _Hold:
    in_flight: int = 0
    ends_at: float = 0.0


class Holds:
    """Bound on the holds that this process has given.

    Parameters
    ----------
    started_at : float
        Clock time in seconds at which this process started. An earlier process on the same VM may
        have granted just before, so every life counts as held until `HOLD_BOUND_S` later.
    """

    def __init__(self, *, started_at: float) -> None:
        self._earlier_process_ends_at = started_at + HOLD_BOUND_S
        self._by_life: dict[model.Life, _Hold] = {}

    def grant_sent(self, life: model.Life) -> None:
        """Record a grant that is about to be sent."""
        self._by_life.setdefault(life, _Hold()).in_flight += 1

    def grant_ended(self, life: model.Life, now: float) -> None:
        """Record that the grant was answered or that its connection was aborted."""
        hold = self._by_life[life]
        hold.in_flight -= 1
        hold.ends_at = max(hold.ends_at, now + HOLD_BOUND_S)

    def remaining_s(self, life: model.Life, now: float) -> float:
        """Return after how many seconds no grant of this VM can be in force on a life."""
        ends_at = self._earlier_process_ends_at
        hold = self._by_life.get(life)
        if hold is not None:
            ends_at = max(ends_at, hold.ends_at)
            if hold.in_flight:
                ends_at = max(ends_at, now + CALL_TIMEOUT_S + HOLD_BOUND_S)
        return max(0.0, ends_at - now)

    def forget_expired(self, now: float) -> None:
        """Drop the records of holds that have ended."""
        expired = [
            life
            for life, hold in self._by_life.items()
            if not hold.in_flight and hold.ends_at <= now
        ]
        for life in expired:
            del self._by_life[life]


def may_grant(*, known_at: float, now: float) -> bool:
    """Return whether a grant sent now surely ends within the authority of what is known."""
    return now + CALL_TIMEOUT_S + HOLD_BOUND_S <= known_at + MAP_VALID_S
