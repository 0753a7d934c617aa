"""Frame authentication: HMAC-SHA-256 over connection nonces, sequence number and payload.

Each side sends a random nonce first. The nonces prevent the replay of frames on another connection;
the sequence number detects frames that were replayed, lost or reordered on the same one.
"""

from __future__ import annotations

import hashlib
import hmac
import os

from celerystack import errors

NONCE_BYTES = 16
MAC_BYTES = 16
_SEQUENCE_BYTES = 8


def new_nonce() -> bytes:
    """Return a random nonce of `NONCE_BYTES` bytes for one connection."""
    return os.urandom(NONCE_BYTES)


def _mac(secret: bytes, context: bytes, sequence: int, payload: bytes) -> bytes:
    signed_data = context + sequence.to_bytes(_SEQUENCE_BYTES, "big") + payload
    return hmac.digest(secret, signed_data, hashlib.sha256)[:MAC_BYTES]


class FrameSigner:
    """Signs the frames that one connection sends.

    Parameters
    ----------
    context : bytes
        Nonces of the listening and the dialling side, concatenated.
    """

    def __init__(self, secret: bytes, *, context: bytes) -> None:
        self._secret = secret
        self._context = context
        self._sequence = 0

    def sign(self, payload: bytes) -> bytes:
        """Return the frame: MAC followed by the payload."""
        mac = _mac(self._secret, self._context, self._sequence, payload)
        self._sequence += 1
        return mac + payload


class FrameVerifier:
    """Verifies the frames that one connection receives.

    Parameters
    ----------
    secrets : tuple of bytes
        Accepted secrets; more than one while the secret is rotated.
    context : bytes
        Nonces of the listening and the dialling side, concatenated.
    """

    def __init__(self, secrets: tuple[bytes, ...], *, context: bytes, peer: str) -> None:
        self._secrets = secrets
        self._context = context
        self._peer = peer
        self._sequence = 0

    def verify(self, frame: bytes) -> bytes:
        """Return the payload; raises `errors.BadFrameError` if no secret matches."""
        mac, payload = frame[:MAC_BYTES], frame[MAC_BYTES:]
        for secret in self._secrets:
            if hmac.compare_digest(mac, _mac(secret, self._context, self._sequence, payload)):
                self._sequence += 1
                return payload
        raise errors.BadFrameError(
            "frame authentication failed", step="peers.auth", peer=self._peer
        )
