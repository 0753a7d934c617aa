"""Shares of a server's connections among entry VMs.

Rule that keeps the sum of all shares within the limit while entry VMs come and go: every entry VM
divides the limit by the number of entry VMs that it has seen within the last `GROW_DELAY_S`, itself
included, and an entry VM takes no share during the first `JOIN_DELAY_S` of its life. A newcomer is
thus counted by every peer before it opens a connection, and a share grows only when the entry VM
that left has been absent for `GROW_DELAY_S`.

The sum can exceed the limit if a peer needs longer than `JOIN_DELAY_S` to hear of a newcomer, or if
an entry VM that is absent for `GROW_DELAY_S` still holds connections, as in a long partition.
"""

from __future__ import annotations

from collections.abc import Collection

from celerystack import ids

ORDER_CONNECTIONS = 6
"""Connections of each server kept free for orders: two from each of three lessors."""

JOIN_DELAY_S = 1.0
"""Longer than `timing.PEER_DOWN_S`: a peer that has heard nothing of a newcomer for this long is
itself considered down."""

GROW_DELAY_S = 10.0
"""Covers short partitions and pauses, after which the absent entry VM still holds connections."""


def equal_share(*, connections: int, entry_vms: int) -> int:
    """Return one entry VM's share of a server's connections.

    Parameters
    ----------
    connections : int
        Connections that the server allows.
    entry_vms : int
        Entry VMs that share them; 0 if this one takes no share yet.

    Returns
    -------
    int
        0 if there are fewer connections than entry VMs.
    """
    if entry_vms == 0:
        return 0
    return max(0, connections - ORDER_CONNECTIONS) // entry_vms


class EntryVmCount:
    """Number of entry VMs that one entry VM must share with.

    Parameters
    ----------
    self_vm : EntryVmId
        This entry VM, always counted.
    started_at : float
        Monotonic time in seconds at which this entry VM became visible to its peers.
    """

    def __init__(self, self_vm: ids.EntryVmId, *, started_at: float) -> None:
        self._self_vm = self_vm
        self._join_at = started_at + JOIN_DELAY_S
        self._last_seen_by_vm: dict[ids.EntryVmId, float] = {}

    def update(self, live: Collection[ids.EntryVmId], now: float) -> None:
        """Record the entry VMs that are live now."""
        for vm in live:
            self._last_seen_by_vm[vm] = now
        oldest = now - GROW_DELAY_S
        for vm in [vm for vm, seen in self._last_seen_by_vm.items() if seen < oldest]:
            del self._last_seen_by_vm[vm]

    def count(self, now: float) -> int:
        """Return the number of entry VMs seen within `GROW_DELAY_S`, itself included.

        0 during the first `JOIN_DELAY_S`: no share yet.
        """
        if now < self._join_at:
            return 0
        oldest = now - GROW_DELAY_S
        return 1 + sum(
            seen >= oldest for vm, seen in self._last_seen_by_vm.items() if vm != self._self_vm
        )
