"""Guards against a soak that does not notice a system that is stuck after its faults."""

from unittest import mock

from twisted.trial import unittest

from soak import callers, invariants, run


class Cluster:
    """Fake cluster of one entry VM; ``moves`` and ``status`` are what the checks see."""

    def __init__(self, *, moves=True, status=200):
        self.vms = ["vm-0"]
        self.moves = moves
        self.status = status

    def address_of(self, vm):
        return "127.0.0.1", 1

    def add_route(self, path):
        pass

    async def move_keys(self, key, *, timeout_s):
        return self.moves

    def session(self, address, checker):
        """Return a caller whose requests are all answered with ``status``."""
        found = mock.Mock()
        found.request = mock.AsyncMock(return_value=self.status)
        return found


class ProgressTest(unittest.TestCase):
    async def violations(self, **changes):
        cluster = Cluster(**changes)
        checker = invariants.InvariantChecker([7])
        with (
            mock.patch.object(callers, "Session", cluster.session),
            mock.patch.object(run, "CONFIG_TIMEOUT_S", 0.0),
        ):
            await run._check_progress(cluster, checker)
        return checker.violations

    async def test_system_that_goes_on(self):
        """Guards against violations that are none."""
        self.assertEqual([], await self.violations())

    async def test_configuration_that_is_not_used(self):
        """Guards against entry VMs that use an old configuration for ever."""
        found = await self.violations(status=404)
        self.assertEqual(["recovery: vm-0 does not use the newest configuration"], found)

    async def test_keys_that_do_not_move(self):
        """Guards against range maps that can never change again."""
        found = await self.violations(moves=False)
        self.assertEqual(["recovery: the keys of a server that drains do not move"], found)

    async def test_answers_that_a_stop_cuts_off(self):
        """Guards against lost answers that are not reported."""
        checker = invariants.InvariantChecker([7])
        checker.record_lost("vm-0", ["slow-1"])
        self.assertEqual(["lost: vm-0 cut off the answer to slow-1"], checker.violations)
