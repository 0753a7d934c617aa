"""A zone that is evacuated under load, with later starts and an outage of the store."""

from __future__ import annotations

import json
import pathlib
import time

import pytest

from standins import layout, records
from tests.system import scenarios

pytestmark = pytest.mark.system

EVACUATION_LIMIT_S = 5.0
"""Longest time until the servers of an evacuated zone get no new requests."""
RETURN_LIMIT_S = 5.0
"""Duration of the load in which a restored zone must get requests of the service without keys."""
ZONE = "z2"
ZONE_SERVERS = ("ab-2a", "ab-2b", "fd-2")
LATE_VM = "vm-1a"


def _zone_starts(scenario: scenarios.Scenario, after: float, before: float) -> list[float]:
    runs = scenario.running.runs()
    return [run.start for run in runs if run.server in ZONE_SERVERS and after < run.start < before]


def _status(scenario: scenarios.Scenario) -> dict:
    return json.loads(scenario.running.command("status", "--json").stdout)


def _gauge(scenario: scenarios.Scenario, vm: str) -> str:
    address = scenario.running.addresses_by_vm[vm].admin
    text = layout.http_request(address, "GET", "/metrics")[1].decode()
    (line,) = [line for line in text.splitlines() if line.startswith("celerystack_zone_evacuated{")]
    return line


def test_evacuated_zone_gets_no_requests_until_it_is_restored(tmp_path: pathlib.Path) -> None:
    """Guards against requests to an evacuated zone from an entry VM or to a server started later.

    The late starts fall into an outage of the store, so the entry VM knows of the evacuation from
    its peers only.
    """
    with scenarios.started(tmp_path) as scenario:
        running = scenario.running
        targets = running.targets()
        others = tuple(target for target in targets if target.entry_vm != LATE_VM)
        own = tuple(target for target in targets if target.entry_vm == LATE_VM)
        finish_load = scenario.start_load(26, targets=others)
        scenario.sleep_until(2)
        assert running.command("evacuate", ZONE, "--reason", "test").returncode == 0
        evacuated_at = time.monotonic()
        time.sleep(EVACUATION_LIMIT_S)
        assert _status(scenario)["evacuated_zones"][ZONE]["shards"] == 0
        running.set_platform_faults(outage="refuse")
        running.kill(LATE_VM)
        running.kill("fd-2")
        running.start_backend("fd-2")
        running.start_entry_vm(LATE_VM)
        late_records = scenario.start_load(6, targets=own, callers=16, rate=120.0)()
        assert _gauge(scenario, LATE_VM) == f'celerystack_zone_evacuated{{zone="{ZONE}"}} 1.0'
        running.set_platform_faults(outage="none")
        caller_records = [*finish_load(), *late_records]
        restored_at = time.monotonic()
        assert running.command("restore", ZONE).returncode == 0
        caller_records += scenario.start_load(RETURN_LIMIT_S, targets=others)()
        assert _gauge(scenario, LATE_VM) == f'celerystack_zone_evacuated{{zone="{ZONE}"}} 0.0'
        scenario.check_served(caller_records)
        scenario.check_served(late_records, scenarios.DESK_SERVICE)
        assert scenario.violations(caller_records) == []
        assert [r for r in caller_records if r.outcome is not records.Outcome.ANSWERED] == []
        assert _zone_starts(scenario, 0.0, evacuated_at) != []
        assert _zone_starts(scenario, evacuated_at + EVACUATION_LIMIT_S, restored_at) == []
        assert _zone_starts(scenario, restored_at, time.monotonic()) != []
