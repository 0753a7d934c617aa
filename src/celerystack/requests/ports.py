"""Protocols of what request forwarding uses from the rest of the process."""

from __future__ import annotations

from typing import Protocol

from twisted.internet import defer

from celerystack import ids, model
from celerystack.backend import http
from celerystack.peers import messages


class RouteSource(Protocol):
    """Services, servers and routes in the current view of this entry VM."""

    def service_for(self, path: str) -> model.Service | None:
        """Return the service that owns a path prefix; None if there is none."""

    def request_key(
        self, service: model.Service, path: str, headers: http.HeaderList
    ) -> str | None:
        """Return the key of a request; None if it is missing. Header names are in lower case."""

    def route(self, service: model.Service, key_hash: ids.KeyHash) -> model.RouteResult:
        """Return the owner of a key hash for a new attempt; counts the lookup as traffic."""

    def current_route(self, service: model.Service, key_hash: ids.KeyHash) -> model.RouteResult:
        """Return the owner of a key hash to recheck an attempt; does not count as traffic."""

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
    """Claims of request ids at the holders in the home zones."""

    def claim(
        self, request_id: ids.RequestId, home_zones: tuple[ids.ZoneName, ...], deadline: float
    ) -> defer.Deferred[messages.ClaimState]:
        """Claim a request id for one run.

        Fires with ACCEPTED if every holder accepted, else with the state of the earlier claim;
        fails if a holder did not answer. Cancelling the Deferred means that the request was not
        sent, so the claim may be released.

        Parameters
        ----------
        home_zones : tuple of ZoneName
            Zone of the key's owner, then the zones of its previous owners. Empty for a service that
            is not divided by key; the zone is then chosen by rendezvous hash of the id.
        deadline : float
            Deadline of the request: monotonic time in seconds.
        """

    def record_final_state(
        self,
        request_id: ids.RequestId,
        home_zones: tuple[ids.ZoneName, ...],
        state: messages.ClaimState,
    ) -> None:
        """Record the final state of an accepted claim; NOT_RUN releases it."""


class LossPort(Protocol):
    """Records losses of servers and the requests that were in flight on them."""

    def record_loss(
        self, server_id: ids.ServerId, fingerprints_in_flight: tuple[ids.Fingerprint, ...]
    ) -> None:
        """Record that every exchange in flight on a server broke at the same time."""

    def record_completion(self, fingerprint: ids.Fingerprint) -> None:
        """Record that the complete response to a request arrived."""

    def is_quarantined(self, fingerprint: ids.Fingerprint) -> bool:
        """Return whether requests with this fingerprint must be rejected."""


class Chooser(Protocol):
    """Choice of a server for services that are not divided by key."""

    def choose(
        self, service: model.Service, servers: tuple[model.BackendServer, ...], now: float
    ) -> model.BackendServer | None:
        """Return the server for the next request; None if none is suitable."""

    def started(self, server: model.BackendServer, now: float) -> None:
        """Record that a request was assigned to a server; it may wait in the server's queue."""

    def finished(
        self, server: model.BackendServer, latency_s: float, outcome: model.Outcome, now: float
    ) -> None:
        """Record the end of a request that was started.

        ``latency_s`` does not include the wait in this entry VM; 0 if the request was not sent.
        """


class RetryBudget(Protocol):
    """Limit on retries, as a fraction of the requests."""

    def on_request(self, now: float) -> None:
        """Count a request from a caller."""

    def try_retry(self, now: float) -> bool:
        """Take one retry from the budget; False if it is exhausted."""
