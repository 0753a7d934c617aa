"""Servers that are drained and entry VMs that shut down under load."""

from __future__ import annotations

import pathlib
import time

import pytest

from standins import records
from tests.system import scenarios

pytestmark = pytest.mark.system

DRAIN_LIMIT_S = 5.0
"""Longest time until a draining server gets no new requests."""


def _starts_after(scenario: scenarios.Scenario, server: str, after: float) -> list[float]:
    runs = scenario.running.runs()
    return [run.start for run in runs if run.server == server and run.start > after]


def test_drained_server_gets_no_new_work(tmp_path: pathlib.Path) -> None:
    """Guards against new requests to a server that an operator drains."""
    with scenarios.started(tmp_path) as scenario:
        finish_load = scenario.start_load(12)
        scenario.sleep_until(2)
        for server in ("ab-1a", "fd-1"):
            assert scenario.running.command("drain", server).returncode == 0
        drained_at = time.monotonic()
        caller_records = finish_load()
        scenario.check_served(caller_records)
        assert scenario.violations(caller_records) == []
        assert [r for r in caller_records if r.outcome is not records.Outcome.ANSWERED] == []
        for server in ("ab-1a", "fd-1"):
            assert _starts_after(scenario, server, drained_at + DRAIN_LIMIT_S) == []


def test_server_that_the_platform_marks_as_leaving(tmp_path: pathlib.Path) -> None:
    """Guards against new requests to a server that the platform is about to remove."""
    with scenarios.started(tmp_path) as scenario:
        finish_load = scenario.start_load(12)
        scenario.sleep_until(2)
        for server in ("ab-2a", "fd-2"):
            scenario.running.mark_leaving(server)
        leaving_at = time.monotonic()
        caller_records = finish_load()
        scenario.check_served(caller_records)
        assert scenario.violations(caller_records) == []
        for server in ("ab-2a", "fd-2"):
            assert _starts_after(scenario, server, leaving_at + DRAIN_LIMIT_S) == []


def test_terminated_entry_vms_cut_off_nothing(tmp_path: pathlib.Path) -> None:
    """Guards against a graceful shutdown that aborts requests in flight or ends leases."""
    with scenarios.started(tmp_path) as scenario:
        finish_load = scenario.start_load(16)
        for number, name in enumerate(("vm-1a", "vm-2b", "vm-3a")):
            scenario.sleep_until(2 + 4 * number)
            scenario.running.processes.terminate(name, timeout_s=20)
            assert scenario.running.processes.child(name).process.returncode == 0
        caller_records = finish_load()
        scenario.check_served(caller_records)
        assert scenario.violations(caller_records) == []
        assert [r for r in caller_records if r.outcome is not records.Outcome.ANSWERED] == []
