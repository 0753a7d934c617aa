"""Evidence that the process of a backend server is gone."""

from __future__ import annotations

import enum
from collections.abc import Iterable, Mapping

from celerystack import ids, model


class Evidence(enum.Enum):
    """Why a server's process is known to be gone."""

    RELEASED_BY_OPERATOR = "released by operator"
    DELISTED = "delisted"


class ListingHistory:
    """Servers that the membership list named at least once since this process started.

    A server that was never listed may run without being listed, so its absence proves nothing. The
    same holds for a process that started after the list last named its server: the list lags, and
    the absence may still stand for the previous process.
    """

    def __init__(self) -> None:
        self._listed: frozenset[ids.ServerId] = frozenset()
        self._named: dict[ids.ServerId, ids.Incarnation] = {}

    def observe(
        self,
        listed: Iterable[ids.ServerId],
        *,
        incarnations_by_server: Mapping[ids.ServerId, ids.Incarnation],
    ) -> None:
        """Record one complete, successfully read membership list.

        Parameters
        ----------
        incarnations_by_server : Mapping
            The incarnation in each server's newest row when the list was read.
        """
        self._listed = frozenset(listed)
        for server in self._listed:
            if server in incarnations_by_server:
                self._named[server] = incarnations_by_server[server]

    def is_delisted(self, server: ids.ServerId, incarnation: ids.Incarnation) -> bool:
        """Return whether the list named the server with this process and no longer does."""
        return self._named.get(server) == incarnation and server not in self._listed


def from_delisting(
    history: ListingHistory,
    *,
    row: model.ServerRow,
    zone: ids.ZoneName,
    connected_zones: frozenset[ids.ZoneName],
    zone_loss: model.ZoneLossPolicy,
) -> Evidence | None:
    """Return `Evidence.DELISTED` if the membership list proves the server's loss.

    Parameters
    ----------
    row : ServerRow
        The row that the takeover started from.
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
    if not history.is_delisted(row.server, row.incarnation):
        return None
    if zone in connected_zones or zone_loss is model.ZoneLossPolicy.TAKE:
        return Evidence.DELISTED
    return None
