"""Quarantine of requests that crash backend servers.

A request is known by its fingerprint only. A suspect is the fingerprint of a request that was in
flight on a server when its connections broke.
"""

from __future__ import annotations

import collections
import dataclasses
import hashlib
from collections.abc import Iterable

from celerystack import ids, timing
from celerystack.peers import messages

WEIGHT_THRESHOLD = 2
"""Sum of its weights from which a fingerprint is quarantined. The weight in one loss is 2 for its
only suspect, 1 for one of several, and 0 for a fingerprint that has been cleared."""
LOSS_RETENTION_S = 600.0
"""Time in seconds for which a loss counts. It is longer than several quarantines, so that a request
that crashes servers is quarantined again after one more loss."""
LOSSES_MAX = 1024
"""Number of losses that an entry VM keeps; bounds its memory."""
SUSPECTS_PER_LOSS_MAX = 256
"""More than the connections of a server; each connection carries one request at a time."""
COMPLETED_MAX = 65_536
"""Completed fingerprints that an entry VM keeps; about 8 MB. They are in two generations, sets of
at most half as many: when the newer set is full, it replaces the older one."""
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
        """Return the weight of a suspect in this loss, according to all reports so far."""
        alone = len(self.weight_by_fingerprint) == 1
        return min(self.weight_by_fingerprint[suspect], WEIGHT_THRESHOLD if alone else 1)


class Quarantine:
    """Suspected and quarantined fingerprints known to one entry VM.

    Each loss of a server (server id and incarnation) has a set of suspects: the fingerprints that
    were in flight. Merging reports of entry VMs takes the union of the sets and the lowest weight
    of each fingerprint, so reports may be repeated or arrive in any order. The only suspect of a
    loss has weight 2 in it; with several suspects each has weight 1. A fingerprint is quarantined
    for `timing.QUARANTINE_S` when its weights add up to `WEIGHT_THRESHOLD`, and again with each
    further loss. If another report shows that it was not the only suspect, its quarantine ends.

    A completed response clears a fingerprint on all entry VMs (weight 0), because a request that
    crashes servers does not complete; a later report does not make it a suspect of the same loss
    again. A fingerprint that completed recently, on any entry VM, has weight 1 even if it is the
    only suspect. Otherwise a frequent request that is alone on a server whose process ended for
    another reason would be quarantined, and could not clear itself because it is rejected.

    Memory is bounded by `LOSSES_MAX` losses with `SUSPECTS_PER_LOSS_MAX` fingerprints each, and by
    `COMPLETED_MAX` completions. The oldest loss is dropped first, together with the quarantines
    that it caused.
    """

    def __init__(self) -> None:
        self._losses: collections.OrderedDict[LossId, _Loss] = collections.OrderedDict()
        self._losses_by_fingerprint: dict[ids.Fingerprint, set[LossId]] = {}
        self._quarantined_until_by_fingerprint: dict[ids.Fingerprint, float] = {}
        self._completed: set[ids.Fingerprint] = set()
        self._completed_previously: set[ids.Fingerprint] = set()

    def is_quarantined(self, request: ids.Fingerprint, now: float) -> bool:
        """Return whether requests with this fingerprint must be rejected as not run."""
        return self._quarantined_until_by_fingerprint.get(request, now) > now

    def quarantined_until(self, request: ids.Fingerprint) -> float | None:
        """Return the end of the last quarantine of a fingerprint; None if there was none."""
        return self._quarantined_until_by_fingerprint.get(request)

    def quarantined_count(self, now: float) -> int:
        """Return the number of fingerprints that are rejected at ``now``."""
        return sum(until > now for until in self._quarantined_until_by_fingerprint.values())

    def record_loss(
        self,
        server: ids.ServerId,
        incarnation: ids.Incarnation,
        in_flight: Iterable[ids.Fingerprint],
        now: float,
    ) -> messages.Suspects | None:
        """Record the suspects of a loss, the fingerprints in flight; return the report for peers.

        ``in_flight`` must contain only those of which a byte may have reached the server.
        """
        suspects = sorted(set(in_flight))[:SUSPECTS_PER_LOSS_MAX]
        if not suspects:
            return None
        alone = len(suspects) == 1 and not self._completed_recently(suspects[0])
        weight = WEIGHT_THRESHOLD if alone else 1
        report = messages.Suspects(dict.fromkeys(suspects, weight), server, incarnation)
        self._record(report, now)
        return report

    def merge(self, report: messages.Suspects, now: float) -> messages.Suspects | None:
        """Merge a report of another entry VM; merging is idempotent.

        Returns
        -------
        Suspects or None
            Report for all peers, if a fingerprint that was reported as the only suspect has
            recently completed on this entry VM.
        """
        completed = {
            suspect: 1
            for suspect, weight in report.weights_by_fingerprint.items()
            if weight >= WEIGHT_THRESHOLD and self._completed_recently(suspect)
        }
        if not completed:
            self._record(report, now)
            return None
        weights = report.weights_by_fingerprint | completed
        self._record(messages.Suspects(weights, report.server, report.incarnation), now)
        return messages.Suspects(completed, report.server, report.incarnation)

    def record_completion(self, request: ids.Fingerprint, now: float) -> list[messages.Suspects]:
        """Clear a fingerprint whose complete response arrived; return the reports for the peers."""
        self._expire(now)
        self._completed.add(request)
        if len(self._completed) >= COMPLETED_MAX // 2:
            self._completed_previously, self._completed = self._completed, set()
        reports = [
            messages.Suspects({request: 0}, *loss_id)
            for loss_id in sorted(self._losses_by_fingerprint.get(request, ()))
            if self._losses[loss_id].weight_by_fingerprint[request] > 0
        ]
        for report in reports:
            self._record(report, now)
        return reports

    def _completed_recently(self, request: ids.Fingerprint) -> bool:
        return request in self._completed or request in self._completed_previously

    def _record(self, report: messages.Suspects, now: float) -> None:
        self._expire(now)
        loss_id = (report.server, report.incarnation)
        loss = self._losses.get(loss_id)
        if loss is None:
            if len(self._losses) >= LOSSES_MAX:
                self._drop_loss(next(iter(self._losses)))
            loss = _Loss(now + LOSS_RETENTION_S, {})
            self._losses[loss_id] = loss
        weights = loss.weight_by_fingerprint
        added: list[ids.Fingerprint] = []
        for suspect, weight in report.weights_by_fingerprint.items():
            if suspect not in weights:
                if len(weights) >= SUSPECTS_PER_LOSS_MAX:
                    continue
                added.append(suspect)
                self._losses_by_fingerprint.setdefault(suspect, set()).add(loss_id)
            weights[suspect] = min(weight, weights.get(suspect, weight))
        for suspect in added:
            if self._weight(suspect) >= WEIGHT_THRESHOLD:
                self._quarantined_until_by_fingerprint[suspect] = now + timing.QUARANTINE_S
        for suspect in weights:
            if self._weight(suspect) < WEIGHT_THRESHOLD:
                self._quarantined_until_by_fingerprint.pop(suspect, None)

    def _weight(self, suspect: ids.Fingerprint) -> int:
        loss_ids = self._losses_by_fingerprint[suspect]
        return sum(self._losses[loss_id].weight(suspect) for loss_id in loss_ids)

    def _expire(self, now: float) -> None:
        while self._losses:
            loss_id, loss = next(iter(self._losses.items()))
            if loss.expires_at > now:
                return
            self._drop_loss(loss_id)

    def _drop_loss(self, loss_id: LossId) -> None:
        for suspect in self._losses.pop(loss_id).weight_by_fingerprint:
            loss_ids = self._losses_by_fingerprint[suspect]
            loss_ids.discard(loss_id)
            if not loss_ids:
                del self._losses_by_fingerprint[suspect]
            if not loss_ids or self._weight(suspect) < WEIGHT_THRESHOLD:
                self._quarantined_until_by_fingerprint.pop(suspect, None)
