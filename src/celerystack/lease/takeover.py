"""Takeover of the shards of an unreachable server (section 4.2 of the design page).

Every lessor that may have caused a lease must have promised to stop, and the longest of the leases
must have expired, unless there is evidence that the server's process is gone.
"""

from __future__ import annotations

import dataclasses
from collections.abc import Iterable

from celerystack import model, timing
from celerystack.lease import evidence as evidence_module
from celerystack.lease import records
from celerystack.peers import messages

ANSWER_S = timing.PEER_DOWN_S
"""A lessor that has not answered for this long blocks the takeover until it answers."""


@dataclasses.dataclass(frozen=True)
class Asking:
    """Promises are missing; ``missing`` have been asked only recently."""

    missing: frozenset[model.LessorRef]


@dataclasses.dataclass(frozen=True)
class Waiting:
    """All lessors promised; the last lease expires at ``until`` on the local clock."""

    until: float


@dataclasses.dataclass(frozen=True)
class Ready:
    """The takeover may commit; ``evidence`` is None if promises allow it."""

    evidence: evidence_module.Evidence | None


@dataclasses.dataclass(frozen=True)
class Refused:
    """The lessors in ``by`` still reach the server."""

    by: frozenset[model.LessorRef]


@dataclasses.dataclass(frozen=True)
class Blocked:
    """The lessors in ``silent`` do not answer; only evidence or their answer helps."""

    silent: frozenset[model.LessorRef]


TakeoverState = Asking | Waiting | Ready | Refused | Blocked


class Takeover:
    """Promises collected under one token of one server.

    Parameters
    ----------
    row : ServerRow
        The row that the takeover's transaction must find unchanged (same version).
    now : float
        Seconds on the local monotonic clock.
    """

    def __init__(self, row: model.ServerRow, *, now: float) -> None:
        self.row = row
        self.evidence: evidence_module.Evidence | None = None
        self._silent_at_by_lessor: dict[model.LessorRef, float] = {}
        self._expires_at_by_lessor: dict[model.LessorRef, float] = {}
        self._refused: set[model.LessorRef] = set()
        self._require((*row.lessors, *row.previous_lessors), now)

    def is_void(self, row: model.ServerRow) -> bool:
        """Return whether ``row``, the newest one, makes the collected promises useless."""
        return (
            row.token != self.row.token
            or row.lessors != self.row.lessors
            or row.previous_lessors != self.row.previous_lessors
            or row.state is model.ServerState.LOST
        )

    def requests(self) -> dict[model.LessorRef, messages.PromiseRequest]:
        """Return requests to the lessors without a promise, to be sent until they promise."""
        request = messages.PromiseRequest(self.row.server, self.row.token)
        return {lessor: request for lessor in self._silent_at_by_lessor if self._lacks(lessor)}

    def promised(self) -> frozenset[model.LessorRef]:
        """Return the lessors and deputies that promised under the row's token."""
        return frozenset(self._expires_at_by_lessor)

    def on_promise(self, reply: messages.PromiseReply, now: float) -> None:
        """Record a reply; replies for another server or token are ignored."""
        if reply.server != self.row.server or reply.token != self.row.token:
            return
        if reply.lessor not in self._silent_at_by_lessor:
            return
        self._require(reply.deputies, now)
        if reply.promised:
            # A reply that arrives again can only move the time back, which is harmless.
            expires_at = now + reply.remaining_s
            known = self._expires_at_by_lessor.get(reply.lessor, expires_at)
            self._expires_at_by_lessor[reply.lessor] = max(known, expires_at)
            self._refused.discard(reply.lessor)
        elif self._lacks(reply.lessor):
            self._refused.add(reply.lessor)
            self._silent_at_by_lessor[reply.lessor] = now + ANSWER_S

    def on_ended(
        self, lessor: model.LessorRef, zone_entry_vms: Iterable[model.LessorRef], now: float
    ) -> None:
        """Record that a lessor's process has ended, which is as good as its promise.

        Its orders that are still on their way echo stamps from before its end. It may have
        appointed any entry VM of its zone as deputy, so these must promise instead.

        Parameters
        ----------
        zone_entry_vms : iterable of LessorRef
            All entry VMs of the zone whose processes have not ended.
        """
        if lessor in self._silent_at_by_lessor and self._lacks(lessor):
            self._expires_at_by_lessor[lessor] = now + records.LEASE_BOUND_S
            self._refused.discard(lessor)
            self._require(tuple(zone_entry_vms), now)

    def missing(self) -> frozenset[model.LessorRef]:
        """Return the lessors and deputies without a promise."""
        return frozenset(self.requests())

    def on_evidence(self, evidence: evidence_module.Evidence) -> None:
        """Record that the server's process is gone."""
        self.evidence = evidence

    def state(self, now: float) -> TakeoverState:
        """Return what the takeover waits for."""
        if self.evidence is not None:
            return Ready(self.evidence)
        missing = frozenset(self.requests())
        silent = {lessor for lessor in missing if now >= self._silent_at_by_lessor[lessor]}
        if self._refused - silent:
            return Refused(frozenset(self._refused - silent))
        if silent:
            return Blocked(frozenset(silent))
        if missing:
            return Asking(missing)
        until = max(self._expires_at_by_lessor.values(), default=now)
        return Ready(None) if now >= until else Waiting(until)

    def _lacks(self, lessor: model.LessorRef) -> bool:
        return lessor not in self._expires_at_by_lessor

    def _require(self, lessors: tuple[model.LessorRef, ...], now: float) -> None:
        for lessor in lessors:
            self._silent_at_by_lessor.setdefault(lessor, now + ANSWER_S)
