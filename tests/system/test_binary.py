"""Tests that the built archive runs as an entry VM of a cluster."""

from __future__ import annotations

import http.client
import os
import pathlib
import signal
import subprocess
import sys

import pytest

from standins import cluster, layout

pytestmark = pytest.mark.system

ROOT = pathlib.Path(__file__).parents[2]
PREFIX = "/atlas/browse/"


def build_archive(path: pathlib.Path) -> None:
    command = [sys.executable, str(ROOT / "scripts" / "build_archive.py"), "--output", str(path)]
    interpreter = ["--interpreter", f"{sys._base_executable} -IBS"]
    subprocess.run([*command, *interpreter], check=True, stdout=subprocess.DEVNULL, timeout=100)


def test_built_file_runs_an_entry_vm(tmp_path: pathlib.Path) -> None:
    """Guards against an archive without a module that only a running router imports."""
    binary = tmp_path / "celerystack"
    build_archive(binary)
    service = layout.ServiceSpec(name="atlas-browse", prefix=PREFIX)
    backends = [
        layout.BackendSpec(name=f"ab-{number}", service=service.name, zone=1) for number in (1, 2)
    ]
    with cluster.Cluster(tmp_path, services=[service], backends=backends, entry_vms=[]) as running:
        caller, peer, admin = (
            layout.free_address(f"127.{layout.worker_number()}.1.10") for _ in range(3)
        )
        environment = {
            "PATH": os.environ["PATH"],
            "CELERYSTACK_VM": "vm-1",
            "CELERYSTACK_ZONE": "z1",
            "CELERYSTACK_CALLER_ADDRESS": caller,
            "CELERYSTACK_PEER_ADDRESS": peer,
            "CELERYSTACK_ADMIN_ADDRESS": admin,
            "CELERYSTACK_TABLE_ADDRESS": running.platform_address,
            "CELERYSTACK_OBJECT_ADDRESS": running.platform_address,
            "CELERYSTACK_MEMBERSHIP_ADDRESS": running.platform_address,
            "CELERYSTACK_PEER_SECRETS": cluster.PEER_SECRET,
        }
        with subprocess.Popen(
            [str(binary), "router"], env=environment, stderr=subprocess.DEVNULL
        ) as router:
            try:
                layout.wait_until(
                    lambda: is_served(caller), what="an answered request", timeout_s=20
                )
                router.send_signal(signal.SIGTERM)
                assert router.wait(15) == 0
            finally:
                router.kill()


def is_served(address: str) -> bool:
    try:
        return layout.http_request(address, "GET", f"{PREFIX}key-1/x")[0] == http.client.OK
    except (OSError, http.client.HTTPException):
        return False
