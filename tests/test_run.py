from __future__ import annotations

import contextlib
import io
import os
import pathlib
import subprocess
import sys
import tempfile

import testtools

import celerystack
from celerystack import errors, run
from celerystack.commands import job

ROOT = pathlib.Path(__file__).parents[1]
REMOTE_SCRIPT = """
import sys, types
from standins import memory_platform as fakes
from twisted.internet import reactor
from celerystack import run
table = types.ModuleType("celerystack.store.table")
objects = types.ModuleType("celerystack.store.objects")
fake = fakes.FakeTable(reactor)
table.HttpTable = lambda reactor, address, *, timeout_s: fake
objects.HttpObjects = lambda reactor, address, *, timeout_s: fakes.FakeObjects()
{setup}
sys.modules.update({{table.__name__: table, objects.__name__: objects}})
import celerystack.store
celerystack.store.table, celerystack.store.objects = table, objects
sys.exit(run.main(sys.argv[1:]))
"""
PLATFORM = ["--table-address", "127.0.0.1:9", "--object-address", "127.0.0.1:9"]
SERVICE = '[service.a]\nprefixes = ["/a/"]\n'


def _main(*argv: str) -> tuple[int, str, str]:
    out, err = io.StringIO(), io.StringIO()
    with contextlib.redirect_stdout(out), contextlib.redirect_stderr(err):
        code = run.main(list(argv))
    return code, out.getvalue(), err.getvalue()


def _remote(*argv: str, setup: str = "") -> subprocess.CompletedProcess:
    """Run a command with a fake table in its own process, because a reactor runs only once."""
    return subprocess.run(
        [sys.executable, "-c", REMOTE_SCRIPT.format(setup=setup), *argv],
        cwd=ROOT,
        env={**os.environ, "PYTHONPATH": f"{ROOT / 'src'}{os.pathsep}{ROOT}"},
        capture_output=True,
        text=True,
        timeout=60,
        check=False,
    )


class _FolderTest(testtools.TestCase):
    def setUp(self) -> None:
        super().setUp()
        temporary = tempfile.TemporaryDirectory()
        self.addCleanup(temporary.cleanup)
        self.folder = pathlib.Path(temporary.name)


class ExitCodeTest(_FolderTest):
    def test_every_error_class_has_its_code(self) -> None:
        """Guards against equal exit codes for errors that scripts must tell apart."""
        for error_type, code in (
            (errors.SettingsError, 2),
            (errors.ConfigError, 3),
            (errors.ConfigConflictError, 4),
            (errors.TransactionConflictError, 4),
            (errors.PlatformUnavailableError, 5),
            (errors.AnswerLostError, 5),
            (errors.CorruptRowError, 1),
        ):
            self.assertEqual(code, run.exit_code(error_type("x", step="s")), error_type)
        self.assertEqual(1, run.exit_code(ValueError("x")))

    def test_errors_are_one_line(self) -> None:
        """Guards against error messages of several lines, which log collectors split."""
        self.assertEqual("internal error: ValueError: a b", run.describe(ValueError("a\nb")))

    def test_check(self) -> None:
        """Guards against exit code 0 for an invalid folder."""
        (self.folder / "a.toml").write_text(SERVICE)
        code, out, _ = _main("check", str(self.folder))
        self.assertEqual((0, "valid: 1 files, 1 services, 0 servers\n"), (code, out))
        (self.folder / "a.toml").write_text(SERVICE + "slots = 0\nshards = 0\n")
        code, out, _ = _main("check", str(self.folder))
        self.assertEqual((3, 3), (code, len(out.splitlines())))
        code, _, err = _main("check", str(self.folder / "none"))
        self.assertEqual((3, 1), (code, len(err.splitlines())))

    def test_usage_errors(self) -> None:
        """Guards against running a command although its command line is invalid."""
        for argv in (
            [],
            ["aply"],
            ["check"],
            ["check", "x", "--base", "1"],
            ["apply", "x", "--base", "one", *PLATFORM],
            ["release", "rv-01", *PLATFORM],
            ["check", "x", "--zon", "z"],
            ["check", "x", "--vm"],
        ):
            self.assertEqual(2, _main(*argv)[0], argv)

    def test_help_lists_subcommands_and_settings(self) -> None:
        """Guards against an undocumented subcommand or setting."""
        code, out, _ = _main("--help")
        self.assertEqual(0, code)
        for name in (*run.SUBCOMMANDS, "--table-address", "--peer-secrets"):
            self.assertIn(name, out)

    def test_settings_are_reported_together_on_one_line(self) -> None:
        """Guards against a router that starts with incomplete settings."""
        code, out, err = _main("router", "--vm", "a b", "--table-address", "db:80")
        self.assertEqual((2, "", 1), (code, out, len(err.splitlines())))
        for name in ("--vm", "--zone", "--table-address", "--peer-secrets"):
            self.assertIn(name, err)

    def test_settings_query_masks_secrets(self) -> None:
        """Guards against printing secrets on a terminal."""
        code, out, _ = _main("settings", "--peer-secrets", "0123456789abcdef")
        self.assertEqual(0, code)
        self.assertNotIn("0123456789abcdef", out)
        (line,) = [line for line in out.splitlines() if line.startswith("peer_secrets")]
        self.assertEqual(["peer_secrets", "********", "(1)", "flag"], line.split())

    def test_short_settings_flags_do_not_capture_arguments_of_commands(self) -> None:
        """Guards against abbreviated flags that take `--operator` or `--base` for a setting."""
        flags, rest = run.split_flags(["apply", "f", "--base", "3", "--zone=z", "--reason", "r"])
        self.assertEqual({"zone": "z"}, flags)
        self.assertEqual(["apply", "f", "--base", "3", "--reason", "r"], rest)


class RemoteCommandTest(_FolderTest):
    def test_apply_in_the_reactor(self) -> None:
        """Guards against a reactor that keeps running after the command, or a lost exit code."""
        (self.folder / "a.toml").write_text(SERVICE)
        result = _remote("apply", str(self.folder), *PLATFORM)
        self.assertEqual((0, ""), (result.returncode, result.stderr))
        self.assertIn("committed version 1", result.stdout)

    def test_platform_failure_is_one_line(self) -> None:
        """Guards against a traceback, or exit code 0, after a failed call to the platform."""
        setup = "fake.read_faults.append(fakes.Fault.REFUSED)"
        result = _remote("status", *PLATFORM, setup=setup)
        self.assertEqual((5, ""), (result.returncode, result.stdout))
        self.assertEqual("celerystack: table.get [t]: refused\n", result.stderr)

    def test_internal_error_is_one_line(self) -> None:
        """Guards against a reactor that keeps running after an unexpected error."""
        result = _remote("status", *PLATFORM, setup="fake.scan = None")
        self.assertEqual(1, result.returncode)
        self.assertEqual(1, len(result.stderr.splitlines()))

    def test_failure_before_the_first_call_ends_the_command(self) -> None:
        """Guards against a reactor that keeps running if an adapter cannot be built."""
        result = _remote("status", *PLATFORM, setup="table.HttpTable = None")
        self.assertEqual(1, result.returncode)
        self.assertEqual(1, len(result.stderr.splitlines()))

    def test_interrupted_command_reports_an_unknown_outcome(self) -> None:
        """Guards against an exit without a message while a change may have been committed."""
        setup = (
            "import os, signal; from twisted.internet import defer; "
            "fake.scan = lambda _: (os.kill(os.getpid(), signal.SIGTERM), defer.Deferred())[1]"
        )
        result = _remote("status", *PLATFORM, setup=setup)
        self.assertEqual(1, result.returncode)
        self.assertIn("unknown whether it took effect", result.stderr)

    def test_version(self) -> None:
        """Guards against reading the version from package metadata, which the binary lacks."""
        self.assertEqual((0, f"{celerystack.__version__}\n"), _main("--version")[:2])

    def test_job_types(self) -> None:
        """Guards against a subcommand that needs the platform but does not require its address."""
        for name in ("status", "audit"):
            requested_job = run.SUBCOMMANDS[name]()
            self.assertIsInstance(requested_job, job.RemoteJob)
            self.assertIn("table_address", requested_job.required)
