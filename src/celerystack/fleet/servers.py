"""Directory of the backend servers, from the entries with which they register themselves."""

from __future__ import annotations

import collections
import dataclasses
import enum
import logging
import zlib
from collections.abc import Iterable

from celerystack import ids
from celerystack.ranges import model

_log = logging.getLogger(__name__)

OUTAGE_S = 1.6
"""Time without a successful read after which the store is considered to have been unavailable."""
UNAVAILABLE_AFTER_FAILURE_S = 2.5
"""Time after a failed read during which the store is considered unavailable; longer than the time
between two consecutive failures while the store does not answer."""
RETURN_GRACE_S = 2.0
"""Grace period in seconds after an outage of the store, within which running servers write entries
that expired during the outage again."""
REMOVED_KEPT_S = 120.0
"""Time in seconds for which the record of a removed server is kept, so that it is still known where
its incarnations listen and which of them have ended."""
REPLACED_KEPT = 8
"""Number of earlier incarnations of a server whose records are kept beside that of the current one.
"""
EARLIER_START_S = 2.0
"""Time in seconds for which an entry with an earlier start must stay in the table to replace the
known one; a running server writes its own entry again sooner."""
COLD_AGAIN_S = 1.0
"""By how many seconds a server stays cold longer than was known, for it to have gone cold again;
more than the time between two of its entries, which say how long it stays cold."""
UNCONFIGURED_KEPT = 10_000
"""Number of entries of services that no configuration names up to which they are kept."""
EXPIRY_INTERVAL_S = 0.05
"""Shortest interval in seconds between two searches for expired entries and records."""
READS_KEPT = 30
"""Number of the latest reads of the entries among which `Directory.version_after` searches."""


class ServerState(enum.Enum):
    """State that a server reports in its entry."""

    READY = "ready"
    DRAINING = "draining"


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ServerEntry:
    """Entry that a server writes to register itself and to renew its registration.

    Attributes
    ----------
    slots : int
        Number of requests that the server runs concurrently.
    cold_s : float
        Remaining time in seconds, from the time of the entry, for which the server is slow
        because it has just started.
    row_version : RowVersion
        Version of the row; 0 if the entry was received from another entry VM.
    """

    server: ids.ServerId
    service: ids.ServiceName
    address: str
    zone: ids.ZoneName
    slots: int
    state: ServerState
    cold_s: float
    started_ms: int
    row_version: ids.RowVersion = ids.RowVersion(0)

    @property
    def incarnation(self) -> model.ServerIncarnation:
        """Server incarnation that wrote the entry."""
        return model.ServerIncarnation(self.server, self.started_ms)


@dataclasses.dataclass(slots=True)
class ServerRecord:
    """State of a server, as known to this entry VM.

    Attributes
    ----------
    appeared_at : float
        Clock time in seconds at which this incarnation was first seen.
    seen_at : float
        Clock time in seconds of the last read that contained the entry or reported its removal.
    warm_at : float
        Clock time in seconds from which the server is no longer slow because of its start.
    expired : bool
        Whether the entry is missing after an outage of the store, but may be written again.
    latest_version : RowVersion
        Newest version of the row that this VM has read.
    removed : bool
        Whether the entry was removed.
    address_reused : bool
        Whether another server answered at the address, so that this incarnation has ended.
    leaving : bool
        Whether the server has stated in an answer that it leaves, whatever its entry says.
    contender : ServerEntry or None
        Entry of an incarnation with an earlier start that the table has in place of this one's.
    contended_at : float
        Clock time in seconds from which the table has that entry.
    """

    entry: ServerEntry
    appeared_at: float
    seen_at: float
    warm_at: float
    latest_version: ids.RowVersion = ids.RowVersion(0)
    expired: bool = False
    removed: bool = False
    address_reused: bool = False
    leaving: bool = False
    contender: ServerEntry | None = None
    contended_at: float = 0.0

    @property
    def usable(self) -> bool:
        """Whether new requests may be sent to the server."""
        is_registered = not self.removed and not self.address_reused
        return is_registered and not self.leaving and self.entry.state is ServerState.READY

    @property
    def present(self) -> bool:
        """Whether the entry is in the table, according to the last read."""
        return not self.removed and not self.expired


class Directory:
    """All known servers, according to their entries.

    An entry proves nothing about another incarnation, whatever start time it states: clocks are set
    back, and other writers write entries, too. Only an answer from the address of an incarnation
    proves that it has ended.

    Another writer may have written an entry of a service that no configuration names. Such an entry
    is kept apart and changes nothing, until a later configuration names the service.
    """

    def __init__(self) -> None:
        self.by_id: dict[ids.ServerId, ServerRecord] = {}
        self.version = 0
        self._configured_services: frozenset[ids.ServiceName] | None = None
        self._unconfigured_by_id: dict[ids.ServerId, ServerEntry] = {}
        self._ignored_by_id: dict[ids.ServerId, tuple[ids.ServiceName, str]] = {}
        self._replaced_by_id: dict[ids.ServerId, collections.deque[ServerRecord]] = {}
        self._read_at: float | None = None
        self._entries_read_at = float("-inf")
        self._entries_read_since = float("-inf")
        self._grace_ends_at = 0.0
        self._returns_ignored_until = float("-inf")
        self._failed_at = float("-inf")
        self._next_expiry_at = 0.0
        self._changed_ids: set[ids.ServerId] = set()
        self._reads: collections.deque[tuple[float, ids.RowVersion]] = collections.deque(
            maxlen=READS_KEPT
        )
        self._present_ids_by_address: dict[str, set[ids.ServerId]] = {}
        self._addresses_version = -1
        self._digest = 0
        self._digest_version = -1
        self._evacuated_zones: frozenset[ids.ZoneName] = frozenset()
        self._closed_zones: frozenset[ids.ZoneName] = frozenset()

    def add_services(self, services: Iterable[ids.ServiceName]) -> None:
        """Record that a configuration names these services; earlier ones stay known.

        Until the first call, all services count as configured.
        """
        known = self._configured_services or frozenset()
        configured = known.union(services)
        if configured == self._configured_services:
            return
        self._configured_services = configured
        self.version += 1
        self._set_unconfigured_apart()
        for entry in list(self._unconfigured_by_id.values()):
            if self._is_configured(entry):
                self._update(entry, self._entries_read_at, is_accepted=True)

    def _set_unconfigured_apart(self) -> None:
        """Keep entries apart that were read before the configuration, which does not name them."""
        for server, record in list(self.by_id.items()):
            if not self._is_configured(record.entry):
                self._forget(server)
                if record.present:
                    self._unconfigured_by_id[server] = record.entry

    def _is_configured(self, entry: ServerEntry) -> bool:
        services = self._configured_services
        return services is None or entry.service in services

    def apply_changes(
        self,
        entries: Iterable[ServerEntry],
        removed: Iterable[ids.ServerId],
        now: float,
        *,
        are_accepted: bool = False,
    ) -> None:
        """Apply changed entries and removed server ids that were read at the time ``now``.

        Parameters
        ----------
        are_accepted : bool
            Whether another entry VM has accepted the entries, so that none waits as a contender.
        """
        self.note_answer(now)
        self._note_entries_read(now)
        for entry in entries:
            self._update(entry, now, is_accepted=are_accepted)
        for server in removed:
            self._remove(server, now)
        self.expire(now)

    def apply_all(self, entries: Iterable[ServerEntry], now: float) -> None:
        """Apply a read of the whole table; servers without an entry are treated as removed."""
        self._unconfigured_by_id.clear()
        found = {entry.server: entry for entry in entries}
        missing = [server for server in self.by_id if server not in found]
        self.apply_changes(found.values(), missing, now)

    def is_current(self, now: float) -> bool:
        """Return whether the store recently answered a read."""
        return self._read_at is not None and now - self._read_at <= OUTAGE_S

    def note_failure(self, now: float) -> None:
        """Record a failed call to the store."""
        self._failed_at = now

    def is_store_unavailable(self, now: float) -> bool:
        """Return whether the last calls to the store failed.

        A VM that was suspended has made no calls, so that none of them has failed.
        """
        return now - self._failed_at <= UNAVAILABLE_AFTER_FAILURE_S and self._failed_at > (
            self._read_at or 0.0
        )

    def set_evacuations(
        self, *, evacuated: frozenset[ids.ZoneName], closed: frozenset[ids.ZoneName]
    ) -> None:
        """Set the evacuated zones, and those of them whose servers get no requests any more."""
        if (evacuated, closed) != (self._evacuated_zones, self._closed_zones):
            self._evacuated_zones, self._closed_zones = evacuated, closed
            self.version += 1

    def usable(self, service: ids.ServiceName) -> list[ServerRecord]:
        """Return the servers of a service that may be given new requests and keys."""
        return [
            record
            for record in self._ready(service)
            if record.entry.zone not in self._evacuated_zones
        ]

    def serving(self, service: ids.ServiceName) -> list[ServerRecord]:
        """Return the servers of a service that may get requests for keys that they own.

        Beside the usable ones these are the servers of evacuated zones until their keys have moved,
        or until the zone is closed.
        """
        return [
            record for record in self._ready(service) if record.entry.zone not in self._closed_zones
        ]

    def _ready(self, service: ids.ServiceName) -> list[ServerRecord]:
        return [
            record
            for record in self.by_id.values()
            if record.entry.service == service and record.usable
        ]

    def find_record(self, incarnation: model.ServerIncarnation) -> ServerRecord | None:
        """Return the record of an incarnation; None if it is unknown or not the recorded one."""
        record = self.by_id.get(incarnation.server)
        if record is None or record.entry.started_ms != incarnation.started_ms:
            return None
        return record

    def find_entry(self, incarnation: model.ServerIncarnation) -> ServerEntry | None:
        """Return the last entry of an incarnation, which another one may have replaced since."""
        record = self._find_any_record(incarnation)
        return None if record is None else record.entry

    def _find_any_record(self, incarnation: model.ServerIncarnation) -> ServerRecord | None:
        record = self.find_record(incarnation)
        if record is not None:
            return record
        for replaced in self._replaced_by_id.get(incarnation.server, ()):
            if replaced.entry.incarnation == incarnation:
                return replaced
        return None

    def has_ended(self, incarnation: model.ServerIncarnation) -> bool:
        """Return whether an incarnation has ended, as another server answered at its address."""
        record = self._find_any_record(incarnation)
        return record is not None and record.address_reused

    def is_replaced(self, incarnation: model.ServerIncarnation) -> bool:
        """Return whether another server is registered in the place of an incarnation.

        It has the same id or the same address. This is no proof that the incarnation has ended.
        """
        registered = self.by_id.get(incarnation.server)
        if registered is not None and registered.entry.incarnation != incarnation:
            return True
        entry = self.find_entry(incarnation)
        return entry is not None and bool(
            self._present_ids(entry.address).difference([incarnation.server])
        )

    def _present_ids(self, address: str) -> set[ids.ServerId]:
        """Return the servers registered at an address, which are collected once per version."""
        if self._addresses_version != self.version:
            self._addresses_version = self.version
            self._present_ids_by_address = {}
            for server, record in self.by_id.items():
                if record.present:
                    found = self._present_ids_by_address.setdefault(record.entry.address, set())
                    found.add(server)
        return self._present_ids_by_address.get(address, set())

    def note_address_reused(self, incarnation: model.ServerIncarnation) -> None:
        """Record that another server answered at the address of an incarnation."""
        record = self._find_any_record(incarnation)
        if record is not None and not record.address_reused:
            record.address_reused = True
            self._record_change(
                "another server has taken over the address of the server", record.entry
            )

    def incarnations_with_reused_address(self) -> tuple[model.ServerIncarnation, ...]:
        """Return incarnations whose address another server answered and whose entries remain."""
        return tuple(
            record.entry.incarnation
            for record in self.by_id.values()
            if record.address_reused and not record.removed
        )

    def note_leaving(self, incarnation: model.ServerIncarnation) -> None:
        """Record that an incarnation has stated in an answer that it leaves.

        It stays so until another incarnation registers; an entry may be older than the statement.
        """
        record = self.find_record(incarnation)
        if record is not None and not record.leaving:
            record.leaving = True
            self._record_change("server states that it leaves", record.entry)

    def leaving_incarnations(self) -> tuple[model.ServerIncarnation, ...]:
        """Return incarnations that have stated that they leave, and whose entries say otherwise."""
        return tuple(
            record.entry.incarnation
            for record in self.by_id.values()
            if record.leaving and not record.removed and record.entry.state is ServerState.READY
        )

    def note_read(self, started_at: float, version: ids.RowVersion) -> None:
        """Record the start time and the resulting store version of a read of the entries."""
        self._reads.append((started_at, version))

    def has_stayed(self, record: ServerRecord, since: float, duration_s: float) -> bool:
        """Return whether an entry stayed in the table for a time after ``since``.

        The entries must have been read without a gap from before ``since`` on.
        """
        is_unbroken = self._entries_read_since <= since and record.contender is None
        return record.present and is_unbroken and self._entries_read_at - since >= duration_s

    def _note_entries_read(self, now: float) -> None:
        if now - self._entries_read_at > OUTAGE_S:
            self._entries_read_since = now
        self._entries_read_at = max(self._entries_read_at, now)

    def version_after(self, moment: float) -> ids.RowVersion | None:
        """Return the store version of the first read that began after ``moment``, or None."""
        return next((version for started_at, version in self._reads if started_at > moment), None)

    def take_changed(self) -> list[ServerRecord]:
        """Return the records of the servers that changed since the last call."""
        changed, self._changed_ids = self._changed_ids, set()
        return [self.by_id[server] for server in sorted(changed) if server in self.by_id]

    def digest(self) -> int:
        """Return a checksum over the ids, incarnations and states of the present servers."""
        if self._digest_version != self.version:
            self._digest_version = self.version
            present = sorted(
                f"{record.entry.server}/{record.entry.started_ms}/{record.entry.state.value}"
                for record in self.by_id.values()
                if record.present
            )
            self._digest = zlib.crc32("\n".join(present).encode())
        return self._digest

    def note_answer(self, now: float) -> None:
        """Record a successful call to the store; start the grace period if it ended an outage."""
        if self._read_at is not None and now < self._read_at:
            return
        if self._read_at is not None and now - self._read_at > OUTAGE_S:
            self._grace_ends_at = now + RETURN_GRACE_S
        self._read_at = now

    def _note_ignored(self, entry: ServerEntry, reason: str) -> None:
        """Log once that the entry of another writer stands in the place of a server's own."""
        ignored = (entry.service, entry.address)
        if self._ignored_by_id.get(entry.server) == ignored:
            return
        self._ignored_by_id[entry.server] = ignored
        _log.warning(
            "ignored an entry of the service %s at %s: %s",
            entry.service,
            entry.address,
            reason,
            extra={"step": "servers", "peer": entry.server},
        )

    def note_store_restored(self, now: float) -> None:
        """Record that the store came back from an earlier copy.

        Entries written since the copy are missing until the servers write them again, and entries
        removed since are there again until they are removed once more.
        """
        self._grace_ends_at = now + RETURN_GRACE_S
        self._returns_ignored_until = now + RETURN_GRACE_S

    def _update(self, entry: ServerEntry, now: float, *, is_accepted: bool) -> None:
        record = self.by_id.get(entry.server)
        is_known = record is not None and self._configured_services is not None
        if is_known and record.entry.service != entry.service:
            self._note_ignored(entry, "the service differs from that of the server")
            return
        if not self._is_configured(entry):
            if len(self._unconfigured_by_id) < UNCONFIGURED_KEPT:
                self._unconfigured_by_id[entry.server] = entry
            return
        self._unconfigured_by_id.pop(entry.server, None)
        if record is None:
            self._record_change("server appeared", entry)
            self.by_id[entry.server] = _new_record(entry, now)
            return
        if record.entry.incarnation != entry.incarnation:
            if is_accepted or entry.started_ms > record.entry.started_ms:
                self._replace(record, entry, now)
            else:
                self._contend(record, entry, now)
            return
        record.contender = None
        if record.entry.address != entry.address:
            self._note_ignored(entry, "the address differs from that of the server")
            return
        if record.removed and now < self._returns_ignored_until:
            return
        if record.entry.state is ServerState.DRAINING and entry.state is ServerState.READY:
            # A delayed entry from before the drain; an incarnation never becomes ready again.
            entry = dataclasses.replace(entry, state=ServerState.DRAINING)
        if record.removed or record.expired or record.entry.state is not entry.state:
            self._record_change(f"server is {entry.state.value}", entry)
        record.entry = entry
        record.seen_at = now
        record.latest_version = max(record.latest_version, entry.row_version)
        warm_at = now + entry.cold_s
        if entry.cold_s > 0 and warm_at > max(now, record.warm_at) + COLD_AGAIN_S:
            record.warm_at = warm_at
            self._record_change("server is cold again", entry)
        else:
            record.warm_at = min(record.warm_at, warm_at)
        record.removed = record.expired = False

    def _contend(self, record: ServerRecord, entry: ServerEntry, now: float) -> None:
        """Note an entry with an earlier start than the known one.

        It may be a delayed entry of an earlier incarnation, which a running server soon replaces,
        or that of a later one whose clock was set back.
        """
        if record.contender is None or record.contender.incarnation != entry.incarnation:
            record.contended_at = now
            _log.info(
                "the entry of the server has an earlier start than the known one",
                extra={"step": "servers", "peer": entry.server},
            )
        record.contender = entry

    def _replace(self, record: ServerRecord, entry: ServerEntry, now: float) -> None:
        """Record another incarnation under the id of a known one.

        If it has been there before, what was known of it still holds.
        """
        replaced = self._replaced_by_id.setdefault(
            entry.server, collections.deque(maxlen=REPLACED_KEPT)
        )
        before = next((old for old in replaced if old.entry.incarnation == entry.incarnation), None)
        if before is not None:
            replaced.remove(before)
        record.contender = None
        replaced.append(record)
        self.by_id[entry.server] = before or _new_record(entry, now)
        self._record_change("server appeared with another start", entry)
        if before is not None:
            self._update(entry, now, is_accepted=True)

    def _remove(self, server: ids.ServerId, now: float) -> None:
        self._unconfigured_by_id.pop(server, None)
        record = self.by_id.get(server)
        if record is None:
            return
        record.contender = None
        if record.removed or record.expired:
            return
        record.seen_at = now
        if now < self._grace_ends_at and record.entry.state is ServerState.READY:
            record.expired = True
            self._record_change("server entry expired during an outage of the store", record.entry)
            return
        record.removed = True
        self._record_change("server entry was removed", record.entry)

    def expire(self, now: float) -> None:
        """Treat servers as removed whose entries were not written again within the grace period.

        Also discards the records of servers that have been removed for `REMOVED_KEPT_S`.
        """
        if now < self._next_expiry_at:
            return
        self._next_expiry_at = now + EXPIRY_INTERVAL_S
        for server, record in list(self.by_id.items()):
            if record.expired and now >= self._grace_ends_at:
                record.expired = False
                record.removed = True
                self._record_change(
                    "server entry was not written again after the outage of the store", record.entry
                )
            elif record.removed and now - record.seen_at > REMOVED_KEPT_S:
                self._forget(server)
            elif record.contender is not None and (
                self._entries_read_at >= record.contended_at + EARLIER_START_S
            ):
                self._replace(record, record.contender, now)

    def _forget(self, server: ids.ServerId) -> None:
        del self.by_id[server]
        self._ignored_by_id.pop(server, None)
        self._replaced_by_id.pop(server, None)

    def _record_change(self, message: str, entry: ServerEntry) -> None:
        self.version += 1
        self._changed_ids.add(entry.server)
        _log.info(
            "%s", message, extra={"step": "servers", "peer": entry.server, "service": entry.service}
        )


def _new_record(entry: ServerEntry, now: float) -> ServerRecord:
    return ServerRecord(entry=entry, appeared_at=now, seen_at=now, warm_at=now + entry.cold_s)
