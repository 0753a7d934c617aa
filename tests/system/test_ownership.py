"""At most one owner per key under kills, suspensions, network cuts, outages and pairs of them.

The checks read the backend servers' journals, not the router's state.
"""

from __future__ import annotations

import pathlib
import time

import pytest

from standins import cluster, records
from tests.system import scenarios

pytestmark = pytest.mark.system


def test_killed_server(tmp_path: pathlib.Path) -> None:
    """Guards against two owners, or none, after a server was killed."""
    with scenarios.started(tmp_path) as scenario:
        finish_load = scenario.start_load(8)
        scenario.sleep_until(2)
        scenario.running.kill("ab-1a")
        caller_records = finish_load()
        scenario.check_served(caller_records)
        assert scenario.violations(caller_records) == []
        longest = scenarios.longest_unavailable_s(caller_records)
        assert longest < scenarios.RECOVERY_LIMIT_S + scenarios.REQUEST_INTERVAL_S


def test_suspended_server_comes_back(tmp_path: pathlib.Path) -> None:
    """Guards against a resumed server that runs requests for keys that it no longer owns."""
    with scenarios.started(tmp_path) as scenario:
        finish_load = scenario.start_load(9)
        scenario.sleep_until(2)
        scenario.running.processes.suspend("ab-1a")
        scenario.sleep_until(5)
        scenario.running.processes.resume("ab-1a")
        caller_records = finish_load()
        scenario.check_served(caller_records)
        assert scenario.violations(caller_records) == []
        longest = scenarios.longest_unavailable_s(caller_records)
        assert longest < scenarios.RECOVERY_LIMIT_S + scenarios.REQUEST_INTERVAL_S


def test_short_suspension_around_the_lease_time(tmp_path: pathlib.Path) -> None:
    """Guards against two owners if a server resumes while its takeover is being committed."""
    with scenarios.started(tmp_path) as scenario:
        finish_load = scenario.start_load(12)
        for number, pause_s in enumerate((0.6, 0.9, 1.0, 1.1, 1.3)):
            scenario.sleep_until(1 + 2 * number)
            scenario.running.processes.suspend("ab-2a")
            time.sleep(pause_s)
            scenario.running.processes.resume("ab-2a")
        caller_records = finish_load()
        scenario.check_served(caller_records)
        assert scenario.violations(caller_records) == []


def test_suspended_entry_vm_comes_back(tmp_path: pathlib.Path) -> None:
    """Guards against late renewals and stale routes from an entry VM that was paused."""
    with scenarios.started(tmp_path, entry_vms_per_zone=3) as scenario:
        finish_load = scenario.start_load(10)
        scenario.sleep_until(2)
        scenario.running.processes.suspend("vm-1a")
        scenario.sleep_until(3)
        scenario.running.kill("ab-1a")
        scenario.sleep_until(6)
        scenario.running.processes.resume("vm-1a")
        caller_records = finish_load()
        scenario.check_served(caller_records)
        assert scenario.violations(caller_records) == []


def test_server_and_lessor_suspended_together(tmp_path: pathlib.Path) -> None:
    """Guards against a takeover without the promise of a lessor that is paused, not lost.

    The keys may be unserved while the lessor is suspended, but must not get a second owner.
    """
    with scenarios.started(tmp_path, entry_vms_per_zone=3) as scenario:
        finish_load = scenario.start_load(12)
        scenario.sleep_until(2)
        scenario.running.processes.suspend("vm-1a")
        scenario.running.processes.suspend("ab-1a")
        scenario.sleep_until(5)
        scenario.running.processes.resume("ab-1a")
        scenario.sleep_until(7)
        scenario.running.processes.resume("vm-1a")
        caller_records = finish_load()
        scenario.check_served(caller_records)
        assert scenario.violations(caller_records) == []


def test_server_that_only_a_cut_off_lessor_reaches(tmp_path: pathlib.Path) -> None:
    """Guards against a takeover without the promise of a lessor that still renews the lease.

    The lessor cannot reach its peers and the platform, and the peers cannot reach the server.
    """
    with scenarios.started(tmp_path, entry_vms_per_zone=3) as scenario:
        running = scenario.running
        server_ip = running.backend_addresses_by_name["ab-1a"].split(":")[0]
        peers = [name for name in running.entry_vms_by_name if name != "vm-1a"]
        peer_ips = [running.addresses_by_vm[name].peer.split(":")[0] for name in peers]
        finish_load = scenario.start_load(14)
        scenario.sleep_until(2)
        keys = tuple(key for key in scenarios.KEYS if scenario.owner_of(key) == "ab-1a")
        running.cut("vm-1a", [*peer_ips, cluster.PLATFORM_IP])
        for name in peers:
            running.cut(name, [server_ip])
        scenario.sleep_until(5)
        finish_own_load = scenario.start_own_load("vm-1a", keys, duration_s=2)
        own_records = finish_own_load()
        scenario.sleep_until(8)
        running.heal()
        caller_records = finish_load()
        scenario.check_served(caller_records)
        assert scenario.violations([*caller_records, *own_records]) == []
        own_request_ids = {run.request_id for run in running.runs() if run.server == "ab-1a"}
        served_keys = {r.key for r in own_records if r.request_id in own_request_ids}
        assert keys and served_keys == set(keys)


def test_zone_cut_from_the_others_and_the_platform(tmp_path: pathlib.Path) -> None:
    """Guards against a takeover of servers that run but cannot be reached, and an unserved zone."""
    with scenarios.started(tmp_path) as scenario:
        finish_load = scenario.start_load(14)
        scenario.sleep_until(2)
        cut_at = time.monotonic()
        scenario.running.cut_zone(1)
        scenario.sleep_until(8)
        healed_at = time.monotonic()
        scenario.running.heal()
        caller_records = finish_load()
        scenario.check_served(caller_records)
        assert scenario.violations(caller_records) == []
        answered_in_cut = [
            record
            for record in caller_records
            if record.entry_vm.startswith("vm-1")
            and record.outcome is records.Outcome.ANSWERED
            and cut_at + 2 < record.start < healed_at - 1
        ]
        own_request_ids = {
            run.request_id for run in scenario.running.runs() if run.server.startswith("ab-1")
        }
        assert any(record.request_id in own_request_ids for record in answered_in_cut)
        late = [r for r in caller_records if r.start > healed_at + 3]
        assert late
        assert all(r.outcome is records.Outcome.ANSWERED for r in late)


def test_lost_answers_of_the_store_during_takeovers(tmp_path: pathlib.Path) -> None:
    """Guards against a commit that is repeated or abandoned when the store's answer is lost."""
    with scenarios.started(tmp_path) as scenario:
        finish_load = scenario.start_load(12)
        scenario.sleep_until(2)
        scenario.running.set_platform_faults(lose_answers=6)
        scenario.running.kill("ab-1a")
        scenario.sleep_until(6)
        scenario.running.set_platform_faults(lose_answers=6)
        scenario.running.start_backend("ab-1a")
        caller_records = finish_load()
        scenario.check_served(caller_records)
        assert scenario.violations(caller_records) == []
        assert (
            scenarios.last_failure_end(caller_records, scenarios.BROWSE_SERVICE)
            < scenario.load_started_at + 8
        )


def test_moves_raced_by_suspended_placer(tmp_path: pathlib.Path) -> None:
    """Guards against concurrent moves of a shard by a paused entry VM and its successor."""
    with scenarios.started(tmp_path) as scenario:
        finish_load = scenario.start_load(14)
        scenario.sleep_until(1)
        assert scenario.running.command("drain", "ab-1a").returncode == 0
        for number, name in enumerate(("vm-1a", "vm-2a", "vm-3a", "vm-1b", "vm-2b", "vm-3b")):
            scenario.sleep_until(1.3 + 1.7 * number)
            scenario.running.processes.suspend(name)
            time.sleep(1.2)
            scenario.running.processes.resume(name)
        caller_records = finish_load()
        scenario.check_served(caller_records)
        assert scenario.violations(caller_records) == []


def test_server_and_lessor_killed_together(tmp_path: pathlib.Path) -> None:
    """Guards against keys that wait for an operator if a lessor is killed with their server."""
    with scenarios.started(tmp_path, entry_vms_per_zone=3) as scenario:
        finish_load = scenario.start_load(9)
        scenario.sleep_until(2)
        scenario.running.kill("vm-1a")
        scenario.running.kill("ab-1a")
        caller_records = finish_load()
        scenario.check_served(caller_records)
        assert scenario.violations(caller_records) == []
        longest = scenarios.longest_unavailable_s(caller_records)
        assert longest < scenarios.RECOVERY_LIMIT_S + scenarios.REQUEST_INTERVAL_S
