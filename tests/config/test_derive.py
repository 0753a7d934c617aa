from __future__ import annotations

import testtools

from celerystack import errors, ids
from celerystack.config import change, derive
from celerystack.state import cache, codec, keys
from celerystack.store import ports

A = '[service.a]\nprefixes = ["/a/"]\n'
A2 = '[service.a]\nprefixes = ["/a/"]\nslots = 5\n'


def _rows(text: str, version: int) -> tuple[ports.Row, ports.Row]:
    head = codec.ConfigHead(
        version=ids.ConfigVersion(version),
        sha256_by_file={"a.toml": derive.sha256(text)},
        snapshot=change.snapshot_name(b""),
    )
    row_version = ids.RowVersion(version)
    return (
        ports.Row(keys.CONFIG_HEAD, row_version, codec.encode_fields(head)),
        ports.Row(keys.config_file("a.toml"), row_version, text.encode()),
    )


class DeriveTest(testtools.TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.rows = cache.RowCache()

    def test_no_configuration_before_the_head(self) -> None:
        """Guards against an empty configuration on an entry VM that lacks the head row."""
        self.rows.merge(_rows(A, 1)[1:])
        self.assertIsNone(derive.configuration_from_rows(self.rows))

    def test_only_complete_versions(self) -> None:
        """Guards against mixing files of two versions while their rows arrive separately."""
        self.rows.merge(_rows(A, 1))
        self.assertEqual(1, derive.configuration_from_rows(self.rows).version)
        head, file = _rows(A2, 2)
        self.rows.merge([head])
        self.assertIsNone(derive.configuration_from_rows(self.rows))
        self.rows.merge([file])
        configuration = derive.configuration_from_rows(self.rows)
        self.assertEqual(2, configuration.version)
        self.assertEqual(5, configuration.services_by_name[ids.ServiceName("a")].slots)

    def test_deleted_file_is_incomplete(self) -> None:
        """Guards against a configuration derived from the row of a deleted file."""
        head, file = _rows(A, 1)
        self.rows.merge([head, file, ports.Row(file.key, ids.RowVersion(2), None)])
        self.assertIsNone(derive.configuration_from_rows(self.rows))

    def test_corrupt_head_is_a_clear_error(self) -> None:
        """Guards against a decoding error that does not name the corrupt row."""
        for value in (b"\xc1", b"", codec.encode_fields(_operator_row())):
            rows = cache.RowCache()
            rows.merge([ports.Row(keys.CONFIG_HEAD, ids.RowVersion(1), value)])
            error = self.assertRaises(errors.CorruptRowError, derive.configuration_from_rows, rows)
            self.assertIn("config/head", str(error))

    def test_file_that_is_not_text(self) -> None:
        """Guards against a decoding error that does not name the corrupt row."""
        error = self.assertRaises(
            errors.CorruptRowError, derive.decode_text, b"\xff", key="config/file/a.toml"
        )
        self.assertIn("config/file/a.toml", str(error))


def _operator_row() -> codec.OperatorRow:
    return codec.OperatorRow(operator="o", time_ms=1, reason="")
