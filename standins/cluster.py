"""A complete cluster on loopback addresses: platform, backend servers, entry VMs and callers.

Zone ``z<n>`` has the addresses NETWORK.n.x; the platform is at NETWORK.9.1. Callers connect from
127.0.0.1, so a cut between zones does not affect them.
"""

from __future__ import annotations

import http.client
import json
import pathlib
import socket
import subprocess
import sys
from collections.abc import Callable, Iterable, Iterator
from typing import Self

from standins import entry_vm, journal, layout, load, processes, records

PLATFORM = "platform"
NETWORK = f"127.{layout.worker_number()}"
"""Each parallel test worker uses a separate network."""
PLATFORM_IP = f"{NETWORK}.9.1"
PEER_SECRET = "cluster-of-stand-ins-secret"
READY_TIMEOUT_S = 20.0
WARM_UP_KEYS = 32
ERRORS_SHOWN_MAX = 3
ENTRY_VM_HOST_NUMBER_MIN = 10
BACKEND_HOST_NUMBER_MIN = 100


class Cluster:
    """Context manager that starts the processes of a cluster and ends all of them on exit.

    Parameters
    ----------
    folder : pathlib.Path
        Empty folder for logs, journals, records and the configuration.
    """

    def __init__(
        self,
        folder: pathlib.Path,
        *,
        services: Iterable[layout.ServiceSpec],
        backends: Iterable[layout.BackendSpec],
        entry_vms: Iterable[layout.EntryVmSpec],
    ) -> None:
        self.folder = folder
        self.processes = processes.Processes(folder)
        self.services_by_name = {spec.name: spec for spec in services}
        self.backends_by_name = {spec.name: spec for spec in backends}
        self.entry_vms_by_name = {spec.name: spec for spec in entry_vms}
        self.platform_address = layout.free_address(PLATFORM_IP)
        self.backend_addresses_by_name = dict(self._backend_addresses())
        self.addresses_by_vm = dict(self._entry_vm_addresses())
        self._killed_at_by_journal: dict[pathlib.Path, float] = {}
        self._load_count = 0

    def _backend_addresses(self) -> Iterator[tuple[str, str]]:
        for number, spec in enumerate(self.backends_by_name.values(), BACKEND_HOST_NUMBER_MIN):
            yield spec.name, layout.free_address(f"{NETWORK}.{spec.zone}.{number}")

    def _entry_vm_addresses(self) -> Iterator[tuple[str, layout.EntryVmAddresses]]:
        for number, spec in enumerate(self.entry_vms_by_name.values(), ENTRY_VM_HOST_NUMBER_MIN):
            ip = f"{NETWORK}.{spec.zone}.{number}"
            ports = {name: layout.free_address(ip) for name in ("caller", "peer", "admin")}
            yield (
                spec.name,
                layout.EntryVmAddresses(
                    **ports, control=layout.free_address(ip, socket.SOCK_DGRAM)
                ),
            )

    def __enter__(self) -> Self:
        try:
            self.start_platform()
            for name in self.backends_by_name:
                self.start_backend(name, wait=False)
            self.write_configuration()
            self.apply()
            for name in self.entry_vms_by_name:
                self.start_entry_vm(name, wait=False)
            for name in self.backends_by_name:
                self.wait_ready(self.backend_addresses_by_name[name], "/health", name)
            for name in self.entry_vms_by_name:
                self.wait_ready(self.addresses_by_vm[name].admin, "/readyz", name)
        except BaseException:
            self.processes.end_all()
            raise
        return self

    def __exit__(self, *_: object) -> None:
        self.processes.end_all()

    def start_platform(self) -> None:
        """Start the platform with an empty table and all VMs in the membership list."""
        host, port = self.platform_address.split(":")
        self.processes.start(PLATFORM, "standins.platform", ("--host", host, "--port", port))
        self.wait_ready(self.platform_address, "/control", PLATFORM)
        for spec in self.backends_by_name.values():
            self.add_member(spec.name)
        for spec in self.entry_vms_by_name.values():
            self.add_member(spec.name)

    def start_backend(self, name: str, *, wait: bool = True) -> None:
        """Start a backend server, or start it again after it ended."""
        spec = self.backends_by_name[name]
        service = self.services_by_name[spec.service]
        address = self.backend_addresses_by_name[name]
        host, port = address.split(":")
        starts = 1 + len(self._journal_paths(name))
        path = self.folder / f"{name}.{starts}.journal"
        path.touch()
        flags = ["--host", host, "--port", port, "--id", name, "--service", spec.service]
        flags += ["--journal", str(path), *spec.flags]
        if not service.divided:
            flags.append("--undivided")
        if not service.checks_token:
            flags.append("--unchecked")
        self.processes.start(name, "standins.backend", tuple(flags))
        if wait:
            self.wait_ready(address, "/health", name)

    def start_entry_vm(self, name: str, *, wait: bool = True) -> None:
        """Start an entry VM, or start it again after it ended."""
        spec = self.entry_vms_by_name[name]
        addresses = self.addresses_by_vm[name]
        peers = [
            vm_addresses.peer for vm, vm_addresses in self.addresses_by_vm.items() if vm != name
        ]
        environment = {
            "CELERYSTACK_VM": name,
            "CELERYSTACK_ZONE": f"z{spec.zone}",
            "CELERYSTACK_CALLER_ADDRESS": addresses.caller,
            "CELERYSTACK_PEER_ADDRESS": addresses.peer,
            "CELERYSTACK_ADMIN_ADDRESS": addresses.admin,
            **self._platform_environment(),
            "CELERYSTACK_PEERS": ",".join(peers),
            "CELERYSTACK_PEER_SECRETS": PEER_SECRET,
            entry_vm.CONTROL_ADDRESS_VARIABLE: addresses.control,
            **spec.environment,
        }
        self.processes.start(name, "standins.entry_vm", ("router",), environment)
        if wait:
            self.wait_ready(addresses.admin, "/readyz", name)

    def _platform_environment(self) -> dict[str, str]:
        names = ("TABLE", "OBJECT", "MEMBERSHIP")
        return {f"CELERYSTACK_{name}_ADDRESS": self.platform_address for name in names}

    def wait_ready(self, address: str, path: str, name: str) -> None:
        """Wait until ``path`` answers 200.

        Raises
        ------
        RuntimeError
            The process ended or was not ready in time; the message contains its log.
        """

        def ready() -> bool:
            if not self.processes.is_running(name):
                raise RuntimeError(f"process {name} ended:\n{self.processes.log(name)}")
            try:
                return layout.http_request(address, "GET", path)[0] == http.client.OK
            except (OSError, http.client.HTTPException):
                return False

        try:
            layout.wait_until(
                ready, what=f"status 200 of {path} of {name}", timeout_s=READY_TIMEOUT_S
            )
        except TimeoutError as error:
            raise RuntimeError(f"{error}:\n{self.processes.log(name)}") from error

    def write_configuration(self) -> pathlib.Path:
        """Write the configuration folder and return it."""
        folder = self.folder / "configuration"
        folder.mkdir(exist_ok=True)
        services = {
            spec.name: {
                "prefixes": [spec.prefix],
                "divided": spec.divided,
                **({"shards": spec.shards} if spec.divided else {}),
                "checks_token": spec.checks_token,
                **spec.fields,
            }
            for spec in self.services_by_name.values()
        }
        servers = {
            spec.name: {
                "service": spec.service,
                "zone": f"z{spec.zone}",
                "address": self.backend_addresses_by_name[spec.name],
            }
            for spec in self.backends_by_name.values()
        }
        (folder / "10-services.toml").write_text(layout.toml("service", services))
        (folder / "20-servers.toml").write_text(layout.toml("server", servers))
        return folder

    def apply(self) -> None:
        """Apply the configuration folder; raises RuntimeError if the subcommand fails."""
        result = self.command("apply", str(self.folder / "configuration"))
        if result.returncode:
            raise RuntimeError(f"apply failed:\n{result.stdout}{result.stderr}")

    def command(self, *arguments: str) -> subprocess.CompletedProcess[str]:
        """Run a celerystack subcommand and wait for it."""
        return subprocess.run(
            [sys.executable, "-m", "celerystack", *arguments],
            cwd=processes.ROOT,
            env=processes.python_environment(self._platform_environment()),
            capture_output=True,
            text=True,
            timeout=READY_TIMEOUT_S,
            check=False,
        )

    def kill(self, name: str) -> float:
        """Kill a process; returns the `time.monotonic` time at which it had ended."""
        ended_at = self.processes.kill(name)
        if name in self.backends_by_name:
            self._killed_at_by_journal[self._journal_paths(name)[-1]] = ended_at
        return ended_at

    def set_platform_faults(self, **switches: object) -> None:
        """Set switches of the platform stand-in, such as ``outage="refuse"``."""
        self._call_control("/control", switches)

    def add_member(self, name: str) -> None:
        """Put a VM in the membership list."""
        if name in self.backends_by_name:
            zone, role = self.backends_by_name[name].zone, "backend"
            address = self.backend_addresses_by_name[name]
        else:
            zone, role = self.entry_vms_by_name[name].zone, "entry"
            address = self.addresses_by_vm[name].peer
        fields = {"vm": name, "role": role, "zone": f"z{zone}", "address": address}
        self._call_control("/control/members", {"op": "add", "member": {**fields, "state": "live"}})

    def remove_member(self, name: str) -> None:
        """Remove a VM from the membership list."""
        self._call_control("/control/members", {"op": "remove", "vm": name})

    def mark_leaving(self, name: str) -> None:
        """Mark a VM as leaving in the membership list."""
        self._call_control("/control/members", {"op": "leave", "vm": name})

    def _call_control(self, path: str, fields: object) -> None:
        status, body = layout.http_request(self.platform_address, "POST", path, fields)
        if status != http.client.OK:
            raise RuntimeError(f"platform stand-in rejected a control request: {body!r}")

    def cut(self, vm: str, prefixes: Iterable[str]) -> None:
        """Replace the address prefixes that an entry VM is cut off from; none ends the cut."""
        host, port = self.addresses_by_vm[vm].control.split(":")
        control_message = json.dumps({"cut": list(prefixes)}).encode()
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as control:
            control.settimeout(layout.HTTP_TIMEOUT_S)
            control.connect((host, int(port)))
            control.send(control_message)
            if json.loads(control.recv(65536)) != json.loads(control_message):
                raise RuntimeError(f"{vm} did not apply the cut")

    def cut_zone(self, zone: int, *, platform: bool = True) -> None:
        """Cut a zone off from the other zones and, if ``platform`` is set, from the platform."""
        others = sorted({spec.zone for spec in self.entry_vms_by_name.values()} - {zone})
        cut_prefixes = [f"{NETWORK}.{other}." for other in others] + [PLATFORM_IP] * platform
        for spec in self.entry_vms_by_name.values():
            if self.processes.is_running(spec.name):
                self.cut(spec.name, cut_prefixes if spec.zone == zone else [f"{NETWORK}.{zone}."])

    def heal(self) -> None:
        """End all cuts."""
        for name in self.entry_vms_by_name:
            if self.processes.is_running(name):
                self.cut(name, ())

    def runs(self) -> list[journal.Run]:
        """Return the runs of all journals in the order of their starts."""
        found = [run for path in self._all_journals() for run in journal.read(path)]
        return sorted(found, key=lambda run: run.start)

    def killed_at_by_incarnation(self) -> dict[str, float]:
        """Return the `time.monotonic` times at which killed backend servers had ended."""
        return {
            run.incarnation: killed_at
            for path, killed_at in self._killed_at_by_journal.items()
            for run in journal.read(path)
        }

    def _journal_paths(self, name: str) -> list[pathlib.Path]:
        paths = self.folder.glob(f"{name}.*.journal")
        return sorted(paths, key=lambda path: int(path.suffixes[-2][1:]))

    def _all_journals(self) -> list[pathlib.Path]:
        return [path for name in self.backends_by_name for path in self._journal_paths(name)]

    def targets(self) -> tuple[load.Target, ...]:
        """Return the entry VMs as targets of a load."""
        return tuple(
            load.Target(vm, addresses.caller) for vm, addresses in self.addresses_by_vm.items()
        )

    def start_load(self, plan: load.Plan) -> Callable[[], list[records.CallerRecord]]:
        """Start a load generator; returns a function that waits for its records."""
        plan.check()
        self._load_count += 1
        name = f"load-{self._load_count}"
        path = self.folder / f"{name}.records"
        flags = ("--plan", load.plan_to_json(plan), "--records", str(path))
        child = self.processes.start(name, "standins.load", flags)
        limit_s = plan.duration_s + plan.deadline_ms / 1000 + READY_TIMEOUT_S

        def finish() -> list[records.CallerRecord]:
            if child.process.wait(limit_s):
                raise RuntimeError(f"{name} failed:\n{self.processes.log(name)}")
            return records.read(path)

        return finish

    def internal_errors(self) -> list[str]:
        """Return the log lines of entry VMs that contain a traceback."""
        return [
            f"{name}: {line}"
            for name in self.entry_vms_by_name
            for line in self.processes.log(name).splitlines()
            if "Traceback" in line
        ]

    def wait_served(self, *, timeout_s: float = READY_TIMEOUT_S) -> float:
        """Wait until every entry VM has answered `WARM_UP_KEYS` requests per service.

        Returns
        -------
        float
            The time it took, in seconds.

        Raises
        ------
        RuntimeError
            Not all were answered in time; the message has the last answer and the first internal
            errors of the entry VMs.
        """
        pending = [
            (target.address, f"{spec.prefix}warm-{number}/warm")
            for target in self.targets()
            for spec in self.services_by_name.values()
            for number in range(WARM_UP_KEYS)
        ]
        last_answer: object = None

        def served() -> bool:
            nonlocal last_answer
            while pending:
                address, path = pending[-1]
                try:
                    last_answer = layout.http_request(address, "GET", path)
                except (OSError, http.client.HTTPException) as error:
                    last_answer = error
                if not isinstance(last_answer, tuple) or last_answer[0] != http.client.OK:
                    return False
                pending.pop()
            return True

        try:
            return layout.wait_until(served, what="an answer for all keys", timeout_s=timeout_s)
        except TimeoutError as error:
            shown_errors = "\n".join(self.internal_errors()[:ERRORS_SHOWN_MAX])
            raise RuntimeError(
                f"{error}; last answer: {pending[-1]} {last_answer!r}\n{shown_errors}"
            ) from error
