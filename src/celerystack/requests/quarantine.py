"""Quarantine of requests that crash backend servers."""

from __future__ import annotations

import collections
import dataclasses
import hashlib
from collections.abc import Iterable

from celerystack import ids, timing
from celerystack.peers import messages

THRESHOLD = 2
SUSPECT_KEEP_S = 600.0
"""Time for which a loss counts. Longer than several quarantines, so that a request that crashes
servers is quarantined again after one more loss."""
LOSSES_MAX = 1024
SUSPECTS_PER_LOSS_MAX = 256
"""More than the connections of a server, each of which carries one request."""
COMPLETED_MAX = 65_536
"""Completed fingerprints that an entry VM remembers, in two generations; about 8 MB."""
FINGERPRINT_BYTES = 16

LossId = tuple[ids.ServerId, ids.Incarnation]


def fingerprint(service: ids.ServiceName, method: str, path: str, body: bytes) -> ids.Fingerprint:
    """Return the BLAKE2b fingerprint (16 bytes) of a request."""
    hasher = hashlib.blake2b(digest_size=FINGERPRINT_BYTES)
    for part in (service, method, path):
        encoded = part.encode("utf-8", "surrogateescape")
        hasher.update(len(encoded).to_bytes(4, "big"))
        hasher.update(encoded)
    hasher.update(body)
    return ids.Fingerprint(hasher.digest())


@dataclasses.dataclass(slots=True)
class _Loss:
    expires_at: float
    weight_by_fingerprint: dict[ids.Fingerprint, int]

    def weight(self, suspect: ids.Fingerprint) -> int:
        """Return the weight of a suspect in this loss, by all reports so far."""
        alone = len(self.weight_by_fingerprint) == 1
        return min(self.weight_by_fingerprint[suspect], THRESHOLD if alone else 1)


class Quarantine:
    """Suspect and quarantined fingerprints as known to one entry VM.

    Each loss of a server (server and incarnation) has a set of fingerprints that were in flight.
    The sets of all entry VMs are united and the least weight reported for each fingerprint counts,
    so reports may be repeated or arrive in any order. A fingerprint that was alone in a loss has
    weight 2 there, otherwise 1. It is quarantined for `timing.QUARANTINE_S` when its weights add up
    to `THRESHOLD`, and again with each further loss. If another report shows that a fingerprint was
    not alone after all, its quarantine ends.

    A completed response clears a fingerprint everywhere, because a request that crashes servers
    does not complete; a report that arrives later does not make it suspect for the same loss again.
    A fingerprint that has completed lately, at any entry VM, has weight 1 even if it was alone.
    Otherwise a popular request that is alone on a server lost for another reason is quarantined,
    and cannot clear itself because it is refused.

    Memory is bounded by `LOSSES_MAX` losses of `SUSPECTS_PER_LOSS_MAX` fingerprints, the oldest of
    which is dropped first and its quarantines with it, and by `COMPLETED_MAX` completions.
    """

    def __init__(self) -> None:
        self._losses: collections.OrderedDict[LossId, _Loss] = collections.OrderedDict()
        self._losses_by_fingerprint: dict[ids.Fingerprint, set[LossId]] = {}
        self._until_by_fingerprint: dict[ids.Fingerprint, float] = {}
        self._completed: set[ids.Fingerprint] = set()
        self._completed_before: set[ids.Fingerprint] = set()

    def is_quarantined(self, request: ids.Fingerprint, now: float) -> bool:
        """Return whether the request must be rejected as not run."""
        return self._until_by_fingerprint.get(request, now) > now

    def quarantined_count(self, now: float) -> int:
        """Return the number of fingerprints that are rejected at ``now``."""
        return sum(until > now for until in self._until_by_fingerprint.values())

    def server_lost(
        self,
        server: ids.ServerId,
        incarnation: ids.Incarnation,
        in_flight: Iterable[ids.Fingerprint],
        now: float,
    ) -> messages.Suspects | None:
        """Record the requests in flight on a lost server; return the report for the peers.

        Only requests of which a byte may have reached the server count.
        """
        suspects = sorted(set(in_flight))[:SUSPECTS_PER_LOSS_MAX]
        if not suspects:
            return None
        alone = len(suspects) == 1 and not self._completed_lately(suspects[0])
        weight = THRESHOLD if alone else 1
        report = messages.Suspects(dict.fromkeys(suspects, weight), server, incarnation)
        self._add(report, now)
        return report

    def merge(self, report: messages.Suspects, now: float) -> messages.Suspects | None:
        """Add a report of an entry VM; repeated reports change nothing.

        Returns
        -------
        Suspects or None
            A report for all peers, if requests that were reported alone have completed here.
        """
        known = {
            suspect: 1
            for suspect, weight in report.weights_by_fingerprint.items()
            if weight >= THRESHOLD and self._completed_lately(suspect)
        }
        if not known:
            self._add(report, now)
            return None
        weights = report.weights_by_fingerprint | known
        self._add(messages.Suspects(weights, report.server, report.incarnation), now)
        return messages.Suspects(known, report.server, report.incarnation)

    def completed(self, request: ids.Fingerprint, now: float) -> list[messages.Suspects]:
        """Clear a request whose complete response arrived; return the reports for the peers."""
        self._expire(now)
        self._completed.add(request)
        if len(self._completed) >= COMPLETED_MAX // 2:
            self._completed_before, self._completed = self._completed, set()
        reports = [
            messages.Suspects({request: 0}, *key)
            for key in sorted(self._losses_by_fingerprint.get(request, ()))
            if self._losses[key].weight_by_fingerprint[request] > 0
        ]
        for report in reports:
            self._add(report, now)
        return reports

    def _completed_lately(self, request: ids.Fingerprint) -> bool:
        return request in self._completed or request in self._completed_before

    def _add(self, report: messages.Suspects, now: float) -> None:
        self._expire(now)
        key = (report.server, report.incarnation)
        loss = self._losses.get(key)
        if loss is None:
            if len(self._losses) >= LOSSES_MAX:
                self._drop(next(iter(self._losses)))
            loss = _Loss(now + SUSPECT_KEEP_S, {})
            self._losses[key] = loss
        known = loss.weight_by_fingerprint
        added: list[ids.Fingerprint] = []
        for suspect, weight in report.weights_by_fingerprint.items():
            if suspect not in known:
                if len(known) >= SUSPECTS_PER_LOSS_MAX:
                    continue
                added.append(suspect)
                self._losses_by_fingerprint.setdefault(suspect, set()).add(key)
            known[suspect] = min(weight, known.get(suspect, weight))
        for suspect in added:
            if self._weight(suspect) >= THRESHOLD:
                self._until_by_fingerprint[suspect] = now + timing.QUARANTINE_S
        for suspect in known:
            if self._weight(suspect) < THRESHOLD:
                self._until_by_fingerprint.pop(suspect, None)

    def _weight(self, suspect: ids.Fingerprint) -> int:
        keys = self._losses_by_fingerprint[suspect]
        return sum(self._losses[key].weight(suspect) for key in keys)

    def _expire(self, now: float) -> None:
        while self._losses:
            key, loss = next(iter(self._losses.items()))
            if loss.expires_at > now:
                return
            self._drop(key)

    def _drop(self, key: LossId) -> None:
        for suspect in self._losses.pop(key).weight_by_fingerprint:
            keys = self._losses_by_fingerprint[suspect]
            keys.discard(key)
            if not keys:
                del self._losses_by_fingerprint[suspect]
            if not keys or self._weight(suspect) < THRESHOLD:
                self._until_by_fingerprint.pop(suspect, None)
