"""Fractions of the items of each kind that are served, to keep kinds from being starved."""

from __future__ import annotations

import dataclasses

OUTCOMES_MAX = 1000.0
"""Total of the outcomes at which all are halved, so that older ones count less."""
UPDATE_INTERVAL = 8
"""Number of outcomes after which the kinds that are served too rarely are determined again."""


@dataclasses.dataclass(slots=True)
class _Outcomes:
    """Outcomes of the items of one kind."""

    priority: int
    served: float = 0.0
    ended: float = 0.0

    @property
    def share(self) -> float:
        """Fraction of the items that were served."""
        return self.served / self.ended


class KindShares:
    """Counts the outcomes of each kind of item and names the kinds that are served too rarely.

    Parameters
    ----------
    share_min : float
        A kind is served too rarely below this multiple of the fraction that is served of all
        items. A kind that is more urgent than another one is so below the fraction that is served
        of the other one, too.

    Attributes
    ----------
    served_too_rarely : frozenset of str
        Kinds that are served too rarely.
    """

    def __init__(self, share_min: float) -> None:
        self.served_too_rarely: frozenset[str] = frozenset()
        self._share_min = share_min
        self._by_kind: dict[str, _Outcomes] = {}
        self._ended = 0.0
        self._until_update = UPDATE_INTERVAL

    def record(self, kind: str, priority: int, *, served: bool) -> None:
        """Record that an item was started, or shed."""
        outcomes = self._by_kind.get(kind)
        if outcomes is None:
            outcomes = self._by_kind[kind] = _Outcomes(priority)
        outcomes.priority = priority
        outcomes.served += served
        outcomes.ended += 1.0
        self._ended += 1.0
        if self._ended >= OUTCOMES_MAX:
            self._halve()
        self._until_update -= 1
        if self._until_update == 0:
            self._until_update = UPDATE_INTERVAL
            self.served_too_rarely = self._find_served_too_rarely()

    def _halve(self) -> None:
        self._ended = 0.0
        for kind, outcomes in list(self._by_kind.items()):
            outcomes.served /= 2
            outcomes.ended /= 2
            self._ended += outcomes.ended
            if outcomes.ended < 1.0:
                del self._by_kind[kind]

    def _find_served_too_rarely(self) -> frozenset[str]:
        if len(self._by_kind) < 2:
            return frozenset()
        served = sum(outcomes.served for outcomes in self._by_kind.values())
        bound = bound_of_less_urgent = self._share_min * served / self._ended
        priority = None
        kinds: set[str] = set()
        for kind, outcomes in sorted(self._by_kind.items(), key=_least_urgent_first):
            if outcomes.priority != priority:
                priority, bound = outcomes.priority, bound_of_less_urgent
            if outcomes.share < bound:
                kinds.add(kind)
            bound_of_less_urgent = max(bound_of_less_urgent, outcomes.share)
        return frozenset(kinds)


def _least_urgent_first(item: tuple[str, _Outcomes]) -> int:
    return -item[1].priority
