"""Rotation of the peer secret by rolling restarts of the entry VMs."""

from __future__ import annotations

import dataclasses
import pathlib

import pytest

from standins import cluster, records
from tests.system import scenarios

pytestmark = pytest.mark.system

NEW_SECRET = "secret-after-the-rotation"
RESTART_S = 4.0


@pytest.mark.timeout(180)
def test_peer_secret_is_rotated_by_restarts(tmp_path: pathlib.Path) -> None:
    """Guards against rejected peers and failed requests during a rotation of the secret."""
    steps = (
        f"{cluster.PEER_SECRET},{NEW_SECRET}",
        f"{NEW_SECRET},{cluster.PEER_SECRET}",
        NEW_SECRET,
    )
    with scenarios.started(tmp_path) as scenario:
        names = list(scenario.running.entry_vms_by_name)
        finish_load = scenario.start_load(4 + RESTART_S * len(names) * len(steps), rate=120.0)
        scenario.sleep_until(1)
        for secrets in steps:
            for name in names:
                scenario.running.processes.terminate(name, timeout_s=20)
                spec = scenario.running.entry_vms_by_name[name]
                scenario.running.entry_vms_by_name[name] = dataclasses.replace(
                    spec, environment={**spec.environment, "CELERYSTACK_PEER_SECRETS": secrets}
                )
                scenario.running.start_entry_vm(name)
        caller_records = finish_load()
        scenario.check_served(caller_records)
        assert scenario.violations(caller_records) == []
        assert [r for r in caller_records if r.outcome is not records.Outcome.ANSWERED][:3] == []
