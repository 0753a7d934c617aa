"""Protocols that request forwarding needs from the rest of the process."""

from __future__ import annotations

from typing import Protocol

from twisted.internet import defer

from celerystack import ids, model
from celerystack.backend import http
from celerystack.peers import messages


class RouteSource(Protocol):
    """Services, servers and routes as this entry VM currently knows them."""

    def service_for(self, path: str) -> model.Service | None:
        """Return the service that owns a path prefix; None if there is none."""

    def key_for(self, service: model.Service, path: str, headers: http.HeaderList) -> str | None:
        """Return the key of a request; None if it is missing. Header names are in lower case."""

    def route(self, service: model.Service, key_hash: ids.KeyHash) -> model.RouteResult:
        """Return the owner of a key hash for a new attempt, which is counted as traffic."""

    def current_route(self, service: model.Service, key_hash: ids.KeyHash) -> model.RouteResult:
        """Return the owner of a key hash, to check an attempt again; counts nothing."""

    def servers(self, service: model.Service) -> tuple[model.BackendServer, ...]:
        """Return the usable servers of a service that is not divided by key."""

    def server(self, server_id: ids.ServerId) -> model.BackendServer | None:
        """Return a declared server; None if it is not declared."""

    def may_send(self, server: model.BackendServer) -> bool:
        """Return whether a request may be written to a server in this reactor turn."""

    def wait_for_change(self, service: model.Service) -> defer.Deferred[None]:
        """Return a Deferred that fires at the next change of a service's routes.

        Each call returns a Deferred of its own, which the caller may cancel.
        """


class ClaimPort(Protocol):
    """Claims of request ids at the holders of a zone."""

    def claim(
        self, request_id: ids.RequestId, home_zones: tuple[ids.ZoneName, ...], deadline: float
    ) -> defer.Deferred[messages.ClaimState]:
        """Claim a request id for one run.

        Fires with ACCEPTED if every holder accepted, else with the state of the earlier claim;
        fails if a holder did not answer. Cancelling it means that the request was not sent, so what
        was claimed may be released. ``home_zones`` has the zone of the key's owner first, then
        those of its owners before; it is empty for a service that is not divided by key: the port
        then takes the zone by rendezvous hash of the id.
        """

    def finish(
        self,
        request_id: ids.RequestId,
        home_zones: tuple[ids.ZoneName, ...],
        state: messages.ClaimState,
    ) -> None:
        """Record the final state of an accepted claim; NOT_RUN releases it."""


class LossPort(Protocol):
    """Record of losses and of requests that were in flight at them."""

    def server_lost(
        self, server_id: ids.ServerId, fingerprints_in_flight: tuple[ids.Fingerprint, ...]
    ) -> None:
        """Record that every exchange in flight at a server broke at the same time."""

    def completed(self, fingerprint: ids.Fingerprint) -> None:
        """Record that a request ran to its end and its whole answer arrived."""

    def is_quarantined(self, fingerprint: ids.Fingerprint) -> bool:
        """Return whether requests with a fingerprint are rejected."""


class Chooser(Protocol):
    """Choice of a server for services that are not divided by key."""

    def choose(
        self, service: model.Service, servers: tuple[model.BackendServer, ...], now: float
    ) -> model.BackendServer | None:
        """Return the server for the next request; None if none is suitable."""

    def started(self, server: model.BackendServer, now: float) -> None:
        """Record that a request was assigned to a server, where it may wait for a place."""

    def finished(
        self, server: model.BackendServer, latency_s: float, outcome: model.Outcome, now: float
    ) -> None:
        """Record the end of a request that was started.

        ``latency_s`` counts from the end of its wait in this entry VM; 0 if it was not sent.
        """


class RetryBudget(Protocol):
    """Bound on retries as a part of traffic."""

    def on_request(self, now: float) -> None:
        """Count a request from a caller."""

    def try_retry(self, now: float) -> bool:
        """Take one retry from the budget; False if it is exhausted."""
