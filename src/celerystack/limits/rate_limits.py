"""Rate limits that backend servers state in their answers, shared by all entry VMs.

A limit is for the requests of all entry VMs together. Each VM may use an equal share of it, so that
the sum holds although no VM knows the requests of the others; a VM that is counted although it is
lost leaves its share unused. The VMs tell each other the limits, since each gets few answers.

Equal shares of a small rate waste much of it, because one VM's share is often unused while another
one's is used up. Where the planner, which knows the requests of all VMs, states the fraction to
admit, the shares are therefore wider and only bound sudden increases.
"""

from __future__ import annotations

import dataclasses
import random
from collections.abc import Callable, Collection, Iterable

from celerystack.ranges import model

VALID_S = 15.0
"""Time in seconds after the last answer of a server after which its limit is forgotten. With its
share of the limit each VM normally gets answers more often."""
REFRESH_S = 3.0
"""Age in seconds of the planner's information from which a VM reports a limit again."""
WINDOW_S = 4.0
"""Length in seconds of the window in which a server counts the requests of all VMs."""
WINDOW_FACTOR = 1.5
"""Multiple of the limit that a server tolerates within a window."""
WINDOW_REQUESTS = 5.0
"""Number of further requests that a server tolerates within a window."""
CREDIT_MAX = 1.0
"""Requests that a VM may send at once after a time without requests. All VMs may do so at the same
time, so it is no more than a request needs."""
SHARE_FACTORS = (0.9, 1.3)
"""Smallest and largest multiple of an equal share that a VM uses. Which one follows from what the
server tolerates; above 1 it makes up for credit that is unused at its maximum."""
PLANNED_CREDIT_MAX = 2.0
"""The same as `CREDIT_MAX` where the planner states the fraction of the requests to admit."""
PLANNER_SILENCE_S = 1.2
"""Time in seconds after the last message of the planner after which its fractions are outdated."""
LIMITS_PER_MESSAGE = 40
"""Bound on the size of a datagram; further limits are in the next ones."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class RateLimit:
    """What a server stated in its latest answer.

    Attributes
    ----------
    per_s : float or None
        Requests/s that it accepts from all entry VMs together; None if it has no limit any more.
    age_s : float
        Time in seconds since the answer.
    """

    incarnation: model.ServerIncarnation
    per_s: float | None
    age_s: float


@dataclasses.dataclass(slots=True)
class _Known:
    """Latest known limit of a server, and this VM's credit to send requests to it."""

    per_s: float | None
    stated_at: float
    credit: float
    credited_at: float
    announced_per_s: float | None = None
    announced_at: float = float("-inf")


class RateLimits:
    """Limits of the servers, and this VM's shares of them.

    Parameters
    ----------
    now : callable
        Clock in seconds.
    """

    def __init__(self, *, now: Callable[[], float]) -> None:
        self._now = now
        self._by_incarnation: dict[model.ServerIncarnation, _Known] = {}
        self._next_announced = 0
        self._planner_heard_at = float("-inf")

    def observe(self, incarnation: model.ServerIncarnation, per_s: float | None) -> None:
        """Record what a server stated in an answer to this VM; None if it stated no limit."""
        if per_s is not None or incarnation in self._by_incarnation:
            self._record(incarnation, per_s, self._now())

    def merge(self, limits: Iterable[RateLimit]) -> None:
        """Record what servers stated in answers to other VMs."""
        now = self._now()
        for limit in limits:
            known = self._by_incarnation.get(limit.incarnation)
            stated_at = now - limit.age_s
            if known is None:
                is_news = limit.per_s is not None and limit.age_s <= VALID_S
            else:
                is_news = stated_at > known.stated_at
            if is_news:
                self._record(limit.incarnation, limit.per_s, stated_at)

    def note_announced(self, limits: Iterable[RateLimit]) -> None:
        """Record limits that the planner sent, which need not be reported to it."""
        announced = tuple(limits)
        self._planner_heard_at = self._now()
        self.merge(announced)
        for limit in announced:
            known = self._by_incarnation.get(limit.incarnation)
            if known is not None:
                known.announced_per_s = limit.per_s
                known.announced_at = self._now() - limit.age_s

    def _record(
        self, incarnation: model.ServerIncarnation, per_s: float | None, stated_at: float
    ) -> None:
        known = self._by_incarnation.get(incarnation)
        if known is None:
            self._by_incarnation[incarnation] = _Known(
                per_s, stated_at, _initial_credit(), self._now()
            )
            return
        if known.per_s is None and per_s is not None:
            known.credit, known.credited_at = _initial_credit(), self._now()
        known.per_s, known.stated_at = per_s, stated_at

    def limit(self, incarnation: model.ServerIncarnation) -> float | None:
        """Return the limit of a server in requests/s; None if it has none."""
        known = self._by_incarnation.get(incarnation)
        if known is None or self._now() - known.stated_at > VALID_S:
            return None
        return known.per_s

    def may_send(
        self, incarnation: model.ServerIncarnation, *, entry_vms: int, is_planned: bool
    ) -> bool:
        """Return whether this VM may send a request to a server now.

        Parameters
        ----------
        is_planned : bool
            Whether the planner states the fraction of the server's requests to admit.
        """
        per_s = self.limit(incarnation)
        if per_s is None:
            return True
        known = self._by_incarnation[incarnation]
        now = self._now()
        is_wide = is_planned and now - self._planner_heard_at <= PLANNER_SILENCE_S
        factor = SHARE_FACTORS[1] if is_wide else _share_factor(per_s, entry_vms)
        earned = (now - known.credited_at) * factor * per_s / max(1, entry_vms)
        credit_max = PLANNED_CREDIT_MAX if is_wide else CREDIT_MAX
        known.credit = min(credit_max, known.credit + earned)
        known.credited_at = now
        return known.credit >= 1.0

    def try_send(
        self, incarnation: model.ServerIncarnation, *, entry_vms: int, is_planned: bool
    ) -> bool:
        """Use one request of this VM's share; return False if the share is used up."""
        if not self.may_send(incarnation, entry_vms=entry_vms, is_planned=is_planned):
            return False
        known = self._by_incarnation.get(incarnation)
        if known is not None:
            known.credit -= 1.0
        return True

    def unannounced(self) -> tuple[RateLimit, ...]:
        """Return the limits of which the planner has sent no or older information."""
        self._forget_old()
        wanted = (
            self._as_message(incarnation, known)
            for incarnation, known in self._by_incarnation.items()
            if known.per_s != known.announced_per_s
            or (known.per_s is not None and known.stated_at - known.announced_at > REFRESH_S)
        )
        return tuple(limit for _, limit in zip(range(LIMITS_PER_MESSAGE), wanted, strict=False))

    def next_announcements(self) -> tuple[RateLimit, ...]:
        """Return the limits for the planner's next messages; all of them take turns."""
        self._forget_old()
        known = sorted(self._by_incarnation.items())
        first = self._next_announced if self._next_announced < len(known) else 0
        self._next_announced = first + LIMITS_PER_MESSAGE
        return tuple(
            self._as_message(incarnation, limit)
            for incarnation, limit in known[first : first + LIMITS_PER_MESSAGE]
        )

    def _as_message(self, incarnation: model.ServerIncarnation, known: _Known) -> RateLimit:
        return RateLimit(
            incarnation=incarnation,
            per_s=known.per_s,
            age_s=max(0.0, self._now() - known.stated_at),
        )

    def _forget_old(self) -> None:
        oldest = self._now() - VALID_S
        for incarnation, known in list(self._by_incarnation.items()):
            if known.stated_at < oldest:
                del self._by_incarnation[incarnation]

    def retain(self, incarnations: Collection[model.ServerIncarnation]) -> None:
        """Forget the servers that are not among the given ones."""
        for incarnation in [known for known in self._by_incarnation if known not in incarnations]:
            del self._by_incarnation[incarnation]


def _initial_credit() -> float:
    """Return a random credit, so that the VMs do not all have one request at the same time."""
    return random.uniform(0.0, CREDIT_MAX)


def _share_factor(per_s: float, entry_vms: int) -> float:
    """Return the multiple of an equal share with which the sum of all VMs is tolerated."""
    lowest, highest = SHARE_FACTORS
    if per_s <= 0:
        return lowest
    spare = WINDOW_REQUESTS - entry_vms * CREDIT_MAX
    return min(highest, max(lowest, WINDOW_FACTOR + spare / (per_s * WINDOW_S)))
