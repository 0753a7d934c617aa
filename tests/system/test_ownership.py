"""At most one owner per key under kills, freezes, cuts, outages and pairs of them.

The checks read the backend servers' own journals, not the router's opinion.
"""

from __future__ import annotations

import pathlib
import time

import pytest

from standins import cluster, records
from tests.system import scenarios

pytestmark = pytest.mark.system


def test_killed_server(tmp_path: pathlib.Path) -> None:
    """Guards against a second owner, or no owner, after a server was killed."""
    with scenarios.started(tmp_path) as scenario:
        finish = scenario.start_load(8)
        scenario.sleep_until(2)
        scenario.running.kill("ab-1a")
        found = finish()
        scenario.check_served(found)
        assert scenario.violations(found) == []
        longest = scenarios.longest_unavailable_s(found)
        assert longest < scenarios.SERVED_AGAIN_S + scenarios.POLL_SLACK_S


def test_frozen_server_comes_back(tmp_path: pathlib.Path) -> None:
    """Guards against a server that wakes up and runs requests for keys that it has lost."""
    with scenarios.started(tmp_path) as scenario:
        finish = scenario.start_load(9)
        scenario.sleep_until(2)
        scenario.running.processes.freeze("ab-1a")
        scenario.sleep_until(5)
        scenario.running.processes.thaw("ab-1a")
        found = finish()
        scenario.check_served(found)
        assert scenario.violations(found) == []
        longest = scenarios.longest_unavailable_s(found)
        assert longest < scenarios.SERVED_AGAIN_S + scenarios.POLL_SLACK_S


def test_short_freeze_around_the_lease_time(tmp_path: pathlib.Path) -> None:
    """Guards against a server that wakes up while its takeover is being committed."""
    with scenarios.started(tmp_path) as scenario:
        finish = scenario.start_load(12)
        for number, pause_s in enumerate((0.6, 0.9, 1.0, 1.1, 1.3)):
            scenario.sleep_until(1 + 2 * number)
            scenario.running.processes.freeze("ab-2a")
            time.sleep(pause_s)
            scenario.running.processes.thaw("ab-2a")
        found = finish()
        scenario.check_served(found)
        assert scenario.violations(found) == []


def test_frozen_entry_vm_comes_back(tmp_path: pathlib.Path) -> None:
    """Guards against late renewals and stale routes of an entry VM that was paused."""
    with scenarios.started(tmp_path, entry_vms_per_zone=3) as scenario:
        finish = scenario.start_load(10)
        scenario.sleep_until(2)
        scenario.running.processes.freeze("vm-1a")
        scenario.sleep_until(3)
        scenario.running.kill("ab-1a")
        scenario.sleep_until(6)
        scenario.running.processes.thaw("vm-1a")
        found = finish()
        scenario.check_served(found)
        assert scenario.violations(found) == []


def test_server_and_lessor_frozen_together(tmp_path: pathlib.Path) -> None:
    """Guards against a takeover without the promise of a lessor that is only paused.

    The keys may stay without service while the lessor is frozen; there must be no second owner.
    """
    with scenarios.started(tmp_path, entry_vms_per_zone=3) as scenario:
        finish = scenario.start_load(12)
        scenario.sleep_until(2)
        scenario.running.processes.freeze("vm-1a")
        scenario.running.processes.freeze("ab-1a")
        scenario.sleep_until(5)
        scenario.running.processes.thaw("ab-1a")
        scenario.sleep_until(7)
        scenario.running.processes.thaw("vm-1a")
        found = finish()
        scenario.check_served(found)
        assert scenario.violations(found) == []


def test_server_that_only_a_cut_off_lessor_reaches(tmp_path: pathlib.Path) -> None:
    """Guards against a takeover without the promise of a lessor that still renews the lease.

    The lessor is cut off from all peers and the platform, and they are cut off from the server.
    """
    with scenarios.started(tmp_path, entry_vms_per_zone=3) as scenario:
        running = scenario.running
        server_ip = running.backend_addresses_by_name["ab-1a"].split(":")[0]
        peers = [name for name in running.entry_vms_by_name if name != "vm-1a"]
        peer_ips = [running.addresses_by_vm[name].peer.split(":")[0] for name in peers]
        finish = scenario.start_load(14)
        scenario.sleep_until(2)
        running.cut("vm-1a", [*peer_ips, cluster.PLATFORM_IP])
        for name in peers:
            running.cut(name, [server_ip])
        cut_at = time.monotonic()
        scenario.sleep_until(8)
        healed_at = time.monotonic()
        running.heal()
        found = finish()
        scenario.check_served(found)
        assert scenario.violations(found) == []
        own = {run.request_id for run in running.runs() if run.server == "ab-1a"}
        assert any(
            record.request_id in own
            for record in found
            if record.entry_vm == "vm-1a" and cut_at + 3 < record.start < healed_at - 1
        )


def test_zone_cut_from_the_others_and_the_platform(tmp_path: pathlib.Path) -> None:
    """Guards against taking over servers that only cannot be reached, and against an idle zone."""
    with scenarios.started(tmp_path) as scenario:
        finish = scenario.start_load(14)
        scenario.sleep_until(2)
        cut_at = time.monotonic()
        scenario.running.cut_zone(1)
        scenario.sleep_until(8)
        healed_at = time.monotonic()
        scenario.running.heal()
        found = finish()
        scenario.check_served(found)
        assert scenario.violations(found) == []
        inside = [
            record
            for record in found
            if record.entry_vm.startswith("vm-1")
            and record.outcome is records.Outcome.ANSWERED
            and cut_at + 2 < record.start < healed_at - 1
        ]
        own = {run.request_id for run in scenario.running.runs() if run.server.startswith("ab-1")}
        assert any(record.request_id in own for record in inside)
        late = [r for r in found if r.start > healed_at + 3]
        assert late
        assert all(r.outcome is records.Outcome.ANSWERED for r in late)


def test_lost_answers_of_the_store_during_takeovers(tmp_path: pathlib.Path) -> None:
    """Guards against committing twice, or not at all, when the store's answer is lost."""
    with scenarios.started(tmp_path) as scenario:
        finish = scenario.start_load(12)
        scenario.sleep_until(2)
        scenario.running.set_platform(lose_answers=6)
        scenario.running.kill("ab-1a")
        scenario.sleep_until(6)
        scenario.running.set_platform(lose_answers=6)
        scenario.running.start_backend("ab-1a")
        found = finish()
        scenario.check_served(found)
        assert scenario.violations(found) == []
        assert scenarios.last_failure_end(found, scenarios.BROWSE) < scenario.started_at + 8


def test_moves_raced_by_frozen_placer(tmp_path: pathlib.Path) -> None:
    """Guards against two entry VMs that move the same shard: a paused one and its successor."""
    with scenarios.started(tmp_path) as scenario:
        finish = scenario.start_load(14)
        scenario.sleep_until(1)
        assert scenario.running.command("drain", "ab-1a").returncode == 0
        for number, name in enumerate(("vm-1a", "vm-2a", "vm-3a", "vm-1b", "vm-2b", "vm-3b")):
            scenario.sleep_until(1.3 + 1.7 * number)
            scenario.running.processes.freeze(name)
            time.sleep(1.2)
            scenario.running.processes.thaw(name)
        found = finish()
        scenario.check_served(found)
        assert scenario.violations(found) == []


def test_server_and_lessor_killed_together(tmp_path: pathlib.Path) -> None:
    """Guards against keys that wait for an operator because a lessor ended with their server."""
    with scenarios.started(tmp_path, entry_vms_per_zone=3) as scenario:
        finish = scenario.start_load(9)
        scenario.sleep_until(2)
        scenario.running.kill("vm-1a")
        scenario.running.kill("ab-1a")
        found = finish()
        scenario.check_served(found)
        assert scenario.violations(found) == []
        longest = scenarios.longest_unavailable_s(found)
        assert longest < scenarios.SERVED_AGAIN_S + scenarios.POLL_SLACK_S
