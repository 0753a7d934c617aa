from __future__ import annotations

import io
import json
import logging

import testtools
from hypothesis import given
from hypothesis import strategies as st

from celerystack import errors, settings
from celerystack.observe import logs


def _record(message: str = "m", *, level: int = logging.WARNING, **fields) -> logging.LogRecord:
    record = logging.LogRecord("l", level, "f", 1, message, (), None)
    for name, value in fields.items():
        setattr(record, name, value)
    return record


class FormatTest(testtools.TestCase):
    def test_json_line_has_all_fields(self) -> None:
        """Guards against a field that is passed with ``extra`` but not logged."""
        record = _record(request_id="r", step="s", peer="10.0.0.1:1", shard=3, token=4)
        line = json.loads(logs.JsonFormatter().format(record))
        self.assertEqual(
            ("r", "s", "10.0.0.1:1", 3, 4, "m", "warning"),
            tuple(
                line[n]
                for n in ("request_id", "step", "peer", "shard", "token", "message", "level")
            ),
        )

    def test_token_zero_is_logged(self) -> None:
        """Guards against dropping fields with the value 0 because 0 is falsy."""
        self.assertIn("token=0", logs.KeyValueFormatter().format(_record(token=0)))

    @given(st.text())
    def test_key_value_line_stays_one_line(self, text: str) -> None:
        """Guards against line breaks in text from a peer that forge log lines."""
        line = logs.KeyValueFormatter().format(_record(text, peer=text))
        self.assertEqual(1, len(line.splitlines()))

    def test_error_supplies_step_and_peer(self) -> None:
        """Guards against an error logged without its step and peer, or with a traceback."""
        error = errors.PeerError("closed", step="peers.read", peer="p")
        record = _record()
        record.exc_info = (type(error), error, None)
        line = json.loads(logs.JsonFormatter().format(record))
        self.assertEqual(("peers.read", "p"), (line["step"], line["peer"]))
        self.assertNotIn("traceback", line)


class RepeatFilterTest(testtools.TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.now = 0.0
        self.filter = logs.RepeatFilter(lambda: self.now)

    def test_repeats_are_limited_and_counted(self) -> None:
        """Guards against a flood of equal failures, and not reporting how many were suppressed."""
        passed = sum(self.filter.filter(_record(step="s", peer="p")) for _ in range(100))
        self.assertEqual(logs.REPEATS_PER_WINDOW, passed)
        self.now = logs.REPEAT_WINDOW_S
        record = _record(step="s", peer="p")
        self.assertTrue(self.filter.filter(record))
        self.assertEqual(100 - logs.REPEATS_PER_WINDOW, record.suppressed)

    def test_other_failures_are_not_affected(self) -> None:
        """Guards against suppressing the failures of one peer because another peer fails often."""
        for _ in range(100):
            self.filter.filter(_record(step="s", peer="p"))
        self.assertTrue(self.filter.filter(_record(step="s", peer="q")))
        self.assertTrue(self.filter.filter(_record(step="t", peer="p")))

    def test_information_is_never_limited(self) -> None:
        """Guards against suppressing records that are not failures."""
        self.assertTrue(all(self.filter.filter(_record(level=logging.INFO)) for _ in range(100)))

    def test_memory_is_bounded(self) -> None:
        """Guards against memory that grows with every new peer address."""
        for number in range(logs.TRACKED_FAILURES_MAX + 100):
            self.filter.filter(_record(peer=str(number)))
        tracked = len(self.filter._repeats_by_failure)
        self.assertEqual(logs.TRACKED_FAILURES_MAX, tracked)


class ConfigureTest(testtools.TestCase):
    def test_root_logger_writes_in_the_chosen_format(self) -> None:
        """Guards against log settings without effect, and handlers that stay installed."""
        root = logging.getLogger()
        handlers, level = list(root.handlers), root.level
        self.addCleanup(setattr, root, "handlers", handlers)
        self.addCleanup(root.setLevel, level)
        out = io.StringIO()
        handler = logs.configure(
            log_format=settings.LogFormat.JSON, log_level=settings.LogLevel.WARNING, stream=out
        )
        logging.getLogger("x").info("hidden")
        logging.getLogger("x").warning("shown %d", 1)
        self.assertEqual([handler], root.handlers)
        self.assertEqual("shown 1", json.loads(out.getvalue())["message"])
