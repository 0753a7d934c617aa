"""Forwards attempts to queue owners, and makes the attempts that are forwarded to this VM."""

from __future__ import annotations

from collections.abc import Callable

from twisted.internet import defer

from celerystack import ids
from celerystack.fleet import servers
from celerystack.forwarding import links, messages, owners
from celerystack.gateway import attempts, calls, config
from celerystack.limits import cold_starts
from celerystack.ranges import model

BODY_BYTES_MAX = 1024 * 1024
"""Largest body in bytes of a request that is forwarded; larger ones would hold up the others on the
stream, and are sent to the server directly."""

AVOID_S = 0.5
"""Time in seconds for which an owner that had no server for a call gets no others."""
SLOTS_VALID_S = 0.5
"""Time in seconds after which the slots of the owners are counted again; servers become warm."""


class ForwardedAttempts:
    """Makes each attempt at the owner of the server's queue, or from here if there is none.

    Parameters
    ----------
    vm : EntryVmId
        This entry VM, whose own queues need no hop.
    on_forwarded : callable
        Called with the result of each forwarded attempt.
    now : callable
        Clock in seconds to which deadlines refer.
    """

    def __init__(
        self,
        *,
        vm: ids.EntryVmId,
        queue_owners: owners.QueueOwners,
        owner_links: links.OwnerLinks,
        directory: servers.Directory,
        key_routing: attempts.KeyRouting,
        local: attempts.LocalAttempts,
        cold: cold_starts.ColdStarts,
        on_forwarded: Callable[[messages.ResultKind], None],
        now: Callable[[], float],
    ) -> None:
        self._vm = vm
        self._cold = cold
        self._on_forwarded = on_forwarded
        self._queue_owners = queue_owners
        self._links = owner_links
        self._directory = directory
        self._key_routing = key_routing
        self._local = local
        self._now = now
        self._avoided_until: dict[tuple[owners.Owner, ids.ServiceName], float] = {}
        self._slots_valid_until = float("-inf")
        self._slots_version: tuple[int, int] | None = None
        self._slots_by_service: dict[ids.ServiceName, dict[owners.Owner, int]] = {}

    async def run(
        self,
        call: calls.Call,
        policy: config.ServicePolicy,
        tried: frozenset[model.ServerIncarnation],
    ) -> attempts.Tried | calls.Refused:
        """Make an attempt at the owner of the queue, or without one."""
        owner = self._choose_queue_owner(call, policy)
        if owner is None:
            return await self._local.run(call, policy, tried)
        if owner.vm == self._vm:
            outcome = await self._local.run_owned(call, policy, tried)
        else:
            link = self._links.find(owner)
            if link is None:
                return await self._local.run(call, policy, tried)
            result = await link.forward(
                lambda number: self._message(number, call, tried), deadline=call.deadline
            )
            self._on_forwarded(result.kind)
            outcome = _tried(result)
        if isinstance(outcome, attempts.Tried) and outcome.incarnation is None:
            self._avoid(owner, call.service)
        return outcome

    def _choose_queue_owner(
        self, call: calls.Call, policy: config.ServicePolicy
    ) -> owners.Owner | None:
        if not self._queue_owners.is_forwarding or len(call.body) > BODY_BYTES_MAX:
            return None
        if policy.sharded:
            return self._queue_owner_of_key(call)
        usable = {
            owner: slots
            for owner, slots in self._slots_by_owner(call.service).items()
            if self._is_usable(owner, call.service)
        }
        if not usable:
            return None
        return self._queue_owners.choose_by_slots(usable, call.service)

    def _avoid(self, owner: owners.Owner, service: ids.ServiceName) -> None:
        """Forward no further calls of a service to an owner for a while."""
        now = self._now()
        self._avoided_until = {key: at for key, at in self._avoided_until.items() if at > now}
        self._avoided_until[owner, service] = now + AVOID_S

    def _is_usable(self, owner: owners.Owner, service: ids.ServiceName) -> bool:
        if self._now() < self._avoided_until.get((owner, service), float("-inf")):
            return False
        return owner.vm == self._vm or self._links.find(owner) is not None

    def _queue_owner_of_key(self, call: calls.Call) -> owners.Owner | None:
        """Return the owner of the queue of the key's server; None while the key is moving."""
        segment = self._key_routing.find(call.service, call.key or 0)
        if segment is None or segment.owner is None or not segment.is_settled:
            return None
        record = self._directory.find_record(segment.owner)
        if record is None:
            return None
        return self._queue_owners.owner_of(record.entry.server, record.entry.zone)

    def _slots_by_owner(self, service: ids.ServiceName) -> dict[owners.Owner, int]:
        """Return how many slots of a service each owner has.

        A cold server, which gets few requests, counts with a single slot.
        """
        version = self._directory.version, self._queue_owners.version
        now = self._now()
        if version != self._slots_version or now >= self._slots_valid_until:
            self._slots_version = version
            self._slots_valid_until = now + SLOTS_VALID_S
            self._slots_by_service.clear()
        found = self._slots_by_service.get(service)
        if found is None:
            found = self._slots_by_service[service] = self._queue_owners.slots_by_owner(
                {
                    (record.entry.server, record.entry.zone): 1
                    if self._cold.is_bound(service, record.warm_at)
                    else record.entry.slots
                    for record in self._directory.usable(service)
                }
            )
        return found

    def _message(
        self, number: int, call: calls.Call, tried: frozenset[model.ServerIncarnation]
    ) -> messages.ForwardedCall:
        now = self._now()
        return messages.ForwardedCall(
            number=number,
            request_id=call.request_id,
            service=call.service,
            route=call.route.name,
            priority=call.route.priority,
            idempotent=call.route.idempotent,
            target_latency_s=call.route.target_latency_s,
            timeout_s=call.route.timeout_s,
            attempts_max=call.route.attempts_max,
            method=call.method,
            target=call.target,
            headers=call.headers,
            body=call.body,
            key=call.key,
            age_s=now - call.arrived_at,
            repeats_for_s=call.repeats_for_s,
            remaining_s=call.deadline - now,
            tried=tuple(tried),
        )


class OwnedAttempts:
    """Makes the attempts that other entry VMs forward to this VM as the owner of queues."""

    def __init__(
        self,
        *,
        local: attempts.LocalAttempts,
        policy: Callable[[ids.ServiceName], config.ServicePolicy | None],
        now: Callable[[], float],
    ) -> None:
        self._local = local
        self._policy = policy
        self._now = now

    def run(self, message: messages.ForwardedCall) -> defer.Deferred[messages.Result]:
        """Make the attempt; cancelling the Deferred cancels it."""
        return defer.Deferred.fromCoroutine(self._run(message))

    async def _run(self, message: messages.ForwardedCall) -> messages.Result:
        policy = self._policy(message.service)
        if policy is None:
            # The configuration with this service has not arrived here yet.
            return messages.Result(
                number=message.number,
                kind=messages.ResultKind.NOT_RUN,
                reason=calls.NotRunReason.NOT_SENT.value,
                detail="the queue owner does not know the service",
            )
        outcome = await self._local.run_owned(self._call(message), policy, frozenset(message.tried))
        return _result(message.number, outcome)

    def _call(self, message: messages.ForwardedCall) -> calls.Call:
        now = self._now()
        route = config.Route(
            name=message.route,
            host="",
            prefix="",
            targets=(),
            idempotent=message.idempotent,
            timeout_s=message.timeout_s,
            target_latency_s=message.target_latency_s,
            attempts_max=message.attempts_max,
            priority=message.priority,
        )
        return calls.Call(
            request_id=message.request_id,
            route=route,
            service=message.service,
            method=message.method,
            target=message.target,
            headers=message.headers,
            body=message.body,
            key=message.key,
            arrived_at=now - message.age_s,
            deadline=now + message.remaining_s,
            repeats_for_s=message.repeats_for_s,
            # Servers that were tried get a repetition on a new connection.
            steps=[
                calls.Step(at=now, outcome="tried before", server=incarnation)
                for incarnation in message.tried
            ],
        )


def _result(number: int, outcome: attempts.Tried | calls.Refused) -> messages.Result:
    """Return the message for the outcome of an attempt."""
    incarnation = None
    if isinstance(outcome, attempts.Tried):
        incarnation, outcome = outcome.incarnation, outcome.attempt
    match outcome:
        case calls.Answered(response=response):
            return messages.Result(
                number=number,
                kind=messages.ResultKind.ANSWERED,
                incarnation=incarnation,
                response=response,
            )
        case calls.Refused(reason=reason, retry_after_s=retry_after_s):
            return messages.Result(
                number=number,
                kind=messages.ResultKind.REFUSED,
                incarnation=incarnation,
                reason=reason,
                retry_after_s=retry_after_s,
            )
        case calls.NotRun(reason=not_run, detail=detail):
            return messages.Result(
                number=number,
                kind=messages.ResultKind.NOT_RUN,
                incarnation=incarnation,
                reason=not_run.value,
                detail=detail,
            )
        case calls.OutcomeUnknown(detail=detail, broken=broken):
            return messages.Result(
                number=number,
                kind=messages.ResultKind.UNKNOWN,
                incarnation=incarnation,
                reason=detail,
                is_broken=broken,
            )
    raise TypeError(f"{outcome!r} is not an outcome")


def _tried(result: messages.Result) -> attempts.Tried | calls.Refused:
    """Return the outcome of an attempt that its message states."""
    match result.kind:
        case messages.ResultKind.ANSWERED if result.response is not None:
            return attempts.Tried(result.incarnation, calls.Answered(result.response))
        case messages.ResultKind.REFUSED:
            refused = calls.Refused(reason=result.reason, retry_after_s=result.retry_after_s)
            if result.incarnation is None:
                return refused
            return attempts.Tried(result.incarnation, refused)
        case messages.ResultKind.NOT_RUN:
            attempt = calls.NotRun(_not_run_reason(result.reason), result.detail)
            return attempts.Tried(result.incarnation, attempt)
    unknown = calls.OutcomeUnknown(result.reason, broken=result.is_broken)
    return attempts.Tried(result.incarnation, unknown)


def _not_run_reason(text: str) -> calls.NotRunReason:
    """Return the reason that an owner stated; `NOT_SENT` if the call never reached it."""
    try:
        return calls.NotRunReason(text)
    except ValueError:
        return calls.NotRunReason.NOT_SENT
