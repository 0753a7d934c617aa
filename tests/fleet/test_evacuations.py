"""Evacuated zones: which requests an entry VM may still send, and which lists it believes."""

import testtools
from twisted.internet import task

from celerystack import ids
from celerystack.fleet import evacuations, rows, servers
from tests.ranges import fakes

BINDING_AFTER_S = 5.0
MOVE_S = evacuations.MOVE_SHARE * BINDING_AFTER_S
ZONE, OTHER_ZONE = ids.ZoneName("z1"), ids.ZoneName("z2")


class EvacuationsTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.clock = task.Clock()
        self.clock.advance(100.0)
        self.evacuations = self.start()

    def start(self):
        return evacuations.Evacuations(binding_after_s=BINDING_AFTER_S, now=self.clock.seconds)

    def scan(self, *zones, version=5, known=None):
        (known or self.evacuations).apply_scan(zones, version, self.clock.seconds())

    def change(self, version, **present_by_zone):
        self.evacuations.apply_changes(present_by_zone, version, self.clock.seconds())

    def test_owners_get_requests_while_their_keys_move(self):
        """Guards against unserved keys in the time that an evacuation leaves for their moves."""
        self.scan()
        self.clock.advance(0.4)
        self.change(6, z1=True)
        self.assertEqual(({ZONE}, set()), (self.evacuations.zones, self.evacuations.closed_zones()))
        self.clock.advance(MOVE_S - 0.4)
        self.assertEqual({ZONE}, self.evacuations.closed_zones())

    def test_evacuation_of_unknown_age_is_binding_at_once(self):
        """Guards against requests to a zone by a VM that started after the evacuation began."""
        self.scan("z1")
        self.assertEqual({ZONE}, self.evacuations.closed_zones())

    def test_end_of_an_evacuation(self):
        """Guards against zones that stay empty after the operator has removed the row."""
        for end in (lambda: self.change(7, z1=False), lambda: self.scan(version=7)):
            self.evacuations = self.start()
            self.scan("z1")
            end()
            self.assertEqual(frozenset(), self.evacuations.zones)

    def test_followers_take_the_age_from_the_planner(self):
        """Guards against followers that send to the zone for longer than the planner."""
        follower = self.start()
        self.scan()
        self.clock.advance(0.4)
        self.change(6, z1=True)
        self.clock.advance(1.0)
        follower.apply_announced(self.evacuations.list_all())
        self.clock.advance(MOVE_S - 1.5)
        self.assertEqual(frozenset(), follower.closed_zones())
        self.clock.advance(0.2)
        self.assertEqual({ZONE}, follower.closed_zones())

    def test_planner_that_has_just_started_closes_no_zone_early(self):
        """Guards against unserved keys because a new planner does not know an evacuation's age."""
        self.scan()
        self.clock.advance(0.4)
        self.change(6, z1=True)
        planner = self.start()
        self.scan("z1", version=7, known=planner)
        self.evacuations.apply_announced(planner.list_all())
        self.assertEqual(frozenset(), self.evacuations.closed_zones())

    def test_older_lists_change_nothing(self):
        """Guards against a late heartbeat or read that ends an evacuation."""
        self.scan(version=5)
        old = self.evacuations.list_all()
        self.change(8, z1=True)
        self.evacuations.apply_announced(old)
        self.scan(version=7)
        self.change(7, z1=False)
        self.assertEqual({ZONE}, self.evacuations.zones)

    def test_evacuation_stays_until_a_restored_store_has_it_again(self):
        """Guards against requests to a zone whose evacuation the store's earlier copy lacks."""
        self.scan("z1")
        restored = rows.version_in(ids.StoreEra(1), 3)
        self.evacuations.keep_until(self.clock.seconds() + 2.0)
        self.scan(version=restored)
        self.assertEqual({"z1"}, self.evacuations.zones)
        self.clock.advance(2.0)
        self.scan(version=restored)
        self.assertEqual(frozenset(), self.evacuations.zones)

    def test_nothing_is_announced_before_the_first_read(self):
        """Guards against a new planner that ends evacuations which it has not read yet."""
        self.assertIsNone(self.evacuations.list_all())

    def test_changes_are_applied_to_an_announced_list(self):
        """Guards against an evacuation that is forgotten when a VM reads the store itself again."""
        planner = self.start()
        self.scan(version=5)
        self.scan("z1", version=7, known=planner)
        self.evacuations.apply_announced(planner.list_all())
        self.change(9, z2=True)
        self.assertEqual({ZONE, OTHER_ZONE}, self.evacuations.zones)


class DirectoryTest(testtools.TestCase):
    def test_servers_of_an_evacuated_zone(self):
        """Guards against new keys for servers of the zone, and against any request once closed."""
        directory = servers.Directory()
        directory.apply_all([fakes.entry("a"), fakes.entry("b", zone=OTHER_ZONE)], 0.0)

        def names(records):
            return [record.entry.server for record in records]

        directory.set_evacuations(evacuated=frozenset({ZONE}), closed=frozenset())
        self.assertEqual(["b"], names(directory.usable(fakes.SERVICE)))
        self.assertEqual(["a", "b"], names(directory.serving(fakes.SERVICE)))
        directory.set_evacuations(evacuated=frozenset({ZONE}), closed=frozenset({ZONE}))
        self.assertEqual(["b"], names(directory.serving(fakes.SERVICE)))
