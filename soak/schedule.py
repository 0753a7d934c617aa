"""Faults of a run, decided by its seed alone."""

from __future__ import annotations

import dataclasses
import enum
import random


class Fault(enum.Enum):
    """What is done to the system from outside."""

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
    SERVER_RESTART = "a server ends and comes back under its id"
    SERVER_LEAVES = "a server drains and leaves, another one joins"
    SERVER_LINK = "the link to a server fails"
    SERVER_ENTRY = "the entry of a living server lapses for a while"
    ORDERS_LATE = "a server carries orders out late"
    CONFIG = "the configuration changes"


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Event:
    """A fault between two moments, in seconds from the start of the faults.

    Attributes
    ----------
    choice : int
        Decides which VM, server and variant the fault strikes.
    share : float
        Part of the VMs that it strikes, if it strikes several.
    """

    at: float
    until: float
    fault: Fault
    choice: int
    share: float


def draw(seed: int, *, length_s: float, gap_s: float = 1.5) -> tuple[Event, ...]:
    """Return the events of a seed; they overlap and come in series."""
    chance = random.Random(seed)
    events: list[Event] = []
    at = chance.uniform(0.0, gap_s)
    while at < length_s:
        fault = chance.choice(list(Fault))
        for _ in range(chance.choice((1, 1, 1, 2, 3))):
            until = at + chance.choice((0.3, 1.0, 2.5, 6.0)) * chance.uniform(0.8, 1.2)
            events.append(
                Event(
                    at=round(at, 3),
                    until=round(min(until, length_s), 3),
                    fault=fault,
                    choice=chance.randrange(1 << 16),
                    share=chance.choice((0.0, 0.0, 0.5, 1.0)),
                )
            )
            at += chance.uniform(0.05, 0.6)
        at += chance.expovariate(1 / gap_s)
    return tuple(event for event in events if event.at < length_s)
