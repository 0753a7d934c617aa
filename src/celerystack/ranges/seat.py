"""Election of the planner through its seat: one row that names the entry VM which is the planner.

Only the planner may change range maps. Every such write is conditional on the version of the seat's
row, so that delayed writes of a replaced planner fail.
"""

from __future__ import annotations

import dataclasses
import logging
from collections.abc import Callable, Sequence

import msgpack

from celerystack import errors, ids
from celerystack.fleet import rows
from celerystack.ranges import codec, model

_log = logging.getLogger(__name__)

SEAT_TABLE = "planner"
SEAT_KEY = ids.RowKey("seat")
RANGES_TABLE = "ranges"


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Holder:
    """Content of the seat's row: its holder, and the holder's process and term."""

    vm: ids.EntryVmId
    vm_incarnation: int
    term: int
    version: ids.RowVersion


VACANT = Holder(vm=ids.EntryVmId(""), vm_incarnation=0, term=0, version=rows.ABSENT)


class Seat:
    """Acquires and confirms the seat, and writes range maps under it.

    Attributes
    ----------
    term : int
        Number of the current term; 0 if this VM does not hold the seat.
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
        """Whether this VM is the planner, to its own knowledge."""
        return self.term > 0

    def step_down(self, reason: str) -> None:
        """Stop being the planner."""
        if self.held:
            _log.info("stepped down as planner: %s", reason, extra={"step": "planner"})
        self.term = 0

    async def read(self) -> Holder:
        """Return the holder of the seat, or `VACANT`."""
        answer = await self._store.scan(SEAT_TABLE)
        for row in answer.rows:
            if row.key == SEAT_KEY and row.value is not None:
                return _holder(row)
        return VACANT

    async def take(self, holder: Holder) -> bool:
        """Take the seat from ``holder``; return False if its row has changed since it was read."""
        term = holder.term + 1
        started = self._now()
        try:
            version = await self._transact(holder.version, term, ())
        except errors.TransactionConflictError:
            return False
        self.term, self._version, self.confirmed_at = term, version, started
        _log.info(
            "took the planner seat from %s for term %d",
            holder.vm or "nobody",
            term,
            extra={"step": "planner"},
        )
        return True

    async def confirm(self) -> None:
        """Write the seat's row again as a heartbeat, which shows that the planner is alive."""
        started = self._now()
        self._version = await self._step_down_on_error(self._transact(self._version, self.term, ()))
        self.confirmed_at = started

    async def commit(self, ranges: model.RangeMap, version: ids.RowVersion) -> ids.RowVersion:
        """Write a range map in place of the one at ``version``; return the new version."""
        started = self._now()
        row_key = ids.RowKey(ranges.service)
        conditions = [
            rows.Condition(table=SEAT_TABLE, key=SEAT_KEY, version=self._version),
            rows.Condition(table=RANGES_TABLE, key=row_key, version=version),
        ]
        put = rows.Put(table=RANGES_TABLE, key=row_key, value=codec.encode(ranges))
        written = await self._step_down_on_error(self._store.transact(conditions, [put], ()))
        self.confirmed_at = started
        return written

    async def release(self) -> None:
        """Mark the seat as vacant, so that another VM can take it without waiting."""
        term, self.term = self.term, 0
        await self._transact(self._version, term, (), vacant=True)

    async def _step_down_on_error(self, call: object) -> ids.RowVersion:
        try:
            return await call
        except errors.TransactionConflictError:
            self.step_down("another entry VM holds it")
            raise
        except errors.AnswerLostError:
            # The write may still be applied. Taking the seat again changes the row's version, so
            # that the write has either been applied before or fails.
            self.step_down("the outcome of a write is unknown")
            raise

    def _transact(
        self,
        version: ids.RowVersion,
        term: int,
        extra_puts: Sequence[rows.Put],
        *,
        vacant: bool = False,
    ) -> object:
        vm = "" if vacant else self._vm
        put = rows.Put(
            table=SEAT_TABLE, key=SEAT_KEY, value=msgpack.packb([vm, self._vm_incarnation, term])
        )
        condition = rows.Condition(table=SEAT_TABLE, key=SEAT_KEY, version=version)
        return self._store.transact([condition], [put, *extra_puts], ())


def _holder(row: rows.Row) -> Holder:
    try:
        vm, vm_incarnation, term = msgpack.unpackb(row.value or b"")
        return Holder(
            vm=ids.EntryVmId(vm),
            vm_incarnation=int(vm_incarnation),
            term=int(term),
            version=row.version,
        )
    except Exception as error:
        _log.error("malformed row of the planner seat: %r", error, extra={"step": "planner"})
        return dataclasses.replace(VACANT, version=row.version)
