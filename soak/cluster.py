"""The processes of a run, the proxied links between them, and fault injection."""

from __future__ import annotations

import itertools
import json
import pathlib
import signal
import time

from twisted.internet import defer, reactor

from soak import invariants, proxy, schedule
from standins import key_server, range_cluster, scripted_backend

SHUTDOWN_TIMEOUT_S = 6.5  # exceeds `grace_period` in `range_cluster.SETTINGS`
LATE_ORDERS_S = 3.0
DRAIN_S = 2.5
RESTART_DELAY_S = 0.3
STORE_AWAY_S = 0.4
FOREIGN_SERVICE = "metrics"
"""Service that no configuration names."""
FOREIGN_STEPS_MS = (5_000, 0, -5_000, 1)
"""Start times in another writer's entries, in milliseconds after that of the server they name."""
CLOCK_STEPS_MS = (0, -2_400, 2_400)
"""Steps of a server's clock between two of its starts, in milliseconds."""
LINK_MODES = (proxy.Mode.DELAY, proxy.Mode.RESET, proxy.Mode.SILENT, proxy.Mode.ONE_WAY)
KEYED_SERVICE, UNKEYED_SERVICE = "rota", "desk"


class SoakCluster:
    """Entry VM processes, servers and a store, connected by proxies.

    Parameters
    ----------
    network : str
        First three octets of the loopback addresses of the entry VMs.
    """

    def __init__(
        self,
        folder: pathlib.Path,
        checker: invariants.InvariantChecker,
        *,
        vms: int,
        servers: int,
        network: str,
    ) -> None:
        self._checker = checker
        self._range_cluster = range_cluster.RangeCluster(folder)
        self._store_link_by_vm = {
            f"vm-{n}": proxy.Proxy(self._range_cluster.store.address) for n in range(vms)
        }
        self._ip_by_vm = {f"vm-{n}": f"{network}.{n + 1}" for n in range(vms)}
        self._link_by_server: dict[str, proxy.Proxy] = {}
        self._server_numbers = itertools.count(1)
        self._expected_down: set[str] = set()
        self._config_version = 1
        self._active_faults: list[defer.Deferred[None]] = []
        for _ in range(servers):
            self._add_server(KEYED_SERVICE)
            self._add_server(UNKEYED_SERVICE)
        self._range_cluster.store.put(
            "op", "config", range_cluster.config_row_value(self._config_version)
        )

    @property
    def vms(self) -> list[str]:
        """Names of the entry VMs."""
        return list(self._ip_by_vm)

    def address_of(self, vm: str) -> tuple[str, int]:
        """Return where callers reach an entry VM."""
        ports = self._range_cluster.ports[vm]
        return str(ports["ip"]), int(ports["front"])

    async def start(self) -> None:
        """Start all entry VMs and wait until they are ready."""
        for vm in self.vms:
            self._start_vm(vm)
        await self._range_cluster.wait_ready(*self.vms, timeout_s=60)

    async def stop(self) -> None:
        """Stop all links, entry VMs, servers and the store."""
        for link in (*self._store_link_by_vm.values(), *self._link_by_server.values()):
            await link.stop()
        await self._range_cluster.stop()

    async def terminate(self, vm: str) -> None:
        """Terminate an entry VM, start it again, and wait until it is ready."""
        await self._terminate(vm)
        await self._range_cluster.wait_ready(vm, timeout_s=30)

    def set_answer_padding(self, size: int) -> None:
        """Set the number of bytes by which the servers lengthen their answers."""
        for server in self._range_cluster.servers.values():
            server.padding_bytes = size

    def has_run(self, request_id: str) -> bool:
        """Return whether a server has run a request."""
        return self._checker.has_run(request_id)

    def add_route(self, path: str) -> None:
        """Write a configuration with one more route, to the service without keys."""
        self._config_version += 1
        fields = json.loads(range_cluster.config_row_value(self._config_version))
        added = fields["routes"][-1] | {"name": path, "prefix": f"/{path}/"}
        fields["routes"].append(added)
        self._range_cluster.store.put("op", "config", json.dumps(fields).encode())

    async def move_keys(self, key: int, *, timeout_s: float) -> bool:
        """Let the holder of a key drain; return whether another server holds the key in time."""
        servers = self._range_cluster.servers.values()
        holder = next((server for server in servers if server.holds(key)), None)
        if holder is None:
            return False
        deadline = time.monotonic() + timeout_s
        replaced = defer.Deferred.fromCoroutine(self._replace_server(holder))
        while not any(server.holds(key) for server in servers if server is not holder):
            if time.monotonic() > deadline:
                return False
            await scripted_backend.sleep(0.05)
        await replaced
        return True

    def check_processes(self) -> None:
        """Record and restart entry VMs that ended although no fault ended them."""
        for vm, process in self._range_cluster.processes.items():
            if vm not in self._expected_down and process.poll() is not None:
                self._checker.violations.append(f"process: {vm} ended with {process.returncode}")
                self._start_vm(vm)

    def inject(self, event: schedule.Event) -> None:
        """Start a fault, which ends after its own duration."""
        fault_done = defer.Deferred.fromCoroutine(self._inject(event))
        fault_done.addErrback(
            lambda failure: self._checker.violations.append(f"soak: {failure.getTraceback()}")
        )
        self._active_faults.append(fault_done)

    async def wait_for_faults(self) -> None:
        """Wait until all started faults have ended."""
        for fault_done in self._active_faults:
            await fault_done

    async def _inject(self, event: schedule.Event) -> None:
        duration_s = event.end_s - event.start_s
        match event.fault:
            case schedule.Fault.VM_KILL:
                await self._kill(self._select_vms(event), duration_s)
            case schedule.Fault.ALL_VMS_KILL:
                await self._kill(self.vms, RESTART_DELAY_S)
            case schedule.Fault.VM_STOP:
                await self._terminate(self._select_vm(event))
            case schedule.Fault.VM_PAUSE:
                await self._pause(self._select_vm(event), duration_s)
            case schedule.Fault.VM_RELOAD:
                self._signal(self._select_vm(event), signal.SIGHUP)
            case schedule.Fault.STORE_LINK:
                links = [self._store_link_by_vm[vm] for vm in self._select_vms(event)]
                await self._fail_links(links, event, duration_s)
            case schedule.Fault.SERVER_LINK:
                await self._fail_links(
                    [self._link_by_server[self._select_server(event).server]], event, duration_s
                )
            case schedule.Fault.SERVER_RESTART:
                step_ms = CLOCK_STEPS_MS[event.selector // 11 % len(CLOCK_STEPS_MS)]
                await self._restart_server(self._select_server(event), duration_s, step_ms)
            case schedule.Fault.SERVER_LEAVES:
                await self._replace_server(self._select_server(event))
            case schedule.Fault.SERVER_ENTRY:
                await self._expire_entry(self._select_server(event), duration_s)
            case schedule.Fault.FOREIGN_ENTRY:
                self._write_foreign_entry(self._select_server(event), event.selector)
            case schedule.Fault.ORDERS_LATE:
                await self._delay_orders(self._select_server(event))
            case _:
                await self._inject_store_fault(event, duration_s)

    async def _inject_store_fault(self, event: schedule.Event, duration_s: float) -> None:
        store = self._range_cluster.store
        match event.fault:
            case schedule.Fault.STORE_REFUSES:
                store.refusing = True
                await scripted_backend.sleep(duration_s)
                store.refusing = False
            case schedule.Fault.STORE_LOSES:
                store.lose_answers = 3
                await scripted_backend.sleep(duration_s)
                store.lose_answers = 0
            case schedule.Fault.STORE_LATE:
                store.late_writes = 2
                await scripted_backend.sleep(duration_s)
                store.late_writes = 0
                store.apply_late()
            case schedule.Fault.STORE_COMPACTS:
                store.compact()
            case schedule.Fault.STORE_RETURNS:
                copy = store.copy()
                await scripted_backend.sleep(duration_s)
                store.refusing = True
                await scripted_backend.sleep(STORE_AWAY_S)
                store.come_back(copy)
            case schedule.Fault.CONFIG:
                self._config_version += 1 + event.selector % 3
                store.put("op", "config", range_cluster.config_row_value(self._config_version))

    def _select_vm(self, event: schedule.Event) -> str:
        return self.vms[event.selector % len(self.vms)]

    def _select_vms(self, event: schedule.Event) -> list[str]:
        count = max(1, round(event.share * len(self.vms)))
        first = event.selector % len(self.vms)
        return [self.vms[(first + step) % len(self.vms)] for step in range(count)]

    def _select_server(self, event: schedule.Event) -> key_server.KeyServer:
        names = sorted(self._range_cluster.servers)
        return self._range_cluster.servers[names[event.selector % len(names)]]

    def _start_vm(self, vm: str) -> None:
        self._expected_down.discard(vm)
        self._range_cluster.start_vm(
            vm, self._ip_by_vm[vm], store=self._store_link_by_vm[vm].address
        )

    def _signal(self, vm: str, signal_number: signal.Signals) -> bool:
        """Send a signal to an entry VM; returns False if it is not running."""
        process = self._range_cluster.processes[vm]
        if vm in self._expected_down or process.poll() is not None:
            return False
        process.send_signal(signal_number)
        return True

    async def _kill(self, vms: list[str], duration_s: float) -> None:
        killed = [vm for vm in vms if vm not in self._expected_down]
        for vm in killed:
            self._expected_down.add(vm)
            self._range_cluster.processes[vm].send_signal(signal.SIGKILL)
        await scripted_backend.sleep(duration_s)
        for vm in killed:
            self._range_cluster.processes[vm].wait(5)
            self._start_vm(vm)

    async def _terminate(self, vm: str) -> None:
        if not self._signal(vm, signal.SIGTERM):
            return
        self._expected_down.add(vm)
        deadline = reactor.seconds() + SHUTDOWN_TIMEOUT_S
        while self._range_cluster.processes[vm].poll() is None and reactor.seconds() < deadline:
            await scripted_backend.sleep(0.05)
        if self._range_cluster.processes[vm].poll() is None:
            self._checker.violations.append(
                f"stop: {vm} still runs {SHUTDOWN_TIMEOUT_S} s after SIGTERM"
            )
            self._range_cluster.processes[vm].send_signal(signal.SIGKILL)
            self._range_cluster.processes[vm].wait(5)
        self._start_vm(vm)

    async def _pause(self, vm: str, duration_s: float) -> None:
        if self._signal(vm, signal.SIGSTOP):
            paused = self._range_cluster.processes[vm]
            await scripted_backend.sleep(duration_s)
            paused.send_signal(signal.SIGCONT)

    async def _fail_links(
        self, links: list[proxy.Proxy], event: schedule.Event, duration_s: float
    ) -> None:
        mode = LINK_MODES[event.selector // 7 % len(LINK_MODES)]
        for link in links:
            link.set_mode(mode)
        await scripted_backend.sleep(duration_s)
        for link in links:
            link.set_mode(proxy.Mode.OPEN)

    def _add_server(self, service: str, name: str = "", *, clock_step_ms: int = 0) -> None:
        name = name or f"{service}-{next(self._server_numbers)}"
        server = self._range_cluster.add_server(name, service, clock_step_ms=clock_step_ms)
        link = self._link_by_server.get(name)
        if link is None:
            link = self._link_by_server[name] = proxy.Proxy(server.http.address)
        link.target = server.http.address
        server.address = link.address
        self._range_cluster.store.put("servers", name, server.entry())
        self._checker.add_server(server)

    async def _stop_server(self, server: key_server.KeyServer) -> None:
        self._range_cluster.servers.pop(server.server, None)
        self._checker.remove_server(server)
        await server.stop()

    async def _restart_server(
        self, server: key_server.KeyServer, duration_s: float, clock_step_ms: int
    ) -> None:
        """End a server and start it again, with its machine's clock set by a step."""
        await self._stop_server(server)
        await scripted_backend.sleep(duration_s)
        self._add_server(server.service, server.server, clock_step_ms=clock_step_ms)

    async def _replace_server(self, server: key_server.KeyServer) -> None:
        server.state = "draining"
        self._range_cluster.store.put("servers", server.server, server.entry())
        self._add_server(server.service)
        await scripted_backend.sleep(DRAIN_S)
        if self._range_cluster.servers.get(server.server) is server:
            await self._stop_server(server)
            self._range_cluster.store.remove("servers", server.server)

    def _write_foreign_entry(self, server: key_server.KeyServer, selector: int) -> None:
        """Write, as another writer, an entry at the address or under the id of a server.

        One at the address stays until the end of the run.
        """
        fields = json.loads(server.entry())
        fields["born"] += FOREIGN_STEPS_MS[selector // 56 % len(FOREIGN_STEPS_MS)]
        is_like_its_own = bool(selector // 28 % 2)
        if not is_like_its_own and selector // 7 % 2:
            fields["service"] = FOREIGN_SERVICE
        elif not is_like_its_own:
            fields["state"] = "exporting"
        key = server.server if selector // 14 % 2 else f"other-{selector}"
        self._range_cluster.store.put("servers", key, json.dumps(fields).encode())

    async def _expire_entry(self, server: key_server.KeyServer, duration_s: float) -> None:
        if self._range_cluster.servers.pop(server.server, None) is None:
            return
        self._range_cluster.store.remove("servers", server.server)
        await scripted_backend.sleep(duration_s)
        if server.server not in self._range_cluster.servers:
            self._range_cluster.servers[server.server] = server

    async def _delay_orders(self, server: key_server.KeyServer) -> None:
        server.unanswered_orders_left = 3
        await scripted_backend.sleep(LATE_ORDERS_S)
        server.unanswered_orders_left = 0
        server.apply_late()
