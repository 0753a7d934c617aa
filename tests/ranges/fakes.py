"""In-memory fakes of the ports that ownership tests need."""

from __future__ import annotations

from twisted.internet import defer

from celerystack import errors, ids
from celerystack.fleet import nodes, rows, servers
from celerystack.ranges import lease_reports, model, orders

SERVICE = ids.ServiceName("rota")
ZONE = ids.ZoneName("z1")


def incarnation(name: str, started_ms: int = 1) -> model.ServerIncarnation:
    return model.ServerIncarnation(ids.ServerId(name), started_ms)


def entry(name: str, started_ms: int = 1, *, address: str = "", **changes) -> servers.ServerEntry:
    fields = {
        "server": ids.ServerId(name),
        "service": SERVICE,
        "address": address or f"10.0.0.1:{8000 + sum(name.encode())}",
        "zone": ZONE,
        "slots": 2,
        "state": servers.ServerState.READY,
        "cold_s": 0.0,
        "started_ms": started_ms,
    }
    return servers.ServerEntry(**(fields | changes))


def registered(
    zone_by_vm: dict[ids.EntryVmId, ids.ZoneName], version: int = 1
) -> dict[ids.EntryVmId, nodes.Node]:
    """Return the list of registered entry VMs with these zones."""
    return {
        vm: nodes.Node(vm=vm, zone=zone, address=("10.0.0.1", 7000), version=version)
        for vm, zone in zone_by_vm.items()
    }


def list_vms(
    reports: lease_reports.LeaseReports,
    zone_by_vm: dict[ids.EntryVmId, ids.ZoneName],
    read_at: float,
    *,
    answered_at: float | None = None,
    version: int = 1,
) -> None:
    """Give a list of the registered entry VMs to ``reports``, answered at once by default."""
    reports.update_vms(
        registered(zone_by_vm, version),
        read_at=read_at,
        answered_at=read_at if answered_at is None else answered_at,
    )


def whole(owner: model.ServerIncarnation, token: int = 1) -> model.RangeMap:
    segment = model.Segment(start=0, end=model.KEY_MAX, token=ids.Token(token), owner=owner)
    return model.RangeMap(service=SERVICE, next_token=ids.Token(token + 1), segments=(segment,))


class FakeOrders:
    """An order port that answers at once.

    Every order fails while ``failing`` is set, and is not even sent while ``refusing`` is set.
    """

    def __init__(self) -> None:
        self.granted: list[tuple[str, model.Segment]] = []
        self.released: list[tuple[str, model.Segment]] = []
        self.failing = False
        self.refusing = False
        self.connected = True
        self.grant_result = orders.GrantResult.GRANTED

    def is_connected(self, address):
        return self.connected

    def grant(self, address, segment, *, lease_s, timeout_s):
        self.granted.append((address, segment))
        if self.refusing:
            return defer.fail(errors.ConnectFailedError("refused", step="grant", peer=address))
        if self.failing:
            return defer.fail(
                errors.OutcomeUnknownError("connection lost", step="grant", peer=address)
            )
        return defer.succeed(self.grant_result)

    def release(self, address, segment, *, timeout_s):
        self.released.append((address, segment))
        if self.failing:
            return defer.fail(
                errors.OutcomeUnknownError("connection lost", step="release", peer=address)
            )
        return defer.succeed("handover-1")


class MemoryRows:
    """A row store in memory; ``lose_next_answer`` applies the next write but fails its answer.

    `come_back` restores the content of an earlier `copy` in a new era.
    """

    def __init__(self) -> None:
        self.version = 0
        self.rows: dict[tuple[str, str], tuple[bytes, int]] = {}
        self.lose_next_answer = False

    @property
    def era(self):
        return rows.era_of(self.version)

    def copy(self):
        return rows.number_of(self.version), dict(self.rows)

    def come_back(self, copy):
        era = ids.StoreEra(self.era + 1)
        number, found = copy
        self.version = rows.version_in(era, number)
        self.rows = {
            row_id: (value, rows.version_in(era, rows.number_of(version)))
            for row_id, (value, version) in found.items()
        }

    def scan(self, table):
        found = tuple(
            rows.Row(key=key, value=value, version=version)
            for (row_table, key), (value, version) in sorted(self.rows.items())
            if row_table == table
        )
        return defer.succeed(rows.Rows(rows=found, version=self.version))

    def changes(self, table, after, *, wait_s):
        return self.scan(table)

    def transact(self, conditions, puts, removes):
        for condition in (*conditions, *removes):
            row_id = condition.table, condition.key
            if self.rows.get(row_id, (b"", 0))[1] != condition.version:
                return defer.fail(errors.TransactionConflictError("conflict", step="tx"))
        self.version += 1
        for put in puts:
            self.rows[put.table, put.key] = (put.value, self.version)
        for removed in removes:
            del self.rows[removed.table, removed.key]
        if self.lose_next_answer:
            self.lose_next_answer = False
            return defer.fail(errors.AnswerLostError("no answer", step="tx"))
        return defer.succeed(self.version)
