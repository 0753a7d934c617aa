"""HTTP client shared by the platform adapters: one persistent pool, a timeout on every call."""

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
"""Shorter than the idle limit of the platform (60 s), so that a call rarely meets a connection
that the platform is closing."""

CONNECT_SHARE = 0.5
"""Share of the timeout that a connection attempt may take. It is below 1 so that an attempt that
does not complete is reported as never sent, not as a lost answer."""


@dataclasses.dataclass(frozen=True)
class Answer:
    """Status and complete body of an HTTP answer."""

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
        kind = endpoints.TCP6ClientEndpoint if ":" in host else endpoints.TCP4ClientEndpoint
        return kind(self._reactor, host, uri.port, timeout=self._connect_timeout_s)


class _BodyCollector(protocol.Protocol):
    """Collects a body; ``done`` fails unless the body is complete."""

    def __init__(self) -> None:
        self._parts: list[bytes] = []
        self.done: defer.Deferred[bytes] = defer.Deferred(self._cancel)

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Keep a part of the body."""
        self._parts.append(data)

    def connectionLost(self, reason: failure.Failure = protocol.connectionDone) -> None:  # noqa: N802
        """Report the end of the body or of the connection."""
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
    """Calls one platform service.

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
        # A repeated call could take effect twice; the caller decides what may be repeated.
        self._pool.retryAutomatically = False
        factory = _AddressEndpoints(reactor, timeout_s * CONNECT_SHARE)
        self._agent = client.Agent.usingEndpointFactory(reactor, factory, pool=self._pool)

    def call(
        self, method: str, path: str, body: bytes | None = None, *, step: str
    ) -> defer.Deferred[Answer]:
        """Send one request; fails only with `errors.PlatformError` or a cancellation.

        Raises
        ------
        errors.PlatformUnavailableError
            Connection refused or not established, or answer 503.
        errors.AnswerLostError
            Timeout or connection lost after sending.
        """
        exchange = defer.Deferred.fromCoroutine(self._exchange(method, path, body))
        exchange.addTimeout(self._timeout_s, self._reactor)
        exchange.addCallbacks(
            self._check_available, self._translate, callbackArgs=(step,), errbackArgs=(step,)
        )
        return exchange

    def call_json(self, path: str, request: object, *, step: str) -> defer.Deferred[Answer]:
        """Send ``request`` as JSON by POST; fails like `call`."""
        return self.call("POST", path, json.dumps(request).encode(), step=step)

    def decode(self, answer: Answer, decoder: Callable[[Any], T], *, step: str) -> T:
        """Decode a JSON answer.

        Raises
        ------
        errors.AnswerLostError
            The status is not 200, or the body does not have the expected form.
        """
        if answer.status != STATUS_OK:
            raise self.unexpected(answer, step=step)
        try:
            return decoder(json.loads(answer.body))
        except (ValueError, TypeError, KeyError, AttributeError) as caught:
            raise errors.AnswerLostError(
                f"malformed answer: {caught!r}", step=step, peer=self.address
            ) from caught

    def unexpected(self, answer: Answer, *, step: str) -> errors.AnswerLostError:
        """Return the error for a status that says nothing about the effect of the call."""
        return errors.AnswerLostError(
            f"unexpected status {answer.status}", step=step, peer=self.address
        )

    def close(self) -> defer.Deferred[None]:
        """Close the idle connections."""
        return self._pool.closeCachedConnections()

    async def _exchange(self, method: str, path: str, body: bytes | None) -> Answer:
        url = f"http://{self.address}{path}".encode("ascii")
        headers = http_headers.Headers({b"content-type": [b"application/json"]})
        producer = None if body is None else client.FileBodyProducer(io.BytesIO(body))
        response = await self._agent.request(method.encode(), url, headers, producer)
        collector = _BodyCollector()
        response.deliverBody(collector)
        return Answer(response.code, await collector.done)

    def _check_available(self, answer: Answer, step: str) -> Answer:
        if answer.status == STATUS_UNAVAILABLE:
            raise errors.PlatformUnavailableError(
                "the service answered 503", step=step, peer=self.address
            )
        return answer

    def _translate(self, reason: failure.Failure, step: str) -> failure.Failure:
        if reason.check(defer.CancelledError, errors.PlatformError):
            return reason
        never_sent = reason.check(error.ConnectError, client.RequestNotSent)
        kind = errors.PlatformUnavailableError if never_sent else errors.AnswerLostError
        text = reason.getErrorMessage() or reason.type.__name__
        raise kind(text, step=step, peer=self.address) from reason.value
