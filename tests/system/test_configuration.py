"""Tests that an accepted configuration reaches all entry VMs in time and never reverts."""

from __future__ import annotations

import json
import pathlib
import shutil
import time
from concurrent import futures

import pytest

from standins import layout
from tests.system import scenarios

pytestmark = pytest.mark.system

PROPAGATION_LIMIT_S = 11.0
"""Longest time until an accepted configuration is in force on all entry VMs."""


def version_at(scenario: scenarios.Scenario, vm: str) -> int:
    address = scenario.running.addresses_by_vm[vm].admin
    return json.loads(layout.http_request(address, "GET", "/status")[1])["config_version"]


def apply_change(scenario: scenarios.Scenario, number: int) -> None:
    folder = scenario.running.folder / "configuration"
    text = f'[service.extra-{number}]\nprefixes = ["/extra/{number}/"]\ndivided = false\n'
    (folder / f"30-extra-{number}.toml").write_text(text)
    scenario.running.apply()


def wait_version(scenario: scenarios.Scenario, names: list[str], version: int) -> float:
    return layout.wait_until(
        lambda: all(version_at(scenario, name) >= version for name in names),
        what=f"configuration {version} in force",
        timeout_s=PROPAGATION_LIMIT_S,
    )


def test_change_is_in_force_everywhere(tmp_path: pathlib.Path) -> None:
    """Guards against entry VMs that miss a change, such as one that was suspended or cut off."""
    with scenarios.started(tmp_path) as scenario:
        names = list(scenario.running.entry_vms_by_name)
        version_before = version_at(scenario, names[0])
        apply_change(scenario, 1)
        wait_version(scenario, names, version_before + 1)
        scenario.running.cut_zone(3)
        scenario.running.processes.suspend("vm-1a")
        apply_change(scenario, 2)
        wait_version(scenario, ["vm-1b", "vm-2a", "vm-2b"], version_before + 2)
        assert version_at(scenario, "vm-3a") == version_before + 1
        scenario.running.processes.resume("vm-1a")
        scenario.running.heal()
        wait_version(scenario, names, version_before + 2)


def test_version_never_reverts(tmp_path: pathlib.Path) -> None:
    """Guards against a return to an older version from peers or after a restart in an outage."""
    with scenarios.started(tmp_path) as scenario:
        names = list(scenario.running.entry_vms_by_name)
        version_before = version_at(scenario, names[0])
        scenario.running.processes.suspend("vm-2a")
        apply_change(scenario, 1)
        running_names = [name for name in names if name != "vm-2a"]
        wait_version(scenario, running_names, version_before + 1)
        scenario.running.set_platform_faults(outage="refuse")
        scenario.running.processes.resume("vm-2a")
        scenario.running.kill("vm-1a")
        scenario.running.start_entry_vm("vm-1a")
        deadline = time.monotonic() + 4
        while time.monotonic() < deadline:
            assert all(version_at(scenario, name) >= version_before + 1 for name in running_names)
            time.sleep(0.1)
        wait_version(scenario, names, version_before + 1)
        scenario.running.set_platform_faults(outage="none")


def test_racing_operators(tmp_path: pathlib.Path) -> None:
    """Guards against losing one of two operators' changes, and against an invalid merge."""
    with scenarios.started(tmp_path, entry_vms_per_zone=1) as scenario:
        first_folder = scenario.running.folder / "configuration"
        second_folder = scenario.running.folder / "second"
        second_folder.mkdir()
        for path in first_folder.iterdir():
            (second_folder / path.name).write_bytes(path.read_bytes())
        (first_folder / "40-first.toml").write_text('[service.one]\nprefixes = ["/one/"]\n')
        (second_folder / "41-second.toml").write_text('[service.two]\nprefixes = ["/two/"]\n')
        assert scenario.running.command("apply", str(first_folder)).returncode == 0
        assert scenario.running.command("apply", str(second_folder)).returncode == 0
        (first_folder / "50-same.toml").write_text('[service.three]\nprefixes = ["/three/"]\n')
        (second_folder / "50-same.toml").write_text('[service.three]\nprefixes = ["/drei/"]\n')
        assert scenario.running.command("apply", str(first_folder)).returncode == 0
        conflict = scenario.running.command("apply", str(second_folder))
        assert conflict.returncode == 4
        assert "50-same.toml" in conflict.stderr
        (second_folder / "50-same.toml").unlink()
        (second_folder / "60-overlap.toml").write_text('[service.four]\nprefixes = ["/three/x/"]\n')
        invalid = scenario.running.command("apply", str(second_folder))
        assert invalid.returncode == 3
        assert "/three/" in invalid.stderr


def test_operators_who_commit_at_the_same_time(tmp_path: pathlib.Path) -> None:
    """Guards against an unconditional commit, which overwrites the other operator's change."""
    with scenarios.started(tmp_path, entry_vms_per_zone=1) as scenario:
        running = scenario.running
        first_folder = running.folder / "configuration"
        second_folder = running.folder / "second"
        shutil.copytree(first_folder, second_folder)
        (first_folder / "40-first.toml").write_text('[service.one]\nprefixes = ["/one/"]\n')
        (second_folder / "41-second.toml").write_text('[service.two]\nprefixes = ["/two/"]\n')
        version_before = version_at(scenario, "vm-1a")
        # The delay lets both read the same version before the first one commits.
        running.set_platform_faults(delay_s=0.3)
        with futures.ThreadPoolExecutor(2) as operators:
            results = operators.map(
                lambda folder: running.command("apply", str(folder)), (first_folder, second_folder)
            )
            assert [result.returncode for result in results] == [0, 0]
        running.set_platform_faults(delay_s=0.0)
        wait_version(scenario, list(running.entry_vms_by_name), version_before + 2)
        for addresses in running.addresses_by_vm.values():
            for path in ("/one/key", "/two/key"):
                assert layout.http_request(addresses.caller, "GET", path, timeout_s=5)[0] != 404, (
                    path
                )
