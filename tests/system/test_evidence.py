"""Takeovers that need evidence of a server's loss because a lessor's promise is missing."""

from __future__ import annotations

import json
import pathlib
import threading
import time

import pytest

from standins import journal, layout, records
from tests.system import scenarios, test_requests

pytestmark = pytest.mark.system

NO_TAKEOVER_S = 5.0
"""Time during which no takeover may happen; several times a takeover by lessors' promises."""

TAKEOVER_LIMIT_S = 5.0
"""Longest time for a takeover after evidence of a loss, which entry VMs poll for."""


CALLER_DEADLINE_S = 2.0
"""Deadline of the requests of the load."""

STABLE_S = 4.0
"""Time without a change of owner after which the initial balancing counts as finished."""


def choose_victim(scenario: scenarios.Scenario) -> tuple[str, list[str]]:
    """Return the server of zone 1 that owns most of the keys, and these keys.

    Waits for the initial balancing, so that later changes of owner are due to the fault.
    """
    address = next(iter(scenario.running.addresses_by_vm.values())).caller
    deadline = time.monotonic() + 30.0
    stable_owners: dict[str, str] = {}
    stable_since = time.monotonic()
    while time.monotonic() < stable_since + STABLE_S:
        assert time.monotonic() < deadline, "owners of keys keep changing"
        for key in scenarios.KEYS:
            assert layout.http_request(address, "GET", f"/atlas/browse/{key}/who")[0] == 200
        owners = {key: scenario.owner_of(key) for key in scenarios.KEYS}
        if owners != stable_owners:
            stable_owners, stable_since = owners, time.monotonic()
        time.sleep(0.5)
    server = max(("ab-1a", "ab-1b"), key=list(stable_owners.values()).count)
    keys = [key for key, owner in stable_owners.items() if owner == server]
    assert keys, stable_owners
    return server, keys


def ran_elsewhere(
    scenario: scenarios.Scenario, server: str, keys: list[str], after: float
) -> list[journal.Run]:
    """Return the runs for a server's keys that other servers started after ``after``."""
    return [
        run
        for run in scenario.running.runs()
        if run.service == scenarios.BROWSE_SERVICE
        and run.key in keys
        and run.server != server
        and run.start > after
    ]


def answered(
    caller_records: list[records.CallerRecord], keys: list[str], start: float, end: float
) -> list[records.CallerRecord]:
    """Return the answered requests for the keys that started in [start, end)."""
    return [
        record
        for record in caller_records
        if record.service == scenarios.BROWSE_SERVICE
        and record.key in keys
        and record.outcome is records.Outcome.ANSWERED
        and start <= record.start < end
    ]


def check_served_again(
    caller_records: list[records.CallerRecord],
    keys: list[str],
    *,
    blocked_at: float,
    evidence_at: float,
) -> None:
    """Fail if a key was served before the evidence, or not within the limit after it."""
    # A request may start before the evidence and wait for the new owner until its deadline.
    assert answered(caller_records, keys, blocked_at, evidence_at - CALLER_DEADLINE_S) == []
    late = [
        record
        for record in caller_records
        if record.service == scenarios.BROWSE_SERVICE
        and record.key in keys
        and record.start > evidence_at + TAKEOVER_LIMIT_S
    ]
    assert {record.key for record in late} == set(keys)
    assert all(record.outcome is records.Outcome.ANSWERED for record in late)


def audit_entries(scenario: scenarios.Scenario, action: str) -> list[dict[str, object]]:
    """Return the audit entries of one action."""
    result = scenario.running.command("audit", "--action", action, "--json")
    assert result.returncode == 0, result.stderr
    return [json.loads(line) for line in result.stdout.splitlines()]


def test_release_by_the_operator(tmp_path: pathlib.Path) -> None:
    """Guards against a takeover while a suspended lessor may renew, or a release without effect."""
    with scenarios.started(tmp_path, entry_vms_per_zone=3) as scenario:
        server, keys = choose_victim(scenario)
        finish_load = scenario.start_load(18)
        scenario.sleep_until(2)
        scenario.running.processes.suspend("vm-1a")
        killed_at = scenario.running.kill(server)
        time.sleep(NO_TAKEOVER_S)
        assert ran_elsewhere(scenario, server, keys, killed_at) == []
        assert scenario.running.command("release", server).returncode == 2
        time.sleep(1.0)
        assert ran_elsewhere(scenario, server, keys, killed_at) == []
        release_at = time.monotonic()
        assert scenario.running.command("release", server, "--yes").returncode == 0
        assert scenario.running.command("release", server, "--yes").returncode == 0
        scenario.running.processes.resume("vm-1a")
        caller_records = finish_load()
        scenario.check_served(caller_records)
        assert scenario.violations(caller_records) == []
        check_served_again(caller_records, keys, blocked_at=killed_at, evidence_at=release_at)
        entries = audit_entries(scenario, "release")
        assert [entry["subject"] for entry in entries] == [f"server/{server}"]


def test_delisted_server(tmp_path: pathlib.Path) -> None:
    """Guards against a delisted server whose keys are not taken over without an operator."""
    with scenarios.started(tmp_path, entry_vms_per_zone=3) as scenario:
        server, keys = choose_victim(scenario)
        finish_load = scenario.start_load(18)
        scenario.sleep_until(2)
        scenario.running.processes.suspend("vm-1a")
        killed_at = scenario.running.kill(server)
        time.sleep(NO_TAKEOVER_S)
        assert ran_elsewhere(scenario, server, keys, killed_at) == []
        delisted_at = time.monotonic()
        scenario.running.remove_member(server)
        scenario.sleep_until(delisted_at + 2.0 - scenario.load_started_at)
        scenario.running.processes.resume("vm-1a")
        caller_records = finish_load()
        scenario.check_served(caller_records)
        assert scenario.violations(caller_records) == []
        check_served_again(caller_records, keys, blocked_at=killed_at, evidence_at=delisted_at)


def test_delisted_zone_that_is_cut_off(tmp_path: pathlib.Path) -> None:
    """Guards against a takeover of running servers because their whole zone was delisted."""
    with scenarios.started(tmp_path) as scenario:
        server, keys = choose_victim(scenario)
        finish_load = scenario.start_load(16)
        scenario.sleep_until(2)
        cut_at = time.monotonic()
        scenario.running.cut_zone(1)
        scenario.sleep_until(3)
        names = [
            spec.name
            for specs in (scenario.running.backends_by_name, scenario.running.entry_vms_by_name)
            for spec in specs.values()
            if spec.zone == 1
        ]
        for name in names:
            scenario.running.remove_member(name)
        scenario.sleep_until(4.5)
        # The load has few requests for these keys in the cut, perhaps none at one of the VMs.
        finish_own_loads = [
            scenario.start_own_load(vm, tuple(keys), duration_s=4) for vm in ("vm-1a", "vm-1b")
        ]
        own_records = [record for finish in finish_own_loads for record in finish()]
        scenario.sleep_until(10)
        assert ran_elsewhere(scenario, server, keys, cut_at) == []
        for name in names:
            scenario.running.add_member(name)
        scenario.sleep_until(12)
        healed_at = time.monotonic()
        scenario.running.heal()
        caller_records = finish_load()
        scenario.check_served(caller_records)
        all_records = [*caller_records, *own_records]
        assert scenario.violations(all_records) == []
        # A request from outside that the cut delays may be answered after the cut has ended.
        answered_in_cut = answered(all_records, keys, cut_at + 2, healed_at - CALLER_DEADLINE_S)
        assert {record.entry_vm for record in answered_in_cut} == {"vm-1a", "vm-1b"}


def test_killed_server_that_does_not_check_tokens(tmp_path: pathlib.Path) -> None:
    """Guards against keys that wait for an operator although the server closed all connections."""
    with scenarios.started(tmp_path, checks_token=False) as scenario:
        finish_load = scenario.start_load(10)
        scenario.sleep_until(2)
        killed_at = scenario.running.kill("ab-1a")
        caller_records = finish_load()
        scenario.check_served(caller_records)
        assert scenario.violations(caller_records) == []
        assert (
            scenarios.last_failure_end(caller_records, scenarios.BROWSE_SERVICE)
            < killed_at + TAKEOVER_LIMIT_S
        )


def test_frozen_server_that_does_not_check_tokens(tmp_path: pathlib.Path) -> None:
    """Guards against a second owner while a server that does not check tokens is suspended.

    One request is in flight when the server is suspended, and its caller times out
    before it resumes.
    """
    with scenarios.started(tmp_path, checks_token=False) as scenario:
        server, keys = choose_victim(scenario)
        finish_load = scenario.start_load(16)
        scenario.sleep_until(2)
        path = f"/atlas/browse/{keys[0]}/held/slow?s=1"
        send_arguments = (test_requests.caller_addresses(scenario)[0], "POST", path, "held")
        request_thread = threading.Thread(target=test_requests.send, args=send_arguments)
        request_thread.start()
        time.sleep(0.3)
        suspended_at = time.monotonic()
        scenario.running.processes.suspend(server)
        time.sleep(2 * NO_TAKEOVER_S)
        request_thread.join()
        resumed_at = time.monotonic()
        assert ran_elsewhere(scenario, server, keys, suspended_at) == []
        scenario.running.processes.resume(server)
        caller_records = finish_load()
        scenario.check_served(caller_records)
        assert scenario.violations(caller_records) == []
        late = answered(caller_records, keys, resumed_at + 2, resumed_at + 60)
        assert {record.key for record in late} == set(keys)


@pytest.mark.parametrize("prefix", ["/atlas/browse/key-1", "/filing/desk/form"])
def test_request_that_crashes_servers(tmp_path: pathlib.Path, prefix: str) -> None:
    """Guards against a crashing request that takes down one server after another on retries."""
    with scenarios.started(tmp_path, backends_per_zone=2) as scenario:
        finish_load = scenario.start_load(16)
        scenario.sleep_until(2)
        addresses = test_requests.caller_addresses(scenario)
        number = 0
        while time.monotonic() < scenario.load_started_at + 12:
            address = addresses[number % len(addresses)]
            test_requests.send(address, "POST", f"{prefix}/same/crash", f"crash-{number}", 1000)
            number += 1
            time.sleep(0.05)
        caller_records = finish_load()
        lost_servers = [
            name
            for name in scenario.running.backends_by_name
            if not scenario.running.processes.is_running(name)
        ]
        assert 1 <= len(lost_servers) <= 2, lost_servers
        for service in (scenarios.BROWSE_SERVICE, scenarios.DESK_SERVICE):
            scenario.check_served(caller_records, service)
        assert scenario.violations(caller_records) == []
        late = [record for record in caller_records if record.start > scenario.load_started_at + 13]
        assert late
        assert all(record.outcome is records.Outcome.ANSWERED for record in late)
