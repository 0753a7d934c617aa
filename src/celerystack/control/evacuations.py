"""Reports when the evacuation of a zone begins and ends on this entry VM."""

from __future__ import annotations

import logging

from celerystack import ids
from celerystack.control import view as cluster_view
from celerystack.observe import metrics

_STEP = "evacuation"

_log = logging.getLogger(__name__)


class EvacuationReports:
    """Writes log lines and metrics about evacuated zones.

    A zone counts as evacuated while this entry VM has the row ``evacuate/<zone>`` and servers are
    declared in the zone.
    """

    def __init__(self, *, view: cluster_view.ClusterView, counters: metrics.Metrics) -> None:
        self._view = view
        self._counters = counters
        self._zones: frozenset[ids.ZoneName] = frozenset()
        self._services: frozenset[ids.ServiceName] = frozenset()
        self._is_whole_cluster = False
        view.add_listener(self._view_changed)

    def _view_changed(self, change: cluster_view.ViewChange) -> None:
        if change.configuration or change.zones:
            self._report_zones()
            self._report_services()
            self._report_whole_cluster()

    def _report_zones(self) -> None:
        zones = self._view.evacuated_zones()
        for zone in sorted(zones - self._zones):
            self._counters.set_zone_evacuated(zone, True)
            _log.warning(
                "evacuation of zone %s begins: its servers get no new requests, its shards move "
                "to other zones",
                zone,
                extra={"step": _STEP},
            )
        for zone in sorted(self._zones - zones):
            self._counters.set_zone_evacuated(zone, False)
            _log.warning("evacuation of zone %s ends", zone, extra={"step": _STEP})
        self._zones = zones

    def _report_services(self) -> None:
        services = self._view.evacuated_services()
        for service in sorted(services - self._services):
            _log.error(
                "service %s has servers in evacuated zones only: its requests are rejected",
                service,
                extra={"step": _STEP},
            )
        self._services = services

    def _report_whole_cluster(self) -> None:
        zones = self._view.configuration.server_zones()
        is_whole_cluster = bool(zones) and zones == self._zones
        if is_whole_cluster and not self._is_whole_cluster:
            _log.error(
                "all zones with servers are evacuated: no request is sent to any server",
                extra={"step": _STEP},
            )
        self._is_whole_cluster = is_whole_cluster
