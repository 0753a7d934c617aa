"""HTTP client of the platform adapters, with a connection pool and a timeout for every call."""

from __future__ import annotations

import dataclasses
import io
import json
from collections.abc import Callable
from typing import Any, TypeVar

from twisted.internet import defer, endpoints, error, interfaces, protocol
from twisted.python import failure
from twisted.web import client, http_headers, iweb
from zope.interface import implementer

from celerystack import errors

T = TypeVar("T")

STATUS_OK = 200
STATUS_NO_CONTENT = 204
STATUS_NOT_FOUND = 404
STATUS_CONFLICT = 409
STATUS_UNAVAILABLE = 503

POOL_CONNECTIONS = 8
POOL_IDLE_S = 20.0
"""Shorter than the platform's idle timeout of 60 s, so that a call rarely uses a connection that
the platform is closing."""

CONNECT_SHARE = 0.5
"""Share of the call timeout that connecting may take. It is below 1, so that a failed connection
attempt is reported as a request that was never sent, not as a lost response."""


@dataclasses.dataclass(frozen=True)
class Response:
    """Status and complete body of an HTTP response."""

    status: int
    body: bytes


@implementer(iweb.IAgentEndpointFactory)
class _AddressEndpoints:
    """Connects to numeric addresses without a name resolver."""

    def __init__(self, reactor: interfaces.IReactorTCP, connect_timeout_s: float) -> None:
        self._reactor = reactor
        self._connect_timeout_s = connect_timeout_s

    def endpointForURI(self, uri: client.URI) -> interfaces.IStreamClientEndpoint:  # noqa: N802
        """Return the endpoint of the address in ``uri``."""
        host = uri.host.decode("ascii").strip("[]")
        endpoint_type = (
            endpoints.TCP6ClientEndpoint if ":" in host else endpoints.TCP4ClientEndpoint
        )
        return endpoint_type(self._reactor, host, uri.port, timeout=self._connect_timeout_s)


class _BodyCollector(protocol.Protocol):
    """Collects a response body; ``done`` fails if the body is incomplete."""

    def __init__(self) -> None:
        self._parts: list[bytes] = []
        self.done: defer.Deferred[bytes] = defer.Deferred(self._cancel)

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Append a part of the body."""
        self._parts.append(data)

    def connectionLost(self, reason: failure.Failure = protocol.connectionDone) -> None:  # noqa: N802
        """Fire ``done`` at the end of the body or of the connection."""
        if self.done.called:
            return
        if reason.check(client.ResponseDone):
            self.done.callback(b"".join(self._parts))
        else:
            self.done.errback(reason)

    def _cancel(self, _done: defer.Deferred[bytes]) -> None:
        if self.transport is not None:
            self.transport.loseConnection()


class PlatformHttp:
    """HTTP client of one platform service.

    Parameters
    ----------
    address : str
        ``IP:port`` of the service.
    timeout_s : float
        Limit of each call in seconds, from the first byte sent to the last byte received.
    """

    def __init__(self, reactor: Any, address: str, *, timeout_s: float) -> None:
        self._reactor = reactor
        self._timeout_s = timeout_s
        self.address = address
        self._pool = client.HTTPConnectionPool(reactor, persistent=True)
        self._pool.maxPersistentPerHost = POOL_CONNECTIONS
        self._pool.cachedConnectionTimeout = POOL_IDLE_S
        # A retried call could take effect twice; the caller decides which calls may be retried.
        self._pool.retryAutomatically = False
        factory = _AddressEndpoints(reactor, timeout_s * CONNECT_SHARE)
        self._agent = client.Agent.usingEndpointFactory(reactor, factory, pool=self._pool)

    def call(
        self, method: str, path: str, body: bytes | None = None, *, step: str
    ) -> defer.Deferred[Response]:
        """Send one request; fails only with `errors.PlatformError` or a cancellation.

        Raises
        ------
        errors.PlatformUnavailableError
            If the connection was refused or not established, or the response is a 503.
        errors.AnswerLostError
            If the call timed out or the connection was lost after sending.
        """
        exchange = defer.Deferred.fromCoroutine(self._exchange(method, path, body))
        exchange.addTimeout(self._timeout_s, self._reactor)
        exchange.addCallbacks(
            self._check_available, self._convert_failure, callbackArgs=(step,), errbackArgs=(step,)
        )
        return exchange

    def call_json(self, path: str, request: object, *, step: str) -> defer.Deferred[Response]:
        """Send ``request`` as JSON by POST; fails like `call`."""
        return self.call("POST", path, json.dumps(request).encode(), step=step)

    def decode(self, response: Response, decoder: Callable[[Any], T], *, step: str) -> T:
        """Decode a JSON response.

        Raises
        ------
        errors.AnswerLostError
            If the status is not 200 or the body is malformed.
        """
        if response.status != STATUS_OK:
            raise self.unexpected(response, step=step)
        try:
            return decoder(json.loads(response.body))
        except (ValueError, TypeError, KeyError, AttributeError) as cause:
            raise errors.AnswerLostError(
                f"malformed response: {cause!r}", step=step, peer=self.address
            ) from cause

    def unexpected(self, response: Response, *, step: str) -> errors.AnswerLostError:
        """Return the error for a status that does not tell whether the call took effect."""
        return errors.AnswerLostError(
            f"unexpected status {response.status}", step=step, peer=self.address
        )

    def close(self) -> defer.Deferred[None]:
        """Close the idle connections."""
        return self._pool.closeCachedConnections()

    async def _exchange(self, method: str, path: str, body: bytes | None) -> Response:
        url = f"http://{self.address}{path}".encode("ascii")
        headers = http_headers.Headers({b"content-type": [b"application/json"]})
        producer = None if body is None else client.FileBodyProducer(io.BytesIO(body))
        agent_response = await self._agent.request(method.encode(), url, headers, producer)
        collector = _BodyCollector()
        agent_response.deliverBody(collector)
        return Response(agent_response.code, await collector.done)

    def _check_available(self, response: Response, step: str) -> Response:
        if response.status == STATUS_UNAVAILABLE:
            raise errors.PlatformUnavailableError(
                "the service responded with 503", step=step, peer=self.address
            )
        return response

    def _convert_failure(self, reason: failure.Failure, step: str) -> failure.Failure:
        if reason.check(defer.CancelledError, errors.PlatformError):
            return reason
        never_sent = reason.check(error.ConnectError, client.RequestNotSent)
        error_type = errors.PlatformUnavailableError if never_sent else errors.AnswerLostError
        text = reason.getErrorMessage() or reason.type.__name__
        raise error_type(text, step=step, peer=self.address) from reason.value
