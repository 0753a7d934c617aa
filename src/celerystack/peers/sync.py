"""Synchronizes the row caches of the entry VMs by pushing rows and comparing versions."""

from __future__ import annotations

from collections.abc import Iterator

from twisted.internet import interfaces

from celerystack import ids, model
from celerystack.peers import mesh as peer_mesh
from celerystack.peers import messages
from celerystack.state import cache as row_cache
from celerystack.store import ports

ROW_BYTES = 32
"""Bytes of a row in a message without its key and value."""
ROWS_BYTES_MAX = 4 << 20
"""Bytes of the rows in one message, which a frame of the stream must hold."""
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
            for message in _rows_messages(changed):
                self._mesh.broadcast(message)

    def _handle(self, sender: model.EntryVm, message: messages.Message) -> None:
        match message:
            case messages.Heartbeat(digest=digest) if digest != self._cache.digest:
                self._send_versions(sender)
            case messages.RowVersions(versions_by_key):
                self._exchange_rows(sender, versions_by_key)
            case messages.RowsWanted(keys):
                rows = [self._cache.get(key) for key in keys]
                self._send_rows(sender, [row for row in rows if row.version])
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
            self._send_rows(peer, [self._cache.get(key) for key in newer_keys])
        if wanted_keys:
            self._mesh.send(peer.vm, messages.RowsWanted(tuple(wanted_keys)))

    def _send_rows(self, peer: model.EntryVm, rows: list[ports.Row]) -> None:
        for message in _rows_messages(rows):
            self._mesh.send(peer.vm, message)


def _rows_messages(rows: list[ports.Row]) -> Iterator[messages.Rows]:
    """Yield messages of at most `ROWS_BYTES_MAX` bytes, or with a single row."""
    group: list[tuple[ids.RowKey, ids.RowVersion, bytes | None]] = []
    used = 0
    for row in rows:
        size = ROW_BYTES + len(row.key.encode()) + len(row.value or b"")
        if group and used + size > ROWS_BYTES_MAX:
            yield messages.Rows(tuple(group))
            group, used = [], 0
        group.append((row.key, row.version, row.value))
        used += size
    yield messages.Rows(tuple(group))
