"""Limit on the calls of this VM that are in flight to all servers of an undivided service."""

from __future__ import annotations

import math
from collections.abc import Callable
from typing import Any

from celerystack.gateway import call_queue, calls
from celerystack.limits import concurrency, deadline_queue, route_work

SHARE_FACTOR = 1.4
"""In flight are at most so many times this VM's equal share of the slots: the VMs' loads differ.
More would wait in the queues of the servers, which know neither priorities nor deadlines."""
PLACES_MINIMUM = 2
"""Calls that may be in flight even if the share is smaller, so that one slow server does not block
the calls to the others."""
HOLD_FACTOR = 5.0
"""A call counts as in flight for at most so many mean latencies of its route, as a server that
stays silent would otherwise keep the places of its calls until their deadlines."""
HOLD_MINIMUM_S = 0.7
"""Smallest time in seconds for which a call counts as in flight."""


class Place:
    """The right of one call to be in flight."""

    def __init__(self, on_release: Callable[[], None]) -> None:
        self._on_release: Callable[[], None] | None = on_release
        self.timer: Any = None

    def release(self) -> None:
        """Give the place to another call; idempotent."""
        release, self._on_release = self._on_release, None
        if release is None:
            return
        if self.timer is not None and self.timer.active():
            self.timer.cancel()
        release()


class ServiceQueue:
    """Queues the calls for one service and lets them start by priority and deadline.

    Because calls wait here and not for one server, each starts at the server that is best when its
    turn comes.

    Parameters
    ----------
    now : callable
        Clock in seconds to which deadlines refer.
    ordering : Ordering
        Order in which queued calls start.
    route_work : RouteWork or None
        Expected work of routes of which this queue has seen no answer yet.
    length_max : int
        Maximum number of queued calls.
    """

    def __init__(
        self,
        reactor: Any,
        *,
        now: Callable[[], float],
        ordering: deadline_queue.Ordering = deadline_queue.BY_PRIORITY,
        route_work: route_work.RouteWork | None = None,
        length_max: int = deadline_queue.LENGTH_MAX,
    ) -> None:
        self._reactor = reactor
        self._limit = concurrency.FixedLimit(PLACES_MINIMUM)
        self._calls = call_queue.CallQueue(
            reactor,
            self._limit,
            now=now,
            ordering=ordering,
            route_work=route_work,
            length_max=length_max,
        )

    def set_slots(self, slots: int, *, entry_vms: int) -> None:
        """Set the number of slots of all servers, and of entry VMs that share them."""
        share = math.ceil(SHARE_FACTOR * slots / max(1, entry_vms))
        self._limit.limit = max(PLACES_MINIMUM, share)
        self._calls.start_waiting_calls()

    def set_owned_slots(self, slots: int) -> None:
        """Set the number of slots of the servers whose queues this VM owns.

        Other VMs hardly send to these servers, so there are as many places as slots. Without any
        slots the calls in the queue go to other owners.
        """
        if slots <= 0:
            self._calls.remove_where(lambda _: True, call_queue.WaitOutcome.NOT_OWNED)
        self._limit.limit = max(1, slots)
        self._calls.start_waiting_calls()

    async def take_place(self, call: calls.Call) -> Place | call_queue.WaitOutcome:
        """Wait for a place; return why there is none if the call gets none.

        `WaitOutcome.SHED` means that the call cannot be answered before its deadline.
        """
        outcome = await self._calls.wait_for_turn(call)
        if outcome is not call_queue.WaitOutcome.TAKEN:
            return outcome
        place = Place(self._calls.release)
        hold_s = max(HOLD_MINIMUM_S, HOLD_FACTOR * self._calls.service_time_s(call))
        place.timer = self._reactor.callLater(hold_s, place.release)
        return place

    def observe(self, call: calls.Call, latency_s: float) -> None:
        """Record the latency of an answered call."""
        self._calls.observe(call, latency_s)

    def wait_estimate_s(self, call: calls.Call) -> float:
        """Return the expected time that a new call of the same route would wait."""
        return self._calls.wait_estimate_s(self._calls.service_time_s(call))

    def retry_after_s(self, call: calls.Call) -> float:
        """Return when a call that got no place should come back, in seconds from now."""
        return self._calls.retry_after_s(call)

    def mean_wait_s(self) -> float:
        """Return the expected time that a new call with the mean work of all routes would wait."""
        return self._calls.wait_estimate_s(self._calls.mean_service_time_s)
