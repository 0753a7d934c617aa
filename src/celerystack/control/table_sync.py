"""Polls the table service for changed rows and pushes them to the peers."""

from __future__ import annotations

import logging
from collections.abc import Callable

from twisted.internet import defer, interfaces

from celerystack import errors, periodic, timing
from celerystack.lease import rendezvous
from celerystack.peers import mesh as peer_mesh
from celerystack.peers import sync
from celerystack.store import ports

_POLLER_KEY = "table-poller"
"""Key of the rendezvous hash that selects the poller of a zone."""

RETRY_S = 0.25
_BACKUP_POLL_S = 5.0
"""Poll interval of entry VMs that are not the poller of their zone."""

_log = logging.getLogger(__name__)


class TableSync:
    """Polls the change feed; one entry VM per zone polls every `timing.CHANGE_POLL_S`.

    Attributes
    ----------
    reachable : bool
        Whether the last call to the table succeeded.
    has_state : bool
        Whether the table has been read at least once.
    """

    def __init__(
        self,
        clock: interfaces.IReactorTime,
        *,
        table: ports.TablePort,
        rows: sync.RowSync,
        mesh: peer_mesh.Mesh,
        on_failure: Callable[[errors.PlatformError], None],
    ) -> None:
        self._clock = clock
        self._table = table
        self._rows = rows
        self._mesh = mesh
        self._on_failure = on_failure
        self._since = 0
        self._polling = False
        self._next_poll_at = 0.0
        self._loop = periodic.Periodic(clock, self._tick, interval_s=timing.CHANGE_POLL_S / 4)
        self.reachable = False
        # Decisions that need the table wait until it answers, so it is polled again soon.
        self._next_poll_at = min(self._next_poll_at, self._clock.seconds() + RETRY_S)
        self.has_state = False

    def start(self) -> None:
        """Start polling."""
        self._loop.start()

    def stop(self) -> None:
        """Stop polling."""
        self._loop.stop()

    def _is_poller(self) -> bool:
        zone = [v for v in self._mesh.live_entry_vms() if v.zone == self._mesh.own_entry_vm.zone]
        return rendezvous.ranked(_POLLER_KEY, [v.vm for v in zone])[0] == self._mesh.own_entry_vm.vm

    def _tick(self) -> None:
        now = self._clock.seconds()
        if self._polling or now < self._next_poll_at:
            return
        polls_often = self._is_poller() or not self.has_state
        self._next_poll_at = now + (timing.CHANGE_POLL_S if polls_often else _BACKUP_POLL_S)
        self._polling = True
        polled = defer.ensureDeferred(self._poll())
        polled.addErrback(
            lambda failure: _log.error(
                "unexpected failure while polling the table service: %s", failure
            )
        )
        polled.addBoth(self._poll_done)

    def _poll_done(self, _result: object) -> None:
        self._polling = False

    async def _poll(self) -> None:
        try:
            newest, rows = await self._table.changes(self._since)
        except errors.PlatformError as error:
            self._on_failure(error)
            self.note_failure(error)
            return
        self._since = newest
        self.reachable = True
        self.has_state = True
        self._rows.push(rows)

    def note_failure(self, error: errors.PlatformError) -> None:
        """Record that a call to the table failed, and poll it again soon."""
        if self.reachable:
            _log.warning("call to the table service failed: %s", error, extra={"step": error.step})
        self.reachable = False
        # Decisions that need the table wait until it answers, so it is polled again soon.
        self._next_poll_at = min(self._next_poll_at, self._clock.seconds() + RETRY_S)

    async def refresh(self) -> None:
        """Read the changed rows, for example after a conflict, and push them to the peers.

        Reads the change feed instead of single rows, which could be newer than the known versions
        of rows that were written in the same transaction.
        """
        await self._poll()
