"""Simplest implementations of the forwarder's ports."""

from __future__ import annotations

import itertools

from twisted.internet import defer

from celerystack import ids, model
from celerystack.peers import messages


class NoClaims:
    """Accepts every claim."""

    def claim(
        self, request_id: ids.RequestId, home_zone: ids.ZoneName | None, deadline: float
    ) -> defer.Deferred[messages.ClaimState]:
        """Accept."""
        return defer.succeed(messages.ClaimState.ACCEPTED)

    def finish(
        self,
        request_id: ids.RequestId,
        home_zone: ids.ZoneName | None,
        state: messages.ClaimState,
    ) -> None:
        """Do nothing."""


class NoLosses:
    """Quarantines nothing."""

    def server_lost(
        self, server_id: ids.ServerId, fingerprints_in_flight: tuple[ids.Fingerprint, ...]
    ) -> None:
        """Do nothing."""

    def is_quarantined(self, fingerprint: ids.Fingerprint) -> bool:
        """Return False."""
        return False


class RoundRobin:
    """Chooses servers in turn."""

    def __init__(self) -> None:
        self._turn = itertools.count()

    def choose(
        self, service: model.Service, servers: tuple[model.BackendServer, ...], now: float
    ) -> model.BackendServer | None:
        """Return the next server."""
        return servers[next(self._turn) % len(servers)] if servers else None

    def started(self, server: model.BackendServer, now: float) -> None:
        """Do nothing."""

    def finished(
        self, server: model.BackendServer, latency_s: float, outcome: model.Outcome, now: float
    ) -> None:
        """Do nothing."""


class UnlimitedRetries:
    """Grants every retry."""

    def on_request(self, now: float) -> None:
        """Do nothing."""

    def try_retry(self, now: float) -> bool:
        """Return True."""
        return True
