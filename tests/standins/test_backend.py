from __future__ import annotations

import contextlib
import http.client
import json
import pathlib
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time

import testtools

from standins import backend, journal, layout, processes

HOST = "127.0.0.1"
ROOT = pathlib.Path(__file__).parents[2]


class BackendTest(testtools.TestCase):
    def setUp(self) -> None:
        super().setUp()
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.journal = pathlib.Path(folder.name) / "journal"
        with socket.socket() as probe:
            probe.bind((HOST, 0))
            self.port = probe.getsockname()[1]

    def start(self, *flags: str) -> subprocess.Popen:
        command = [sys.executable, "-m", "standins.backend", "--host", HOST, "--port"]
        command += [str(self.port), "--id", "s1", "--journal", str(self.journal), *flags]
        process = subprocess.Popen(command, cwd=ROOT)
        self.addCleanup(process.wait)
        self.addCleanup(process.kill)
        for _ in range(200):
            try:
                self.call("GET", "/health")
                return process
            except OSError:
                time.sleep(0.05)
        raise AssertionError("backend stand-in did not start")

    def call(self, method: str, path: str, body: object = None, **headers: object):
        connection = http.client.HTTPConnection(HOST, self.port, timeout=5)
        try:
            sent = {"X-Celerystack-" + k.replace("_", "-"): str(v) for k, v in headers.items()}
            data = None if body is None else json.dumps(body)
            connection.request(method, path, data, sent)
            answer = connection.getresponse()
            return answer.status, dict(answer.getheaders()), answer.read()
        finally:
            connection.close()

    def order(self, name: str, **fields: object) -> dict:
        return json.loads(self.call("POST", "/orders/" + name, fields)[2])

    def grant(self, token: int = 1, shards: tuple = (("atlas", 3, 7),)) -> dict:
        seen = self.order("probe")
        return self.order(
            "grant",
            incarnation=seen["incarnation"],
            token=token,
            echo_stamp=seen["stamp"],
            lessor="vm",
            shards=shards,
        )

    def request(self, path: str = "/atlas/k", request_id: str = "r1", **headers: object):
        fields = {"Service": "atlas", "Key": "k", "Shard": 3, "Epoch": 7, **headers}
        return self.call("POST", path, {}, Request_Id=request_id, **fields)

    def runs(self) -> list[journal.Run]:
        return journal.read(self.journal)

    def test_runs_under_a_grant(self) -> None:
        """Guards against runs without a lease, and answers or runs that name another request."""
        self.start()
        status, headers, _ = self.request()
        self.assertEqual((409, "no-lease"), (status, headers["X-Celerystack-Refusal"]))
        self.assertEqual("ok", self.grant()["result"])
        status, _, body = self.request()
        self.assertEqual((200, "r1", "k"), (status, *list(json.loads(body).values())[:2]))
        status, headers, _ = self.request(Epoch=6)
        self.assertEqual((409, "stale-epoch"), (status, headers["X-Celerystack-Refusal"]))
        status, headers, _ = self.request(Deadline_Ms=0)
        self.assertEqual((503, "deadline"), (status, headers["X-Celerystack-Refusal"]))
        (run,) = self.runs()
        self.assertEqual(("r1", 7, 1, "POST"), (run.request_id, run.epoch, run.token, run.method))
        self.assertEqual(journal.Ending.DONE, run.ending)

    def test_lease_expiry_ends_runs(self) -> None:
        """Guards against a run that continues after its lease, when another owner may run."""
        self.start()
        self.grant()
        self.assertRaises((OSError, http.client.HTTPException), self.request, "/atlas/k/slow?s=3")
        (run,) = self.runs()
        self.assertEqual(journal.Ending.LEASE_EXPIRED, run.ending)
        self.assertLess(run.end - run.start, 1.1)

    def test_suspended_server_records_no_run_beyond_its_lease(self) -> None:
        """Guards against a run that a server completes after a pause longer than its lease."""
        process = self.start()
        self.grant()
        caller = threading.Thread(
            target=self._request_ignoring_disconnect, args=("/atlas/k/slow?s=0.6",)
        )
        caller.start()
        time.sleep(0.2)
        process.send_signal(signal.SIGSTOP)
        time.sleep(1.5)
        process.send_signal(signal.SIGCONT)
        caller.join()
        (run,) = self.runs()
        self.assertEqual(journal.Ending.LEASE_EXPIRED, run.ending)
        self.assertLess(run.end - run.start, 1.01)

    def _request_ignoring_disconnect(self, path: str) -> None:
        with contextlib.suppress(OSError, http.client.HTTPException):
            self.request(path)

    def test_dropped_shard_is_reported_until_its_run_ends(self) -> None:
        """Guards against a move that finishes while the old owner still runs a request."""
        self.start()
        self.grant()
        caller = threading.Thread(target=self.request, args=("/atlas/k/slow?s=0.5",))
        caller.start()
        time.sleep(0.2)
        self.assertEqual(1, self.grant(token=2, shards=())["running_dropped"])
        caller.join()
        self.assertEqual(0, self.grant(token=2, shards=())["running_dropped"])

    def test_slots_queue_and_shedding(self) -> None:
        """Guards against more concurrent runs than slots and against a queue without a limit."""
        self.start("--queue", "1", "--undivided", "--service-ms", "300")
        statuses: list[int] = []
        callers = [
            threading.Thread(
                target=lambda i=i: statuses.append(self.request(request_id=f"r{i}")[0])
            )
            for i in range(4)
        ]
        for caller in callers:
            caller.start()
            time.sleep(0.02)
        for caller in callers:
            caller.join()
        self.assertEqual([200, 200, 200, 503], sorted(statuses))
        first, second, third = self.runs()
        self.assertLess(second.start, first.end)
        self.assertGreaterEqual(third.start, first.end)

    def test_closed_connection_cancels(self) -> None:
        """Guards against a request that runs or keeps its slot after its caller disconnected."""
        self.start("--undivided", "--slots", "1")
        for name in ("running", "queued"):
            with socket.create_connection((HOST, self.port)) as caller:
                head = f"POST /a/slow?s=1 HTTP/1.1\r\nHost: x\r\nX-Celerystack-Request-Id: {name}"
                caller.sendall(head.encode() + b"\r\nContent-Length: 0\r\n\r\n")
                time.sleep(0.1)
                if name == "running":
                    with socket.create_connection((HOST, self.port)) as other:
                        other.sendall(head.replace(name, "late").encode() + b"\r\n\r\n")
                        time.sleep(0.1)
        time.sleep(0.2)
        runs = {run.request_id: run.ending for run in self.runs()}
        self.assertNotIn("late", runs)
        self.assertEqual(journal.Ending.CANCELLED, runs["running"])

    def test_crash_is_in_the_journal(self) -> None:
        """Guards against a run that is missing in the journal because its process crashed."""
        process = self.start("--undivided")
        self.assertRaises((OSError, http.client.HTTPException), self.request, "/a/k/crash")
        self.assertEqual(backend.CRASH_STATUS, process.wait(5))
        self.assertEqual([journal.Ending.CRASHED], [run.ending for run in self.runs()])

    def test_special_answers(self) -> None:
        """Guards against special paths that give an ordinary answer."""
        self.start("--undivided")
        _, headers, body = self.request("/a/large?bytes=100000")
        self.assertGreater(len(body), 100_000)
        self.assertEqual(str(len(body)), headers["Content-Length"])
        self.assertNotIn("Content-Length", self.request("/a/chunked?bytes=10")[1])
        self.assertRaises(http.client.IncompleteRead, self.request, "/a/truncated")
        self.assertRaises(TimeoutError, self.request, "/a/stalled")

    def test_connection_limit(self) -> None:
        """Guards against a server that ignores its connection limit."""
        self.start("--undivided", "--connections", "2")
        held = [socket.create_connection((HOST, self.port)) for _ in range(2)]
        time.sleep(0.1)
        self.assertRaises((OSError, http.client.HTTPException), self.request)
        for caller in held:
            caller.close()
        time.sleep(0.1)
        self.assertEqual(200, self.request()[0])

    def test_cold_start_is_slower_for_a_while(self) -> None:
        """Guards against a stand-in without a cold start: first runs must be slower."""
        self.start("--undivided", "--service-ms", "50", "--cold-s", "2", "--cold-factor", "6")
        self.request(request_id="cold")
        time.sleep(2.0)
        self.request(request_id="warm")
        cold, warm = self.runs()
        self.assertGreater(cold.end - cold.start, 0.29)
        self.assertLess(warm.end - warm.start, 0.15)

    def test_misleading_load(self) -> None:
        """Guards against ``--misleading-load`` that reports the true load."""
        self.start("--undivided", "--misleading-load")
        self.assertEqual({"load": 1.0}, json.loads(self.call("GET", "/load")[2]))
        self.assertEqual(1.0, self.order("probe")["load"])

    def test_stamps_follow_the_server_clock(self) -> None:
        """Guards against stamps that ignore ``--clock-rate`` and follow the clock of the router."""
        self.start("--clock-rate", "2.0")
        first, began = self.order("probe")["stamp"], time.monotonic()
        time.sleep(0.5)
        second, ended = self.order("probe")["stamp"], time.monotonic()
        self.assertAlmostEqual(2.0, (second - first) / (ended - began), delta=0.1)

    def test_process_ends_with_its_parent(self) -> None:
        """Guards against stand-ins that outlive a killed test run, which cannot end them itself."""
        program = (
            "import subprocess, sys\n"
            "print(subprocess.Popen([sys.executable, *sys.argv[1:]]).pid, flush=True)\n"
            "sys.stdin.read()\n"
        )
        command = [sys.executable, "-c", program, "-m", "standins.backend", "--host", HOST]
        parent = subprocess.Popen(
            [*command, "--port", str(self.port), "--id", "s1"],
            cwd=ROOT,
            env=processes.python_environment(),
            stdin=subprocess.PIPE,
            stdout=subprocess.PIPE,
        )
        self.addCleanup(parent.stdout.close)
        self.addCleanup(parent.stdin.close)
        parent.stdout.readline()
        layout.wait_until(self._is_serving, what="start", timeout_s=10)
        parent.kill()
        parent.wait()
        layout.wait_until(lambda: not self._is_serving(), what="end", timeout_s=5)

    def _is_serving(self) -> bool:
        try:
            return self.call("GET", "/health")[0] == 200
        except OSError:
            return False

    def test_drain(self) -> None:
        """Guards against a draining server that accepts new requests."""
        self.start()
        seen = self.grant()
        self.order("drain", token=1, incarnation=seen["incarnation"])
        status, headers, _ = self.request()
        self.assertEqual((503, "draining"), (status, headers["X-Celerystack-Refusal"]))

    def test_unchecked_server_runs_without_grant(self) -> None:
        """Guards against an unchecked stand-in that hides a routing error by refusing requests."""
        self.start("--unchecked")
        self.assertEqual(200, self.request(Epoch=1)[0])
