"""Claims of request ids: a non-idempotent request with an id runs at most once."""

from __future__ import annotations

import dataclasses
import hashlib
import heapq
from collections.abc import Collection, Iterable

from celerystack import ids, timing
from celerystack.peers import messages

HOLDERS = 2
CAPACITY = 200_000
"""Entries of one table: at 60 s per entry 3,300 new claims/s."""
RECENT_S = 2 * timing.CLAIM_WINDOW_S
"""Age below which an entry VM counts as recent in `holders`. It covers entries whose deadline was
up to `timing.CLAIM_WINDOW_S` away when they were claimed."""


@dataclasses.dataclass(slots=True)
class _Entry:
    claimant: ids.EntryVmId
    state: messages.ClaimState
    expires_at: float


class ClaimTable:
    """Claims held by one entry VM, in memory only.

    Promise: after `claim` has returned `ClaimState.ACCEPTED` for a request, every other claim of
    the same id is answered with the known state until `timing.CLAIM_WINDOW_S` after the latest
    deadline that was claimed with the id, unless the claimant has released the id by `finish` with
    `ClaimState.NOT_RUN`. A released id is accepted again, once. When ``capacity`` is reached new
    ids are refused with `ClaimState.NOT_RUN`, which tells the claimant that the request must not be
    sent; entries that are still due are never forgotten.

    The promise ends with the process. A claimant therefore claims at all `holders`, and sends only
    if all accept; if one refuses, it releases the id where it was accepted. An id then does not run
    twice within the window as long as at most one entry VM of the home zone is lost in that time,
    however many join. After the loss of two there is no promise.

    Parameters
    ----------
    capacity : int
        Largest number of entries.
    """

    def __init__(self, *, capacity: int = CAPACITY) -> None:
        self._capacity = capacity
        self._entries: dict[ids.RequestId, _Entry] = {}
        self._expiries: list[tuple[float, ids.RequestId]] = []

    def __len__(self) -> int:
        return len(self._entries)

    def claim(
        self, request: ids.RequestId, claimant: ids.EntryVmId, deadline: float, now: float
    ) -> messages.ClaimState:
        """Claim a request id for one run.

        Parameters
        ----------
        deadline, now : float
            Seconds on this VM's clock.

        Returns
        -------
        ClaimState
            ACCEPTED if the caller may run the request; NOT_RUN if the table is full; otherwise
            the state of the earlier claim: RUNNING, ANSWERED or UNKNOWN.
        """
        self._expire(now)
        expires_at = max(deadline, now) + timing.CLAIM_WINDOW_S
        entry = self._entries.get(request)
        if entry is None and len(self._entries) >= self._capacity:
            return messages.ClaimState.NOT_RUN
        if entry is not None:
            entry.expires_at = max(entry.expires_at, expires_at)
            return entry.state
        self._entries[request] = _Entry(claimant, messages.ClaimState.RUNNING, expires_at)
        heapq.heappush(self._expiries, (expires_at, request))
        return messages.ClaimState.ACCEPTED

    def finish(
        self,
        request: ids.RequestId,
        state: messages.ClaimState,
        now: float,
        *,
        claimant: ids.EntryVmId,
    ) -> None:
        """Record the final state of a running request; NOT_RUN releases the id.

        Only the VM whose claim was accepted can change the state, and only while the request is
        running. Otherwise a claimant that was refused, or a repeated message, could release an id
        whose request runs or has run. Unknown ids are ignored.
        """
        self._expire(now)
        entry = self._entries.get(request)
        if entry is None or entry.claimant != claimant:
            return
        if entry.state is not messages.ClaimState.RUNNING:
            return
        match state:
            case messages.ClaimState.NOT_RUN:
                del self._entries[request]
                self._compact()
            case messages.ClaimState.ANSWERED | messages.ClaimState.UNKNOWN:
                entry.state = state
            case _:
                pass

    def _expire(self, now: float) -> None:
        while self._expiries and self._expiries[0][0] <= now:
            _, request = heapq.heappop(self._expiries)
            entry = self._entries.get(request)
            if entry is None:
                continue
            if entry.expires_at <= now:
                del self._entries[request]
            else:
                heapq.heappush(self._expiries, (entry.expires_at, request))

    def _compact(self) -> None:
        """Drop the heap entries of released ids once they outnumber the entries."""
        if len(self._expiries) > 2 * len(self._entries) + 1000:
            self._expiries = [(e.expires_at, request) for request, e in self._entries.items()]
            heapq.heapify(self._expiries)


def holders(
    request: ids.RequestId,
    vms: Iterable[ids.EntryVmId],
    *,
    recent: Collection[ids.EntryVmId] = (),
) -> list[ids.EntryVmId]:
    """Return the entry VMs of the home zone at which an id must be claimed.

    These are the first two by rendezvous hash (BLAKE2b), preceded by every recent VM that ranks
    before the second one that is not recent. Without this, two VMs that join within the window
    could become the first two for an id that only others know.

    Parameters
    ----------
    recent : collection of EntryVmId
        Entry VMs that became live less than `RECENT_S` ago.
    """
    chosen: list[ids.EntryVmId] = []
    settled = 0
    for vm in sorted(vms, key=lambda vm: (_rank(request, vm), vm)):
        if settled == HOLDERS:
            break
        chosen.append(vm)
        settled += vm not in recent
    return chosen


def _rank(request: ids.RequestId, vm: ids.EntryVmId) -> bytes:
    hasher = hashlib.blake2b(vm.encode("utf-8", "surrogateescape"), digest_size=8)
    hasher.update(b"\0")
    hasher.update(request.encode("utf-8", "surrogateescape"))
    return hasher.digest()
