"""Keeps the configuration and the servers current, from the store or from the planner's updates."""

from __future__ import annotations

import dataclasses
import logging
import random
from collections.abc import Callable
from typing import Any

from twisted.internet import defer

from celerystack import errors, ids, supervision
from celerystack.fleet import directory_sync, evacuations, rows, servers
from celerystack.gateway import config

_log = logging.getLogger(__name__)

CONFIG_WAIT_S = 1.2
"""Maximum duration of a long poll, which bounds the time until a dead connection is detected."""
CONFIG_WAIT_PLANNER_S = 0.4
"""The same on the planner, each of whose polls confirms the configuration for all entry VMs."""
SERVERS_INTERVAL_S = 1.0
"""Polling interval; heartbeats change the rows so often that a long poll would return at once."""
SERVERS_SHORT_INTERVAL_S = 0.4
"""Polling interval on the planner, whose updates reach other entry VMs with a delay, and while a
server needs confirmation."""
RETRY_S = 0.15
"""Base of the exponential backoff in seconds; it is doubled for each failed call in a row."""
RETRY_MAX_S = 0.6
"""Upper bound of the exponential backoff in seconds; calls that the store rejects consume
resources too."""
FLEET_RETRIES_PER_S = 100
"""Retries of each task that all entry VMs together make per second at most, by a longer backoff."""
FLEET_RETRY_MAX_S = 2.0
"""Upper bound of this longer backoff in seconds. The planner, which tells the other entry VMs when
the store is back, does not use it."""
RESTORED_S = 2.0
"""Time in seconds after the return of the store from an earlier copy within which operators and
running servers write again what the copy lacks."""
RESCAN_JITTER_S = 0.5
"""Largest random delay of the read of all rows after it, so that not all VMs read at once."""
CONFIG_TASK = "the watch of the configuration"
SERVERS_TASK = "the watch of the servers"


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class RowLayout:
    """Names of the tables and keys that hold configuration and servers, and decoders of their rows.

    The decoders raise `errors.CorruptRowError` for rows that must be ignored.

    Attributes
    ----------
    evacuated_zone : callable
        Returns the zone that a row of the configuration's table evacuates, by its key; None if the
        row is about something else.
    """

    config_table: str
    config_key: ids.RowKey
    servers_table: str
    decode_config: Callable[[bytes], config.RoutingConfig]
    decode_server: Callable[[ids.RowKey, bytes], servers.ServerEntry]
    evacuated_zone: Callable[[ids.RowKey], ids.ZoneName | None]


class StoreWatcher:
    """Keeps the configuration and the server directory up to date.

    Parameters
    ----------
    on_config : callable
        Called with each configuration that is newer than the last one.
    needs_confirmation : callable
        Returns whether a server needs confirmation, so that its entry must be read from the store.
    entry_vms : callable
        Returns the number of entry VMs that share the store.
    """

    def __init__(
        self,
        reactor: Any,
        *,
        store: rows.RowStore,
        row_layout: RowLayout,
        directory: servers.Directory,
        updates: directory_sync.DirectorySync,
        evacuated: evacuations.Evacuations,
        on_config: Callable[[config.RoutingConfig], None],
        needs_confirmation: Callable[[], bool],
        entry_vms: Callable[[], int],
        now: Callable[[], float],
    ) -> None:
        self._reactor = reactor
        self._store = store
        self._row_layout = row_layout
        self._directory = directory
        self._updates = updates
        self._evacuations = evacuated
        self._on_config = on_config
        self._needs_confirmation = needs_confirmation
        self._entry_vms = entry_vms
        self._now = now
        self._config_version = ids.ConfigVersion(-1)
        self._store_is_up = True
        self._failures = 0
        self._era: ids.StoreEra | None = None
        self._config_rescan_at = float("inf")
        self._servers_rescan_at = float("inf")
        self.servers_known = False
        self._unreadable: dict[ids.RowKey, str] = {}
        self._update_waits: list[defer.Deferred[None]] = []
        self._config_poll: defer.Deferred[rows.Rows | None] | None = None
        self._config_read: defer.Deferred[rows.Rows | None] | None = None
        updates.on_update(self._handle_update)
        updates.on_config_offer(self._take_config)

    def start(self) -> None:
        """Follow both tables until the process ends.

        After an unexpected error a table is read from its start.
        """
        for following in (
            supervision.run_forever(self._reactor, CONFIG_TASK, self._follow_config),
            supervision.run_forever(
                self._reactor,
                SERVERS_TASK,
                self._follow_servers,
                on_error=self._updates.note_history_lost,
            ),
        ):
            defer.Deferred.fromCoroutine(following)

    def _wait_for_update(self, seconds: float) -> defer.Deferred[None]:
        """Wait for a time, or until updates arrive if that is sooner."""
        done: defer.Deferred[None] = defer.Deferred()
        timer = self._reactor.callLater(seconds, self._end_update_wait, done)
        done.addBoth(lambda _: timer.cancel() if timer.active() else None)
        self._update_waits.append(done)
        return done

    def _end_update_wait(self, done: defer.Deferred[None]) -> None:
        self._update_waits.remove(done)
        done.callback(None)

    def _handle_update(self) -> None:
        if self._updates.lacks_config:
            self._restart_config_poll()
        for done in list(self._update_waits):
            self._end_update_wait(done)

    def _restart_config_poll(self) -> None:
        """Cancel the pending long poll, whose answer may never arrive, so that it is restarted."""
        poll, self._config_poll = self._config_poll, None
        if poll is not None:
            poll.cancel()

    def _cancel_config_read(self) -> None:
        """Cancel the pending read, whose answer would only fill the link."""
        read, self._config_read = self._config_read, None
        if read is not None:
            read.cancel()

    def _sleep(self, seconds: float) -> defer.Deferred[None]:
        done: defer.Deferred[None] = defer.Deferred()
        self._reactor.callLater(seconds, done.callback, None)
        return done

    async def _follow_config(self) -> None:
        version: ids.RowVersion | None = None
        while True:
            if self._now() >= self._config_rescan_at:
                version, self._config_rescan_at = None, float("inf")
            valid_s = self._updates.config_valid_s()
            if version is not None and valid_s:
                await self._wait_for_update(valid_s)
                continue
            # `changes` would return every version since; a scan returns only the newest one.
            after = None if self._updates.lacks_config else version
            wait_s = CONFIG_WAIT_PLANNER_S if self._updates.is_leader else CONFIG_WAIT_S
            started = self._now()
            reading = defer.Deferred.fromCoroutine(
                self._read(self._row_layout.config_table, after, wait_s)
            )
            # A scan is not restarted when further versions are announced meanwhile.
            self._config_poll = None if after is None else reading
            self._config_read = None if version is None else reading
            try:
                answer = await reading
            except defer.CancelledError:
                continue
            except rows.HistoryLostError:
                version = None
                continue
            finally:
                self._config_poll = self._config_read = None
            if answer is not None:
                version = answer.version
                self._apply_evacuations(answer, started, is_scan=after is None)
                self._apply_config(answer)
                # An empty answer to a long poll is sent when its wait is over.
                was_empty_poll = after is not None and not answer.rows
                self._updates.note_config_read(
                    min(started + wait_s, self._now()) if was_empty_poll else started
                )
            if answer is None or self._updates.lacks_config:
                await self._sleep(self._retry_delay_s())

    async def _follow_servers(self) -> None:
        while True:
            if self._now() >= self._servers_rescan_at:
                self._updates.note_history_lost()
                self._servers_rescan_at = float("inf")
            valid_s = self._updates.valid_s()
            if valid_s and not self._needs_confirmation():
                await self._wait_for_update(valid_s)
                continue
            started = self._now()
            was_up = self._store_is_up
            full_scan = self._updates.must_scan
            position = None if full_scan else self._updates.position
            try:
                answer = await self._read(self._row_layout.servers_table, position, 0.0)
            except rows.HistoryLostError:
                self._updates.note_history_lost()
                continue
            if answer is None:
                await self._sleep(self._retry_delay_s())
                continue
            if not was_up:
                self._restart_config_poll()
            if answer.version >= self._updates.position:
                self._apply_servers(answer, full_scan)
                self._updates.note_read(answer.version, started, full_scan=full_scan)
                self._directory.note_read(started, answer.version)
            use_short_interval = self._updates.is_leader or self._needs_confirmation()
            await self._sleep(
                SERVERS_SHORT_INTERVAL_S if use_short_interval else SERVERS_INTERVAL_S
            )

    async def _read(
        self, table: str, after: ids.RowVersion | None, wait_s: float
    ) -> rows.Rows | None:
        """Return the changes of a table, all rows without ``after``; None if the store failed."""
        try:
            if after is None:
                answer = await self._store.scan(table)
            else:
                answer = await self._store.changes(table, after, wait_s=wait_s)
        except rows.HistoryLostError:
            _log.info(
                "the store no longer has the requested changes; reading all rows",
                extra={"step": table},
            )
            raise
        except errors.PlatformError as error:
            self._note_store_result(error)
            self._directory.note_failure(self._now())
            return None
        self._note_store_result(None)
        self._directory.note_answer(self._now())
        self._note_era(rows.era_of(answer.version))
        return answer

    def _note_era(self, era: ids.StoreEra) -> None:
        """Read all rows again soon after the store came back from an earlier copy."""
        if self._era is not None and era > self._era:
            restored_until = self._now() + RESTORED_S
            self._directory.note_store_restored(self._now())
            self._evacuations.keep_until(restored_until)
            rescan_at = restored_until + random.uniform(0.0, RESCAN_JITTER_S)
            self._config_rescan_at = self._servers_rescan_at = rescan_at
            _log.warning(
                "the store came back from an earlier copy; reading all rows",
                extra={"step": "feeds"},
            )
        self._era = era

    def _retry_delay_s(self) -> float:
        """Return the backoff delay, with jitter so that the VMs do not retry at the same time."""
        bound_s = RETRY_MAX_S
        if not self._updates.is_leader:
            fleet_s = min(FLEET_RETRY_MAX_S, self._entry_vms() / FLEET_RETRIES_PER_S)
            bound_s = max(RETRY_MAX_S, fleet_s)
        delay_max_s = min(bound_s, RETRY_S * 2.0 ** min(self._failures, 8))
        return delay_max_s * random.uniform(0.7, 1.0)

    def _note_store_result(self, error: errors.PlatformError | None) -> None:
        is_up = error is None
        self._failures = 0 if is_up else self._failures + 1
        if is_up == self._store_is_up:
            return
        self._store_is_up = is_up
        if error is None:
            _log.info("the store is available again", extra={"step": "feeds"})
        else:
            _log.warning("the store is not available: %s", error, extra={"step": "feeds"})

    def _take_config(self, version: ids.RowVersion, value: bytes) -> None:
        """Apply a configuration row that the planner has sent."""
        row = rows.Row(key=self._row_layout.config_key, value=value, version=version)
        self._apply_config(rows.Rows(rows=(row,), version=version))
        if not self._updates.lacks_config:
            self._cancel_config_read()
        for done in list(self._update_waits):
            self._end_update_wait(done)

    def _apply_evacuations(self, answer: rows.Rows, started: float, *, is_scan: bool) -> None:
        present_by_zone: dict[ids.ZoneName, bool] = {}
        for row in answer.rows:
            zone = self._row_layout.evacuated_zone(row.key)
            if zone is not None:
                present_by_zone[zone] = row.value is not None
        if is_scan:
            zones = [zone for zone, present in present_by_zone.items() if present]
            self._evacuations.apply_scan(zones, answer.version, started)
        else:
            self._evacuations.apply_changes(present_by_zone, answer.version, started)

    def _apply_config(self, answer: rows.Rows) -> None:
        for row in answer.rows:
            if row.key != self._row_layout.config_key or row.value is None:
                continue
            self._updates.note_config(row.version, row.value)
            try:
                routing = self._row_layout.decode_config(row.value)
            except errors.CorruptRowError as error:
                _log.warning(
                    "ignored a malformed configuration: %s", error, extra={"step": "config"}
                )
                continue
            if routing.version <= self._config_version:
                if routing.version < self._config_version:
                    _log.warning(
                        "ignored configuration %d, which is older than the active configuration %d",
                        routing.version,
                        self._config_version,
                        extra={"step": "config"},
                    )
                continue
            self._config_version = routing.version
            _log.info(
                "applied configuration %d with %d routes",
                routing.version,
                len(routing.routes),
                extra={"step": "config"},
            )
            self._on_config(routing)

    def _apply_servers(self, answer: rows.Rows, full_scan: bool) -> None:
        entries: list[servers.ServerEntry] = []
        removed: list[ids.ServerId] = []
        unreadable: list[servers.ServerEntry] = []
        for row in answer.rows:
            if row.value is None:
                removed.append(ids.ServerId(row.key))
                continue
            try:
                entry = self._row_layout.decode_server(row.key, row.value)
                entries.append(dataclasses.replace(entry, row_version=row.version))
                self._unreadable.pop(row.key, None)
            except errors.CorruptRowError as error:
                self._note_unreadable(row.key, error)
                known = self._directory.by_id.get(ids.ServerId(row.key))
                if known is not None:
                    unreadable.append(known.entry)
        now = self._now()
        if full_scan:
            self._directory.apply_all([*entries, *unreadable], now)
        else:
            self._directory.apply_changes(entries, removed, now)
        self.servers_known = True

    def _note_unreadable(self, key: ids.RowKey, error: errors.CorruptRowError) -> None:
        if self._unreadable.get(key) != error.reason:
            self._unreadable[key] = error.reason
            _log.warning("ignored a malformed server entry: %s", error, extra={"step": "servers"})
