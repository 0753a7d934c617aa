"""Makes one attempt of a call: waits, chooses a server and sends the call to it."""

from __future__ import annotations

import dataclasses
from collections.abc import Callable
from typing import Any, Protocol

from twisted.internet import defer

from celerystack import ids
from celerystack.fleet import servers
from celerystack.gateway import (
    call_queue,
    calls,
    config,
    refusals,
    server_queue,
    server_queues,
    service_queue,
)
from celerystack.limits import crash_suspects, rate_limits
from celerystack.ranges import model

MOVE_WAIT_S = 0.6
"""Maximum time that a call waits for a key that is being moved to another server, unless
`MOVE_WAIT_TARGET_SHARE` permits more."""
MOVE_WAIT_TARGET_SHARE = 0.75
"""Fraction of its route's target latency up to which a call waits for such a key. A move ends with
the work that runs on the key, so it takes longer where requests take longer."""
NOT_HELD_WAIT_S = 0.15
"""Maximum time that a call waits before it is sent again to an owner that rejected it."""


NO_OWNED_SERVER = calls.NotRun(
    calls.NotRunReason.NOT_SENT, "no server of this queue owner can take the call"
)
"""Outcome of an attempt at a queue owner whose servers are all lost, cold, paused or tried."""


class KeyRouting(Protocol):
    """Key ranges, admission control and load statistics, as the request path uses them."""

    quarantine: crash_suspects.Quarantine

    @property
    def entry_vms(self) -> int:
        """Number of entry VMs that share the servers and the retry budget."""

    def find(self, service: ids.ServiceName, key: int) -> model.Segment | None:
        """Return the segment of a key."""

    def map_version_and_confirmation(self, service: ids.ServiceName) -> tuple[int, float]:
        """Return the row version of a service's map, and when it was last known to be current."""

    def on_change(self, listener: Callable[[ids.ServiceName], None]) -> None:
        """Call ``listener`` with the service after each change of its ranges."""

    def changed(self, service: ids.ServiceName) -> defer.Deferred[None]:
        """Return a Deferred that fires with the next change of a service's ranges."""

    def grant_again(self, incarnation: model.ServerIncarnation) -> None:
        """Grant all keys of an incarnation again at the next tick, as it does not hold them."""

    def admit(self, server: ids.ServerId) -> bool:
        """Return whether admission control accepts one more request for a server."""

    def count_request(self, service: ids.ServiceName, key: int) -> None:
        """Count a request for a key, for load balancing."""

    def record_service_time(self, server: ids.ServerId, service_s: float) -> None:
        """Record the latency of an answer as this VM sees it, to estimate the service time."""


@dataclasses.dataclass(frozen=True, slots=True)
class Tried:
    """An attempt of a call and the server that was chosen; None if the attempt had none."""

    incarnation: model.ServerIncarnation | None
    attempt: calls.Attempt | calls.Refused


class LocalAttempts:
    """Makes attempts from this VM.

    Parameters
    ----------
    zone : ZoneName
        Availability zone of this VM, whose servers are preferred.
    now : callable
        Clock in seconds to which deadlines refer.
    """

    def __init__(
        self,
        reactor: Any,
        *,
        zone: ids.ZoneName,
        directory: servers.Directory,
        key_routing: KeyRouting,
        queues: server_queues.ServerQueues,
        limits: rate_limits.RateLimits,
        now: Callable[[], float],
    ) -> None:
        self._reactor = reactor
        self._zone = zone
        self._directory = directory
        self._key_routing = key_routing
        self._queues = queues
        self._rate_limits = limits
        self._now = now
        key_routing.on_change(self._release_moved_calls)

    async def run(
        self,
        call: calls.Call,
        policy: config.ServicePolicy,
        tried: frozenset[model.ServerIncarnation],
    ) -> Tried | calls.Refused:
        """Make an attempt at any server, as far as this VM's shares permit."""
        self._queues.refresh()
        if policy.sharded:
            return await self._choose_and_run(call, policy, tried, owned=False)
        return await self._wait_and_run(call, policy, tried, owned=False)

    async def run_owned(
        self,
        call: calls.Call,
        policy: config.ServicePolicy,
        tried: frozenset[model.ServerIncarnation],
    ) -> Tried | calls.Refused:
        """Make an attempt at one of the servers whose queues this VM owns, if it owns any."""
        self._queues.refresh()
        owned = bool(self._queues.owned(call.service))
        if policy.sharded or not owned:
            return await self.run(call, policy, tried)
        return await self._wait_and_run(call, policy, tried, owned=True)

    async def _wait_and_run(
        self,
        call: calls.Call,
        policy: config.ServicePolicy,
        tried: frozenset[model.ServerIncarnation],
        *,
        owned: bool,
    ) -> Tried | calls.Refused:
        """Wait for a place in the queue of an unsharded service, then choose a server."""
        if owned and not self._owned_candidates(call, tried):
            return Tried(None, NO_OWNED_SERVER)
        waiting = self._queues.service_queue(call.service, owned=owned)
        place = await waiting.take_place(call)
        if place is call_queue.WaitOutcome.NOT_OWNED:
            return Tried(None, NO_OWNED_SERVER)
        if not isinstance(place, service_queue.Place):
            # An owned queue knows when its slots become free, a shared one only its own calls.
            estimate_s = waiting.retry_after_s if owned else waiting.wait_estimate_s
            return refusals.refuse("the service's queue is too long", estimate_s(call))
        try:
            return await self._choose_and_run(call, policy, tried, owned=owned)
        finally:
            place.release()

    async def _choose_and_run(
        self,
        call: calls.Call,
        policy: config.ServicePolicy,
        tried: frozenset[model.ServerIncarnation],
        *,
        owned: bool,
    ) -> Tried | calls.Refused:
        if policy.sharded:
            chosen = await self._choose_key_server(call, tried)
        else:
            self._queues.refresh()
            if owned:
                candidates = self._owned_candidates(call, tried)
                if not candidates:
                    return Tried(None, NO_OWNED_SERVER)
            else:
                found = self._queues.of_service(call.service)
                candidates = [queue for queue in found if queue.incarnation not in tried]
            chosen = self._choose_any(call, candidates)
        if isinstance(chosen, calls.Refused):
            return chosen
        attempt = await chosen.run(call)
        if isinstance(attempt, calls.NotRun):
            self._note_not_run(chosen, attempt.reason)
        return Tried(chosen.incarnation, attempt)

    def _note_not_run(self, chosen: server_queue.ServerQueue, reason: calls.NotRunReason) -> None:
        match reason:
            case calls.NotRunReason.KEY_NOT_HELD:
                self._key_routing.grant_again(chosen.incarnation)
            case calls.NotRunReason.OTHER_SERVER:
                self._directory.note_address_reused(chosen.incarnation)

    async def _choose_key_server(
        self, call: calls.Call, tried: frozenset[model.ServerIncarnation]
    ) -> server_queue.ServerQueue | calls.Refused:
        """Return the queue of the key's server; wait for it while the key is being moved."""
        give_up_at = self._end_of_move_wait(call)
        while True:
            self._queues.refresh()
            segment = self._key_routing.find(call.service, call.key or 0)
            owner = self._key_server_queue(segment)
            if owner is not None and owner.is_paused:
                return self._refuse_paused_owner(owner)
            if owner is not None and owner.incarnation not in tried and not owner.is_unreachable:
                if not tried and not self._admits(owner):
                    return refusals.refuse_overload(call, "the key's server is overloaded")
                if owner.is_silent:
                    return refusals.refuse(
                        "the key's server does not answer", refusals.RETRY_AFTER_SILENT_S
                    )
                return self._use_limits(call, owner, is_planned=True)
            wait_until = give_up_at
            if owner is not None and owner.is_unreachable:
                return refusals.refuse(
                    "the key's server is unreachable", refusals.RETRY_AFTER_RECOVERING_S
                )
            if owner is not None:
                # The owner rejected the call; its grant is renewed shortly.
                wait_until = min(give_up_at, self._now() + NOT_HELD_WAIT_S)
            elif segment is None or segment.phase is not model.Phase.MOVING:
                return refusals.refuse(
                    "the key has no owner now", refusals.RETRY_AFTER_RECOVERING_S
                )
            if not await self._wait_for_change(call.service, wait_until):
                if owner is None or self._now() >= give_up_at:
                    return refusals.refuse("the key is being moved", refusals.RETRY_AFTER_UNREADY_S)
                if owner.is_paused:
                    return self._refuse_paused_owner(owner)
                return self._use_limits(call, owner, is_planned=True)

    def _admits(self, owner: server_queue.ServerQueue) -> bool:
        """Return whether the planner's fraction admits a request; an owned queue needs none.

        The owner of a queue sees all requests for its server and rejects those that come too late.
        """
        return self._queues.is_owned(owner) or self._key_routing.admit(owner.incarnation.server)

    def _refuse_paused_owner(self, owner: server_queue.ServerQueue) -> calls.Refused:
        return refusals.refuse_paused([owner], "the key's server asked for a pause", self._now())

    def _owned_candidates(
        self, call: calls.Call, tried: frozenset[model.ServerIncarnation]
    ) -> list[server_queue.ServerQueue]:
        """Return the owned servers that can take the call now, or after the calls in the queue."""
        return [
            queue
            for queue in self._queues.owned(call.service)
            if queue.incarnation not in tried
            and not queue.is_paused
            and not queue.is_unreachable
            and self._may_send(queue)
        ]

    def _choose_any(
        self, call: calls.Call, candidates: list[server_queue.ServerQueue]
    ) -> server_queue.ServerQueue | calls.Refused:
        """Return the best server that is not paused and whose limits permit the call."""
        accepting = [candidate for candidate in candidates if not candidate.is_paused]
        if candidates and not accepting:
            return refusals.refuse_paused(candidates, "all servers asked for a pause", self._now())
        permitted = [candidate for candidate in accepting if self._may_send(candidate)]
        chosen = server_queue.best(permitted, zone=self._zone, now=self._now())
        if chosen is not None:
            return self._use_limits(call, chosen, is_planned=False)
        if candidates:
            return refusals.refuse_overload(call, "all servers are at their rate limits")
        return refusals.refuse("no server is left", refusals.RETRY_AFTER_UNREADY_S)

    def _may_send(self, candidate: server_queue.ServerQueue) -> bool:
        sharers = self._queues.sharers(candidate)
        return candidate.tolerates_request() and self._rate_limits.may_send(
            candidate.incarnation, entry_vms=sharers, is_planned=False
        )

    def _use_limits(
        self, call: calls.Call, chosen: server_queue.ServerQueue, *, is_planned: bool
    ) -> server_queue.ServerQueue | calls.Refused:
        """Return the chosen server if its limits permit one more request of this VM."""
        if not chosen.tolerates_request():
            return refusals.refuse_overload(call, "the server is still cold")
        sharers = self._queues.sharers(chosen)
        if self._rate_limits.try_send(chosen.incarnation, entry_vms=sharers, is_planned=is_planned):
            return chosen
        return refusals.refuse_overload(call, "the server is at its rate limit")

    def _end_of_move_wait(self, call: calls.Call) -> float:
        """Return until when a call may wait for a key that is being moved."""
        by_target = call.arrived_at + MOVE_WAIT_TARGET_SHARE * call.route.target_latency_s
        return min(call.deadline, max(self._now() + MOVE_WAIT_S, by_target))

    def _release_moved_calls(self, service: ids.ServiceName) -> None:
        """End the wait of calls whose keys have moved, so that they go to the new owner."""
        for queue in self._queues.of_service(service):
            queue.release_moved_calls(lambda call, queue=queue: self._has_key(call, queue))

    def _has_key(self, call: calls.Call, candidate: server_queue.ServerQueue) -> bool:
        segment = self._key_routing.find(call.service, call.key or 0)
        return segment is not None and segment.owner == candidate.incarnation

    def _key_server_queue(self, segment: model.Segment | None) -> server_queue.ServerQueue | None:
        if segment is None or segment.owner is None or not segment.is_settled:
            return None
        found = self._queues.by_incarnation.get(segment.owner)
        if found is None or not found.record.usable:
            return None
        return found

    async def _wait_for_change(self, service: ids.ServiceName, until: float) -> bool:
        """Wait for the next change of the range map; return False if the time runs out first."""
        delay_s = until - self._now()
        if delay_s <= 0:
            return False
        changed = self._key_routing.changed(service)
        timer = self._reactor.callLater(delay_s, changed.cancel)
        try:
            await changed
        except defer.CancelledError:
            if timer.active():
                # The timer has not fired, so the caller disconnected.
                raise
            return False
        finally:
            if timer.active():
                timer.cancel()
        return True
