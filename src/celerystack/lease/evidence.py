"""Evidence that the process of a backend server is gone."""

from __future__ import annotations

import enum
from collections.abc import Iterable

from celerystack import ids, model


class Evidence(enum.Enum):
    """Why a server's process is known to be gone."""

    RELEASED_BY_OPERATOR = "released by operator"
    DELISTED = "delisted"


class ListingHistory:
    """Servers that the membership list named at least once since this process started.

    A server that was never listed may run without being listed, so its absence proves nothing.
    """

    def __init__(self) -> None:
        self._seen: set[ids.ServerId] = set()
        self._listed: frozenset[ids.ServerId] = frozenset()

    def observe(self, listed: Iterable[ids.ServerId]) -> None:
        """Record one complete, successfully read membership list."""
        self._listed = frozenset(listed)
        self._seen |= self._listed

    def is_delisted(self, server: ids.ServerId) -> bool:
        """Return whether the list once named the server and no longer does."""
        return server in self._seen and server not in self._listed


def from_delisting(
    history: ListingHistory,
    *,
    server: ids.ServerId,
    zone: ids.ZoneName,
    connected_zones: frozenset[ids.ZoneName],
    zone_loss: model.ZoneLossPolicy,
) -> Evidence | None:
    """Return `Evidence.DELISTED` if the membership list proves the server's loss.

    Parameters
    ----------
    zone : ZoneName
        Zone of the server.
    connected_zones : frozenset of ZoneName
        Zones with an entry VM from which heartbeats arrive here, including the own zone.
    zone_loss : ZoneLossPolicy
        Declaration of the server's service.

    Returns
    -------
    Evidence or None
        None also if the zone may only be partitioned from this entry VM.
    """
    if not history.is_delisted(server):
        return None
    if zone in connected_zones or zone_loss is model.ZoneLossPolicy.TAKE:
        return Evidence.DELISTED
    return None
