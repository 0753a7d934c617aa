from __future__ import annotations

import asyncio
import json
import pathlib
import signal
import subprocess
import sys
import tempfile
import time

import testtools

from standins import load, records

ROOT = pathlib.Path(__file__).parents[2]
SERVICES = (load.LoadService("atlas", "/atlas/", ("a", "b")),)


class FakeEntryVm:
    """Stand-in for an entry VM; ``mode`` is the outcome it reports, ``closed`` or ``short``."""

    def __init__(self, mode: str = "answered") -> None:
        self.mode = mode
        self.connections = 0

    async def start(self) -> load.Target:
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        port = self.server.sockets[0].getsockname()[1]
        return load.Target(self.mode, f"127.0.0.1:{port}")

    async def _serve(self, reader, writer) -> None:
        self.connections += 1
        try:
            while head := await reader.readuntil(b"\r\n\r\n"):
                fields = dict(
                    line.lower().split(": ", 1) for line in head.decode().split("\r\n")[1:-2]
                )
                await reader.readexactly(int(fields["content-length"]))
                key = head.decode().split("/")[2]
                body = json.dumps({"request_id": fields["x-request-id"], "key": key}).encode()
                if self.mode == "closed":
                    break
                lines = [f"Content-Length: {len(body)}", f"X-Celerystack-Outcome: {self.mode}"]
                head = "\r\n".join(["HTTP/1.1 200 OK", *lines, "", ""]).encode()
                if self.mode == "short":
                    writer.write(head.replace(b"short", b"answered") + body[:5])
                    break
                writer.write(head + body)
        except asyncio.IncompleteReadError:
            pass
        writer.close()


class LoadTest(testtools.TestCase):
    def send(self, *modes: str, refused: bool = False, **fields: object):
        async def run() -> tuple[list[records.CallerRecord], list[FakeEntryVm]]:
            entries = [FakeEntryVm(mode) for mode in modes]
            targets = [await entry.start() for entry in entries]
            if refused:
                entries[0].server.close()
            plan = load.Plan(
                targets=tuple(targets), services=SERVICES, duration_s=0.3, callers=2, **fields
            )
            return await load.run(plan), entries

        return asyncio.run(run())

    def test_records_and_keep_alive(self) -> None:
        """Guards against a new connection per request and records without the answer."""
        found, (entry,) = self.send("answered", rate=100)
        self.assertEqual(2, entry.connections)
        self.assertTrue(10 <= len(found) <= 35, len(found))
        self.assertEqual(len(found), len({record.request_id for record in found}))
        for record in found:
            self.assertEqual(records.Outcome.ANSWERED, record.outcome)
            self.assertEqual((record.request_id, record.key), (record.answer_id, record.answer_key))
            self.assertEqual(record.declared_length, record.received_length)
        self.assertEqual({"GET", "POST"}, {record.method for record in found})

    def test_outcomes(self) -> None:
        """Guards against a broken answer that is recorded as answered or not run."""
        for mode, outcome in (
            ("not-run", records.Outcome.NOT_RUN),
            ("unheard-of", records.Outcome.UNKNOWN),
            ("closed", records.Outcome.UNKNOWN),
            ("short", records.Outcome.UNKNOWN),
        ):
            found, _ = self.send(mode, rate=50)
            self.assertEqual({outcome}, {record.outcome for record in found}, mode)

    def test_refused_connection_goes_to_another_entry_vm(self) -> None:
        """Guards against connections refused by a lost entry VM that are recorded as failures."""
        found, _ = self.send("not-run", "answered", refused=True, rate=100)
        self.assertEqual({"answered"}, {record.entry_vm for record in found})
        self.assertEqual({records.Outcome.ANSWERED}, {record.outcome for record in found})

    def test_load_stays_on_loopback_and_bounded(self) -> None:
        """Guards against load to other machines and load without an end."""
        target = load.Target("vm", "192.0.2.1:80")
        plan = load.Plan(targets=(target,), services=SERVICES, duration_s=1.0)
        self.assertRaises(ValueError, plan.check)
        plan = load.Plan(targets=(), services=SERVICES, duration_s=1e6)
        self.assertRaises(ValueError, plan.check)

    def test_process_writes_records_when_terminated(self) -> None:
        """Guards against records that are lost when a test terminates the load early."""
        plan = load.Plan(
            targets=(load.Target("vm", "127.0.0.1:9"),),
            services=SERVICES,
            duration_s=30.0,
            rate=50,
        )
        self.assertEqual(plan, load.plan_from_json(load.plan_to_json(plan)))
        with tempfile.TemporaryDirectory() as folder:
            path = pathlib.Path(folder) / "records"
            command = [sys.executable, "-m", "standins.load", "--plan", load.plan_to_json(plan)]
            process = subprocess.Popen([*command, "--records", str(path)], cwd=ROOT)
            time.sleep(1.5)
            process.send_signal(signal.SIGTERM)
            self.assertEqual(0, process.wait(5))
            found = records.read(path)
        self.assertTrue(found)
        self.assertEqual({records.Outcome.UNKNOWN}, {record.outcome for record in found})
