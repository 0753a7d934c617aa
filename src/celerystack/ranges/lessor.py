"""Grants keys to the servers in this VM's availability zone and renews their leases."""

from __future__ import annotations

import dataclasses
import hashlib
import logging
from collections.abc import Callable

from twisted.internet import defer

from celerystack import errors, ids
from celerystack.fleet import servers
from celerystack.ranges import leases, model, orders, range_maps

_log = logging.getLogger(__name__)

LESSORS_PER_SERVER = 2
"""Number of entry VMs that grant to a server."""
RETRY_S = 0.3
"""Time in seconds after a failed grant until it is sent again."""
REMOVAL_HEARTBEATS = 3
"""Heartbeat intervals of silence after which the platform removes a server's entry."""
REMOVAL_MARGIN_S = 0.5
"""Time in seconds that is allowed for the removal beyond these intervals."""
FAILURES_TO_UNREACHABLE = 2
"""Number of failed grants in a row after which a server is reported in `Report.unreachable`."""
RANKS_PER_OWNER_MAX = 4
"""Number of remembered ranks per owner above which those of servers that left are dropped."""

_SegmentKey = tuple[int, int, int]


def _segment_key(segment: model.Segment) -> _SegmentKey:
    return segment.start, segment.end, segment.token


def rank(vm: ids.EntryVmId, vms: tuple[ids.EntryVmId, ...], server: ids.ServerId) -> int:
    """Return the rank of a VM among ``vms`` by rendezvous hashing for a server; 0 is the first."""

    def weight(name: ids.EntryVmId) -> bytes:
        return hashlib.blake2b(f"{name}/{server}".encode(), digest_size=8).digest()

    own = weight(vm)
    return sum(weight(other) > own for other in vms if other != vm)


@dataclasses.dataclass(slots=True)
class _Ownership:
    """Settled segments of a range map by their owner.

    Attributes
    ----------
    granted_owners : tuple of ServerIncarnation
        The owners to which this VM grants, as of `granted_directory_version`.
    granted_directory_version : int or None
        Version of the directory from which they were chosen; None if they have to be chosen again.
    """

    ranges: model.RangeMap
    settled_by_owner: dict[model.ServerIncarnation, list[model.Segment]]
    granted_owners: tuple[model.ServerIncarnation, ...] = ()
    granted_directory_version: int | None = None

    @classmethod
    def of(cls, ranges: model.RangeMap) -> _Ownership:
        settled_by_owner: dict[model.ServerIncarnation, list[model.Segment]] = {}
        for segment in ranges.segments:
            if segment.owner is not None and segment.is_settled:
                settled_by_owner.setdefault(segment.owner, []).append(segment)
        return cls(ranges, settled_by_owner)


class Lessor:
    """Grants and renews leases while its range maps are recent enough.

    Parameters
    ----------
    heartbeat_s : float
        Interval in seconds at which servers renew their entries.
    now : callable
        Clock in seconds that also counts the time for which the VM was suspended.
    """

    def __init__(
        self,
        *,
        vm: ids.EntryVmId,
        zone: ids.ZoneName,
        maps: range_maps.RangeMaps,
        directory: servers.Directory,
        port: orders.OrderPort,
        heartbeat_s: float,
        now: Callable[[], float],
    ) -> None:
        self._removal_s = REMOVAL_HEARTBEATS * heartbeat_s + REMOVAL_MARGIN_S
        self._vm = vm
        self._zone = zone
        self._range_maps = maps
        self._directory = directory
        self._port = port
        self._now = now
        self.leases = leases.Leases(started_at=now())
        self._vms: tuple[ids.EntryVmId, ...] = (vm,)
        self._has_lessor_rank_by_server: dict[ids.ServerId, bool] = {}
        self._ownership_by_service: dict[ids.ServiceName, _Ownership] = {}
        self._due_at_by_incarnation: dict[model.ServerIncarnation, dict[_SegmentKey, float]] = {}
        self._busy_incarnations: set[model.ServerIncarnation] = set()
        self._failures_by_incarnation: dict[model.ServerIncarnation, int] = {}
        self._failed_at_by_incarnation: dict[model.ServerIncarnation, float] = {}
        self._granted_incarnations: set[model.ServerIncarnation] = set()
        self._refused_by_service: dict[ids.ServiceName, set[ids.Token]] = {}

    @property
    def vms(self) -> tuple[ids.EntryVmId, ...]:
        """Live entry VMs of this zone, among which the lessors of a server are chosen."""
        return self._vms

    @vms.setter
    def vms(self, vms: tuple[ids.EntryVmId, ...]) -> None:
        if vms != self._vms:
            self._vms = vms
            self._has_lessor_rank_by_server.clear()
            for ownership in self._ownership_by_service.values():
                ownership.granted_directory_version = None

    @property
    def unreachable(self) -> tuple[model.ServerIncarnation, ...]:
        """Silent incarnations, which did not answer the last `FAILURES_TO_UNREACHABLE` grants."""
        return tuple(
            incarnation
            for incarnation, failures in self._failures_by_incarnation.items()
            if failures >= FAILURES_TO_UNREACHABLE
        )

    def take_refused(self) -> dict[ids.ServiceName, tuple[ids.Token, ...]]:
        """Return the tokens that owners have refused as too old since the last call."""
        refused, self._refused_by_service = self._refused_by_service, {}
        return {service: tuple(sorted(tokens)) for service, tokens in refused.items()}

    def needs_confirmation(self) -> bool:
        """Return whether grants to a server wait until its entry in the store is renewed.

        After a broken connection this shows that the same incarnation still runs.
        """
        for incarnation in self._failed_at_by_incarnation:
            record = self._directory.find_record(incarnation)
            if record is None or record.removed or not self._is_lessor(record):
                continue
            if not self._is_confirmed(incarnation, record):
                return True
        return False

    def tick(self) -> None:
        """Send the grants that are due."""
        now = self._now()
        self.leases.forget_expired(now)
        due_by_incarnation: dict[
            model.ServerIncarnation, list[tuple[ids.ServiceName, model.Segment]]
        ] = {}
        owners: set[model.ServerIncarnation] = set()
        for service, known in self._range_maps.by_service.items():
            ownership = self._ownership(service, known.ranges)
            owners.update(ownership.settled_by_owner)
            if not leases.may_grant(confirmed_at=known.confirmed_at, now=now):
                continue
            for owner in self._granted_owners(ownership):
                segments = ownership.settled_by_owner[owner]
                due = [(service, s) for s in segments if self._due_at(owner, s) <= now]
                if due:
                    due_by_incarnation.setdefault(owner, []).extend(due)
        self._forget(owners)
        for incarnation, due in due_by_incarnation.items():
            record = self._directory.find_record(incarnation)
            if record is None or incarnation in self._busy_incarnations:
                continue
            self._check_connection(incarnation, record, now)
            if not self._is_confirmed(incarnation, record):
                continue
            self._busy_incarnations.add(incarnation)
            sending = defer.Deferred.fromCoroutine(self._grant_all(incarnation, record, due))
            sending.addErrback(
                lambda failure: _log.error(
                    "unexpected error while granting keys: %s",
                    failure.getTraceback(),
                    extra={"step": "lessor"},
                )
            )
            sending.addBoth(
                lambda _, incarnation=incarnation: self._busy_incarnations.discard(incarnation)
            )

    def _ownership(self, service: ids.ServiceName, ranges: model.RangeMap) -> _Ownership:
        """Return the settled segments of a map by owner, which are searched once per map."""
        found = self._ownership_by_service.get(service)
        if found is None or found.ranges is not ranges:
            found = self._ownership_by_service[service] = _Ownership.of(ranges)
        return found

    def _granted_owners(self, ownership: _Ownership) -> tuple[model.ServerIncarnation, ...]:
        """Return the owners to which this VM grants, which are chosen once per directory change."""
        if ownership.granted_directory_version != self._directory.version:
            ownership.granted_directory_version = self._directory.version
            ownership.granted_owners = tuple(
                filter(self._may_be_granted, ownership.settled_by_owner)
            )
        return ownership.granted_owners

    def _may_be_granted(self, owner: model.ServerIncarnation) -> bool:
        """Return whether an incarnation is registered and this VM is one of its lessors."""
        record = self._directory.find_record(owner)
        return record is not None and not record.removed and self._is_lessor(record)

    def _due_at(self, owner: model.ServerIncarnation, segment: model.Segment) -> float:
        """Return when to renew a segment; a part of a granted segment is due with the whole."""
        due_at_by_key = self._due_at_by_incarnation.setdefault(owner, {})
        key = _segment_key(segment)
        if key not in due_at_by_key:
            for start, end, token in due_at_by_key:
                if token == segment.token and start <= segment.start and segment.end <= end:
                    due_at_by_key[key] = due_at_by_key[start, end, token]
                    break
            else:
                return 0.0
        return due_at_by_key[key]

    def grant_again(self, incarnation: model.ServerIncarnation) -> None:
        """Grant all keys of an incarnation again at the next tick, as it does not hold them."""
        self._due_at_by_incarnation.pop(incarnation, None)

    def remaining_s(self, incarnation: model.ServerIncarnation) -> float:
        """Return the seconds until no lease of this VM can be in force at an incarnation."""
        return self.leases.remaining_s(incarnation, self._now())

    def _is_lessor(self, record: servers.ServerRecord) -> bool:
        if record.entry.zone != self._zone:
            return False
        server = record.entry.server
        has_rank = self._has_lessor_rank_by_server.get(server)
        if has_rank is None:
            has_rank = rank(self._vm, self._vms, server) < LESSORS_PER_SERVER
            self._has_lessor_rank_by_server[server] = has_rank
        return has_rank

    def _check_connection(
        self, incarnation: model.ServerIncarnation, record: servers.ServerRecord, now: float
    ) -> None:
        """Record a failure if the connection to an incarnation that was granted keys has closed."""
        if incarnation not in self._granted_incarnations or self._port.is_connected(
            record.entry.address
        ):
            return
        self._granted_incarnations.discard(incarnation)
        self._failed_at_by_incarnation.setdefault(incarnation, now)

    def _is_confirmed(
        self, incarnation: model.ServerIncarnation, record: servers.ServerRecord
    ) -> bool:
        """Return whether a grant would reach this incarnation and not another one.

        After a broken connection another incarnation may listen at the address, even under the same
        id. The incarnation is confirmed once its entry was renewed after the failure, or has stayed
        for longer than the platform keeps the entry of a silent server: an entry changes only if
        more than its sequence number does. While the store is unavailable no entry can be renewed,
        so the incarnation is taken as confirmed.
        """
        failed_at = self._failed_at_by_incarnation.get(incarnation)
        if failed_at is None:
            return True
        version = self._directory.version_after(failed_at)
        if version is not None and record.latest_version > version:
            return True
        if self._directory.has_stayed(record, failed_at, self._removal_s):
            return True
        return self._directory.is_store_unavailable(self._now())

    def _forget(self, owners: set[model.ServerIncarnation]) -> None:
        for incarnation in [
            incarnation for incarnation in self._due_at_by_incarnation if incarnation not in owners
        ]:
            del self._due_at_by_incarnation[incarnation]
        now = self._now()
        for due_at_by_key in self._due_at_by_incarnation.values():
            for key in [key for key, due in due_at_by_key.items() if due < now - leases.LEASE_S]:
                del due_at_by_key[key]
        for incarnation in [
            incarnation
            for incarnation in self._failures_by_incarnation
            if incarnation not in owners
        ]:
            del self._failures_by_incarnation[incarnation]
        for incarnation in [
            incarnation
            for incarnation in self._failed_at_by_incarnation
            if incarnation not in owners
        ]:
            del self._failed_at_by_incarnation[incarnation]
        self._granted_incarnations &= owners
        if len(self._has_lessor_rank_by_server) > RANKS_PER_OWNER_MAX * len(owners):
            self._has_lessor_rank_by_server.clear()

    async def _grant_all(
        self,
        incarnation: model.ServerIncarnation,
        record: servers.ServerRecord,
        due: list[tuple[ids.ServiceName, model.Segment]],
    ) -> None:
        for service, segment in due:
            if not self._is_current(service, segment):
                continue
            if not await self._grant(service, incarnation, record, segment):
                return

    def _is_current(self, service: ids.ServiceName, segment: model.Segment) -> bool:
        known = self._range_maps.by_service[service]
        return known.ranges.find(segment.start) == segment and leases.may_grant(
            confirmed_at=known.confirmed_at, now=self._now()
        )

    async def _grant(
        self,
        service: ids.ServiceName,
        incarnation: model.ServerIncarnation,
        record: servers.ServerRecord,
        segment: model.Segment,
    ) -> bool:
        """Send one grant and return whether the server answered."""
        due_at_by_key = self._due_at_by_incarnation.setdefault(incarnation, {})
        is_first = all(token != segment.token for _, _, token in due_at_by_key)
        self.leases.grant_sent(incarnation)
        was_sent = True
        try:
            result = await self._port.grant(
                record.entry.address,
                segment,
                lease_s=leases.LEASE_S,
                timeout_s=leases.GRANT_TIMEOUT_S,
            )
        except errors.BackendError as error:
            was_sent = not isinstance(error, errors.NotRunError)
            due_at_by_key[_segment_key(segment)] = self._now() + RETRY_S
            self._note_grant_failure(incarnation, segment, error)
            return False
        finally:
            self.leases.grant_ended(incarnation, self._now(), was_sent=was_sent)
        if result is orders.GrantResult.OTHER_SERVER:
            self._failed_at_by_incarnation[incarnation] = self._now()
            self._directory.note_address_reused(incarnation)
        else:
            self._failures_by_incarnation.pop(incarnation, None)
            self._failed_at_by_incarnation.pop(incarnation, None)
            self._granted_incarnations.add(incarnation)
        if result is orders.GrantResult.TOKEN_TOO_OLD:
            self._refused_by_service.setdefault(service, set()).add(segment.token)
        due_at_by_key[_segment_key(segment)] = self._now() + leases.RENEW_S
        if is_first or result is not orders.GrantResult.GRANTED:
            _log.info(
                "grant of keys %d to %d to the server started %d: %s",
                segment.start,
                segment.end,
                incarnation.started_ms,
                result.value,
                extra={"step": "lessor.grant", "peer": incarnation.server, "token": segment.token},
            )
        return True

    def _note_grant_failure(
        self,
        incarnation: model.ServerIncarnation,
        segment: model.Segment,
        error: errors.BackendError,
    ) -> None:
        failures = self._failures_by_incarnation.get(incarnation, 0) + 1
        self._failures_by_incarnation[incarnation] = failures
        self._failed_at_by_incarnation[incarnation] = self._now()
        self._granted_incarnations.discard(incarnation)
        if failures <= FAILURES_TO_UNREACHABLE:
            _log.warning(
                "server did not answer a grant: %s",
                error,
                extra={"step": "lessor.grant", "peer": incarnation.server, "token": segment.token},
            )
