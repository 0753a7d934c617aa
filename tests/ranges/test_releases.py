"""Tests of release orders: not too many at once, and only for keys that are to be released."""

import testtools

from celerystack import ids
from celerystack.ranges import model, releases
from tests.ranges import fakes


def segment(start, end, token):
    return model.Segment(start=start, end=end, token=ids.Token(token), owner=fakes.incarnation("b"))


class ReleasesTest(testtools.TestCase):
    def test_many_adjacent_segments_need_few_orders(self):
        """Guards against a server that gets more orders at once than it has connections for."""
        segments = [segment(10 * n, 10 * n + 9, n + 1) for n in range(40)]
        groups = list(releases.group(segments))
        self.assertEqual(releases.ORDERS_PREFERRED, len(groups))
        self.assertEqual(segments, [one for group in groups for one in group])

    def test_keys_between_segments_are_not_released(self):
        """Guards against one order that also covers keys which the server should keep."""
        segments = [segment(0, 9, 1), segment(20, 29, 2)]
        self.assertEqual([(segments[0],), (segments[1],)], list(releases.group(segments)))

    def test_few_segments_do_not_wait_for_each_other(self):
        """Guards against joined segments when there are connections for separate orders."""
        segments = [segment(0, 9, 1), segment(10, 19, 2)]
        self.assertEqual(2, len(list(releases.group(segments))))

    def test_joined_release_fences_off_every_older_grant(self):
        """Guards against a delayed grant of a joined segment that the server still accepts."""
        joined = releases.join([segment(0, 9, 7), segment(10, 19, 5)])
        self.assertEqual((0, 19, 7), (joined.start, joined.end, joined.token))
