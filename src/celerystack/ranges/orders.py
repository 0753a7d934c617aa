"""Port through which servers are ordered to take or release keys."""

from __future__ import annotations

import enum
from typing import Protocol

from twisted.internet import defer

from celerystack.ranges import model


class GrantResult(enum.Enum):
    """A server's answer to a grant."""

    GRANTED = "granted"
    TOKEN_TOO_OLD = "token too old"
    INVALID = "invalid"
    OTHER_SERVER = "another server has the address"


class OrderPort(Protocol):
    """Sends orders. An unanswered order fails with `errors.BackendError`.

    The Deferred of an order fires when the order was answered or its connection was aborted, so
    that the order cannot take effect later.
    """

    def grant(
        self, address: str, segment: model.Segment, *, lease_s: float, timeout_s: float
    ) -> defer.Deferred[GrantResult]:
        """Grant the keys of a segment to its owner, which should listen at ``address``."""

    def is_connected(self, address: str) -> bool:
        """Return whether the connection of the last grant to an address is still open.

        While it is open, the same process answers.
        """

    def release(
        self, address: str, segment: model.Segment, *, timeout_s: float
    ) -> defer.Deferred[str]:
        """Order a server to release keys under the token of ``segment``; fires with the handover.

        The server answers when its requests for these keys have ended.
        """
