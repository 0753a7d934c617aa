"""Tells peers which requests may have crashed a server; implements `requests.ports.LossPort`."""

from __future__ import annotations

import logging

from twisted.internet import interfaces

from celerystack import ids, model
from celerystack.control import view as cluster_view
from celerystack.peers import mesh as peer_mesh
from celerystack.peers import messages
from celerystack.requests import quarantine

_log = logging.getLogger(__name__)


class LossesTask:
    """Maintains the quarantine of this entry VM and merges the suspects that peers report."""

    def __init__(
        self,
        clock: interfaces.IReactorTime,
        *,
        view: cluster_view.ClusterView,
        mesh: peer_mesh.Mesh,
    ) -> None:
        self._clock = clock
        self._view = view
        self._mesh = mesh
        self._quarantine = quarantine.Quarantine()
        mesh.add_handler(self._handle)

    def record_loss(
        self, server_id: ids.ServerId, fingerprints_in_flight: tuple[ids.Fingerprint, ...]
    ) -> None:
        """Record that the connections of all requests in flight at a server broke at once."""
        row = self._view.server_rows_by_id.get(server_id)
        if row is None:
            return
        _log.warning(
            "all connections to server %s broke with %d requests in flight",
            server_id,
            len(fingerprints_in_flight),
            extra={"step": "requests.loss", "peer": server_id},
        )
        report = self._quarantine.record_loss(
            server_id, row.incarnation, fingerprints_in_flight, self._clock.seconds()
        )
        if report is not None:
            self._mesh.broadcast(report)

    def is_quarantined(self, fingerprint: ids.Fingerprint) -> bool:
        """Return whether requests with a fingerprint are to be rejected."""
        return self._quarantine.is_quarantined(fingerprint, self._clock.seconds())

    def quarantine_s(self, fingerprint: ids.Fingerprint) -> float | None:
        """Return the rest of a fingerprint's quarantine in seconds; None if it has none."""
        until = self._quarantine.quarantined_until(fingerprint)
        rest_s = 0.0 if until is None else until - self._clock.seconds()
        return rest_s if rest_s > 0.0 else None

    def record_completion(self, fingerprint: ids.Fingerprint) -> None:
        """Clear a fingerprint whose complete response arrived."""
        for report in self._quarantine.record_completion(fingerprint, self._clock.seconds()):
            self._mesh.broadcast(report)

    def _handle(self, _sender: model.EntryVm, message: messages.Message) -> None:
        match message:
            case messages.Suspects():
                report = self._quarantine.merge(message, self._clock.seconds())
                if report is not None:
                    self._mesh.broadcast(report)
