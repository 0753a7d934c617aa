"""Leaving servers and entry VMs under load."""

from __future__ import annotations

import pathlib
import time

import pytest

from standins import records
from tests.system import scenarios

pytestmark = pytest.mark.system

LEAVE_S = 5.0
"""Bound of "a few seconds" for the last new work of a leaving server."""


def _late_starts(scenario: scenarios.Scenario, server: str, after: float) -> list[float]:
    runs = scenario.running.runs()
    return [run.start for run in runs if run.server == server and run.start > after]


def test_drained_server_gets_no_new_work(tmp_path: pathlib.Path) -> None:
    """Guards against new work for a server that an operator drains."""
    with scenarios.started(tmp_path) as scenario:
        finish = scenario.start_load(12)
        scenario.sleep_until(2)
        for server in ("ab-1a", "fd-1"):
            assert scenario.running.command("drain", server).returncode == 0
        drained_at = time.monotonic()
        found = finish()
        scenario.check_served(found)
        assert scenario.violations(found) == []
        assert [r for r in found if r.outcome is not records.Outcome.ANSWERED] == []
        for server in ("ab-1a", "fd-1"):
            assert _late_starts(scenario, server, drained_at + LEAVE_S) == []


def test_server_that_the_platform_marks_as_leaving(tmp_path: pathlib.Path) -> None:
    """Guards against new work for a VM that the platform is about to remove."""
    with scenarios.started(tmp_path) as scenario:
        finish = scenario.start_load(12)
        scenario.sleep_until(2)
        for server in ("ab-2a", "fd-2"):
            scenario.running.mark_leaving(server)
        leaving_at = time.monotonic()
        found = finish()
        scenario.check_served(found)
        assert scenario.violations(found) == []
        for server in ("ab-2a", "fd-2"):
            assert _late_starts(scenario, server, leaving_at + LEAVE_S) == []


def test_terminated_entry_vms_cut_off_nothing(tmp_path: pathlib.Path) -> None:
    """Guards against requests in flight, or leases, that end with a graceful shutdown."""
    with scenarios.started(tmp_path) as scenario:
        finish = scenario.start_load(16)
        for number, name in enumerate(("vm-1a", "vm-2b", "vm-3a")):
            scenario.sleep_until(2 + 4 * number)
            scenario.running.processes.terminate(name, timeout_s=20)
            assert scenario.running.processes.child(name).process.returncode == 0
        found = finish()
        scenario.check_served(found)
        assert scenario.violations(found) == []
        assert [r for r in found if r.outcome is not records.Outcome.ANSWERED] == []
