from __future__ import annotations

import testtools
from twisted.internet import task

from celerystack import ids, model, timing
from celerystack.control import send_permission
from celerystack.peers import mesh, messages
from tests.control import table_cluster

B1, D1 = table_cluster.B1, table_cluster.D1

ME = model.EntryVm(vm="e2", incarnation="i2", zone="z1", peer_address="127.0.1.1:1")
LESSOR = model.EntryVm(vm="e1", incarnation="i1", zone="z1", peer_address="127.0.1.1:2")
OTHER = model.EntryVm(vm="e3", incarnation="i3", zone="z1", peer_address="127.0.1.1:3")


class FakeMesh:
    """Peers and heartbeats as set by the test."""

    def __init__(self, clock: task.Clock) -> None:
        self.own_entry_vm = ME
        self.peers_by_vm: dict[ids.EntryVmId, mesh.Peer] = {}
        self._clock = clock
        self._handlers = []

    def add_handler(self, handler) -> None:
        self._handlers.append(handler)

    def receive(self, sender: model.EntryVm, heartbeat: messages.Heartbeat) -> None:
        now = self._clock.seconds()
        self.peers_by_vm[sender.vm] = mesh.Peer(
            sender, live_deadline=now + timing.PEER_DOWN_S, last_heard_at=now, heartbeat=heartbeat
        )
        for handler in self._handlers:
            handler(sender, heartbeat)


class SendPermissionTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.cluster = table_cluster.TableCluster()
        self.clock = task.Clock()
        self.clock.advance(100)
        self.mesh = FakeMesh(self.clock)
        self.in_flight: dict[ids.ServerId, int] = {}
        self.send_permission = send_permission.SendPermission(
            self.clock,
            view=self.cluster.view,
            mesh=self.mesh,
            cache=self.cluster.cache,
            unanswered=lambda server: self.in_flight.get(server, 0),
        )
        self.cluster.create_servers()

    def receive_heartbeat(
        self, sender=LESSOR, *, digest=None, echo_stamp=None, unanswered=None
    ) -> None:
        self.mesh.receive(
            sender,
            messages.Heartbeat(
                digest=self.cluster.cache.digest if digest is None else digest,
                config_version=ids.ConfigVersion(1),
                echo_stamp=self.clock.seconds() if echo_stamp is None else echo_stamp,
                unanswered_by_server=unanswered or {},
            ),
        )

    def suspend(self) -> None:
        from celerystack.control import changes

        self.cluster.commit(changes.suspend(self.cluster.view, self.cluster.row(D1)))

    def test_server_that_checks_tokens_needs_no_confirmation(self):
        """Guards against stopping requests to a server that rejects outdated tokens itself."""
        self.assertTrue(self.send_permission.may_send(B1))

    def test_other_server_needs_a_lessor_with_the_same_rows(self):
        """Guards against requests of an entry VM with old rows to a former owner."""
        self.assertFalse(self.send_permission.may_send(D1))
        self.receive_heartbeat(digest=1)
        self.assertFalse(self.send_permission.may_send(D1))
        self.receive_heartbeat(sender=OTHER)
        self.assertFalse(self.send_permission.may_send(D1))
        self.receive_heartbeat()
        self.assertTrue(self.send_permission.may_send(D1))

    def test_permission_expires_relative_to_the_echoed_time(self):
        """Guards against a delayed heartbeat that extends the permission to send."""
        self.receive_heartbeat(echo_stamp=self.clock.seconds() - timing.SEND_PERMISSION_S)
        self.assertFalse(self.send_permission.may_send(D1))
        self.receive_heartbeat()
        self.clock.advance(timing.SEND_PERMISSION_S)
        self.assertFalse(self.send_permission.may_send(D1))

    def test_suspended_server_gets_nothing(self):
        """Guards against requests to a suspended server, whose keys are about to be taken over."""
        self.receive_heartbeat()
        self.suspend()
        self.receive_heartbeat()
        self.assertFalse(self.send_permission.may_send(D1))

    def test_released_after_all_confirm_without_unanswered_requests(self):
        """Guards against a takeover while an entry VM may still send or wait for an answer."""
        self.receive_heartbeat(sender=OTHER)
        self.suspend()
        self.clock.advance(0.1)
        self.receive_heartbeat()
        self.assertFalse(self.send_permission.senders_stopped(D1, server_replies=False))
        self.receive_heartbeat(sender=OTHER, unanswered={D1: 1})
        self.assertFalse(self.send_permission.senders_stopped(D1, server_replies=False))
        self.receive_heartbeat(sender=OTHER)
        self.assertTrue(self.send_permission.senders_stopped(D1, server_replies=False))

    def test_silent_entry_vm_blocks_unless_the_server_answers(self):
        """Guards against a takeover while a suspended server has a suspended entry VM's request."""
        self.receive_heartbeat(sender=OTHER)
        self.suspend()
        self.clock.advance(0.1)
        self.receive_heartbeat()
        self.clock.advance(timing.SEND_PERMISSION_S + 0.1)
        self.receive_heartbeat()
        self.assertFalse(self.send_permission.senders_stopped(D1, server_replies=False))
        self.clock.advance(timing.SEND_PERMISSION_S + 0.1)
        self.assertTrue(self.send_permission.senders_stopped(D1, server_replies=True))

    def test_unconfirmed_lessor_blocks(self):
        """Guards against a takeover while a lessor with the old rows may still confirm them."""
        self.receive_heartbeat(sender=OTHER)
        self.suspend()
        self.clock.advance(5)
        self.receive_heartbeat(sender=OTHER)
        self.receive_heartbeat(digest=1)
        self.assertFalse(self.send_permission.senders_stopped(D1, server_replies=True))

    def test_counts_only_servers_that_do_not_check_tokens(self):
        """Guards against heartbeats that grow with the number of servers that check tokens."""
        self.in_flight = {B1: 2, D1: 3}
        self.assertEqual({D1: 3}, self.send_permission.unanswered_by_server())
        self.assertFalse(self.send_permission.has_no_unanswered_requests(D1))
