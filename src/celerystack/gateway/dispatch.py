"""Chooses a server for each call, retries where that is allowed, and returns the reply."""

from __future__ import annotations

import dataclasses
import random
from collections.abc import Callable
from typing import Any, Protocol

from twisted.internet import defer

from celerystack import ids
from celerystack.backend import client
from celerystack.fleet import servers
from celerystack.gateway import (
    calls,
    config,
    retries,
    server_queue,
    server_statements,
    service_queue,
)
from celerystack.limits import byte_budget, crash_suspects, rate_limits
from celerystack.ranges import model

MOVE_WAIT_S = 0.6
"""Maximum time that a call waits for a key that is being moved to another server, unless
`MOVE_WAIT_TARGET_SHARE` permits more."""
MOVE_WAIT_TARGET_SHARE = 0.75
"""Fraction of its route's target latency up to which a call waits for such a key. A move ends with
the work that runs on the key, so it takes longer where requests take longer."""
NOT_HELD_WAIT_S = 0.15
"""Maximum time that a call waits before it is sent again to an owner that rejected it."""
RETRY_AFTER_MINIMUM_S = 0.05
"""Smallest retry time for a call that servers rejected; like the other retry times, in seconds."""
RETRY_AFTER_RECOVERING_S = 1.0
"""Retry time if the key has no owner now, or an unreachable one."""
RETRY_AFTER_UNREADY_S = 0.3
"""Retry time if the service is not configured, no server is left or the key is being moved."""
RETRY_AFTER_SILENT_S = 0.5
"""Retry time if the key's server does not answer requests."""
REJECTIONS_MAX = 3
"""Maximum number of times that servers may reject a call, after which it is refused."""
RETRY_AFTER_QUARANTINE_S = 30.0
"""Retry time for requests that are in quarantine because they crash servers."""
RETRY_AFTER_OVERLOAD_S = (0.15, 0.35)
"""Smallest range of the randomised retry time for callers of an overloaded server, so that they do
not all retry at once."""
RETRY_AFTER_OVERLOAD_TARGET_SHARES = (0.4, 0.8)
"""The same range in fractions of the route's target latency: where requests take longer, an
overload takes longer to end, and a caller that returns too soon is refused again."""
PAUSE_SPREAD = (1.0, 1.3)
"""Range of the randomised retry time for callers of a server that asked for a pause, in multiples
of the rest of the pause, so that they do not all return at its end."""
CONNECTIONS_SHARE = 0.7
"""Fraction of a server's connections that all entry VMs together may use for requests."""
CONNECTIONS_MINIMUM = 3
"""Connections to a server that an entry VM may use even if its share is smaller."""
IDLE_CONNECTION_S = 8.0
"""Idle time in seconds after which a connection to a server is closed."""
CONNECT_TIMEOUT_S = 0.4
"""Timeout of a connection attempt to a server in seconds."""


_UNSENT_REASONS = (calls.NotRunReason.NOT_SENT, calls.NotRunReason.KEY_MOVED)


class KeyRouting(Protocol):
    """Key ranges, admission control and load statistics, as the dispatcher uses them."""

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
class _TriedServer:
    """An attempt of a call and the server queue in which it was made."""

    queue: server_queue.ServerQueue
    attempt: calls.Attempt | calls.Refused


class Dispatcher:
    """Forwards calls to servers and decides about retries.

    Parameters
    ----------
    zone : ZoneName
        Availability zone of this VM, whose servers are preferred.
    answer_budget : ByteBudget
        Budget for the bodies of all responses that are being received.
    now : callable
        Clock in seconds to which deadlines refer.
    open_pool : callable
        Creates the connection pool of a server, with the parameters of `client.ServerPool`.
    """

    def __init__(
        self,
        reactor: Any,
        *,
        zone: ids.ZoneName,
        directory: servers.Directory,
        key_routing: KeyRouting,
        request_codec: calls.RequestCodec,
        budget: retries.RetryBudgetShare,
        answer_budget: byte_budget.ByteBudget,
        now: Callable[[], float],
        open_pool: Callable[..., client.ServerPool] = client.ServerPool,
    ) -> None:
        self._reactor = reactor
        self._open_pool = open_pool
        self._zone = zone
        self._directory = directory
        self._key_routing = key_routing
        self._request_codec = request_codec
        self._budget = budget
        self._answer_budget = answer_budget
        self._now = now
        self._policies: dict[ids.ServiceName, config.ServicePolicy] = {}
        self._server_queues_by_incarnation: dict[
            model.ServerIncarnation, server_queue.ServerQueue
        ] = {}
        self._server_queues_by_service: dict[ids.ServiceName, list[server_queue.ServerQueue]] = {}
        self._service_queues_by_name: dict[ids.ServiceName, service_queue.ServiceQueue] = {}
        self._directory_version = -1
        self.rate_limits = rate_limits.RateLimits(now=now)
        self._statements = server_statements.ServerStatements(
            directory=directory, request_codec=request_codec, limits=self.rate_limits
        )
        self._sized_for_vms = key_routing.entry_vms
        key_routing.on_change(self._release_moved_calls)

    def apply(self, policies: dict[ids.ServiceName, config.ServicePolicy]) -> None:
        """Apply the service policies of a new configuration."""
        self._policies = policies
        self._directory_version = -1

    async def dispatch(self, call: calls.Call) -> calls.Reply:
        """Forward a call and return the reply, at the latest at the deadline of the call."""
        policy = self._policies.get(call.service)
        if policy is None:
            return self._refuse("the service is not configured", RETRY_AFTER_UNREADY_S)
        quarantine = self._key_routing.quarantine
        if quarantine.rejects(call.method, call.target, call.body, self._now()):
            return self._refuse("the request crashes servers", RETRY_AFTER_QUARANTINE_S)
        self._budget.on_request(call.service, self._now())
        if policy.sharded:
            if call.key is None:
                raise calls.BadRequestError(
                    400, "the request has no key", request_id=call.request_id
                )
            self._key_routing.count_request(call.service, call.key)
        return await self._run_attempts(call, policy)

    async def _run_attempts(self, call: calls.Call, policy: config.ServicePolicy) -> calls.Reply:
        tried: set[model.ServerIncarnation] = set()
        possible_runs = rejections = 0
        fallback: calls.Reply | None = None
        while True:
            result = await self._run_once(call, policy, tried)
            if isinstance(result, calls.Refused):
                return fallback or result
            chosen, attempt = result.queue, result.attempt
            if not _has_moved(attempt):
                tried.add(chosen.incarnation)
            self._record(call, policy, chosen, attempt)
            match attempt:
                case calls.Refused():
                    return fallback or attempt
                case calls.Answered(response=response):
                    if response.status < 500:
                        quarantine = self._key_routing.quarantine
                        quarantine.record_completion(
                            call.method, call.target, call.body, self._now()
                        )
                        return attempt
                    possible_runs += 1
                    fallback = attempt
                case calls.NotRun(reason=reason):
                    self._note_not_run(chosen, reason)
                    rejections += reason not in _UNSENT_REASONS
                case calls.OutcomeUnknown(detail=detail, broken=broken):
                    possible_runs += 1
                    if broken:
                        self._note_broken(call, chosen)
                    fallback = self._failed_reply(call, detail)
            if rejections >= REJECTIONS_MAX:
                return fallback or self._refuse_overload(call, "no server has run the request")
            final = self._final_reply(call, policy, attempt, possible_runs, fallback)
            if final is not None:
                return final

    async def _run_once(
        self, call: calls.Call, policy: config.ServicePolicy, tried: set[model.ServerIncarnation]
    ) -> _TriedServer | calls.Refused:
        """Choose a server and send the call to it, when the limits permit."""
        if policy.sharded:
            return await self._choose_and_run(call, policy, tried)
        waiting = self._service_queue(call.service)
        place = await waiting.take_place(call)
        if place is None:
            return self._refuse("the service's queue is too long", waiting.wait_estimate_s(call))
        try:
            return await self._choose_and_run(call, policy, tried)
        finally:
            place.release()

    async def _choose_and_run(
        self, call: calls.Call, policy: config.ServicePolicy, tried: set[model.ServerIncarnation]
    ) -> _TriedServer | calls.Refused:
        chosen = await self._choose_queue(call, policy, tried)
        if isinstance(chosen, calls.Refused):
            return chosen
        return _TriedServer(chosen, await chosen.run(call))

    def _service_queue(self, service: ids.ServiceName) -> service_queue.ServiceQueue:
        self._refresh()
        found = self._service_queues_by_name.get(service)
        if found is None:
            found = service_queue.ServiceQueue(self._reactor, now=self._now)
            self._service_queues_by_name[service] = found
            self._size_service_queue(service, found)
        return found

    def _size_service_queue(
        self, service: ids.ServiceName, queue: service_queue.ServiceQueue
    ) -> None:
        servers_of_service = self._server_queues_by_service.get(service, [])
        slots = sum(candidate.record.entry.slots for candidate in servers_of_service)
        queue.set_slots(slots, entry_vms=self._key_routing.entry_vms)

    def _record(
        self,
        call: calls.Call,
        policy: config.ServicePolicy,
        chosen: server_queue.ServerQueue,
        attempt: calls.Attempt | calls.Refused,
    ) -> None:
        """Add an attempt, and the range map on which it was based, to the steps of a call."""
        version, confirmed_at = 0, 0.0
        token = 0
        now = self._now()
        if policy.sharded:
            version, confirmed_at = self._key_routing.map_version_and_confirmation(call.service)
            segment = self._key_routing.find(call.service, call.key or 0)
            token = 0 if segment is None else segment.token
        call.steps.append(
            calls.Step(
                at=now,
                outcome=_describe(attempt),
                server=chosen.incarnation,
                token=token,
                map_version=version,
                map_age_s=now - confirmed_at if version else 0.0,
            )
        )

    def _note_not_run(self, chosen: server_queue.ServerQueue, reason: calls.NotRunReason) -> None:
        match reason:
            case calls.NotRunReason.KEY_NOT_HELD:
                self._key_routing.grant_again(chosen.incarnation)
            case calls.NotRunReason.OTHER_SERVER:
                self._directory.note_address_reused(chosen.incarnation)

    def _note_broken(self, call: calls.Call, chosen: server_queue.ServerQueue) -> None:
        suspect = crash_suspects.fingerprint(call.method, call.target, call.body)
        self._key_routing.quarantine.note_broken(suspect, chosen.incarnation)

    def refusing_servers(self) -> list[model.ServerIncarnation]:
        """Return the server incarnations whose recent connection attempts failed."""
        return [
            incarnation
            for incarnation, queue in self._server_queues_by_incarnation.items()
            if queue.is_refusing
        ]

    def _final_reply(
        self,
        call: calls.Call,
        policy: config.ServicePolicy,
        attempt: calls.Attempt,
        possible_runs: int,
        fallback: calls.Reply | None,
    ) -> calls.Reply | None:
        """Return the reply if the call must not be retried, otherwise None.

        A retry after an attempt that was never sent does not use the retry budget.
        """
        now = self._now()
        may_have_run = not isinstance(attempt, calls.NotRun)
        if may_have_run and not call.route.idempotent:
            return fallback
        if may_have_run and policy.sharded and isinstance(attempt, calls.Answered):
            return fallback
        if possible_runs >= call.route.attempts_max or now >= call.deadline:
            return fallback or self._refuse("no time or attempt is left", RETRY_AFTER_MINIMUM_S)
        arrived = not (isinstance(attempt, calls.NotRun) and attempt.reason in _UNSENT_REASONS)
        vms = self._key_routing.entry_vms
        if arrived and not self._budget.try_retry(call.service, now, entry_vms=vms):
            return fallback or self._refuse_overload(call, "the retry budget is used up")
        return None

    def _failed_reply(self, call: calls.Call, detail: str) -> calls.Failed:
        status = 504 if self._now() >= call.deadline else 502
        return calls.Failed(reason=detail, status=status)

    def _refuse(self, reason: str, retry_after_s: float) -> calls.Refused:
        return calls.Refused(reason=reason, retry_after_s=max(RETRY_AFTER_MINIMUM_S, retry_after_s))

    def _refuse_overload(self, call: calls.Call, reason: str) -> calls.Refused:
        """Return a refusal with a randomised retry time, which spreads the retries of callers."""
        target_s = call.route.target_latency_s
        earliest_s, latest_s = (
            max(minimum_s, share * target_s)
            for minimum_s, share in zip(
                RETRY_AFTER_OVERLOAD_S, RETRY_AFTER_OVERLOAD_TARGET_SHARES, strict=True
            )
        )
        return self._refuse(reason, random.uniform(earliest_s, latest_s))

    async def _choose_queue(
        self, call: calls.Call, policy: config.ServicePolicy, tried: set[model.ServerIncarnation]
    ) -> server_queue.ServerQueue | calls.Refused:
        self._refresh()
        if not policy.sharded:
            server_queues = self._server_queues_by_service.get(call.service, [])
            untried = [queue for queue in server_queues if queue.incarnation not in tried]
            return self._choose_any(call, untried)
        give_up_at = self._end_of_move_wait(call)
        while True:
            segment = self._key_routing.find(call.service, call.key or 0)
            owner = self._owner_queue(segment)
            if owner is not None and owner.is_paused:
                return self._refuse_paused([owner], "the key's server asked for a pause")
            if owner is not None and owner.incarnation not in tried and not owner.is_unreachable:
                if not tried and not self._key_routing.admit(owner.incarnation.server):
                    return self._refuse_overload(call, "the key's server is overloaded")
                if owner.is_silent:
                    return self._refuse("the key's server does not answer", RETRY_AFTER_SILENT_S)
                return self._use_rate_limit(call, owner, is_planned=True)
            wait_until = give_up_at
            if owner is not None and owner.is_unreachable:
                return self._refuse("the key's server is unreachable", RETRY_AFTER_RECOVERING_S)
            if owner is not None:
                # The owner rejected the call; its grant is renewed shortly.
                wait_until = min(give_up_at, self._now() + NOT_HELD_WAIT_S)
            elif segment is None or segment.phase is not model.Phase.MOVING:
                return self._refuse("the key has no owner now", RETRY_AFTER_RECOVERING_S)
            if not await self._wait_for_change(call.service, wait_until):
                if owner is None or self._now() >= give_up_at:
                    return self._refuse("the key is being moved", RETRY_AFTER_UNREADY_S)
                if owner.is_paused:
                    return self._refuse_paused([owner], "the key's server asked for a pause")
                return self._use_rate_limit(call, owner, is_planned=True)
            self._refresh()

    def _choose_any(
        self, call: calls.Call, candidates: list[server_queue.ServerQueue]
    ) -> server_queue.ServerQueue | calls.Refused:
        """Return the best server that is not paused and whose rate limit permits the call."""
        vms = self._key_routing.entry_vms
        accepting = [candidate for candidate in candidates if not candidate.is_paused]
        if candidates and not accepting:
            return self._refuse_paused(candidates, "all servers asked for a pause")
        permitted = [
            candidate
            for candidate in accepting
            if self.rate_limits.may_send(candidate.incarnation, entry_vms=vms, is_planned=False)
        ]
        chosen = server_queue.best(permitted, zone=self._zone, now=self._now())
        if chosen is not None:
            return self._use_rate_limit(call, chosen, is_planned=False)
        if candidates:
            return self._refuse_overload(call, "all servers are at their rate limits")
        return self._refuse("no server is left", RETRY_AFTER_UNREADY_S)

    def _refuse_paused(self, paused: list[server_queue.ServerQueue], reason: str) -> calls.Refused:
        """Return a refusal that tells the caller to come back after the shortest pause."""
        rest_s = min(queue.paused_until for queue in paused) - self._now()
        return self._refuse(reason, rest_s * random.uniform(*PAUSE_SPREAD))

    def _use_rate_limit(
        self, call: calls.Call, chosen: server_queue.ServerQueue, *, is_planned: bool
    ) -> server_queue.ServerQueue | calls.Refused:
        """Return the chosen server if its rate limit permits one more request of this VM."""
        vms = self._key_routing.entry_vms
        if self.rate_limits.try_send(chosen.incarnation, entry_vms=vms, is_planned=is_planned):
            return chosen
        return self._refuse_overload(call, "the server is at its rate limit")

    def _end_of_move_wait(self, call: calls.Call) -> float:
        """Return until when a call may wait for a key that is being moved."""
        by_target = call.arrived_at + MOVE_WAIT_TARGET_SHARE * call.route.target_latency_s
        return min(call.deadline, max(self._now() + MOVE_WAIT_S, by_target))

    def _release_moved_calls(self, service: ids.ServiceName) -> None:
        """End the wait of calls whose keys have moved, so that they go to the new owner."""
        for queue in self._server_queues_by_service.get(service, []):
            queue.release_moved_calls(lambda call, queue=queue: self._is_owned(call, queue))

    def _is_owned(self, call: calls.Call, candidate: server_queue.ServerQueue) -> bool:
        segment = self._key_routing.find(call.service, call.key or 0)
        return segment is not None and segment.owner == candidate.incarnation

    def _owner_queue(self, segment: model.Segment | None) -> server_queue.ServerQueue | None:
        if segment is None or segment.owner is None or not segment.is_settled:
            return None
        found = self._server_queues_by_incarnation.get(segment.owner)
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

    def _refresh(self) -> None:
        """Reconcile the server queues with the usable servers."""
        vms = self._key_routing.entry_vms
        if vms != self._sized_for_vms:
            self._resize(vms)
        if self._directory_version == self._directory.version:
            return
        self._directory_version = self._directory.version
        usable: dict[model.ServerIncarnation, servers.ServerRecord] = {}
        for service, policy in self._policies.items():
            # Servers of an evacuated zone get requests for keys that have not moved yet.
            find = self._directory.serving if policy.sharded else self._directory.usable
            for record in find(service):
                usable[record.entry.incarnation] = record
        for incarnation in [
            incarnation
            for incarnation in self._server_queues_by_incarnation
            if incarnation not in usable
        ]:
            closing = self._server_queues_by_incarnation.pop(incarnation)
            closing.close("the server left")
        for incarnation, record in usable.items():
            existing = self._server_queues_by_incarnation.get(incarnation)
            if existing is None:
                self._server_queues_by_incarnation[incarnation] = self._open_queue(record)
            else:
                existing.record = record
        self._statements.retain(usable)
        self._server_queues_by_service = {}
        for queue in self._server_queues_by_incarnation.values():
            self._server_queues_by_service.setdefault(queue.record.entry.service, []).append(queue)
        self._size_service_queues()

    def _size_service_queues(self) -> None:
        for service, queue in self._service_queues_by_name.items():
            self._size_service_queue(service, queue)

    def _resize(self, vms: int) -> None:
        """Apply a changed number of entry VMs to the connection and concurrency limits."""
        self._sized_for_vms = vms
        for queue in self._server_queues_by_incarnation.values():
            queue.set_entry_vms(vms)
            queue.pool.set_limit(self._connection_limit(queue.record, vms))
        self._size_service_queues()

    def _connection_limit(self, record: servers.ServerRecord, vms: int) -> int:
        policy = self._policies.get(record.entry.service)
        allowed = 0.0 if policy is None else policy.connections_max * CONNECTIONS_SHARE
        return max(CONNECTIONS_MINIMUM, int(allowed / vms))

    def _open_queue(self, record: servers.ServerRecord) -> server_queue.ServerQueue:
        vms = self._key_routing.entry_vms
        pool = self._open_pool(
            self._reactor,
            address=record.entry.address,
            limit=self._connection_limit(record, vms),
            connect_timeout_s=CONNECT_TIMEOUT_S,
            idle_timeout_s=IDLE_CONNECTION_S,
            budget=self._answer_budget,
            now=self._now,
        )
        return server_queue.ServerQueue(
            self._reactor,
            record,
            pool=pool,
            request_codec=self._request_codec,
            entry_vms=vms,
            on_answer=self._on_answer,
            on_response=self._statements.take,
            now=self._now,
        )

    def _on_answer(
        self, answered: server_queue.ServerQueue, call: calls.Call, latency_s: float
    ) -> None:
        queue = self._service_queues_by_name.get(call.service)
        if queue is not None:
            queue.observe(call, latency_s)
        self._key_routing.record_service_time(answered.incarnation.server, latency_s)


def _has_moved(attempt: calls.Attempt | calls.Refused) -> bool:
    return isinstance(attempt, calls.NotRun) and attempt.reason is calls.NotRunReason.KEY_MOVED


def _describe(attempt: calls.Attempt | calls.Refused) -> str:
    match attempt:
        case calls.Answered(response=response):
            return f"answered {response.status}"
        case calls.NotRun(reason=reason, detail=detail):
            return f"not run: {reason.value} {detail}".rstrip()
        case calls.OutcomeUnknown(detail=detail):
            return f"may have run: {detail}"
    return attempt.reason
