"""Servers that restart under their ids, as entry VMs grant them the keys of their earlier lives."""

import testtools

from tests.ranges import restart_world

WALKS = 20
STEPS_PER_WALK = 240


def first_break(world_class, walks):
    """Return what broke the rule of one owner in the first walk that broke it, or None."""
    for seed in range(walks):
        world = world_class(seed)
        for _ in range(STEPS_PER_WALK):
            world.step()
            if world.broken:
                return f"walk {seed}: {world.broken[0]}"
    return None


class WithLeasesByIncarnation(restart_world.World):
    """Entry VMs report for an incarnation only the leases that they meant for it."""

    def remaining_s(self, vm, incarnation):
        until = vm.port.granted_until_by_incarnation.get(incarnation, 0.0)
        return max(0.0, until - self.now())


class RestartWalksTest(testtools.TestCase):
    def test_restarts_outages_and_leaving_servers(self):
        """Guards against a key with two owners after a server restarted under its id."""
        self.assertIsNone(first_break(restart_world.World, WALKS))

    def test_leases_by_incarnation_are_noticed(self):
        """Guards against walks that cannot fail: a restarted server holds its earlier leases."""
        self.assertIsNotNone(first_break(WithLeasesByIncarnation, WALKS))
