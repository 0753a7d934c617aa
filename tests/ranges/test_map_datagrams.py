"""Tests of sending range maps in datagrams, which may be lost or reordered."""

import testtools

from celerystack import ids
from celerystack.fleet import messages
from celerystack.ranges import map_datagrams, model, range_maps
from tests.ranges import fakes


def many(count, *, token=1):
    width = (model.KEY_MAX + 1) // count
    segments = tuple(
        model.Segment(
            start=n * width,
            end=model.KEY_MAX if n == count - 1 else (n + 1) * width - 1,
            token=ids.Token(token + n),
            owner=fakes.incarnation(f"s{n}"),
        )
        for n in range(count)
    )
    return model.RangeMap(
        service=fakes.SERVICE, next_token=ids.Token(token + count), segments=segments
    )


def decoded(datagrams):
    return [messages.decode(datagram, peer="p") for datagram in datagrams]


class AssemblerTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.known = range_maps.KnownMap(many(150), 7, 0.0)
        self.parts = decoded(map_datagrams.encode_whole(self.known, term=1))
        self.assembler = map_datagrams.Assembler()

    def add_all(self, parts, known=None):
        return [self.assembler.add(part, known) for part in parts][-1]

    def test_parts_in_any_order_make_the_map(self):
        """Guards against a map that is lost or wrong because its datagrams were reordered."""
        self.assertEqual(self.known.ranges, self.add_all(reversed(self.parts)))

    def test_missing_part_makes_no_map(self):
        """Guards against a map with gaps after a datagram was lost."""
        self.assertIsNone(self.add_all(self.parts[:-1]))

    def test_older_version_is_ignored(self):
        """Guards against a delayed datagram that replaces a newer map by an older one."""
        newer = range_maps.KnownMap(many(50, token=100), 8, 0.0)
        self.assertIsNone(self.add_all(self.parts, newer))

    def test_changes_need_their_base(self):
        """Guards against a wrong map from changes that are applied to another version."""
        other = range_maps.KnownMap(many(50), 6, 0.0)
        parts = decoded(
            map_datagrams.encode(self.known, self.known.ranges.segments[:2], term=1, base=5)
        )
        self.assertIsNone(self.add_all(parts, other))

    def test_every_part_fits_into_a_datagram(self):
        """Guards against datagrams that exceed the MTU and are fragmented or dropped."""
        sizes = [len(part) for part in map_datagrams.encode_whole(self.known, term=1)]
        self.assertLess(max(sizes), 1400)
