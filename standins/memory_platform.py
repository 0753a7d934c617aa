"""In-memory platform services with scripted faults, for tests without a network."""

from __future__ import annotations

import collections
import enum
import io
from collections.abc import Callable

from twisted.internet import defer, task

from celerystack import errors, ids, settings
from celerystack.commands import job
from celerystack.queries import ports as query_ports
from celerystack.store import ports


class Fault(enum.Enum):
    """Fault that is injected into one call."""

    NONE = "none"
    REFUSED = "refused"
    LOST_BEFORE_COMMIT = "lost before commit"
    LOST_AFTER_COMMIT = "lost after commit"
    LOST_THEN_COMMITS = "lost, commits later"


class FakeTable:
    """A transactional table; deleted rows keep their version, as in the row cache.

    `transact_faults` and `read_faults` are the faults of the next calls, in the order of the calls.
    """

    def __init__(self, clock: task.Clock) -> None:
        self._clock = clock
        self.rows_by_key: dict[ids.RowKey, ports.Row] = {}
        self.transact_faults: collections.deque[Fault] = collections.deque()
        self.read_faults: collections.deque[Fault] = collections.deque()
        self.commits: list[ports.Transaction] = []
        self.attempts = 0
        self.before_transact: list[Callable[[], None]] = []
        self.late_commit_s = 0.5

    def get(self, keys: list[ids.RowKey]) -> defer.Deferred[list[ports.Row]]:
        error = self._next_read_error()
        if error is not None:
            return defer.fail(error)
        return defer.succeed([self.row(key) for key in keys])

    def scan(self, prefix: str) -> defer.Deferred[list[ports.Row]]:
        error = self._next_read_error()
        if error is not None:
            return defer.fail(error)
        rows = [self.rows_by_key[key] for key in sorted(self.rows_by_key) if key.startswith(prefix)]
        return defer.succeed([row for row in rows if row.value is not None])

    def changes(self, since: int) -> defer.Deferred[tuple[int, list[ports.Row]]]:
        raise NotImplementedError

    def transact(self, transaction: ports.Transaction) -> defer.Deferred[list[ports.Row]]:
        self.attempts += 1
        if self.before_transact:
            self.before_transact.pop(0)()
        lost = errors.AnswerLostError("timeout", step="table.transact", peer="10.0.0.9:1")
        match self.transact_faults.popleft() if self.transact_faults else Fault.NONE:
            case Fault.REFUSED:
                return defer.fail(
                    errors.PlatformUnavailableError("refused", step="table.transact", peer="t")
                )
            case Fault.LOST_BEFORE_COMMIT:
                return defer.fail(lost)
            case Fault.LOST_AFTER_COMMIT:
                self._commit_unless_conflict(transaction)
                return defer.fail(lost)
            case Fault.LOST_THEN_COMMITS:
                self._clock.callLater(self.late_commit_s, self._commit_unless_conflict, transaction)
                return defer.fail(lost)
        try:
            return defer.succeed(self.commit(transaction))
        except errors.TransactionConflictError as error:
            return defer.fail(error)

    def row(self, key: ids.RowKey) -> ports.Row:
        return self.rows_by_key.get(key) or ports.Row(key, ids.RowVersion(0), None)

    def commit(self, transaction: ports.Transaction) -> list[ports.Row]:
        for key, version in transaction.expected_versions_by_key.items():
            if self.row(key).version != version:
                raise errors.TransactionConflictError(
                    f"{key} has version {self.row(key).version}", step="table.transact", peer="t"
                )
        written = [
            ports.Row(write.key, ids.RowVersion(self.row(write.key).version + 1), write.value)
            for write in transaction.writes
        ]
        self.rows_by_key.update({row.key: row for row in written})
        self.commits.append(transaction)
        return written

    def put(self, key: str, value: bytes | None) -> ports.Row:
        """Write one row without conditions, as another client."""
        row_key = ids.RowKey(key)
        row = ports.Row(row_key, ids.RowVersion(self.row(row_key).version + 1), value)
        self.rows_by_key[row_key] = row
        return row

    def audit_keys(self) -> list[ids.RowKey]:
        return [key for key in self.rows_by_key if key.startswith("audit/")]

    def _commit_unless_conflict(self, transaction: ports.Transaction) -> None:
        try:
            self.commit(transaction)
        except errors.TransactionConflictError:
            return

    def _next_read_error(self) -> errors.PlatformError | None:
        fault = self.read_faults.popleft() if self.read_faults else Fault.NONE
        if fault is Fault.NONE:
            return None
        if fault is Fault.REFUSED:
            return errors.PlatformUnavailableError("refused", step="table.get", peer="t")
        return errors.AnswerLostError("timeout", step="table.get", peer="t")


class FakeObjects:
    """An object store; `put_faults` are the faults of the next puts, in their order."""

    def __init__(self) -> None:
        self.body_by_name: dict[str, bytes] = {}
        self.put_faults: collections.deque[Fault] = collections.deque()

    def put(self, name: str, body: bytes) -> defer.Deferred[None]:
        fault = self.put_faults.popleft() if self.put_faults else Fault.NONE
        if fault is Fault.REFUSED:
            return defer.fail(errors.PlatformUnavailableError("refused", step="objects.put"))
        if fault is not Fault.LOST_BEFORE_COMMIT:
            self.body_by_name.setdefault(name, body)
        if fault is not Fault.NONE:
            return defer.fail(errors.AnswerLostError("timeout", step="objects.put"))
        return defer.succeed(None)

    def get(self, name: str) -> defer.Deferred[bytes | None]:
        return defer.succeed(self.body_by_name.get(name))


class FakePlatform:
    """Table, object store and clock of one test; runs remote jobs against them."""

    def __init__(self) -> None:
        self.clock = task.Clock()
        self.table = FakeTable(self.clock)
        self.objects = FakeObjects()
        self.admin: query_ports.AdminPort | None = None
        self.wall_ms = 1_700_000_000_000

    def start(self, remote_job: job.Job, out: io.StringIO) -> defer.Deferred[int]:
        """Start a remote job whose deadline is in 10 s."""
        remote = job.RemoteContext(
            settings=settings.Settings(),
            clock=self.clock,
            table=self.table,
            objects=self.objects,
            admin=self.admin,
            deadline=self.clock.seconds() + 10.0,
            out=out,
            now_ms=self._now_ms,
        )
        return defer.ensureDeferred(remote_job.run(remote))

    def run(self, remote_job: job.Job, *, limit_s: float = 30.0) -> tuple[int, str]:
        """Run a remote job to its end; returns exit code and output, raises what the job raises."""
        out = io.StringIO()
        code = self.wait(self.start(remote_job, out), limit_s=limit_s)
        return code, out.getvalue()

    def wait(self, running: defer.Deferred, *, limit_s: float = 30.0):
        """Advance the clock until ``running`` has a result; returns or raises it."""
        results: list = []
        running.addBoth(results.append)
        end = self.clock.seconds() + limit_s
        while not results and self.clock.seconds() < end:
            self.clock.advance(0.01)
        if not results:
            raise AssertionError(f"no result within {limit_s} s")
        if hasattr(results[0], "raiseException"):
            results[0].raiseException()
        return results[0]

    def _now_ms(self) -> int:
        self.wall_ms += 1
        return self.wall_ms
