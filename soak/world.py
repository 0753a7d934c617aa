"""The processes of a run, their links, and the faults that strike them."""

from __future__ import annotations

import itertools
import pathlib
import signal

from twisted.internet import defer, reactor

from soak import promises, proxy, schedule
from standins import key_server, range_world, scripted_backend

GRACE_S = 6.5
LATE_S = 3.0
DRAIN_S = 2.5
RESTART_S = 0.3
LINK_MODES = (proxy.Mode.DELAY, proxy.Mode.RESET, proxy.Mode.SILENT, proxy.Mode.ONE_WAY)
KEYED, PLAIN = "rota", "desk"


class World:
    """Entry VM processes, servers and a store, connected by proxies.

    Parameters
    ----------
    network : str
        First three octets of the loopback addresses of the entry VMs.
    """

    def __init__(
        self, folder: pathlib.Path, seen: promises.Promises, *, vms: int, servers: int, network: str
    ) -> None:
        self._seen = seen
        self._rows = range_world.RangeWorld(folder)
        self._store_links = {f"vm-{n}": proxy.Proxy(self._rows.store.address) for n in range(vms)}
        self._ips = {f"vm-{n}": f"{network}.{n + 1}" for n in range(vms)}
        self._links: dict[str, proxy.Proxy] = {}
        self._numbers = itertools.count(1)
        self._expected_down: set[str] = set()
        self._config_version = 1
        self._running: list[defer.Deferred[None]] = []
        for _ in range(servers):
            self._join(KEYED)
            self._join(PLAIN)
        self._rows.store.put("op", "config", range_world.config(self._config_version))

    @property
    def vms(self) -> list[str]:
        """Names of the entry VMs."""
        return list(self._ips)

    def address_of(self, vm: str) -> tuple[str, int]:
        """Return where callers reach an entry VM."""
        ports = self._rows.ports[vm]
        return str(ports["ip"]), int(ports["front"])

    async def start(self) -> None:
        """Start all entry VMs and wait until they are ready."""
        for vm in self.vms:
            self._start_vm(vm)
        await self._rows.until_ready(*self.vms, timeout=60)

    async def stop(self) -> None:
        """End everything that was started."""
        for link in (*self._store_links.values(), *self._links.values()):
            await link.stop()
        await self._rows.stop()

    def check_processes(self) -> None:
        """Record entry VMs that ended although nobody ended them."""
        for vm, process in self._rows.processes.items():
            if vm not in self._expected_down and process.poll() is not None:
                self._seen.broken.append(f"process: {vm} ended with {process.returncode}")
                self._start_vm(vm)

    def strike(self, event: schedule.Event) -> None:
        """Begin a fault; it ends by itself."""
        done = defer.Deferred.fromCoroutine(self._strike(event))
        done.addErrback(lambda failure: self._seen.broken.append(f"soak: {failure.getTraceback()}"))
        self._running.append(done)

    async def settle(self) -> None:
        """Wait for the end of all faults."""
        for done in self._running:
            await done

    async def _strike(self, event: schedule.Event) -> None:
        for_s = event.until - event.at
        match event.fault:
            case schedule.Fault.VM_KILL:
                await self._kill(self._some_vms(event), for_s)
            case schedule.Fault.ALL_VMS_KILL:
                await self._kill(self.vms, RESTART_S)
            case schedule.Fault.VM_STOP:
                await self._terminate(self._vm(event))
            case schedule.Fault.VM_PAUSE:
                await self._pause(self._vm(event), for_s)
            case schedule.Fault.VM_RELOAD:
                self._signal(self._vm(event), signal.SIGHUP)
            case schedule.Fault.STORE_LINK:
                links = [self._store_links[vm] for vm in self._some_vms(event)]
                await self._break(links, event, for_s)
            case schedule.Fault.SERVER_LINK:
                await self._break([self._links[self._server(event).server]], event, for_s)
            case schedule.Fault.SERVER_RESTART:
                await self._restart_server(self._server(event), for_s)
            case schedule.Fault.SERVER_LEAVES:
                await self._replace_server(self._server(event))
            case schedule.Fault.SERVER_ENTRY:
                await self._expire_entry(self._server(event), for_s)
            case schedule.Fault.ORDERS_LATE:
                await self._orders_late(self._server(event))
            case _:
                await self._strike_store(event, for_s)

    async def _strike_store(self, event: schedule.Event, for_s: float) -> None:
        store = self._rows.store
        match event.fault:
            case schedule.Fault.STORE_REFUSES:
                store.refusing = True
                await scripted_backend.sleep(for_s)
                store.refusing = False
            case schedule.Fault.STORE_LOSES:
                store.lose_answers = 3
                await scripted_backend.sleep(for_s)
                store.lose_answers = 0
            case schedule.Fault.STORE_LATE:
                store.late_writes = 2
                await scripted_backend.sleep(for_s)
                store.late_writes = 0
                store.apply_late()
            case schedule.Fault.STORE_COMPACTS:
                store.compact()
            case schedule.Fault.CONFIG:
                self._config_version += 1 + event.choice % 3
                store.put("op", "config", range_world.config(self._config_version))

    def _vm(self, event: schedule.Event) -> str:
        return self.vms[event.choice % len(self.vms)]

    def _some_vms(self, event: schedule.Event) -> list[str]:
        count = max(1, round(event.share * len(self.vms)))
        first = event.choice % len(self.vms)
        return [self.vms[(first + step) % len(self.vms)] for step in range(count)]

    def _server(self, event: schedule.Event) -> key_server.KeyServer:
        found = sorted(self._rows.servers)
        return self._rows.servers[found[event.choice % len(found)]]

    def _start_vm(self, vm: str) -> None:
        self._expected_down.discard(vm)
        self._rows.start_vm(vm, self._ips[vm], store=self._store_links[vm].address)

    def _signal(self, vm: str, number: signal.Signals) -> bool:
        """Send a signal to an entry VM; returns False if it is not running."""
        process = self._rows.processes[vm]
        if vm in self._expected_down or process.poll() is not None:
            return False
        process.send_signal(number)
        return True

    async def _kill(self, vms: list[str], for_s: float) -> None:
        struck = [vm for vm in vms if vm not in self._expected_down]
        for vm in struck:
            self._expected_down.add(vm)
            self._rows.processes[vm].send_signal(signal.SIGKILL)
        await scripted_backend.sleep(for_s)
        for vm in struck:
            self._rows.processes[vm].wait(5)
            self._start_vm(vm)

    async def _terminate(self, vm: str) -> None:
        if not self._signal(vm, signal.SIGTERM):
            return
        self._expected_down.add(vm)
        end = reactor.seconds() + GRACE_S
        while self._rows.processes[vm].poll() is None and reactor.seconds() < end:
            await scripted_backend.sleep(0.05)
        if self._rows.processes[vm].poll() is None:
            self._seen.broken.append(f"stop: {vm} still runs {GRACE_S} s after SIGTERM")
            self._rows.processes[vm].send_signal(signal.SIGKILL)
            self._rows.processes[vm].wait(5)
        self._start_vm(vm)

    async def _pause(self, vm: str, for_s: float) -> None:
        if self._signal(vm, signal.SIGSTOP):
            paused = self._rows.processes[vm]
            await scripted_backend.sleep(for_s)
            paused.send_signal(signal.SIGCONT)

    async def _break(self, links: list[proxy.Proxy], event: schedule.Event, for_s: float) -> None:
        mode = LINK_MODES[event.choice // 7 % len(LINK_MODES)]
        for link in links:
            link.set_mode(mode)
        await scripted_backend.sleep(for_s)
        for link in links:
            link.set_mode(proxy.Mode.OPEN)

    def _join(self, service: str, name: str = "") -> None:
        name = name or f"{service}-{next(self._numbers)}"
        server = self._rows.add_server(name, service)
        link = self._links.get(name)
        if link is None:
            link = self._links[name] = proxy.Proxy(server.http.address)
        link.target = server.http.address
        server.address = link.address
        self._rows.store.put("servers", name, server.entry())
        self._seen.watch(server)

    async def _end(self, server: key_server.KeyServer) -> None:
        self._rows.servers.pop(server.server, None)
        self._seen.forget(server)
        await server.stop()

    async def _restart_server(self, server: key_server.KeyServer, for_s: float) -> None:
        await self._end(server)
        await scripted_backend.sleep(for_s)
        self._join(server.service, server.server)

    async def _replace_server(self, server: key_server.KeyServer) -> None:
        server.state = "draining"
        self._rows.store.put("servers", server.server, server.entry())
        self._join(server.service)
        await scripted_backend.sleep(DRAIN_S)
        if self._rows.servers.get(server.server) is server:
            await self._end(server)
            self._rows.store.remove("servers", server.server)

    async def _expire_entry(self, server: key_server.KeyServer, for_s: float) -> None:
        if self._rows.servers.pop(server.server, None) is None:
            return
        self._rows.store.remove("servers", server.server)
        await scripted_backend.sleep(for_s)
        if server.server not in self._rows.servers:
            self._rows.servers[server.server] = server

    async def _orders_late(self, server: key_server.KeyServer) -> None:
        server.silent_orders = 3
        await scripted_backend.sleep(LATE_S)
        server.silent_orders = 0
        server.apply_late()
