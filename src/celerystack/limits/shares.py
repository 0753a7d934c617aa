"""Division of a server's connections among the entry VMs.

The sum of all shares stays within the limit while entry VMs join and leave. Every entry VM divides
the limit by the number of entry VMs that it has seen within the last `GROW_DELAY_S`, including
itself, and takes no share during the first `JOIN_DELAY_S` after its start. Every peer thus counts a
joining entry VM before it opens a connection, and a share grows only after an entry VM that left
has been absent for `GROW_DELAY_S`.

The sum can exceed the limit if a peer needs longer than `JOIN_DELAY_S` to detect a joining entry
VM, or if an entry VM still holds connections after an absence of `GROW_DELAY_S`, as in a long
network partition.
"""

from __future__ import annotations

from collections.abc import Collection

from celerystack import ids

RESERVED_ORDER_CONNECTIONS = 6
"""Connections of each server reserved for orders: two for each of a server's three lessors.

A lessor is an entry VM that grants and renews a server's lease; `celerystack.lease.reconciliation`
chooses three, `celerystack.ranges.lessor` two."""

JOIN_DELAY_S = 1.0
"""Longer than `timing.PEER_DOWN_S`, so that a peer which has not detected the joining entry VM by
then is itself considered down."""

GROW_DELAY_S = 10.0
"""Covers short network partitions and pauses, during which an entry VM keeps its connections."""


def equal_share(*, connections: int, entry_vms: int) -> int:
    """Return one entry VM's share of a server's connections.

    Parameters
    ----------
    connections : int
        Connections that the server allows.
    entry_vms : int
        Number of entry VMs that share them; 0 if this one takes no share yet.

    Returns
    -------
    int
        Number of connections; 0 if there are fewer available connections than entry VMs.
    """
    if entry_vms == 0:
        return 0
    return max(0, connections - RESERVED_ORDER_CONNECTIONS) // entry_vms


class EntryVmCount:
    """Counts the entry VMs among which one entry VM must divide the connections.

    Parameters
    ----------
    self_vm : EntryVmId
        Id of this entry VM, which is always counted.
    started_at : float
        Monotonic time in seconds at which this entry VM became visible to its peers.
    """

    def __init__(self, self_vm: ids.EntryVmId, *, started_at: float) -> None:
        self._self_vm = self_vm
        self._join_at = started_at + JOIN_DELAY_S
        self._last_seen_by_vm: dict[ids.EntryVmId, float] = {}

    def update(self, live: Collection[ids.EntryVmId], now: float) -> None:
        """Record the entry VMs that are live at the time ``now``."""
        for vm in live:
            self._last_seen_by_vm[vm] = now
        oldest = now - GROW_DELAY_S
        for vm in [vm for vm, seen in self._last_seen_by_vm.items() if seen < oldest]:
            del self._last_seen_by_vm[vm]

    def count(self, now: float) -> int:
        """Return the number of entry VMs seen within `GROW_DELAY_S`, including this one.

        Returns 0 during the first `JOIN_DELAY_S`, while this entry VM takes no share.
        """
        if now < self._join_at:
            return 0
        oldest = now - GROW_DELAY_S
        return 1 + sum(
            seen >= oldest for vm, seen in self._last_seen_by_vm.items() if vm != self._self_vm
        )
