from __future__ import annotations

import os
import pathlib
import socket
import subprocess
import sys
import tempfile
import time

import testtools

ROOT = pathlib.Path(__file__).parents[2]
CHILD_FAULTS_INDEX = 8
"""Index of cminflt in `_stat_fields`: page faults of children that were waited for."""


class BuiltFileTest(testtools.TestCase):
    """Runs the built archive in empty folders, without the repository and its environment."""

    @classmethod
    def setUpClass(cls) -> None:
        super().setUpClass()
        cls._built = tempfile.TemporaryDirectory()
        cls.binary = pathlib.Path(cls._built.name) / "celerystack"
        # The base interpreter cannot import packages of the test environment.
        subprocess.run(
            [
                sys.executable,
                ROOT / "scripts" / "build_archive.py",
                "--output",
                cls.binary,
                "--interpreter",
                f"{sys._base_executable} -IBS",
            ],
            check=True,
            timeout=100,
            stdout=subprocess.DEVNULL,
        )

    @classmethod
    def tearDownClass(cls) -> None:
        cls._built.cleanup()
        super().tearDownClass()

    def setUp(self) -> None:
        super().setUp()
        temporary = tempfile.TemporaryDirectory()
        self.addCleanup(temporary.cleanup)
        self.folder = pathlib.Path(temporary.name)

    def start(self, *argv: object) -> subprocess.Popen:
        home = str(self.folder)
        process = subprocess.Popen(
            [self.binary, *map(str, argv)],
            cwd=home,
            env={"HOME": home, "TMPDIR": home, "PATH": os.environ["PATH"]},
            stdout=subprocess.PIPE,
            stderr=subprocess.PIPE,
            text=True,
            start_new_session=True,
        )
        self.addCleanup(process.kill)
        return process

    def finish(self, process: subprocess.Popen) -> tuple[int, str, str]:
        """Wait for the exit, check that no child, process or file is left, then reap."""
        os.waitid(os.P_PID, process.pid, os.WEXITED | os.WNOWAIT)
        fields = _stat_fields(process.pid)
        self.assertEqual("Z", fields[0])
        self.assertEqual("0", fields[CHILD_FAULTS_INDEX], "a child was started and waited for")
        self.assertEqual([], _other_session_pids(process.pid))
        out, err = process.communicate(timeout=30)
        self.assertEqual([], list(self.folder.iterdir()))
        return process.returncode, out, err

    def test_help(self) -> None:
        """Guards against an archive that lacks modules, unpacks itself or starts a child."""
        code, out, err = self.finish(self.start("--help"))
        self.assertEqual((0, ""), (code, err))
        self.assertIn("undrain", out)

    def test_check_examples(self) -> None:
        """Guards against an archive without the schema's modules, and against invalid examples."""
        code, out, err = self.finish(self.start("check", ROOT / "examples"))
        self.assertEqual((0, ""), (code, err))
        self.assertEqual("valid: 4 files, 6 services, 67 servers\n", out)

    def test_traces_of_a_child_would_be_seen(self) -> None:
        """Guards against a check for child processes that never fails."""
        process = subprocess.Popen(
            [sys._base_executable, "-c", "import subprocess; subprocess.run(['/bin/true'])"]
        )
        os.waitid(os.P_PID, process.pid, os.WEXITED | os.WNOWAIT)
        self.assertNotEqual("0", _stat_fields(process.pid)[CHILD_FAULTS_INDEX])
        process.wait(timeout=30)

    def test_admin_and_router_modules_can_be_imported(self) -> None:
        """Guards against a missing dependency that the router imports but no subcommand does."""
        script = (
            f"import sys; sys.path.insert(0, {str(self.binary)!r}); "
            "import h11, msgpack, prometheus_client, twisted.web.server, twisted.internet.reactor; "
            "from celerystack.observe import admin, logs, metrics; "
            "from celerystack.state import shard_map; "
            "print(admin.__file__.startswith(sys.path[0]), msgpack.unpackb(msgpack.packb([1])))"
        )
        result = subprocess.run(
            [sys._base_executable, "-IBS", "-c", script],
            capture_output=True,
            text=True,
            timeout=60,
            check=False,
        )
        self.assertEqual(("True [1]\n", ""), (result.stdout, result.stderr))

    def test_every_module_can_be_imported(self) -> None:
        """Guards against a module that imports a package which the archive lacks."""
        script = (
            f"import importlib, pkgutil, sys; sys.path.insert(0, {str(self.binary)!r}); "
            "import celerystack; "
            "walk = pkgutil.walk_packages(celerystack.__path__, 'celerystack.'); "
            "found = [module.name for module in walk]; "
            "[importlib.import_module(name) for name in found if not name.endswith('__main__')]; "
            "print(len(found))"
        )
        result = subprocess.run(
            [sys._base_executable, "-IBS", "-c", script],
            capture_output=True,
            text=True,
            timeout=60,
            check=False,
        )
        self.assertEqual((0, ""), (result.returncode, result.stderr))
        modules = list((ROOT / "src" / "celerystack").rglob("*.py"))
        packages_and_modules = len(modules) - 1
        self.assertEqual(packages_and_modules, int(result.stdout))

    def test_waiting_command_has_no_child_and_no_open_file(self) -> None:
        """Guards against child processes or unpacked files that exist only during a run."""
        silent_listener = socket.create_server(("127.0.0.1", 0))
        self.addCleanup(silent_listener.close)
        address = f"127.0.0.1:{silent_listener.getsockname()[1]}"
        script = (
            f"import sys; sys.path.insert(0, {str(self.binary)!r}); sys.argv = ['celerystack']; "
            "import socket; from twisted.internet import reactor; from celerystack import run; "
            f"s = socket.create_connection(('127.0.0.1', {address.rpartition(':')[2]})); "
            "reactor.callLater(3.0, reactor.stop); reactor.run()"
        )
        process = subprocess.Popen(
            [sys._base_executable, "-IBS", "-c", script],
            cwd=self.folder,
            env={"HOME": str(self.folder), "TMPDIR": str(self.folder)},
            start_new_session=True,
        )
        self.addCleanup(process.kill)
        silent_listener.settimeout(30)
        connection, _ = silent_listener.accept()
        self.addCleanup(connection.close)
        time.sleep(0.5)
        self.assertEqual([], _other_session_pids(process.pid))
        written = [path for path in _open_files(process.pid) if path.startswith(str(self.folder))]
        self.assertEqual([], written)
        self.assertEqual([], list(self.folder.iterdir()))
        self.assertEqual(0, process.wait(timeout=30))

    def test_build_is_reproducible(self) -> None:
        """Guards against builds of the same sources that differ."""
        second_build = self.folder / "again"
        subprocess.run(
            [
                sys.executable,
                ROOT / "scripts" / "build_archive.py",
                "--output",
                second_build,
                "--interpreter",
                f"{sys._base_executable} -IBS",
            ],
            check=True,
            timeout=100,
            stdout=subprocess.DEVNULL,
        )
        self.assertEqual(self.binary.read_bytes(), second_build.read_bytes())


def _stat_fields(pid: int) -> list[str]:
    """Return the fields of /proc/<pid>/stat from the state on, which is the third one."""
    return pathlib.Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()


def _other_session_pids(session: int) -> list[int]:
    pids = []
    for path in pathlib.Path("/proc").glob("[0-9]*"):
        try:
            fields = _stat_fields(int(path.name))
        except (FileNotFoundError, ProcessLookupError):
            continue
        if int(fields[3]) == session and int(path.name) != session:
            pids.append(int(path.name))
    return pids


def _open_files(pid: int) -> list[str]:
    paths = []
    for path in pathlib.Path(f"/proc/{pid}/fd").iterdir():
        try:
            paths.append(os.readlink(path))
        except FileNotFoundError:
            continue
    return paths
