from __future__ import annotations

import dataclasses
import pathlib
import tempfile

import testtools

from standins import checks, journal, records

RUN = journal.Run(
    server="s1",
    incarnation="i1",
    run=1,
    service="atlas",
    key="k",
    shard=3,
    epoch=5,
    token=1,
    request_id="r1",
    method="POST",
    divided=True,
    start=10.0,
    end=11.0,
    ending=journal.Ending.DONE,
)
RECORD = records.CallerRecord(
    request_id="r1",
    service="atlas",
    key="k",
    method="POST",
    entry_vm="vm1",
    outcome=records.Outcome.ANSWERED,
    start=9.0,
    end=11.5,
    status=200,
    answer_id="r1",
    answer_key="k",
    declared_length=7,
    received_length=7,
    complete=True,
)


def run(**changes: object) -> journal.Run:
    return dataclasses.replace(RUN, **changes)


def record(**changes: object) -> records.CallerRecord:
    return dataclasses.replace(RECORD, **changes)


class EpochsTest(testtools.TestCase):
    def test_lower_epoch_after_higher(self) -> None:
        """Guards against a check that misses a run by a former owner, under a lower epoch."""
        higher, lower = run(epoch=6), run(start=12.0, server="s2", incarnation="i2")
        self.assertEqual(
            [checks.EpochRegression(higher, lower)], checks.check_epochs([lower, higher])
        )

    def test_rising_epochs_of_several_keys(self) -> None:
        """Guards against a check that compares the epochs of different keys or services."""
        others = [run(start=12.0, key="other", epoch=1), run(start=12.0, service="b", epoch=1)]
        self.assertEqual([], checks.check_epochs([run(), run(start=12.0, epoch=6), *others]))

    def test_return_to_the_base_shard(self) -> None:
        """Guards against a missed run of a key by its base shard after the key was split off."""
        hot = run(shard=1 << 32, epoch=1, start=12.0)
        stale = run(start=13.0)
        self.assertEqual(
            [checks.EpochRegression(RUN, stale)], checks.check_epochs([RUN, hot, stale])
        )
        merged = run(start=13.0, epoch=7)
        self.assertEqual([], checks.check_epochs([RUN, hot, merged]))

    def test_undivided_service_has_no_epochs(self) -> None:
        """Guards against false violations for a service whose keys have no owner."""
        runs = [run(divided=False, epoch=6), run(divided=False, start=12.0)]
        self.assertEqual([], checks.check_epochs(runs))


class OverlapsTest(testtools.TestCase):
    def test_overlap_of_two_servers(self) -> None:
        """Guards against a check that misses two owners of a key.

        A short run that ends earlier must not replace the longer run that overlaps.
        """
        short = run(start=10.2, end=10.3, run=2)
        second = run(start=10.5, server="s2", incarnation="i2", epoch=6)
        self.assertEqual(
            [checks.OverlappingRuns(RUN, second)], checks.check_overlaps([RUN, short, second])
        )

    def test_one_server_may_use_both_slots(self) -> None:
        """Guards against false violations for concurrent or consecutive runs of one server."""
        self.assertEqual([], checks.check_overlaps([RUN, run(start=10.5, run=2)]))
        self.assertEqual([], checks.check_overlaps([RUN, run(start=11.0, incarnation="i2")]))

    def test_run_of_a_killed_server_lasts_until_the_kill(self) -> None:
        """Guards against an overlap that is missed since a killed server recorded no end."""
        unfinished = run(end=None)
        second = run(start=12.0, server="s2", incarnation="i2")
        self.assertEqual([], checks.check_overlaps([unfinished, second]))
        found = checks.check_overlaps([unfinished, second], {"i1": 12.5})
        self.assertEqual([checks.OverlappingRuns(unfinished, second)], found)


class RequestsTest(testtools.TestCase):
    def test_duplicate_run(self) -> None:
        """Guards against a check that misses a second run on the same server or a cancelled one."""
        second = run(run=2, start=12.0, ending=journal.Ending.CANCELLED)
        self.assertEqual(
            [checks.DuplicateRun("r1", (RUN, second))], checks.check_duplicate_runs([RUN, second])
        )
        self.assertEqual([], checks.check_duplicate_runs([run(method="GET"), run(method="GET")]))

    def test_not_run_but_run(self) -> None:
        """Guards against a missed run of a request whose caller was told ``not-run``."""
        told = record(outcome=records.Outcome.NOT_RUN)
        self.assertEqual([checks.FalseNotRun(told, RUN)], checks.check_not_run([RUN], [told]))
        repeated = [told, record(outcome=records.Outcome.UNKNOWN)]
        self.assertEqual([], checks.check_not_run([RUN], repeated))
        self.assertEqual([], checks.check_not_run([run(request_id="r2")], [told]))

    def test_answers(self) -> None:
        """Guards against missed answers to other requests, short ones and ones without a run."""
        self.assertEqual([], checks.check_answers([RUN], [RECORD]))
        foreign = record(answer_id="r2")
        self.assertEqual([checks.MismatchedAnswer(foreign)], checks.check_answers([RUN], [foreign]))
        wrong_key = record(answer_key="other")
        self.assertEqual(
            [checks.MismatchedAnswer(wrong_key)], checks.check_answers([RUN], [wrong_key])
        )
        for short in (record(received_length=6), record(complete=False)):
            self.assertEqual([checks.IncompleteAnswer(short)], checks.check_answers([RUN], [short]))
        self.assertEqual([checks.AnsweredWithoutRun(RECORD)], checks.check_answers([], [RECORD]))


class UnavailableTest(testtools.TestCase):
    def test_longest_time_without_an_answer(self) -> None:
        """Guards against an unavailable time that is measured anew from every failed request."""
        failed = records.Outcome.NOT_RUN
        seen = [
            record(start=1.0, end=1.1),
            record(start=2.0, end=2.1, outcome=failed),
            record(start=3.0, end=3.1, outcome=records.Outcome.UNKNOWN),
            record(start=3.5, end=3.75),
            record(start=5.0, end=5.5, outcome=failed),
        ]
        self.assertEqual({("atlas", "k"): 1.75}, checks.unavailable_s_by_key(reversed(seen)))
        found = checks.check_unavailable(seen, limit_s=1.5)
        self.assertEqual([checks.UnavailableTooLong("atlas", "k", 1.75)], found)
        self.assertEqual([], checks.check_unavailable(seen, limit_s=2.0))

    def test_one_slow_failure_does_not_make_its_key_unavailable(self) -> None:
        """Guards against one slow request that makes its key count as unavailable."""
        seen = [
            record(start=1.0, end=3.0, outcome=records.Outcome.UNKNOWN),
            record(start=1.25, end=1.5),
            record(start=2.0, end=2.25),
            record(start=3.5, end=3.75),
        ]
        self.assertEqual({("atlas", "k"): 0.5}, checks.unavailable_s_by_key(seen))
        self.assertEqual(2.0, checks.slowest_s(seen))

    def test_answer_to_an_earlier_request_does_not_end_the_unavailable_time(self) -> None:
        """Guards against counting an answer to a request that ran before the owner was lost."""
        failed = record(start=1.0, end=1.5, outcome=records.Outcome.UNKNOWN)
        seen = [record(start=0.9, end=1.75), failed, record(start=3.0, end=3.5)]
        self.assertEqual({("atlas", "k"): 2.5}, checks.unavailable_s_by_key(seen))

    def test_server_errors_do_not_serve_a_key(self) -> None:
        """Guards against an answer with status 500 that ends the unavailable time."""
        seen = [record(start=1.0, end=1.5, status=500), record(start=3.0, end=3.5)]
        self.assertEqual({("atlas", "k"): 2.5}, checks.unavailable_s_by_key(seen))

    def test_held_and_never_served_requests_count(self) -> None:
        """Guards against leaving out the waiting time of held or never answered requests."""
        held = [record(start=1.0, end=3.0)]
        self.assertEqual({("atlas", "k"): 2.0}, checks.unavailable_s_by_key(held))
        lost = [record(start=t, end=t + 1.0, outcome=records.Outcome.UNKNOWN) for t in (1.0, 4.0)]
        self.assertEqual({("atlas", "k"): 4.0}, checks.unavailable_s_by_key(lost))


class FilesTest(testtools.TestCase):
    def setUp(self) -> None:
        super().setUp()
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.path = pathlib.Path(folder.name) / "file"

    def test_records_are_read_back(self) -> None:
        """Guards against fields of a record that are lost when it is written and read."""
        records.write(self.path, [RECORD])
        self.assertEqual([RECORD], records.read(self.path))

    def test_journal_of_a_killed_process(self) -> None:
        """Guards against a journal that is unreadable since a killed process cut its last line."""
        writer = journal.Writer(str(self.path))
        writer.start(RUN)
        writer.end(RUN, end=11.0, ending=journal.Ending.DONE)
        unfinished = run(run=2, start=12.0, end=None, ending=journal.Ending.UNRECORDED)
        writer.start(unfinished)
        with self.path.open("a") as file:
            file.write('{"event": "en')
        self.assertEqual([RUN, unfinished], journal.read(self.path))
