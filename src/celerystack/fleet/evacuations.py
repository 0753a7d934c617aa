"""Availability zones whose servers must get no requests, as operators ask for in the store."""

from __future__ import annotations

import dataclasses
import logging
from collections.abc import Callable, Collection, Mapping

from celerystack import ids
from celerystack.fleet import directory_sync

_log = logging.getLogger(__name__)

MOVE_SHARE = 0.6
"""Share of the time until an evacuation is binding in which servers of the zone still get requests
for keys that they own, while these keys move. The rest covers entry VMs that learn of it late."""


@dataclasses.dataclass(frozen=True, slots=True)
class Evacuation:
    """An evacuated zone and the age in seconds of the earliest possible request to evacuate it."""

    zone: ids.ZoneName
    age_s: float


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class EvacuationList:
    """All evacuated zones at a version of the store, which was read ``age_s`` seconds ago."""

    version: ids.RowVersion
    age_s: float
    evacuations: tuple[Evacuation, ...]


class Evacuations:
    """Tracks the evacuated zones, from own reads of the store or from the planner's heartbeats.

    Each entry VM keeps its list while the store is unavailable. Lists are compared by the store
    version up to which the operators' rows were read, so an older one changes nothing. After the
    store came back from an earlier copy, evacuations that the copy lacks stay for a moment, until
    the operators have written them again.

    Parameters
    ----------
    binding_after_s : float
        Time in seconds after the store's acknowledgement at which no request may reach the zone.
    now : callable
        Clock in seconds.

    Attributes
    ----------
    version : RowVersion
        Store version up to which the evacuated zones are known.
    """

    def __init__(self, *, binding_after_s: float, now: Callable[[], float]) -> None:
        self._move_s = MOVE_SHARE * binding_after_s
        self._now = now
        self._requested_at_by_zone: dict[ids.ZoneName, float] = {}
        self._read_at = float("-inf")
        self._kept_until = float("-inf")
        self._listeners: list[Callable[[], None]] = []
        self.version = directory_sync.UNKNOWN

    def on_change(self, listener: Callable[[], None]) -> None:
        """Call ``listener`` after each change of the evacuated zones."""
        self._listeners.append(listener)

    @property
    def zones(self) -> frozenset[ids.ZoneName]:
        """Evacuated zones, to which no keys are given and no unsharded requests are sent."""
        return frozenset(self._requested_at_by_zone)

    def closed_zones(self) -> frozenset[ids.ZoneName]:
        """Return the zones whose servers get no requests at all any more."""
        closed_before = self._now() - self._move_s
        return frozenset(
            zone
            for zone, requested_at in self._requested_at_by_zone.items()
            if requested_at <= closed_before
        )

    def list_all(self) -> EvacuationList | None:
        """Return the list for other entry VMs; None if the operators' rows were never read."""
        if self.version == directory_sync.UNKNOWN:
            return None
        now = self._now()
        return EvacuationList(
            version=self.version,
            age_s=now - self._read_at,
            evacuations=tuple(
                Evacuation(zone, now - requested_at)
                for zone, requested_at in sorted(self._requested_at_by_zone.items())
            ),
        )

    def apply_scan(
        self, zones: Collection[ids.ZoneName], version: ids.RowVersion, started_at: float
    ) -> None:
        """Apply a read of all operators' rows that began at ``started_at``."""
        if version >= self.version:
            if self._now() < self._kept_until:
                zones = self._requested_at_by_zone.keys() | set(zones)
            requested_at = dict.fromkeys(zones, self._read_at)
            self._replace(requested_at | self._known(zones), version, started_at)

    def keep_until(self, deadline: float) -> None:
        """Keep evacuations that a read of all rows lacks until a time of the clock in seconds."""
        self._kept_until = deadline

    def apply_changes(
        self,
        present_by_zone: Mapping[ids.ZoneName, bool],
        version: ids.RowVersion,
        started_at: float,
    ) -> None:
        """Apply the changes of the operators' rows that a read returned.

        Parameters
        ----------
        present_by_zone : mapping
            Whether the row that evacuates a zone exists now, for the rows that changed.
        """
        if version < self.version:
            return
        changed = dict(self._requested_at_by_zone)
        for zone, present in present_by_zone.items():
            if present:
                changed.setdefault(zone, self._read_at)
            else:
                changed.pop(zone, None)
        self._replace(changed, version, started_at)

    def apply_announced(self, announced: EvacuationList) -> None:
        """Apply the list in a heartbeat of the planner."""
        if announced.version < self.version:
            return
        now = self._now()
        known = self._requested_at_by_zone
        # Both times are lower bounds; one of a planner that has just started is infinitely old.
        requested_at = {
            evacuation.zone: max(now - evacuation.age_s, known.get(evacuation.zone, float("-inf")))
            for evacuation in announced.evacuations
        }
        self._replace(requested_at, announced.version, now - announced.age_s)

    def _known(self, zones: Collection[ids.ZoneName]) -> dict[ids.ZoneName, float]:
        return {
            zone: requested_at
            for zone, requested_at in self._requested_at_by_zone.items()
            if zone in zones
        }

    def _replace(
        self,
        requested_at_by_zone: dict[ids.ZoneName, float],
        version: ids.RowVersion,
        read_at: float,
    ) -> None:
        before = self._requested_at_by_zone
        self._requested_at_by_zone = requested_at_by_zone
        self.version = version
        self._read_at = max(self._read_at, read_at)
        begun = requested_at_by_zone.keys() - before.keys()
        ended = before.keys() - requested_at_by_zone.keys()
        for zone in sorted(begun):
            _log.info("zone %s is evacuated", zone, extra={"step": "evacuation"})
        for zone in sorted(ended):
            _log.info("the evacuation of zone %s has ended", zone, extra={"step": "evacuation"})
        if begun or ended:
            for listener in self._listeners:
                listener()
