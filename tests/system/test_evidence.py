"""Takeovers that promises cannot allow: only evidence of loss may give the keys a new owner."""

from __future__ import annotations

import json
import pathlib
import threading
import time

import pytest

from standins import journal, layout, records
from tests.system import scenarios, test_requests

pytestmark = pytest.mark.system

BLOCKED_S = 5.0
"""Time for which the keys must stay without owner; several times a takeover by promises."""

EVIDENCE_S = 5.0
"""Bound of "a few seconds" for a takeover after evidence that arrives by polling."""


CALLER_DEADLINE_S = 2.0
"""Time budget of the requests of the load."""

SETTLED_S = 4.0
"""Time without a change of owner after which the first assignment counts as balanced."""


def victim_of(scenario: scenarios.Scenario) -> tuple[str, list[str]]:
    """Return the server of zone 1 that owns most of the keys, and these keys.

    The first balancing moves must be over, so that no key changes its owner for another reason.
    """
    address = next(iter(scenario.running.addresses_by_vm.values())).caller
    deadline = time.monotonic() + 30.0
    known: dict[str, str] = {}
    since = time.monotonic()
    while time.monotonic() < since + SETTLED_S:
        assert time.monotonic() < deadline, "keys go on changing their owners"
        for key in scenarios.KEYS:
            assert layout.call(address, "GET", f"/atlas/browse/{key}/who")[0] == 200
        owners = {key: scenario.owner_of(key) for key in scenarios.KEYS}
        if owners != known:
            known, since = owners, time.monotonic()
        time.sleep(0.5)
    server = max(("ab-1a", "ab-1b"), key=list(known.values()).count)
    keys = [key for key, owner in known.items() if owner == server]
    assert keys, known
    return server, keys


def ran_elsewhere(
    scenario: scenarios.Scenario, server: str, keys: list[str], after: float
) -> list[journal.Run]:
    """Return the runs of a server's keys by other servers that started after a time."""
    return [
        run
        for run in scenario.running.runs()
        if run.service == scenarios.BROWSE
        and run.key in keys
        and run.server != server
        and run.start > after
    ]


def answered(
    found: list[records.CallerRecord], keys: list[str], start: float, end: float
) -> list[records.CallerRecord]:
    """Return the answered requests for the keys that started in a time range."""
    return [
        record
        for record in found
        if record.service == scenarios.BROWSE
        and record.key in keys
        and record.outcome is records.Outcome.ANSWERED
        and start <= record.start < end
    ]


def check_served_again(
    found: list[records.CallerRecord], keys: list[str], *, blocked_at: float, evidence_at: float
) -> None:
    """Fail if the keys were served before the evidence, or not all of them soon after it."""
    # A request that waits for an owner may start shortly before the evidence.
    assert answered(found, keys, blocked_at, evidence_at - CALLER_DEADLINE_S) == []
    late = [
        record
        for record in found
        if record.service == scenarios.BROWSE
        and record.key in keys
        and record.start > evidence_at + EVIDENCE_S
    ]
    assert {record.key for record in late} == set(keys)
    assert all(record.outcome is records.Outcome.ANSWERED for record in late)


def audit_entries(scenario: scenarios.Scenario, action: str) -> list[dict[str, object]]:
    """Return the audit entries of one action."""
    listed = scenario.running.command("audit", "--action", action, "--json")
    assert listed.returncode == 0, listed.stderr
    return [json.loads(line) for line in listed.stdout.splitlines()]


def test_release_by_the_operator(tmp_path: pathlib.Path) -> None:
    """Guards against a takeover without a lost lessor's promise, and against an idle release."""
    with scenarios.started(tmp_path, entry_vms_per_zone=3) as scenario:
        server, keys = victim_of(scenario)
        finish = scenario.start_load(18)
        scenario.sleep_until(2)
        scenario.running.processes.freeze("vm-1a")
        killed_at = scenario.running.kill(server)
        time.sleep(BLOCKED_S)
        assert ran_elsewhere(scenario, server, keys, killed_at) == []
        assert scenario.running.command("release", server).returncode == 2
        time.sleep(1.0)
        assert ran_elsewhere(scenario, server, keys, killed_at) == []
        release_at = time.monotonic()
        assert scenario.running.command("release", server, "--yes").returncode == 0
        assert scenario.running.command("release", server, "--yes").returncode == 0
        scenario.running.processes.thaw("vm-1a")
        found = finish()
        scenario.check_served(found)
        assert scenario.violations(found) == []
        check_served_again(found, keys, blocked_at=killed_at, evidence_at=release_at)
        entries = audit_entries(scenario, "release")
        assert [entry["subject"] for entry in entries] == [f"server/{server}"]


def test_delisted_server(tmp_path: pathlib.Path) -> None:
    """Guards against ignoring the membership list as evidence, or needing an operator then."""
    with scenarios.started(tmp_path, entry_vms_per_zone=3) as scenario:
        server, keys = victim_of(scenario)
        finish = scenario.start_load(18)
        scenario.sleep_until(2)
        scenario.running.processes.freeze("vm-1a")
        killed_at = scenario.running.kill(server)
        time.sleep(BLOCKED_S)
        assert ran_elsewhere(scenario, server, keys, killed_at) == []
        delisted_at = time.monotonic()
        scenario.running.remove_member(server)
        scenario.sleep_until(delisted_at + 2.0 - scenario.started_at)
        scenario.running.processes.thaw("vm-1a")
        found = finish()
        scenario.check_served(found)
        assert scenario.violations(found) == []
        check_served_again(found, keys, blocked_at=killed_at, evidence_at=delisted_at)


def test_delisted_zone_that_is_cut_off(tmp_path: pathlib.Path) -> None:
    """Guards against a takeover of running servers because their whole zone was delisted."""
    with scenarios.started(tmp_path) as scenario:
        server, keys = victim_of(scenario)
        finish = scenario.start_load(16)
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
        scenario.sleep_until(10)
        assert ran_elsewhere(scenario, server, keys, cut_at) == []
        for name in names:
            scenario.running.add_member(name)
        scenario.sleep_until(12)
        healed_at = time.monotonic()
        scenario.running.heal()
        found = finish()
        scenario.check_served(found)
        assert scenario.violations(found) == []
        # A request from outside that is held by the cut may be answered after the end of the cut.
        inside = answered(found, keys, cut_at + 2, healed_at - CALLER_DEADLINE_S)
        assert {record.entry_vm for record in inside} == {"vm-1a", "vm-1b"}


def test_killed_server_that_does_not_check_tokens(tmp_path: pathlib.Path) -> None:
    """Guards against keys that wait for an operator although all connections were closed."""
    with scenarios.started(tmp_path, checks_token=False) as scenario:
        finish = scenario.start_load(10)
        scenario.sleep_until(2)
        killed_at = scenario.running.kill("ab-1a")
        found = finish()
        scenario.check_served(found)
        assert scenario.violations(found) == []
        assert scenarios.last_failure_end(found, scenarios.BROWSE) < killed_at + EVIDENCE_S


def test_frozen_server_that_does_not_check_tokens(tmp_path: pathlib.Path) -> None:
    """Guards against a second owner beside a server that cannot reject old requests.

    One request runs when the server is frozen, and its caller gives up before the server resumes.
    """
    with scenarios.started(tmp_path, checks_token=False) as scenario:
        server, keys = victim_of(scenario)
        finish = scenario.start_load(16)
        scenario.sleep_until(2)
        path = f"/atlas/browse/{keys[0]}/held/slow?s=1"
        arguments = (test_requests.callers(scenario)[0], "POST", path, "held")
        held = threading.Thread(target=test_requests.send, args=arguments)
        held.start()
        time.sleep(0.3)
        frozen_at = time.monotonic()
        scenario.running.processes.freeze(server)
        time.sleep(2 * BLOCKED_S)
        held.join()
        thawed_at = time.monotonic()
        assert ran_elsewhere(scenario, server, keys, frozen_at) == []
        scenario.running.processes.thaw(server)
        found = finish()
        scenario.check_served(found)
        assert scenario.violations(found) == []
        late = answered(found, keys, thawed_at + 2, thawed_at + 60)
        assert {record.key for record in late} == set(keys)


@pytest.mark.parametrize("prefix", ["/atlas/browse/key-1", "/filing/desk/form"])
def test_request_that_crashes_servers(tmp_path: pathlib.Path, prefix: str) -> None:
    """Guards against a request that ends one server after the other when it is sent again."""
    with scenarios.started(tmp_path, backends_per_zone=2) as scenario:
        finish = scenario.start_load(16)
        scenario.sleep_until(2)
        addresses = test_requests.callers(scenario)
        number = 0
        while time.monotonic() < scenario.started_at + 12:
            address = addresses[number % len(addresses)]
            test_requests.send(address, "POST", f"{prefix}/same/crash", f"crash-{number}", 1000)
            number += 1
            time.sleep(0.05)
        found = finish()
        lost = [
            name
            for name in scenario.running.backends_by_name
            if not scenario.running.processes.is_running(name)
        ]
        assert 1 <= len(lost) <= 2, lost
        for service in (scenarios.BROWSE, scenarios.DESK):
            scenario.check_served(found, service)
        assert scenario.violations(found) == []
        late = [record for record in found if record.start > scenario.started_at + 13]
        assert late
        assert all(record.outcome is records.Outcome.ANSWERED for record in late)
