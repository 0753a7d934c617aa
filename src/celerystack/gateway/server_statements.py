"""Takes what servers state of themselves in their answers: rate limits, pauses and drains."""

from __future__ import annotations

import logging
from collections.abc import Collection

from celerystack.backend import http
from celerystack.fleet import servers
from celerystack.gateway import calls, server_queue
from celerystack.limits import rate_limits
from celerystack.ranges import model

_log = logging.getLogger(__name__)

_STEP = "server statement"


class ServerStatements:
    """Passes the statements in answers to the directory, the rate limits and the server queues.

    A statement that cannot be read changes nothing, and is logged once for each incarnation.
    """

    def __init__(
        self,
        *,
        directory: servers.Directory,
        request_codec: calls.RequestCodec,
        limits: rate_limits.RateLimits,
    ) -> None:
        self._directory = directory
        self._request_codec = request_codec
        self._limits = limits
        self._unreadable: set[model.ServerIncarnation] = set()

    def retain(self, incarnations: Collection[model.ServerIncarnation]) -> None:
        """Forget the servers that are not among the given ones."""
        self._limits.retain(incarnations)
        self._unreadable.intersection_update(incarnations)

    def take(self, answered: server_queue.ServerQueue, response: http.HttpResponse) -> None:
        """Take the statements in an answer."""
        if self._request_codec.is_leaving(response):
            self._directory.note_leaving(answered.incarnation)
        for take in (self._take_pause, self._take_rate_limit, self._take_load):
            try:
                take(answered, response)
            except calls.UnreadableHeaderError as error:
                self._note_unreadable(answered.incarnation, error)

    def _take_pause(self, answered: server_queue.ServerQueue, response: http.HttpResponse) -> None:
        pause_s = self._request_codec.pause_s(response)
        if pause_s <= 0:
            return
        if not answered.is_paused:
            _log.info(
                "the server asked for a pause of %.2f s",
                pause_s,
                extra={"step": _STEP, "peer": answered.incarnation.server},
            )
        answered.pause(pause_s)

    def _take_rate_limit(
        self, answered: server_queue.ServerQueue, response: http.HttpResponse
    ) -> None:
        incarnation = answered.incarnation
        per_s = self._request_codec.rate_limit(response)
        before = self._limits.limit(incarnation)
        self._limits.observe(incarnation, per_s)
        if (before is None) == (per_s is None):
            return
        message = (
            "the server has no rate limit any more"
            if per_s is None
            else f"the server accepts {per_s:.2f} requests/s from all entry VMs"
        )
        _log.info("%s", message, extra={"step": _STEP, "peer": incarnation.server})

    def _take_load(self, answered: server_queue.ServerQueue, response: http.HttpResponse) -> None:
        load = self._request_codec.server_load(response)
        if load is None:
            return
        slots = answered.record.entry.slots
        if load.slots != slots:
            raise calls.UnreadableHeaderError(
                f"the server states {load.slots} slots, its entry {slots}"
            )
        answered.note_stated_load(load)

    def _note_unreadable(
        self, incarnation: model.ServerIncarnation, error: calls.UnreadableHeaderError
    ) -> None:
        if incarnation in self._unreadable:
            return
        self._unreadable.add(incarnation)
        _log.warning(
            "ignored a header of a server's answer: %s",
            error,
            extra={"step": _STEP, "peer": incarnation.server},
        )
