"""Requests to cold servers, summed over the entry VMs that send to them."""

import random

import hypothesis
import testtools
from hypothesis import strategies
from twisted.internet import task

from celerystack import ids
from celerystack.forwarding import owners
from celerystack.limits import cold_starts
from tests.ranges import fakes

PER_S = 3.9
TOLERANCE = cold_starts.ColdTolerance(overshoot=1.5, slack=8.0)
BOUND = PER_S * TOLERANCE.overshoot + TOLERANCE.slack
COLD_UNTIL = 1_000.0
SERVER = fakes.incarnation("a")
VMS = tuple(
    owners.Owner(ids.EntryVmId(f"vm-{number}"), fakes.ZONE, ("10.0.0.1", 7000 + number), 1.0)
    for number in range(6)
)
STEP_S = 0.1
HEARTBEAT_S = 0.45


class ColdStartsTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.clock = task.Clock()
        self.is_sender = True
        self.cold = cold_starts.ColdStarts(
            tolerance=TOLERANCE,
            is_sender=lambda server, zone: self.is_sender,
            now=self.clock.seconds,
        )
        self.set_rate(PER_S)

    def set_rate(self, per_s):
        self.cold.set_policies({fakes.SERVICE: cold_starts.ColdPolicy(cold_s=3.0, per_s=per_s)})

    def try_send(self, cold_until=COLD_UNTIL):
        return self.cold.try_send(
            SERVER, service=fakes.SERVICE, zone=fakes.ZONE, cold_until=cold_until
        )

    def test_one_sender_uses_its_part_of_the_bound(self):
        """Guards against a cold server that gets nothing, or more than the sender's part."""
        sent = sum(self.try_send() for _ in range(50))
        self.assertEqual(int(BOUND / cold_starts.SENDERS_MAX), sent)
        self.clock.advance(cold_starts.WINDOW_S + 0.01)
        self.assertTrue(self.try_send())

    def test_other_vms_send_nothing(self):
        """Guards against a sum over all entry VMs that nobody bounds."""
        self.is_sender = False
        self.assertFalse(self.try_send())

    def test_warm_servers_and_services_without_a_bound_get_everything(self):
        """Guards against bounds for deployments that state none."""
        self.is_sender = False
        self.assertTrue(self.try_send(cold_until=0.0))
        self.set_rate(0.0)
        self.assertTrue(self.try_send())


class _Vm:
    """An entry VM that sends to the cold server whenever it may."""

    def __init__(self, own, clock):
        self.owner = own
        self.clock = clock
        self.restart()

    def restart(self):
        self.owners = owners.QueueOwners(vm=self.owner.vm, now=self.clock.seconds)
        self.cold = cold_starts.ColdStarts(
            tolerance=TOLERANCE, is_sender=self.owners.is_only_sender, now=self.clock.seconds
        )
        self.cold.set_policies({fakes.SERVICE: cold_starts.ColdPolicy(cold_s=3.0, per_s=PER_S)})

    def send(self):
        for _ in range(20):
            self.cold.try_send(
                SERVER, service=fakes.SERVICE, zone=fakes.ZONE, cold_until=COLD_UNTIL
            ) and self.sent.append(self.clock.seconds())

    sent: list[float] = []


class SumOverTheFleetTest(testtools.TestCase):
    """Random cuts and changes of the owners: the sum over all entry VMs stays within the bound."""

    @hypothesis.given(seed=strategies.integers(0, 10_000))
    @hypothesis.settings(max_examples=60, deadline=None, derandomize=True)
    def test_sum_while_vms_are_cut_off(self, seed):
        """Guards against two views of the owners that together exceed the bound.

        A VM that is cut off from the planner keeps its last view, until that view is too old.
        """
        chance = random.Random(seed)
        clock = task.Clock()
        sent = []
        vms = [_Vm(owner, clock) for owner in VMS]
        for vm in vms:
            vm.sent = sent
        cut_until = dict.fromkeys(VMS, 0.0)
        named = VMS[:4]
        next_change = 2.0
        for step in range(round(12.0 / STEP_S)):
            clock.advance(STEP_S)
            now = clock.seconds()
            if now >= next_change:
                # The planner names others once a VM has not reported for longer than a heartbeat.
                next_change = now + chance.uniform(1.0, 4.0)
                lost = chance.choice(named)
                cut_until[lost] = now + chance.uniform(0.5, 4.0)
                spare = [owner for owner in VMS if owner not in named]
                named = tuple(sorted({*named, chance.choice(spare)} - {lost}))
            if step % round(HEARTBEAT_S / STEP_S) == 0:
                for vm in vms:
                    if now >= cut_until[vm.owner]:
                        vm.owners.announce(named, entry_vms=6)
            chance.shuffle(vms)
            for vm in vms:
                vm.send()
        most = max(sum(first <= at < first + 1.0 for at in sent) for first in sent or [0.0])
        self.assertLessEqual(most, BOUND)
        self.assertGreater(len(sent), 0)
