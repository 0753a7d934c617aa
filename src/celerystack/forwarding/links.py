"""Streams from this entry VM to the queue owners, and the calls that were forwarded on them."""

from __future__ import annotations

import dataclasses
import functools
import logging
from collections.abc import Callable
from typing import Any

from twisted.internet import defer, protocol
from twisted.python import failure

from celerystack import supervision
from celerystack.forwarding import messages, owners, stream

_log = logging.getLogger(__name__)

CONNECT_TIMEOUT_S = 0.5
"""Timeout of an attempt to connect to an owner in seconds."""
RECONNECT_S = 0.3
"""Pause in seconds before the next attempt to connect."""
WATCH_TASK = "the watch of the links to queue owners"
WATCH_S = 0.2
"""Interval in seconds between two looks at the streams."""
SUSPECT_AFTER_S = 0.5
"""Time without any bytes, while calls wait, after which an owner gets no further calls."""
SILENT_AFTER_S = 1.5
"""Time without any bytes, while calls wait, after which the stream counts as broken. A stream to a
machine without power never reports an error."""
RESULT_GRACE_S = 0.05
"""Time in seconds after the deadline of a call in which the owner's result may still arrive."""


@dataclasses.dataclass(slots=True)
class _Pending:
    """A call that waits for its result."""

    result: defer.Deferred[messages.Result]
    timer: Any = None


class OwnerLink:
    """Stream to one owner, which is opened again when it breaks.

    Parameters
    ----------
    now : callable
        Clock in seconds to which deadlines refer.
    """

    def __init__(self, reactor: Any, owner: owners.Owner, *, now: Callable[[], float]) -> None:
        self._reactor = reactor
        self._now = now
        self.owner = owner
        self._stream: stream.Stream | None = None
        self._is_connecting = False
        self._is_closed = False
        self._is_draining = False
        self._connect_at = float("-inf")
        self._received_at = float("-inf")
        self._waiting_since = float("-inf")
        self._number = 0
        self._pending_by_number: dict[int, _Pending] = {}

    @property
    def is_usable(self) -> bool:
        """Whether a call can be forwarded now."""
        opened = self._stream
        if opened is None or opened.is_congested or self._is_draining:
            return False
        return self._silent_s() < SUSPECT_AFTER_S

    @property
    def pending_count(self) -> int:
        """Number of calls that wait for their results."""
        return len(self._pending_by_number)

    def _silent_s(self) -> float:
        """Return the time in seconds without any bytes while calls have waited."""
        if not self._pending_by_number:
            return 0.0
        return self._now() - max(self._received_at, self._waiting_since)

    def watch(self) -> None:
        """Open the stream if it is due, and find out whether the owner still answers."""
        opened = self._stream
        if opened is None:
            if not self._is_connecting and not self._is_closed and self._now() >= self._connect_at:
                self._connect()
            return
        silent_s = self._silent_s()
        if silent_s >= SILENT_AFTER_S:
            _log.warning(
                "the queue owner has not answered for %.1f s, closing the stream",
                silent_s,
                extra={"step": "forwarding", "peer": self.owner.vm},
            )
            opened.abort()
        elif silent_s >= WATCH_S:
            opened.send(messages.Signal.PING)

    def forward(
        self, make_call: Callable[[int], messages.ForwardedCall], *, deadline: float
    ) -> defer.Deferred[messages.Result]:
        """Forward a call and return its result; cancelling the Deferred cancels the call.

        Parameters
        ----------
        make_call : callable
            Returns the message for the number that it is given.
        """
        opened = self._stream
        self._number += 1
        number = self._number
        if opened is None or not opened.is_open:
            return defer.succeed(_not_forwarded(number, "there is no stream to the queue owner"))
        if not self._pending_by_number:
            self._waiting_since = self._now()
        pending = _Pending(defer.Deferred(lambda _: self._cancel(number)))
        self._pending_by_number[number] = pending
        delay_s = max(0.0, deadline - self._now()) + RESULT_GRACE_S
        pending.timer = self._reactor.callLater(delay_s, self._expire, number)
        opened.send(make_call(number))
        return pending.result

    def close(self) -> None:
        """Close the stream once no call waits for a result any more."""
        self._is_closed = True
        self._close_if_done()

    def _close_if_done(self) -> None:
        if self._is_closed and not self._pending_by_number and self._stream is not None:
            self._stream.abort()

    def _connect(self) -> None:
        self._is_connecting = True
        host, port = self.owner.address
        self._reactor.connectTCP(host, port, _LinkFactory(self), timeout=CONNECT_TIMEOUT_S)

    def connected(self, opened: stream.Stream) -> None:
        """Take the stream that was opened."""
        self._is_connecting = False
        if self._is_closed:
            opened.abort()
            return
        self._is_draining = False
        self._stream = opened
        self._received_at = self._now()

    def connect_failed(self) -> None:
        """Connect again after a pause."""
        self._is_connecting = False
        self._connect_at = self._now() + RECONNECT_S

    def note_bytes(self) -> None:
        """Record that bytes of the owner have arrived, also of a message that is not complete."""
        self._received_at = self._now()

    def received(self, _stream: stream.Stream, message: messages.Message) -> None:
        """Take a message of the owner."""
        match message:
            case messages.Result(number=number):
                self._finish(number, message)
            case messages.Signal.DRAINING:
                self._is_draining = True

    def lost(self, _stream: stream.Stream) -> None:
        """End all waiting calls, whose outcome is unknown."""
        self._stream = None
        self._connect_at = self._now() + RECONNECT_S
        for number in list(self._pending_by_number):
            self._finish(number, _unknown(number, "the stream to the queue owner broke"))

    def _expire(self, number: int) -> None:
        self._finish(number, _unknown(number, "the deadline passed at the queue owner"))
        if self._stream is not None:
            self._stream.send(messages.CancelledCall(number))

    def _cancel(self, number: int) -> None:
        self._take(number)
        if self._stream is not None:
            self._stream.send(messages.CancelledCall(number))
        self._close_if_done()

    def _take(self, number: int) -> _Pending | None:
        pending = self._pending_by_number.pop(number, None)
        if pending is not None and pending.timer is not None and pending.timer.active():
            pending.timer.cancel()
        return pending

    def _finish(self, number: int, result: messages.Result) -> None:
        pending = self._take(number)
        if pending is not None:
            pending.result.callback(result)
        self._close_if_done()


class _LinkFactory(protocol.ClientFactory):
    noisy = False

    def __init__(self, link: OwnerLink) -> None:
        self._link = link

    def buildProtocol(self, addr: Any) -> stream.Stream:  # noqa: N802
        return _LinkStream(self._link)

    def clientConnectionFailed(self, connector: Any, reason: failure.Failure) -> None:  # noqa: N802
        self._link.connect_failed()


class _LinkStream(stream.Stream):
    """Stream that reports to its link when it is open."""

    def __init__(self, link: OwnerLink) -> None:
        super().__init__(on_message=link.received, on_lost=link.lost)
        self._link = link

    def connectionMade(self) -> None:  # noqa: N802
        super().connectionMade()
        self._link.connected(self)

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        self._link.note_bytes()
        super().dataReceived(data)


class OwnerLinks:
    """One link to each queue owner, except to this VM."""

    def __init__(
        self, reactor: Any, queue_owners: owners.QueueOwners, *, own_vm: str, now: Callable
    ) -> None:
        self._reactor = reactor
        self._queue_owners = queue_owners
        self._own_vm = own_vm
        self._now = now
        self._by_owner: dict[owners.Owner, OwnerLink] = {}
        self._closing: list[OwnerLink] = []

    def start(self) -> None:
        """Keep the streams open until the process ends."""
        self._watch()

    def find(self, owner: owners.Owner) -> OwnerLink | None:
        """Return the link to an owner if calls can be forwarded on it now."""
        link = self._by_owner.get(owner)
        return link if link is not None and link.is_usable else None

    def _watch(self) -> None:
        self._reactor.callLater(WATCH_S, self._watch)
        supervision.run_step(WATCH_TASK, self._watch_all)

    def _watch_all(self) -> None:
        wanted = self._queue_owners.owners if self._queue_owners.is_forwarding else ()
        for owner in [known for known in self._by_owner if known not in wanted]:
            closing = self._by_owner.pop(owner)
            closing.close()
            self._closing.append(closing)
        for owner in wanted:
            if owner.vm != self._own_vm and owner not in self._by_owner:
                self._by_owner[owner] = OwnerLink(self._reactor, owner, now=self._now)
        # Calls on a link to a VM that was lost end only because the link is watched.
        self._closing = [link for link in self._closing if link.pending_count]
        for link in (*self._by_owner.values(), *self._closing):
            link.watch()


def _result(kind: messages.ResultKind, number: int, reason: str) -> messages.Result:
    return messages.Result(number=number, kind=kind, reason=reason)


_unknown = functools.partial(_result, messages.ResultKind.UNKNOWN)
_not_forwarded = functools.partial(_result, messages.ResultKind.NOT_RUN)
