"""Order of the pipelined requests of one caller's connection."""

from __future__ import annotations

import collections
from collections.abc import Callable, Iterator
from typing import Generic, TypeVar

REQUESTS_MAX = 16
"""Largest number of complete requests of one connection that are read and not answered."""
BODY_BYTES_MAX = 256 * 1024
"""No further request is read while the bodies of those that are read are longer than this."""
HELD_BYTES_MAX = 1024 * 1024
"""No further request starts while responses longer than this wait for an earlier one."""

R = TypeVar("R")


class _Entry(Generic[R]):
    """A request that is not answered.

    Attributes
    ----------
    response : bytes or None
        Response that waits until all earlier ones are sent; None if there is none yet.
    """

    __slots__ = ("body_bytes", "overlaps", "request", "response", "started")

    def __init__(self, request: R, body_bytes: int) -> None:
        self.request = request
        self.body_bytes = body_bytes
        self.started = False
        self.overlaps: bool | None = None
        self.response: bytes | None = None


class Pipeline(Generic[R]):
    """Decides when the requests of a connection start and when their responses are sent.

    Requests that may overlap run at the same time; any other one runs alone, after all requests
    before it are answered. Responses are sent in the order of the requests.

    Parameters
    ----------
    may_overlap : callable
        Returns whether a request may run beside others; only called for pipelined requests.
    """

    def __init__(self, may_overlap: Callable[[R], bool]) -> None:
        self._may_overlap = may_overlap
        self._entries: collections.deque[_Entry[R]] = collections.deque()
        self._body_bytes = 0
        self._held_bytes = 0

    def __len__(self) -> int:
        return len(self._entries)

    def __iter__(self) -> Iterator[R]:
        return (entry.request for entry in self._entries)

    @property
    def held_bytes(self) -> int:
        """Number of bytes of responses that wait for earlier ones."""
        return self._held_bytes

    @property
    def may_read_on(self) -> bool:
        """Whether one more request may be read before the ones that were read are answered."""
        if not self._entries:
            return True
        has_room = len(self._entries) < REQUESTS_MAX and self._body_bytes <= BODY_BYTES_MAX
        return has_room and self._overlaps(self._entries[-1])

    @property
    def is_running(self) -> bool:
        """Whether a request has started and has no response yet."""
        return any(entry.started and entry.response is None for entry in self._entries)

    def add(self, request: R, body_bytes: int) -> None:
        """Add a complete request."""
        self._entries.append(_Entry(request, body_bytes))
        self._body_bytes += body_bytes

    def take_startable(self) -> R | None:
        """Mark the next request that may start as started and return it; None if there is none."""
        for index, entry in enumerate(self._entries):
            if not entry.started:
                if index and not self._may_start_beside_others(entry):
                    return None
                entry.started = True
                return entry.request
            if not index and len(self._entries) > 1 and not self._overlaps(entry):
                return None
        return None

    def is_first(self, request: R) -> bool:
        """Return whether all requests before this one are answered."""
        return bool(self._entries) and self._entries[0].request == request

    def is_last(self, request: R) -> bool:
        """Return whether no request was added after this one."""
        return bool(self._entries) and self._entries[-1].request == request

    def hold(self, request: R, response: bytes) -> None:
        """Keep a response until all earlier ones are sent."""
        entry = next(entry for entry in self._entries if entry.request == request)
        entry.response = response
        self._held_bytes += len(response)

    def remove_first(self) -> None:
        """Remove the first request, whose response was sent."""
        entry = self._entries.popleft()
        self._body_bytes -= entry.body_bytes
        if entry.response is not None:
            self._held_bytes -= len(entry.response)

    def first_held(self) -> tuple[R, bytes] | None:
        """Return the first request and its response if the response was held; None otherwise."""
        if not self._entries or self._entries[0].response is None:
            return None
        return self._entries[0].request, self._entries[0].response

    def clear(self) -> list[R]:
        """Remove and return all requests."""
        requests = list(self)
        self._entries.clear()
        self._body_bytes = self._held_bytes = 0
        return requests

    def _may_start_beside_others(self, entry: _Entry[R]) -> bool:
        return self._held_bytes <= HELD_BYTES_MAX and self._overlaps(entry)

    def _overlaps(self, entry: _Entry[R]) -> bool:
        if entry.overlaps is None:
            entry.overlaps = self._may_overlap(entry.request)
        return entry.overlaps
