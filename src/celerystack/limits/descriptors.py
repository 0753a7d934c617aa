"""Share of a process's file descriptors that the connections of callers may use."""

from __future__ import annotations

import resource

RESERVED_DESCRIPTORS = 200
"""Descriptors that are kept for files and listeners."""
CALLERS_SHARE = 0.7
"""Fraction of the other descriptors for callers; the rest is for connections to servers, other
entry VMs and the store."""


def process_limit(setting: int | None) -> int:
    """Return the descriptors that the process may open, by its setting and by the system."""
    system_limit, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    if system_limit == resource.RLIM_INFINITY:
        return setting or 2**20
    return min(setting or system_limit, system_limit)


def caller_connections_max(descriptors: int) -> int:
    """Return the largest number of connections of callers, at least 1."""
    return max(1, int((descriptors - RESERVED_DESCRIPTORS) * CALLERS_SHARE))
