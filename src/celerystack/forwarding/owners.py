"""Which entry VMs own the queues of which servers."""

from __future__ import annotations

import dataclasses
import hashlib
import logging
import math
import random
from collections.abc import Callable, Iterable, Mapping

from celerystack import ids
from celerystack.fleet import datagram_size

_log = logging.getLogger(__name__)

FORWARDING_VMS_MIN = 30
"""Number of entry VMs from which calls are forwarded to owners. Fewer VMs see each server often
enough to order and count its requests themselves, so that the hop costs more than it gains."""
VMS_PER_OWNER = 10
"""Number of entry VMs for each queue owner; the larger VMs have several times as much processor."""
OWNERS_MIN = 4
"""Smallest number of owners, so that the loss of one concerns a quarter of the servers at most."""
OWNER_BYTES = 40
"""Bytes of an owner in a heartbeat without the names of the VM and its zone."""
OWNERS_BYTES_MAX = 12_000
"""Bytes of all owners in a heartbeat."""
LIST_VALID_S = 10.0
"""Time in seconds after the planner's last heartbeat for which calls are forwarded to the owners
that it named."""
SERVERS_REMEMBERED_MAX = 20_000
"""Number of servers whose owners are remembered, so that servers that left do not add up."""
EXCLUSIVE_S = 1.2
"""Time in seconds after the planner's last heartbeat for which an owner relies on being the only
one of a server."""


@dataclasses.dataclass(frozen=True, slots=True, order=True)
class Owner:
    """An entry VM that owns queues.

    Attributes
    ----------
    address : tuple
        Where it accepts forwarded calls.
    weight : float
        Share of the queues that it should own, in proportion to those of other owners.
    """

    vm: ids.EntryVmId
    zone: ids.ZoneName
    address: tuple[str, int]
    weight: float


def choose_owners(
    live: Iterable[Owner], current: Iterable[Owner], *, entry_vms: int
) -> tuple[Owner, ...]:
    """Return the entry VMs that should own queues: the largest ones, and current ones among equals.

    Parameters
    ----------
    live : iterable of Owner
        The entry VMs that report to the planner.
    current : iterable of Owner
        The owners named so far.
    entry_vms : int
        Number of registered entry VMs.
    """
    is_current = {owner.vm for owner in current}
    ranked = sorted(live, key=lambda vm: (-vm.weight, vm.vm not in is_current, vm.vm))
    chosen = ranked[: max(OWNERS_MIN, entry_vms // VMS_PER_OWNER)]
    fitting = datagram_size.longest_prefix(
        [f"{owner.vm}{owner.zone}" for owner in chosen],
        bytes_max=OWNERS_BYTES_MAX,
        extra_bytes=OWNER_BYTES,
    )
    return tuple(sorted(chosen[:fitting]))


def _score(owner: Owner, server: ids.ServerId) -> float:
    """Return the weighted rendezvous score of an owner for a server."""
    digest = hashlib.blake2b(f"{owner.vm}/{server}".encode(), digest_size=8).digest()
    uniform = (int.from_bytes(digest, "big") + 1) / 2**64
    return -owner.weight / math.log(uniform) if uniform < 1 else math.inf


_NO_WAITS: Mapping[ids.EntryVmId, Mapping[ids.ServiceName, float]] = {}


class QueueOwners:
    """The owners that the planner named last, and the queues that each of them owns.

    A server belongs to an owner in its own zone, if there is one: a zone that is cut off keeps its
    owners, and only the way to the owner crosses zones.

    Parameters
    ----------
    vm : EntryVmId
        This entry VM.
    now : callable
        Clock in seconds.
    forwarding_vms_min : int
        Number of entry VMs from which calls are forwarded.
    """

    def __init__(
        self,
        *,
        vm: ids.EntryVmId,
        now: Callable[[], float],
        forwarding_vms_min: int = FORWARDING_VMS_MIN,
    ) -> None:
        self._vm = vm
        self._forwarding_vms_min = forwarding_vms_min
        self._now = now
        self._announced_at = float("-inf")
        self._entry_vms = 0
        self._waits_by_vm: Mapping[ids.EntryVmId, Mapping[ids.ServiceName, float]] = _NO_WAITS
        self._owner_by_server: dict[tuple[ids.ServerId, ids.ZoneName], Owner] = {}
        self.owners: tuple[Owner, ...] = ()
        self.version = 0

    def announce(
        self,
        named: tuple[Owner, ...],
        *,
        entry_vms: int,
        waits_by_vm: Mapping[ids.EntryVmId, Mapping[ids.ServiceName, float]] = _NO_WAITS,
    ) -> None:
        """Take the owners in a heartbeat of the planner, or of this VM as the planner.

        Parameters
        ----------
        waits_by_vm : mapping
            Expected wait in seconds by service in the queues of the owners that have one.
        """
        self._announced_at = self._now()
        self._waits_by_vm = waits_by_vm
        self._entry_vms = entry_vms
        if named == self.owners:
            return
        _log.info(
            "queue owners: %s",
            ", ".join(owner.vm for owner in named) or "none",
            extra={"step": "forwarding"},
        )
        self.owners = named
        self._owner_by_server.clear()
        self.version += 1

    @property
    def is_forwarding(self) -> bool:
        """Whether calls are forwarded to owners."""
        is_valid = self._now() - self._announced_at <= LIST_VALID_S
        return bool(self.owners) and is_valid and self._entry_vms >= self._forwarding_vms_min

    def owner_of(self, server: ids.ServerId, zone: ids.ZoneName) -> Owner | None:
        """Return the owner of a server's queue; None if there are no owners."""
        if not self.owners:
            return None
        found = self._owner_by_server.get((server, zone))
        if found is None:
            if len(self._owner_by_server) >= SERVERS_REMEMBERED_MAX:
                self._owner_by_server.clear()
            in_zone = [owner for owner in self.owners if owner.zone == zone]
            found = max(in_zone or self.owners, key=lambda owner: _score(owner, server))
            self._owner_by_server[server, zone] = found
        return found

    def owns(self, server: ids.ServerId, zone: ids.ZoneName) -> bool:
        """Return whether this VM owns a server's queue."""
        owner = self.owner_of(server, zone)
        return owner is not None and owner.vm == self._vm

    def is_only_sender(self, server: ids.ServerId, zone: ids.ZoneName) -> bool:
        """Return whether this VM may rely on being the only owner of a server's queue."""
        return self._now() - self._announced_at <= EXCLUSIVE_S and self.owns(server, zone)

    def choose_by_slots(
        self, slots_by_owner: Mapping[Owner, int], service: ids.ServiceName
    ) -> Owner:
        """Return the owner with the shorter wait of two, chosen at random by their slots.

        The one with the shortest wait of all would get the requests of all entry VMs until the
        next heartbeat.
        """
        candidates = random.choices(tuple(slots_by_owner), tuple(slots_by_owner.values()), k=2)
        return min(candidates, key=lambda owner: self._wait_s(owner.vm, service))

    def _wait_s(self, vm: ids.EntryVmId, service: ids.ServiceName) -> float:
        return self._waits_by_vm.get(vm, {}).get(service, 0.0)

    def slots_by_owner(
        self, slots_by_server: Mapping[tuple[ids.ServerId, ids.ZoneName], int]
    ) -> dict[Owner, int]:
        """Return how many of the given slots belong to the servers of each owner."""
        slots: dict[Owner, int] = {}
        for (server, zone), count in slots_by_server.items():
            owner = self.owner_of(server, zone)
            if owner is not None:
                slots[owner] = slots.get(owner, 0) + count
        return slots
