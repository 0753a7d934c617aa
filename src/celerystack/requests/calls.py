"""A caller's request in the form that the forwarder accepts."""

from __future__ import annotations

import dataclasses
import hashlib

from celerystack import ids, model
from celerystack.backend import http
from celerystack.state import shard_map


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Call:
    """A complete, validated request of a caller.

    Attributes
    ----------
    method : str
        HTTP method in upper case.
    headers : tuple of (bytes, bytes)
        End-to-end headers without ``X-Celerystack-*``; names in lower case.
    key : str
        Key of the request; empty for a service that is not divided.
    request_id : RequestId
        Value of ``X-Request-Id``; empty if there is none.
    deadline : float
        Monotonic time in seconds by which the caller must be answered.
    """

    service: model.Service
    method: str
    target: bytes
    headers: http.HeaderList
    body: bytes
    deadline: float
    key: str = ""
    request_id: ids.RequestId = ids.RequestId("")

    @property
    def idempotent(self) -> bool:
        """Whether the service declares the method as safe to run more than once."""
        return self.method in self.service.idempotent_methods

    @property
    def needs_claim(self) -> bool:
        """Whether the request id must be claimed before the request is sent."""
        return bool(self.request_id) and not self.idempotent

    def key_hash(self) -> ids.KeyHash:
        """Return the hash of the key."""
        return shard_map.key_hash(self.key)

    def fingerprint(self) -> ids.Fingerprint:
        """Return the hash of service, method, target and body.

        The target includes the query, so that the quarantine of one request does not reject other
        requests for the same path.
        """
        digest = hashlib.blake2b(digest_size=16)
        for part in (self.service.name.encode(), self.method.encode(), self.target, self.body):
            digest.update(len(part).to_bytes(8, "big"))
            digest.update(part)
        return ids.Fingerprint(digest.digest())
