from __future__ import annotations

import testtools

from celerystack import errors, settings

ROUTER = {
    "vm": "e-1",
    "zone": "z1",
    "caller_address": "10.0.0.1:80",
    "peer_address": "10.0.0.1:81",
    "admin_address": "10.0.0.1:82",
    "table_address": "10.0.1.1:1",
    "object_address": "10.0.1.1:2",
    "membership_address": "10.0.1.1:3",
    "peer_secrets": "0123456789abcdef,fedcba9876543210",
}


def _load(flags=None, environ=None, required=()) -> settings.Settings:
    return settings.load(flags=flags or {}, environ=environ or {}, required=required)


class LoadTest(testtools.TestCase):
    def test_flag_before_environment_before_default(self) -> None:
        """Guards against a default or environment value that overrides a flag."""
        environ = {"CELERYSTACK_ZONE": "z-env", "CELERYSTACK_VM": "v-env"}
        loaded = _load({"zone": "z-flag"}, environ)
        self.assertEqual(("z-flag", "v-env", 1.0), (loaded.zone, loaded.vm, loaded.store_timeout_s))
        sources = settings.sources_by_name(flags={"zone": "z-flag"}, environ=environ)
        self.assertEqual(
            (settings.Source.FLAG, settings.Source.ENVIRONMENT, settings.Source.DEFAULT),
            (sources["zone"], sources["vm"], sources["store_timeout_s"]),
        )

    def test_complete_router_settings(self) -> None:
        """Guards against a required setting that is rejected or lost although it is set."""
        loaded = _load(ROUTER, required=settings.ROUTER_REQUIRED)
        self.assertEqual("10.0.0.1:81", loaded.advertised_peer_address)
        self.assertEqual((b"0123456789abcdef", b"fedcba9876543210"), loaded.peer_secrets)

    def test_all_wrong_settings_are_reported_at_once(self) -> None:
        """Guards against reporting only the first invalid setting."""
        flags = {**ROUTER, "zone": "a b", "table_address": "table:80", "store_timeout_s": "x"}
        del flags["vm"]
        environ = {"CELERYSTACK_LOG_LEVEL": "loud"}
        error = self.assertRaises(
            errors.SettingsError, _load, flags, environ, settings.ROUTER_REQUIRED
        )
        names = ("--vm", "--zone", "--table-address", "--store-timeout-s", "CELERYSTACK_LOG_LEVEL")
        for name in names:
            self.assertIn(name, str(error))

    def test_addresses_are_numeric(self) -> None:
        """Guards against accepting DNS names and incomplete addresses."""
        for text in (
            "db:1",
            "10.0.0.1",
            "10.0.0.1:",
            "10.0.0.1:0",
            "10.0.0.1:65536",
            "::1:5",
            "[10.0.0.1]:5",
            "10.0.0.256:1",
            "10.0.0.1:+5",
            ":5",
        ):
            self.assertRaises(errors.SettingsError, _load, {"table_address": text})
        self.assertEqual("[::1]:5", _load({"table_address": "[0:0::1]:5"}).table_address)

    def test_numbers_have_ranges(self) -> None:
        """Guards against time limits that never expire or expire immediately."""
        for text in ("0", "-1", "nan", "inf", "3601", ""):
            self.assertRaises(errors.SettingsError, _load, {"store_timeout_s": text})

    def test_listeners_differ_and_the_peer_address_is_reachable(self) -> None:
        """Guards against listeners on one address, and a peer address that peers cannot reach."""
        same = {**ROUTER, "admin_address": ROUTER["peer_address"]}
        self.assertRaises(errors.SettingsError, _load, same)
        unspecified = {**ROUTER, "peer_address": "0.0.0.0:81"}
        self.assertRaises(errors.SettingsError, _load, unspecified)
        advertised = {**unspecified, "advertised_peer_address": "10.0.0.1:81"}
        self.assertEqual("10.0.0.1:81", _load(advertised).advertised_peer_address)

    def test_misspelt_variable(self) -> None:
        """Guards against a misspelt environment variable that is silently ignored."""
        environ = {"CELERYSTACK_TABEL_ADDRESS": "10.0.0.1:1"}
        error = self.assertRaises(errors.SettingsError, _load, {}, environ)
        self.assertIn("CELERYSTACK_TABLE_ADDRESS", str(error))
        _load({}, {"CELERYSTACK_SOMETHING_ELSE": "1"})

    def test_secrets_are_not_shown(self) -> None:
        """Guards against secrets in logs, errors and the output of `settings`."""
        loaded = _load({"peer_secrets": "0123456789abcdef"})
        self.assertNotIn("0123456789abcdef", repr(loaded))
        shown = settings.display("peer_secrets", loaded.peer_secrets)
        self.assertNotIn("0123456789abcdef", shown)
        error = self.assertRaises(errors.SettingsError, _load, {"peer_secrets": "shortsecret"})
        self.assertNotIn("shortsecret", str(error))
