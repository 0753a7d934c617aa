"""Outcomes of requests with repeated ids, incomplete answers or malformed input."""

from __future__ import annotations

import collections
import http.client
import pathlib
import socket
import threading

import pytest

from standins import layout
from tests.system import scenarios

pytestmark = pytest.mark.system


def send(address: str, method: str, path: str, request_id: str, deadline_ms: int = 2000):
    """Send one request; returns status, outcome and body, or None on a connection error."""
    connection = http.client.HTTPConnection(address, timeout=deadline_ms / 1000 + 2)
    try:
        headers = {"X-Request-Id": request_id, "X-Deadline-Ms": str(deadline_ms)}
        connection.request(method, path, body=b"x" if method == "POST" else None, headers=headers)
        response = connection.getresponse()
        return response.status, response.headers["X-Celerystack-Outcome"], response.read()
    except (OSError, http.client.HTTPException):
        return None
    finally:
        connection.close()


def caller_addresses(scenario: scenarios.Scenario) -> list[str]:
    return [addresses.caller for addresses in scenario.running.addresses_by_vm.values()]


def test_repeated_ids_run_at_most_once(tmp_path: pathlib.Path) -> None:
    """Guards against running a request twice if its caller repeats it at other entry VMs."""
    with scenarios.started(tmp_path) as scenario:
        addresses = caller_addresses(scenario)
        for service in ("/atlas/browse/key-1", "/filing/desk/form"):
            for number in range(20):
                request_id = f"repeat-{service[1:6]}-{number}"
                path = f"{service}/{request_id}"
                threads = [
                    threading.Thread(target=send, args=(address, "POST", path, request_id))
                    for address in addresses
                ]
                for thread in threads:
                    thread.start()
                for thread in threads:
                    thread.join()
                send(addresses[number % len(addresses)], "POST", path, request_id)
        runs_by_id = collections.Counter(run.request_id for run in scenario.running.runs())
        repeated_runs_by_id = {
            name: count for name, count in runs_by_id.items() if name.startswith("repeat-")
        }
        assert len(repeated_runs_by_id) >= 30
        assert max(repeated_runs_by_id.values()) == 1


def test_repeat_after_the_loss_of_an_entry_vm(tmp_path: pathlib.Path) -> None:
    """Guards against claims of request ids that are lost with one entry VM."""
    with scenarios.started(tmp_path) as scenario:
        addresses = caller_addresses(scenario)
        request_ids = [f"kept-{number}" for number in range(30)]
        for name in request_ids:
            assert send(addresses[-1], "POST", f"/filing/desk/form/{name}", name)
        scenario.running.kill("vm-1a")
        scenario.running.start_entry_vm("vm-1a")
        for name in request_ids:
            send(addresses[-2], "POST", f"/filing/desk/form/{name}", name)
        runs_by_id = collections.Counter(run.request_id for run in scenario.running.runs())
        assert [name for name in request_ids if runs_by_id[name] != 1] == []


def test_broken_answers_are_never_passed_on_as_whole(tmp_path: pathlib.Path) -> None:
    """Guards against truncated, stalled or late answers that are passed on as complete."""
    with scenarios.started(tmp_path, entry_vms_per_zone=1) as scenario:
        address = caller_addresses(scenario)[0]
        for kind in ("truncated", "stalled", "slow?s=3"):
            result = send(address, "POST", f"/atlas/browse/key-1/a/{kind}", f"id-{kind[:5]}", 1000)
            assert result is None or result[1] == "unknown", (kind, result)
        result = send(address, "GET", "/atlas/browse/key-1/a/large?bytes=3000000", "large-1", 8000)
        assert result is not None
        assert result[1] == "answered"
        assert len(result[2]) > 3_000_000


def test_malformed_input_does_not_end_the_process(tmp_path: pathlib.Path) -> None:
    """Guards against a crash or request smuggling by malformed input."""
    post = b"POST /atlas/browse/k HTTP/1.1\r\nHost: x\r\n"
    samples = [
        b"\x00\xff\x00\r\n\r\n",
        b"GET /atlas/browse/k HTTP/9.9\r\nHost: x\r\n\r\n",
        post + b"Content-Length: 3\r\nContent-Length: 5\r\n\r\nabc",
        post + b"Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
        post + b"Transfer-Encoding: chunked\r\n\r\nzz\r\n",
        b"GET /atlas/browse/k HTTP/1.1\r\nHost: x\r\nX-Big: " + b"a" * 200_000 + b"\r\n\r\n",
    ]
    with scenarios.started(tmp_path, entry_vms_per_zone=1) as scenario:
        addresses = scenario.running.addresses_by_vm["vm-1a"]
        for address in (addresses.caller, addresses.peer, addresses.admin):
            host, port = address.split(":")
            for sample in samples:
                with socket.create_connection((host, int(port)), timeout=3) as connection:
                    connection.sendall(sample)
                    connection.settimeout(1)
                    try:
                        reply = connection.recv(65536)
                    except OSError:
                        reply = b""
                    if address == addresses.caller and reply:
                        assert reply.split(b" ")[1][:1] in (b"4", b"5"), reply[:100]
        assert send(addresses.caller, "GET", "/no/such/service", "n-1")[:2] == (404, "not-run")
        assert send(addresses.caller, "GET", "/atlas/browse/", "n-2")[:2] == (400, "not-run")
        assert send(addresses.caller, "GET", "/atlas/browse/key-1/x", "n-3")[1] == "answered"
        assert layout.http_request(addresses.admin, "GET", "/healthz")[0] == 200
        runs = [run for run in scenario.running.runs() if run.key == "k"]
        assert runs == []
