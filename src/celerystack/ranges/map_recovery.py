"""Recovery of a range map after the store came back from an earlier copy of itself.

The newest maps may be lost then, and with them moves of keys and tokens that were given out. Entry
VMs go on by the maps that they know, as these were made safely one after the other, but no map may
change, and none is confirmed, until it is certain who can hold keys. For this the planner releases
at every server all keys that the newest known map does not give it, under a token above all that
were given out. A server that answers accepts no older grant of them any more. Servers that do not
answer are waited for until all leases by the lost maps have ended.
"""

from __future__ import annotations

import dataclasses
import logging
from collections.abc import Callable, Iterable

from twisted.internet import defer

from celerystack import errors, ids
from celerystack.fleet import rows, servers
from celerystack.ranges import codec, leases, model, orders, range_maps, releases

_log = logging.getLogger(__name__)

RELEASE_TIMEOUT_S = 1.0
"""Timeout of a release order in seconds."""
TOKENS_NEEDED = 2
"""Number of tokens that a recovery uses: one for all releases and a higher one for all grants."""
SERVERS_RETURN_S = servers.RETURN_GRACE_S
"""Time in seconds after the start of a recovery in which servers whose entries were lost register
again."""


@dataclasses.dataclass(frozen=True, slots=True)
class Candidate:
    """A map from an earlier era of the store, and the version at which it was written."""

    ranges: model.RangeMap
    version: ids.RowVersion

    @property
    def era(self) -> ids.StoreEra:
        """Era in which the map was written."""
        return rows.era_of(self.version)


def candidates(
    service: ids.ServiceName,
    *,
    known: range_maps.KnownMap | None,
    row: rows.Row | None,
    era: ids.StoreEra,
) -> list[Candidate]:
    """Return the maps that a planner and the store know, or a map without owners.

    Without any map one may be lost by which servers hold keys. Of a map without owners every server
    releases all keys.
    """
    found: list[Candidate] = []
    if known is not None:
        found.append(Candidate(known.ranges, ids.RowVersion(known.version)))
    if row is not None and row.value is not None:
        written_in = codec.decode_era(service, row.value)
        version = rows.version_in(written_in, rows.number_of(row.version))
        found.append(Candidate(codec.decode(service, row.value), version))
    if not found:
        before = ids.StoreEra(era - 1)
        found.append(Candidate(model.unassigned(service, before), rows.version_in(before, 0)))
    return found


def newest(candidates: Iterable[Candidate], era: ids.StoreEra) -> Candidate:
    """Return the newest map, with a next token above all that were given out before ``era``."""
    found = list(candidates)
    next_token = max(
        model.token_in_era(candidate.ranges.next_token, candidate.era, era) for candidate in found
    )
    chosen = max(found, key=lambda candidate: candidate.version)
    return Candidate(dataclasses.replace(chosen.ranges, next_token=next_token), chosen.version)


def with_reserved_tokens(ranges: model.RangeMap) -> model.RangeMap:
    """Return a map in which the tokens that its recovery uses are given out."""
    return dataclasses.replace(ranges, next_token=ids.Token(ranges.next_token + TOKENS_NEEDED))


class MapRecovery:
    """Makes sure that no server holds keys that a map does not give it.

    Parameters
    ----------
    ranges : RangeMap
        The map to recover; see `with_reserved_tokens`.
    row_version : RowVersion
        Version of the service's row in the store, which the recovered map replaces.

    Attributes
    ----------
    row_version
        As given.
    """

    def __init__(
        self,
        ranges: model.RangeMap,
        row_version: ids.RowVersion,
        *,
        directory: servers.Directory,
        port: orders.OrderPort,
        now: Callable[[], float],
    ) -> None:
        self._ranges = ranges
        self._release_token = ids.Token(ranges.next_token - TOKENS_NEEDED)
        self._grant_token = ids.Token(self._release_token + 1)
        self.row_version = row_version
        self._directory = directory
        self._port = port
        self._now = now
        self._servers_known_at = now() + SERVERS_RETURN_S
        self._leases_ended_at = now() + leases.MAP_VALID_S
        self._asked: set[model.ServerIncarnation] = set()
        self._in_flight: set[model.ServerIncarnation] = set()
        self._answered: set[model.ServerIncarnation] = set()

    def step(self) -> model.RangeMap | None:
        """Send the releases that are due; return the map to write once it is true."""
        now = self._now()
        if now >= self._leases_ended_at:
            return self._with_new_token()
        for incarnation in sorted(self._waiting() - self._in_flight):
            self._ask(incarnation)
        if self._waiting() or now < self._servers_known_at:
            return None
        return self._with_new_token()

    def _waiting(self) -> set[model.ServerIncarnation]:
        """Return the incarnations that may hold keys and have not answered.

        One that was asked is waited for even if its entry has been removed meanwhile.
        """
        registered = {
            record.entry.incarnation
            for record in self._directory.by_id.values()
            if record.entry.service == self._ranges.service and not record.removed
        }
        return {
            incarnation
            for incarnation in (registered | self._asked) - self._answered
            if not self._directory.has_ended(incarnation)
        }

    def _ask(self, incarnation: model.ServerIncarnation) -> None:
        entry = self._directory.find_entry(incarnation)
        if entry is None:
            return
        self._asked.add(incarnation)
        self._in_flight.add(incarnation)
        asking = defer.Deferred.fromCoroutine(self._release_others(incarnation, entry.address))
        asking.addErrback(
            lambda failure: _log.error(
                "unexpected error while releasing keys: %s",
                failure.getTraceback(),
                extra={"step": "planner.recover"},
            )
        )
        asking.addBoth(lambda _: self._in_flight.discard(incarnation))

    async def _release_others(self, incarnation: model.ServerIncarnation, address: str) -> None:
        """Release at a server all keys that the map does not give it."""
        not_owned = [
            dataclasses.replace(segment, token=self._release_token)
            for segment in self._ranges.segments
            if segment.owner != incarnation
        ]
        try:
            for group in releases.group(not_owned):
                order = releases.join(group)
                await self._port.release(address, order, timeout_s=RELEASE_TIMEOUT_S)
        except errors.BackendError as error:
            _log.info(
                "a server did not answer a release after the return of the store: %s",
                error,
                extra={"step": "planner.recover", "peer": incarnation.server},
            )
            return
        self._answered.add(incarnation)

    def _with_new_token(self) -> model.RangeMap:
        """Return the map with the same new token, above that of the releases, for all keys."""
        segments = tuple(
            dataclasses.replace(segment, token=self._grant_token)
            for segment in self._ranges.segments
        )
        return model.merge_neighbours(dataclasses.replace(self._ranges, segments=segments))
