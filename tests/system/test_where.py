"""Entry VMs that are asked where requests go, compared with where the requests went."""

from __future__ import annotations

import functools
import json
import pathlib

import pytest

from standins import layout
from tests.system import scenarios

pytestmark = pytest.mark.system


def test_where_agrees_with_the_servers_that_run_the_requests(tmp_path: pathlib.Path) -> None:
    """Guards against an answer that differs from what entry VMs do with the same request."""
    with scenarios.started(
        tmp_path, entry_vms_per_zone=1, backends_per_zone=1, browse_fields={"hot_keys": False}
    ) as scenario:
        running = scenario.running

        def where(vm: str, *arguments: str) -> tuple[int, str, str]:
            admin = running.addresses_by_vm[vm].admin
            result = running.command("where", *arguments, "--admin-address", admin)
            return result.returncode, result.stdout, result.stderr

        prefix = running.services_by_name[scenarios.BROWSE_SERVICE].prefix

        def agrees(vm: str, key: str) -> bool:
            code, out, _ = where(vm, "GET", f"{prefix}{key}", "--json")
            server = json.loads(out)["server"]
            caller = running.addresses_by_vm[vm].caller
            status, _ = layout.http_request(caller, "GET", f"{prefix}{key}")
            assert (code, status, bool(server["lessors"])) == (0, 200, True)
            return server["id"] == scenario.owner_of(key)

        for number, key in enumerate(scenarios.KEYS[:6]):
            # The shard may move between the query and the request.
            layout.wait_until(
                functools.partial(agrees, f"vm-{number % 3 + 1}a", key),
                what=f"query and request for {key} at the same server",
                timeout_s=10.0,
            )
        assert "lowest score of 3 usable servers" in where("vm-1a", "GET", "/filing/desk/x")[1]
        code, _, error = where("vm-1a", "GET", "/nowhere/x")
        assert (code, "no service owns this path" in error) == (1, True)
        running.kill("vm-1a")
        code, _, error = where("vm-1a", "GET", f"{prefix}key-1")
        assert (code, "no entry VM answers" in error) == (1, True)
