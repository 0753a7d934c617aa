"""Guards against relying on news that were lost, and against keeping servers that have left."""

import testtools

from celerystack import ids
from celerystack.fleet import relay, servers
from tests.ranges import fakes


class Vm:
    """Entry VM with a server directory and a relay."""

    def __init__(self, clock):
        self.directory = servers.Directory()
        self.relay = relay.Relay(self.directory, now=clock)
        self._clock = clock

    def read(self, position, entries, removed=(), *, whole=False):
        removed = [ids.ServerId(server) for server in removed]
        if whole:
            self.directory.apply_all(entries, self._clock())
        else:
            self.directory.apply_changes(entries, removed, self._clock())
        self.relay.note_read(ids.RowVersion(position), self._clock(), whole=whole)

    def usable(self):
        return sorted(record.entry.server for record in self.directory.usable(fakes.SERVICE))


class RelayTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.now = 100.0
        self.planner = Vm(lambda: self.now)
        self.follower = Vm(lambda: self.now)
        self.planner.relay.lead(True)
        entries = [fakes.entry("a"), fakes.entry("b")]
        self.planner.read(10, entries, whole=True)
        self.follower.read(10, entries, whole=True)

    def send_news(self):
        news = self.planner.relay.news_since(self.follower.relay.position)
        self.follower.relay.take(news)
        return news

    def test_follower_without_changes_relies_on_fresh_news(self):
        """Guards against reads of the store although news without changes arrived."""
        self.now += 5.0
        self.assertEqual(0.0, self.follower.relay.valid_s())
        self.planner.read(50, [fakes.entry("a"), fakes.entry("b")])
        news = self.send_news()
        self.assertEqual((), news.changes)
        self.assertEqual(50, self.follower.relay.position)
        self.assertEqual(relay.NEWS_VALID_S, self.follower.relay.valid_s())

    def test_age_of_the_read_counts(self):
        """Guards against a validity that counts from the arrival of news, not from the read."""
        self.now += 5.0
        self.planner.read(50, [])
        self.now += 0.4
        self.send_news()
        self.assertAlmostEqual(relay.NEWS_VALID_S - 0.4, self.follower.relay.valid_s())

    def test_planner_itself_never_relies_on_news(self):
        """Guards against a planner that stops reading the store."""
        self.assertEqual(0.0, self.planner.relay.valid_s())

    def test_draining_server_is_passed_on(self):
        """Guards against requests from other entry VMs to a draining server."""
        self.planner.read(20, [fakes.entry("a", state=servers.ServerState.DRAINING)])
        self.send_news()
        self.assertEqual(["b"], self.follower.usable())

    def test_removed_server_is_passed_on(self):
        """Guards against requests from other entry VMs to a removed server."""
        self.planner.read(20, [], ["a"])
        self.send_news()
        self.assertEqual(["b"], self.follower.usable())

    def test_server_that_came_back_is_not_removed_by_its_earlier_change(self):
        """Guards against applying an outdated removal after the return of a server."""
        self.planner.read(20, [], ["a"])
        self.planner.read(30, [fakes.entry("a", 2)])
        self.send_news()
        self.assertEqual(["a", "b"], self.follower.usable())

    def test_lost_news_are_made_up_for(self):
        """Guards against changes that are missing because a datagram was lost."""
        self.planner.read(20, [fakes.entry("c")])
        self.planner.relay.news_since(self.follower.relay.position)
        self.planner.read(30, [], ["b"])
        self.send_news()
        self.assertEqual(["a", "c"], self.follower.usable())

    def test_late_news_do_not_undo_newer_ones(self):
        """Guards against applying news that were overtaken by newer ones."""
        self.planner.read(20, [fakes.entry("c")])
        late = self.planner.relay.news_since(self.follower.relay.position)
        self.planner.read(30, [], ["c"])
        self.send_news()
        self.follower.relay.take(late)
        self.assertEqual(["a", "b"], self.follower.usable())
        self.assertEqual(30, self.follower.relay.position)

    def test_different_view_is_read_again_whole(self):
        """Guards against a directory that keeps differing from the planner's."""
        self.follower.read(12, [], ["b"])
        self.planner.read(20, [fakes.entry("b")])
        self.send_news()
        self.assertTrue(self.follower.relay.must_scan)
        self.assertEqual(0.0, self.follower.relay.valid_s())
        self.follower.read(21, [fakes.entry("a"), fakes.entry("b")], whole=True)
        self.assertFalse(self.follower.relay.must_scan)
        self.assertEqual(["a", "b"], self.follower.usable())

    def test_vm_that_has_read_nothing_is_not_served(self):
        """Guards against sending changes to a VM that has no directory to apply them to."""
        fresh = Vm(lambda: self.now)
        self.assertIsNone(self.planner.relay.news_since(fresh.relay.position))
        self.assertTrue(fresh.relay.must_scan)

    def test_vm_behind_the_log_is_not_served(self):
        """Guards against news that lack changes from before the start of the log."""
        self.planner.read(20, [fakes.entry("c")], whole=True)
        self.assertIsNone(self.planner.relay.news_since(ids.RowVersion(10)))

    def test_too_many_changes_are_left_to_the_store(self):
        """Guards against news that do not fit into a datagram."""
        many = [fakes.entry(f"n{number}") for number in range(relay.CHANGES_PER_NEWS_MAX + 1)]
        self.planner.read(20, many)
        self.assertIsNone(self.planner.relay.news_since(ids.RowVersion(10)))

    def test_announced_configuration_is_missing_until_it_is_read(self):
        """Guards against an announced configuration that is never read."""
        self.planner.relay.note_config(ids.RowVersion(15))
        self.planner.read(20, [])
        self.send_news()
        self.assertTrue(self.follower.relay.lacks_config)
        self.follower.relay.note_config(ids.RowVersion(15))
        self.assertFalse(self.follower.relay.lacks_config)

    def test_entries_that_lapse_in_an_outage_lapse_at_followers_too(self):
        """Guards against dropping a server on followers only, after an outage of the store."""
        self.now += 10.0
        self.planner.read(20, [], ["a"])
        self.send_news()
        self.assertTrue(self.follower.directory.by_id[ids.ServerId("a")].lapsed)

    def test_new_planner_passes_on_what_it_was_told(self):
        """Guards against losing changes when the planner changes."""
        third = Vm(lambda: self.now)
        third.read(10, [fakes.entry("a"), fakes.entry("b")], whole=True)
        self.planner.read(20, [], ["a"])
        self.send_news()
        self.follower.relay.lead(True)
        self.follower.read(25, [])
        third.relay.take(self.follower.relay.news_since(third.relay.position))
        self.assertEqual(["b"], third.usable())
