"""Tests of range maps, their changes and their encoding."""

import testtools

from celerystack import errors, ids
from celerystack.ranges import codec, model
from tests.ranges import fakes


def split(owner_left, owner_right, at=1000):
    left = model.Segment(start=0, end=at - 1, token=ids.Token(5), owner=owner_left)
    right = model.Segment(start=at, end=model.KEY_MAX, token=ids.Token(1), owner=owner_right)
    return model.RangeMap(service=fakes.SERVICE, next_token=ids.Token(6), segments=(left, right))


class ChangesTest(testtools.TestCase):
    def test_changes_rebuild_the_new_map(self):
        """Guards against entry VMs whose map differs from the planner's after an update."""
        old, new = (
            fakes.whole(fakes.incarnation("a")),
            split(fakes.incarnation("b"), fakes.incarnation("a")),
        )
        rebuilt = model.apply_changes(old, model.changed_segments(old, new), new.next_token)
        self.assertEqual(new, rebuilt)

    def test_changes_to_another_base_are_rejected(self):
        """Guards against a map with gaps: after a lost datagram, changes do not fit the map."""
        changed = split(fakes.incarnation("b"), fakes.incarnation("a")).segments[:1]
        self.assertIsNone(
            model.apply_changes(fakes.whole(fakes.incarnation("a")), changed, ids.Token(6))
        )

    def test_map_round_trips_through_its_row(self):
        """Guards against owners or tokens that are lost when a map is stored."""
        ranges = split(fakes.incarnation("b"), fakes.incarnation("a"))
        self.assertEqual(ranges, codec.decode(fakes.SERVICE, codec.encode(ranges)))

    def test_row_with_a_gap_is_rejected(self):
        """Guards against using a corrupt row, after which some keys have no segment."""
        ranges = split(fakes.incarnation("b"), fakes.incarnation("a"))
        broken = model.RangeMap(
            service=fakes.SERVICE, next_token=ranges.next_token, segments=ranges.segments[1:]
        )
        self.assertRaises(errors.CorruptRowError, codec.decode, fakes.SERVICE, codec.encode(broken))
