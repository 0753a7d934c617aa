from __future__ import annotations

import io
import pathlib
import tempfile

import testtools
from hypothesis import example, given
from hypothesis import strategies as st

from celerystack import errors
from celerystack.commands import apply
from celerystack.config import base_file, derive
from celerystack.queries import diff, table_reads
from celerystack.state import cache, codec, keys
from standins import memory_platform as fakes

A = '[service.a]\nprefixes = ["/a/"]\n'
B = '[service.b]\nprefixes = ["/b/"]\n'
HEAD = keys.CONFIG_HEAD


class ApplyTest(testtools.TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.platform = fakes.FakePlatform()
        self.table = self.platform.table

    def folder(self, **text_by_stem: str) -> pathlib.Path:
        temporary = tempfile.TemporaryDirectory()
        self.addCleanup(temporary.cleanup)
        path = pathlib.Path(temporary.name)
        self.edit(path, **text_by_stem)
        return path

    def edit(self, folder: pathlib.Path, **text_by_stem: str) -> None:
        for stem, text in text_by_stem.items():
            (folder / f"{stem}.toml").write_text(text)

    def apply(self, folder: pathlib.Path, **options) -> str:
        code, out = self.platform.run(apply.apply(folder, operator="op", **options))
        self.assertEqual(0, code)
        return out

    def head(self) -> codec.ConfigHead:
        return codec.decode_fields(codec.ConfigHead, self.table.row(HEAD).value, key=HEAD)

    def configuration(self):
        rows = cache.RowCache()
        rows.merge(self.table.rows_by_key.values())
        return derive.configuration_from_rows(rows)

    def test_first_apply_writes_files_head_snapshot_audit_and_base(self) -> None:
        """Guards against a version without its files, snapshot, audit row or base file."""
        folder = self.folder(a=A)
        self.assertIn("committed version 1", self.apply(folder, reason="start"))
        head = self.head()
        self.assertEqual(1, self.configuration().version)
        self.assertIn(head.snapshot, self.platform.objects.body_by_name)
        (audit_key,) = self.table.audit_keys()
        row = codec.decode_fields(codec.AuditRow, self.table.row(audit_key).value, key=audit_key)
        self.assertEqual(("op", "apply", "start"), (row.operator, row.action, row.reason))
        self.assertEqual("version=0 snapshot=-", row.before)
        self.assertEqual(f"version=1 snapshot={head.snapshot} files=a.toml", row.after)
        self.assertEqual(1, base_file.read(folder).version)

    def test_repeated_apply_changes_nothing(self) -> None:
        """Guards against a new version and audit row for an apply without a change."""
        folder = self.folder(a=A)
        self.apply(folder)
        self.assertIn("no change", self.apply(folder))
        self.assertEqual(1, self.head().version)
        self.assertEqual(1, len(self.table.audit_keys()))

    def race(self, first: pathlib.Path, second: pathlib.Path) -> tuple[object, object]:
        """Let ``second`` commit between the reads and the transaction of ``first``."""
        results: list = []

        def commit_second() -> None:
            out = io.StringIO()
            running = self.platform.start(apply.apply(second, operator="second"), out)
            running.addBoth(results.append)

        self.table.before_transact.append(commit_second)
        try:
            mine: object = self.platform.run(apply.apply(first, operator="first"))[0]
        except errors.CelerystackError as error:
            mine = error
        return mine, getattr(results[0], "value", results[0])

    def two_folders(self) -> tuple[pathlib.Path, pathlib.Path]:
        first, second = self.folder(a=A, b=B), self.folder(a=A, b=B)
        self.apply(first)
        self.apply(second)
        return first, second

    def test_racing_applies_of_different_files_both_succeed(self) -> None:
        """Guards against losing a concurrent change, and conflicts between different files."""
        first, second = self.two_folders()
        self.edit(first, a=A + "slots = 3\n")
        self.edit(second, b=B + "slots = 4\n")
        self.assertEqual((0, 0), self.race(first, second))
        services = self.configuration().services_by_name
        self.assertEqual([3, 4], [service.slots for service in services.values()])
        self.assertEqual(3, self.head().version)
        self.assertEqual(3, len(self.table.audit_keys()))

    def test_racing_applies_of_the_same_file(self) -> None:
        """Guards against overwriting another operator's change to the same file."""
        first, second = self.two_folders()
        self.edit(first, a=A + "slots = 3\n")
        self.edit(second, a=A + "slots = 4\n")
        mine, theirs = self.race(first, second)
        self.assertEqual(0, theirs)
        self.assertIsInstance(mine, errors.ConfigConflictError)
        self.assertIn("a.toml", str(mine))
        self.assertNotIn("b.toml", str(mine))
        self.assertEqual(1, base_file.read(first).version)
        self.assertEqual(2, len(self.table.audit_keys()))

    def test_racing_applies_that_are_invalid_together(self) -> None:
        """Guards against a version in force that `check` would reject."""
        first, second = self.two_folders()
        self.edit(first, c='[service.c]\nprefixes = ["/x/"]\n')
        self.edit(second, d='[service.d]\nprefixes = ["/x/y/"]\n')
        mine, theirs = self.race(first, second)
        self.assertEqual(0, theirs)
        self.assertIsInstance(mine, errors.ConfigError)
        self.assertNotIsInstance(mine, errors.ConfigConflictError)
        self.assertIn("overlaps", str(mine))
        self.assertEqual(2, self.configuration().version)

    def test_stale_folder_does_not_revert_others_in_later_applies(self) -> None:
        """Guards against a second apply that reverts changes that the first one merged."""
        first, second = self.two_folders()
        self.edit(second, b=B + "slots = 4\n")
        self.apply(second)
        for slots in (3, 5):
            self.edit(first, a=A + f"slots = {slots}\n")
            self.assertIn("older in this folder: b.toml", self.apply(first))
        services = self.configuration().services_by_name
        self.assertEqual([5, 4], [service.slots for service in services.values()])
        self.edit(first, b=B + "slots = 9\n")
        self.assertRaises(
            errors.ConfigConflictError, self.platform.run, apply.apply(first, operator="op")
        )

    def test_deleted_file_can_come_back(self) -> None:
        """Guards against expecting version 0 of a deleted row, which keeps its version."""
        folder = self.folder(a=A, b=B)
        self.apply(folder)
        (folder / "b.toml").unlink()
        self.assertIn("deleted: b.toml", self.apply(folder))
        self.edit(folder, b=B)
        self.apply(folder)
        self.assertEqual({"a", "b"}, set(self.configuration().services_by_name))

    def test_base_option_reads_the_snapshot_of_that_version(self) -> None:
        """Guards against merging with another base than the version given by ``--base``."""
        folder = self.folder(a=A, b=B)
        self.apply(folder)
        self.edit(folder, a=A + "slots = 3\n")
        self.apply(folder)
        other = self.folder(a=A, b=B + "slots = 4\n")
        self.assertRaises(errors.ConfigConflictError, self.platform.run, apply.apply(other, base=0))
        self.assertIn("committed version 3", self.apply(other, base=1))
        services = self.configuration().services_by_name
        self.assertEqual([3, 4], [service.slots for service in services.values()])
        self.assertRaises(errors.ConfigError, self.platform.run, apply.apply(other, base=9))

    def test_lost_responses_leave_one_audit_row(self) -> None:
        """Guards against two audit rows, or none, for one change after lost responses."""
        for fault in (
            fakes.Fault.LOST_AFTER_COMMIT,
            fakes.Fault.LOST_BEFORE_COMMIT,
            fakes.Fault.LOST_THEN_COMMITS,
        ):
            self.platform = fakes.FakePlatform()
            self.table = self.platform.table
            self.table.transact_faults.append(fault)
            self.platform.objects.put_faults.append(fakes.Fault.LOST_AFTER_COMMIT)
            folder = self.folder(a=A)
            self.apply(folder)
            self.platform.clock.advance(10.0)
            self.assertEqual(1, len(self.table.audit_keys()), fault)
            self.assertEqual(1, self.head().version, fault)
            self.assertEqual(1, base_file.read(folder).version, fault)

    def test_unresolved_outcome_is_not_reported_as_success(self) -> None:
        """Guards against reporting an unknown outcome as success, and a second commit by retry."""
        self.table.transact_faults.append(fakes.Fault.LOST_AFTER_COMMIT)
        folder = self.folder(a=A)
        self.table.before_transact.append(
            lambda: self.table.read_faults.extend([fakes.Fault.REFUSED] * 500)
        )
        running = self.platform.start(apply.apply(folder, operator="op"), out := io.StringIO())
        self.assertRaises(errors.AnswerLostError, self.platform.wait, running)
        self.assertEqual("", out.getvalue())
        self.table.read_faults.clear()
        self.assertIn("no change", self.apply(folder))
        self.assertEqual(1, len(self.table.audit_keys()))

    def test_store_down_changes_nothing(self) -> None:
        """Guards against a base file that records files which were never committed."""
        folder = self.folder(a=A)
        self.platform.objects.put_faults.append(fakes.Fault.REFUSED)
        self.assertRaises(errors.PlatformUnavailableError, self.platform.run, apply.apply(folder))
        self.assertEqual({}, self.table.rows_by_key)
        self.assertFalse((folder / base_file.FILE_NAME).exists())

    def test_corrupt_rows_are_a_clear_error(self) -> None:
        """Guards against a traceback for corrupt rows, and a commit on top of a corrupt version."""
        folder = self.folder(a=A)
        self.apply(folder)
        self.edit(folder, a=A + "slots = 3\n")
        self.table.put("config/file/a.toml", b"other")
        error = self.assertRaises(errors.CorruptRowError, self.platform.run, apply.apply(folder))
        self.assertIn("config/file/a.toml", str(error))
        self.table.put(HEAD, b"\xc1")
        error = self.assertRaises(errors.CorruptRowError, self.platform.run, apply.apply(folder))
        self.assertIn("config/head", str(error))

    def test_corrupt_base_file_is_a_clear_error(self) -> None:
        """Guards against treating a damaged base as an empty one."""
        folder = self.folder(a=A)
        for text in ("{", "[]", '{"version": 1}', '{"version": "x", "sha256_by_file": {}}'):
            (folder / base_file.FILE_NAME).write_text(text)
            error = self.assertRaises(errors.ConfigError, base_file.read, folder)
            self.assertIn(base_file.FILE_NAME, str(error))

    def test_diff_shows_the_change_and_makes_none(self) -> None:
        """Guards against a diff that differs from what apply does, or that commits something."""
        first, second = self.two_folders()
        self.edit(second, b=B + "slots = 4\n")
        self.apply(second)
        self.edit(first, a=A + "slots = 3\n")
        commits = len(self.table.commits)
        out = self.platform.run(diff.diff(first))[1]
        self.assertIn("+slots = 3", out)
        self.assertIn("older in this folder: b.toml", out)
        self.assertEqual(commits, len(self.table.commits))

    def test_scan_that_overlaps_a_commit_is_repeated(self) -> None:
        """Guards against reporting a corrupt row because the scan overlapped a commit."""
        folder = self.folder(a=A)
        self.apply(folder)
        correct = self.table.row(keys.config_file("a.toml")).value
        self.table.put("config/file/a.toml", b"other")
        self.platform.clock.callLater(0.5, self.table.put, "config/file/a.toml", correct)
        self.assertIn("no change", self.apply(folder))


class RandomApplyTest(testtools.TestCase):
    @example(faults=[], edits=[(False, "a", 2), (True, "a", 2), (False, "a", 1), (True, "a", 2)])
    @given(
        faults=st.lists(st.sampled_from(list(fakes.Fault)), max_size=8),
        edits=st.lists(
            st.tuples(st.booleans(), st.sampled_from(["a", "b"]), st.integers(1, 9)), max_size=6
        ),
    )
    def test_versions_and_audit_rows_agree(self, faults, edits) -> None:
        """Guards against reverted, lost or twice audited changes while the store fails."""
        platform = fakes.FakePlatform()
        with tempfile.TemporaryDirectory() as one, tempfile.TemporaryDirectory() as two:
            folders = (pathlib.Path(one), pathlib.Path(two))
            for folder in folders:
                (folder / "a.toml").write_text(A)
                (folder / "b.toml").write_text(B)
                platform.run(apply.apply(folder, operator="op"))
            platform.table.transact_faults.extend(faults)
            base_by_file = {(f, s): t for f in (False, True) for s, t in (("a", A), ("b", B))}
            for second, stem, slots in edits:
                text = (A if stem == "a" else B) + f"slots = {slots}\n"
                (folders[second] / f"{stem}.toml").write_text(text)
                before = self.accepted(platform).text_by_file[f"{stem}.toml"]
                try:
                    platform.run(apply.apply(folders[second], operator="op"))
                except (errors.ConfigConflictError, errors.PlatformError):
                    continue
                # A file that equals the one this operator last applied is unchanged, so it must not
                # revert a later change by the other operator.
                expected = before if text == base_by_file[second, stem] else text
                self.assertEqual(expected, self.accepted(platform).text_by_file[f"{stem}.toml"])
                base_by_file[second, stem] = text
            platform.clock.advance(10.0)
            self.assertEqual(self.accepted(platform).version, len(platform.table.audit_keys()))

    def accepted(self, platform: fakes.FakePlatform):
        rows = platform.wait(platform.table.scan(table_reads.CONFIG_PREFIX))
        return table_reads._accepted_from_rows(rows)
