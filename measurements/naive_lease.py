"""Seeded model of a naive system in which a leader renews all servers' leases in the table.

Every `RENEW_S` the leader checks all servers and renews, in one transaction, its own leadership row
and the lease rows of the servers that answered. When a server's lease has expired, the leader
reassigns its keys. The other entry VMs read the leadership row every `RENEW_S`; the first one that
finds it expired becomes leader and renews at once. A server serves only while its lease is valid.
"""

from __future__ import annotations

import dataclasses
import random

LEASE_S = 3.0
RENEW_S = 1.0


@dataclasses.dataclass(frozen=True)
class Latencies:
    """Durations of a transaction and of an order to a server, measured at the stand-ins."""

    transaction_s: float
    order_s: float


class NaiveLease:
    """Samples unavailable times; each call is one trial.

    Parameters
    ----------
    entry_vms : int
        Entry VMs, of which one is the leader.
    """

    def __init__(self, latencies: Latencies, *, entry_vms: int, seed: int) -> None:
        self._latencies = latencies
        self._entry_vms = entry_vms
        self._rng = random.Random(seed)

    def server_lost(self) -> float:
        """Return the unavailable time in seconds after a server was killed or suspended."""
        since_check = self._rng.uniform(0.0, RENEW_S)
        return LEASE_S - since_check + self._handover_s()

    def entry_vm_lost(self, *, leader: bool) -> float:
        """Return the unavailable time in seconds after an entry VM was killed.

        The servers' leases were renewed together with the leadership row and expire with it, so
        no key is served until another entry VM has become leader and has renewed the leases.
        """
        if not leader:
            return 0.0
        polls = [self._rng.uniform(0.0, RENEW_S) for _ in range(self._entry_vms - 1)]
        return min(polls) + self._handover_s()

    def store_outage(self, outage_s: float) -> float:
        """Return the unavailable time in seconds around an outage of the table."""
        since_renewal = self._rng.uniform(0.0, RENEW_S)
        until_retry = min(self._rng.uniform(0.0, RENEW_S) for _ in range(self._entry_vms))
        return outage_s - (LEASE_S - since_renewal) + until_retry + self._handover_s()

    def _handover_s(self) -> float:
        return self._latencies.transaction_s + self._latencies.order_s
