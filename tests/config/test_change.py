from __future__ import annotations

import json

import testtools
from hypothesis import given
from hypothesis import strategies as st

from celerystack import errors, ids
from celerystack.config import change, derive
from celerystack.state import codec, keys

A = '[service.a]\nprefixes = ["/a/"]\n'
B = '[service.b]\nprefixes = ["/b/"]\n'
B2 = '[service.b]\nprefixes = ["/b/"]\nslots = 4\n'


def _base(version: int, **text_by_stem: str) -> change.Base:
    return change.Base(
        version=ids.ConfigVersion(version),
        sha256_by_file={f"{s}.toml": derive.sha256(t) for s, t in text_by_stem.items()},
    )


def _files(**text_by_stem: str) -> dict[str, str]:
    return {f"{stem}.toml": text for stem, text in text_by_stem.items()}


def _accepted(version: int, **text_by_stem: str) -> change.Accepted:
    files = _files(**text_by_stem)
    versions = {keys.config_file(file): ids.RowVersion(3) for file in files}
    versions[keys.CONFIG_HEAD] = ids.RowVersion(version)
    return change.Accepted(
        version=ids.ConfigVersion(version), text_by_file=files, row_versions_by_key=versions
    )


class PlanTest(testtools.TestCase):
    def test_first_configuration(self) -> None:
        """Guards against a first apply that overwrites a version committed at the same time."""
        planned = change.plan(base=change.Base(), accepted=change.Accepted(), folder=_files(a=A))
        self.assertEqual(1, planned.head.version)
        self.assertEqual(
            {"config/head": 0, "config/file/a.toml": 0}, dict(planned.expected_versions_by_key)
        )
        values = {write.key: write.value for write in planned.writes}
        self.assertEqual(A.encode(), values["config/file/a.toml"])
        head = codec.decode_fields(codec.ConfigHead, values["config/head"], key="config/head")
        self.assertEqual({"a.toml": derive.sha256(A)}, head.sha256_by_file)
        self.assertEqual(head.snapshot, change.snapshot_name(planned.snapshot))
        self.assertEqual(_files(a=A), json.loads(planned.snapshot))

    def test_change_by_another_operator_to_another_file_is_kept(self) -> None:
        """Guards against an apply from an older folder that reverts another operator's change."""
        planned = change.plan(
            base=_base(1, a=A, b=B), accepted=_accepted(2, a=A, b=B2), folder=_files(a=A + "#", b=B)
        )
        self.assertEqual(3, planned.head.version)
        self.assertEqual(
            (("a.toml",), (), ("b.toml",)), (planned.written, planned.deleted, planned.kept)
        )
        self.assertEqual(derive.sha256(B2), planned.head.sha256_by_file["b.toml"])
        self.assertEqual(
            {"config/head": 2, "config/file/a.toml": 3}, dict(planned.expected_versions_by_key)
        )

    def test_same_file_is_a_conflict_that_names_it(self) -> None:
        """Guards against silently losing one of two operators' changes to the same file."""
        error = self.assertRaises(
            errors.ConfigConflictError,
            change.plan,
            base=_base(1, a=A, b=B),
            accepted=_accepted(2, a=A, b=B2),
            folder=_files(a=A, b=B + "#"),
        )
        self.assertIn("b.toml", str(error))
        self.assertNotIn("a.toml", str(error))

    def test_deletion_against_a_change_is_a_conflict(self) -> None:
        """Guards against deleting a change that the operator has not seen, and reviving a file."""
        for accepted, folder in (
            (_accepted(2, a=A, b=B2), _files(a=A)),
            (_accepted(2, a=A), _files(a=A, b=B2)),
        ):
            self.assertRaises(
                errors.ConfigConflictError,
                change.plan,
                base=_base(1, a=A, b=B),
                accepted=accepted,
                folder=folder,
            )

    def test_same_change_on_both_sides(self) -> None:
        """Guards against a conflict between equal texts, as in a retry after a lost response."""
        self.assertIsNone(
            change.plan(
                base=_base(1, a=A), accepted=_accepted(2, a=A, b=B), folder=_files(a=A, b=B)
            )
        )

    def test_deleted_file(self) -> None:
        """Guards against files that stay in force after they were deleted from the folder."""
        planned = change.plan(
            base=_base(1, a=A, b=B), accepted=_accepted(1, a=A, b=B), folder=_files(a=A)
        )
        self.assertEqual(("b.toml",), planned.deleted)
        self.assertEqual(["a.toml"], list(planned.head.sha256_by_file))
        self.assertIn(
            (keys.config_file("b.toml"), None), [(w.key, w.value) for w in planned.writes]
        )

    def test_without_a_base_nothing_is_deleted(self) -> None:
        """Guards against an apply of a new folder that deletes files of other operators."""
        planned = change.plan(base=change.Base(), accepted=_accepted(5, a=A), folder=_files(b=B))
        self.assertEqual({"a.toml", "b.toml"}, set(planned.head.sha256_by_file))

    def test_invalid_merge_of_valid_sides(self) -> None:
        """Guards against accepting two changes that are valid separately but not together."""
        clash = '[service.c]\nprefixes = ["/b/"]\n'
        error = self.assertRaises(
            errors.ConfigError,
            change.plan,
            base=_base(1, a=A),
            accepted=_accepted(2, a=A, b=B),
            folder=_files(a=A, c=clash),
        )
        self.assertNotIsInstance(error, errors.ConfigConflictError)
        self.assertIn("overlaps", str(error))

    def test_shard_count_of_an_existing_service_is_fixed(self) -> None:
        """Guards against a shard count by which ids denote other keys under the same epochs."""
        self.assertRaises(
            errors.ConfigError,
            change.plan,
            base=_base(1, a=A),
            accepted=_accepted(1, a=A),
            folder=_files(a=A + "shards = 65\n"),
        )


_TEXTS = st.sampled_from([A, B, A + "#1", B + "#1"])
_FOLDERS = st.dictionaries(st.sampled_from(["x.toml", "y.toml"]), _TEXTS)


class MergeTest(testtools.TestCase):
    @given(base=_FOLDERS, theirs=_FOLDERS, ours=_FOLDERS)
    def test_merge_is_symmetric_and_loses_no_change(self, base, theirs, ours) -> None:
        """Guards against a merge that depends on the commit order, or that loses a change."""
        results = []
        for first, second in ((theirs, ours), (ours, theirs)):
            accepted = change.Accepted(version=ids.ConfigVersion(2), text_by_file=first)
            try:
                results.append(
                    change.merge(
                        base=change.Base(
                            version=ids.ConfigVersion(1),
                            sha256_by_file={f: derive.sha256(t) for f, t in base.items()},
                        ),
                        accepted=accepted,
                        folder=second,
                    )[0]
                )
            except errors.ConfigConflictError:
                results.append(None)
        self.assertEqual(results[0], results[1])
        if results[0] is None:
            return
        for side in (theirs, ours):
            for file in {*base, *side}:
                if side.get(file) != base.get(file):
                    self.assertEqual(side.get(file), results[0].get(file))
