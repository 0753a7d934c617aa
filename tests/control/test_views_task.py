from __future__ import annotations

import testtools
from twisted.internet import task

from celerystack import ids, model, timing
from celerystack.control import views_task
from celerystack.peers import mesh, messages
from tests.control import worlds

B1, D1 = worlds.B1, worlds.D1

ME = model.EntryVm(vm="e2", incarnation="i2", zone="z1", peer_address="127.0.1.1:1")
LESSOR = model.EntryVm(vm="e1", incarnation="i1", zone="z1", peer_address="127.0.1.1:2")
OTHER = model.EntryVm(vm="e3", incarnation="i3", zone="z1", peer_address="127.0.1.1:3")


class FakeMesh:
    """Peers and heartbeats under the test's control."""

    def __init__(self, clock: task.Clock) -> None:
        self.me = ME
        self.peers_by_vm: dict[ids.EntryVmId, mesh.Peer] = {}
        self._clock = clock
        self._handlers = []

    def add_handler(self, handler) -> None:
        self._handlers.append(handler)

    def beat(self, sender: model.EntryVm, beat: messages.Heartbeat) -> None:
        now = self._clock.seconds()
        self.peers_by_vm[sender.vm] = mesh.Peer(
            sender, live_until=now + timing.PEER_DOWN_S, silent_since=now, heartbeat=beat
        )
        for handler in self._handlers:
            handler(sender, beat)


class ViewTrackerTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.world = worlds.World()
        self.clock = task.Clock()
        self.clock.advance(100)
        self.mesh = FakeMesh(self.clock)
        self.in_flight: dict[ids.ServerId, int] = {}
        self.views = views_task.ViewTracker(
            self.clock,
            view=self.world.view,
            mesh=self.mesh,
            cache=self.world.cache,
            unanswered=lambda server: self.in_flight.get(server, 0),
        )
        self.world.create_servers()

    def beat(self, sender=LESSOR, *, digest=None, echo=None, unanswered=None) -> None:
        self.mesh.beat(
            sender,
            messages.Heartbeat(
                digest=self.world.cache.digest if digest is None else digest,
                config_version=ids.ConfigVersion(1),
                echo=self.clock.seconds() if echo is None else echo,
                unanswered_by_server=unanswered or {},
            ),
        )

    def suspend(self) -> None:
        from celerystack.control import changes

        self.world.commit(changes.suspend(self.world.view, self.world.row(D1)))

    def test_checking_server_needs_no_confirmation(self):
        """Guards against stopping traffic that the server itself protects."""
        self.assertTrue(self.views.may_send(B1))

    def test_strict_server_needs_a_lessor_with_the_same_rows(self):
        """Guards against a router with old rows that sends to a former owner."""
        self.assertFalse(self.views.may_send(D1))
        self.beat(digest=1)
        self.assertFalse(self.views.may_send(D1))
        self.beat(sender=OTHER)
        self.assertFalse(self.views.may_send(D1))
        self.beat()
        self.assertTrue(self.views.may_send(D1))

    def test_permission_lapses_from_the_echoed_time(self):
        """Guards against a delayed heartbeat that extends the permission."""
        self.beat(echo=self.clock.seconds() - timing.VIEW_S)
        self.assertFalse(self.views.may_send(D1))
        self.beat()
        self.clock.advance(timing.VIEW_S)
        self.assertFalse(self.views.may_send(D1))

    def test_suspended_server_gets_nothing(self):
        """Guards against requests to a server whose keys are about to be taken over."""
        self.beat()
        self.suspend()
        self.beat()
        self.assertFalse(self.views.may_send(D1))

    def test_released_after_all_confirm_without_unanswered_requests(self):
        """Guards against a takeover while an entry VM may still send or wait."""
        self.beat(sender=OTHER)
        self.suspend()
        self.clock.advance(0.1)
        self.beat()
        self.assertFalse(self.views.released(D1, answers=False))
        self.beat(sender=OTHER, unanswered={D1: 1})
        self.assertFalse(self.views.released(D1, answers=False))
        self.beat(sender=OTHER)
        self.assertTrue(self.views.released(D1, answers=False))

    def test_silent_entry_vm_blocks_unless_the_server_answers(self):
        """Guards against the request of a frozen entry VM that waits at a frozen server."""
        self.beat(sender=OTHER)
        self.suspend()
        self.clock.advance(0.1)
        self.beat()
        self.clock.advance(timing.VIEW_S + 0.1)
        self.beat()
        self.assertFalse(self.views.released(D1, answers=False))
        self.clock.advance(timing.VIEW_S + 0.1)
        self.assertTrue(self.views.released(D1, answers=True))

    def test_unconfirmed_lessor_blocks(self):
        """Guards against a partitioned lessor that goes on confirming the old rows."""
        self.beat(sender=OTHER)
        self.suspend()
        self.clock.advance(5)
        self.beat(sender=OTHER)
        self.beat(digest=1)
        self.assertFalse(self.views.released(D1, answers=True))

    def test_counts_only_strict_servers(self):
        """Guards against heartbeats that grow with every server."""
        self.in_flight = {B1: 2, D1: 3}
        self.assertEqual({D1: 3}, self.views.unanswered_by_server())
        self.assertFalse(self.views.idle_here(D1))
