"""Keeps the range maps that this entry VM uses, and when each was last known to be current."""

from __future__ import annotations

import dataclasses
import logging
from collections.abc import Callable

from twisted.internet import defer

from celerystack import ids
from celerystack.fleet import rows
from celerystack.ranges import model

_log = logging.getLogger(__name__)


@dataclasses.dataclass(slots=True)
class KnownMap:
    """A range map, its row version, and the clock time at which it was last known to be current."""

    ranges: model.RangeMap
    version: int
    confirmed_at: float


class RangeMaps:
    """The newest known range map of each service."""

    def __init__(self) -> None:
        self.by_service: dict[ids.ServiceName, KnownMap] = {}
        self._listeners: list[Callable[[ids.ServiceName], None]] = []
        self._waiting_by_service: dict[ids.ServiceName, list[defer.Deferred[None]]] = {}

    def on_change(self, listener: Callable[[ids.ServiceName], None]) -> None:
        """Call ``listener`` with the service whenever a new version of its map is adopted."""
        self._listeners.append(listener)

    def versions(self) -> dict[ids.ServiceName, int]:
        """Return the row version of each service's map."""
        return {service: known.version for service, known in self.by_service.items()}

    def versions_in(self, era: ids.StoreEra) -> dict[ids.ServiceName, int]:
        """Return the row version of each service's map that was written in an era of the store."""
        return {
            service: version
            for service, version in self.versions().items()
            if rows.era_of(ids.RowVersion(version)) == era
        }

    def find(self, service: ids.ServiceName, key: int) -> model.Segment | None:
        """Return the segment of a key; None if no map is known."""
        known = self.by_service.get(service)
        return None if known is None else known.ranges.find(key)

    def version_and_confirmation(self, service: ids.ServiceName) -> tuple[int, float]:
        """Return a map's row version and when it was last current; zeros if none is known."""
        known = self.by_service.get(service)
        return (0, 0.0) if known is None else (known.version, known.confirmed_at)

    def adopt(self, ranges: model.RangeMap, version: int, confirmed_at: float) -> None:
        """Use a map that was current at ``confirmed_at``; older versions are ignored."""
        known = self.by_service.get(ranges.service)
        if known is not None and version <= known.version:
            if version == known.version:
                known.confirmed_at = max(known.confirmed_at, confirmed_at)
            return
        self.by_service[ranges.service] = KnownMap(ranges, version, confirmed_at)
        _log.info(
            "adopted range map version %d with %d segments",
            version,
            len(ranges.segments),
            extra={"step": "ranges.adopt", "service": ranges.service},
        )
        for listener in self._listeners:
            listener(ranges.service)
        waiting = self._waiting_by_service.pop(ranges.service, [])
        for done in waiting:
            if not done.called:
                done.callback(None)

    def confirm(self, versions_by_service: dict[ids.ServiceName, int], confirmed_at: float) -> None:
        """Record that these versions were current at ``confirmed_at``."""
        for service, version in versions_by_service.items():
            known = self.by_service.get(service)
            if known is not None and known.version == version:
                known.confirmed_at = max(known.confirmed_at, confirmed_at)

    def changed(self, service: ids.ServiceName) -> defer.Deferred[None]:
        """Return a Deferred that fires when a newer map is adopted; it may be cancelled."""
        waiting = self._waiting_by_service.setdefault(service, [])
        done: defer.Deferred[None] = defer.Deferred(waiting.remove)
        waiting.append(done)
        return done
