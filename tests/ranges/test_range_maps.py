"""Tests of the range maps that an entry VM knows."""

import testtools
from twisted.internet import defer

from celerystack import ids
from celerystack.ranges import model, range_maps

SERVICE = ids.ServiceName("rota")


class WaitTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.maps = range_maps.RangeMaps()

    def adopt(self, version):
        self.maps.adopt(model.unassigned(SERVICE, ids.StoreEra(0)), version, 0.0)

    def test_change_ends_all_waits(self):
        """Guards against calls that miss the change of their keys."""
        waits = [self.maps.changed(SERVICE) for _ in range(3)]
        self.adopt(1)
        self.assertTrue(all(wait.called for wait in waits))

    def test_callback_that_cancels_another_wait_skips_none(self):
        """Guards against a call that waits on because the one before it was cancelled."""
        first, second, third = (self.maps.changed(SERVICE) for _ in range(3))
        second.addErrback(lambda failure: failure.trap(defer.CancelledError))
        first.addCallback(lambda _: second.cancel())
        self.adopt(1)
        self.assertTrue(third.called)

    def test_cancelled_wait_is_not_fired(self):
        """Guards against an error when a map changes after a caller has disconnected."""
        wait = self.maps.changed(SERVICE)
        wait.addErrback(lambda failure: failure.trap(defer.CancelledError))
        wait.cancel()
        self.adopt(1)
        self.assertTrue(wait.called)
