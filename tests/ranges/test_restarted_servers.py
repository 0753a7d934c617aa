"""Servers that restart under their ids, as entry VMs grant them the keys of their earlier lives."""

import testtools

from celerystack.fleet import servers
from tests.ranges import restart_world

WALKS = 20
STEPS_PER_WALK = 240


def first_break(world_class, walks):
    """Return what broke the rule of one owner in the first walk that broke it, or None."""
    for seed in walks:
        world = world_class(seed)
        for _ in range(STEPS_PER_WALK):
            world.step()
            if world.broken:
                return f"walk {seed}: {world.broken[0]}"
    return None


class WithoutLeases(restart_world.World):
    """Entry VMs report no leases, so that the planner waits for none."""

    def remaining_s(self, vm, incarnation):
        return 0.0


class DirectoryThatComparesStarts(servers.Directory):
    """A later start under the id or at the address of an incarnation proves that it has ended."""

    def has_ended(self, incarnation):
        entry = self.find_entry(incarnation)
        return super().has_ended(incarnation) or any(
            record.entry.started_ms > incarnation.started_ms
            and (
                record.entry.server == incarnation.server
                or (entry is not None and record.entry.address == entry.address)
            )
            for record in self.by_id.values()
        )


class WithComparedStarts(restart_world.World):
    """Entry VMs take a later start time for proof of an end."""

    directory_class = DirectoryThatComparesStarts


class RestartWalksTest(testtools.TestCase):
    def test_restarts_outages_and_leaving_servers(self):
        """Guards against a key with two owners after a server restarted under its id."""
        self.assertIsNone(first_break(restart_world.World, range(WALKS)))

    def test_compared_starts_are_noticed(self):
        """Guards against walks that miss a live server that counts as ended because of another
        start time, after a step of a clock or in another writer's entry (review cases 11, 12)."""
        self.assertIsNotNone(first_break(WithComparedStarts, range(WALKS)))

    def test_leases_that_are_not_waited_for_are_noticed(self):
        """Guards against walks that cannot fail: a server that does not answer holds its keys."""
        self.assertIsNotNone(first_break(WithoutLeases, range(WALKS)))
