"""Accepts the calls that other entry VMs forward to this queue owner."""

from __future__ import annotations

import logging
from collections.abc import Callable
from typing import Any

from twisted.internet import defer, protocol
from twisted.python import failure

from celerystack.forwarding import messages, stream

_log = logging.getLogger(__name__)


class CallListener(protocol.ServerFactory):
    """Runs forwarded calls and sends their results.

    A call ends when its sender cancels it or its stream breaks: nobody would take the result.

    Parameters
    ----------
    run : callable
        Makes the attempt of a call; cancelling the Deferred cancels the attempt.
    """

    noisy = False

    def __init__(
        self, run: Callable[[messages.ForwardedCall], defer.Deferred[messages.Result]]
    ) -> None:
        self._run = run
        self._running_by_stream: dict[
            stream.Stream, dict[int, defer.Deferred[messages.Result | None]]
        ] = {}
        self._is_draining = False

    @property
    def open_connections(self) -> int:
        """Number of streams with calls whose results have not been sent."""
        return sum(bool(running) for running in self._running_by_stream.values())

    def close_idle(self) -> None:
        """Do nothing; the senders close their streams."""

    def buildProtocol(self, addr: Any) -> stream.Stream:  # noqa: N802
        """Return the stream for a connection of another entry VM."""
        accepted = stream.Stream(on_message=self._receive, on_lost=self._lost)
        self._running_by_stream[accepted] = {}
        return accepted

    def announce_drain(self) -> None:
        """Ask the senders for no further calls; those that run are finished."""
        self._is_draining = True
        for accepted in self._running_by_stream:
            accepted.send(messages.Signal.DRAINING)

    def _receive(self, accepted: stream.Stream, message: messages.Message) -> None:
        match message:
            case messages.ForwardedCall():
                self._start(accepted, message)
            case messages.CancelledCall(number=number):
                running = self._running_by_stream[accepted].pop(number, None)
                if running is not None:
                    running.cancel()

    def _start(self, accepted: stream.Stream, call: messages.ForwardedCall) -> None:
        if self._is_draining:
            accepted.send(messages.Signal.DRAINING)
        running = self._run(call)
        self._running_by_stream[accepted][call.number] = running
        running.addErrback(self._on_error, call.number)
        running.addCallback(lambda result: self._finish(accepted, call.number, result))

    def _finish(self, accepted: stream.Stream, number: int, result: messages.Result | None) -> None:
        self._running_by_stream.get(accepted, {}).pop(number, None)
        if result is not None:
            accepted.send(result)

    def _on_error(self, problem: failure.Failure, number: int) -> messages.Result | None:
        """Return an unknown outcome after an unexpected error; None if the call was cancelled."""
        if problem.check(defer.CancelledError):
            return None
        _log.error(
            "unexpected error in a forwarded call: %s",
            problem.getTraceback(),
            extra={"step": "forwarding"},
        )
        return messages.Result(
            number=number, kind=messages.ResultKind.UNKNOWN, reason="internal error"
        )

    def _lost(self, accepted: stream.Stream) -> None:
        for running in self._running_by_stream.pop(accepted, {}).values():
            running.cancel()
