"""Compares commands, exit codes, output and the resulting rows with a transcript."""

from __future__ import annotations

import contextlib
import io
import itertools
import os
import pathlib
import tempfile
from unittest import mock

import testtools

from celerystack import ids, run
from celerystack.control import changes, view
from celerystack.state import cache
from celerystack.store import ports, transactor
from standins import memory_platform as fakes
from tests.golden import transcripts

SERVICES = """[service.rota-view]
prefixes = ["/rota/view/"]
shards = 4

[service.shift-desk]
prefixes = ["/shift/desk/"]
divided = false
"""
SERVERS = """[server.rv-01]
service = "rota-view"
zone = "z1"
address = "10.0.0.1:80"

[server.rv-02]
service = "rota-view"
zone = "z2"
address = "10.0.0.2:80"
"""
ENVIRONMENT = {
    "CELERYSTACK_TABLE_ADDRESS": "10.0.0.9:1",
    "CELERYSTACK_OBJECT_ADDRESS": "10.0.0.9:2",
}
ROTA_VIEW = ids.ServiceName("rota-view")


class Session:
    """Runs command lines against an in-memory platform and records their results."""

    def __init__(self, root: pathlib.Path) -> None:
        self.platform = fakes.FakePlatform()
        self.root = root
        self.parts: list[str] = []

    def note(self, text: str) -> None:
        self.parts.append(f"# {text}\n\n")

    def edit(self, file: str, text: str) -> None:
        path = self.root / file
        path.parent.mkdir(exist_ok=True)
        path.write_text(text)
        self.note(f"{file} is edited")

    def command(self, *arguments: str) -> None:
        out, err = io.StringIO(), io.StringIO()
        shown = " ".join(repr(a) if " " in a else a for a in arguments)
        paths = [str(self.root / a) if a.startswith("folder-") else a for a in arguments]
        with contextlib.redirect_stdout(out), contextlib.redirect_stderr(err):
            code = run.main(paths)
        text = f"$ celerystack {shown}\nexit code {code}\n"
        for name, stream in (("standard output", out), ("standard error", err)):
            if stream.getvalue():
                output = stream.getvalue().replace(f"{self.root}/", "")
                text += f"{name}:\n{transcripts.indented(output)}"
        self.parts.append(text + "\n")

    def run_job(self, requested_job, loaded) -> int:
        """Run a job on the fake platform; replaces `run._run_in_reactor`."""
        out = io.StringIO()
        try:
            return self.platform.wait(self.platform.start(requested_job, out))
        finally:
            print(out.getvalue(), end="")

    def entry_vms_assign(self) -> None:
        """Write the rows that entry VMs would write: servers, shard map and owners."""
        table = self.platform.table
        for create in (
            lambda v: changes.create_server(v, ids.ServerId("rv-01"), (), ids.Incarnation("p1")),
            lambda v: changes.create_server(v, ids.ServerId("rv-02"), (), ids.Incarnation("p2")),
            lambda v: changes.create_map(v, v.configuration.services_by_name[ROTA_VIEW]),
            lambda v: changes.assign(
                v, ROTA_VIEW, {ids.ShardId(s): ids.ServerId(f"rv-0{1 + s % 2}") for s in range(4)}
            ),
        ):
            rows = cache.RowCache()
            cluster_view = view.ClusterView(rows)
            rows.merge(table.rows_by_key.values())
            change = create(cluster_view)
            table.commit(
                ports.Transaction(
                    transaction=ids.TransactionId("entry-vm"),
                    expected_versions_by_key=change.expected_versions_by_key,
                    writes=change.writes,
                )
            )
        self.note("entry VMs create the servers' rows and the map, and assign the shards")

    def text(self) -> str:
        rows = self.platform.table.rows_by_key
        shown = "".join(transcripts.shown_row(rows[key]) for key in sorted(rows))
        return "".join(self.parts) + "# rows of the table afterwards\n\n" + shown


class OperatorSessionTest(testtools.TestCase):
    def setUp(self) -> None:
        super().setUp()
        temporary = tempfile.TemporaryDirectory()
        self.addCleanup(temporary.cleanup)
        self.session = Session(pathlib.Path(temporary.name))
        numbers = itertools.count(1)
        for patch in (
            mock.patch.dict(os.environ, ENVIRONMENT),
            mock.patch.object(run, "_run_in_reactor", self.session.run_job),
            mock.patch.object(run, "_configure_logs"),
            mock.patch.object(
                transactor, "new_transaction_id", lambda: f"transaction-{next(numbers)}"
            ),
        ):
            patch.start()
            self.addCleanup(patch.stop)

    def test_session(self) -> None:
        """Guards against unintended changes of a command's output, exit code or rows."""
        session = self.session
        self._configuration(session)
        session.entry_vms_assign()
        session.command("owner", "rota-view", "k1")
        session.command("owner", "rota-vieuw", "k1")
        session.command("drain", "rv-01", "--operator", "ann", "--reason", "disk fault")
        session.command("drain", "rv-01", "--operator", "ben")
        session.command("drain", "rv-10", "--operator", "ben")
        session.command("status")
        session.command("undrain", "rv-01", "--operator", "ann")
        session.command("release", "rv-02", "--operator", "ann")
        session.command("release", "rv-02", "--yes", "--operator", "ann", "--reason", "rack lost")
        session.command("status")
        session.command("evacuate", "z2", "--operator", "ann", "--reason", "power")
        session.command("evacuate", "z1", "--operator", "ben")
        session.command("evacuate", "z3", "--operator", "ben")
        session.command("status")
        session.command("restore", "z2", "--operator", "ann")
        session.command("restore", "z2", "--operator", "ann")
        session.command("audit")
        session.command("audit", "--operator", "ben")
        self._platform_faults(session)
        transcripts.compare("operator_session", session.text())

    def _configuration(self, session: Session) -> None:
        session.edit("folder-ann/10-services.toml", SERVICES.replace("4", '"four"'))
        session.command("check", "folder-ann")
        session.edit("folder-ann/10-services.toml", SERVICES)
        session.edit("folder-ann/20-servers.toml", SERVERS)
        session.command("check", "folder-ann")
        session.command("diff", "folder-ann")
        session.command("apply", "folder-ann", "--operator", "ann", "--reason", "first version")
        session.command("apply", "folder-ann", "--operator", "ann")
        session.edit("folder-ben/10-services.toml", SERVICES)
        session.edit("folder-ben/20-servers.toml", SERVERS.replace("10.0.0.2", "10.0.0.3"))
        session.edit("folder-ann/20-servers.toml", SERVERS.replace("10.0.0.2", "10.0.0.4"))
        session.command("diff", "folder-ann")
        session.note("ben's apply commits between the reads and the transaction of ann's")
        commands = ("apply", "folder-ben", "--base", "1", "--operator", "ben")
        session.platform.table.before_transact.append(lambda: session.command(*commands))
        session.command("apply", "folder-ann", "--operator", "ann")

    def _platform_faults(self, session: Session) -> None:
        session.note("the table commits the transaction and its response is lost")
        session.platform.table.transact_faults.append(fakes.Fault.LOST_AFTER_COMMIT)
        session.command("drain", "rv-02", "--operator", "ann")
        session.note("the table refuses every read")
        session.platform.table.read_faults.extend([fakes.Fault.REFUSED] * 5000)
        session.command("status")
        session.platform.table.read_faults.clear()
