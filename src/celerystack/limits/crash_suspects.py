"""Detects requests that crash the servers which run them, across all entry VMs.

An entry VM reports the fingerprint of a request whose connection broke before any answer. A
fingerprint is quarantined when several server incarnations to which it was sent are down. One is
not enough, because every crash also breaks the connections of unrelated requests.
"""

from __future__ import annotations

import hashlib
from collections.abc import Callable, Iterable

from celerystack import ids
from celerystack.ranges import model

LOSSES_TO_QUARANTINE = 2
"""Number of server incarnations, of those to which a request was sent, that must be down before it
is quarantined."""
SUSPECT_KEPT_S = 60.0
"""Time in seconds after the last broken connection for which a request remains a suspect."""
QUARANTINE_S = 30.0
"""Duration of a quarantine in seconds, from the last loss that counted for it."""
SUSPECTS_MAX = 2000
"""Limit on the suspects that the planner keeps, and on the broken requests to be reported."""
SUSPECT_BYTES = 32
"""Bytes of one broken request in a report without the name of its server."""
SUSPECT_BYTES_PER_REPORT = 4_000
"""Largest number of bytes of the broken requests in one report; the next one has the rest."""
FINGERPRINT_BYTES = 8
"""Length of a fingerprint in bytes."""
COMPLETED_KEPT_S = 10.0
"""Interval in seconds at which the completed requests are rotated, not the time for which one is
kept: that is one to two intervals."""
COMPLETED_MAX = 10_000
"""Limit on the completed requests that are kept per interval."""
CLEARANCE_S = 60.0
"""Time for which a quarantined request is cleared after it completed on any entry VM."""


def fingerprint(method: bytes, target: bytes, body: bytes) -> ids.Fingerprint:
    """Return a short hash of a request, which is the same for all retries of it."""
    digest = hashlib.blake2b(digest_size=FINGERPRINT_BYTES)
    for part in (method, target, body):
        digest.update(len(part).to_bytes(8, "big"))
        digest.update(part)
    return ids.Fingerprint(digest.digest())


class Suspects:
    """Requests with broken connections, as reported to the planner by all entry VMs."""

    def __init__(self) -> None:
        self._seen_at_by_fingerprint: dict[
            ids.Fingerprint, dict[model.ServerIncarnation, float]
        ] = {}
        self._down_incarnations_by_fingerprint: dict[
            ids.Fingerprint, set[model.ServerIncarnation]
        ] = {}
        self._quarantine_end_by_fingerprint: dict[ids.Fingerprint, float] = {}
        self._clearance_end_by_fingerprint: dict[ids.Fingerprint, float] = {}

    def clear(self, suspect: ids.Fingerprint, now: float) -> None:
        """Record that a quarantined request completed on an entry VM, and end its quarantine."""
        self._clearance_end_by_fingerprint[suspect] = now + CLEARANCE_S
        if suspect in self._seen_at_by_fingerprint:
            self._forget(suspect)

    def add(
        self, suspect: ids.Fingerprint, incarnation: model.ServerIncarnation, now: float
    ) -> None:
        """Record that the connection of a request to a server incarnation broke."""
        if self._clearance_end_by_fingerprint.get(suspect, 0.0) > now:
            return
        if (
            suspect not in self._seen_at_by_fingerprint
            and len(self._seen_at_by_fingerprint) >= SUSPECTS_MAX
        ):
            self._forget(next(iter(self._seen_at_by_fingerprint)))
        self._seen_at_by_fingerprint.setdefault(suspect, {})[incarnation] = now

    def quarantined(
        self, now: float, *, is_down: Callable[[model.ServerIncarnation], bool]
    ) -> tuple[ids.Fingerprint, ...]:
        """Return the quarantined fingerprints.

        First starts the quarantines that are due, and drops outdated suspects and clearances.

        Parameters
        ----------
        is_down : callable
            Returns whether a server incarnation has ended or is silent.
        """
        for expired in [
            suspect for suspect, end in self._clearance_end_by_fingerprint.items() if end <= now
        ]:
            del self._clearance_end_by_fingerprint[expired]
        for suspect, seen_at_by_incarnation in list(self._seen_at_by_fingerprint.items()):
            if max(seen_at_by_incarnation.values()) < now - SUSPECT_KEPT_S:
                self._forget(suspect)
                continue
            down_incarnations = self._down_incarnations_by_fingerprint.setdefault(suspect, set())
            newly_down = {
                incarnation
                for incarnation in seen_at_by_incarnation
                if incarnation not in down_incarnations and is_down(incarnation)
            }
            down_incarnations |= newly_down
            if newly_down and len(down_incarnations) >= LOSSES_TO_QUARANTINE:
                self._quarantine_end_by_fingerprint[suspect] = now + QUARANTINE_S
        return tuple(
            suspect for suspect, end in self._quarantine_end_by_fingerprint.items() if end > now
        )

    def _forget(self, suspect: ids.Fingerprint) -> None:
        del self._seen_at_by_fingerprint[suspect]
        self._down_incarnations_by_fingerprint.pop(suspect, None)
        self._quarantine_end_by_fingerprint.pop(suspect, None)


class _RecentCompletions:
    """Fingerprints of recently completed requests, in two generations."""

    def __init__(self) -> None:
        self._current: set[ids.Fingerprint] = set()
        self._previous: set[ids.Fingerprint] = set()
        self._rotate_at = 0.0

    def add(self, fingerprint: ids.Fingerprint, now: float) -> None:
        self._rotate(now)
        if len(self._current) < COMPLETED_MAX:
            self._current.add(fingerprint)

    def contains(self, fingerprint: ids.Fingerprint, now: float) -> bool:
        self._rotate(now)
        return fingerprint in self._current or fingerprint in self._previous

    def _rotate(self, now: float) -> None:
        if now < self._rotate_at:
            return
        is_recent = now < self._rotate_at + COMPLETED_KEPT_S
        self._previous = self._current if is_recent else set()
        self._current = set()
        self._rotate_at = now + COMPLETED_KEPT_S


class Quarantine:
    """Broken requests that one entry VM has to report, and fingerprints that it must reject.

    A request that recently completed on this VM is not rejected. It was in flight during the
    crashes by chance, which is likely for a frequent request.
    """

    def __init__(self) -> None:
        self._completed = _RecentCompletions()
        self._unreported: dict[tuple[ids.Fingerprint, model.ServerIncarnation], None] = {}
        self._rejected: frozenset[ids.Fingerprint] = frozenset()

    def note_broken(self, suspect: ids.Fingerprint, incarnation: model.ServerIncarnation) -> None:
        """Record a request whose connection broke before any answer, to be reported."""
        if len(self._unreported) < SUSPECTS_MAX:
            self._unreported[suspect, incarnation] = None

    def take_unreported(self) -> list[tuple[ids.Fingerprint, model.ServerIncarnation]]:
        """Return the broken requests recorded since the last call, as many as one report has."""
        taken: list[tuple[ids.Fingerprint, model.ServerIncarnation]] = []
        used = 0
        for suspect, incarnation in self._unreported:
            used += SUSPECT_BYTES + len(incarnation.server.encode())
            if used > SUSPECT_BYTES_PER_REPORT and taken:
                break
            taken.append((suspect, incarnation))
        for reported in taken:
            del self._unreported[reported]
        return taken

    def update(self, rejected: Iterable[ids.Fingerprint]) -> None:
        """Replace the fingerprints to reject."""
        self._rejected = frozenset(rejected)

    def record_completion(self, method: bytes, target: bytes, body: bytes, now: float) -> None:
        """Record that a server has answered a request."""
        self._completed.add(fingerprint(method, target, body), now)

    def cleared(self, now: float) -> list[ids.Fingerprint]:
        """Return the quarantined requests that recently completed on this VM, for the planner."""
        return [suspect for suspect in self._rejected if self._completed.contains(suspect, now)]

    def rejects(self, method: bytes, target: bytes, body: bytes, now: float) -> bool:
        """Return whether a request must be rejected."""
        if not self._rejected:
            return False
        suspect = fingerprint(method, target, body)
        return suspect in self._rejected and not self._completed.contains(suspect, now)
