"""Tests decoding of rows by the platform and its servers, any field of which may be malformed."""

import json

import testtools

from celerystack import errors, ids
from celerystack.fleet import servers
from celerystack.platform import config, registry, wire
from standins import range_cluster

ENTRY = {
    "service": "rota",
    "address": "10.0.0.1:8080",
    "zone": "z1",
    "version": "v1",
    "slots": 2,
    "state": "ready",
    "cold_remaining": "1500ms",
    "sequence": 4,
    "born": 1770599345670,
}
KEY = ids.RowKey("i-1")


class RegistryTest(testtools.TestCase):
    def decode(self, **changes):
        return registry.decode(KEY, json.dumps(ENTRY | changes).encode())

    def test_entry(self):
        """Guards against a field that is decoded to a wrong attribute."""
        entry = self.decode()
        self.assertEqual(
            ("i-1", "rota", 1.5, servers.ServerState.READY),
            (entry.server, entry.service, entry.cold_s, entry.state),
        )

    def test_entries_with_a_wrong_field_are_rejected(self):
        """Guards against accepting a malformed row, such as one by another writer."""
        for name in ("service", "address", "zone", "slots", "state", "cold_remaining", "born"):
            for value in (None, [], {}, True, ""):
                with self.subTest(name=name, value=value):
                    self.assertRaises(errors.CorruptRowError, self.decode, **{name: value})

    def test_entries_that_lack_a_field_are_rejected(self):
        """Guards against another writer's entry that names a server to use, because a field is not
        looked at (review case 11)."""
        for name in ENTRY:
            fields = {other: value for other, value in ENTRY.items() if other != name}
            with self.subTest(name=name):
                data = json.dumps(fields).encode()
                self.assertRaises(errors.CorruptRowError, registry.decode, KEY, data)

    def test_versions_and_sequences_of_another_type_are_rejected(self):
        """Guards against the same by the fields that the system does not use."""
        for name in ("version", "sequence"):
            for value in (None, [], {}, True, 1.5):
                with self.subTest(name=name, value=value):
                    self.assertRaises(errors.CorruptRowError, self.decode, **{name: value})

    def test_values_out_of_range_are_rejected(self):
        """Guards against an entry by another writer that ends the task which reads the servers, or
        the heartbeats of a planner that cannot encode it."""
        for name, value in (
            ("slots", 10**30),
            ("slots", 0),
            ("born", 10**30),
            ("born", -(10**30)),
            ("cold_remaining", "9" * 400 + "s"),
            ("address", "10.0.0.1:70000"),
            ("address", "10.0.0.1:0"),
            ("address", "10.0.0.1:" + "9" * 5_000),
            ("address", "10.0.0.1:\u0663\u0663"),
            ("address", "server.example:80"),
            ("service", "\ud800"),
            ("zone", "\ud800"),
            ("service", "s" * 60_000),
            ("zone", "z" * 60_000),
        ):
            with self.subTest(name=name, value=str(value)[:20].encode("utf-8", "replace")):
                self.assertRaises(errors.CorruptRowError, self.decode, **{name: value})

    def test_deeply_nested_entries_are_rejected(self):
        """Guards against the same by an entry that exceeds the decoder's recursion limit."""
        for nested in (b"[" * 40_000, b'{"service":' * 5_000, b'{"a":' + b"[" * 40_000):
            self.assertRaises(errors.CorruptRowError, registry.decode, KEY, nested)

    def test_keys_that_cannot_be_sent_are_rejected(self):
        """Guards against a server whose id cannot be a header's value, to which no request goes."""
        data = json.dumps(ENTRY).encode()
        for key in ("", "a\r\nb", "a b", "\xe4", "k" * 300):
            self.assertRaises(errors.CorruptRowError, registry.decode, ids.RowKey(key), data)

    def test_bytes_that_are_no_entry_are_rejected(self):
        """Guards against an unexpected exception, which would stop the reading of all rows."""
        for data in (b"", b"\xff", b"[]", b"null", b'{"service": 1}'):
            self.assertRaises(errors.CorruptRowError, registry.decode, KEY, data)


class ConfigTest(testtools.TestCase):
    def test_versions_compare_as_numbers(self):
        """Guards against comparing versions as text, by which r9 is newer than r12."""
        newer = config.decode(range_cluster.config_row_value(12))
        self.assertGreater(newer.version, config.decode(range_cluster.config_row_value(9)).version)

    def test_missing_parts_are_rejected(self):
        """Guards against accepting a configuration of which a part is missing."""
        for name in ("version", "routes", "services", "limits"):
            fields = json.loads(range_cluster.config_row_value(1)) | {name: None}
            data = json.dumps(fields).encode()
            self.assertRaises(errors.CorruptRowError, config.decode, data)

    def test_bytes_that_are_cut_short_are_rejected(self):
        """Guards against accepting a truncated configuration row."""
        data = range_cluster.config_row_value(1)
        self.assertRaises(errors.CorruptRowError, config.decode, data[: len(data) // 2])

    def test_only_true_and_false_say_whether_keys_are_divided(self):
        """Guards against a service whose keys are divided because of the text "false"."""
        for value in ("false", "true", 0, 1, None):
            with self.subTest(value=value):
                fields = json.loads(range_cluster.config_row_value(1))
                fields["services"][0]["sharded"] = value
                data = json.dumps(fields).encode()
                self.assertRaises(errors.CorruptRowError, config.decode, data)


class WireTest(testtools.TestCase):
    def test_durations(self):
        """Guards against decoding milliseconds as seconds."""
        self.assertEqual((1.5, 2.5), (wire.seconds("1500ms"), wire.seconds("2.5s")))

    def test_other_texts_are_no_durations(self):
        """Guards against accepting a malformed duration with a default value."""
        for text in ("", "5", "5 s", "-1s", None, 5):
            self.assertRaises(ValueError, wire.seconds, text)


class EvacuationRowTest(testtools.TestCase):
    def test_zone_of_a_row(self):
        """Guards against taking another operator row for the evacuation of a zone."""
        self.assertEqual("z1", config.evacuated_zone(ids.RowKey("evacuate/z1")))
        self.assertIsNone(config.evacuated_zone(ids.RowKey("config")))
