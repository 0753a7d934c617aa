"""Passes what the planner read in the store on to the other entry VMs.

Only the planner reads the servers and waits for configurations all the time; the others read
themselves when its news stop, when news are missing, or when their view differs from the
planner's. The calls to the store therefore hardly grow with the number of entry VMs.
"""

from __future__ import annotations

import collections
import dataclasses
import logging
from collections.abc import Callable

from celerystack import ids
from celerystack.fleet import servers

_log = logging.getLogger(__name__)

NEWS_VALID_S = 1.0
"""Age from which news are too old to rely on; two of three beacons may be lost."""
CHANGES_PER_NEWS_MAX = 40
"""Bounds the size of a datagram; a VM that lacks more reads the store itself."""
BATCHES_KEPT = 200
UNKNOWN = ids.RowVersion(-1)
"""Position of a VM that has not read the servers yet."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Change:
    """The newest state of one server; ``present`` is False if its entry is missing."""

    entry: servers.ServerEntry
    present: bool


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class News:
    """What was read since the receiver's position.

    Attributes
    ----------
    since, position : RowVersion
        The changes lead from one store version to the other.
    age_s : float
        Time since the read began, when the news were sent.
    digest : int
        Digest of all present servers at ``position``.
    config_row : RowVersion
        Version of the newest row of the configuration.
    """

    since: ids.RowVersion
    position: ids.RowVersion
    age_s: float
    digest: int
    config_row: ids.RowVersion
    changes: tuple[Change, ...] = ()


class Relay:
    """Position of this VM in the servers' table, and the news that it can pass on.

    Parameters
    ----------
    now : callable
        Clock in seconds.

    Attributes
    ----------
    leading : bool
        Whether this VM is the planner and has to read the store itself; see `lead`.
    config_row : RowVersion
        Version of the newest row of the configuration that this VM has read.
    """

    def __init__(self, directory: servers.Directory, *, now: Callable[[], float]) -> None:
        self._directory = directory
        self._now = now
        self._batches: collections.deque[tuple[ids.RowVersion, tuple[Change, ...]]] = (
            collections.deque(maxlen=BATCHES_KEPT)
        )
        self._log_start = UNKNOWN
        self._read_at = float("-inf")
        self._announced_at = float("-inf")
        self._announced_config_row = UNKNOWN
        self._scan_needed = False
        self._news_listeners: list[Callable[[], None]] = []
        self._read_listeners: list[Callable[[], None]] = []
        self.position = UNKNOWN
        self.config_row = UNKNOWN
        self.leading = False

    def lead(self, leading: bool) -> None:
        """Take notice of whether this VM is the planner."""
        if leading != self.leading:
            self.leading = leading
            _notify(self._news_listeners)

    def on_news(self, listener: Callable[[], None]) -> None:
        """Call ``listener`` when it may have become necessary, or needless, to read the store."""
        self._news_listeners.append(listener)

    def on_read(self, listener: Callable[[], None]) -> None:
        """Call ``listener`` after each own read."""
        self._read_listeners.append(listener)

    @property
    def must_scan(self) -> bool:
        """Whether the servers must be read whole."""
        return self.position == UNKNOWN or self._scan_needed

    def valid_s(self) -> float:
        """Return for how long what is known of the servers can be relied on; 0 if it cannot."""
        if self.leading or self.must_scan:
            return 0.0
        return max(0.0, self._read_at + NEWS_VALID_S - self._now())

    def config_valid_s(self) -> float:
        """Return for how long a new configuration would be announced; 0 if this VM must ask."""
        if self.leading or self.lacks_config:
            return 0.0
        return max(0.0, self._announced_at + NEWS_VALID_S - self._now())

    @property
    def lacks_config(self) -> bool:
        """Whether a configuration was announced that this VM has not read."""
        return self._announced_config_row > self.config_row

    def note_read(self, position: ids.RowVersion, started_at: float, *, whole: bool) -> None:
        """Record an own read of the servers after its changes were applied."""
        self._read_at = max(self._read_at, started_at)
        if whole:
            self._scan_needed = False
            self._reset_log(position)
        self._advance(position)
        _notify(self._read_listeners)

    def note_history_lost(self) -> None:
        """Take notice that the changes since the position are not known to the store."""
        self._scan_needed = True

    def note_config(self, row: ids.RowVersion) -> None:
        """Record that this VM has read a row of the configuration."""
        self.config_row = max(self.config_row, row)

    def _reset_log(self, position: ids.RowVersion) -> None:
        """Drop the log: what a whole read changed has no base to which it could be added."""
        self._directory.take_changed()
        self._batches.clear()
        self._log_start = position

    def _advance(self, position: ids.RowVersion) -> None:
        changes = tuple(
            Change(entry=record.entry, present=record.present)
            for record in self._directory.take_changed()
        )
        if changes:
            if len(self._batches) == BATCHES_KEPT:
                self._log_start = self._batches[0][0]
            self._batches.append((position, changes))
        self.position = max(self.position, position)

    def news_since(self, since: ids.RowVersion) -> News | None:
        """Return the news for a VM at a position; None if the log does not reach back to it."""
        if self.position == UNKNOWN or since < self._log_start or since == UNKNOWN:
            return None
        # Only the last change of a server counts, whatever the order in which they are applied.
        changes = {
            change.entry.server: change
            for position, batch in self._batches
            if position > since
            for change in batch
        }
        if len(changes) > CHANGES_PER_NEWS_MAX:
            return None
        return News(
            since=since,
            position=self.position,
            age_s=max(0.0, self._now() - self._read_at),
            digest=self._directory.digest(),
            config_row=self.config_row,
            changes=tuple(changes.values()),
        )

    def take(self, news: News) -> None:
        """Take the news of another VM."""
        self._announced_config_row = max(self._announced_config_row, news.config_row)
        self._announced_at = max(self._announced_at, self._now() - news.age_s)
        if news.since <= self.position <= news.position and not self.must_scan:
            read_at = self._now() - news.age_s
            self._directory.apply_changes(
                [change.entry for change in news.changes if change.present],
                [change.entry.server for change in news.changes if not change.present],
                read_at,
            )
            self._advance(news.position)
            if news.digest == self._directory.digest():
                self._read_at = max(self._read_at, read_at)
            else:
                self._scan_needed = True
                _log.info(
                    "the planner's servers differ from this VM's; reading all of them",
                    extra={"step": "relay"},
                )
        _notify(self._news_listeners)


def _notify(listeners: list[Callable[[], None]]) -> None:
    for listener in listeners:
        listener()
