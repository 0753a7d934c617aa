"""One request of a caller, based on twisted.web."""

from __future__ import annotations

from collections.abc import Callable
from typing import TYPE_CHECKING

from twisted.python import failure
from twisted.web import http, iweb
from zope.interface import provider

from celerystack.backend import http as backend_http
from celerystack.requests import body_intake

if TYPE_CHECKING:
    from celerystack.requests import callerhttp


@provider(iweb.INonQueuedRequestFactory)
class CallerRequest(http.Request):
    """One request of a caller; ``factory.on_request`` is called when it is complete."""

    channel: callerhttp.CallerChannel

    def __init__(self, channel: callerhttp.CallerChannel) -> None:
        super().__init__(channel)
        self.factory = channel.factory
        self.received_at = channel.received_at
        self._closes_connection = self._is_last_of_caller = False
        self._abandoned = False
        self.header_bytes = 0
        self._is_complete = False
        self.body_intake = body_intake.BodyIntake(self.factory.open_bodies, channel.reject)
        self._on_disconnect: Callable[[], None] | None = None
        self.factory.request_started(self)

    def gotLength(self, length: int | None) -> None:  # noqa: N802
        """Begin the body, or reject a declared length above the limit or without room."""
        self.header_bytes = self.channel.header_bytes
        self.body_intake.begin(length, self.factory.limits)

    def parseCookies(self) -> None:  # noqa: N802
        """Do nothing; cookies are forwarded unparsed."""

    def handleContentChunk(self, data: bytes) -> None:  # noqa: N802
        """Append body bytes, or reject a chunked body above the limit or without room."""
        self.body_intake.add(data)

    def discard_incomplete(self) -> None:
        """Discard the body if it is not complete; the request is not passed on."""
        if not self._is_complete:
            self.body_intake.discard()

    def requestReceived(self, command: bytes, path: bytes, version: bytes) -> None:  # noqa: N802
        """Pass on the complete request; query and form data are not parsed."""
        if self.channel.is_input_closed:
            return
        self._is_complete = True
        self.body_intake.complete()
        self.content = self.body_intake.content
        self.method, self.uri, self.clientproto = command, path, version
        self.path = path.partition(b"?")[0]
        self.channel.request_read(self)

    def start(self) -> None:
        """Pass on the request, because the requests before it allow it to run."""
        self.factory.on_request(self)

    def header_list(self) -> backend_http.HeaderList:
        """Return the request headers with names in lower case."""
        return tuple(
            (name.lower(), value)
            for name, values in self.requestHeaders.getAllRawHeaders()
            for value in values
        )

    def body(self) -> bytes:
        """Return the request body."""
        return self.content.getvalue()

    def on_disconnect(self, callback: Callable[[], None]) -> None:
        """Register a callback for the loss of the caller's connection before the response ends."""
        self._on_disconnect = callback

    def is_disconnected(self) -> bool:
        """Return whether no response can reach the caller any more."""
        return self._disconnected or self._abandoned

    @property
    def closes_connection(self) -> bool:
        """Whether the connection is closed after the response."""
        return self._closes_connection

    @property
    def is_last_of_caller(self) -> bool:
        """Whether the caller has announced that it sends no request after this one."""
        return self._is_last_of_caller

    def note_last(self) -> None:
        """Record that the caller sends no request after this one."""
        self._closes_connection = self._is_last_of_caller = True

    def close_after_answer(self) -> None:
        """Close the connection after this response and add ``Connection: close`` to it."""
        self._closes_connection = True
        self.responseHeaders.setRawHeaders(b"Connection", [b"close"])

    def abort(self) -> None:
        """Close the caller's connection at once, so that the caller detects a partial response."""
        self.channel.transport.abortConnection()

    def answer(
        self, status: int, reason: bytes, headers: backend_http.HeaderList, body: bytes
    ) -> None:
        """Write a complete response and finish it.

        Bypasses the header map of twisted.web, which normalizes each name and value again. The
        headers must contain the length of the body and no line breaks.
        """
        if self.is_disconnected():
            return
        if self.factory.draining and self.channel.is_last(self):
            self.close_after_answer()
        self.startedWriting = 1
        parts = [b"%s %d %s" % (self.clientproto, status, reason)]
        parts += [b"%s: %s" % header for header in headers]
        for name, values in self.responseHeaders.getAllRawHeaders():
            parts += [b"%s: %s" % (name, value) for value in values]
        parts.append(b"")
        bodyless = self.method == b"HEAD" or status in http.NO_BODY_CODES
        parts.append(b"" if bodyless else body)
        self.channel.send_in_order(self, b"\r\n".join(parts))

    def write(self, data: bytes) -> None:
        """Write body bytes; while draining, the head gets ``Connection: close``."""
        if not self.startedWriting and self.factory.draining:
            self.close_after_answer()
        super().write(data)

    def finish(self) -> None:
        """Finish the response."""
        super().finish()
        self.factory.request_ended(self)

    def connectionLost(self, reason: failure.Failure) -> None:  # noqa: N802
        """Run the disconnect callback if the response was not finished."""
        super().connectionLost(reason)
        if not self.finished and not self._abandoned:
            self._end_unanswered()

    def abandon(self) -> None:
        """End a request whose response cannot be sent, because the connection closes before it."""
        self._abandoned = True
        self._end_unanswered()

    def _end_unanswered(self) -> None:
        self.factory.request_ended(self)
        if self._on_disconnect is not None:
            self._on_disconnect()
