"""Claims of request ids: a non-idempotent request with an id runs at most once."""

from __future__ import annotations

import dataclasses
import hashlib
import heapq
from collections.abc import Collection, Iterable

from celerystack import ids, timing
from celerystack.peers import messages

ESTABLISHED_HOLDERS = 2
"""Holders of an id that are not recent; two, so that a claim survives the loss of one of them."""
CAPACITY = 200_000
"""Entries of one table: 3,300 new claims/s at 60 s per entry, which assumes deadlines much shorter
than `timing.CLAIM_WINDOW_S`. An entry is kept until that window after its deadline, so for up to
twice as long if the deadline is 60 s away."""
RECENT_ENTRY_VM_AGE_S = 2 * timing.CLAIM_WINDOW_S
"""Age in seconds below which `holders` treats an entry VM as recent. Twice the window, because the
deadline of a claim may itself be up to `timing.CLAIM_WINDOW_S` away when it is claimed."""


@dataclasses.dataclass(slots=True)
class _Entry:
    claimant: ids.EntryVmId
    state: messages.ClaimState
    expires_at: float


class ClaimTable:
    """Claims held by one entry VM, in memory only.

    Guarantee: after `claim` has returned `ClaimState.ACCEPTED` for an id, every other claim of the
    same id returns the recorded state until `timing.CLAIM_WINDOW_S` after the latest deadline that
    was given with the id, unless the claimant has released the id by calling `record_final_state`
    with `ClaimState.NOT_RUN`. Of the claims of a released id, again only the first is accepted.
    When ``capacity`` is reached, new ids are refused with `ClaimState.NOT_RUN`, which tells the
    claimant not to send the request; entries that have not expired are never evicted.

    The table is lost with its process. A claimant therefore claims an id at all `holders` and sends
    the request only if all accept; if one refuses, it releases the id where it was accepted. An id
    then runs at most once within the window if at most one entry VM of the home zone is lost in
    that time, however many join. After the loss of two there is no guarantee.

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
            ACCEPTED if the claimant may send the request; NOT_RUN if the table is full; otherwise
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

    def record_final_state(
        self,
        request: ids.RequestId,
        state: messages.ClaimState,
        now: float,
        *,
        claimant: ids.EntryVmId,
    ) -> None:
        """Record the final state of a running request; NOT_RUN releases the id.

        Only the VM whose claim was accepted can change the state, and only while it is RUNNING.
        Otherwise a claimant that was refused, or a repeated message, could release an id whose
        request is running or has run. Unknown ids are ignored.
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
    """Return the entry VMs of one zone at which an id must be claimed.

    The zone is the home zone, or the zone of a previous owner of the key. The holders are its entry
    VMs in the order of their rendezvous hash (BLAKE2b), up to and including the second one that is
    not recent. If recent VMs counted towards the two, two VMs that join within the window could
    become the only holders of an id whose claim they do not have.

    Parameters
    ----------
    recent : collection of EntryVmId
        Entry VMs that started less than `RECENT_ENTRY_VM_AGE_S` ago.
    """
    chosen: list[ids.EntryVmId] = []
    established = 0
    for vm in sorted(vms, key=lambda vm: (_rank(request, vm), vm)):
        if established == ESTABLISHED_HOLDERS:
            break
        chosen.append(vm)
        established += vm not in recent
    return chosen


def _rank(request: ids.RequestId, vm: ids.EntryVmId) -> bytes:
    hasher = hashlib.blake2b(vm.encode("utf-8", "surrogateescape"), digest_size=8)
    hasher.update(b"\0")
    hasher.update(request.encode("utf-8", "surrogateescape"))
    return hasher.digest()
