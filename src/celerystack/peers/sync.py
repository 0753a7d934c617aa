"""Synchronizes the row caches of the entry VMs by pushing rows and comparing versions."""

from __future__ import annotations

from twisted.internet import interfaces

from celerystack import ids, model
from celerystack.peers import mesh as peer_mesh
from celerystack.peers import messages
from celerystack.state import cache as row_cache
from celerystack.store import ports

COMPARE_INTERVAL_S = 0.3
"""Minimum time between two comparisons of versions with the same peer."""


class RowSync:
    """Exchanges rows with peers whose cache digest differs."""

    def __init__(
        self,
        clock: interfaces.IReactorTime,
        *,
        mesh: peer_mesh.Mesh,
        cache: row_cache.RowCache,
    ) -> None:
        self._clock = clock
        self._mesh = mesh
        self._cache = cache
        self._next_compare_by_vm: dict[ids.EntryVmId, float] = {}
        mesh.add_handler(self._handle)

    def push(self, rows: list[ports.Row]) -> None:
        """Merge rows read from or written to the table; send those that are new to all peers."""
        changed = self._cache.merge(rows)
        if changed:
            self._mesh.broadcast(_rows_message(changed))

    def _handle(self, sender: model.EntryVm, message: messages.Message) -> None:
        match message:
            case messages.Heartbeat(digest=digest) if digest != self._cache.digest:
                self._send_versions(sender)
            case messages.RowVersions(versions_by_key):
                self._exchange_rows(sender, versions_by_key)
            case messages.RowsWanted(keys):
                rows = [self._cache.get(key) for key in keys]
                self._mesh.send(sender.vm, _rows_message([row for row in rows if row.version]))
            case messages.Rows(rows):
                self._cache.merge(ports.Row(*row) for row in rows)

    def _send_versions(self, peer: model.EntryVm) -> None:
        now = self._clock.seconds()
        if now < self._next_compare_by_vm.get(peer.vm, 0.0):
            return
        self._next_compare_by_vm[peer.vm] = now + COMPARE_INTERVAL_S
        self._mesh.send(peer.vm, messages.RowVersions(self._cache.versions_by_key()))

    def _exchange_rows(
        self, peer: model.EntryVm, peer_versions_by_key: dict[ids.RowKey, ids.RowVersion]
    ) -> None:
        own_versions_by_key = self._cache.versions_by_key()
        newer_keys = [
            k
            for k, version in own_versions_by_key.items()
            if version > peer_versions_by_key.get(k, 0)
        ]
        wanted_keys = [
            k
            for k, version in peer_versions_by_key.items()
            if version > own_versions_by_key.get(k, 0)
        ]
        if newer_keys:
            self._mesh.send(peer.vm, _rows_message([self._cache.get(key) for key in newer_keys]))
        if wanted_keys:
            self._mesh.send(peer.vm, messages.RowsWanted(tuple(wanted_keys)))


def _rows_message(rows: list[ports.Row]) -> messages.Rows:
    return messages.Rows(tuple((row.key, row.version, row.value) for row in rows))
