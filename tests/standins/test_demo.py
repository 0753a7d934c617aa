from __future__ import annotations

import contextlib
import dataclasses
import io

import testtools

from standins import demo, journal, records

ATLAS, DESK = (spec.name for spec in demo.SERVICES)
RUN = journal.Run(
    server=demo.KILLED_BACKEND,
    incarnation="i1",
    run=1,
    service=ATLAS,
    key="k",
    shard=3,
    epoch=5,
    token=1,
    request_id="r1",
    method="POST",
    divided=True,
    start=10.0,
    end=10.5,
    ending=journal.Ending.DONE,
)
RECORD = records.CallerRecord(
    request_id="r1",
    service=ATLAS,
    key="k",
    method="POST",
    entry_vm=demo.KILLED_ENTRY_VM,
    outcome=records.Outcome.ANSWERED,
    start=9.9,
    end=10.6,
    status=200,
    answer_id="r1",
    answer_key="k",
    declared_length=7,
    received_length=7,
    complete=True,
)
OTHER_RUN = dataclasses.replace(RUN, service=DESK, request_id="r2", divided=False)
OTHER_RECORD = dataclasses.replace(RECORD, service=DESK, request_id="r2", answer_id="r2")


class DemoTest(testtools.TestCase):
    def report(self, runs: list, caller_records: list) -> tuple[int, list[str]]:
        output = io.StringIO()
        with contextlib.redirect_stdout(output):
            code = demo.report(demo.DemoResult(caller_records, runs, {}))
        return code, output.getvalue().splitlines()

    def test_invariants_that_hold(self) -> None:
        """Guards against a demonstration that reports a broken invariant without a violation."""
        code, lines = self.report([RUN, OTHER_RUN], [RECORD, OTHER_RECORD])
        self.assertEqual((0, "8 passed, 0 failed"), (code, lines[-1]))
        self.assertEqual([ATLAS, "1", "1", "0", "0", "0", "0"], lines[2].split()[:7])

    def test_reads_do_not_hide_that_a_key_is_not_written(self) -> None:
        """Guards against a key that counts as served since it is read although not written."""
        failed = [
            dataclasses.replace(
                RECORD, request_id=f"w{n}", start=n, end=n + 0.5, outcome=records.Outcome.NOT_RUN
            )
            for n in range(20, 24)
        ]
        reads = [
            dataclasses.replace(RECORD, method="GET", start=n, end=n + 0.5) for n in range(20, 24)
        ]
        code, lines = self.report([RUN, OTHER_RUN], [RECORD, OTHER_RECORD, *failed, *reads])
        self.assertEqual((1, "7 passed, 1 failed"), (code, lines[-1]))

    def test_each_broken_invariant_fails(self) -> None:
        """Guards against a violation that is printed but does not change the exit code."""
        runs, caller_records = [RUN, OTHER_RUN], [RECORD, OTHER_RECORD]
        later = dataclasses.replace(RUN, run=2, request_id="r3", start=11.0, end=11.5)
        cases = {
            "former owner": ([*runs, dataclasses.replace(later, epoch=4)], caller_records),
            "at once": (
                [*runs, dataclasses.replace(later, incarnation="i2", start=10.2)],
                caller_records,
            ),
            "runs once": ([*runs, dataclasses.replace(later, request_id="r1")], caller_records),
            "was not run": (
                [*runs, later],
                [
                    *caller_records,
                    dataclasses.replace(
                        RECORD, request_id="r3", outcome=records.Outcome.NOT_RUN, end=10.7
                    ),
                ],
            ),
            "belongs to": (runs, [dataclasses.replace(RECORD, answer_id="r2"), OTHER_RECORD]),
            "written again": (runs, [dataclasses.replace(RECORD, end=12.0), OTHER_RECORD]),
            "read again": (
                runs,
                [dataclasses.replace(RECORD, end=12.0, method="GET"), OTHER_RECORD],
            ),
            "had work": ([RUN], [RECORD]),
        }
        for invariant, (case_runs, case_records) in cases.items():
            code, lines = self.report(case_runs, case_records)
            broken = [line for line in lines if line.startswith("BROKEN")]
            self.assertEqual((1, "7 passed, 1 failed"), (code, lines[-1]), (invariant, broken))
            self.assertIn(invariant, broken[0])
