from __future__ import annotations

import http.client
import pathlib
import tempfile

import testtools

from standins import checks, cluster, layout, load, records

ATLAS = layout.ServiceSpec(name="atlas-browse", prefix="/atlas/browse/")
DESK = layout.ServiceSpec(name="filing-desk", prefix="/filing/desk/", divided=False)


class ClusterTest(testtools.TestCase):
    def setUp(self) -> None:
        super().setUp()
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = pathlib.Path(folder.name)

    def build(self, zones: int = 2) -> cluster.Cluster:
        numbers = range(1, zones + 1)
        return cluster.Cluster(
            self.folder,
            services=[ATLAS, DESK],
            backends=[
                layout.BackendSpec(name=f"{name}-{zone}", service=service, zone=zone)
                for zone in numbers
                for name, service in (("ab", ATLAS.name), ("fd", DESK.name))
            ],
            entry_vms=[layout.EntryVmSpec(name=f"vm-{zone}", zone=zone) for zone in numbers],
        )

    def test_load_through_all_entry_vms(self) -> None:
        """Guards against a healthy cluster whose journals and caller records show violations."""
        with self.build() as running:
            running.wait_served()
            services = tuple(
                load.LoadService(spec.name, spec.prefix, ("a", "b", "c")) for spec in (ATLAS, DESK)
            )
            plan = load.Plan(
                targets=running.targets(), services=services, duration_s=2.0, callers=4, rate=100
            )
            found = running.start_load(plan)()
            runs = running.runs()
            self.assertEqual([], running.internal_errors())
        self.assertEqual({"vm-1", "vm-2"}, {record.entry_vm for record in found})
        self.assertGreater(len(found), 50)
        self.assertEqual([], checks.check_answers(runs, found))
        self.assertEqual([], checks.check_not_run(runs, found))
        self.assertEqual([], checks.check_duplicate_runs(runs))
        self.assertEqual([], checks.check_epochs(runs))
        self.assertEqual([], checks.check_overlaps(runs, running.killed_at_by_incarnation()))
        answered = [r for r in found if r.outcome is records.Outcome.ANSWERED]
        self.assertEqual(len(found), len(answered))

    def test_processes_end_when_the_test_fails(self) -> None:
        """Guards against processes that keep running after a test failed inside the cluster."""

        def fail() -> None:
            with running:
                raise ArithmeticError

        running = self.build(zones=1)
        self.assertRaises(ArithmeticError, fail)
        for name in ("platform", "ab-1", "fd-1", "vm-1"):
            self.assertFalse(running.processes.is_running(name), name)

    def test_suspend_kill_restart_and_cut(self) -> None:
        """Guards against faults and restarts that the cluster does not carry out."""
        with self.build(zones=1) as running:
            address = running.backend_addresses_by_name["ab-1"]
            running.processes.suspend("ab-1")
            self.assertRaises(
                TimeoutError, layout.http_request, address, "GET", "/health", None, 0.5
            )
            running.processes.resume("ab-1")
            self.assertEqual(http.client.OK, layout.http_request(address, "GET", "/health")[0])
            running.kill("ab-1")
            self.assertRaises(
                ConnectionRefusedError, layout.http_request, address, "GET", "/health"
            )
            running.start_backend("ab-1")
            running.cut("vm-1", [f"{cluster.NETWORK}.1.", cluster.PLATFORM_IP])
            running.heal()
            running.processes.terminate("vm-1", timeout_s=10)
            running.start_entry_vm("vm-1")
