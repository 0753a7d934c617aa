from __future__ import annotations

import testtools
from twisted.internet import defer, task

from celerystack import errors, ids, model
from celerystack.control import claims_task
from celerystack.peers import mesh, messages
from celerystack.requests import claims
from tests.control import table_cluster

ACCEPTED, RUNNING = messages.ClaimState.ACCEPTED, messages.ClaimState.RUNNING


class Membership:
    entry_addresses_by_zone: dict[str, frozenset[str]] = {}


class Network:
    """Connects the meshes of entry VMs by direct calls."""

    def __init__(self, clock: task.Clock) -> None:
        self.clock = clock
        self.meshes: dict[str, FakeMesh] = {}
        self.refused: set[str] = set()

    def add(self, vm: str, zone: str, *, uptime_s: float = 1000.0) -> claims_task.ClaimsTask:
        entry_vm = model.EntryVm(vm=vm, incarnation="1", zone=zone, peer_address=vm)
        self.meshes[vm] = FakeMesh(self, entry_vm, uptime_s)
        vm_task = claims_task.ClaimsTask(
            self.clock,
            table=claims.ClaimTable(),
            view=table_cluster.TableCluster().view,
            mesh=self.meshes[vm],
            membership=Membership(),
        )
        vm_task._started_at = self.clock.seconds() - uptime_s
        return vm_task


class FakeMesh:
    def __init__(self, network: Network, me: model.EntryVm, uptime_s: float) -> None:
        self.network = network
        self.own_entry_vm = me
        self.uptime_s = uptime_s
        self.partitioned = False
        self.handlers = []

    def add_handler(self, handler) -> None:
        self.handlers.append(handler)

    def _reachable(self) -> list[FakeMesh]:
        return [m for m in self.network.meshes.values() if m.partitioned == self.partitioned]

    @property
    def peers_by_vm(self) -> dict[str, mesh.Peer]:
        return {
            m.own_entry_vm.vm: self._peer(m)
            for m in self.network.meshes.values()
            if m.own_entry_vm.vm != self.own_entry_vm.vm
        }

    def _peer(self, other: FakeMesh) -> mesh.Peer:
        heartbeat = messages.Heartbeat(
            digest=0, config_version=ids.ConfigVersion(1), uptime_s=other.uptime_s
        )
        now = self.network.clock.seconds()
        return mesh.Peer(
            other.own_entry_vm, live_deadline=now, last_heard_at=now, heartbeat=heartbeat
        )

    def live_peers(self) -> list[mesh.Peer]:
        return [
            self._peer(m) for m in self._reachable() if m.own_entry_vm.vm != self.own_entry_vm.vm
        ]

    def live_entry_vms(self) -> list[model.EntryVm]:
        return [m.own_entry_vm for m in self._reachable()]

    def is_refused(self, address: str) -> bool:
        return address in self.network.refused

    def send(self, vm: str, message: messages.Message) -> bool:
        target = self.network.meshes.get(vm)
        if target is None or target.partitioned != self.partitioned:
            return False
        for handler in target.handlers:
            handler(self.own_entry_vm, message)
        return True


class ClaimsTaskTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.clock = task.Clock()
        self.clock.advance(10_000)
        self.network = Network(self.clock)
        self.tasks = {
            vm: self.network.add(vm, zone)
            for vm, zone in (("a1", "z1"), ("a2", "z1"), ("b1", "z2"), ("b2", "z2"))
        }

    def claim(self, vm: str, *zones: str, request: str = "r") -> object:
        claimed = self.tasks[vm].claim(ids.RequestId(request), zones, self.clock.seconds() + 1)
        results = []
        claimed.addBoth(results.append)
        self.clock.advance(1)
        return results[0] if results else None

    def test_second_claim_is_refused_through_any_entry_vm(self):
        """Guards against running a request twice when it is repeated through another entry VM."""
        self.assertEqual(ACCEPTED, self.claim("a1", "z1"))
        for vm in self.tasks:
            self.assertEqual(RUNNING, self.claim(vm, "z1"))

    def test_claim_follows_a_key_that_moved_to_another_zone(self):
        """Guards against a second run of a request after its key was taken over in another zone."""
        self.assertEqual(ACCEPTED, self.claim("a1", "z1"))
        self.assertEqual(RUNNING, self.claim("b1", "z2", "z1"))

    def test_lost_zone_does_not_stop_writes_to_keys_that_were_taken_over(self):
        """Guards against refusing all writes for minutes after the loss of a zone."""
        self.network.meshes["a1"].partitioned = self.network.meshes["a2"].partitioned = True
        self.assertEqual(ACCEPTED, self.claim("b1", "z2", "z1"))

    def test_silent_home_zone_refuses(self):
        """Guards against claims in another zone while the home zone is only partitioned."""
        self.network.meshes["a1"].partitioned = self.network.meshes["a2"].partitioned = True
        failure = self.claim("b1", "z1")
        self.assertIsNotNone(failure.check(errors.PeerError))

    def test_next_zone_holds_claims_when_all_of_a_zone_have_ended(self):
        """Guards against refusing writes until an ended entry VM has been replaced.

        Refused connections show that the processes have ended, so the next zone may hold claims.
        """
        for vm in ("a1", "a2"):
            self.network.refused.add(vm)
            self.network.meshes[vm].partitioned = True
        self.assertEqual(ACCEPTED, self.claim("b1", "z1"))
        self.assertEqual(RUNNING, self.claim("b2", "z1"))

    def test_replacements_of_a_zone_ask_the_next_zone_too(self):
        """Guards against forgetting claims that the next zone held for an ended zone."""
        for vm in ("a1", "a2"):
            self.network.refused.add(vm)
            self.network.meshes[vm].partitioned = True
        self.assertEqual(ACCEPTED, self.claim("b1", "z1"))
        del self.network.meshes["a1"], self.network.meshes["a2"]
        self.tasks["a3"] = self.network.add("a3", "z1", uptime_s=5.0)
        self.assertEqual(RUNNING, self.claim("a3", "z1"))

    def test_zone_that_is_cut_off_soon_after_the_start_serves_writes(self):
        """Guards against refusing all writes of a zone soon after all entry VMs have started."""
        for other in self.network.meshes.values():
            other.uptime_s = 20.0
        for vm_task in self.tasks.values():
            vm_task._started_at = self.clock.seconds() - 20.0
        for vm in ("b1", "b2"):
            self.network.meshes[vm].partitioned = True
        self.assertEqual(ACCEPTED, self.claim("a1", "z1"))

    def test_refused_claim_releases_what_was_accepted(self):
        """Guards against an id that stays claimed although the request was not sent."""
        self.network.meshes["a2"].handlers.clear()
        failure = self.claim("a1", "z1")
        self.assertIsNotNone(failure.check(errors.PeerError))
        del self.network.meshes["a2"]
        self.assertEqual(ACCEPTED, self.claim("b1", "z1"))

    def test_cancelled_claim_is_released(self):
        """Guards against an id that stays claimed after its caller has disconnected."""
        for vm in ("a1", "a2"):
            self.network.meshes[vm].handlers, handlers = [], self.network.meshes[vm].handlers
            claimed = self.tasks["b1"].claim(ids.RequestId("c"), ("z1",), 10_100.0)
            claimed.addErrback(lambda failure: failure.trap(defer.CancelledError))
            claimed.cancel()
            self.network.meshes[vm].handlers = handlers
            self.assertEqual(ACCEPTED, self.claim("b1", "z1", request="c"))
            self.tasks["b1"].record_final_state(ids.RequestId("c"), (), messages.ClaimState.NOT_RUN)
