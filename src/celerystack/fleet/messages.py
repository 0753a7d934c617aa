"""Datagrams between entry VMs. All are idempotent, and the next one makes up for a lost one."""

from __future__ import annotations

import dataclasses
from typing import Any

import msgpack

from celerystack import errors, ids
from celerystack.fleet import datagram_size, directory_sync, evacuations, servers
from celerystack.forwarding import owners
from celerystack.limits import rate_limits
from celerystack.ranges import codec, model


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Report:
    """Status that each entry VM sends to the planner.

    Attributes
    ----------
    vm : EntryVmId
        The sender.
    zone : ZoneName
        Zone of the sender.
    vm_incarnation : int
        Random number that identifies the process of the sender.
    stamp : float
        The sender's clock in seconds, echoed in `PlannerHeartbeat`.
    versions_by_service : dict
        Row version of the range map that the sender uses.
    remaining_by_incarnation : dict
        Seconds until the last grant of the sender expires, for the incarnations in
        `PlannerHeartbeat.pending`.
    unreachable : tuple of ServerIncarnation
        Server incarnations that did not answer the last orders of the sender.
    keys_by_service : dict
        Keys of the requests received since the last report, up to a limit, by service.
    service_time_by_server : dict
        Number of answers and their mean service time in seconds since the last report.
    crash_suspects : tuple of (Fingerprint, ServerIncarnation)
        Requests whose connection broke before any answer since the last report.
    position : RowVersion
        Store version up to which the server directory of the sender is current.
    incarnations_with_reused_address : tuple of ServerIncarnation
        Server incarnations at whose addresses another server answered.
    completed_suspects : tuple of Fingerprint
        Quarantined requests that recently completed on the sender.
    config_row : RowVersion
        Version of the newest configuration row that the sender has.
    rate_limits : tuple of RateLimit
        Limits in servers' answers to the sender of which the planner has sent none or older ones.
    leaving : tuple of ServerIncarnation
        Server incarnations that have stated that they leave, before their entries do.
    queue_weight : float
        Share of the queues that the sender should own; 0 if it should own none.
    queue_wait_by_service : dict
        Expected wait in seconds in the queues that the sender owns for unsharded services.
    refused_tokens_by_service : dict
        Tokens of grants that servers refused as too old since the last report.
    """

    vm: ids.EntryVmId
    zone: ids.ZoneName
    vm_incarnation: int
    stamp: float
    versions_by_service: dict[ids.ServiceName, int]
    remaining_by_incarnation: dict[model.ServerIncarnation, float]
    unreachable: tuple[model.ServerIncarnation, ...]
    keys_by_service: dict[ids.ServiceName, list[int]]
    service_time_by_server: dict[ids.ServerId, tuple[int, float]]
    crash_suspects: tuple[tuple[ids.Fingerprint, model.ServerIncarnation], ...] = ()
    position: ids.RowVersion = directory_sync.UNKNOWN
    incarnations_with_reused_address: tuple[model.ServerIncarnation, ...] = ()
    completed_suspects: tuple[ids.Fingerprint, ...] = ()
    config_row: ids.RowVersion = directory_sync.UNKNOWN
    rate_limits: tuple[rate_limits.RateLimit, ...] = ()
    leaving: tuple[model.ServerIncarnation, ...] = ()
    queue_weight: float = 0.0
    queue_wait_by_service: dict[ids.ServiceName, float] = dataclasses.field(default_factory=dict)
    refused_tokens_by_service: dict[ids.ServiceName, tuple[ids.Token, ...]] = dataclasses.field(
        default_factory=dict
    )


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class PlannerHeartbeat:
    """Heartbeat that the planner sends to each entry VM.

    Attributes
    ----------
    vm : EntryVmId
        The planner, which is the sender.
    term : int
        Term of the planner, which increases with each change of planner.
    echo_vm_incarnation : int
        `Report.vm_incarnation` of the last report from the receiver.
    echo_stamp : float
        Stamp of the last report from the receiver; negative if its process has sent none.
    confirm_age_s : float
        Time in seconds between the store's last confirmation of the planner and the arrival of
        that report.
    versions_by_service : dict
        Row versions of the range maps that were current at that confirmation.
    zone_vms : tuple of EntryVmId
        Entry VMs in the zone of the receiver that recently sent a report.
    entry_vms : int
        Number of all registered entry VMs.
    pending : tuple of ServerIncarnation
        Server incarnations for which the planner requests the remaining time of grants.
    admitted_fraction_by_server : dict
        Fraction of the requests to admit, for overloaded servers.
    quarantined : tuple of Fingerprint
        Fingerprints of requests that crash servers and must be rejected.
    update : DirectoryUpdate or None
        Changes of the servers since the position of the receiver.
    incarnations_with_reused_address : tuple of ServerIncarnation
        Server incarnations at whose addresses another server answered.
    rate_limits : tuple of RateLimit
        Limits that servers stated; some of them if there are many.
    leaving : tuple of ServerIncarnation
        Server incarnations that have stated that they leave, before their entries do.
    evacuations : EvacuationList or None
        Evacuated zones; None if the planner has not read them yet.
    queue_owners : tuple of Owner
        Entry VMs that own the queues of the servers.
    queue_waits_by_vm : dict
        Expected wait in seconds by service, for the owners with such a wait.
    """

    vm: ids.EntryVmId
    term: int
    echo_vm_incarnation: int
    echo_stamp: float
    confirm_age_s: float
    versions_by_service: dict[ids.ServiceName, int]
    zone_vms: tuple[ids.EntryVmId, ...]
    entry_vms: int
    pending: tuple[model.ServerIncarnation, ...]
    admitted_fraction_by_server: dict[ids.ServerId, float]
    quarantined: tuple[ids.Fingerprint, ...] = ()
    update: directory_sync.DirectoryUpdate | None = None
    incarnations_with_reused_address: tuple[model.ServerIncarnation, ...] = ()
    rate_limits: tuple[rate_limits.RateLimit, ...] = ()
    leaving: tuple[model.ServerIncarnation, ...] = ()
    evacuations: evacuations.EvacuationList | None = None
    queue_owners: tuple[owners.Owner, ...] = ()
    queue_waits_by_vm: dict[ids.EntryVmId, dict[ids.ServiceName, float]] = dataclasses.field(
        default_factory=dict
    )


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class RangesPart:
    """Part of a range map, or of its changes, that fits into one datagram.

    Attributes
    ----------
    term : int
        Term of the planner that sends the part.
    base : int
        Version of the map to which the changes apply; 0 if the segments are the whole map.
    version : int
        Version of the map that results from all parts.
    next_token : int
        Lowest fencing token that the resulting map has not used yet; see `model.RangeMap`.
    part, parts : int
        Number of this part, and how many parts there are.
    """

    term: int
    service: ids.ServiceName
    base: int
    version: int
    next_token: int
    part: int
    parts: int
    segments: tuple[model.Segment, ...]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ConfigPart:
    """Part of the compressed configuration row that fits into one datagram.

    Attributes
    ----------
    row : RowVersion
        Version of the row.
    part, parts : int
        Number of this part, and how many parts there are.
    """

    row: ids.RowVersion
    part: int
    parts: int
    data: bytes


Message = Report | PlannerHeartbeat | RangesPart | ConfigPart


def _encode_incarnation(incarnation: model.ServerIncarnation) -> list[Any]:
    return [incarnation.server, incarnation.started_ms]


def _encode_rate_limit(limit: rate_limits.RateLimit) -> list[Any]:
    return [*_encode_incarnation(limit.incarnation), limit.per_s, limit.age_s]


def _decode_rate_limit(
    server: Any, started_ms: Any, per_s: Any, age_s: Any
) -> rate_limits.RateLimit:
    return rate_limits.RateLimit(
        incarnation=codec.decode_incarnation([server, started_ms]),
        per_s=None if per_s is None else float(per_s),
        age_s=float(age_s),
    )


def _encode_owner(owner: owners.Owner) -> list[Any]:
    return [owner.vm, owner.zone, *owner.address, owner.weight]


def _decode_owner(vm: Any, zone: Any, host: Any, port: Any, weight: Any) -> owners.Owner:
    return owners.Owner(
        ids.EntryVmId(vm), ids.ZoneName(zone), (str(host), int(port)), float(weight)
    )


def _encode_evacuations(listed: evacuations.EvacuationList) -> list[Any]:
    pairs = [[evacuation.zone, evacuation.age_s] for evacuation in listed.evacuations]
    return [listed.version, listed.age_s, pairs]


def _decode_evacuations(version: Any, age_s: Any, pairs: Any) -> evacuations.EvacuationList:
    return evacuations.EvacuationList(
        version=ids.RowVersion(int(version)),
        age_s=float(age_s),
        evacuations=tuple(
            evacuations.Evacuation(ids.ZoneName(zone), float(age_s)) for zone, age_s in pairs
        ),
    )


def _encode_update(update: directory_sync.DirectoryUpdate) -> list[Any]:
    changes = [
        [
            change.present,
            change.entry.server,
            change.entry.service,
            change.entry.address,
            change.entry.zone,
            change.entry.slots,
            change.entry.state.value,
            change.entry.cold_s,
            change.entry.started_ms,
        ]
        for change in update.changes
    ]
    return [
        update.since,
        update.position,
        update.age_s,
        update.digest,
        update.config_row,
        update.config_age_s,
        changes,
    ]


def _decode_update(*fields: Any) -> directory_sync.DirectoryUpdate:
    since, position, age_s, digest, config_row, config_age_s, changes = fields
    return directory_sync.DirectoryUpdate(
        since=ids.RowVersion(int(since)),
        position=ids.RowVersion(int(position)),
        age_s=float(age_s),
        digest=int(digest),
        config_row=ids.RowVersion(int(config_row)),
        config_age_s=float(config_age_s),
        changes=tuple(_decode_change(*change) for change in changes),
    )


def _decode_change(present: bool, *fields: Any) -> directory_sync.Change:
    server, service, address, zone, slots, state, cold_s, started_ms = fields
    return directory_sync.Change(
        present=bool(present),
        entry=servers.ServerEntry(
            server=server,
            service=service,
            address=str(address),
            zone=zone,
            slots=int(slots),
            state=servers.ServerState(state),
            cold_s=float(cold_s),
            started_ms=int(started_ms),
        ),
    )


_REPORT_LISTS = (4, 5, 6, 7, 8, 9, 11, 12, 14, 15, 17, 18)
"""Indices of the encoded fields of a report that may be shortened."""
_HEARTBEAT_LISTS = (5, 8, 9, 10, 12, 13, 14, 17)
"""The same for a heartbeat. The lists of entry VMs and owners, on which all must agree, are bounded
where they are made."""
_HEARTBEAT_OPTIONAL = (11, 15)
"""Indices of the encoded fields of a heartbeat that may be left out: the receiver then reads the
servers and the evacuations from the store."""
LISTS_BYTES_MIN = 8_000
"""Bytes of a datagram for which optional fields are left out if lists would have fewer."""


def _pack_bounded(
    kind: str, fields: list[Any], lists: tuple[int, ...], *, optional: tuple[int, ...] = ()
) -> bytes:
    """Return an encoded message of at most `datagram_size.DATAGRAM_BYTES_MAX` bytes."""
    data = msgpack.packb([kind, *fields])
    if len(data) <= datagram_size.DATAGRAM_BYTES_MAX:
        return data
    fitted = list(fields)
    for index in lists:
        fitted[index] = None
    for index in optional:
        if _bytes_left(kind, fitted) < LISTS_BYTES_MIN:
            fitted[index] = None
    shortened = datagram_size.fit_fields(
        {str(index): fields[index] for index in lists}, _bytes_left(kind, fitted)
    )
    for index in lists:
        fitted[index] = shortened[str(index)]
    return msgpack.packb([kind, *fitted])


def _bytes_left(kind: str, fields: list[Any]) -> int:
    return datagram_size.DATAGRAM_BYTES_MAX - len(msgpack.packb([kind, *fields]))


def _report_fields(report: Report) -> list[Any]:
    return [
        report.vm,
        report.zone,
        report.vm_incarnation,
        report.stamp,
        report.versions_by_service,
        [
            [*_encode_incarnation(incarnation), remaining_s]
            for incarnation, remaining_s in report.remaining_by_incarnation.items()
        ],
        [_encode_incarnation(incarnation) for incarnation in report.unreachable],
        report.keys_by_service,
        report.service_time_by_server,
        [
            [suspect, *_encode_incarnation(incarnation)]
            for suspect, incarnation in report.crash_suspects
        ],
        report.position,
        [
            _encode_incarnation(incarnation)
            for incarnation in report.incarnations_with_reused_address
        ],
        list(report.completed_suspects),
        report.config_row,
        [_encode_rate_limit(limit) for limit in report.rate_limits],
        [_encode_incarnation(incarnation) for incarnation in report.leaving],
        report.queue_weight,
        report.queue_wait_by_service,
        report.refused_tokens_by_service,
    ]


def _heartbeat_fields(heartbeat: PlannerHeartbeat) -> list[Any]:
    return [
        heartbeat.vm,
        heartbeat.term,
        heartbeat.echo_vm_incarnation,
        heartbeat.echo_stamp,
        heartbeat.confirm_age_s,
        heartbeat.versions_by_service,
        heartbeat.zone_vms,
        heartbeat.entry_vms,
        [_encode_incarnation(incarnation) for incarnation in heartbeat.pending],
        heartbeat.admitted_fraction_by_server,
        list(heartbeat.quarantined),
        None if heartbeat.update is None else _encode_update(heartbeat.update),
        [
            _encode_incarnation(incarnation)
            for incarnation in heartbeat.incarnations_with_reused_address
        ],
        [_encode_rate_limit(limit) for limit in heartbeat.rate_limits],
        [_encode_incarnation(incarnation) for incarnation in heartbeat.leaving],
        None if heartbeat.evacuations is None else _encode_evacuations(heartbeat.evacuations),
        [_encode_owner(owner) for owner in heartbeat.queue_owners],
        heartbeat.queue_waits_by_vm,
    ]


def _ranges_fields(part: RangesPart) -> list[Any]:
    return [
        part.term,
        part.service,
        part.base,
        part.version,
        part.next_token,
        part.part,
        part.parts,
        [codec.encode_segment(segment) for segment in part.segments],
    ]


def encode(message: Message) -> bytes:
    """Return a message as a msgpack array of its kind and its fields in order.

    A report or heartbeat that does not fit into a datagram has parts of its longest lists: the
    next ones have the rest. A heartbeat whose update does not fit has none, so that the receiver
    reads the servers from the store.
    """
    match message:
        case Report():
            return _pack_bounded("report", _report_fields(message), _REPORT_LISTS)
        case PlannerHeartbeat():
            fields = _heartbeat_fields(message)
            return _pack_bounded("beacon", fields, _HEARTBEAT_LISTS, optional=_HEARTBEAT_OPTIONAL)
        case RangesPart():
            return msgpack.packb(["ranges", *_ranges_fields(message)])
        case ConfigPart():
            return msgpack.packb(["config", message.row, message.part, message.parts, message.data])


def decode(data: bytes, *, peer: str) -> Message:
    """Decode a datagram.

    Raises
    ------
    errors.BadFrameError
        The datagram is not a valid message.
    """
    try:
        kind, *fields = msgpack.unpackb(data, strict_map_key=False)
        match kind:
            case "report":
                return _decode_report(*fields)
            case "beacon":
                return _decode_heartbeat(*fields)
            case "ranges":
                return _decode_ranges(*fields)
            case "config":
                return _decode_config_part(*fields)
        raise ValueError(f"unknown kind {kind!r}")
    except Exception as error:
        raise errors.BadFrameError(
            f"malformed datagram: {error!r}", step="fleet.decode", peer=peer
        ) from error


def _decode_report(*fields: Any) -> Report:
    vm, zone, vm_incarnation, stamp, versions, remaining, unreachable, *rest = fields
    (
        keys,
        service_times,
        crash_suspects,
        position,
        incarnations_with_reused_address,
        completed_suspects,
        config_row,
        limits,
        leaving,
        queue_weight,
        queue_waits,
        refused_tokens,
    ) = rest
    return Report(
        vm=vm,
        zone=zone,
        vm_incarnation=vm_incarnation,
        stamp=float(stamp),
        versions_by_service=versions,
        remaining_by_incarnation={
            codec.decode_incarnation([server, started_ms]): float(remaining_s)
            for server, started_ms, remaining_s in remaining
        },
        unreachable=tuple(codec.decode_incarnation(incarnation) for incarnation in unreachable),
        keys_by_service=keys,
        service_time_by_server={
            server: (int(answers), float(mean)) for server, (answers, mean) in service_times.items()
        },
        crash_suspects=tuple(
            (ids.Fingerprint(bytes(suspect)), codec.decode_incarnation([server, started_ms]))
            for suspect, server, started_ms in crash_suspects
        ),
        position=ids.RowVersion(int(position)),
        incarnations_with_reused_address=tuple(
            codec.decode_incarnation(incarnation)
            for incarnation in incarnations_with_reused_address
        ),
        completed_suspects=tuple(ids.Fingerprint(bytes(suspect)) for suspect in completed_suspects),
        config_row=ids.RowVersion(int(config_row)),
        rate_limits=tuple(_decode_rate_limit(*limit) for limit in limits),
        leaving=tuple(codec.decode_incarnation(incarnation) for incarnation in leaving),
        queue_weight=float(queue_weight),
        queue_wait_by_service={service: float(wait_s) for service, wait_s in queue_waits.items()},
        refused_tokens_by_service={
            service: tuple(ids.Token(int(token)) for token in tokens)
            for service, tokens in refused_tokens.items()
        },
    )


def _decode_heartbeat(*fields: Any) -> PlannerHeartbeat:
    vm, term, vm_incarnation, stamp, age_s, versions, zone_vms, *rest = fields
    (
        entry_vm_count,
        pending,
        admitted,
        quarantined,
        update,
        incarnations_with_reused_address,
        limits,
        leaving,
        evacuated,
        queue_owners,
        queue_waits,
    ) = rest
    return PlannerHeartbeat(
        vm=vm,
        term=int(term),
        echo_vm_incarnation=int(vm_incarnation),
        echo_stamp=float(stamp),
        confirm_age_s=float(age_s),
        versions_by_service=versions,
        zone_vms=tuple(zone_vms),
        entry_vms=int(entry_vm_count),
        pending=tuple(codec.decode_incarnation(incarnation) for incarnation in pending),
        admitted_fraction_by_server={
            server: float(fraction) for server, fraction in admitted.items()
        },
        quarantined=tuple(ids.Fingerprint(bytes(suspect)) for suspect in quarantined),
        update=None if update is None else _decode_update(*update),
        incarnations_with_reused_address=tuple(
            codec.decode_incarnation(incarnation)
            for incarnation in incarnations_with_reused_address
        ),
        rate_limits=tuple(_decode_rate_limit(*limit) for limit in limits),
        leaving=tuple(codec.decode_incarnation(incarnation) for incarnation in leaving),
        evacuations=None if evacuated is None else _decode_evacuations(*evacuated),
        queue_owners=tuple(_decode_owner(*owner) for owner in queue_owners),
        queue_waits_by_vm={
            vm: {service: float(wait_s) for service, wait_s in waits.items()}
            for vm, waits in queue_waits.items()
        },
    )


def _decode_ranges(*fields: Any) -> RangesPart:
    term, service, base, version, next_token, part, parts, segments = fields
    return RangesPart(
        term=int(term),
        service=service,
        base=int(base),
        version=int(version),
        next_token=int(next_token),
        part=int(part),
        parts=int(parts),
        segments=tuple(codec.decode_segment(segment) for segment in segments),
    )


def _decode_config_part(row: Any, part: Any, parts: Any, data: Any) -> ConfigPart:
    return ConfigPart(
        row=ids.RowVersion(int(row)), part=int(part), parts=int(parts), data=bytes(data)
    )
