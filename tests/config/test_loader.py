from __future__ import annotations

import pathlib
import tempfile

import testtools
from hypothesis import given
from hypothesis import strategies as st

from celerystack import errors, ids, model
from celerystack.config import loader

SERVICE = '[service.rota-view]\nprefixes = ["/rota/view/"]\n'
SERVER = '[server.rv-01]\nservice = "rota-view"\nzone = "z1"\naddress = "10.0.0.1:80"\n'


def _problems(**text_by_stem: str) -> list[str]:
    files = {f"{stem}.toml": text for stem, text in text_by_stem.items()}
    return [str(problem) for problem in loader.examine(files)[1]]


class MergeTest(testtools.TestCase):
    def test_declared_fields_and_defaults(self) -> None:
        """Guards against fields that are parsed but missing in the configuration."""
        text = (
            SERVICE + "slots = 3\nconnections = 130\ndeadline_ms = 500\nshards = 128\n"
            'key_header = "X-Key"\nidempotent_methods = ["GET", "PUT"]\nchecks_token = true\n'
            'zone_loss = "take"\nchurn_per_minute = 0.25\nhot_keys = false\n'
            + SERVER
            + "weight = 2\nchecks_token = false\n"
        )
        merged = loader.merge_files({"a.toml": text}, version=ids.ConfigVersion(4))
        service = model.Service(
            name=ids.ServiceName("rota-view"),
            prefixes=("/rota/view/",),
            key_header="X-Key",
            shards=128,
            slots=3,
            connections=130,
            deadline_ms=500,
            idempotent_methods=("GET", "PUT"),
            checks_token=True,
            zone_loss=model.ZoneLossPolicy.TAKE,
            churn_per_minute=0.25,
            hot_keys=False,
        )
        server = model.BackendServer(
            server=ids.ServerId("rv-01"),
            service=service.name,
            zone=ids.ZoneName("z1"),
            address="10.0.0.1:80",
            weight=2.0,
            checks_token=False,
        )
        expected = model.Configuration(
            version=ids.ConfigVersion(4),
            services_by_name={service.name: service},
            servers_by_id={server.server: server},
        )
        self.assertEqual(expected, merged)
        plain = loader.merge_files({"a.toml": SERVICE}).services_by_name
        default = model.Service(name=service.name, prefixes=service.prefixes)
        self.assertEqual({service.name: default}, plain)

    def test_later_file_overrides_single_fields(self) -> None:
        """Guards against a later file that resets fields that it does not set."""
        override = "[service.rota-view]\nslots = 9\n"
        files = {"b.toml": override, "a.toml": SERVICE + "slots = 1\nconnections = 50\n"}
        service = loader.merge_files(files).services_by_name[ids.ServiceName("rota-view")]
        self.assertEqual((9, 50), (service.slots, service.connections))

    def test_undivided_service_has_one_shard(self) -> None:
        """Guards against the default of 64 shards for a service without keys."""
        merged = loader.merge_files({"a.toml": SERVICE + "divided = false\n"})
        self.assertEqual([1], [service.shards for service in merged.services_by_name.values()])

    def test_error_lists_every_problem(self) -> None:
        """Guards against reporting only the first problem of a folder."""
        error = self.assertRaises(
            errors.ConfigError, loader.merge_files, {"a.toml": SERVICE + "slots = 0\nshards = 0\n"}
        )
        self.assertIn("service.rota-view.slots", str(error))
        self.assertIn("service.rota-view.shards", str(error))
        self.assertNotIn("\n", str(error))


class MergerTest(testtools.TestCase):
    @given(
        st.lists(
            st.dictionaries(
                st.sampled_from(["a.toml", "b.toml", "c.toml"]),
                st.sampled_from(
                    [
                        SERVICE,
                        SERVICE + "slots = 1\n",
                        SERVICE + "slots = true\n",
                        SERVICE + "divided = false\nshards = 2\n",
                        "[service.rota-view]\nslots = 1.0\n",
                        SERVER,
                        SERVER.replace("rv-01", "rv-02"),
                        "[server.rv-01]\nweight = 0\n",
                        "x",
                    ]
                ),
            ),
            max_size=5,
        )
    )
    def test_reused_results_equal_a_fresh_merge(self, folders) -> None:
        """Guards against stale cached results after a file changes, is renamed or is deleted."""
        merger = loader.Merger()
        for folder in folders:
            self.assertEqual(loader.examine(folder), merger.examine(folder))

    def test_equal_values_of_another_type_are_validated_again(self) -> None:
        """Guards against reusing the cached result of 1 for true, which are equal in Python."""
        merger = loader.Merger()
        self.assertEqual([], merger.examine({"a.toml": SERVICE + "slots = 1\n"})[1])
        self.assertEqual(1, len(merger.examine({"a.toml": SERVICE + "slots = true\n"})[1]))


class ProblemsTest(testtools.TestCase):
    def assert_problem(self, expected: str, **text_by_stem: str) -> None:
        self.assertEqual([expected], _problems(**text_by_stem))

    def test_unknown_field_with_hint(self) -> None:
        """Guards against silently ignored misspellings."""
        self.assert_problem(
            "a.toml: service.rota-view.shrads: unknown field; did you mean 'shards'?",
            a=SERVICE + "shrads = 3\n",
        )

    def test_unknown_table_with_hint(self) -> None:
        """Guards against a whole table that has no effect."""
        self.assert_problem(
            "a.toml: srever: unknown table; did you mean 'server'?", a="[srever.x]\nweight = 1\n"
        )

    def test_problem_names_the_file_that_set_the_field(self) -> None:
        """Guards against naming the file that declared the table as the one to change."""
        (problem,) = _problems(a=SERVICE, b="[service.rota-view]\nslots = -1\n")
        self.assertTrue(problem.startswith("b.toml: service.rota-view.slots: "), problem)

    def test_unknown_service_with_hint(self) -> None:
        """Guards against a server whose misspelt service does not exist."""
        self.assert_problem(
            "b.toml: server.rv-01.service: unknown service 'rota-vew'; did you mean 'rota-view'?",
            a=SERVICE,
            b=SERVER.replace("rota-view", "rota-vew"),
        )

    def test_cross_checks_cover_tables_with_other_errors(self) -> None:
        """Guards against cross-table problems that appear only after other problems are fixed."""
        text = SERVER.replace('"rota-view"', '"x"') + "weight = 0\n"
        self.assertEqual(2, len(_problems(a=SERVICE, b=text)))

    def test_prefixes_of_two_services(self) -> None:
        """Guards against a path that two services own by equal or nested prefixes."""
        for other in ("/rota/view/", "/rota/", "/rota/view/x/"):
            found = _problems(a=SERVICE, b=f'[service.s]\nprefixes = ["{other}"]\n')
            self.assertEqual(1, len(found), found)
            self.assertIn("overlaps", found[0])
        self.assertEqual(
            [], _problems(a=SERVICE, b='[service.s]\nprefixes = ["/rota/views/", "/rota-view/"]\n')
        )

    def test_duplicate_address(self) -> None:
        """Guards against two server ids for one process, which could then own a key twice."""
        self.assert_problem(
            "b.toml: server.rv-02.address: 10.0.0.1:80 is already the address of server 'rv-01'",
            a=SERVICE + SERVER,
            b=SERVER.replace("rv-01", "rv-02"),
        )

    def test_addresses_are_numeric(self) -> None:
        """Guards against DNS names, which are not resolved on entry VMs."""
        for address in ("rv-01.example:80", "10.0.0.1", "10.0.0.1:0", "10.0.0.1:65536", "::1:80"):
            text = SERVER.replace("10.0.0.1:80", address)
            self.assertEqual(1, len(_problems(a=SERVICE + text)), address)
        self.assertEqual([], _problems(a=SERVICE + SERVER.replace("10.0.0.1", "[fd00::1]")))

    def test_types_are_strict(self) -> None:
        """Guards against values of a wrong type that are silently converted."""
        for line in (
            "slots = 2.5",
            'slots = "2"',
            "divided = 1",
            'checks_token = "yes"',
            'churn_per_minute = "0.1"',
            "churn_per_minute = nan",
            "churn_per_minute = 1.1",
            'prefixes = "/a/"',
            "connections = 6",
            'zone_loss = "TAKE"',
            'idempotent_methods = ["get"]',
            'key_header = "a b"',
        ):
            text = (
                SERVICE.replace('prefixes = ["/rota/view/"]\n', "")
                if "prefixes" in line
                else (SERVICE)
            )
            self.assertEqual(1, len(_problems(a=f"{text}{line}\n")), line)

    def test_prefix_form(self) -> None:
        """Guards against prefixes that never match a path or contain its key segment."""
        for prefix in ("", "/", "rota/", "/rota", "//", "/a//b/", "/a b/", "/a?/", "/a/\\n"):
            found = _problems(a=f'[service.s]\nprefixes = ["{prefix}"]\n')
            self.assertEqual(1, len(found), prefix)
        self.assertEqual(1, len(_problems(a="[service.s]\nprefixes = []\n")))

    def test_undivided_service_with_shards_or_key_header(self) -> None:
        """Guards against fields that have no effect on a service that is not divided."""
        text = SERVICE + 'divided = false\nshards = 4\nkey_header = "X-Key"\n'
        self.assertEqual(2, len(_problems(a=text)))

    def test_missing_fields(self) -> None:
        """Guards against accepting a server without service, zone or address."""
        self.assertEqual(3, len(_problems(a="[server.x]\n")))

    def test_bad_names(self) -> None:
        """Guards against names that would break row keys and headers."""
        for name in ('"a/b"', '"a b"', '""', '"-a"', '"a.b"', f'"{"x" * 65}"'):
            self.assertEqual(1, len(_problems(a=SERVICE.replace("rota-view", name))), name)

    def test_not_toml_and_wrong_shape(self) -> None:
        """Guards against a traceback for files that are not TOML or have another structure."""
        self.assertEqual(1, len(_problems(a="[service")))
        self.assertEqual(1, len(_problems(a="service = 3\n")))
        self.assertEqual(1, len(_problems(a="[service]\nx = 3\n")))
        self.assertEqual(1, len(_problems(a="x = 3\n")))

    def test_bad_file_name(self) -> None:
        """Guards against file names that are not valid in a row key."""
        self.assertEqual(1, len(loader.examine({"a b.toml": SERVICE})[1]))


class FolderTest(testtools.TestCase):
    def setUp(self) -> None:
        super().setUp()
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = pathlib.Path(folder.name)

    def test_reads_toml_files_only_and_keeps_line_ends(self) -> None:
        """Guards against a hash that differs from that of the bytes in the folder."""
        (self.folder / "a.toml").write_bytes(b"x = 1\r\n")
        (self.folder / "a.toml~").write_bytes(b"y")
        (self.folder / ".celerystack-base.json").write_bytes(b"{}")
        self.assertEqual({"a.toml": "x = 1\r\n"}, loader.read_folder(self.folder))

    def test_unreadable_files_and_folder(self) -> None:
        """Guards against a traceback for unreadable files, and accepting a wrong path."""
        (self.folder / "a.toml").write_bytes(b"\xff")
        (self.folder / "b.toml").mkdir()
        error = self.assertRaises(errors.ConfigError, loader.read_folder, self.folder)
        self.assertIn("a.toml", str(error))
        self.assertIn("b.toml", str(error))
        self.assertRaises(errors.ConfigError, loader.read_folder, self.folder / "none")

    def test_folder_without_files(self) -> None:
        """Guards against a wrong path to an empty folder that deletes the whole configuration."""
        self.assertRaises(errors.ConfigError, loader.read_folder, self.folder)
