"""Election of the planner: one row names the entry VM that is the leader of the entry VMs.

Only the planner may change range maps. Every such write is conditional on the version of the
leader's row, so that delayed writes of a replaced planner fail.
"""

from __future__ import annotations

import dataclasses
import logging
from collections.abc import Callable, Sequence

import msgpack

from celerystack import errors, ids
from celerystack.fleet import nodes, rows
from celerystack.ranges import codec, model

_log = logging.getLogger(__name__)

LEADER_TABLE = "planner"
"""Table with the leader's row."""
LEADER_KEY = ids.RowKey("seat")
"""Key of the leader's row. The stored name is older than the term "leader"."""
RANGES_TABLE = "ranges"
"""Table with one row per service, which holds its range map."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Leader:
    """Content of the leader's row: the entry VM, its process and its term.

    Attributes
    ----------
    era : StoreEra
        Era of the store in which the row was read.
    """

    vm: ids.EntryVmId
    vm_incarnation: int
    term: int
    version: ids.RowVersion
    era: ids.StoreEra = ids.StoreEra(0)

    @property
    def is_of_earlier_era(self) -> bool:
        """Whether nobody has become leader since the store came back from an earlier copy."""
        return self.version != rows.ABSENT and self.term < _first_term(self.era)


NO_LEADER = Leader(vm=ids.EntryVmId(""), vm_incarnation=0, term=0, version=rows.ABSENT)
"""Stands for the leader if the row is absent, or with its version if it cannot be decoded."""
ERA_TERM_BITS = 32
"""Number of low bits of a term that count the terms of one era of the store; the era is above them.
Terms of a later era are therefore higher than those that were lost with the rows of an earlier one.
"""


def _first_term(era: ids.StoreEra) -> int:
    return (era << ERA_TERM_BITS) + 1


class Leadership:
    """Acquires and renews the leadership, and writes range maps under it.

    Attributes
    ----------
    term : int
        Number of the current term; 0 if this VM is not the leader.
    confirmed_at : float
        Clock time in seconds at which the last successful transaction began.
    """

    def __init__(
        self,
        *,
        vm: ids.EntryVmId,
        vm_incarnation: int,
        store: rows.RowStore,
        now: Callable[[], float],
    ) -> None:
        self._vm = vm
        self._vm_incarnation = vm_incarnation
        self._store = store
        self._now = now
        self._version = rows.ABSENT
        self.term = 0
        self.confirmed_at = 0.0

    @property
    def held(self) -> bool:
        """Whether this VM is the planner, as far as it knows."""
        return self.term > 0

    @property
    def era(self) -> ids.StoreEra:
        """Era of the store in which this VM last wrote the leader's row."""
        return rows.era_of(self._version)

    def step_down(self, reason: str) -> None:
        """Stop being the planner."""
        if self.held:
            _log.info("stepped down as planner: %s", reason, extra={"step": "planner"})
        self.term = 0

    async def read(self) -> Leader:
        """Return the leader; `NO_LEADER` if there is no row.

        After a release ``vm`` is empty, and ``term`` and ``version`` are those of the row.
        """
        answer = await self._store.scan(LEADER_TABLE)
        era = rows.era_of(answer.version)
        for row in answer.rows:
            if row.key == LEADER_KEY and row.value is not None:
                return dataclasses.replace(_leader(row), era=era)
        return dataclasses.replace(NO_LEADER, era=era)

    async def acquire(self, leader: Leader) -> bool:
        """Become leader after ``leader``; return False if the row has changed since it was read."""
        term = max(leader.term + 1, _first_term(leader.era))
        started = self._now()
        try:
            version = await self._transact(leader.version, term, ())
        except errors.TransactionConflictError:
            return False
        self.term, self._version, self.confirmed_at = term, version, started
        _log.info(
            "became planner after %s, term %d",
            leader.vm or "nobody",
            term,
            extra={"step": "planner"},
        )
        return True

    async def renew(self) -> None:
        """Write the leader's row again, which shows that the planner is live."""
        started = self._now()
        self._version = await self._step_down_on_error(self._transact(self._version, self.term, ()))
        self.confirmed_at = started

    async def commit(
        self,
        ranges: model.RangeMap,
        version: ids.RowVersion,
        *,
        written_in: ids.StoreEra | None = None,
    ) -> ids.RowVersion:
        """Write a range map in place of the one at ``version``; return the new version.

        ``written_in`` is the era to which the map belongs, by default the present one.
        """
        era = self.era if written_in is None else written_in
        started = self._now()
        row_key = ids.RowKey(ranges.service)
        conditions = [
            rows.Condition(table=LEADER_TABLE, key=LEADER_KEY, version=self._version),
            rows.Condition(table=RANGES_TABLE, key=row_key, version=version),
        ]
        put = rows.Put(table=RANGES_TABLE, key=row_key, value=codec.encode(ranges, era))
        written = await self._step_down_on_error(self._store.transact(conditions, [put], ()))
        self.confirmed_at = started
        return written

    async def remove_vm(self, node: nodes.Node) -> None:
        """Remove the row of an entry VM, unless it registers again meanwhile."""
        leader = rows.Condition(table=LEADER_TABLE, key=LEADER_KEY, version=self._version)
        removed = rows.Condition(
            table=nodes.NODES_TABLE, key=ids.RowKey(node.vm), version=node.version
        )
        await self._store.transact([leader], (), [removed])

    async def release(self) -> None:
        """Clear the leader's row, so that another VM can become planner without waiting."""
        term, self.term = self.term, 0
        await self._transact(self._version, term, (), without_leader=True)

    async def _step_down_on_error(self, call: object) -> ids.RowVersion:
        try:
            return await call
        except errors.TransactionConflictError:
            self.step_down("another entry VM is the planner")
            raise
        except errors.AnswerLostError:
            # The write may still be applied. Acquiring the leadership again changes the row's
            # version, so that the write has either been applied before or fails.
            self.step_down("the outcome of a write is unknown")
            raise

    def _transact(
        self,
        version: ids.RowVersion,
        term: int,
        extra_puts: Sequence[rows.Put],
        *,
        without_leader: bool = False,
    ) -> object:
        vm = "" if without_leader else self._vm
        put = rows.Put(
            table=LEADER_TABLE,
            key=LEADER_KEY,
            value=msgpack.packb([vm, self._vm_incarnation, term]),
        )
        condition = rows.Condition(table=LEADER_TABLE, key=LEADER_KEY, version=version)
        return self._store.transact([condition], [put, *extra_puts], ())


def _leader(row: rows.Row) -> Leader:
    try:
        vm, vm_incarnation, term = msgpack.unpackb(row.value or b"")
        return Leader(
            vm=ids.EntryVmId(vm),
            vm_incarnation=int(vm_incarnation),
            term=int(term),
            version=row.version,
        )
    except Exception as error:
        _log.error("malformed row of the planner: %r", error, extra={"step": "planner"})
        return dataclasses.replace(NO_LEADER, version=row.version)
