"""Evidence that the process of a backend server has ended."""

from __future__ import annotations

import enum
from collections.abc import Iterable, Mapping

from celerystack import ids, model


class Evidence(enum.Enum):
    """How it is known that a server's process has ended."""

    RELEASED_BY_OPERATOR = "released by operator"
    DELISTED = "delisted"


class ListingHistory:
    """Servers that the membership list contained at least once since this process started.

    A server that was never listed may run without being listed, so its absence proves nothing. Nor
    does it prove that a process has ended which started after its server was last listed: the list
    lags behind, so the server may be absent because an earlier process of it ended.
    """

    def __init__(self) -> None:
        self._listed_servers: frozenset[ids.ServerId] = frozenset()
        self._last_listed_incarnation_by_server: dict[ids.ServerId, ids.Incarnation] = {}

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
            Incarnation in each server's newest row at the time when the list was read.
        """
        self._listed_servers = frozenset(listed)
        for server in self._listed_servers:
            if server in incarnations_by_server:
                self._last_listed_incarnation_by_server[server] = incarnations_by_server[server]

    def is_delisted(self, server: ids.ServerId, incarnation: ids.Incarnation) -> bool:
        """Return whether the server was listed while this process ran and no longer is."""
        return (
            self._last_listed_incarnation_by_server.get(server) == incarnation
            and server not in self._listed_servers
        )


def from_delisting(
    history: ListingHistory,
    *,
    row: model.ServerRow,
    zone: ids.ZoneName,
    connected_zones: frozenset[ids.ZoneName],
    zone_loss: model.ZoneLossPolicy,
) -> Evidence | None:
    """Return `Evidence.DELISTED` if the membership list proves that the process has ended.

    Parameters
    ----------
    row : ServerRow
        The row that the takeover started from.
    zone : ZoneName
        Zone of the server.
    connected_zones : frozenset of ZoneName
        Zones with an entry VM from which heartbeats arrive here, including this entry VM's zone.
    zone_loss : ZoneLossPolicy
        The ``zone_loss`` setting of the server's service.

    Returns
    -------
    Evidence or None
        None also if the server's zone may only be partitioned from this entry VM.
    """
    if not history.is_delisted(row.server, row.incarnation):
        return None
    if zone in connected_zones or zone_loss is model.ZoneLossPolicy.TAKE:
        return Evidence.DELISTED
    return None
