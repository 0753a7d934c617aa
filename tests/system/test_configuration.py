"""An accepted configuration is in force everywhere within seconds and never reverts."""

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

IN_FORCE_S = 11.0
"""Target: in force everywhere within 11 s."""


def version_at(scenario: scenarios.Scenario, vm: str) -> int:
    address = scenario.running.addresses_by_vm[vm].admin
    return json.loads(layout.call(address, "GET", "/status")[1])["config_version"]


def apply_change(scenario: scenarios.Scenario, number: int) -> None:
    folder = scenario.running.folder / "configuration"
    text = f'[service.extra-{number}]\nprefixes = ["/extra/{number}/"]\ndivided = false\n'
    (folder / f"30-extra-{number}.toml").write_text(text)
    scenario.running.apply()


def wait_version(scenario: scenarios.Scenario, names: list[str], version: int) -> float:
    return layout.wait_until(
        lambda: all(version_at(scenario, name) >= version for name in names),
        what=f"configuration {version} in force",
        timeout_s=IN_FORCE_S,
    )


def test_change_is_in_force_everywhere(tmp_path: pathlib.Path) -> None:
    """Guards against entry VMs that miss a change, also one that was frozen or cut off."""
    with scenarios.started(tmp_path) as scenario:
        names = list(scenario.running.entry_vms_by_name)
        before = version_at(scenario, names[0])
        apply_change(scenario, 1)
        wait_version(scenario, names, before + 1)
        scenario.running.cut_zone(3)
        scenario.running.processes.freeze("vm-1a")
        apply_change(scenario, 2)
        wait_version(scenario, ["vm-1b", "vm-2a", "vm-2b"], before + 2)
        assert version_at(scenario, "vm-3a") == before + 1
        scenario.running.processes.thaw("vm-1a")
        scenario.running.heal()
        wait_version(scenario, names, before + 2)


def test_version_never_reverts(tmp_path: pathlib.Path) -> None:
    """Guards against an older version after restarts in an outage and beside older peers."""
    with scenarios.started(tmp_path) as scenario:
        names = list(scenario.running.entry_vms_by_name)
        before = version_at(scenario, names[0])
        scenario.running.processes.freeze("vm-2a")
        apply_change(scenario, 1)
        others = [name for name in names if name != "vm-2a"]
        wait_version(scenario, others, before + 1)
        scenario.running.set_platform(outage="refuse")
        scenario.running.processes.thaw("vm-2a")
        scenario.running.kill("vm-1a")
        scenario.running.start_entry_vm("vm-1a")
        deadline = time.monotonic() + 4
        while time.monotonic() < deadline:
            assert all(version_at(scenario, name) >= before + 1 for name in others)
            time.sleep(0.1)
        wait_version(scenario, names, before + 1)
        scenario.running.set_platform(outage="none")


def test_racing_operators(tmp_path: pathlib.Path) -> None:
    """Guards against a lost change of one of two operators, and against an invalid merge."""
    with scenarios.started(tmp_path, entry_vms_per_zone=1) as scenario:
        base = scenario.running.folder / "configuration"
        second = scenario.running.folder / "second"
        second.mkdir()
        for path in base.iterdir():
            (second / path.name).write_bytes(path.read_bytes())
        (base / "40-first.toml").write_text('[service.one]\nprefixes = ["/one/"]\n')
        (second / "41-second.toml").write_text('[service.two]\nprefixes = ["/two/"]\n')
        assert scenario.running.command("apply", str(base)).returncode == 0
        assert scenario.running.command("apply", str(second)).returncode == 0
        (base / "50-same.toml").write_text('[service.three]\nprefixes = ["/three/"]\n')
        (second / "50-same.toml").write_text('[service.three]\nprefixes = ["/drei/"]\n')
        assert scenario.running.command("apply", str(base)).returncode == 0
        conflict = scenario.running.command("apply", str(second))
        assert conflict.returncode == 4
        assert "50-same.toml" in conflict.stderr
        (second / "50-same.toml").unlink()
        (second / "60-overlap.toml").write_text('[service.four]\nprefixes = ["/three/x/"]\n')
        invalid = scenario.running.command("apply", str(second))
        assert invalid.returncode == 3
        assert "/three/" in invalid.stderr


def test_operators_who_commit_at_the_same_time(tmp_path: pathlib.Path) -> None:
    """Guards against a commit without conditions, which loses the other operator's change."""
    with scenarios.started(tmp_path, entry_vms_per_zone=1) as scenario:
        running = scenario.running
        base = running.folder / "configuration"
        second = running.folder / "second"
        shutil.copytree(base, second)
        (base / "40-first.toml").write_text('[service.one]\nprefixes = ["/one/"]\n')
        (second / "41-second.toml").write_text('[service.two]\nprefixes = ["/two/"]\n')
        before = version_at(scenario, "vm-1a")
        # Both read the same version before the first of them commits.
        running.set_platform(delay_s=0.3)
        with futures.ThreadPoolExecutor(2) as operators:
            results = operators.map(
                lambda folder: running.command("apply", str(folder)), (base, second)
            )
            assert [result.returncode for result in results] == [0, 0]
        running.set_platform(delay_s=0.0)
        wait_version(scenario, list(running.entry_vms_by_name), before + 2)
        for addresses in running.addresses_by_vm.values():
            for path in ("/one/key", "/two/key"):
                assert layout.call(addresses.caller, "GET", path, timeout_s=5)[0] != 404, path
