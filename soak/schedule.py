"""Fault schedule of a run, generated from its seed."""

from __future__ import annotations

import dataclasses
import enum
import random


class Fault(enum.Enum):
    """Faults that are injected into the system."""

    VM_KILL = "kill entry VMs"
    VM_STOP = "terminate an entry VM"
    VM_PAUSE = "pause an entry VM"
    VM_RELOAD = "send SIGHUP to an entry VM"
    ALL_VMS_KILL = "kill all entry VMs"
    STORE_REFUSES = "the store answers 503"
    STORE_LINK = "the link from entry VMs to the store fails"
    STORE_LOSES = "the store loses answers of writes"
    STORE_LATE = "the store carries writes out late"
    STORE_COMPACTS = "the store forgets its history"
    STORE_RETURNS = "the store comes back from an earlier copy"
    SERVER_RESTART = "a server ends and comes back under its id"
    SERVER_LEAVES = "a server drains and leaves, another one joins"
    SERVER_LINK = "the link to a server fails"
    SERVER_ENTRY = "the entry of a living server lapses for a while"
    FOREIGN_ENTRY = "another writer's entry names a living server"
    ORDERS_LATE = "a server carries orders out late"
    CONFIG = "the configuration changes"


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Event:
    """A fault that is in force from ``start_s`` to ``end_s``.

    Attributes
    ----------
    start_s, end_s : float
        Seconds since the start of fault injection.
    selector : int
        Random number that selects the affected VM or server and the variant of the fault.
    share : float
        Fraction of the VMs that are affected, for faults that affect several.
    """

    start_s: float
    end_s: float
    fault: Fault
    selector: int
    share: float


def generate(seed: int, *, fault_window_s: float, mean_gap_s: float = 1.5) -> tuple[Event, ...]:
    """Return the events of a seed: overlapping, and partly in series of the same fault."""
    rng = random.Random(seed)
    events: list[Event] = []
    start_s = rng.uniform(0.0, mean_gap_s)
    while start_s < fault_window_s:
        fault = rng.choice(list(Fault))
        for _ in range(rng.choice((1, 1, 1, 2, 3))):
            end_s = start_s + rng.choice((0.3, 1.0, 2.5, 6.0)) * rng.uniform(0.8, 1.2)
            events.append(
                Event(
                    start_s=round(start_s, 3),
                    end_s=round(min(end_s, fault_window_s), 3),
                    fault=fault,
                    selector=rng.randrange(1 << 16),
                    share=rng.choice((0.0, 0.0, 0.5, 1.0)),
                )
            )
            start_s += rng.uniform(0.05, 0.6)
        start_s += rng.expovariate(1 / mean_gap_s)
    return tuple(event for event in events if event.start_s < fault_window_s)
