"""The platform's store is down: keys go on being served, also while entry VMs are replaced."""

from __future__ import annotations

import pathlib

import pytest

from standins import records
from tests.system import scenarios

pytestmark = pytest.mark.system


def _unanswered(found: list[records.CallerRecord], service: str) -> list[records.CallerRecord]:
    return [r for r in found if r.service == service and r.outcome is not records.Outcome.ANSWERED]


@pytest.mark.timeout(150)
def test_store_outage_of_a_minute(tmp_path: pathlib.Path) -> None:
    """Guards against leases that need the store."""
    with scenarios.started(tmp_path) as scenario:
        finish = scenario.start_load(66, rate=120.0)
        scenario.sleep_until(2)
        scenario.running.set_platform(outage="hang")
        scenario.sleep_until(32)
        scenario.running.set_platform(outage="refuse")
        scenario.sleep_until(62)
        scenario.running.set_platform(outage="none")
        found = finish()
        scenario.check_served(found)
        assert scenario.violations(found) == []
        assert _unanswered(found, scenarios.BROWSE) == []


@pytest.mark.timeout(150)
def test_all_entry_vms_replaced_during_an_outage(tmp_path: pathlib.Path) -> None:
    """Guards against leases that end because their recorded lessors were replaced."""
    with scenarios.started(tmp_path) as scenario:
        names = list(scenario.running.entry_vms_by_name)
        finish = scenario.start_load(4 + 4 * len(names))
        scenario.sleep_until(1)
        scenario.running.set_platform(outage="refuse")
        for number, name in enumerate(names):
            scenario.sleep_until(3 + 4 * number)
            scenario.running.kill(name)
            scenario.running.start_entry_vm(name)
        found = finish()
        scenario.running.set_platform(outage="none")
        scenario.check_served(found)
        assert scenario.violations(found) == []
        # Only requests in flight at a killed entry VM may fail.
        failed = _unanswered(found, scenarios.BROWSE)
        assert len(failed) <= 24 * len(names), failed[:3]
        longest = scenarios.longest_unavailable_s(found)
        assert longest < scenarios.SERVED_AGAIN_S + scenarios.POLL_SLACK_S


@pytest.mark.timeout(150)
def test_all_entry_vms_lost_at_once(tmp_path: pathlib.Path) -> None:
    """Guards against acknowledged assignments or configuration that live in memory only."""
    with scenarios.started(tmp_path) as scenario:
        names = list(scenario.running.entry_vms_by_name)
        finish = scenario.start_load(16)
        scenario.sleep_until(2)
        owner = scenario.owner_of("key-1")
        for name in names:
            scenario.running.kill(name)
        for name in names:
            scenario.running.start_entry_vm(name, wait=False)
        found = finish()
        scenario.check_served(found)
        assert scenario.violations(found) == []
        assert scenario.owner_of("key-1") == owner
        late = [r for r in found if r.start > scenario.started_at + 12]
        assert late
        assert all(r.outcome is records.Outcome.ANSWERED for r in late)
