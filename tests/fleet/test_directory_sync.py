"""Guards against relying on updates that were lost, and against keeping servers that have left."""

import msgpack
import testtools

from celerystack import ids
from celerystack.fleet import directory_sync, messages, servers
from tests.ranges import fakes


class Vm:
    """Entry VM with a server directory and its synchronization."""

    def __init__(self, clock):
        self.directory = servers.Directory()
        self.directory_sync = directory_sync.DirectorySync(self.directory, now=clock)
        self._clock = clock

    def read(self, position, entries, removed=(), *, full_scan=False):
        removed = [ids.ServerId(server) for server in removed]
        if full_scan:
            self.directory.apply_all(entries, self._clock())
        else:
            self.directory.apply_changes(entries, removed, self._clock())
        self.directory_sync.note_read(ids.RowVersion(position), self._clock(), full_scan=full_scan)

    def usable(self):
        return sorted(record.entry.server for record in self.directory.usable(fakes.SERVICE))


class DirectorySyncTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.now = 100.0
        self.planner = Vm(lambda: self.now)
        self.follower = Vm(lambda: self.now)
        self.planner.directory_sync.set_leader(True)
        entries = [fakes.entry("a"), fakes.entry("b")]
        self.planner.read(10, entries, full_scan=True)
        self.follower.read(10, entries, full_scan=True)

    def send_update(self):
        update = self.planner.directory_sync.update_since(self.follower.directory_sync.position)
        self.follower.directory_sync.apply(update)
        return update

    def test_follower_without_changes_relies_on_a_fresh_update(self):
        """Guards against reads of the store although updates without changes arrived."""
        self.now += 5.0
        self.assertEqual(0.0, self.follower.directory_sync.valid_s())
        self.planner.read(50, [fakes.entry("a"), fakes.entry("b")])
        update = self.send_update()
        self.assertEqual((), update.changes)
        self.assertEqual(50, self.follower.directory_sync.position)
        self.assertEqual(directory_sync.UPDATE_VALID_S, self.follower.directory_sync.valid_s())

    def test_age_of_the_read_counts(self):
        """Guards against a validity that counts from an update's arrival, not from the read."""
        self.now += 5.0
        self.planner.read(50, [])
        self.now += 0.4
        self.send_update()
        self.assertAlmostEqual(
            directory_sync.UPDATE_VALID_S - 0.4, self.follower.directory_sync.valid_s()
        )

    def test_planner_itself_never_relies_on_updates(self):
        """Guards against a planner that stops reading the store."""
        self.assertEqual(0.0, self.planner.directory_sync.valid_s())

    def test_draining_server_is_passed_on(self):
        """Guards against requests from other entry VMs to a draining server."""
        self.planner.read(20, [fakes.entry("a", state=servers.ServerState.DRAINING)])
        self.send_update()
        self.assertEqual(["b"], self.follower.usable())

    def test_removed_server_is_passed_on(self):
        """Guards against requests from other entry VMs to a removed server."""
        self.planner.read(20, [], ["a"])
        self.send_update()
        self.assertEqual(["b"], self.follower.usable())

    def test_server_that_came_back_is_not_removed_by_its_earlier_change(self):
        """Guards against applying an outdated removal after the return of a server."""
        self.planner.read(20, [], ["a"])
        self.planner.read(30, [fakes.entry("a", 2)])
        self.send_update()
        self.assertEqual(["a", "b"], self.follower.usable())

    def test_lost_update_is_made_up_for(self):
        """Guards against changes that are missing because a datagram was lost."""
        self.planner.read(20, [fakes.entry("c")])
        self.planner.directory_sync.update_since(self.follower.directory_sync.position)
        self.planner.read(30, [], ["b"])
        self.send_update()
        self.assertEqual(["a", "c"], self.follower.usable())

    def test_late_update_does_not_undo_newer_ones(self):
        """Guards against applying updates that were overtaken by newer ones."""
        self.planner.read(20, [fakes.entry("c")])
        late = self.planner.directory_sync.update_since(self.follower.directory_sync.position)
        self.planner.read(30, [], ["c"])
        self.send_update()
        self.follower.directory_sync.apply(late)
        self.assertEqual(["a", "b"], self.follower.usable())
        self.assertEqual(30, self.follower.directory_sync.position)

    def test_different_view_is_read_again_whole(self):
        """Guards against a directory that keeps differing from the planner's."""
        self.follower.read(12, [], ["b"])
        self.planner.read(20, [fakes.entry("b")])
        self.send_update()
        self.assertTrue(self.follower.directory_sync.must_scan)
        self.assertEqual(0.0, self.follower.directory_sync.valid_s())
        self.follower.read(21, [fakes.entry("a"), fakes.entry("b")], full_scan=True)
        self.assertFalse(self.follower.directory_sync.must_scan)
        self.assertEqual(["a", "b"], self.follower.usable())

    def test_vm_that_has_read_nothing_is_not_served(self):
        """Guards against sending changes to a VM that has no directory to apply them to."""
        fresh = Vm(lambda: self.now)
        self.assertIsNone(self.planner.directory_sync.update_since(fresh.directory_sync.position))
        self.assertTrue(fresh.directory_sync.must_scan)

    def test_vm_behind_the_log_is_not_served(self):
        """Guards against updates that lack changes from before the start of the log."""
        self.planner.read(20, [fakes.entry("c")], full_scan=True)
        self.assertIsNone(self.planner.directory_sync.update_since(ids.RowVersion(10)))

    def add_servers(self, position, count):
        """Let the planner read ``count`` new servers and return their names."""
        names = [f"n{position}-{number}" for number in range(count)]
        self.planner.read(position, [fakes.entry(name) for name in names])
        return names

    def test_too_many_changes_of_one_read_are_left_to_the_store(self):
        """Guards against updates that do not fit into a datagram."""
        count = directory_sync.READ_BYTES_MAX // directory_sync.CHANGE_BYTES
        self.add_servers(20, count)
        self.assertIsNone(self.planner.directory_sync.update_since(ids.RowVersion(10)))

    def test_changes_of_one_read_with_long_names_are_left_to_the_store(self):
        """Guards against few changes that do not fit into a datagram (review case 14)."""
        entries = [fakes.entry(f"{n:03}{'n' * 197}", zone="z" * 200) for n in range(40)]
        self.planner.read(20, entries)
        self.assertIsNone(self.planner.directory_sync.update_since(ids.RowVersion(10)))

    def test_size_of_a_change_is_an_upper_bound(self):
        """Guards against an update that is larger than was counted."""
        for name in ("a", "n" * 200):
            entry = fakes.entry(name, 2**53, slots=10_000, cold_s=1.5, zone=ids.ZoneName(name))
            change = directory_sync.Change(entry=entry, present=True)
            encoded = messages._encode_update(
                directory_sync.DirectoryUpdate(
                    since=ids.RowVersion(4),
                    position=ids.RowVersion(9),
                    age_s=0.0,
                    digest=0,
                    config_row=ids.RowVersion(3),
                    config_age_s=0.0,
                    changes=(change,),
                )
            )[-1][0]
            self.assertLessEqual(len(msgpack.packb(encoded)), change.size_bytes)

    def test_many_changes_arrive_with_several_updates(self):
        """Guards against a read of the store by every entry VM when many servers join at once."""
        names = ["a", "b"]
        size = directory_sync.Change(entry=fakes.entry("n20-10"), present=True).size_bytes
        count = directory_sync.UPDATE_BYTES_PREFERRED // size
        for position in (20, 30, 40):
            names += self.add_servers(position, count)
            self.now += 0.4
        ages_s = [self.send_update().age_s for _ in range(3)]
        self.assertEqual(sorted(names), self.follower.usable())
        self.assertEqual(40, self.follower.directory_sync.position)
        self.assertFalse(self.follower.directory_sync.must_scan)
        self.assertAlmostEqual(1.2, ages_s[0])
        self.assertAlmostEqual(0.4, ages_s[2])

    def test_announced_configuration_is_missing_until_it_is_read(self):
        """Guards against an announced configuration that is never read."""
        self.planner.directory_sync.note_config(ids.RowVersion(15), b"c")
        self.planner.read(20, [])
        self.send_update()
        self.assertTrue(self.follower.directory_sync.lacks_config)
        self.follower.directory_sync.note_config(ids.RowVersion(15), b"c")
        self.assertFalse(self.follower.directory_sync.lacks_config)

    def test_announced_configuration_is_read_when_it_does_not_arrive(self):
        """Guards against waiting for datagrams with the configuration that were lost."""
        self.planner.directory_sync.note_config(ids.RowVersion(15), b"c")
        for position in (20, 21):
            self.planner.read(position, [])
            self.send_update()
            self.assertGreater(self.follower.directory_sync.config_valid_s(), 0.0)
            self.now += 0.5 * directory_sync.CONFIG_DELIVERY_S
        self.assertEqual(0.0, self.follower.directory_sync.config_valid_s())

    def test_further_announcements_do_not_delay_the_read(self):
        """Guards against configurations in quick succession of which none is ever read."""
        for row in range(15, 20):
            self.planner.directory_sync.note_config(ids.RowVersion(row), b"c")
            self.planner.read(row + 5, [])
            self.send_update()
            self.now += 0.5 * directory_sync.CONFIG_DELIVERY_S
        self.assertEqual(0.0, self.follower.directory_sync.config_valid_s())

    def test_entries_that_expire_in_an_outage_expire_at_followers_too(self):
        """Guards against dropping a server on followers only, after an outage of the store."""
        self.now += 10.0
        self.planner.read(20, [], ["a"])
        self.send_update()
        self.assertTrue(self.follower.directory.by_id[ids.ServerId("a")].expired)

    def test_new_planner_passes_on_what_it_was_told(self):
        """Guards against losing changes when the planner changes."""
        third = Vm(lambda: self.now)
        third.read(10, [fakes.entry("a"), fakes.entry("b")], full_scan=True)
        self.planner.read(20, [], ["a"])
        self.send_update()
        self.follower.directory_sync.set_leader(True)
        self.follower.read(25, [])
        third.directory_sync.apply(
            self.follower.directory_sync.update_since(third.directory_sync.position)
        )
        self.assertEqual(["b"], third.usable())
