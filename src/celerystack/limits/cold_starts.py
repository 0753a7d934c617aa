"""Bounds the requests to cold servers, which crash if all entry VMs together send too many."""

from __future__ import annotations

import collections
import dataclasses
from collections.abc import Callable, Mapping

from celerystack import ids
from celerystack.ranges import model

WINDOW_S = 1.05
"""Sliding window in seconds in which requests are counted: the second of the bound, and the
difference of the times that two requests need to the server."""
SENDERS_MAX = 3
"""Entry VMs that may take themselves for the sender at the same time, for the span of one window:
before and after a change of the sender, and one that has not heard of the change."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ColdPolicy:
    """What the cold servers of a service tolerate.

    Attributes
    ----------
    cold_s : float
        Time in seconds for which a server is cold after its start.
    per_s : float
        Requests/s of all entry VMs that a cold server tolerates; 0 if there is no bound.
    """

    cold_s: float = 0.0
    per_s: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ColdTolerance:
    """By how much the requests of one second may exceed the rate that cold servers tolerate."""

    overshoot: float = 1.0
    slack: float = 0.0

    def requests_per_window(self, per_s: float) -> int:
        """Return the number of requests that one sender may send in any window."""
        return max(1, int((per_s * self.overshoot + self.slack) / SENDERS_MAX))


class ColdStarts:
    """Counts the requests of this VM to cold servers.

    Only one VM sends requests to a cold server: the one that owns its queue. Every other VM takes
    warm servers, or rejects the request. Each sender keeps to a part of the bound, so that the sum
    holds also while the owner changes.

    Parameters
    ----------
    is_sender : callable
        Returns whether this VM is the one that may send to a server, by its id and zone.
    now : callable
        Clock in seconds.

    Attributes
    ----------
    rejections : int
        How often a server was not available for a request because of the bound.
    """

    def __init__(
        self,
        *,
        tolerance: ColdTolerance,
        is_sender: Callable[[ids.ServerId, ids.ZoneName], bool],
        now: Callable[[], float],
    ) -> None:
        self._tolerance = tolerance
        self._is_sender = is_sender
        self._now = now
        self._policy_by_service: Mapping[ids.ServiceName, ColdPolicy] = {}
        self.rejections = 0
        self._sent_at_by_incarnation: dict[model.ServerIncarnation, collections.deque[float]] = {}

    def set_policies(self, policy_by_service: Mapping[ids.ServiceName, ColdPolicy]) -> None:
        """Apply the policies of a new configuration."""
        self._policy_by_service = policy_by_service

    def policy(self, service: ids.ServiceName) -> ColdPolicy:
        """Return the policy of a service; one without a bound if it has none."""
        return self._policy_by_service.get(service, ColdPolicy())

    def is_bound(self, service: ids.ServiceName, cold_until: float) -> bool:
        """Return whether the requests to a server that is cold until then are bounded now."""
        return self._now() < cold_until and self.policy(service).per_s > 0

    def may_send(
        self,
        incarnation: model.ServerIncarnation,
        *,
        service: ids.ServiceName,
        zone: ids.ZoneName,
        cold_until: float,
    ) -> bool:
        """Return whether one more request of this VM may reach a server now."""
        if not self.is_bound(service, cold_until):
            return True
        allowed = self._tolerance.requests_per_window(self.policy(service).per_s)
        is_permitted = (
            self._is_sender(incarnation.server, zone) and len(self._recent(incarnation)) < allowed
        )
        self.rejections += not is_permitted
        return is_permitted

    def try_send(
        self,
        incarnation: model.ServerIncarnation,
        *,
        service: ids.ServiceName,
        zone: ids.ZoneName,
        cold_until: float,
    ) -> bool:
        """Count a request that is about to be sent; return False if it must not be sent."""
        if not self.is_bound(service, cold_until):
            return True
        if not self.may_send(incarnation, service=service, zone=zone, cold_until=cold_until):
            return False
        self._recent(incarnation).append(self._now())
        return True

    def retain(self, incarnations: Mapping[model.ServerIncarnation, object]) -> None:
        """Forget the servers that are not among the given ones."""
        for incarnation in [i for i in self._sent_at_by_incarnation if i not in incarnations]:
            del self._sent_at_by_incarnation[incarnation]

    def _recent(self, incarnation: model.ServerIncarnation) -> collections.deque[float]:
        sent_at = self._sent_at_by_incarnation.setdefault(incarnation, collections.deque())
        oldest = self._now() - WINDOW_S
        while sent_at and sent_at[0] <= oldest:
            sent_at.popleft()
        return sent_at
