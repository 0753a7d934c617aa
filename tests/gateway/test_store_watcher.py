"""Guards against needless reads of the store, and against stale data when the planner is lost."""

import testtools
from twisted.internet import defer, task

from celerystack import errors, ids
from celerystack.fleet import directory_sync, evacuations, rows, servers
from celerystack.gateway import config, store_watcher
from tests.ranges import fakes


class Store:
    """Fake row store that answers at once or after a long poll; ``error`` fails all reads."""

    def __init__(self, clock):
        self._clock = clock
        self.position = 10
        self.config_row = 3
        self.scans, self.polls = [], []
        self.error = None
        self.polls_hang = False
        self.scan_s = 0.0
        self.scans_in_flight = 0
        self.evacuated = None

    def _end_scan(self, result):
        self.scans_in_flight -= 1
        return result

    def scan(self, table):
        self.scans.append(table)
        if self.scan_s:
            self.scans_in_flight += 1
            waited = task.deferLater(self._clock, self.scan_s, lambda: None)
            waited.addBoth(self._end_scan)
            return waited.addCallback(lambda _: self._answer(table, -1))
        return self._answer(table, -1)

    def changes(self, table, after, *, wait_s):
        self.polls.append(table)
        if wait_s and self.polls_hang:
            return defer.Deferred()
        if wait_s and not self.error and self.config_row <= after:
            waited = task.deferLater(self._clock, wait_s, lambda: None)
            return waited.addCallback(lambda _: self._answer(table, after))
        return self._answer(table, after)

    def _answer(self, table, after):
        if self.error is not None:
            return defer.fail(self.error)
        if after >= 0 and rows.era_of(after) != rows.era_of(self.position):
            return defer.fail(rows.HistoryLostError("another era", step="test"))
        found = []
        if table == "op" and self.config_row > after:
            row = rows.Row(
                key=ids.RowKey("config"),
                value=b"%d" % self.config_row,
                version=ids.RowVersion(self.config_row),
            )
            found.append(row)
        if table == "op":
            # The value of a removed row is None.
            key = ids.RowKey(f"evacuate/{self.evacuated or 'z1'}")
            value = b"{}" if self.evacuated else None
            found.append(rows.Row(key=key, value=value, version=ids.RowVersion(self.position)))
        return defer.succeed(rows.Rows(rows=tuple(found), version=ids.RowVersion(self.position)))


def _decode(data):
    limits = config.CallerLimits(
        header_bytes_max=1, body_bytes_max=1, header_timeout_s=1.0, idle_timeout_s=1.0
    )
    return config.RoutingConfig(
        version=ids.ConfigVersion(int(data)), routes=(), services_by_name={}, limits=limits
    )


class StoreWatcherTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.clock = task.Clock()
        self.store = Store(self.clock)
        self.directory = servers.Directory()
        self.directory_sync = directory_sync.DirectorySync(self.directory, now=self.clock.seconds)
        self.evacuations = evacuations.Evacuations(binding_after_s=5.0, now=self.clock.seconds)
        self.taken = []
        self.needs_confirmation = False
        self.entry_vms = 12
        row_layout = store_watcher.RowLayout(
            config_table="op",
            config_key=ids.RowKey("config"),
            servers_table="servers",
            decode_config=_decode,
            decode_server=lambda key, data: fakes.entry(key),
            evacuated_zone=lambda key: ids.ZoneName(key[9:]) if key[:9] == "evacuate/" else None,
        )
        store_watcher.StoreWatcher(
            self.clock,
            store=self.store,
            row_layout=row_layout,
            directory=self.directory,
            updates=self.directory_sync,
            evacuated=self.evacuations,
            on_config=lambda routing: self.taken.append(routing.version),
            needs_confirmation=lambda: self.needs_confirmation,
            entry_vms=lambda: self.entry_vms,
            now=self.clock.seconds,
        ).start()

    def send_update(self, *, config_row=3):
        self.store.position += 1
        self.directory_sync.apply(
            directory_sync.DirectoryUpdate(
                since=self.directory_sync.position,
                position=ids.RowVersion(self.store.position),
                age_s=0.0,
                digest=self.directory.digest(),
                config_row=ids.RowVersion(config_row),
                config_age_s=0.0,
            )
        )

    def run_with_updates(self, seconds, *, config_row=3):
        for _ in range(round(seconds / 0.4)):
            self.send_update(config_row=config_row)
            self.clock.pump([0.1] * 4)

    def reads_in(self, seconds):
        before = len(self.store.scans) + len(self.store.polls)
        self.clock.pump([0.1] * round(seconds * 10))
        return len(self.store.scans) + len(self.store.polls) - before

    def test_unexpected_error_ends_neither_watch(self):
        """Guards against an entry VM that learns of no server and no configuration any more, as an
        error ended the task that reads them (review case 14)."""
        self.clock.advance(1.0)
        self.store.error = ZeroDivisionError("unexpected")
        self.clock.pump([0.1] * 40)
        self.store.error = None
        self.store.config_row = 9
        self.store.polls.clear()
        self.store.scans.clear()
        self.clock.pump([0.1] * 20)
        self.assertIn(9, self.taken)
        self.assertIn("servers", self.store.polls + self.store.scans)

    def test_both_tables_are_read_at_the_start(self):
        """Guards against an entry VM that starts without configuration or servers."""
        self.assertEqual({"op", "servers"}, set(self.store.scans))
        self.assertEqual([3], self.taken)

    def test_evacuations_are_read_with_the_configuration(self):
        """Guards against evacuated zones that are missed, or forgotten with a new configuration."""
        self.store.evacuated = "z1"
        self.clock.pump([0.1] * 30)
        self.assertEqual({"z1"}, self.evacuations.zones)
        self.store.config_row, self.store.position = 11, 11
        self.clock.pump([0.1] * 30)
        self.assertEqual({"z1"}, self.evacuations.zones)
        self.store.evacuated = None
        self.clock.pump([0.1] * 30)
        self.assertEqual(frozenset(), self.evacuations.zones)

    def come_back(self, position, config_row):
        """Restore the store from a copy, with lower numbers, in its next era."""
        era = ids.StoreEra(rows.era_of(self.store.position) + 1)
        self.store.position = rows.version_in(era, position)
        self.store.config_row = rows.version_in(era, config_row)

    def test_evacuation_is_kept_until_the_operators_have_had_time_to_write_again(self):
        """Guards against requests to a zone whose evacuation was lost with the store's rows."""
        self.store.evacuated = "z1"
        self.clock.pump([0.1] * 30)
        self.store.evacuated = None
        self.come_back(position=8, config_row=2)
        self.clock.pump([0.1] * 15)
        self.assertEqual({"z1"}, self.evacuations.zones)
        self.clock.pump([0.1] * 40)
        self.assertEqual(frozenset(), self.evacuations.zones)

    def test_nothing_is_read_while_updates_arrive(self):
        """Guards against reads of the store by every entry VM while the planner sends updates."""
        self.run_with_updates(2.0)
        self.store.polls.clear()
        self.run_with_updates(20.0)
        self.assertEqual([], self.store.polls)

    def test_lost_planner_is_replaced_by_own_reads(self):
        """Guards against an outdated server directory after the planner is lost."""
        self.run_with_updates(4.0)
        self.store.polls.clear()
        self.clock.pump([0.1] * 12)
        self.assertIn("servers", self.store.polls)

    def test_planner_reads_although_it_gets_updates(self):
        """Guards against a planner that does not poll because it relies on updates."""
        self.directory_sync.set_leader(True)
        self.store.polls.clear()
        self.run_with_updates(4.0)
        self.assertGreaterEqual(self.store.polls.count("servers"), 8)

    def test_new_planner_reads_at_once(self):
        """Guards against a new planner that first waits until earlier updates expire."""
        self.run_with_updates(4.0)
        self.store.polls.clear()
        self.directory_sync.set_leader(True)
        self.assertIn("servers", self.store.polls)

    def announce(self, row):
        """Announce a configuration whose datagrams do not arrive."""
        self.send_update(config_row=row)
        self.clock.advance(directory_sync.CONFIG_DELIVERY_S)

    def test_configuration_that_the_planner_sends_is_applied_at_once(self):
        """Guards against a read of the same row by every entry VM."""
        self.run_with_updates(8.0)
        self.store.scans.clear()
        self.store.polls.clear()
        self.directory_sync.offer_config(ids.RowVersion(100), b"100")
        self.assertEqual([3, 100], self.taken)
        self.run_with_updates(2.0, config_row=100)
        self.assertEqual(([], []), (self.store.scans, self.store.polls))

    def test_older_configuration_that_arrives_late_is_ignored(self):
        """Guards against a configuration that reverts because a datagram was delayed."""
        self.run_with_updates(8.0)
        self.directory_sync.offer_config(ids.RowVersion(100), b"100")
        self.directory_sync.offer_config(ids.RowVersion(90), b"90")
        self.assertEqual([3, 100], self.taken)

    def test_announced_configuration_that_does_not_arrive_is_read(self):
        """Guards against a delay of a new configuration until the next poll."""
        self.run_with_updates(8.0)
        self.store.config_row, self.store.position = 100, 100
        self.announce(100)
        self.assertEqual([3, 100], self.taken)

    def test_announced_configuration_is_read_without_those_before_it(self):
        """Guards against reading all versions of a large configuration over a slow link."""
        self.run_with_updates(8.0)
        self.store.polls.clear()
        self.store.scans.clear()
        self.store.config_row, self.store.position = 100, 100
        self.announce(100)
        self.assertEqual((["op"], []), (self.store.scans, self.store.polls))

    def test_stale_answer_to_an_announcement_is_asked_for_again_with_pauses(self):
        """Guards against reading in a loop until the store returns the announced version."""
        self.run_with_updates(8.0)
        self.store.scans.clear()
        self.run_with_updates(2.0, config_row=100)
        self.assertLessEqual(self.store.scans.count("op"), 2.0 / store_watcher.RETRY_S + 1)
        self.store.config_row, self.store.position = 100, 100
        self.run_with_updates(0.4, config_row=100)
        self.assertEqual([3, 100], self.taken)

    def test_server_that_needs_confirmation_is_looked_up_in_the_store(self):
        """Guards against relying on updates although the entry of a server must be checked."""
        self.run_with_updates(4.0)
        self.store.polls.clear()
        self.needs_confirmation = True
        self.run_with_updates(2.0)
        self.assertGreaterEqual(self.store.polls.count("servers"), 1)

    def test_failing_store_is_asked_at_growing_intervals(self):
        """Guards against overloading a failing store with retries."""
        self.clock.pump([0.1] * 40)
        self.store.error = errors.PlatformUnavailableError("rejected", step="store")
        reads = self.reads_in(3.0)
        self.assertGreaterEqual(reads, 2 * 3.0 / (store_watcher.RETRY_MAX_S + 0.1))
        self.assertLessEqual(self.reads_in(6.0), 2 * 6.0 / (0.7 * store_watcher.RETRY_MAX_S))

    def test_many_entry_vms_do_not_overload_a_failing_store(self):
        """Guards against retries whose rate grows with the number of entry VMs."""
        self.entry_vms = 195
        self.clock.pump([0.1] * 40)
        self.store.error = errors.PlatformUnavailableError("rejected", step="store")
        self.clock.pump([0.1] * 60)
        seconds = 20.0
        rate_of_both_tasks = self.entry_vms * self.reads_in(seconds) / seconds
        self.assertLessEqual(rate_of_both_tasks, 2 * store_watcher.FLEET_RETRIES_PER_S / 0.7)

    def test_planner_of_many_entry_vms_notices_the_return_of_the_store_soon(self):
        """Guards against entry VMs that learn late of the return, because the planner does."""
        self.entry_vms = 1_000
        self.directory_sync.set_leader(True)
        self.clock.pump([0.1] * 40)
        self.store.error = errors.PlatformUnavailableError("rejected", step="store")
        self.clock.pump([0.1] * 100)
        self.assertGreaterEqual(self.reads_in(6.0), 2 * 6.0 / (store_watcher.RETRY_MAX_S + 0.1))

    def test_own_reads_of_the_servers_tell_nothing_of_the_configuration(self):
        """Guards against a new configuration that is not read while there is no planner."""
        for row in range(100, 200, 10):
            self.store.config_row, self.store.position = row, row
            self.clock.pump([0.1] * 15)
            self.assertEqual(row, self.taken[-1])

    def test_return_of_the_store_is_noticed_soon(self):
        """Guards against a backoff that grows so long that the end of an outage is missed."""
        self.clock.pump([0.1] * 40)
        self.store.error = errors.PlatformUnavailableError("rejected", step="store")
        self.clock.pump([0.1] * 100)
        self.store.error = None
        self.store.config_row, self.store.position = 100, 100
        self.clock.pump([0.1] * 8)
        self.assertEqual([3, 100], self.taken)

    def test_lost_history_leads_to_a_whole_read(self):
        """Guards against endless requests for changes that the store no longer has."""
        self.clock.pump([0.1] * 12)
        self.store.scans.clear()
        self.store.error = rows.HistoryLostError("history is lost", step="store")
        self.directory_sync.note_history_lost()
        self.store.error = None
        self.clock.pump([0.1] * 12)
        self.assertIn("servers", self.store.scans)

    def test_poll_that_hangs_after_an_outage_is_asked_anew(self):
        """Guards against a long poll that is never answered because an outage interrupted it."""
        self.clock.pump([0.1] * 40)
        self.store.polls_hang = True
        self.store.error = errors.AnswerLostError("no answer", step="store")
        self.clock.pump([0.1] * 30)
        self.store.error, self.store.polls_hang = None, False
        self.store.config_row, self.store.position = 100, 100
        self.clock.pump([0.1] * 12)
        self.assertEqual([3, 100], self.taken)

    def test_announcement_ends_a_poll_that_hangs(self):
        """Guards against a new configuration that is missed because a long poll hangs."""
        self.store.polls_hang = True
        self.clock.pump([0.1] * 20)
        self.store.config_row, self.store.position = 100, 100
        self.announce(100)
        self.assertEqual([3, 100], self.taken)

    def test_further_announcements_do_not_end_a_slow_read(self):
        """Guards against restarting the read of a large configuration on a slow link for ever."""
        self.run_with_updates(8.0)
        self.store.scan_s = 1.0
        for row in range(100, 130, 10):
            self.store.config_row, self.store.position = row, row
            self.send_update(config_row=row)
            self.clock.pump([0.1] * 4)
        self.clock.advance(directory_sync.CONFIG_DELIVERY_S)
        self.assertEqual([3, 120], self.taken)

    def test_configuration_from_the_planner_ends_a_slow_read(self):
        """Guards against a read of a large configuration that fills a slow link, and delays the
        requests of callers, although the row has arrived in the planner's datagrams."""
        self.run_with_updates(8.0)
        self.store.config_row, self.store.position = 100, 100
        self.store.scan_s = 2.0
        self.announce(100)
        self.clock.advance(0.1)
        self.assertEqual(1, self.store.scans_in_flight)
        self.directory_sync.offer_config(ids.RowVersion(100), b"100")
        self.assertEqual(([3, 100], 0), (self.taken, self.store.scans_in_flight))
        self.run_with_updates(4.0, config_row=100)
        self.assertEqual(0, self.store.scans_in_flight)


class TwoVmsTest(testtools.TestCase):
    """A planner and a follower, each with its own watcher of the same store."""

    def setUp(self):
        super().setUp()
        self.clock = task.Clock()
        self.planner_store, self.follower_store = Store(self.clock), Store(self.clock)
        self.planner = self.start(self.planner_store, [])
        self.taken = []
        self.follower = self.start(self.follower_store, self.taken)
        self.planner.set_leader(True)

    def start(self, store, taken):
        directory = servers.Directory()
        updates = directory_sync.DirectorySync(directory, now=self.clock.seconds)
        row_layout = store_watcher.RowLayout(
            config_table="op",
            config_key=ids.RowKey("config"),
            servers_table="servers",
            decode_config=_decode,
            decode_server=lambda key, data: fakes.entry(key),
            evacuated_zone=lambda key: ids.ZoneName(key[9:]) if key[:9] == "evacuate/" else None,
        )
        store_watcher.StoreWatcher(
            self.clock,
            store=store,
            row_layout=row_layout,
            directory=directory,
            updates=updates,
            evacuated=evacuations.Evacuations(binding_after_s=5.0, now=self.clock.seconds),
            on_config=lambda routing: taken.append(routing.version),
            needs_confirmation=lambda: False,
            entry_vms=lambda: 2,
            now=self.clock.seconds,
        ).start()
        return updates

    def run_for(self, seconds):
        for _ in range(round(seconds / 0.1)):
            self.clock.advance(0.1)
            self.planner_store.position += 1
            update = self.planner.update_since(self.follower.position)
            self.follower.apply(update)

    def test_follower_reads_the_configuration_while_the_planner_cannot(self):
        """Guards against entry VMs with an old configuration because the planner's poll hangs: its
        heartbeats went on, and told how recently it had read the servers, not the configuration."""
        self.run_for(4.0)
        self.planner_store.polls_hang = True
        self.run_for(0.5)
        self.follower_store.config_row = self.follower_store.position = 10_000
        self.run_for(2.0)
        self.assertEqual(10_000, self.taken[-1])

    def test_follower_does_not_poll_while_the_planner_does(self):
        """Guards against reads of the store by every entry VM while the planner reads it."""
        self.run_for(4.0)
        self.follower_store.polls.clear()
        self.run_for(20.0)
        self.assertEqual([], self.follower_store.polls)
