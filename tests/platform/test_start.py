"""Tests of the start of a process, while it reads its settings for the first time."""

import os
import pathlib
import signal
import subprocess
import sys
import tempfile
import time

import testtools

from celerystack.platform import reload_signal
from standins import layout, range_cluster

SOURCE = pathlib.Path(__file__).parents[2] / "src"
START_MAX_S = 60.0
SLOW_MODULES = ("twisted", "msgpack", "prometheus_client", "h11", "logging", "dataclasses")


def environment(**variables: str) -> dict[str, str]:
    return os.environ | variables | {"PYTHONPATH": str(SOURCE)}


class StartTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = pathlib.Path(folder.name)

    def settings(self):
        ip = f"127.{100 + layout.worker_number()}.11.1"
        ports = {name: layout.free_port(ip) for name in ("front", "ready", "udp")}
        limits = "\n".join(f"{name} = {value}" for name, value in range_cluster.LIMITS.items())
        return range_cluster.SETTINGS.format(
            limits=limits,
            vm="vm-1",
            zone="z1",
            ip=ip,
            store=f"{ip}:{layout.free_port(ip)}",
            udp_end=ports["udp"] + 1,
            **ports,
        )

    def wait_for(self, log, text):
        end = time.monotonic() + START_MAX_S
        while text not in log.read_text():
            self.assertLess(time.monotonic(), end, log.read_text())
            time.sleep(0.05)

    def test_reload_is_requested_while_the_process_starts(self):
        """Guards against a process that SIGHUP ends because it has no handler yet (seeds 303, 5022
        and 5041 of the soak). The process waits for its settings while the signal comes."""
        fifo, log = self.folder / "settings.toml", self.folder / "log"
        os.mkfifo(fifo)
        with open(log, "wb") as output:
            process = subprocess.Popen(
                [sys.executable, "-m", "celerystack.platform"],
                env=environment(CELERYSTACK_NODE_FILE=str(fifo)),
                stdout=output,
                stderr=subprocess.STDOUT,
            )
        self.addCleanup(process.wait)
        self.addCleanup(process.kill)
        with open(fifo, "w") as first:
            process.send_signal(signal.SIGHUP)
            replacement = self.folder / "replacement"
            replacement.write_text(self.settings())
            os.replace(replacement, fifo)
            time.sleep(0.2)
            first.write(self.settings())
        self.wait_for(log, "reloaded the settings")
        self.assertIsNone(process.poll())

    def test_handler_is_installed_before_anything_slow_is_imported(self):
        """Guards against a long time from the start of the process without a handler."""
        code = "import sys, celerystack.platform.__main__; print(*sys.modules)"
        listed = subprocess.run(
            [sys.executable, "-c", code],
            env=environment(),
            capture_output=True,
            text=True,
            check=True,
        )
        imported = {name.split(".")[0] for name in listed.stdout.split()}
        self.assertEqual(set(), imported & set(SLOW_MODULES))


class ReloadRequestsTest(testtools.TestCase):
    def test_requests_are_kept_until_somebody_listens(self):
        """Guards against settings that are never read again, and against two reloads for one."""
        calls = []
        requests = reload_signal.ReloadRequests()
        requests.handle(signal.SIGHUP, None)
        requests.handle(signal.SIGHUP, None)
        requests.listen(lambda: calls.append("reload"))
        self.assertEqual(1, len(calls))
        requests.handle(signal.SIGHUP, None)
        self.assertEqual(2, len(calls))
