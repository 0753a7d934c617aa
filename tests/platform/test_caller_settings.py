"""Tests of the limits on callers in the settings file of an entry VM."""

import testtools

from celerystack import errors
from celerystack.platform import settings
from standins import range_cluster

PORTS = {"front": 1, "ready": 2, "udp": 3, "udp_end": 4}


def text(limits=(), terms=()):
    lines = [f"{name} = {value}" for name, value in range_cluster.LIMITS.items()]
    filled = range_cluster.SETTINGS.format(
        vm="v", zone="z", ip="127.0.0.1", store="127.0.0.1:5", limits="\n".join(lines), **PORTS
    )
    added = "\n".join(["[identity.limits]", *limits])
    return filled.replace("[identity.limits]", added) + "\n".join(terms)


class CallerLimitsTest(testtools.TestCase):
    def test_defaults(self):
        """Guards against a settings file without the new fields that is rejected."""
        parsed = settings.parse(text())
        self.assertIsNone(parsed.file_descriptors)
        self.assertEqual(
            (256, 1024, 120.0),
            (parsed.open_large_bodies_max, parsed.body_progress_bytes, parsed.body_time_s),
        )

    def test_values(self):
        """Guards against a field that is not read."""
        parsed = settings.parse(
            text(
                ["file_descriptors = 300"],
                ["open_large_bodies = 8", "body_progress_bytes = 10", 'body_time = "30s"'],
            )
        )
        self.assertEqual(70, parsed.caller_limits().connections_max)
        self.assertEqual(8, parsed.account_limits(1).open_large_bodies_max)
        self.assertEqual(10, parsed.caller_limits().body_progress_bytes)
        self.assertEqual(30.0, parsed.caller_limits().body_s)

    def test_malformed_values_are_rejected(self):
        """Guards against a limit that rejects every caller, or none."""
        for name in ("open_large_bodies", "body_progress_bytes"):
            for value in ("0", "-1", "true", '"8"', "1.5"):
                self.assertRaises(
                    errors.SettingsError, settings.parse, text((), [f"{name} = {value}"])
                )
        for value in ('"0s"', '"x"', "-1"):
            self.assertRaises(
                errors.SettingsError, settings.parse, text((), [f"body_time = {value}"])
            )
        self.assertRaises(errors.SettingsError, settings.parse, text(["file_descriptors = 0"]))
