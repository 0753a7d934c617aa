"""Entry VM processes on loopback, with the row store and the servers inside the test process."""

from __future__ import annotations

import json
import os
import pathlib
import signal
import socket
import subprocess
import sys
import time

from twisted.internet import defer, protocol, reactor, task

from standins import key_server, layout, row_store, scripted_backend

HEARTBEAT_S = 0.3
HOST = "rota.example"
SETTINGS = """
[identity]
node_name = "{vm}"
zone = "{zone}"
ip_address = "{ip}"
[identity.limits]
{limits}
[network]
internal_port_range = [{udp}, {udp_end}]
[network.listen_addresses]
front = "{ip}:{front}"
ready = "{ip}:{ready}"
[platform]
heartbeat_interval = "300ms"
[platform.platform]
address = "{store}"
[terms.parameters]
drain = "2000ms"
config_apply = "2000ms"
grace_period = "6s"
retry_budget_ratio = 0.2
retry_window = "10s"
retry_budget_slack = 60
"""

LIMITS = {"cpu_share": 0.86, "cpu_cores": 1, "memory_mb": 300, "link_mbps": 1000.0}
"""Limits of an entry VM in its settings, unless a test changes them."""


def config_row_value(version: int, **changes) -> bytes:
    """Return the value of a configuration row; ``changes`` replace its top-level fields."""

    def route(name, service, kind):
        return {
            "name": name,
            "host": HOST,
            "prefix": f"/{name}/",
            "kind": kind,
            "timeout": "1500ms",
            "target_latency": "400ms",
            "priority": 1,
            "service": service,
            "max_attempts": 2,
        }

    def service(name, **overrides):
        return {"name": name, "health_check_path": "/health", "max_connections": 100} | overrides

    fields = {
        "version": f"r{version}",
        "routes": [
            route("view", "rota", "safe"),
            route("desk", "desk", "unsafe"),
        ],
        "services": [service("rota", sharded=True, warm_up="2s"), service("desk")],
        "limits": {
            "max_header_bytes": 16384,
            "max_body_bytes": 1048576,
            "header_timeout": "3000ms",
            "idle_timeout": "15000ms",
        },
    }
    return json.dumps(fields | changes).encode()


class OneShotRequest(protocol.Protocol):
    """Sends one request; ``done`` fires with status, headers and body, or status 0 on failure."""

    def __init__(self, data: bytes) -> None:
        self._request_bytes = data
        self._received = b""
        self.done: defer.Deferred = defer.Deferred()

    def connectionMade(self):  # noqa: N802
        self.transport.write(self._request_bytes)

    def dataReceived(self, data):  # noqa: N802
        self._received += data
        head, separator, body = self._received.partition(b"\r\n\r\n")
        if not separator or self.done.called:
            return
        lines = head.decode().split("\r\n")
        headers = {k.lower(): v for k, v in (line.split(": ", 1) for line in lines[1:])}
        if len(body) >= int(headers.get("content-length", 0)):
            self.done.callback((int(lines[0].split(" ")[1]), headers, body))
            self.transport.loseConnection()

    def connectionLost(self, reason=protocol.connectionDone):  # noqa: N802
        if not self.done.called:
            self.done.callback((0, {}, b""))


class RangeCluster:
    """A row store, servers that write heartbeat rows to it, and entry VM processes."""

    def __init__(self, folder: pathlib.Path, *, extra_settings: str = "") -> None:
        self._folder = folder
        self._extra_settings = extra_settings
        self.store = row_store.RowStore()
        self.servers: dict[str, key_server.KeyServer] = {}
        self.processes: dict[str, subprocess.Popen] = {}
        self.ports: dict[str, dict[str, object]] = {}
        self._heartbeat_loop = task.LoopingCall(self._heartbeat)
        self._heartbeat_loop.start(HEARTBEAT_S)
        self._request_count = 0

    def _heartbeat(self) -> None:
        if self.store.refusing:
            return
        for name, server in self.servers.items():
            self.store.put("servers", name, server.entry())

    def add_server(
        self, name: str, service: str, *, zone: str = "z1", **options
    ) -> key_server.KeyServer:
        server = self.servers[name] = key_server.KeyServer(name, service, zone, **options)
        if not self.store.refusing:
            self.store.put("servers", name, server.entry())
        return server

    async def restart_server(self, name: str) -> key_server.KeyServer:
        """End a server; its next incarnation starts at the same address and knows nothing."""
        old = self.servers.pop(name)
        await old.stop()
        return self.add_server(name, old.service, run_s=old.run_s, port=old.http.port)

    def remove_entry(self, name: str) -> None:
        """Remove a server and its heartbeat row; the server itself keeps running."""
        self.servers.pop(name)
        self.store.remove("servers", name)

    def start_vm(
        self,
        vm: str,
        ip: str,
        *,
        store: str = "",
        zone: str = "z1",
        limits: dict[str, float] | None = None,
    ) -> None:
        """Start an entry VM; a restart uses the ports of the first start.

        ``limits`` replace single entries of `LIMITS`.
        """
        ports = self.ports.setdefault(
            vm,
            {
                "ip": ip,
                "front": layout.free_port(ip),
                "ready": layout.free_port(ip),
                "udp": layout.free_port(ip, socket.SOCK_DGRAM),
            },
        )
        path = self._folder / f"{vm}.toml"
        lines = [f"{name} = {value}" for name, value in (LIMITS | (limits or {})).items()]
        path.write_text(
            SETTINGS.format(
                limits="\n".join(lines),
                vm=vm,
                zone=zone,
                store=store or self.store.address,
                udp_end=int(ports["udp"]) + 1,
                **ports,
            )
            + self._extra_settings
        )
        source = str(pathlib.Path(__file__).parents[1] / "src")
        environment = os.environ | {"CELERYSTACK_NODE_FILE": str(path), "PYTHONPATH": source}
        with open(self._folder / f"{vm}.log", "ab") as log:
            self.processes[vm] = subprocess.Popen(
                [sys.executable, "-m", "celerystack.platform"],
                env=environment,
                stdout=log,
                stderr=subprocess.STDOUT,
            )

    def log(self, vm: str) -> str:
        return (self._folder / f"{vm}.log").read_text()

    async def wait_ready(self, *vms: str, timeout_s: float = 15.0) -> None:
        end = time.monotonic() + timeout_s
        for vm in vms:
            while (await self._send_request(vm, "ready", "/readiness"))[0] != 200:
                if time.monotonic() > end:
                    raise AssertionError(f"entry VM {vm} is not ready: {self.log(vm)[-3000:]}")
                await scripted_backend.sleep(0.05)

    async def request(
        self, vm: str, path: str, *, key: int | None = None, method: str = "GET"
    ) -> tuple[int, dict[str, str], bytes]:
        self._request_count += 1
        headers = {
            "Host": HOST,
            "Celerystack-Request-Attempt-Id": f"request-{self._request_count}",
            "Celerystack-Deadline-Remaining-Ms": "1500",
        }
        if key is not None:
            headers["Celerystack-Shard-Key"] = str(key)
        if method == "POST":
            headers["Content-Length"] = "0"
        return await self._send_request(vm, "front", path, headers, method)

    async def request_until_served(self, vm: str, path: str, *, key: int, timeout_s: float = 10.0):
        """Repeat a request until it is answered 200 or ``timeout_s`` seconds have passed."""
        end = time.monotonic() + timeout_s
        while True:
            status, headers, body = await self.request(vm, path, key=key)
            if status == 200 or time.monotonic() > end:
                return status, headers, body
            await scripted_backend.sleep(0.1)

    async def _send_request(self, vm, listener, path, headers=None, method="GET"):
        ports = self.ports[vm]
        headers = headers or {"Host": "x"}
        lines = [f"{method} {path} HTTP/1.1", *(f"{k}: {v}" for k, v in headers.items()), "", ""]
        data = "\r\n".join(lines).encode()
        creator = protocol.ClientCreator(reactor, OneShotRequest, data)
        try:
            request = await creator.connectTCP(ports["ip"], ports[listener])
        except Exception:
            return 0, {}, b""
        request.done.addTimeout(5, reactor, onTimeoutCancel=lambda *_: (0, {}, b""))
        return await request.done

    async def stop(self) -> None:
        for process in self.processes.values():
            if process.poll() is None:
                process.send_signal(signal.SIGKILL)
                process.wait()
        self._heartbeat_loop.stop()
        for server in self.servers.values():
            await server.stop()
        await self.store.stop()
