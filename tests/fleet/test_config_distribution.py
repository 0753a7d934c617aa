"""Tests of sending the configuration row to the entry VMs in datagrams."""

import random

import testtools

from celerystack import ids
from celerystack.fleet import config_distribution, directory_sync, messages, servers

ROW = ids.RowVersion(20)
ADDRESS = ("10.0.0.2", 7000)
SMALL, LARGE = b"a small row", random.Random(1).randbytes(20_000)


class Vm:
    """An entry VM, the datagrams that it sent, and the rows that it was offered."""

    def __init__(self):
        directory = servers.Directory()
        self.updates = directory_sync.DirectorySync(directory, now=lambda: 100.0)
        self.offered = []
        self.sent = []
        self.is_sending = False
        self.now = 100.0
        self.updates.on_config_offer(lambda row, value: self.offered.append((row, value)))
        self.distributor = config_distribution.ConfigDistributor(
            updates=self.updates,
            addresses=lambda: [ADDRESS],
            send=lambda address, datagrams: self.sent.extend(datagrams),
            is_sending=lambda address: self.is_sending,
            now=lambda: self.now,
        )

    def receive(self, datagrams):
        for datagram in datagrams:
            self.distributor.receive(messages.decode(datagram, peer="test"))


class DistributionTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.planner, self.follower = Vm(), Vm()
        self.planner.updates.set_leader(True)

    def datagrams(self, value, row=ROW):
        self.planner.sent.clear()
        self.planner.updates.note_config(row, value)
        return list(self.planner.sent)

    def test_row_arrives_whole(self):
        """Guards against a configuration of which a part is missing or out of order."""
        for row, value in ((20, SMALL), (21, LARGE), (22, b"")):
            datagrams = self.datagrams(value, ids.RowVersion(row))
            random.Random(2).shuffle(datagrams)
            self.follower.receive(datagrams)
        self.assertEqual([(20, SMALL), (21, LARGE), (22, b"")], self.follower.offered)

    def test_datagrams_are_small(self):
        """Guards against datagrams that are split on the way, all of which must arrive."""
        datagrams = self.datagrams(LARGE)
        self.assertLess(max(map(len, datagrams)), 1_400)

    def test_follower_sends_nothing(self):
        """Guards against every entry VM passing the same row on to all others."""
        self.follower.updates.note_config(ROW, SMALL)
        self.assertEqual([], self.follower.sent)

    def test_row_that_misses_a_part_is_not_passed_on(self):
        """Guards against a truncated configuration."""
        self.follower.receive(self.datagrams(LARGE)[1:])
        self.assertEqual([], self.follower.offered)

    def resend(self, *, reported_at):
        self.planner.sent.clear()
        self.planner.distributor.resend(
            ADDRESS, reported=directory_sync.UNKNOWN, reported_at=reported_at
        )
        return list(self.planner.sent)

    def test_lost_part_arrives_with_the_second_sending(self):
        """Guards against a large row of which another part is lost each time, so that a VM with a
        slow link never has it."""
        first = self.datagrams(LARGE)
        self.follower.receive(first[1:])
        second = self.resend(reported_at=self.planner.now + config_distribution.RESEND_S)
        self.assertEqual(first, second)
        self.follower.receive(second[:-1])
        self.assertEqual([(ROW, LARGE)], self.follower.offered)

    def test_row_is_not_sent_again_before_it_can_have_arrived(self):
        """Guards against a second copy of each row on slow links."""
        self.datagrams(LARGE)
        self.assertEqual([], self.resend(reported_at=self.planner.now))
        self.planner.is_sending = True
        self.planner.now += 2.0
        self.assertEqual([], self.resend(reported_at=self.planner.now))
        self.planner.is_sending = False
        self.assertEqual([], self.resend(reported_at=self.planner.now + 0.1))

    def test_repeated_parts_change_nothing(self):
        """Guards against counting a datagram that arrives twice as two parts."""
        datagrams = self.datagrams(LARGE)
        self.follower.receive([datagrams[0]] * len(datagrams))
        self.assertEqual([], self.follower.offered)

    def test_parts_of_an_older_row_are_ignored(self):
        """Guards against a row that is mixed from two configurations."""
        older = self.datagrams(LARGE)
        newer = self.datagrams(LARGE[::-1], ids.RowVersion(21))
        self.follower.receive([*newer[:-1], *older, newer[-1]])
        self.assertEqual([(21, LARGE[::-1])], self.follower.offered)

    def test_row_that_was_read_meanwhile_is_ignored(self):
        """Guards against a configuration that is applied twice."""
        self.follower.updates.note_config(ROW, SMALL)
        self.follower.receive(self.datagrams(SMALL))
        self.assertEqual([], self.follower.offered)

    def test_malformed_parts_are_ignored(self):
        """Guards against an exception, or memory without bound, because of one datagram."""
        for part, parts, data in ((0, 1, b"no zlib"), (5, 2, b""), (0, 10**9, b""), (-1, 1, b"")):
            found = messages.ConfigPart(row=ROW, part=part, parts=parts, data=data)
            self.follower.distributor.receive(found)
        self.assertEqual([], self.follower.offered)

    def test_row_that_would_need_too_many_parts_is_not_sent(self):
        """Guards against a burst of datagrams without bound."""
        value = random.Random(1).randbytes(
            config_distribution.PART_BYTES * (config_distribution.PARTS_MAX + 1)
        )
        self.assertEqual([], self.datagrams(value))
