"""Takeover of the shards of an unreachable server (section 4.2 of the design page).

Every lessor that may have granted or renewed a lease must have promised to stop, and the last of
these leases must have expired, unless there is evidence that the server's process has ended.
"""

from __future__ import annotations

import dataclasses
from collections.abc import Iterable

from celerystack import model, timing
from celerystack.lease import evidence as evidence_module
from celerystack.lease import records
from celerystack.peers import messages

PROMISE_TIMEOUT_S = timing.PEER_DOWN_S
"""Time in seconds without a reply to promise requests after which a lessor counts as silent. It
then blocks the takeover until it promises or until it, or the server, is known to have ended."""


@dataclasses.dataclass(frozen=True)
class AwaitingPromises:
    """The lessors in ``missing`` have not promised yet; none of them has timed out or refused."""

    missing: frozenset[model.LessorRef]


@dataclasses.dataclass(frozen=True)
class AwaitingLeaseExpiry:
    """All lessors promised; the last lease expires at that time of the local monotonic clock."""

    lease_expires_at: float


@dataclasses.dataclass(frozen=True)
class Ready:
    """The takeover may commit; ``evidence`` is None if it relies on promises."""

    evidence: evidence_module.Evidence | None


@dataclasses.dataclass(frozen=True)
class Refused:
    """These lessors refused to promise, for example because they reach the server."""

    lessors: frozenset[model.LessorRef]


@dataclasses.dataclass(frozen=True)
class Blocked:
    """These lessors do not reply; the takeover waits for their promise or evidence."""

    lessors: frozenset[model.LessorRef]


TakeoverState = AwaitingPromises | AwaitingLeaseExpiry | Ready | Refused | Blocked


class Takeover:
    """Collects the promises of all lessors under one token of one server.

    Parameters
    ----------
    row : ServerRow
        Row that the takeover's transaction must find at the same version.
    now : float
        Local monotonic clock in seconds.
    """

    def __init__(self, row: model.ServerRow, *, now: float) -> None:
        self.row = row
        self.evidence: evidence_module.Evidence | None = None
        self._reply_deadline_by_lessor: dict[model.LessorRef, float] = {}
        self._leases_expire_at_by_lessor: dict[model.LessorRef, float] = {}
        self._refusing_lessors: set[model.LessorRef] = set()
        self._add_required_lessors((*row.lessors, *row.previous_lessors), now)

    def is_superseded(self, row: model.ServerRow) -> bool:
        """Return whether the newest row invalidates the collected promises."""
        return (
            row.token != self.row.token
            or row.lessors != self.row.lessors
            or row.previous_lessors != self.row.previous_lessors
            or row.state is model.ServerState.LOST
        )

    def requests(self) -> dict[model.LessorRef, messages.PromiseRequest]:
        """Return the requests to lessors that have not promised; to be resent until they do."""
        request = messages.PromiseRequest(self.row.server, self.row.token)
        return {
            lessor: request
            for lessor in self._reply_deadline_by_lessor
            if self._has_not_promised(lessor)
        }

    def promised(self) -> frozenset[model.LessorRef]:
        """Return the lessors and deputies that promised under the row's token."""
        return frozenset(self._leases_expire_at_by_lessor)

    def on_promise(self, reply: messages.PromiseReply, now: float) -> None:
        """Record a lessor's promise or refusal, and the deputies that it names.

        Replies for another server or token, or from another entry VM than those asked, are ignored.
        """
        if reply.server != self.row.server or reply.token != self.row.token:
            return
        if reply.lessor not in self._reply_deadline_by_lessor:
            return
        self._add_required_lessors(reply.deputies, now)
        if reply.promised:
            # A duplicate reply can only delay the expiry, which is safe.
            expires_at = now + reply.remaining_s
            known_expires_at = self._leases_expire_at_by_lessor.get(reply.lessor, expires_at)
            self._leases_expire_at_by_lessor[reply.lessor] = max(known_expires_at, expires_at)
            self._refusing_lessors.discard(reply.lessor)
        elif self._has_not_promised(reply.lessor):
            self._refusing_lessors.add(reply.lessor)
            self._reply_deadline_by_lessor[reply.lessor] = now + PROMISE_TIMEOUT_S

    def on_ended(
        self, lessor: model.LessorRef, zone_entry_vms: Iterable[model.LessorRef], now: float
    ) -> None:
        """Record that a lessor's process has ended, which counts as a promise.

        Its orders in flight echo stamps that it received before its end, so the leases that they
        renew expire within `records.LEASE_BOUND_S`. It may have appointed any entry VM of its zone
        as a deputy, so all of these must promise too.

        Parameters
        ----------
        zone_entry_vms : iterable of LessorRef
            Entry VMs of the lessor's zone whose processes have not ended.
        """
        if lessor in self._reply_deadline_by_lessor and self._has_not_promised(lessor):
            self._leases_expire_at_by_lessor[lessor] = now + records.LEASE_BOUND_S
            self._refusing_lessors.discard(lessor)
            self._add_required_lessors(tuple(zone_entry_vms), now)

    def missing(self) -> frozenset[model.LessorRef]:
        """Return the lessors and deputies that have not promised."""
        return frozenset(self.requests())

    def on_evidence(self, evidence: evidence_module.Evidence) -> None:
        """Record evidence that the server's process has ended."""
        self.evidence = evidence

    def state(self, now: float) -> TakeoverState:
        """Return what the takeover waits for."""
        if self.evidence is not None:
            return Ready(self.evidence)
        missing = frozenset(self.requests())
        silent = {lessor for lessor in missing if now >= self._reply_deadline_by_lessor[lessor]}
        if self._refusing_lessors - silent:
            return Refused(frozenset(self._refusing_lessors - silent))
        if silent:
            return Blocked(frozenset(silent))
        if missing:
            return AwaitingPromises(missing)
        lease_expires_at = max(self._leases_expire_at_by_lessor.values(), default=now)
        return Ready(None) if now >= lease_expires_at else AwaitingLeaseExpiry(lease_expires_at)

    def _has_not_promised(self, lessor: model.LessorRef) -> bool:
        return lessor not in self._leases_expire_at_by_lessor

    def _add_required_lessors(self, lessors: tuple[model.LessorRef, ...], now: float) -> None:
        for lessor in lessors:
            self._reply_deadline_by_lessor.setdefault(lessor, now + PROMISE_TIMEOUT_S)
