"""Outages of the platform's store, during which keys must stay served."""

from __future__ import annotations

import pathlib

import pytest

from standins import records
from tests.system import scenarios

pytestmark = pytest.mark.system


def _unanswered(
    caller_records: list[records.CallerRecord], service: str
) -> list[records.CallerRecord]:
    return [
        r
        for r in caller_records
        if r.service == service and r.outcome is not records.Outcome.ANSWERED
    ]


@pytest.mark.timeout(150)
def test_store_outage_of_a_minute(tmp_path: pathlib.Path) -> None:
    """Guards against leases that cannot be renewed without the store."""
    with scenarios.started(tmp_path) as scenario:
        finish_load = scenario.start_load(66, rate=120.0)
        scenario.sleep_until(2)
        scenario.running.set_platform_faults(outage="hang")
        scenario.sleep_until(32)
        scenario.running.set_platform_faults(outage="refuse")
        scenario.sleep_until(62)
        scenario.running.set_platform_faults(outage="none")
        caller_records = finish_load()
        scenario.check_served(caller_records)
        assert scenario.violations(caller_records) == []
        assert _unanswered(caller_records, scenarios.BROWSE_SERVICE) == []


@pytest.mark.timeout(150)
def test_all_entry_vms_replaced_during_an_outage(tmp_path: pathlib.Path) -> None:
    """Guards against leases that expire because all their recorded lessors were replaced."""
    with scenarios.started(tmp_path) as scenario:
        names = list(scenario.running.entry_vms_by_name)
        finish_load = scenario.start_load(4 + 4 * len(names))
        scenario.sleep_until(1)
        scenario.running.set_platform_faults(outage="refuse")
        for number, name in enumerate(names):
            scenario.sleep_until(3 + 4 * number)
            scenario.running.kill(name)
            scenario.running.start_entry_vm(name)
        caller_records = finish_load()
        scenario.running.set_platform_faults(outage="none")
        scenario.check_served(caller_records)
        assert scenario.violations(caller_records) == []
        # Only requests in flight at a killed entry VM may fail.
        failed = _unanswered(caller_records, scenarios.BROWSE_SERVICE)
        assert len(failed) <= 24 * len(names), failed[:3]
        longest = scenarios.longest_unavailable_s(caller_records)
        assert longest < scenarios.RECOVERY_LIMIT_S + scenarios.REQUEST_INTERVAL_S


@pytest.mark.timeout(150)
def test_all_entry_vms_lost_at_once(tmp_path: pathlib.Path) -> None:
    """Guards against acknowledged assignments or configuration kept in memory only."""
    with scenarios.started(tmp_path) as scenario:
        names = list(scenario.running.entry_vms_by_name)
        finish_load = scenario.start_load(16)
        scenario.sleep_until(2)
        owner = scenario.owner_of("key-1")
        for name in names:
            scenario.running.kill(name)
        for name in names:
            scenario.running.start_entry_vm(name, wait=False)
        caller_records = finish_load()
        scenario.check_served(caller_records)
        assert scenario.violations(caller_records) == []
        assert scenario.owner_of("key-1") == owner
        late = [r for r in caller_records if r.start > scenario.load_started_at + 12]
        assert late
        assert all(r.outcome is records.Outcome.ANSWERED for r in late)
