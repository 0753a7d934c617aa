"""Tests non-blocking, rate-limited log output."""

import logging
import os

import testtools

from celerystack.observe import nonblocking_log


def record(step="answered", message="x"):
    made = logging.LogRecord("n", logging.INFO, "f", 1, message, (), None)
    made.step = step
    return made


class NonBlockingHandlerTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.reader, self.writer = os.pipe()
        self.addCleanup(os.close, self.reader)
        self.addCleanup(os.close, self.writer)
        self.handler = nonblocking_log.NonBlockingHandler(self.writer)

    def test_full_pipe_does_not_block(self):
        """Guards against a process that blocks because its log pipe is full and not read."""
        for _ in range(200):
            self.handler.emit(record(message="x" * 10_000))
        self.assertGreater(self.handler.dropped, 0)

    def test_dropped_lines_are_counted_in_a_later_line(self):
        """Guards against dropped lines that no later line reports."""
        for _ in range(200):
            self.handler.emit(record(message="x" * 10_000))
        os.set_blocking(self.reader, False)
        for _ in range(20):
            while True:
                try:
                    os.read(self.reader, 65_536)
                except BlockingIOError:
                    break
            self.handler.flush()
        late = record()
        self.handler.emit(late)
        self.assertGreater(late.suppressed, 0)


class VolumeFilterTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.now = 10.0
        self.filter = nonblocking_log.VolumeFilter(lambda: self.now)

    def passed(self, count, step):
        return sum(self.filter.filter(record(step)) for _ in range(count))

    def test_lines_of_answers_are_bounded(self):
        """Guards against a log volume that grows with the request rate."""
        self.assertEqual(nonblocking_log.LINES_PER_S_MAX, self.passed(1000, "answered"))

    def test_lines_of_rejected_requests_are_bounded(self):
        """Guards against a log volume that grows with the rate of requests for unknown paths."""
        self.assertEqual(nonblocking_log.LINES_PER_S_MAX, self.passed(1000, "rejected"))

    def test_lines_of_failures_all_pass(self):
        """Guards against dropping the line of a failed request, which is needed to explain it."""
        self.assertEqual(1000, self.passed(1000, "failed"))

    def test_next_line_counts_the_dropped_ones(self):
        """Guards against a gap in the log that the next line does not report."""
        self.passed(nonblocking_log.LINES_PER_S_MAX + 5, "answered")
        self.now += 1.0
        late = record()
        self.filter.filter(late)
        self.assertEqual(5, late.suppressed)
